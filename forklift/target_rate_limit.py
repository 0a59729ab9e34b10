"""Rate limit that one incarnation of a target has named.

The limit applies to the requests of all processes together. It lasts until a
response without a limit, or with another one. Every request to a target passes
the process that owns the target, so that process alone keeps to the limit.
"""

import math

from forklift import messages
from forklift import rate_limits
from forklift import rates

# Relative change of the limit from which it is announced to other processes.
MIN_ANNOUNCED_CHANGE = 0.2
# Lowest rate in requests per second, also if the target names a lower one: only
# the response to a request can tell that the limit has ended.
MIN_RATE = 0.2
# Seconds of unused rate that are available later, in addition to one request.
BURST_SECONDS = 0.25
# Time constant in seconds of the rate at which requests of a priority start.
PRIORITY_RATE_SECONDS = 2.0
# Minimum share of the limit that the expected wait assumes to be left by more
# urgent requests.
MIN_REMAINING_SHARE = 0.05
# Maximum number of priorities whose rates are known.
MAX_PRIORITIES = 16
# Tolerance for rounding errors in the number of tokens.
_TOKEN_TOLERANCE = 1e-6


class TargetRateLimit:
    """The rate limit of one target, at the process that owns the target.

    Attributes:
        rate: Requests per second that the target has named; infinite if there
            is no limit.
        refused: Number of requests that were refused because of the limit.
    """

    def __init__(self):
        self.rate = math.inf
        self.refused = 0
        self._is_known = False
        self._changed_at = -math.inf
        self._announced_rate = math.inf
        self._bucket = rate_limits.TokenBucket(0.0)
        self._starts_by_priority: dict[int, rates.DecayingCounter] = {}

    @property
    def finite_rate(self) -> float | None:
        """The rate for reports and messages; None if there is no limit."""
        return self.rate if math.isfinite(self.rate) else None

    def status(
        self, now: float, waiting: int
    ) -> messages.RateLimitStatus | None:
        """The limit for load balancers; None if there is none.

        Args:
            now: Monotonic seconds.
            waiting: Number of queued requests.
        """
        if self.finite_rate is None:
            return None
        wait = round(self.wait(now, waiting), 3)
        return messages.RateLimitStatus(self.rate, wait)

    def record(self, rate: float, sent_at: float, now: float) -> bool:
        """Records the limit in a response.

        A lower limit applies at once. A response may arrive late, so a higher
        limit, or none, applies only if the request was sent after the present
        limit had become known.

        Args:
            rate: Requests per second; infinite if the response names no limit.
            sent_at: Monotonic seconds at which the request was sent.
            now: Monotonic seconds.

        Returns:
            Whether the limit has changed so much that it should be announced.
        """
        self._is_known = True
        is_late = rate > self.rate and sent_at < self._changed_at
        if rate == self.rate or is_late:
            return False
        self._change(rate, now)
        return self._is_announcement_due()

    def adopt(self, rate: float, now: float) -> bool:
        """Adopts a limit that another process remembers.

        The process that owns the target forgets the limit when it restarts.
        The limit applies until the first response of the target.

        Returns:
            Whether the limit has changed.
        """
        if self._is_known or rate >= self.rate:
            return False
        self._change(rate, now)
        # The response to the first request tells the present limit.
        self._bucket.tokens = 1.0
        return self._is_announcement_due()

    def wait(self, now: float, ahead: int = 0) -> float:
        """Seconds until the limit lets one more request start.

        Args:
            now: Monotonic seconds.
            ahead: Number of requests that start before it.
        """
        if self.finite_rate is None:
            return 0.0
        self._refill(now)
        tokens = ahead + 1 - _TOKEN_TOLERANCE
        return self._bucket.wait(self._granted_rate, tokens)

    def expected_wait(self, now: float, ahead: int, priority: int) -> float:
        """Seconds until a queued request is expected to start.

        More urgent requests that arrive later start before it.

        Args:
            now: Monotonic seconds.
            ahead: Number of queued requests before it.
            priority: Its priority; 0 is the most urgent.
        """
        wait = self.wait(now, ahead)
        if wait == 0:
            return 0.0
        urgent = sum(
            starts.count(now) / PRIORITY_RATE_SECONDS
            for other, starts in self._starts_by_priority.items()
            if other < priority
        )
        remaining_share = 1.0 - urgent / self._granted_rate
        return wait / max(MIN_REMAINING_SHARE, remaining_share)

    def take(self, now: float, priority: int) -> None:
        """Counts a request that starts."""
        if self.finite_rate is None:
            return
        self._refill(now)
        self._bucket.tokens -= 1.0
        starts = self._starts_by_priority.get(priority)
        if starts is None and len(self._starts_by_priority) < MAX_PRIORITIES:
            starts = rates.DecayingCounter(PRIORITY_RATE_SECONDS)
            self._starts_by_priority[priority] = starts
        if starts is not None:
            starts.record(now)

    def give_back(self) -> None:
        """Undoes `take` for a request that was not sent after all."""
        if self.finite_rate is not None:
            self._bucket.tokens += 1.0

    def _change(self, rate: float, now: float) -> None:
        if self.finite_rate is None:
            self._bucket = rate_limits.TokenBucket(now)
        else:
            self._refill(now)
        self.rate = rate
        self._changed_at = now

    @property
    def _granted_rate(self) -> float:
        return max(self.rate, MIN_RATE)

    def _refill(self, now: float) -> None:
        rate = self._granted_rate
        self._bucket.refill(now, rate, 1.0 + BURST_SECONDS * rate)

    def _is_announcement_due(self) -> bool:
        before = self._announced_rate
        is_change = math.isfinite(before) and math.isfinite(self.rate)
        small_change = MIN_ANNOUNCED_CHANGE * before
        if is_change and abs(self.rate - before) < small_change:
            return False
        self._announced_rate = self.rate
        return True
