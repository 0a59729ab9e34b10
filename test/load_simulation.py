"""Simulates a load on admission controllers, without sockets or event loop.

Requests arrive at given times and try one controller after another, with the
retry state that an ingress process would keep. A request that is admitted
takes a random time; on an unhealthy target it may hang until its deadline.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from forklift import admission
from forklift import fair_queueing
from forklift import health
from forklift import retries
from forklift.shell import ticker

Signal = health.Signal
TICK_SECONDS = ticker.BUSY_INTERVAL
# Seconds between a refusal and the next attempt.
RETRY_DELAY_SECONDS = 0.002


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Properties shared by the requests of one route.

    Attributes:
        route: Name of the route.
        median: Median service time, in seconds.
        objective: Latency objective, in seconds.
        timeout: Seconds from arrival to the deadline.
        idempotent: Whether the request may run more than once.
        priority: Rank; 0 is the most urgent.
        organisation: Organisation that sends the requests.
        spread: Standard deviation of the logarithm of the service time.
    """

    route: str
    median: float
    objective: float
    timeout: float
    idempotent: bool = False
    priority: int = 1
    organisation: str = ""
    spread: float = 0.5


@dataclasses.dataclass
class RequestOutcome:
    """The outcome of one request.

    Attributes:
        kind: Kind of the request.
        arrived_at: Simulated time of its arrival, in seconds.
        ended_at: Simulated time of its response, last refusal or timeout.
        served: Whether it succeeded before its deadline.
        hung: Whether a target ran it and never responded.
    """

    kind: RequestKind
    arrived_at: float
    ended_at: float = 0.0
    served: bool = False
    hung: bool = False

    @property
    def met_objective(self) -> bool:
        """Whether the request succeeded within its latency objective."""
        return (
            self.served
            and self.ended_at - self.arrived_at <= self.kind.objective
        )


class Simulation:
    """Admission controllers of one service under a simulated load.

    Args:
        controllers: Number of targets, with one controller each.
        slots: Concurrent requests that a target may run.
        is_unhealthy: Returns whether a target, by its index, is unhealthy at
            a simulated time.
        rules: Rules of fair queueing; by default it is off.
    """

    def __init__(
        self,
        controllers: int,
        slots: int,
        is_unhealthy: Callable[[int, float], bool],
        rules: fair_queueing.Rules = fair_queueing.OFF,
    ):
        self.controllers = [
            admission.Controller(f"t{n}", "s", slots, rules)
            for n in range(controllers)
        ]
        self.outcomes: list[RequestOutcome] = []
        self._is_unhealthy = is_unhealthy
        self._rng = random.Random(11)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._ids = itertools.count()
        self._pending_by_id: dict[
            tuple[int, int],
            tuple[RequestOutcome, retries.RetryState, admission.Controller],
        ] = {}

    def add_request(self, at: float, kind: RequestKind) -> None:
        """Schedules the arrival of a request."""
        outcome = RequestOutcome(kind, at)
        self.outcomes.append(outcome)
        retry_state = retries.RetryState(at, at + kind.timeout)
        self._schedule(at, lambda now: self._submit(outcome, retry_state, now))

    def run(self, until: float) -> None:
        """Runs the simulation until all scheduled requests have ended.

        Args:
            until: Simulated time at which controllers stop ticking, in seconds.
        """
        for step in range(int(until / TICK_SECONDS)):
            self._schedule(step * TICK_SECONDS, self._tick)
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._ids), callback))

    def _tick(self, now: float) -> None:
        for controller in self.controllers:
            self._handle_decisions(controller.tick(now), now)

    def _submit(
        self,
        outcome: RequestOutcome,
        retry_state: retries.RetryState,
        now: float,
    ) -> None:
        kind, soft_deadline = (
            outcome.kind,
            outcome.arrived_at + outcome.kind.objective,
        )
        candidates = [
            f for f in self.controllers if f.name not in retry_state.refused
        ]
        if not candidates:
            outcome.ended_at = now
            if retry_state.relax_requirements():
                self._schedule(
                    now, lambda at: self._submit(outcome, retry_state, at)
                )
            return
        controller = self._rng.choice(candidates)
        distribution = controller.latencies.for_route(
            kind.route, kind.objective
        )
        ticket = admission.Ticket(
            (1, next(self._ids)),
            kind.idempotent,
            kind.priority,
            retry_state.deadline,
            retry_state.required_health(now),
            soft_deadline,
            kind.route,
            wait=retry_state.wait,
            start_by=retry_state.start_by(distribution, soft_deadline),
            organisation=kind.organisation,
        )
        self._pending_by_id[ticket.id] = (outcome, retry_state, controller)
        self._handle_decisions([controller.admit(ticket, now)], now)

    def _handle_decisions(
        self, decisions: list[admission.Decision], now: float
    ) -> None:
        for decision in decisions:
            if isinstance(decision, admission.Queued):
                self._handle_decisions(list(decision.displaced), now)
                continue
            pending = self._pending_by_id.pop(decision.ticket.id)
            if isinstance(decision, admission.Started):
                self._start(*pending, decision.ticket, now)
            else:
                self._handle_refusal(*pending, decision, now)

    def _handle_refusal(
        self,
        outcome: RequestOutcome,
        retry_state: retries.RetryState,
        controller: admission.Controller,
        decision: admission.Refused,
        now: float,
    ) -> None:
        outcome.ended_at = now
        retry_state.record_not_run(controller.name, decision.reason)
        if not retry_state.exhausted:
            retry_at = now + RETRY_DELAY_SECONDS
            self._schedule(
                retry_at, lambda at: self._submit(outcome, retry_state, at)
            )

    def _start(
        self,
        outcome: RequestOutcome,
        retry_state: retries.RetryState,
        controller: admission.Controller,
        ticket: admission.Ticket,
        now: float,
    ) -> None:
        retry_state.record_run(controller.name)
        duration = outcome.kind.median * self._rng.lognormvariate(
            0.0, outcome.kind.spread
        )
        will_hang = self._is_unhealthy(self.controllers.index(controller), now)
        will_hang = (
            will_hang and self._rng.random() < health.UNHEALTHY_FAILURE_RATE
        )
        times_out = will_hang or now + duration > ticket.deadline
        signal = None if times_out else Signal.SUCCESS

        def finish(at: float) -> None:
            outcome.ended_at = at
            outcome.served = not times_out
            outcome.hung = will_hang
            self._handle_decisions(controller.finish(ticket, signal, at), at)

        self._schedule(ticket.deadline if times_out else now + duration, finish)
