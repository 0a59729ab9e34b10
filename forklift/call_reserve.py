"""Reserves a part of a target's slots for the calls of runs.

Handles the load in which a service calls itself, or services call each other
in a cycle: if runs of callers took all slots, their calls would wait for slots
that the runs hold until they time out.
"""

import math
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar

_Running = TypeVar("_Running", bound="Running")

# Seconds after a call for which slots are reserved. As long as the runs of the
# deployments have to meet their objectives, up to 2.8 s: a run that waits for
# its calls for longer is late anyway.
RECENT_CALL_SECONDS = 3.0


class Ticket(Protocol):
    """A request for admission, see `admission.Ticket`."""

    is_call: bool


class Running(Protocol):
    """A request that the target runs."""

    ticket: Ticket


class CallReserve:
    """Slots of one target that requests of callers may not use."""

    def __init__(self, share: Callable[[], float] = lambda: 0.0):
        """Creates a reserve.

        Args:
            share: Returns the share of the slots that is reserved while calls
                arrive; 0 reserves none.
        """
        self._share = share
        self._last_call = -math.inf

    def record(self, ticket: Ticket, now: float) -> None:
        """Records that a request arrived."""
        if ticket.is_call:
            self._last_call = now

    def reserved(self, slots: int, now: float) -> int:
        """Number of slots that requests of callers may not use.

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

    def blocks_callers(
        self, runs: Collection[Running], slots: int, now: float
    ) -> bool:
        """Whether all slots that are free are reserved for calls.

        Args:
            runs: Requests that the target runs.
            slots: Number of slots of the target.
            now: Monotonic seconds.
        """
        reserved = self.reserved(slots, now)
        return reserved > 0 and _count_callers(runs) >= slots - reserved

    def usable(
        self, ticket: Ticket, runs: list[_Running], slots: int, now: float
    ) -> tuple[list[_Running], int]:
        """The slots that a request may use.

        Args:
            ticket: The request.
            runs: Requests that the target runs.
            slots: Number of slots of the target.
            now: Monotonic seconds.

        Returns:
            The requests that run on these slots, and their number. Running
            calls hold the reserved slots first.
        """
        reserved = 0 if ticket.is_call else self.reserved(slots, now)
        if not reserved:
            return runs, slots
        calls_first = sorted(runs, key=lambda run: not run.ticket.is_call)
        held = min(reserved, len(runs) - _count_callers(runs))
        return calls_first[held:], slots - reserved


def first_call(tickets: Iterable[Ticket]) -> int:
    """Index of the first call; 0 if there is none."""
    calls = (index for index, one in enumerate(tickets) if one.is_call)
    return next(calls, 0)


def _count_callers(runs: Iterable[Running]) -> int:
    return sum(not run.ticket.is_call for run in runs)
