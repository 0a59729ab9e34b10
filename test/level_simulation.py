"""Simulates callers, ingress processes and targets of one service.

Each ingress process has a real load balancer, retry state and admission level;
each target has a real admission controller. Messages take a fixed time. A
process may need time for each message, so that useless work delays the rest.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from collections.abc import Mapping

import msgspec

from forklift import admission
from forklift import admission_level
from forklift import fair_queueing
from forklift import health
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import retries
from forklift.shell import ticker
from test import helper

Reason = messages.Reason
Outcome = messages.Outcome
Signal = health.Signal

SERVICE = "s"
# Seconds that a message takes from one process to another.
MESSAGE_SECONDS = 0.001
# Seconds until a caller that does not wait as told repeats its request.
REPEAT_SECONDS = 0.05
# Seconds for which a caller repeats a refused request.
PATIENCE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of the service.

    Attributes:
        name: Name of the route.
        seconds: Mean seconds of work.
        objective: Latency objective, in seconds.
        priority: Priority; 0 is the most urgent.
        share: Share of the requests that callers send to this route.
        idempotent: Whether a request may run more than once.
    """

    name: str
    seconds: float
    objective: float
    priority: int
    share: float
    idempotent: bool = True


@dataclasses.dataclass
class Send:
    """One request as a process receives it from a caller.

    Attributes:
        route: The route.
        process: Name of the process that it entered at.
        organisation: Name of the calling organisation.
        arrived_at: Simulated time of its arrival, in seconds.
        waits: Whether its caller waits as told before it repeats a request.
        gives_up_at: Simulated time from which its caller does not repeat it.
        ended_at: Simulated time of its response or refusal.
        served: Whether it was answered.
        retry_after: Seconds until a repeat, if it was refused.
        early: Whether it was refused before it was sent to a target.
        room: Number of idle slots when it was refused early.
    """

    route: Route
    process: str
    organisation: str
    arrived_at: float
    waits: bool
    gives_up_at: float
    ended_at: float = math.inf
    served: bool = False
    retry_after: float = 0.0
    early: bool = False
    room: int = 0

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its objective."""
        held = self.ended_at - self.arrived_at
        return self.served and held <= self.route.objective

    @property
    def held(self) -> float:
        """Seconds until it ended."""
        return self.ended_at - self.arrived_at


@dataclasses.dataclass
class _Process:
    name: str
    balancer: load_balancer.LoadBalancer
    levels: admission_level.AdmissionLevels
    rng: random.Random
    busy_until: float = 0.0


class Simulation:
    """A small service under a load.

    Args:
        processes: Number of ingress processes.
        targets: Number of targets; target n belongs to process n.
        slots: Slots of each target.
        routes: The routes.
        is_on: Whether the admission level is asked.
        message_work: Seconds that a process needs for each message.
        seed: Seed of all random numbers.
        floor: Lowest probability of admission; also the share of a target's
            work that each waiting priority keeps.
        weight_by_organisation: Weights of organisations; 1 by default.
        is_fair: Whether targets order their queues by fair queueing.
        domains: Number of failure domains; process n is in n modulo this.
        is_hanging: Returns whether a target hangs on what it starts at a time.

    Attributes:
        sends: All requests, repeats included.
        controller_by_target: Admission controllers by target.
        reports_lost: Whether no load report reaches a process.
    """

    def __init__(
        self,
        processes: int,
        targets: int,
        slots: int,
        routes: tuple[Route, ...],
        is_on: bool,
        message_work: float = 0.0,
        seed: int = 1,
        floor: float = 0.1,
        weight_by_organisation: Mapping[str, float] | None = None,
        is_fair: bool = False,
        domains: int = 1,
        is_hanging: Callable[[str, float], bool] = lambda target, now: False,
    ):
        self.sends: list[Send] = []
        self._weight_by_organisation = weight_by_organisation or {}
        rules = fair_queueing.Rules(
            lambda: is_fair, self._weight, lambda: floor
        )
        self.controller_by_target = {
            f"t{n}": admission.Controller(f"t{n}", SERVICE, slots, rules)
            for n in range(targets)
        }
        self.reports_lost = False
        self._routes = routes
        self._is_on = is_on
        self._floor = floor
        self._is_hanging = is_hanging
        self._message_work = message_work
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._ids = itertools.count(1)
        self._pending_by_id: dict[
            tuple[int, int], Callable[[admission.Decision, float], None]
        ] = {}
        self._infos = [
            helper.info(
                f"p{n}",
                domain=f"d{n % domains}",
                targets=(
                    helper.target_info(
                        f"t{n}", slots=slots, domain=f"d{n % domains}"
                    ),
                )
                if n < targets
                else (),
            )
            for n in range(processes)
        ]
        self.process_by_name = {
            info.name: self._new_process(info) for info in self._infos
        }

    def _weight(self, organisation: str) -> float:
        return self._weight_by_organisation.get(organisation, 1.0)

    def _new_process(self, own: messages.ProcessInfo) -> _Process:
        name = own.name
        rng = random.Random(f"{name} {self._rng.random()}")
        balancer = load_balancer.LoadBalancer(
            name,
            own.domain,
            rng,
            policy.BUILT_IN.service_policy,
            load_balancer.RetryBudgetLimits(0.2, 10.0, 50.0),
        )
        balancer.process_count = len(self._infos)
        for info in self._infos:
            balancer.update_process(info)
        return _Process(name, balancer, admission_level.AdmissionLevels(), rng)

    def restart(self, name: str) -> None:
        """Replaces a process by one that has just started."""
        own = next(info for info in self._infos if info.name == name)
        self.process_by_name[name] = self._new_process(own)

    def remove_target(self, name: str, now: float) -> None:
        """Ends a target without notice; its process rejects all requests."""
        self._apply(self.controller_by_target[name].mark_left(), now)

    def at(self, when: float, callback: Callable[[float], None]) -> None:
        """Calls a function at a simulated time."""
        heapq.heappush(self._events, (when, next(self._ids), callback))

    def add_load(
        self,
        rate: float,
        begin: float,
        end: float,
        waiting_share: float = 1.0,
        organisation: str = "",
        routes: tuple[Route, ...] = (),
    ) -> None:
        """Adds requests of callers with random arrivals.

        Args:
            rate: Requests per second, repeats not counted.
            begin: Simulated time of the begin, in seconds.
            end: Simulated time of the end, in seconds.
            waiting_share: Share of the callers that wait as told; the others
                repeat a refused request almost at once.
            organisation: Name of the organisation.
            routes: Routes that are called; by default all.
        """
        routes = routes or self._routes
        names = list(self.process_by_name)
        now = begin + self._rng.expovariate(rate)
        while now < end:
            (route,) = self._rng.choices(routes, [r.share for r in routes])
            waits = self._rng.random() < waiting_share
            self._add_send(
                route,
                self._rng.choice(names),
                organisation,
                now,
                waits,
                now + PATIENCE_SECONDS,
            )
            now += self._rng.expovariate(rate)

    def _add_send(self, route, process, organisation, now, waits, gives_up_at):
        send = Send(route, process, organisation, now, waits, gives_up_at)
        self.sends.append(send)
        self.at(now, lambda at: self._handle(process, send, at))

    def run(self, until: float) -> None:
        """Runs the simulation; controllers tick until the given time."""
        for step in range(int(until / ticker.BUSY_INTERVAL)):
            self.at(step * ticker.BUSY_INTERVAL, self._tick)
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)

    @property
    def idle_slots(self) -> int:
        """Number of idle slots of the targets that are not gone."""
        return sum(
            c.slots - c.running
            for c in self.controller_by_target.values()
            if not c.closed
        )

    def _tick(self, now: float) -> None:
        for name, controller in self.controller_by_target.items():
            self._apply(controller.tick(now), now)
            process = self.process_by_name[f"p{name[1:]}"]
            if not self.reports_lost:
                process.balancer.update_load(name, controller.load(now), now)

    def _work(
        self, name: str, now: float, callback: Callable[[float], None]
    ) -> None:
        """Calls a function once a process has handled a message."""
        process = self.process_by_name[name]
        process.busy_until = max(now, process.busy_until) + self._message_work
        self.at(process.busy_until, callback)

    def _record_arrival(
        self, target: str, process: str, idempotent: bool, now: float
    ) -> None:
        """Records a request that arrives at the process of a target."""

    def _load(self, target: str, route: str, now: float) -> messages.Load:
        """Returns the load report of a target, as its process sends it."""
        balancer = self.process_by_name[f"p{target[1:]}"].balancer
        return msgspec.structs.replace(
            self.controller_by_target[target].load(now, route),
            failure_percent=balancer.failure_percent(SERVICE, now),
        )

    # Requests at an ingress process.

    def _handle(self, name: str, send: Send, now: float) -> None:
        self._work(name, now, lambda at: self._admit(name, send, at))

    def _admit(self, name: str, send: Send, now: float) -> None:
        process = self.process_by_name[name]
        arrival = admission_level.Arrival(
            SERVICE,
            send.route.priority,
            send.organisation,
            self._weight(send.organisation),
        )
        if self._is_on:
            refusal = process.levels.decide(
                arrival,
                self.room(process, now),
                self._floor,
                process.rng.random(),
                now,
            )
            if refusal is not None:
                send.early, send.room = True, self.idle_slots
                self._end(send, False, refusal.retry_after, now)
                return
        _Attempts(self, process, send, arrival, now).next(now)

    def room(self, process: _Process, now: float) -> admission_level.Room:
        """Returns the room that a process knows of."""
        return admission_level.known_room(process.balancer.views(SERVICE), now)

    def _end(
        self, send: Send, served: bool, retry_after: float, now: float
    ) -> None:
        send.served, send.ended_at = served, now
        send.retry_after = retry_after
        if served:
            return
        delay = max(0.1, retry_after) if send.waits else REPEAT_SECONDS
        if now + delay < send.gives_up_at:
            self._add_send(
                send.route,
                send.process,
                send.organisation,
                now + delay,
                send.waits,
                send.gives_up_at,
            )

    # Requests at a target.

    def _apply(self, decisions: list[admission.Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, admission.Queued):
                self._apply(list(decision.displaced), now)
                continue
            self._pending_by_id.pop(decision.ticket.id)(decision, now)


class _Attempts:
    """The attempts of one request, as `forwarding` makes them."""

    def __init__(
        self,
        simulation: Simulation,
        process: _Process,
        send: Send,
        arrival: admission_level.Arrival,
        now: float,
    ):
        self._simulation = simulation
        self._process = process
        self._send = send
        self._arrival = arrival
        # Time that passes before the process handles the request counts.
        self._state = retries.RetryState(
            now,
            now + 1.5 * send.route.objective,
            max_queue_rejections=(
                retries.MAX_QUEUE_REJECTIONS_WITHIN_PART
                if process.levels.is_within_part(arrival, now)
                else retries.MAX_QUEUE_REJECTIONS
            ),
        )
        self._soft_deadline = now + send.route.objective
        self._distribution = process.balancer.latencies.for_route(
            send.route.name, send.route.objective
        )
        self._reason = Reason.NO_TARGET
        self._retry_after = 0.5
        process.balancer.record_request(SERVICE, now)

    def next(self, now: float) -> None:
        """Makes the next attempt, or ends the request."""
        state, send = self._state, self._send
        if state.should_give_up(self._distribution, self._soft_deadline, now):
            self._end(False, now)
            return
        requirements = load_balancer.Requirements(
            SERVICE,
            send.route.idempotent,
            state.required_health(now),
            allows_trial=state.attempts == 0,
            wait=state.wait,
        )
        selection = self._process.balancer.select(
            requirements, frozenset(state.tried), now, frozenset(state.refused)
        )
        if selection is None:
            delay = 0.0
            if not state.relax_requirements():
                delay = state.next_poll_delay()
            self._simulation.at(now + delay, self.next)
            return
        simulation = self._simulation
        owner = f"p{selection.target[1:]}"
        simulation._work(
            owner,
            now + MESSAGE_SECONDS,
            lambda at: self._arrive(selection, owner, at),
        )

    def _arrive(
        self, selection: load_balancer.Selection, owner: str, now: float
    ) -> None:
        state, send, simulation = self._state, self._send, self._simulation
        controller = simulation.controller_by_target[selection.target]
        simulation._record_arrival(
            selection.target, self._process.name, send.route.idempotent, now
        )
        ticket = admission.Ticket(
            (1, next(simulation._ids)),
            send.route.idempotent,
            send.route.priority,
            state.deadline,
            max(state.required_health(now), selection.required_health),
            self._soft_deadline,
            send.route.name,
            state.wait,
            state.start_by(self._distribution, self._soft_deadline),
            organisation=send.organisation,
        )

        def decided(decision: admission.Decision, at: float) -> None:
            if isinstance(decision, admission.Started):
                self._start(selection, controller, ticket, at)
                return
            load = simulation._load(selection.target, send.route.name, at)
            self._answer(
                owner,
                at,
                lambda when: self._refused(selection, decision, load, when),
            )

        simulation._pending_by_id[ticket.id] = decided
        simulation._apply([controller.admit(ticket, now)], now)

    def _start(
        self,
        selection: load_balancer.Selection,
        controller: admission.Controller,
        ticket: admission.Ticket,
        now: float,
    ) -> None:
        simulation, send = self._simulation, self._send
        seconds = send.route.seconds * simulation._rng.lognormvariate(
            -0.06, 0.35
        )
        if simulation._is_hanging(selection.target, now):
            seconds = math.inf
        ends_at = min(now + seconds, ticket.deadline)
        succeeds = now + seconds <= ticket.deadline

        def finish(at: float) -> None:
            signal = Signal.SUCCESS if succeeds else None
            simulation._apply(controller.finish(ticket, signal, at), at)
            load = simulation._load(selection.target, send.route.name, at)
            self._answer(
                f"p{selection.target[1:]}",
                at,
                lambda when: self._finished(selection, load, succeeds, when),
            )

        simulation.at(ends_at, finish)

    def _answer(
        self, owner: str, now: float, callback: Callable[[float], None]
    ) -> None:
        """Sends a message of the target's process to the ingress process."""
        self._simulation._work(
            owner,
            now,
            lambda at: self._simulation._work(
                self._process.name, at + MESSAGE_SECONDS, callback
            ),
        )

    def _refused(
        self,
        selection: load_balancer.Selection,
        decision: admission.Refused,
        load: messages.Load,
        now: float,
    ) -> None:
        self._finish_attempt(selection, load, now)
        self._reason, self._retry_after = decision.reason, decision.retry_after
        self._state.record_not_run(selection.target, decision.reason)
        self._process.balancer.record_not_run(SERVICE, selection, now)
        if self._state.exhausted:
            self._end(False, now)
        else:
            self.next(now)

    def _finished(
        self,
        selection: load_balancer.Selection,
        load: messages.Load,
        succeeds: bool,
        now: float,
    ) -> None:
        self._finish_attempt(selection, load, now)
        if not succeeds:
            self._process.balancer.record_failure(SERVICE, now)
        self._end(succeeds, now)

    def _finish_attempt(
        self,
        selection: load_balancer.Selection,
        load: messages.Load,
        now: float,
    ) -> None:
        known = None if self._simulation.reports_lost else load
        self._process.balancer.finish_attempt(
            SERVICE, selection, known, now, self._distribution
        )

    def _end(self, served: bool, now: float) -> None:
        simulation, process = self._simulation, self._process
        lacked = not served and admission_level.lacked_room(
            Outcome.NOT_RUN,
            self._reason,
            now - self._state.started,
            simulation.room(process, now),
        )
        at_once = self._state.started if served else None
        process.levels.record_end(
            self._arrival,
            lacked,
            None if self._state.wait else at_once,
            now,
        )
        simulation._end(self._send, served, self._retry_after, now)


def count_in_time(
    sends: list[Send], begin: float, end: float
) -> collections.Counter[int]:
    """Counts requests answered within their objective, by priority."""
    return collections.Counter(
        send.route.priority
        for send in sends
        if send.in_time and begin <= send.ended_at < end
    )
