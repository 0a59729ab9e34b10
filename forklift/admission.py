"""Admits requests to one target: the only way to it.

The gate stands beside its target and sees every request, so it knows for
certain what runs there. It keeps to the target's slots, lets urgent requests
wait ahead of others, refuses at once what can't end in time, and starts
nothing once the target leaves. All methods are synchronous.
"""

import bisect
import dataclasses
import enum
import heapq
import math

from forklift import health
from forklift import invariants
from forklift import latency
from forklift import messages

Reason = messages.Reason
State = messages.TargetState
Signal = health.Signal

# Requests that may wait for each slot, whatever their deadlines.
MAX_QUEUED_PER_SLOT = 8
# Expected wait that any request accepts: asking elsewhere costs a few
# milliseconds, and a copy of the request between failure domains; seconds.
SHORT_WAIT_SECONDS = 0.1
# Risk up to which a target counts as proven. One that answered a second ago
# is below it.
PROVEN_RISK = 0.15
# Share of sound requests that would still run, below which a request is taken
# to hang: its slot is free only at its deadline.
HANGS = 0.03
# Part of its mean time that a running request takes on from any moment: work
# scatters so that its age says little. That the first of several ends sooner is
# left out on purpose: with it more waited, and more of them in vain (mean worth
# of five days 0.291, and 0.310 without; of four days 0.269 at 0.7 and 0.286 at
# 1.2, where requests of short objectives were refused for want of time).
RESIDUAL = 1.0
# What is told as the idle time of a target that never had work, seconds.
MAX_IDLE_SECONDS = 1000.0


class RequiredHealth(enum.IntEnum):
    """How much doubt about a target a request accepts."""

    # Only a target that did well of late.
    PROVEN = 0
    # Any that nobody doubts.
    SOUND = 1
    # Any, where a second run does no harm: its sender found no better one in
    # time. Work that must not repeat stays away from doubted targets: four in
    # ten of it were lost there, and where they hang each held a slot for its
    # whole time limit.
    ANY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to run.

    Attributes:
        id: Boot and number given by its sender.
        idempotent: Whether a second run does no harm.
        priority: Rank; 0 is the most urgent.
        deadline: Monotonic seconds of this process.
        required_health: How much doubt about the target it accepts.
        soft_deadline: Monotonic seconds up to which an answer has its full
            worth.
        route: Name of its route, which tells how long it takes.
        wait: Whether it waits for a slot as long as it can; else it is
            refused where that takes long, as its sender may know a better one.
        start_by: Monotonic seconds by which it must have started; it is
            refused then, as its answer would come too late to wait for.
        exclusive: Whether it runs only while nothing else does: it may crash
            the
            target, and what ran beside it would be lost, and suspected too.
    """

    id: tuple[int, int]
    idempotent: bool
    priority: int
    deadline: float
    required_health: RequiredHealth = RequiredHealth.PROVEN
    soft_deadline: float = math.inf
    route: str = ""
    wait: bool = True
    start_by: float = math.inf
    exclusive: bool = False

    @property
    def latest_start(self) -> float:
        """Monotonic seconds after which it starts no more."""
        return min(self.deadline, self.start_by)


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The request may be sent to the target now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request waits for a slot."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request will not run here.

    Attributes:
        ticket: The request.
        reason: Why.
        retry_after: Seconds after which a slot is likely.
    """

    ticket: Ticket
    reason: Reason
    retry_after: float = 0.0


Decision = Start | Wait | Refuse


@dataclasses.dataclass
class _Running:
    ticket: Ticket
    started: float
    usual: latency.Distribution


