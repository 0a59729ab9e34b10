"""Admits requests to one target: the only way to it.

The gate stands beside its target and sees every request, so it knows for
certain what runs there. It keeps to the target's slots, lets urgent requests
wait ahead of others, refuses at once what can't end in time, and starts
nothing once the target leaves. All methods are synchronous.
"""

import bisect
import dataclasses
import enum
import math

from forklift import doubt
from forklift import invariants
from forklift import messages

Reason = messages.Reason
State = messages.TargetState
Sign = doubt.Sign

# Before the first answer; a guess between the services we know, seconds.
LATENCY_GUESS = 0.15
LATENCY_GAIN = 0.1
# Weight of the last outcome in the share of those that ended well: three bad
# ones in a row bring it below one half.
WELL_GAIN = 0.25
# Times the usual latency of the service after which a request is overdue.
# Work scatters with a sigma of up to 0.8, and one request in a hundred takes
# three to five times as long without anything being wrong.
OVERDUE_FACTOR = 5.0
# And never before this age: pauses of our own processes are shorter, seconds.
OVERDUE_LEAST = 0.4
# Requests that may wait for each slot, whatever their deadlines.
QUEUE_FACTOR = 8
# Expected wait that any request accepts: asking elsewhere costs a few
# milliseconds, and a copy of the request between failure domains; seconds.
SHORT_WAIT = 0.1
# Seconds since a target last accepted a request after which work that must
# not repeat is sent elsewhere first. Targets fail for seconds at a time, so
# one that was well a second ago most likely is.
PROOF_MOST = 1.0
# What is told as the age of a proof that there never was, seconds.
NO_PROOF = 1000.0


