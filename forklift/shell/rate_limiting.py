"""Applies the rate limits of organisations to the requests of this process.

If the process has no token left for a request, the request waits for a token
from the allocator.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable

import structlog

from forklift import catalog
from forklift import limit_messages
from forklift import limiter as limiters
from forklift import local_quota
from forklift import membership
from forklift import messages
from forklift import rate_limits
from forklift.shell import clock as clocks
from forklift.shell import exchange

_log = structlog.get_logger(__name__)

# Seconds for which an answer to each request for tokens is awaited. After the
# last one the waiting requests are rejected.
TOKEN_WAITS_SECONDS = (0.03, 0.08, 0.14)
# The same for an allocator that has not answered for SILENCE_SECONDS.
SILENT_ALLOCATOR_WAITS_SECONDS = (0.03, 0.05)
SILENCE_SECONDS = 0.25
# Retry-After if the allocator did not answer, seconds.
DEFAULT_RETRY_AFTER = 0.5
# Minimum of Retry-After before jitter is added, seconds.
MIN_RETRY_AFTER = 0.1

MESSAGE_TYPES = (
    limit_messages.Delegation,
    limit_messages.Allocation,
    limit_messages.Handover,
    limit_messages.AllocatorMoved,
)


@dataclasses.dataclass(frozen=True)
class _TokenDecision:
    """The allocator's decision about a request that waits for a token.

    Attributes:
        granted: Whether the request gets a token.
        seconds: Seconds until the token may be used, if it is granted, else
            until a retry.
    """

    granted: bool
    seconds: float


class AsyncLimiter:
    """Runs a `limiter.Limiter`: sends its messages and queues requests.

    Attributes:
        limiter: Holds the leases and decides whether to admit requests.
    """

    def __init__(
        self,
        directory: membership.Directory,
        bounds: rate_limits.Bounds,
        active_catalog: catalog.ActiveCatalog,
        fleet_size_known: Callable[[], bool],
        send: Callable[[str, messages.Control], object],
        clock: clocks.SystemClock,
        rng: random.Random,
        overload_control: Callable[[], bool] = lambda: False,
    ):
        """Creates a limiter without leases.

        Args:
            directory: The members of the fleet.
            bounds: Permitted overshoot of the limits.
            active_catalog: Holds the organisations and their limits.
            fleet_size_known: Returns whether this process knows the number of
                processes.
            send: Sends a message to the process at an address.
            clock: Clock of the process.
            rng: Source of the jitter that is added to Retry-After.
            overload_control: Returns whether overload control is in force.
        """
        self.limiter = limiters.Limiter(
            directory,
            bounds,
            lambda name: active_catalog.catalog.organisation(name),
            lambda: _any_limited(active_catalog),
            fleet_size_known,
            self._on_tokens,
            self._request_tokens_of_shard,
            overload_control,
        )
        self._overload_control = overload_control
        self._active_catalog = active_catalog
        self._send_to = send
        self._clock = clock
        self._rng = rng
        # Futures of the requests that wait for a token, in order of arrival.
        self._waiting_by_organisation: dict[str, collections.deque] = {}

    async def admit(self, organisation: str) -> float | None:
        """Decides whether to admit a request; may wait for the allocator.

        Args:
            organisation: Name of the calling organisation; empty if the caller
                is anonymous.

        Returns:
            None if the request is admitted, else seconds until a retry.
        """
        if not organisation:
            return None
        now = self._clock.monotonic()
        result = self.limiter.quota.admit(organisation, now)
        if result.decision is local_quota.Decision.ADMIT:
            return None
        retry_after = result.retry_after
        if result.decision is local_quota.Decision.ASK_ALLOCATOR:
            decision = await self._wait_for_token(organisation)
            retry_after = _retry_after(decision)
            self.limiter.quota.record_outcome(
                organisation,
                retry_after is None,
                decision is not None,
                self._clock.monotonic(),
            )
        if retry_after is None:
            return None
        # The jitter spreads the retries of requests rejected at the same time.
        return max(MIN_RETRY_AFTER, retry_after) * (1 + self._rng.random())

    def log_rejection(
        self, request: exchange.Request, retry_after: float
    ) -> None:
        """Logs a rejected request and the state of its organisation's limit."""
        organisation = request.organisation
        now = self._clock.monotonic()
        current = self._active_catalog.catalog
        limit = current.organisation(organisation)
        quota = self.limiter.quota
        _log.info(
            "limited",
            request=request.id,
            organisation=organisation,
            rate=limit.rate if limit is not None else 0.0,
            part=round(quota.leased_share(organisation, now), 4),
            cause=quota.refusal_cause(organisation),
            allocator=self.limiter.allocator_of(organisation),
            heard=quota.seconds_since_allocation(organisation, now),
            wait=round(retry_after, 2),
            version=current.version,
        )

    def refund(self, organisation: str) -> None:
        """Returns the token of an admitted request that did not run."""
        if organisation:
            now = self._clock.monotonic()
            self.limiter.quota.refund(organisation, now)

    def tick(self, now: float) -> None:
        """Sends the limiter's messages that are due."""
        self._send(self.limiter.tick(now))

    def receive(self, message: messages.Control) -> None:
        """Handles a message of another process about rate limits."""
        self._send(self.limiter.receive(message, self._clock.monotonic()))

    async def _wait_for_token(self, organisation: str) -> _TokenDecision | None:
        """Waits for a token from the allocator, until it may be used.

        Returns:
            The allocator's decision; None if it did not answer in time.
        """
        answer = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_organisation.setdefault(
            organisation, collections.deque()
        )
        waiting.append(answer)
        if len(waiting) == 1:
            # One message asks for the tokens of all requests that arrive in
            # this event loop iteration.
            asyncio.get_running_loop().call_soon(
                self._request_tokens, organisation
            )
        try:
            first_wait, *later_waits = self._token_waits(organisation)
            await asyncio.wait([answer], timeout=first_wait)
            for seconds in later_waits:
                if answer.done():
                    break
                # The first request asks for the others, too. If each did, an
                # allocator that is slow as it is busy would get more messages.
                if answer is waiting[0] or not self._overload_control():
                    self._request_tokens(organisation)
                await asyncio.wait([answer], timeout=seconds)
        finally:
            if answer in waiting:
                waiting.remove(answer)
        if not answer.done():
            return None
        decision = answer.result()
        if decision.granted:
            await asyncio.sleep(decision.seconds)
        return decision

    def _token_waits(self, organisation: str) -> tuple[float, ...]:
        """Seconds to wait for an answer to each request for tokens.

        A slow answer of a live allocator serves the caller sooner than a retry.
        """
        silent_for = self.limiter.quota.seconds_unanswered(
            local_quota.shard_of(organisation), self._clock.monotonic()
        )
        if silent_for > SILENCE_SECONDS:
            return SILENT_ALLOCATOR_WAITS_SECONDS
        return TOKEN_WAITS_SECONDS

    def _request_tokens_of_shard(self, shard: int) -> None:
        """Asks for tokens for waiting requests after the allocator changed."""
        for organisation in list(self._waiting_by_organisation):
            if local_quota.shard_of(organisation) == shard:
                self._request_tokens(organisation)

    def _request_tokens(self, organisation: str) -> None:
        waiting = self._waiting_by_organisation.get(organisation)
        if waiting:
            now = self._clock.monotonic()
            self._send(
                self.limiter.request_tokens(organisation, len(waiting), now)
            )

    def _on_tokens(self, grant: limit_messages.TokenGrant) -> None:
        """Admits waiting requests in order, one for each granted token.

        If the allocator has no more tokens, the other requests are rejected.
        """
        waiting = self._waiting_by_organisation.get(grant.organisation)
        if waiting is None:
            return
        admitted = _TokenDecision(True, grant.usable_in)
        for _ in range(min(grant.count, len(waiting))):
            _set_result(waiting.popleft(), admitted)
        if grant.retry_after > 0:
            rejected = _TokenDecision(False, grant.retry_after)
            while waiting:
                _set_result(waiting.popleft(), rejected)
        if not waiting:
            del self._waiting_by_organisation[grant.organisation]

    def _send(self, sends: list[limiters.Send]) -> None:
        for send in sends:
            self._send_to(send.address, send.message)


def _any_limited(active_catalog: catalog.ActiveCatalog) -> bool | None:
    """Whether any organisation has a limit; None without a configuration."""
    if not active_catalog.loaded:
        return None
    return active_catalog.catalog.has_rate_limits


def _retry_after(decision: _TokenDecision | None) -> float | None:
    """Seconds until a retry; None if a token is granted."""
    if decision is None:
        return DEFAULT_RETRY_AFTER
    return None if decision.granted else decision.seconds


def _set_result(future: asyncio.Future, value: _TokenDecision) -> None:
    if not future.done():
        future.set_result(value)
