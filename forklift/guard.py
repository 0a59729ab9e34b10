"""The guard: the only way to the targets beside this process.

It admits, queues or refuses each request, judges its targets by every
outcome, and is the one place that knows whether a request reached a target.
All methods are synchronous; time and references are handed in.
"""

import dataclasses
from collections.abc import Iterable

from forklift import fences
from forklift import health
from forklift import invariants
from forklift import limits
from forklift import localtarget
from forklift import messages
from forklift import policy

Reason = messages.Reason
State = messages.TargetState

# A gap between two events this long means that the process was paused.
PAUSE = 1.0
# One this long means that ages of requests say little of their targets.
STALL = 0.15
# Requests that may wait for each that may run.
QUEUE_FACTOR = 8
# Renewal of a permit, and repetition of a request for one.
PERMIT_PERIOD = 1.0
ASK_PERIOD = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The request may be sent to the target now."""

    ticket: localtarget.Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request waits for a slot."""

    ticket: localtarget.Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request will not run here.

    Attributes:
        ticket: The request.
        reason: Why.
        retry_after: Seconds after which a slot is likely.
        outcome: NOT_RUN, or UNKNOWN for a copy of one that has started.
    """

    ticket: localtarget.Ticket
    reason: Reason
    retry_after: float = 0.0
    outcome: messages.Outcome = messages.Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """A request that runs on an ejected target is not waited for any more.

    It may run twice, so its entry can send it elsewhere now rather than at
    its deadline.
    """

    ticket: localtarget.Ticket


Decision = Start | Wait | Refuse | GiveUp


@dataclasses.dataclass(frozen=True)
class AskPermit:
    """The floor owner is to be asked for a permit."""

    service: str
    target: str
    held: bool
    slow: bool


@dataclasses.dataclass(frozen=True)
class GivePermitBack:
    """The floor owner is to be told that a target is back."""

    service: str
    target: str


@dataclasses.dataclass(frozen=True)
class Probe:
    """The target's health endpoint is to be asked before trials."""

    target: str


Action = AskPermit | GivePermitBack | Probe