class Insist(enum.IntEnum):
    """How much doubt about a target a request accepts."""

    # Only a target that accepted a request of late.
    PROVEN = 0
    # Any that nobody doubts.
    SOUND = 1
    # Any: its sender found no better one in time.
    ANY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to run.

    Attributes:
        id: Boot and number given by its sender.
        repeatable: Whether a second run does no harm.
        priority: Rank; 0 is the most urgent.
        deadline: Monotonic seconds of this process.
        insist: How much doubt about the target it accepts.
        aim: Monotonic seconds up to which an answer has its full worth.
        wait: Whether it waits for a slot as long as it can; else it is
            refused where that takes long, as its sender may know a better one.
        start_by: Monotonic seconds by which it must have started; it is
            refused then, as its answer would come too late to wait for.
    """

    id: tuple[int, int]
    repeatable: bool
    priority: int
    deadline: float
    insist: Insist = Insist.PROVEN
    aim: float = math.inf
    wait: bool = True
    start_by: float = math.inf

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
    overdue: bool = False


class Gate:
    """Slots, queue and doubt of one target."""

    def __init__(self, name: str, service: str, slots: int):
        self.name = name
        self.service = service
        self.slots = slots
        self.state = State.IN_SERVICE
        self.doubt = doubt.Doubt()
        self.version = 1
        self.latency = LATENCY_GUESS
        # Share of the last few requests that ended well.
        self.well = 1.0
        # Until when the target is slow after its start, by its own word.
        self.cold_until = 0.0
        # Usual latency of the service's other targets; 0 while unknown.
        self.usual = 0.0
        self.refusals_by_reason: dict[Reason, int] = {}
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
    def leaving(self) -> bool:
        """Whether the target starts no request any more."""
        return self.state in (State.PAUSED, State.DRAINING, State.LEFT)

    def load(self, now: float) -> messages.Load:
        """Its load and state, as others are told."""
        state = self.state
        if self.doubt.raised and not self.leaving:
            shedding = self.doubt.sign is Sign.SHED
            state = State.SHEDDING if shedding else State.SUSPECT
        return messages.Load(
            self.running,
            self.waiting,
            self.slots,
            state,
            self.version,
            round(self.latency, 4),
            round(min(NO_PROOF, now - self.doubt.proven_at), 2),
            round(self.well, 2),
        )

    # Requests.

    def arrive(self, ticket: Ticket, now: float) -> Decision:
        """Decides on a request."""
        reason = self._unfit(ticket, now)
        if reason is not None:
            return self._refuse(ticket, reason)
        if self.running < self.slots and not self._waiting:
            return self._start(ticket, now)
        place = (ticket.priority, ticket.aim, self._arrivals + 1)
        ahead = sum(1 for entry in self._waiting if entry[0] <= place)
        wait = (ahead + 1) * self.latency / self.slots
        late = now + wait + self.latency > ticket.deadline
        late = late or now + wait > ticket.start_by
        full = self.waiting >= QUEUE_FACTOR * self.slots
        patient = ticket.wait or wait <= SHORT_WAIT
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
        self, ticket: Ticket, sign: Sign | None, now: float
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
        self.doubt.scouted(ticket.id)
        if running is None:
            return []
        took = now - running.started
        if sign is Sign.WELL:
            self.doubt.prove(running.started)
            self._note_latency(took)
            if took > self._overdue_age():
                sign = Sign.OVERDUE
        if sign is not None:
            self.well += WELL_GAIN * ((sign is Sign.WELL) - self.well)
        decisions: list[Decision] = []
        if sign is not None and not self._known_late(running, sign):
            decisions += self.note(sign, now)
        return decisions + self._next(now)

    def note(self, sign: Sign, now: float) -> list[Decision]:
        """Takes in a sign of the target's condition."""
        if not self.doubt.note(sign, now):
            return []
        self.version += 1
        if not self.doubt.raised:
            return []
        return self._refuse_doubted()

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
        age = self._overdue_age()
        for running in list(self._running_by_id.values()):
            if now - running.started >= doubt.ACCEPTED:
                self.doubt.prove(running.started)
            if not running.overdue and now - running.started > age:
                running.overdue = True
                decisions += self.note(Sign.OVERDUE, now)
        if self.doubt.fade(now):
            self.version += 1
        return decisions + self._next(now)

    def excuse(self, seconds: float) -> None:
        """This process stood still: requests in flight aged unseen."""
        for running in self._running_by_id.values():
            running.started += seconds

    def _known_late(self, running: _Running, sign: Sign) -> bool:
        """Its lateness was counted while it ran; the end adds nothing."""
        return sign is Sign.OVERDUE and running.overdue

    def _overdue_age(self) -> float:
        usual = self.usual or self.latency
        return max(OVERDUE_LEAST, OVERDUE_FACTOR * usual)

    def _note_latency(self, seconds: float) -> None:
        # In logarithms, so that one slow answer weighs no more than a fast one.
        step = LATENCY_GAIN * math.log(max(seconds, 1e-3) / self.latency)
        self.latency *= math.exp(step)

    def _unfit(self, ticket: Ticket, now: float) -> Reason | None:
        if self.leaving:
            return Reason.DRAINING
        if ticket.latest_start <= now:
            return Reason.DEADLINE
        if ticket.insist is Insist.ANY:
            return None
        if self.doubt.sign is Sign.SHED:
            # What it refuses has not run, so nothing is lost by asking.
            return None
        if self.doubt.raised:
            scout = ticket.repeatable and self.doubt.may_scout(now)
            return None if scout else Reason.DOUBTED
        if ticket.repeatable or ticket.insist is Insist.SOUND:
            return None
        stale = now - self.doubt.proven_at > PROOF_MOST
        cold = now < self.cold_until
        return Reason.UNPROVEN if stale or cold else None

    def _start(self, ticket: Ticket, now: float) -> Start:
        invariants.no_new_work(self.leaving, self.name)
        self._running_by_id[ticket.id] = _Running(ticket, now)
        if self.doubt.raised:
            self.doubt.scout(ticket.id, now)
        return Start(ticket)

    def _next(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._waiting and self.running < self.slots:
            ticket = self._take(now)
            reason = self._unfit(ticket, now)
            if reason is not None:
                decisions.append(self._refuse(ticket, reason))
            else:
                decisions.append(self._start(ticket, now))
        return decisions

    def _take(self, now: float) -> Ticket:
        """Takes the one that waits and goes next.

        Among equally urgent ones, those go first whose answer can still have
        its full worth: to serve in order while all are late would make every
        further one late, too.
        """
        priority = self._waiting[0][1].priority
        for index, (_, ticket) in enumerate(self._waiting):
            if ticket.priority != priority:
                break
            if now + self.latency <= ticket.aim:
                return self._waiting.pop(index)[1]
        return self._waiting.pop(0)[1]

    def _expire(self, now: float) -> list[Decision]:
        waiting = [entry[1] for entry in self._waiting]
        late = [ticket for ticket in waiting if ticket.latest_start <= now]
        self._waiting = [e for e in self._waiting if e[1].latest_start > now]
        return [
            self._refuse(ticket, Reason.DEADLINE, self.latency)
            for ticket in late
        ]

    def _refuse_doubted(self) -> list[Decision]:
        """Those that wait go elsewhere; none of them has run."""
        if self.doubt.sign is Sign.SHED:
            return []
        stays = Insist.ANY
        staying = [e for e in self._waiting if e[1].insist is stays]
        leaving = [e[1] for e in self._waiting if e[1].insist is not stays]
        self._waiting = staying
        return [self._refuse(ticket, Reason.DOUBTED) for ticket in leaving]

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
