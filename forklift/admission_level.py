"""Decides at the ingress process whether a request has a chance to find room.

This handles the load under which a service gets several times the requests
that its targets can serve. Without it, every process sends each request to one
full target after another before it refuses the request. Here the request is
refused at once, with the time at which room is expected.

Each process decides alone, from the ends of its own requests and from the load
reports that it receives anyway. It is adaptive throttling: a process sends at
most `HEADROOM` times the requests that were accepted recently, the most urgent
first. Only a recent refusal for lack of room lowers the level, and every sign
of room raises it, so a process without news admits all requests. Decisions are
probabilistic; the random draw is a parameter, so that processes with the same
news do not decide alike.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from forklift import messages
from forklift import rates
from forklift import target_view

Reason = messages.Reason
State = messages.TargetState

# Requests sent per accepted request. Above 1, so that the targets and not this
# estimate are the limit, and a rise of the capacity is found.
HEADROOM = 1.25
# Requests in each window that are sent in addition. A process with few requests
# has no reliable share; its estimate thus starts from "there is room".
PRIOR_REQUESTS = 1.0
# Seconds over which arrivals and refusals are counted, and the number of
# buckets. Shorter windows hold too few requests of a process that gets one a
# second; older news must not count.
WINDOW_SECONDS = 4.0
BUCKETS = 8
# Age in seconds up to which the last sign of lacking room counts in full, and
# from which it does not count. The latter is the time within which the end of
# an overload must be noticed.
LACK_CERTAIN_SECONDS = 0.5
LACK_SECONDS = 1.0
# Age in seconds up to which a reported free slot counts in full, and from which
# it does not count.
REPORT_CERTAIN_SECONDS = 0.5
REPORT_SECONDS = 2.0
# Time constant of the shares of organisations, in seconds. At one request a
# second, a shorter one could not tell a flooding organisation from chance.
ORGANISATION_SECONDS = 8.0
# Seconds for which a division among organisations is kept. It takes one step
# for each organisation, which must not be spent on each refusal.
DIVISION_SECONDS = 0.1
# Bounds on Retry-After before jitter, in seconds. Room can't be foreseen for
# longer than reports of it are valid.
MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = REPORT_SECONDS
# Less urgent priorities share the last level.
MAX_PRIORITIES = 8
# Maximum number of services and of organisations of a service; the least
# recently used one is evicted first.
MAX_SERVICES = 256
MAX_ORGANISATIONS = 256
# States of targets that take requests of any kind. A target that sheds load
# has room: its refusals do not become fewer if less is sent.
_USABLE_STATES = (State.IN_SERVICE, State.SHEDDING)


@dataclasses.dataclass(frozen=True)
class Room:
    """Room of a service as known from load reports.

    Attributes:
        free: Expected number of free slots; older reports count less.
        reports: Number of reports that are not too old.
    """

    free: float = 0.0
    reports: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether targets are known and none has a free slot."""
        return self.reports > 0 and self.free <= 0


def known_room(views: Iterable[target_view.TargetView], now: float) -> Room:
    """Returns the room of the given targets.

    Args:
        views: The reachable targets of a service.
        now: Monotonic seconds.
    """
    free, reports = 0.0, 0
    for view in views:
        age = now - view.reported_at
        if age > REPORT_SECONDS or view.state(now) not in _USABLE_STATES:
            continue
        reports += 1
        if view.has_room(now):
            weight = _fade(age, REPORT_CERTAIN_SECONDS, REPORT_SECONDS)
            free += weight * max(0, view.reported_room)
    return Room(free, reports)