class Guard:
    """All targets beside this process."""

    def __init__(self):
        self.target_by_name: dict[str, localtarget.LocalTarget] = {}
        self.incarnation = 1
        self.fences = fences.Fences()
        self._last_event: float | None = None
        self.refusals_by_reason: dict[str, int] = {}

    # Targets.

    def announce(
        self,
        name: str,
        service: str,
        slots: int,
        program: policy.Service,
        now: float,
    ) -> localtarget.LocalTarget:
        """A target announced itself; the first time, or anew."""
        target = self.target_by_name.get(name)
        if target is None:
            target = localtarget.LocalTarget(name, service, slots, program, now)
            self.target_by_name[name] = target
        elif target.standing.leaving:
            target.standing.restart(now)
            target.judge = health.Judge(program.detection)
        target.slots = slots
        return target

    def drain(self, name: str, now: float) -> tuple[Refuse, ...]:
        """A target is leaving; those that wait for it are refused."""
        target = self.target_by_name[name]
        target.standing.drain(now)
        return self._refuse_waiting(target, Reason.DRAINING)

    def leave(self, name: str, now: float) -> tuple[Refuse, ...]:
        """A target is gone."""
        refused = self.drain(name, now)
        self.target_by_name[name].standing.leave(now)
        return refused

    def follow(self, programs: dict[str, policy.Service]) -> None:
        """Takes the programs of a new configuration."""
        for target in self.target_by_name.values():
            program = programs.get(target.service)
            if program is not None and program is not target.program:
                target.follow(program)

    # Requests.

    def arrive(self, ticket: localtarget.Ticket, now: float) -> Decision:
        """Decides on a request."""
        target = self.target_by_name.get(ticket.target)
        reason = self._unfit(target, ticket, now)
        if reason is not None:
            return self._refuse(ticket, reason, 0.0)
        if target.in_flight < target.allowed():
            return self._start(target, ticket, now)
        wait = target.expected_wait()
        full = len(target.queue) >= QUEUE_FACTOR * target.slots
        latest = min(ticket.deadline - now, target.program.max_wait)
        if full or wait > latest or target.standing.state is State.TRIAL:
            return self._refuse(ticket, Reason.BUSY, wait)
        until = min(ticket.deadline, now + target.program.max_wait)
        target.queue.add(limits.Waiting(ticket.id, now, until))
        target.waiting_by_id[ticket.id] = ticket
        return Wait(ticket)

    def launch(self, ticket: localtarget.Ticket, now: float) -> Reason | None:
        """The first byte is about to be sent: the point of no return.

        Returns:
            None when it may be sent; else why not, and then the request is
            proven not to run.
        """
        if ticket.incarnation != self.incarnation:
            return Reason.STALE
        if ticket.deadline <= now:
            return Reason.DEADLINE
        target = self.target_by_name[ticket.target]
        if target.standing.state is State.LEFT:
            return Reason.DRAINING
        if not self.fences.start(ticket.id, now):
            return Reason.FENCED
        return None

    def finish(
        self, ticket: localtarget.Ticket, failed: bool | None, now: float
    ) -> tuple[Decision, ...]:
        """A started request ended.

        Args:
            ticket: The request.
            failed: Whether that counts against the target; None when it
                says nothing, as after a caller's cancel.
            now: Monotonic seconds.

        Returns:
            Decisions on requests that waited.
        """
        target = self.target_by_name[ticket.target]
        target.ticket_by_id.pop(ticket.id, None)
        started = target.judge.started(ticket.id, now)
        if failed is None:
            target.judge.forget(ticket.id)
        else:
            target.judge.finish(
                ticket.id, failed, ticket.route, target.normal, now
            )
        if failed is False:
            target.answered(now - started, now)
        return self._next(target, now)

    def tried(
        self, ticket: localtarget.Ticket, failed: bool, now: float
    ) -> tuple[Action, ...]:
        """Lets the end of a request decide on a target in trial."""
        target = self.target_by_name[ticket.target]
        assessment = target.assess(now)
        if not target.standing.tried(failed, assessment, now):
            return ()
        target.judge.clear()
        return (GivePermitBack(target.service, target.name),)

    def cancel(self, ticket: localtarget.Ticket) -> bool:
        """The sender gave up; True when it is proven not to have run."""
        target = self.target_by_name.get(ticket.target)
        if target is None or ticket.id not in target.waiting_by_id:
            return False
        target.queue.remove(ticket.id)
        del target.waiting_by_id[ticket.id]
        return self.fences.check_not_run(ticket.id)

    def fence(
        self, request: fences.Identity, now: float
    ) -> tuple[bool, Refuse | None]:
        """Forbids a start, of one that waits as well.

        Returns:
            Whether it is proven never to run, and the refusal of the
            request where it waited.
        """
        not_run = self.fences.fence(request, now)
        if not not_run:
            return False, None
        for target in self.target_by_name.values():
            ticket = target.waiting_by_id.pop(request, None)
            if ticket is not None:
                target.queue.remove(request)
                return True, self._refuse(ticket, Reason.FENCED, 0.0)
        return True, None

    # Time.

    def observe(self, now: float) -> tuple[Refuse, ...]:
        """Notices a pause of this process, before anything else is done.

        After one, what waits may long be given up, and what arrives may be
        older than it says: the incarnation rises, so that both are refused.
        """
        last = self._last_event
        self._last_event = now
        if last is None or now - last < STALL:
            return ()
        for target in self.target_by_name.values():
            target.judge.excuse(now - last)
        if now - last < PAUSE:
            return ()
        self.incarnation += 1
        refused: list[Refuse] = []
        for target in self.target_by_name.values():
            refused.extend(self._refuse_waiting(target, Reason.STALE))
        return tuple(refused)

    def tick(
        self, now: float
    ) -> tuple[tuple[Decision, ...], tuple[Action, ...]]:
        """Lets time pass for every target."""
        decisions: list[Decision] = []
        actions: list[Action] = []
        for target in self.target_by_name.values():
            before = target.standing.state
            target.standing.tick(now)
            if (
                target.standing.state is State.TRIAL
                and before is not State.TRIAL
            ):
                target.judge.clear()
                actions.append(Probe(target.name))
            actions.extend(self._permits(target, now))
            decisions.extend(self._hopeless(target, now))
            decisions.extend(self._next(target, now))
        return tuple(decisions), tuple(actions)

    def check(self, name: str, now: float) -> tuple[Action, ...]:
        """Looks at the evidence against one target at once."""
        return tuple(self._permits(self.target_by_name[name], now))

    def permitted(
        self, name: str, until: float, now: float
    ) -> tuple[Refuse, ...]:
        """A permit arrived; those that wait are sent elsewhere."""
        target = self.target_by_name.get(name)
        if target is None:
            return ()
        assessment = target.assess(now)
        if not target.standing.permitted(until, assessment, now):
            return ()
        return self._refuse_waiting(target, Reason.EJECTED)

    def denied(self, name: str, cause: str, now: float) -> None:
        """The floor owner wants a target back, or can't let it go."""
        target = self.target_by_name.get(name)
        if target is None:
            return
        target.denial = localtarget.Denial(now, cause)
        if target.standing.wants_permit:
            target.standing.permitted(now, None, now)
            target.standing.tick(now)

    def _permits(
        self, target: localtarget.LocalTarget, now: float
    ) -> Iterable[Action]:
        assessment = target.assess(now)
        threshold = target.program.detection
        wanted = target.standing.observe(assessment, threshold, now)
        held = target.standing.wants_permit
        period = PERMIT_PERIOD if held else ASK_PERIOD
        if not (wanted or held) or now - target.last_ask < period:
            return ()
        slow = assessment.failures < threshold
        if slow and not held and not target.slow_alone(now):
            # Load, not a sick target; nobody is ejected for it.
            return ()
        target.last_ask = now
        return (AskPermit(target.service, target.name, held, slow),)

    def _hopeless(
        self, target: localtarget.LocalTarget, now: float
    ) -> Iterable[GiveUp]:
        if target.standing.state is not State.EJECTED:
            return
        overdue = target.judge.overdue_requests(target.normal, now)
        for request in overdue:
            ticket = target.ticket_by_id.get(request)
            if ticket is not None and ticket.repeatable:
                target.judge.forget(request)
                yield GiveUp(ticket)

    def _unfit(
        self,
        target: localtarget.LocalTarget | None,
        ticket: localtarget.Ticket,
        now: float,
    ) -> Reason | None:
        if target is None or target.service != ticket.service:
            return Reason.UNKNOWN_TARGET
        if not self.fences.may_start(ticket.id):
            return Reason.FENCED
        if ticket.incarnation != self.incarnation:
            return Reason.STALE
        if target.standing.leaving:
            return Reason.DRAINING
        if target.standing.state is State.EJECTED:
            return Reason.EJECTED
        if target.standing.state is State.TRIAL and not ticket.repeatable:
            return Reason.EJECTED
        if ticket.deadline <= now:
            return Reason.DEADLINE
        route_evidence = target.judge.route_evidence(ticket.route, now)
        if route_evidence >= target.program.detection:
            assessment = target.assess(now)
            if assessment.route == ticket.route:
                return Reason.EJECTED
        return None

    def _start(
        self,
        target: localtarget.LocalTarget,
        ticket: localtarget.Ticket,
        now: float,
    ) -> Decision:
        if not self.fences.may_start(ticket.id):
            return self._refuse(ticket, Reason.FENCED, 0.0)
        invariants.no_new_work(target.standing.leaving, target.name)
        target.ticket_by_id[ticket.id] = ticket
        target.judge.start(ticket.id, now)
        return Start(ticket)

    def _next(
        self, target: localtarget.LocalTarget, now: float
    ) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for late in target.queue.drop(now, 0.0):
            ticket = target.waiting_by_id.pop(late.id)
            reason = Reason.BUSY if ticket.deadline > now else Reason.DEADLINE
            wait = target.expected_wait()
            decisions.append(self._refuse(ticket, reason, wait))
        while len(target.queue) and target.in_flight < target.allowed():
            waiting = target.queue.take(now)
            ticket = target.waiting_by_id.pop(waiting.id)
            decisions.append(self._start(target, ticket, now))
        return tuple(decisions)

    def _refuse_waiting(
        self, target: localtarget.LocalTarget, reason: Reason
    ) -> tuple[Refuse, ...]:
        refused = []
        for waiting in target.queue.take_all():
            ticket = target.waiting_by_id.pop(waiting.id)
            refused.append(self._refuse(ticket, reason, 0.0))
        return tuple(refused)

    def _refuse(
        self, ticket: localtarget.Ticket, reason: Reason, retry_after: float
    ) -> Refuse:
        count = self.refusals_by_reason.get(reason, 0)
        self.refusals_by_reason[reason] = count + 1
        if self.fences.started(ticket.id):
            unknown = messages.Outcome.UNKNOWN
            return Refuse(ticket, Reason.FENCED, 0.0, unknown)
        self.fences.check_not_run(ticket.id)
        return Refuse(ticket, reason, retry_after)
