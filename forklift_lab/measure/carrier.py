"""Carries requests and messages around the real decisions of one process.

It is to the virtual clock what `forklift.shell` is to the real one; all that
decides is the product's own code.
"""

import collections
import dataclasses
import itertools
import random

from forklift import decisions
from forklift import entry
from forklift import guard
from forklift import localtarget
from forklift import messages
from forklift import ownership

State = messages.TargetState
Outcome = messages.Outcome
Reason = messages.Reason

TICK = 0.05
BEAT = 0.2
CONFIRM = 1.0
READ_SHARE = 0.85


@dataclasses.dataclass
class Job:
    """A request on its way through the world."""

    number: int
    service: str
    route: str
    wish: entry.Wish
    born: float
    at: "Process"
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    refusals: int = 0
    starts: int = 0
    over: bool = False
    last: entry.Ending = entry.Ending(Outcome.NOT_RUN, Reason.NO_TARGET)


@dataclasses.dataclass
class Try:
    """One attempt of a job."""

    job: Job
    choice: entry.Choice
    ticket: localtarget.Ticket
    over: bool = False
    begun: float = 0.0


class Process:
    """One process with the real decisions, and the carrying around them."""

    def __init__(self, world, name: str, domain: str, number: int):
        self.world = world
        self.name = name
        self.domain = domain
        self.dead = False
        self.paused_until = 0.0
        self._held: collections.deque = collections.deque()
        self._running: dict[tuple[int, int], Try] = {}
        self._waiting: dict[tuple[int, int], Try] = {}
        self._asked: dict[str, set[int]] = collections.defaultdict(set)
        self._tries: dict[int, Try] = {}
        self._seq = itertools.count(1)
        info = messages.ProcessInfo(
            name, number, 1, domain, name, name, name, 1, 0.0, (), 0
        )
        effects = decisions.Effects(
            send=lambda address, m: world.send(self, address, m),
            append=world.append,
            settle=self.settle,
            probe=lambda target: None,
            began=self._began,
        )
        rng = random.Random(world.rng.random())
        self.decisions = decisions.Decisions(info, effects, world, rng, 3600.0)
        self.guard = self.decisions.guard
        self.entry = self.decisions.entry

    # Carrying.

    def hand(self, message) -> None:
        """A message or record arrives; a frozen process reads it later."""
        if self.dead:
            return
        if self.frozen:
            self._held.append(message)
            return
        if isinstance(message, messages.Takeover | messages.Release):
            self.decisions.lease(message)
        else:
            self.decisions.receive(message)

    @property
    def frozen(self) -> bool:
        """Whether it is paused at this moment."""
        return self.world.now < self.paused_until

    def pause(self, seconds: float) -> None:
        """Freezes it."""
        self.paused_until = self.world.now + seconds
        self.world.after(seconds, self._wake)

    def _wake(self) -> None:
        while self._held:
            held = self._held.popleft()
            if callable(held):
                held()
            else:
                self.hand(held)

    def publication(self, offset: int, record: messages.Publication) -> None:
        """A publication was read from the log."""
        if self.frozen:
            self._held.append(lambda: self.publication(offset, record))
            return
        before = self.decisions.configuration.total
        if self.decisions.configuration.publish(offset, record):
            self.decisions.follow(record.policy)
        after = self.decisions.configuration.total
        self.world.figures.version(self.name, before, after, self.world.now)

    def begin(self) -> None:
        """The process starts: it meets the others, its target announces."""
        for other in self.world.process_by_name.values():
            if other is not self:
                self.decisions.member(other.decisions.directory.own)
        self.announce()
        self._tick()
        self._confirm()

    def announce(self) -> None:
        """The target announces itself."""
        target = self.world.target_by_name[self.name]
        self.decisions.announce(
            self.name, target.service, self.domain, self.world.deployment.slots
        )

    def _tick(self) -> None:
        if self.dead:
            return
        if not self.frozen:
            self.decisions.tick()
            self._beat()
            self.world.figures.standing(self, self.world.now)
        self.world.after(TICK, self._tick)

    def _confirm(self) -> None:
        if not self.world.log_away and not self.frozen:
            self.decisions.owner.confirmed(self.world.now)
        self.world.after(CONFIRM, self._confirm)

    def _beat(self) -> None:
        now = self.world.now
        if int(now / TICK) % int(BEAT / TICK):
            return
        for name, numbers in self._asked.items():
            if not numbers:
                self.entry.settled(name)
                continue
            self.entry.sent(name, now)
            self._ask_for_sign(self.world.process_by_name[name])
        for name in self.entry.to_beat(now):
            self._ask_for_sign(self.world.process_by_name[name])
        for name in self.entry.silent(now):
            for number in list(self._asked[name]):
                attempt = self._tries[number]
                if attempt.job.wish.repeatable:
                    self._ended(attempt, entry.Ending(
                        Outcome.UNKNOWN, Reason.PEER_LOST), None)  # fmt: skip

    def _ask_for_sign(self, other: "Process") -> None:
        if self.world.passes(self, other):
            delay = self.world.latency(self, other)
            self.world.after(delay, lambda: other.echo(self))

    def echo(self, asker: "Process") -> None:
        """A beat arrived: answer it."""
        if self.frozen:
            self._held.append(lambda: self.echo(asker))
        elif self.world.passes(self, asker):
            self.world.after(self.world.latency(self, asker), lambda: (
                asker.entry.heard(self.name)))  # fmt: skip

    def _began(self, began: ownership.Began) -> None:
        self.world.figures.leases += 1

    # The role of entry.

    def accept(self, service: str) -> None:
        """A caller arrives."""
        world = self.world
        program = self.decisions.program(service)
        if program is None or self.frozen:
            if self.frozen:
                self._held.append(lambda: self.accept(service))
            return
        repeatable = world.rng.random() < READ_SHARE
        method = "GET" if repeatable else "POST"
        route = "/search" if world.rng.random() < 0.3 else "/browse"
        deadline = world.now + program.deadline
        wish = entry.Wish(service, method, repeatable, deadline)
        job = Job(next(self._seq), service, route, wish, world.now, self)
        world.figures.asked += 1
        if not self.entry.knows(service):
            self._hand_on(job)
            return
        self.entry.first(wish)
        self._attempt(job)

    def _hand_on(self, job: Job) -> None:
        others = [
            p
            for p in self.world.process_by_name.values()
            if p.entry.knows(job.service) and not p.dead and not p.frozen
        ]
        job.at = self.world.rng.choice(others)
        job.at.entry.first(job.wish)
        job.at._attempt(job)

    def _attempt(self, job: Job) -> None:
        now = self.world.now
        choice = self.entry.choose(job.wish, frozenset(job.tried), now)
        if choice is None:
            self._over(job, job.last)
            return
        job.tried.add(choice.target)
        number = next(self._seq)
        other = self.world.process_by_name[choice.process]
        own = self.decisions.directory.own
        ticket = localtarget.Ticket(
            (own.boot, number),
            choice.target,
            job.service,
            job.route,
            job.wish.repeatable,
            job.wish.deadline,
            other.guard.incarnation,
        )
        attempt = Try(job, choice, ticket)
        attempt.job_done = lambda status, refused, real: other.target_done(
            attempt, status, refused
        )
        self._tries[number] = attempt
        self._asked[choice.process].add(number)
        left = job.wish.deadline - now + 0.05
        self.world.after(left, lambda: self._late(attempt))
        if other.dead:
            self.entry.path_failed(choice.process, "unreachable", now)
            self._ended(attempt, entry.Ending(
                Outcome.NOT_RUN, Reason.PEER_LOST), None)  # fmt: skip
        elif self.world.passes(self, other):
            delay = self.world.latency(self, other)
            self.world.after(delay, lambda: other.arrive(attempt))

    def _late(self, attempt: Try) -> None:
        if not attempt.over:
            self._ended(attempt, entry.Ending(
                Outcome.UNKNOWN, Reason.TIMEOUT), None)  # fmt: skip

    def answer(self, attempt: Try, ending: entry.Ending, load) -> None:
        """The guard's word arrives."""
        if self.frozen:
            self._held.append(lambda: self.answer(attempt, ending, load))
            return
        self.entry.heard(attempt.choice.process)
        if not attempt.over:
            self._ended(attempt, ending, load)

    def _ended(self, attempt: Try, ending: entry.Ending, load) -> None:
        attempt.over = True
        job = attempt.job
        now = self.world.now
        number = attempt.ticket.id[1]
        self._asked[attempt.choice.process].discard(number)
        self._tries.pop(number, None)
        self.entry.ended(job.wish, attempt.choice, load, now)
        if ending.outcome is Outcome.NOT_RUN:
            job.refusals += 1
            if _refuses_route(ending, load):
                self.entry.refused_route(job.wish, attempt.choice, now)
        else:
            job.attempts += 1
        failed = ending.status >= 500 or ending.outcome is not Outcome.ANSWERED
        self.noticed(attempt.choice, failed)
        job.last = ending
        if failed and self.entry.retry(
            job.wish, ending, job.attempts, job.refusals, now
        ):
            self._attempt(job)
            return
        self._over(job, ending)

    def noticed(self, choice: entry.Choice, failed: bool) -> None:
        """A baseline may learn from how an attempt ended."""

    def _over(self, job: Job, ending: entry.Ending) -> None:
        if not job.over:
            job.over = True
            self.world.figures.over(job, ending, self.world.now)

    # The role of guard.

    def arrive(self, attempt: Try) -> None:
        """A request arrives."""
        if self.dead:
            return
        if self.frozen:
            self._held.append(lambda: self.arrive(attempt))
            return
        self.settle(self.guard.observe(self.world.now))
        decision = self.guard.arrive(attempt.ticket, self.world.now)
        if isinstance(decision, guard.Wait):
            self._waiting[attempt.ticket.id] = attempt
        elif isinstance(decision, guard.Start):
            self._launch(attempt)
        else:
            self._refuse(attempt, decision)

    def settle(self, made: tuple[guard.Decision, ...]) -> None:
        """Carries out decisions on requests that waited."""
        for decision in made:
            if isinstance(decision, guard.GiveUp):
                self._give_up(decision.ticket)
                continue
            attempt = self._waiting.pop(decision.ticket.id, None)
            if attempt is None:
                continue
            if isinstance(decision, guard.Start):
                self._launch(attempt)
            else:
                self._refuse(attempt, decision)

    def target_done(self, attempt: Try, status: int, refused: bool) -> None:
        """The target answered, or refused the connection."""
        if self.frozen:
            self._held.append(lambda: self.target_done(
                attempt, status, refused))  # fmt: skip
            return
        if self._running.pop(attempt.ticket.id, None) is None:
            return
        program = self.decisions.program(attempt.job.service)
        failed = refused or status == 0 or program.is_failure(status)
        self._finish(attempt, failed)
        if refused:
            ending = entry.Ending(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        elif status == 0:
            ending = entry.Ending(Outcome.UNKNOWN, Reason.TARGET_BROKE)
        else:
            ending = entry.Ending(Outcome.ANSWERED, None, status)
        self._reply(attempt, ending)

    def _launch(self, attempt: Try) -> None:
        now = self.world.now
        target = self.world.target_by_name[attempt.ticket.target]
        refused = target.fault == "refuse"
        if not refused:
            reason = self.guard.launch(attempt.ticket, now)
            if reason is not None:
                self._finish(attempt, None)
                self._reply(attempt, entry.Ending(Outcome.NOT_RUN, reason))
                return
            attempt.job.starts += 1
        self._running[attempt.ticket.id] = attempt
        trial = self.guard.target_by_name[attempt.ticket.target].standing.state
        self.world.figures.trial = trial is State.TRIAL
        target.start(attempt)
        left = attempt.ticket.deadline - now
        self.world.after(left, lambda: self._timeout(attempt))

    def _timeout(self, attempt: Try) -> None:
        if self.frozen:
            self._held.append(lambda: self._timeout(attempt))
        elif self._running.pop(attempt.ticket.id, None) is not None:
            self._finish(attempt, True)
            self._reply(attempt, entry.Ending(
                Outcome.UNKNOWN, Reason.TIMEOUT))  # fmt: skip

    def _give_up(self, ticket: localtarget.Ticket) -> None:
        attempt = self._running.pop(ticket.id, None)
        if attempt is not None:
            self._finish(attempt, None)
            self._reply(attempt, entry.Ending(Outcome.UNKNOWN, Reason.EJECTED))

    def _finish(self, attempt: Try, failed: bool | None) -> None:
        now = self.world.now
        waiting = self.guard.finish(attempt.ticket, failed, now)
        if failed is not None:
            self.decisions.act(self.guard.tried(attempt.ticket, failed, now))
        if failed:
            self.decisions.act(self.guard.check(attempt.ticket.target, now))
        self.settle(waiting)

    def _refuse(self, attempt: Try, refusal: guard.Refuse) -> None:
        self._reply(attempt, entry.Ending(
            refusal.outcome, refusal.reason, 0, refusal.retry_after
        ))  # fmt: skip

    def _reply(self, attempt: Try, ending: entry.Ending) -> None:
        target = self.guard.target_by_name[attempt.ticket.target]
        load = target.load(self.world.now)
        asker = attempt.job.at
        if self.world.passes(self, asker):
            delay = self.world.latency(self, asker)
            self.world.after(delay, lambda: asker.answer(
                attempt, ending, load))  # fmt: skip


def _refuses_route(ending: entry.Ending, load: messages.Load | None) -> bool:
    """Whether a target in service refused one route."""
    if ending.reason is not Reason.EJECTED or load is None:
        return False
    return load.state not in (State.EJECTED, State.TRIAL)