def lacked_room(
    outcome: messages.Outcome, reason: Reason | None, held: float, room: Room
) -> bool:
    """Returns whether a request ended because its service has no room.

    Refusals by targets themselves and by rate limits do not indicate a lack of
    room, as sending less does not reduce them. A request that was queued and
    displaced by more urgent ones tells how full the queue was when it came,
    which is news only if it was not held for long.

    Args:
        outcome: Outcome of the request.
        reason: Why there is no response.
        held: Seconds from its arrival to its end.
        room: Room of the service.
    """
    if outcome is not messages.Outcome.NOT_RUN:
        return False
    if reason is Reason.BUSY:
        return True
    if reason is Reason.DEADLINE and held > LACK_SECONDS:
        return False
    return reason in (Reason.NO_TARGET, Reason.DEADLINE) and room.exhausted


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that enters at this process.

    Attributes:
        service: Name of the service.
        priority: Priority; 0 is the most urgent.
        organisation: Name of the calling organisation; empty if there is none.
        weight: Weight of the organisation.
    """

    service: str
    priority: int
    organisation: str = ""
    weight: float = 1.0

    @property
    def rank(self) -> int:
        """The priority, limited to `MAX_PRIORITIES`."""
        return max(0, min(self.priority, MAX_PRIORITIES - 1))


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The request is refused at once.

    Attributes:
        level: Probability with which it would have been admitted.
        retry_after: Seconds until room is expected for it.
        lack_age: Seconds since the last sign of lacking room.
    """

    level: float
    retry_after: float
    lack_age: float


@dataclasses.dataclass(frozen=True)
class ServiceLevel:
    """Level of one service, for metrics and reports.

    Attributes:
        level: Share of the requests that is admitted at present, 0 to 1.
        admitted_by_priority: Number of admitted requests.
        refused_by_priority: Number of requests refused at once.
    """

    level: float
    admitted_by_priority: dict[int, int]
    refused_by_priority: dict[int, int]


class AdmissionLevels:
    """Admission levels of all services, as known to one process.

    >>> levels = AdmissionLevels()
    >>> arrival = Arrival("s", 1)
    >>> levels.decide(arrival, Room(), 0.1, 0.99, 0.0) is None
    True
    """

    def __init__(self):
        self._state_by_service: collections.OrderedDict[str, _ServiceState] = (
            collections.OrderedDict()
        )

    def is_lacking(self, service: str, now: float) -> bool:
        """Whether a request to the service was recently refused for room.

        Otherwise all requests are admitted, whatever the room.
        """
        state = self._state_by_service.get(service)
        return state is not None and state.lacked_at(MAX_PRIORITIES) > (
            now - WINDOW_SECONDS
        )

    def is_within_part(self, arrival: Arrival, now: float) -> bool:
        """Whether an organisation sends no more than its part of scarce room.

        False if room is not scarce, or if the request has no organisation.
        """
        if not arrival.organisation or not self.is_lacking(
            arrival.service, now
        ):
            return False
        return self._state(arrival.service).is_within_part(arrival, now)

    def decide(
        self,
        arrival: Arrival,
        room: Room,
        floor: float,
        draw: float,
        now: float,
    ) -> Refusal | None:
        """Decides whether to refuse a request at once, and counts it.

        Args:
            arrival: The request.
            room: Room of the service; not used unless `is_lacking`.
            floor: Lowest probability of admission, 0 to 1. The admitted
                requests are probes.
            draw: A random number from 0 to 1.
            now: Monotonic seconds.

        Returns:
            The refusal; None if the request is admitted.
        """
        state = self._state(arrival.service)
        rank = arrival.rank
        state.count_arrival(arrival, now)
        level = state.level(arrival, room, floor, now)
        if draw < level:
            state.admitted_by_rank[rank] += 1
            return None
        state.refused_by_rank[rank] += 1
        state.window.add(_REFUSED_HERE, now)
        # The draw is uniform above the level; reuses it as jitter.
        jitter = (draw - level) / (1 - level)
        retry_after = state.retry_after(rank, jitter, now)
        return Refusal(level, retry_after, now - state.lacked_at(rank))

    def record_end(
        self,
        arrival: Arrival,
        lacked: bool,
        started_at_once: float | None,
        now: float,
    ) -> None:
        """Records the end of an admitted request.

        Args:
            arrival: The request.
            lacked: Whether it was refused for lack of room.
            started_at_once: Monotonic seconds at which it was sent to a target
                that started it without a wait; None if it waited.
            now: Monotonic seconds.
        """
        state = self._state(arrival.service)
        rank = arrival.rank
        if lacked:
            state.window.add(_LACKED, now)
            state.lacked_at_by_rank[rank] = now
        elif started_at_once is not None:
            before = state.at_once_by_rank.get(rank, -math.inf)
            state.at_once_by_rank[rank] = max(before, started_at_once)

    def levels(self, now: float) -> dict[str, ServiceLevel]:
        """Returns the level of each service, by name."""
        return {
            service: ServiceLevel(
                round(state.overall_level(now), 3),
                dict(state.admitted_by_rank),
                dict(state.refused_by_rank),
            )
            for service, state in self._state_by_service.items()
        }

    def _state(self, service: str) -> "_ServiceState":
        state = self._state_by_service.get(service)
        if state is None:
            state = self._state_by_service[service] = _ServiceState()
            if len(self._state_by_service) > MAX_SERVICES:
                self._state_by_service.popitem(last=False)
        self._state_by_service.move_to_end(service)
        return state


