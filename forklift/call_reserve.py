"""Reserves a part of a target's slots for the calls of runs.

Handles the load in which a service calls itself, or services call each other
in a cycle: if runs of callers took all slots, their calls would wait for slots
that the runs hold until they time out.
"""

import math
from collections.abc import Callable
from collections.abc import Iterable

from forklift import running_request

Running = running_request.RunningRequest

# Seconds after a call for which slots are reserved. As long as the runs of the
# deployments have to meet their objectives, up to 2.8 s: a run that waits for
# its calls for longer is late anyway.
RECENT_CALL_SECONDS = 3.0


class CallReserve:
    """Slots of one target that callers' requests with calls may not use."""

    def __init__(
        self,
        share: Callable[[], float] = lambda: 0.0,
        makes_calls: Callable[[str], bool] = lambda route: True,
    ):
        """Creates a reserve.

        Args:
            share: Returns the share of the slots that is reserved while calls
                arrive; 0 reserves none.
            makes_calls: Returns whether the runs of a route make calls.
        """
        self._share = share
        self._makes_calls = makes_calls
        self._last_call = -math.inf

    def record(self, ticket: running_request.Ticket, now: float) -> None:
        """Records that a request arrived."""
        if ticket.is_call:
            self._last_call = now

    def reserved(self, slots: int, now: float) -> int:
        """Number of slots that callers' requests with calls may not use.

        Args:
            slots: Number of slots of the target.
            now: Monotonic seconds.

        >>> import types
        >>> reserve = CallReserve(lambda: 0.2)
        >>> reserve.reserved(6, 1.0)
        0
        >>> reserve.record(types.SimpleNamespace(is_call=True), 1.0)
        >>> [reserve.reserved(slots, 2.0) for slots in (1, 2, 6, 10, 20)]
        [0, 1, 1, 2, 4]
        """
        if now - self._last_call > RECENT_CALL_SECONDS or slots < 2:
            return 0
        share = self._share()
        return max(1, int(slots * share)) if share > 0 else 0

    def is_limited(self, ticket: running_request.Ticket) -> bool:
        """Whether a request may not use the reserved slots.

        A request whose run makes no calls ends without the help of others.
        """
        return not ticket.is_call and self._makes_calls(ticket.route)

    def is_full(self, runs: Iterable[Running], slots: int, now: float) -> bool:
        """Whether all slots that are free are reserved.

        Args:
            runs: Requests that the target runs.
            slots: Number of slots of the target.
            now: Monotonic seconds.
        """
        reserved = self.reserved(slots, now)
        return reserved > 0 and self._count_limited(runs) >= slots - reserved

    def usable(
        self,
        ticket: running_request.Ticket,
        runs: list[Running],
        slots: int,
        now: float,
    ) -> tuple[list[Running], int]:
        """The slots that a request may use.

        Args:
            ticket: The request.
            runs: Requests that the target runs.
            slots: Number of slots of the target.
            now: Monotonic seconds.

        Returns:
            The requests that run on these slots, and their number. Requests
            that are not limited hold the reserved slots first.
        """
        reserved = self.reserved(slots, now)
        if not reserved or not self.is_limited(ticket):
            return runs, slots
        limited_last = sorted(runs, key=lambda run: self.is_limited(run.ticket))
        held = min(reserved, len(runs) - self._count_limited(runs))
        return limited_last[held:], slots - reserved

    def first_unlimited(
        self, tickets: Iterable[running_request.Ticket]
    ) -> int | None:
        """Index of the first request that may use the reserved slots."""
        for index, ticket in enumerate(tickets):
            if not self.is_limited(ticket):
                return index
        return None

    def _count_limited(self, runs: Iterable[Running]) -> int:
        return sum(self.is_limited(run.ticket) for run in runs)
