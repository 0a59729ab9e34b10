"""Requests that occupy the slots of one target, and when slots become free."""

from collections.abc import Callable

from forklift import call_reserve
from forklift import latency
from forklift import request_queue
from forklift import running_request


class SlotsInUse:
    """The requests that a target runs."""

    def __init__(
        self,
        slots: Callable[[], int],
        reserve: Callable[[], call_reserve.CallReserve],
    ):
        """Creates a target without requests.

        Args:
            slots: Returns the number of slots of the target.
            reserve: Returns the slots that requests of callers may not use.
        """
        self._slots = slots
        self._reserve = reserve
        self._running_by_id: dict[object, running_request.RunningRequest] = {}

    def __len__(self) -> int:
        return len(self._running_by_id)

    def take(
        self, ticket, distribution: latency.Distribution, now: float
    ) -> None:
        """Records the start of a request."""
        self._running_by_id[ticket.id] = running_request.RunningRequest(
            ticket, now, distribution
        )

    def release(self, ticket) -> running_request.RunningRequest | None:
        """Records the end of a request; returns None if it did not run."""
        return self._running_by_id.pop(ticket.id, None)

    def exclude_pause(self, seconds: float) -> None:
        """Excludes a pause of this process from the age of requests."""
        for running in self._running_by_id.values():
            running.started += seconds

    def reserve_full(self, now: float) -> bool:
        """Whether all slots that are free are reserved for calls."""
        runs = self._running_by_id.values()
        return self._reserve().is_full(runs, self._slots(), now)

    def has_free(self, ticket, now: float) -> bool:
        """Whether a slot is free for a request."""
        if ticket.exclusive:
            return not self._running_by_id
        if self._reserve().is_limited(ticket) and self.reserve_full(now):
            return False
        return len(self) < self._slots() and not self._has_exclusive

    def usual_times(self, ticket, now: float) -> request_queue.SlotTimes:
        """When slots are free if requests take their usual time from now on."""
        return self._times(ticket, lambda run: run.remaining(now), now)

    def earliest_times(self, ticket, now: float) -> request_queue.SlotTimes:
        """When slots are free if requests take their usual time in all."""
        return self._times(ticket, lambda run: run.earliest_end(now), now)

    def _times(
        self,
        ticket,
        remaining: Callable[[running_request.RunningRequest], float],
        now: float,
    ) -> request_queue.SlotTimes:
        runs = list(self._running_by_id.values())
        runs, slots = self._reserve().usable(ticket, runs, self._slots(), now)
        free_at = [remaining(run) for run in runs]
        blocked = max(free_at) if self._has_exclusive else 0.0
        return request_queue.SlotTimes(
            free_at + [blocked] * (slots - len(free_at))
        )

    @property
    def _has_exclusive(self) -> bool:
        """Whether a running request excludes all others from the target."""
        return any(run.ticket.exclusive for run in self._running_by_id.values())
