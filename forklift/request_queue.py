"""Queue of the requests that wait for one target.

Requests are ordered by priority, soft deadline and arrival, or by fair queueing
while overload control is on. Both orders are derived from the same entries, so
a change of the mode takes effect at the next decision and loses no request.
"""

import bisect
import dataclasses
import heapq
import math
from collections.abc import Callable

from forklift import fair_queueing
from forklift import latency
from forklift import room_usage

# Standard deviations above the median latency that must be left before the
# objective while a request waits under fair queueing. Most requests start as
# late as they may then, so with the median alone half of them would end late.
START_DEVIATIONS = 1.5


class SlotTimes:
    """When the slots of a target are expected to become free.

    >>> times = SlotTimes([0.5, 0.1])
    >>> times.take(1.0)
    >>> times.wait(), times.wait(exclusive=True)
    (0.5, 1.1)
    """

    def __init__(self, free_at: list[float]):
        """Creates the times of all slots.

        Args:
            free_at: Seconds until each slot is free.
        """
        self._free_at = free_at
        heapq.heapify(free_at)

    def wait(self, exclusive: bool = False) -> float:
        """Seconds until a slot is free, or all of them."""
        return max(self._free_at) if exclusive else self._free_at[0]

    def take(self, seconds: float) -> None:
        """Occupies the first free slot for some seconds."""
        heapq.heapreplace(self._free_at, self._free_at[0] + seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What a target is expected to have free.

    Attributes:
        slots: Number of slots.
        capacity: Maximum number of queued requests.
        usual: Returns when slots are free, if running requests take their usual
            time from now on.
        earliest: Returns when slots are free, if running requests take their
            usual time from their start on.
        limit_wait: Returns the seconds until the rate limit lets a request
            start, from the number of requests before it and its priority.
    """

    slots: int
    capacity: int
    usual: Callable[[], SlotTimes]
    earliest: Callable[[], SlotTimes]
    limit_wait: Callable[[int, int], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """A queued request that is refused in favour of another one.

    Attributes:
        ticket: The request.
        wait: Seconds until a slot would have been free for it.
    """

    ticket: object
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Place of a new request.

    Attributes:
        wait: Expected seconds until it starts.
        has_room: Whether the queue has room for it.
        displaced: Requests to refuse if it is queued.
    """

    wait: float
    has_room: bool
    displaced: tuple[Displaced, ...] = ()


class Queue:
    """Requests that wait for one target, and the order of their starts.

    Attributes:
        usage: Who got room and who was refused.
    """

    def __init__(
        self,
        distribution: Callable[[object, float], latency.Distribution],
        rules: fair_queueing.Rules,
    ):
        """Creates an empty queue.

        Args:
            distribution: Returns the latency distribution of a request at a
                time, in monotonic seconds.
            rules: What fair queueing depends on.
        """
        self._distribution = distribution
        self._rules = rules
        self._fair = fair_queueing.FairQueueing(rules)
        self._was_fair = False
        # Sorted by priority, then by soft deadline. A request that another
        # target refused thus keeps its place.
        self._entries: list[tuple[tuple[int, float, int], object]] = []
        self._arrivals = 0
        self.usage = room_usage.RoomUsage()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def tickets(self) -> list:
        """Requests in the queue, by priority, soft deadline and arrival."""
        return [ticket for _, ticket in self._entries]

    def is_fair(self) -> bool:
        """Whether fair queueing is in force.

        The tags are dropped when it ends. When it begins, nobody has had
        anything in advance, so no organisation gets a burst.
        """
        enabled = self._rules.is_enabled()
        if self._was_fair and not enabled:
            self._fair.clear()
        self._was_fair = enabled
        return enabled

    def ordered(self, now: float) -> list:
        """Returns the requests in the order of their expected starts."""
        if not self.is_fair():
            return self.tickets
        return [one.ticket for one in self._fair_order(self._entries, now)]

    def head(self, now: float):
        """Returns the first request of the order; None if the queue is empty.

        Without fair queueing, `next` may return another request.
        """
        if self.is_fair():
            return self.next(now)
        return self._entries[0][1] if self._entries else None

    def next(self, now: float):
        """Returns the request to start next; None if the queue is empty.

        Among requests of the highest priority, the first that can still meet
        its latency objective goes first. Serving late requests first would
        make the requests behind them miss their objectives, too.
        """
        if not self._entries:
            return None
        if self.is_fair():
            return next(self._fair_order(self._entries, now)).ticket
        priority = self._entries[0][1].priority
        for _, ticket in self._entries:
            if ticket.priority != priority:
                break
            if self._is_in_time(ticket, now):
                return ticket
        return self._entries[0][1]

    def latest_start(self, ticket, now: float) -> float:
        """Returns until when a request may wait, in monotonic seconds.

        A request that needs no wait may start later, as its slot would be idle
        otherwise. So may one that has no time limit by its objective, such as a
        retry.
        """
        if not self.is_fair() or ticket.start_by > ticket.soft_deadline:
            return ticket.latest_start
        left = self._distribution(ticket, now).learned_quantile(
            START_DEVIATIONS
        )
        return min(ticket.latest_start, ticket.soft_deadline - left)

    def place(self, ticket, now: float, room: Room) -> Placement:
        """Returns the place that a new request would have.

        Args:
            ticket: The request.
            now: Monotonic seconds.
            room: What the target is expected to have free.
        """
        if self.is_fair():
            return self._place_fairly(ticket, now, room)
        position = self._position(ticket)
        slots = room.usual()
        ahead = 0
        for other_position, other in self._entries:
            if other_position > position:
                break
            ahead += 1
            slots.take(self._distribution(other, now).mean)
        wait = max(
            slots.wait(ticket.exclusive),
            room.limit_wait(ahead, ticket.priority),
        )
        return Placement(wait, len(self) < room.capacity)

    def add(self, ticket) -> None:
        """Queues a request."""
        entry = (self._position(ticket), ticket)
        self._arrivals += 1
        bisect.insort(self._entries, entry, key=lambda entry: entry[0])

    def remove(self, ticket) -> bool:
        """Removes a request; returns False if it is not queued."""
        return bool(self.remove_if(lambda other: other.id == ticket.id))

    def remove_if(self, is_removed: Callable[[object], bool]) -> list:
        """Removes requests, and returns them in their order."""
        removed = [ticket for ticket in self.tickets if is_removed(ticket)]
        if removed:
            ids = {ticket.id for ticket in removed}
            self._entries = [e for e in self._entries if e[1].id not in ids]
            for ticket in removed if self.is_fair() else ():
                self._fair.record_removal(ticket, self.tickets)
        return removed

    def record_start(self, ticket, now: float) -> None:
        """Removes a request that starts, and charges it to its organisation."""
        self.usage.record_start(ticket.priority)
        waiting = self._entries
        self._entries = [e for e in waiting if e[1].id != ticket.id]
        if not self.is_fair():
            return
        seconds = self._distribution(ticket, now).mean
        self.usage.record_work(ticket.organisation, seconds, now)
        tickets = [one for _, one in waiting]
        if tickets and len(tickets) == len(self._entries):
            # A call may start on a reserved slot without having waited.
            tickets.append(ticket)
        self._fair.record_start(ticket, seconds, tickets)

    def record_end(self, ticket) -> None:
        """Records the end of a started request."""
        if self.is_fair():
            self._fair.record_end(ticket, self.tickets)

    def _position(self, ticket) -> tuple[int, float, int]:
        return ticket.priority, ticket.soft_deadline, self._arrivals + 1

    def _is_in_time(self, ticket, now: float) -> bool:
        median = self._distribution(ticket, now).median
        return now + median <= ticket.soft_deadline

    def _fair_order(self, entries, now: float):
        """Yields candidates in the order of fair queueing."""
        candidates = []
        # The estimates of a route are the same for all its requests.
        estimates_by_route: dict[str, tuple[float, float]] = {}
        for position, ticket in entries:
            estimates = estimates_by_route.get(ticket.route)
            if estimates is None:
                distribution = self._distribution(ticket, now)
                estimates = distribution.median, distribution.mean
                estimates_by_route[ticket.route] = estimates
            median, mean = estimates
            in_time = now + median <= ticket.soft_deadline
            candidates.append(
                fair_queueing.Candidate(ticket, position[2], mean, in_time)
            )
        return self._fair.order(candidates)

    def _place_fairly(self, ticket, now: float, room: Room) -> Placement:
        """Returns the place of a request, and the requests that it displaces.

        A queued request is refused in its favour if it comes later in the order
        and can't start in time any more. If the queue is full even so, the last
        request in the order is refused. Slots are expected to become free at
        the earliest times: the usual ones do not shrink while running requests
        go on, so they would refuse queued requests, and urgent ones with a
        short objective, that do start in time. The new request is expected to
        wait until those of its priority and organisation before it have started
        at the rate at which these were served lately: requests of others that
        arrive later may go first.
        """
        entries = list(self._entries)
        bisect.insort(
            entries,
            (self._position(ticket), ticket),
            key=lambda entry: entry[0],
        )
        slots = room.earliest()
        priority, organisation = ticket.priority, ticket.organisation
        class_share = self._fair.share(priority)
        flow_share = self._fair.share(priority, organisation)
        class_seconds = flow_seconds = 0.0
        first_wait = slots.wait()
        own_wait = math.inf
        displaced: list[Displaced] = []
        kept: list[Displaced] = []
        for candidate in self._fair_order(entries, now):
            other = candidate.ticket
            limit_wait = room.limit_wait(len(kept), other.priority)
            wait = max(slots.wait(other.exclusive), limit_wait)
            if other is ticket:
                share_wait = max(
                    class_seconds / class_share, flow_seconds / flow_share
                )
                own_wait = max(wait, first_wait + share_wait / room.slots)
            elif math.isfinite(own_wait) and now + wait > self.latest_start(
                other, now
            ):
                displaced.append(Displaced(other, wait))
                continue
            kept.append(Displaced(other, wait))
            if other.priority == priority:
                class_seconds += candidate.seconds
                if other.organisation == organisation:
                    flow_seconds += candidate.seconds
            slots.take(candidate.seconds)
        if len(kept) <= room.capacity:
            return Placement(own_wait, True, tuple(displaced))
        last = kept[-1]
        if last.ticket is ticket:
            return Placement(own_wait, False)
        return Placement(own_wait, True, (*displaced, last))