class Controller:
    """Slots, queue and doubt of one target."""

    def __init__(self, name: str, service: str, slots: int):
        self.name = name
        self.service = service
        self.slots = slots
        self.state = State.IN_SERVICE
        self.health = health.Health()
        self.latencies = latency.RouteLatencies()
        self.version = 1
        # Until when the target is slow after its start, by its own word.
        self.cold_until = 0.0
        self.refusals_by_reason: dict[Reason, int] = {}
        self._last_start = float("-inf")
        self._running_by_id: dict[tuple[int, int], _Running] = {}
        # By urgency, then by the time up to which an answer has its full worth:
        # one that was sent away elsewhere does not begin again at the end.
        self._waiting: list[tuple[tuple[int, float, int], Ticket]] = []
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Requests that the target is running."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Requests that wait here."""
        return len(self._waiting)

    @property
    def closed(self) -> bool:
        """Whether the target starts no request any more."""
        return self.state in (State.PAUSED, State.DRAINING, State.LEFT)

    @property
    def target_leaving(self) -> bool:
        """Whether the target said that it leaves."""
        return self.state in (State.DRAINING, State.LEFT)

    def load(self, now: float, route: str = "") -> messages.Load:
        """Its load and state, as others are told.

        Args:
            now: Monotonic seconds.
            route: The route whose latency is told, where it is known.
        """
        state = self.state
        if not self.closed:
            if self.health.ejected:
                state = State.SUSPECT
            elif self.health.shedding(now):
                state = State.SHEDDING
        usual = self.latencies.get(route)
        return messages.Load(
            self.running,
            self.waiting,
            self.slots,
            state,
            self.version,
            round(usual.median, 4) if usual else 0.0,
            round(min(MAX_IDLE_SECONDS, now - self._last_start), 2),
            round(self.health.unhealthy_probability(now), 2),
            round(usual.spread, 2) if usual else 0.0,
        )

    # Requests.

    def admit(self, ticket: Ticket, now: float) -> Decision:
        """Decides on a request."""
        reason = self._unfit(ticket, now)
        if reason is not None:
            return self._refuse(ticket, reason)
        if self._fits(ticket) and not self._waiting:
            return self._start(ticket, now)
        place = (ticket.priority, ticket.soft_deadline, self._arrivals + 1)
        wait = self._expected_wait(place, now, ticket.exclusive)
        takes = self._usual(ticket, now).learned_median
        late = now + wait + takes > ticket.deadline
        late = late or now + wait > ticket.start_by
        full = self.waiting >= MAX_QUEUED_PER_SLOT * self.slots
        patient = ticket.wait or wait <= SHORT_WAIT_SECONDS
        if not patient or late or full:
            return self._refuse(ticket, Reason.BUSY, wait)
        self._arrivals += 1
        entry = (place, ticket)
        bisect.insort(self._waiting, entry, key=lambda entry: entry[0])
        return Wait(ticket)

    def cancel(self, ticket: Ticket) -> bool:
        """The sender gave up; True when it waited here and will not run."""
        before = len(self._waiting)
        self._waiting = [e for e in self._waiting if e[1].id != ticket.id]
        return len(self._waiting) < before

    def finish(
        self, ticket: Ticket, sign: Signal | None, now: float
    ) -> list[Decision]:
        """A started request ended.

        Args:
            ticket: The request.
            sign: What its end says of the target; None says nothing.
            now: Monotonic seconds.

        Returns:
            Decisions on requests that waited.
        """
        running = self._running_by_id.pop(ticket.id, None)
        if running is None:
            return []
        took = now - running.started
        if sign is Signal.WELL:
            running.usual.record(took)
        elif sign is None:
            sound = 1 - self.health.unhealthy_probability(now)
            running.usual.record_censored(
                took, sound * running.usual.survival(took)
            )
        changed = self.health.end(ticket.id, sign, now)
        return self._judged(changed) + self._next(now)

    def _judged(self, changed: bool) -> list[Decision]:
        """Acts on a doubt that was raised or lifted."""
        if not changed:
            return []
        self.version += 1
        return self._refuse_doubted() if self.health.ejected else []

    # Life of the target.

    def drain(self) -> list[Decision]:
        """The target is leaving: nothing starts any more."""
        if self.state in (State.IN_SERVICE, State.PAUSED):
            self.state = State.DRAINING
            self.version += 1
        return self._refuse_all(Reason.DRAINING)

    def pause(self) -> list[Decision]:
        """This process stops, and its target lives on: nothing starts here."""
        if self.state is State.IN_SERVICE:
            self.state = State.PAUSED
            self.version += 1
        return self._refuse_all(Reason.DRAINING)

    def leave(self) -> list[Decision]:
        """The target is gone."""
        if self.state is not State.LEFT:
            self.state = State.LEFT
            self.version += 1
        return self._refuse_all(Reason.DRAINING)

    def tick(self, now: float) -> list[Decision]:
        """Lets time pass: overdue requests raise doubt, late ones leave."""
        decisions: list[Decision] = self._expire(now)
        decisions += self._judged(self.health.evaluate(now))
        return decisions + self._next(now)

    def exclude_pause(self, seconds: float) -> None:
        """This process stood still: requests in flight aged unseen."""
        self.health.exclude_pause(seconds)
        for running in self._running_by_id.values():
            running.started += seconds

    def _usual(self, ticket: Ticket, now: float) -> latency.Distribution:
        return self.latencies.for_route(
            ticket.route, ticket.soft_deadline - now
        )

    def _expected_wait(
        self, place: tuple[int, float, int], now: float, exclusive: bool
    ) -> float:
        """Seconds until a slot is likely for one that waits at a place."""
        free = [self._residual(r, now) for r in self._running_by_id.values()]
        closed = max(free) if self._closed else 0.0
        free += [closed] * (self.slots - len(free))
        heapq.heapify(free)
        for ahead, ticket in self._waiting:
            if ahead > place:
                break
            mean = self._usual(ticket, now).mean
            heapq.heapreplace(free, free[0] + mean)
        return max(free) if exclusive else free[0]

    @property
    def _closed(self) -> bool:
        """Whether one runs that runs alone."""
        return any(run.ticket.exclusive for run in self._running_by_id.values())

    def _fits(self, ticket: Ticket) -> bool:
        """Whether there is a slot for a request."""
        if ticket.exclusive:
            return not self.running
        return self.running < self.slots and not self._closed

    def _residual(self, running: _Running, now: float) -> float:
        """Seconds that a running request is expected to take on."""
        left = max(0.0, running.ticket.deadline - now)
        if running.usual.survival(now - running.started) < HANGS:
            return left
        return min(left, RESIDUAL * running.usual.mean)

    def _unfit(self, ticket: Ticket, now: float) -> Reason | None:
        if self.closed:
            return Reason.DRAINING
        if ticket.latest_start <= now:
            return Reason.DEADLINE
        if ticket.idempotent and ticket.required_health is RequiredHealth.ANY:
            return None
        if self.health.ejected:
            scout = ticket.idempotent and self.health.allows_trial(now)
            return None if scout else Reason.DOUBTED
        if (
            ticket.idempotent
            or ticket.required_health is not RequiredHealth.PROVEN
        ):
            return None
        risky = self.health.unhealthy_probability(now) > PROVEN_RISK
        cold = now < self.cold_until
        return Reason.UNPROVEN if risky or cold else None

    def _start(self, ticket: Ticket, now: float) -> Start:
        invariants.no_new_work(self.closed, self.name)
        usual = self._usual(ticket, now)
        self._running_by_id[ticket.id] = _Running(ticket, now, usual)
        self._last_start = now
        self.health.begin(ticket.id, usual, now)
        return Start(ticket)

    def _next(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._waiting and self.running < self.slots:
            index = self._first(now)
            ticket = self._waiting[index][1]
            reason = self._unfit(ticket, now)
            if reason is None and not self._fits(ticket):
                # One that runs alone holds up the others, or never began.
                break
            del self._waiting[index]
            if reason is not None:
                decisions.append(self._refuse(ticket, reason))
            else:
                decisions.append(self._start(ticket, now))
        return decisions

    def _first(self, now: float) -> int:
        """Place of the one that waits and goes next.

        Among equally urgent ones, those go first whose answer can still have
        its full worth: to serve in order while all are late would make every
        further one late, too.
        """
        priority = self._waiting[0][1].priority
        for index, (_, ticket) in enumerate(self._waiting):
            if ticket.priority != priority:
                break
            if now + self._usual(ticket, now).median <= ticket.soft_deadline:
                return index
        return 0

    def _expire(self, now: float) -> list[Decision]:
        waiting = [entry[1] for entry in self._waiting]
        late = [ticket for ticket in waiting if ticket.latest_start <= now]
        self._waiting = [e for e in self._waiting if e[1].latest_start > now]
        return [
            self._refuse(ticket, Reason.DEADLINE, self._spare_time(ticket, now))
            for ticket in late
        ]

    def _spare_time(self, ticket: Ticket, now: float) -> float:
        """Seconds after which one that was refused may find a slot."""
        return self._usual(ticket, now).median

    def _refuse_doubted(self) -> list[Decision]:
        """Those that wait go elsewhere; none of them has run."""
        entries = self._waiting
        self._waiting = [e for e in entries if _stays(e[1])]
        closed = [e[1] for e in entries if not _stays(e[1])]
        return [self._refuse(ticket, Reason.DOUBTED) for ticket in closed]

    def _refuse_all(self, reason: Reason) -> list[Decision]:
        tickets = [entry[1] for entry in self._waiting]
        self._waiting = []
        return [self._refuse(ticket, reason) for ticket in tickets]

    def _refuse(
        self, ticket: Ticket, reason: Reason, retry_after: float = 0.0
    ) -> Refuse:
        count = self.refusals_by_reason.get(reason, 0)
        self.refusals_by_reason[reason] = count + 1
        return Refuse(ticket, reason, retry_after)


def _stays(ticket: Ticket) -> bool:
    """Whether a request waits on at a target that is doubted."""
    return ticket.idempotent and ticket.required_health is RequiredHealth.ANY
