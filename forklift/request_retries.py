"""Retries of one request: whether the next send may be made.

The first send is free. Every further one is charged to the retry budget, and
subject to the allocation while that is in force.
"""

import math
from collections.abc import Callable

from forklift import latency
from forklift import messages
from forklift import retries
from forklift import retry_allocation

# Fraction of the retry budget that hedged requests may use; the rest is
# reserved for retries of failed requests.
HEDGE_BUDGET_FRACTION = 0.85


class RequestRetries:
    """Asks for the retries of one request.

    Attributes:
        refusal: Why the request got no retry; None if it got all that it asked
            for, or if the allocation is not in force.
    """

    def __init__(
        self,
        allocation: retry_allocation.RetryAllocation,
        request: retry_allocation.Request,
        state: retries.RetryState,
        soft_deadline: float,
        draw: Callable[[], float],
    ):
        """Creates the retries of a request that was not sent yet.

        Args:
            allocation: Decides who gets a retry.
            request: The request.
            state: Its attempts so far.
            soft_deadline: Monotonic seconds up to which the latency objective
                is met.
            draw: Returns a random number from 0 to 1. Called at most once, as
                a request that asks repeatedly must not gain by it.
        """
        self.refusal: retry_allocation.Decision | None = None
        self._allocation = allocation
        self._request = request
        self._state = state
        self._soft_deadline = soft_deadline
        self._draw = draw
        self._drawn: float | None = None

    def record_result(
        self,
        outcome: messages.Outcome,
        reason: messages.Reason | None,
        now: float,
    ) -> None:
        """Records the result of an attempt; call before the retry state.

        Args:
            outcome: How the attempt ended.
            reason: Why there is no response.
            now: Monotonic seconds.
        """
        is_first = self._state.attempts == 0
        self._allocation.record_send(
            self._request, outcome, reason, is_first, now
        )

    def record_failure(self, now: float) -> None:
        """Records that an attempt failed and the request may be retried."""
        self._allocation.record_failure(self._request, now)

    def is_refused(
        self, distribution: latency.Distribution, now: float
    ) -> bool:
        """Returns whether the next attempt is a retry that can't be made.

        Checked before a target is searched for, as the request is then refused
        at once instead of waiting for a target that it may not be sent to.
        Always false while the allocation is not in force.

        Args:
            distribution: Latency distribution of the route.
            now: Monotonic seconds.
        """
        if self._is_free or not self._allocation.is_enabled():
            return False
        if self._state.attempts >= self._request.max_attempts:
            return True
        retry = self._retry(distribution, now)
        self.refusal = self._allocation.check(retry, now, self._random())
        return self.refusal is not None

    def reserve(
        self, distribution: latency.Distribution, now: float, in_flight: int
    ) -> bool:
        """Charges a retry before an attempt in flight is given up for it.

        Args:
            distribution: Latency distribution of the route.
            now: Monotonic seconds.
            in_flight: Number of attempts in flight.

        Returns:
            Whether the retry may be made, so that the attempt can be given up.
        """
        state = self._state
        if state.attempts + in_flight >= self._request.max_attempts:
            return False
        if not state.has_time_for_retry(distribution, now):
            return False
        if not state.reserved_retries:
            retry = retry_allocation.Retry(
                self._request,
                retry_allocation.Cause.FAILED,
                self._in_time(distribution, now),
            )
            draw = self._draw_if_enabled()
            # Asked repeatedly, so only the granted request is counted.
            if not self._allocation.would_grant(retry, now, draw):
                return False
            if not self._allocation.spend(retry, now, draw):
                return False
        state.reserved_retries += 1
        return True

    def charge(self, distribution: latency.Distribution, now: float) -> bool:
        """Charges the next attempt to the budget, unless it is free.

        Args:
            distribution: Latency distribution of the route.
            now: Monotonic seconds.

        Returns:
            Whether the request may be sent.
        """
        if self._is_free:
            return True
        if self._state.attempts >= self._request.max_attempts:
            return False
        return self._spend(self._retry(distribution, now), now)

    def charge_hedge(
        self, distribution: latency.Distribution, now: float
    ) -> bool:
        """Charges a hedge to the budget, unless an attempt is charged already.

        Args:
            distribution: Latency distribution of the route.
            now: Monotonic seconds.

        Returns:
            Whether the hedge may be sent.
        """
        if self._state.budget_charged:
            return True
        retry = retry_allocation.Retry(
            self._request,
            retry_allocation.Cause.HEDGE,
            self._in_time(distribution, now),
            HEDGE_BUDGET_FRACTION,
        )
        return self._spend(retry, now)

    def retry_after(self, now: float) -> float:
        """Returns Retry-After, seconds, without jitter."""
        return self._allocation.retry_after(self._request.service, now)

    def log_fields(self) -> dict[str, object]:
        """Returns the refusal and its inputs for a log line."""
        if self.refusal is None:
            return {}
        return {"retry": self.refusal.log_fields()}

    @property
    def _is_free(self) -> bool:
        """Whether the next attempt is the first, or is charged already."""
        return self._state.attempts == 0 or self._state.budget_charged

    def _retry(
        self, distribution: latency.Distribution, now: float
    ) -> retry_allocation.Retry:
        cause = retry_allocation.Cause.REJECTED
        if self._state.ran_last:
            cause = retry_allocation.Cause.FAILED
        in_time = self._in_time(distribution, now)
        return retry_allocation.Retry(self._request, cause, in_time)

    def _spend(self, retry: retry_allocation.Retry, now: float) -> bool:
        self._state.budget_charged = self._allocation.spend(
            retry, now, self._draw_if_enabled()
        )
        return self._state.budget_charged

    def _in_time(self, distribution: latency.Distribution, now: float) -> float:
        """Probability that a run which starts now meets the objective."""
        left = self._soft_deadline - now
        if math.isinf(left):
            return 1.0
        return 1.0 - distribution.survival(left)

    def _draw_if_enabled(self) -> float:
        return self._random() if self._allocation.is_enabled() else 0.0

    def _random(self) -> float:
        if self._drawn is None:
            self._drawn = self._draw()
        return self._drawn
