"""Holds requests back until it is known whether their organisation may send."""

import asyncio
import collections
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

_log = structlog.get_logger(__name__)

# Seconds after which a question that was not answered is asked again, and those
# for which a request waits after that: a few times the way to any process.
ASK_RETRY_DELAY = 0.03
ASK_TIMEOUT = 0.05
# Seconds after which to come back when nobody said anything better, and the
# least that is told.
DEFAULT_RETRY_AFTER = 0.5
MIN_RETRY_AFTER = 0.1

MESSAGE_TYPES = (
    limit_messages.Delegation,
    limit_messages.Allocation,
    limit_messages.Handover,
)


class AsyncLimiter:
    """The asyncio side of the limits."""

    def __init__(
        self,
        directory: membership.Directory,
        bounds: rate_limits.Bounds,
        active_catalog: catalog.ActiveCatalog,
        fleet_size_known: Callable[[], bool],
        send: Callable[[str, messages.Control], object],
        clock: clocks.SystemClock,
        rng: random.Random,
    ):
        """Makes one that knows nothing yet.

        Args:
            directory: Who is there.
            bounds: What may be run beyond limits.
            active_catalog: Names the organisations and their limits.
            fleet_size_known: Whether the number of processes is known.
            send: Hands a message to the network.
            clock: Time.
            rng: Spreads those that come back.
        """
        self.limiter = limiters.Limiter(
            directory,
            bounds,
            lambda name: active_catalog.catalog.organisation(name),
            lambda: active_catalog.catalog.has_rate_limits,
            fleet_size_known,
            self._tokens,
        )
        self._active_catalog = active_catalog
        self._send_to = send
        self._clock = clock
        self._rng = rng
        self._waiting_by_organisation: dict[str, collections.deque] = {}

    async def admit(self, organisation: str) -> float | None:
        """Lets a request in, or says after how many seconds to come back.

        Returns:
            None where it is let in.
        """
        if not organisation:
            return None
        now = self._clock.monotonic()
        found = self.limiter.quota.admit(organisation, now)
        if found.decision is local_quota.Decision.ADMIT:
            return None
        wait = found.retry_after
        if found.decision is local_quota.Decision.ASK_ALLOCATOR:
            wait = await self._asked(organisation)
            self.limiter.quota.record_outcome(organisation, wait is None)
        if wait is None:
            return None
        # Those that were refused together are to return one by one.
        return max(MIN_RETRY_AFTER, wait) * (1 + self._rng.random())

    def log_rejection(
        self, request_id: str, organisation: str, wait: float
    ) -> None:
        """Logs by which limit a request was refused."""
        now = self._clock.monotonic()
        current = self._active_catalog.catalog
        limit = current.organisation(organisation)
        allowed = self.limiter.quota
        _log.info(
            "limited",
            request=request_id,
            organisation=organisation,
            rate=limit.rate if limit is not None else 0.0,
            part=round(allowed.leased_share(organisation, now), 4),
            allocator=self.limiter.allocator_of(organisation),
            heard=allowed.seconds_since_allocation(organisation, now),
            wait=round(wait, 2),
            version=current.version,
        )

    def refund(self, organisation: str) -> None:
        """A request that was let in has not run, and never will."""
        if organisation:
            now = self._clock.monotonic()
            self.limiter.quota.refund(organisation, now)

    def tick(self, now: float) -> None:
        """Lets time pass."""
        self._send(self.limiter.tick(now))

    def receive(self, message: messages.Control) -> None:
        """Another process sent something about limits."""
        self._send(self.limiter.receive(message, self._clock.monotonic()))

    async def _asked(self, organisation: str) -> float | None:
        """Waits for the word of the allocator; None where it grants a token."""
        told = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_organisation.setdefault(
            organisation, collections.deque()
        )
        waiting.append(told)
        if len(waiting) == 1:
            # Those that come in this turn of the loop are asked for at once.
            asyncio.get_running_loop().call_soon(self._ask, organisation)
        try:
            for seconds in (ASK_RETRY_DELAY, ASK_TIMEOUT):
                done, _ = await asyncio.wait([told], timeout=seconds)
                if done:
                    return told.result()
                self._ask(organisation)
            return DEFAULT_RETRY_AFTER
        finally:
            if told in waiting:
                waiting.remove(told)

    def _ask(self, organisation: str) -> None:
        waiting = self._waiting_by_organisation.get(organisation)
        if waiting:
            now = self._clock.monotonic()
            self._send(
                self.limiter.request_tokens(organisation, len(waiting), now)
            )

    def _tokens(self, told: limit_messages.TokenGrant) -> None:
        """Those that wait go on in turn; the others learn that none is left."""
        waiting = self._waiting_by_organisation.get(told.organisation)
        if waiting is None:
            return
        for _ in range(min(told.count, len(waiting))):
            _settle(waiting.popleft(), None)
        if told.retry_after > 0:
            while waiting:
                _settle(waiting.popleft(), told.retry_after)
        if not waiting:
            del self._waiting_by_organisation[told.organisation]

    def _send(self, sends: list[limiters.Send]) -> None:
        for one in sends:
            self._send_to(one.address, one.message)


def _settle(future: asyncio.Future, value: float | None) -> None:
    if not future.done():
        future.set_result(value)
