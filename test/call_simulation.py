"""Simulates services that call each other, without sockets or event loop.

Each target has its admission controller and, in the process beside it, its
register of runs. Callers' requests arrive at random times and try up to three
targets. A run works for half of its time, makes its calls at the same time,
waits for all of them and works for the rest; it fails if one of them is not
served. By default a run that fails ends as if its sender had given up, so that
ejections of targets don't affect the figures.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from forklift import admission
from forklift import call_profile
from forklift import call_reserve
from forklift import fair_queueing
from forklift import health
from forklift import messages
from forklift import overload
from forklift import run_calls
from forklift import settings
from forklift.shell import ticker

TICK_SECONDS = ticker.BUSY_INTERVAL
MAX_TRIES = 3
# Seconds that a request or call spends on its way to a target.
TRANSPORT_SECONDS = 0.002


@dataclasses.dataclass(frozen=True)
class Kind:
    """Properties shared by the requests of one route.

    Attributes:
        route: Name of the route.
        service: Service that serves it.
        work: Mean seconds of work.
        objective: Latency objective in seconds.
        priority: Priority of the route; 0 is the most urgent.
        timeout: Seconds until the deadline.
        calls: Number of concurrent calls in a run that makes any.
        called: Kind of the calls.
        call_probability: Share of the runs that make calls.
    """

    route: str
    service: str
    work: float
    objective: float
    priority: int
    timeout: float = 5.0
    calls: int = 0
    called: "Kind | None" = None
    call_probability: float = 0.7


@dataclasses.dataclass
class Outcome:
    """The outcome of a request of a caller or of a call.

    Attributes:
        kind: Its kind.
        arrived_at: Simulated time of its arrival, seconds.
        is_call: Whether a run made it.
        ended_at: Simulated time of its end, seconds.
        served: Whether it succeeded.
        ran: Whether a target ran it.
        reason: Why it was refused, if it did not run.
    """

    kind: Kind
    arrived_at: float
    is_call: bool = False
    ended_at: float = 0.0
    served: bool = False
    ran: bool = False
    reason: messages.Reason | None = None

    @property
    def met_objective(self) -> bool:
        """Whether it succeeded within its latency objective."""
        return (
            self.served
            and self.ended_at - self.arrived_at <= self.kind.objective
        )


class Target:
    """A target, and what the process beside it knows of its runs."""

    def __init__(self, name: str, service: str, slots: int, rules, is_enabled):
        self.calls = run_calls.RunCalls(is_enabled, lambda: rules)
        queueing = fair_queueing.Rules(
            is_enabled, lambda organisation: 1.0, lambda: rules.floor
        )
        self.controller = admission.Controller(name, service, slots, queueing)
        self.controller.call_reserve = call_reserve.CallReserve(
            self.calls.reserved_share, self.calls.makes_calls
        )


class Simulation:
    """Services whose targets call each other.

    Args:
        targets_by_service: Number of targets of each service.
        slots: Number of slots of each target.
        mode: Whether overload control is in force.
        rules: Settings of overload control.
        seed: Seed of all random numbers.
        failure_signal: What a failed run says about the health of its target.
    """

    def __init__(
        self,
        targets_by_service: dict[str, int],
        slots: int,
        mode: overload.Mode,
        rules: settings.Overload | None = None,
        seed: int = 1,
        failure_signal: health.Signal | None = None,
    ):
        rules = rules or settings.Overload()
        self.rng = random.Random(seed)
        self._failure_signal = failure_signal
        self.targets_by_service = {
            service: [
                Target(
                    f"{service}{number}",
                    service,
                    slots,
                    rules,
                    lambda: mode is overload.Mode.ON,
                )
                for number in range(count)
            ]
            for service, count in targets_by_service.items()
        }
        self.outcomes: list[Outcome] = []
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count(1)
        # What to do with the decision on a queued request.
        self._on_decision_by_id: dict[tuple[int, int], Callable] = {}

    def add_load(
        self, kind: Kind, rate: float, since: float, until: float
    ) -> None:
        """Schedules requests of callers at random times.

        Args:
            kind: Kind of the requests.
            rate: Requests per second.
            since: Simulated time of the first, seconds.
            until: Simulated time after which none arrive, seconds.
        """
        at = since + self.rng.expovariate(rate)
        while at < until:
            self._at(at, lambda: self._submit(kind, None, lambda served: None))
            at += self.rng.expovariate(rate)

    def run(self, until: float) -> None:
        """Runs the simulation until a simulated time."""
        for step in range(int(until / TICK_SECONDS)):
            self._at(step * TICK_SECONDS, self._tick)
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()

    def of(self, kind: Kind, since: float, until: float) -> list[Outcome]:
        """Requests of callers of a kind that arrived in an interval."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.kind is kind
            and not outcome.is_call
            and since <= outcome.arrived_at < until
        ]

    def _at(self, at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._ids), callback))

    def _after(self, seconds: float, callback: Callable[[], None]) -> None:
        self._at(self.now + seconds, callback)

    def _submit(
        self,
        kind: Kind,
        caller: tuple[Target, admission.Ticket] | None,
        on_end: Callable[[bool], None],
    ) -> None:
        """Sends a request to a target.

        Args:
            kind: Its kind.
            caller: The target and the run that make it as a call; None for a
                request of a caller.
            on_end: Called with whether it was served.
        """
        outcome = Outcome(kind, self.now, caller is not None)
        self.outcomes.append(outcome)
        deadline = self.now + kind.timeout
        priority, soft_deadline = kind.priority, self.now + kind.objective
        call = None
        if caller is not None:
            target, run = caller
            # The process and the target both round down to milliseconds.
            left = int((run.deadline - self.now) * 1000) / 1000
            named = self.now + left - 0.001 + TRANSPORT_SECONDS
            deadline = min(deadline, named)
            call = target.calls.match("", named, soft_deadline)
        if call is not None:
            priority, soft_deadline = call.priority, call.soft_deadline

        def end(served: bool) -> None:
            outcome.ended_at, outcome.served = self.now, served
            if call is not None:
                lacked_room = call_profile.is_lack_of_room(
                    outcome.reason, has_full_targets=True
                )
                caller[0].calls.end_call(
                    call,
                    kind.route,
                    kind.service,
                    self.now - outcome.arrived_at,
                    lacked_room,
                    self.now,
                )
            on_end(served)

        ticket = admission.Ticket(
            (1, next(self._ids)),
            True,
            priority,
            deadline,
            admission.RequiredHealth.SOUND,
            soft_deadline,
            kind.route,
            # As `retries.RetryState` lets requests wait for their objective.
            start_by=max(self.now + 0.15, soft_deadline - kind.work),
            is_call=call is not None,
        )
        candidates = self.targets_by_service[kind.service]
        # The least loaded of two drawn at random, then others.
        tried = self.rng.sample(candidates, min(MAX_TRIES, len(candidates)))
        tried[:2] = sorted(
            tried[:2], key=lambda t: t.controller.running + t.controller.waiting
        )
        self._try(outcome, ticket, iter(tried), end)

    def _try(self, outcome, ticket, targets, end) -> None:
        target = next(targets, None)
        if target is None:
            end(False)
            return
        controller = target.controller

        def decide(decision: admission.Decision) -> None:
            if isinstance(decision, admission.Started):
                self._start(target, outcome, ticket, end)
            elif isinstance(decision, admission.Refused):
                outcome.reason = decision.reason
                self._after(
                    TRANSPORT_SECONDS,
                    lambda: self._try(outcome, ticket, targets, end),
                )
            else:
                self._on_decision_by_id[ticket.id] = decide
                self._apply(list(decision.displaced))

        held = target.calls.held_back_for(ticket, self.rng.random(), self.now)
        if held:
            decide(admission.Refused(ticket, messages.Reason.BUSY, held))
        else:
            decide(controller.admit(ticket, self.now))

    def _start(self, target, outcome, ticket, end) -> None:
        kind = outcome.kind
        outcome.ran, outcome.reason = True, None
        target.calls.start_run(ticket, self.now)
        work = kind.work * self.rng.uniform(0.7, 1.3)
        makes_calls = kind.called and self.rng.random() < kind.call_probability
        pending = kind.calls if makes_calls else 0
        results: list[bool] = []
        is_over = False

        def finish(served: bool) -> None:
            nonlocal is_over
            if is_over:
                return
            is_over = True
            target.calls.end_run(ticket, self.now)
            signal = health.Signal.SUCCESS if served else self._failure_signal
            decisions = target.controller.finish(ticket, signal, self.now)
            end(served)
            self._apply(decisions)

        def on_call_end(served: bool) -> None:
            results.append(served)
            if len(results) == pending:
                if all(results):
                    self._after(work / 2, lambda: finish(True))
                else:
                    finish(False)

        def make_calls() -> None:
            for _ in range(pending):
                self._submit(kind.called, (target, ticket), on_call_end)

        self._at(max(self.now, ticket.deadline), lambda: finish(False))
        if pending:
            self._after(work / 2, make_calls)
        else:
            self._after(work, lambda: finish(True))

    def _tick(self) -> None:
        for targets in self.targets_by_service.values():
            for target in targets:
                self._apply(target.controller.tick(self.now))

    def _apply(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            decide = self._on_decision_by_id.pop(decision.ticket.id, None)
            if decide is not None:
                decide(decision)


def share(outcomes: list[Outcome], of: Callable[[Outcome], bool]) -> float:
    """Share of the outcomes for which a condition holds."""
    return sum(map(of, outcomes)) / len(outcomes)
