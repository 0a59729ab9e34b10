"""Replays a load on gates, on simulated time: no sockets, no loop.

Requests come at given times and walk over the gates as their entries have them
do; what a gate lets in takes a drawn time, or hangs to its deadline where its
target is in a bad phase.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from forklift import admission
from forklift import health
from forklift import retries
from forklift.shell import ticker

Signal = health.Signal
TICK = ticker.BUSY_INTERVAL
# Seconds from one gate to the next.
BETWEEN = 0.002


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        route: Its name.
        median: Seconds that it usually takes.
        objective: Seconds within which an answer has its full worth.
        timeout: Seconds after which it ends.
        idempotent: Whether a second run does no harm.
        priority: Rank; 0 is the most urgent.
    """

    route: str
    median: float
    objective: float
    timeout: float
    idempotent: bool = False
    priority: int = 1


@dataclasses.dataclass
class Course:
    """What became of one request.

    Attributes:
        kind: Its kind.
        came: When it came, seconds.
        ended: When it was answered, refused or lost.
        served: Whether it was answered with success.
        hung: Whether a target ran it and never answered.
    """

    kind: Kind
    came: float
    ended: float = 0.0
    served: bool = False
    hung: bool = False

    @property
    def timely(self) -> bool:
        """Whether its answer had its full worth."""
        return self.served and self.ended - self.came <= self.kind.objective


class Replay:
    """Gates of one service under a load."""

    def __init__(
        self, gates: int, slots: int, bad: Callable[[int, float], bool]
    ):
        self.gates = [
            admission.Controller(f"t{n}", "s", slots) for n in range(gates)
        ]
        self.courses: list[Course] = []
        self._bad = bad
        self._rng = random.Random(11)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._asked_by_id: dict[
            tuple[int, int],
            tuple[Course, retries.RetryState, admission.Controller],
        ] = {}

    def come(self, at: float, kind: Kind) -> None:
        """A request comes."""
        course = Course(kind, at)
        self.courses.append(course)
        retry_state = retries.RetryState(at, at + kind.timeout)
        self._later(at, lambda now: self._ask(course, retry_state, now))

    def run(self, until: float) -> None:
        """Plays all that comes until a time, and what follows from it."""
        for step in range(int(until / TICK)):
            self._later(step * TICK, self._tick)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)

    def _later(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _tick(self, now: float) -> None:
        for found in self.gates:
            self._decided(found.tick(now), now)

    def _ask(
        self, course: Course, retry_state: retries.RetryState, now: float
    ) -> None:
        kind, soft_deadline = course.kind, course.came + course.kind.objective
        left = [f for f in self.gates if f.name not in retry_state.refused]
        if not left:
            course.ended = now
            if retry_state.relax_requirements():
                self._later(now, lambda at: self._ask(course, retry_state, at))
            return
        found = self._rng.choice(left)
        usual = found.latencies.for_route(kind.route, kind.objective)
        ticket = admission.Ticket(
            (1, next(self._numbers)),
            kind.idempotent,
            kind.priority,
            retry_state.deadline,
            retry_state.required_health(now),
            soft_deadline,
            kind.route,
            wait=retry_state.wait,
            start_by=retry_state.start_by(usual, soft_deadline),
        )
        self._asked_by_id[ticket.id] = (course, retry_state, found)
        self._decided([found.admit(ticket, now)], now)

    def _decided(self, decisions: list[admission.Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, admission.Queued):
                continue
            asked = self._asked_by_id.pop(decision.ticket.id)
            if isinstance(decision, admission.Started):
                self._start(*asked, decision.ticket, now)
            else:
                self._refused(*asked, decision, now)

    def _refused(
        self,
        course: Course,
        retry_state: retries.RetryState,
        found: admission.Controller,
        decision: admission.Refused,
        now: float,
    ) -> None:
        course.ended = now
        retry_state.record_not_run(found.name, decision.reason)
        if not retry_state.exhausted:
            later = now + BETWEEN
            self._later(later, lambda at: self._ask(course, retry_state, at))

    def _start(
        self,
        course: Course,
        retry_state: retries.RetryState,
        found: admission.Controller,
        ticket: admission.Ticket,
        now: float,
    ) -> None:
        retry_state.record_run(found.name)
        takes = course.kind.median * self._rng.lognormvariate(0.0, 0.5)
        hangs = self._bad(self.gates.index(found), now)
        hangs = hangs and self._rng.random() < health.UNHEALTHY_FAILURE_RATE
        lost = hangs or now + takes > ticket.deadline
        sign = None if lost else Signal.SUCCESS

        def end(at: float) -> None:
            course.ended = at
            course.served = not lost
            course.hung = hangs
            self._decided(found.finish(ticket, sign, at), at)

        self._later(ticket.deadline if lost else now + takes, end)