# Indices of counts; lower ones count arrivals by rank.
_REFUSED_HERE, _LACKED = MAX_PRIORITIES, MAX_PRIORITIES + 1


class _Window:
    """Counts events over the last `WINDOW_SECONDS`, by index."""

    def __init__(self):
        self._total = [0] * (MAX_PRIORITIES + 2)
        self._buckets: collections.deque[tuple[int, list[int]]] = (
            collections.deque()
        )

    def add(self, index: int, now: float) -> None:
        """Counts an event."""
        number = self._expire(now)
        if not self._buckets or self._buckets[-1][0] < number:
            self._buckets.append((number, [0] * len(self._total)))
        self._buckets[-1][1][index] += 1
        self._total[index] += 1

    def counts(self, now: float) -> list[int]:
        """Numbers of events by index; not to be changed by the caller."""
        self._expire(now)
        return self._total

    def seconds(self, now: float) -> float:
        """Seconds over which the counted events occurred."""
        self._expire(now)
        bucket_seconds = WINDOW_SECONDS / BUCKETS
        begin = self._buckets[0][0] * bucket_seconds if self._buckets else now
        return max(bucket_seconds, now - begin)

    def _expire(self, now: float) -> int:
        number = math.floor(now * BUCKETS / WINDOW_SECONDS)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS:
            for index, count in enumerate(self._buckets.popleft()[1]):
                self._total[index] -= count
        return number


class _ServiceState:
    """What became of the recent requests to one service."""

    def __init__(self):
        self.window = _Window()
        self.lacked_at_by_rank: dict[int, float] = {}
        self.at_once_by_rank: dict[int, float] = {}
        self.admitted_by_rank: collections.Counter[int] = collections.Counter()
        self.refused_by_rank: collections.Counter[int] = collections.Counter()
        self._return_at_by_rank: dict[int, float] = {}
        # When the share of a rank was last divided, and the part per weight.
        self._part_by_rank: dict[int, tuple[float, float]] = {}
        # Arrivals and weights of organisations, by rank and organisation.
        self._arrivals_by_caller: collections.OrderedDict[
            tuple[int, str], tuple[rates.DecayingCounter, float]
        ] = collections.OrderedDict()

    def count_arrival(self, arrival: Arrival, now: float) -> None:
        """Counts a request, whether it is admitted or refused afterwards."""
        self.window.add(arrival.rank, now)
        key = (arrival.rank, arrival.organisation)
        known = self._arrivals_by_caller.pop(key, None)
        counter = (
            known[0] if known else rates.DecayingCounter(ORGANISATION_SECONDS)
        )
        counter.record(now)
        self._arrivals_by_caller[key] = (counter, arrival.weight)
        if len(self._arrivals_by_caller) > MAX_ORGANISATIONS:
            self._arrivals_by_caller.popitem(last=False)

    def lacked_at(self, rank: int) -> float:
        """When a request of this or a more urgent rank last lacked room."""
        times = self.lacked_at_by_rank.items()
        return max((at for r, at in times if r <= rank), default=-math.inf)

    def level(
        self, arrival: Arrival, room: Room, floor: float, now: float
    ) -> float:
        """Returns the probability with which a request is admitted."""
        rank = arrival.rank
        lacked_at = self.lacked_at(rank)
        if lacked_at <= now - WINDOW_SECONDS or room.free >= 1:
            return 1.0
        if self._at_once(rank) > max(lacked_at, now - LACK_SECONDS):
            return 1.0
        share = self._share(rank, now)
        share = self._share_of_organisation(arrival, share, now)
        certainty = _fade(now - lacked_at, LACK_CERTAIN_SECONDS, LACK_SECONDS)
        refused = (1 - max(floor, share)) * certainty
        return max(room.free, 1 - refused)

    def is_within_part(self, arrival: Arrival, now: float) -> bool:
        """Whether the organisation of a counted request is not refused."""
        share = self._share(arrival.rank, now)
        return self._share_of_organisation(arrival, share, now) >= 1

    def overall_level(self, now: float) -> float:
        """Share of all requests that is admitted, whatever their rank."""
        lacked_at = self.lacked_at(MAX_PRIORITIES)
        if lacked_at <= now - WINDOW_SECONDS:
            return 1.0
        counts = self.window.counts(now)
        arrived = sum(counts[:MAX_PRIORITIES])
        share = min(1.0, self._budget(counts) / max(1.0, arrived))
        certainty = _fade(now - lacked_at, LACK_CERTAIN_SECONDS, LACK_SECONDS)
        return 1 - (1 - share) * certainty

    def retry_after(self, rank: int, jitter: float, now: float) -> float:
        """Returns the seconds until room is expected for a refused request.

        The refused requests of a rank form a virtual queue that is served at
        the rate at which the service accepts requests of this process. Those
        refused earlier thus return earlier.
        """
        accepted = self._budget(self.window.counts(now))
        interval = min(MAX_RETRY_AFTER, self.window.seconds(now) / accepted)
        at = max(
            now + MIN_RETRY_AFTER, self._return_at_by_rank.get(rank, -math.inf)
        )
        at = min(at, now + MAX_RETRY_AFTER)
        self._return_at_by_rank[rank] = at + interval
        return at + jitter * interval - now

    def _at_once(self, rank: int) -> float:
        """When a request of this or a less urgent rank last found room."""
        times = self.at_once_by_rank.items()
        return max((at for r, at in times if r >= rank), default=-math.inf)

    def _budget(self, counts: list[int]) -> float:
        """Number of requests to send in a window.

        Requests whose end is not known count as accepted.
        """
        arrived = sum(counts[:MAX_PRIORITIES])
        accepted = arrived - counts[_REFUSED_HERE] - counts[_LACKED]
        return HEADROOM * max(0, accepted) + PRIOR_REQUESTS

    def _share(self, rank: int, now: float) -> float:
        """Share of the requests of a rank that finds room, 0 to 1.

        More urgent requests come first.
        """
        counts = self.window.counts(now)
        left = self._budget(counts) - sum(counts[:rank])
        return max(0.0, min(1.0, left / max(1, counts[rank])))

    def _share_of_organisation(
        self, arrival: Arrival, share: float, now: float
    ) -> float:
        """Divides the share of a rank among organisations by their weights.

        Organisations that send less than their part are not refused. Requests
        without an organisation get the share of the rank.
        """
        if not arrival.organisation or share >= 1:
            return share
        rank = arrival.rank
        divided_at, part = self._part_by_rank.get(rank, (-math.inf, 0.0))
        if now - divided_at >= DIVISION_SECONDS:
            part = self._part_per_weight(rank, share, now)
            self._part_by_rank[rank] = (now, part)
        counter, weight = self._arrivals_by_caller[rank, arrival.organisation]
        own = part * weight
        # The number of random arrivals varies by its square root.
        return min(1.0, (own + math.sqrt(own)) / counter.count(now))

    def _part_per_weight(self, rank: int, share: float, now: float) -> float:
        """Requests that an organisation may send for each unit of weight."""
        callers = [
            (counter.count(now), weight)
            for (r, name), (counter, weight) in self._arrivals_by_caller.items()
            if r == rank and name
        ]
        callers.sort(key=lambda caller: caller[0] / caller[1])
        left = share * sum(count for count, _ in callers)
        weights = sum(weight for _, weight in callers)
        for count, weight in callers:
            if count > left / weights * weight:
                break
            left -= count
            weights -= weight
        return left / weights if weights > 0 else math.inf


def _fade(age: float, certain: float, expired: float) -> float:
    """Returns 1 up to an age of `certain`, then falls to 0 at `expired`."""
    return max(0.0, min(1.0, (expired - age) / (expired - certain)))
