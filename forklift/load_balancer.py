"""Picks a target for each request, by what this entry knows of all.

Work that must not repeat goes only to targets that nobody doubts. Work that
may repeat also tests doubted ones, so that they are back in use soon after
they are well. Load is known exactly for our own requests and by the last
answer for those of others, which fades.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable

from forklift import admission
from forklift import balancing_algorithms
from forklift import health
from forklift import latency
from forklift import messages
from forklift import policy
from forklift import rates
from forklift import reachability
from forklift import rendezvous
from forklift import response_sizes
from forklift import retry_budget
from forklift import target_view

State = messages.TargetState
TargetView = target_view.TargetView

# Targets of one service that this entry sends to at most.
SUBSET_SIZE = 64
# Share of repeatable requests that test a doubted target when one is due.
PROBE_SHARE = 0.4
# Seconds over which the floor on capacity is counted: while many requests fail,
# a target that serves must see work within them.
CAPACITY_FLOOR_WINDOW = 2.0
# Share of failed requests from which on many fail: where a tenth do, the floor
# counts.
HIGH_FAILURE_SHARE = 0.08
# Seconds without work after which the target beside this entry gets the next
# request that may repeat; while many fail here, the next of any kind, once what
# is left of the window is so many times the mean pause between requests: four
# of five then come in time. An entry of a large fleet sees one a second.
LOCAL_IDLE_LIMIT = 0.7
MIN_LOCAL_IDLE_LIMIT = 0.3
EXPECTED_REQUESTS_LEFT = 1.6
# As a gate tells that it never had work, less the time since it said so.
NEVER_USED = admission.MAX_IDLE_SECONDS - 10.0
# Seconds between two scouts of this entry to one target.
PROBE_INTERVAL = 0.25
# Risk up to which a doubted target is better than to wait on.
MAX_ACCEPTABLE_RISK = 0.5
# Part of a slot that must seem free: reports of load fade, so a target that was
# full a moment ago is not asked again at once.
FREE_SLOT_MARGIN = 0.3
# What a bad phase costs a request that may repeat, as a part of its worth: the
# time until it is repeated, and the repeat, of which there are few. Other work
# is lost as often as it fails.
IDEMPOTENT_LOSS = 0.5
# Heads of a request and of its answer on the way between processes, kilobytes.
HEADER_KILOBYTES = 0.4
# Weight of the last answer's word on how long its route takes: each guard
# learns from all that its target runs, and an entry hears several.
LATENCY_GAIN = 0.2


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request needs of a target.

    Attributes:
        service: Name of the service.
        idempotent: Whether a second run does no harm.
        required_health: How much doubt about the target it accepts.
        scout: Whether it may test a target that is doubted or was not used.
        wait: Whether it waits where no slot is free.
        kilobytes: Size of it and its answer, as far as known.
    """

    service: str
    idempotent: bool
    required_health: admission.RequiredHealth = admission.RequiredHealth.PROVEN
    scout: bool = True
    wait: bool = False
    kilobytes: float = 0.0


@dataclasses.dataclass(frozen=True)
class Selection:
    """A picked target.

    Attributes:
        target: Its name.
        process: Name of the process beside it.
        required_health: How much doubt the request must accept to be let in
            there.
    """

    target: str
    process: str
    required_health: admission.RequiredHealth = admission.RequiredHealth.PROVEN


@dataclasses.dataclass(frozen=True)
class RetryBudgetLimits:
    """Bounds on repeats that all processes keep together.

    Attributes:
        ratio: Repeats allowed for each request of a service.
        window: Seconds over which both are counted.
        reserve: Repeats allowed beside, in each window.
        calls: Calls to each other service that one run makes at most, on
            average; those of a repeated run count as repeats there.
    """

    ratio: float = 0.1
    window: float = 10.0
    reserve: float = 5.0
    calls: float = 1.0


class _Group:
    """One service as the entry sees it."""

    def __init__(self, bounds: RetryBudgetLimits):
        self.view_by_target: dict[str, TargetView] = {}
        self.failing = rates.FailureRate()
        self.subset: list[str] | None = None
        self.budget = retry_budget.RetryBudget(
            bounds.ratio, bounds.window, bounds.reserve
        )


class LoadBalancer:
    """Picks targets for the requests of one process."""

    def __init__(
        self,
        name: str,
        domain: str,
        rng: random.Random,
        program: Callable[[str], policy.ServicePolicy],
        bounds: RetryBudgetLimits,
        far_cost: float = 0.04,
    ):
        self.reachability = reachability.Reachability()
        self.latencies = latency.Latencies()
        self.response_sizes = response_sizes.ResponseSizes()
        # The shortest latency objective of each service's routes, seconds.
        self.shortest_objective_by_service: dict[str, float] = {}
        # Cost of a kilobyte between failure domains, as a part of a request.
        self.far_cost = far_cost
        self._name = name
        self._domain = domain
        self._rng = rng
        self._program = program
        self._bounds = bounds
        self._group_by_service: dict[str, _Group] = {}
        self._targets_by_process: dict[str, dict[str, str]] = {}
        # Processes known, this one too; 0 before any were met.
        self.process_count = 0
        self.picks = 0

    def set_retry_limits(self, bounds: RetryBudgetLimits) -> None:
        """Takes other bounds on repeats; what was counted stays."""
        self._bounds = bounds
        for group in self._group_by_service.values():
            group.budget.set_limits(bounds.ratio, bounds.window, bounds.reserve)

    # What is known.

    def update_process(self, info: messages.ProcessInfo) -> None:
        """Takes in what is known of one process and its targets."""
        before = self._targets_by_process.get(info.name, {})
        after = {
            target.name: target.service
            for target in info.targets
            if target.state is not State.LEFT
        }
        self._targets_by_process[info.name] = after
        for name, service in before.items():
            if after.get(name) != service:
                self._remove(service, name, info.name)
        for target in info.targets:
            if target.name in after:
                self._learn_target(target, info)

    def remove_process(self, process: str) -> None:
        """A process is dead, or has left."""
        for name, service in self._targets_by_process.pop(process, {}).items():
            self._remove(service, name, process)
        self.reachability.remove(process)

    def has_targets(self, service: str) -> bool:
        """Whether a target of a service is known."""
        group = self._group_by_service.get(service)
        return group is not None and bool(group.view_by_target)

    def services(self) -> list[str]:
        """Services of which a target is known here, in order."""
        groups = self._group_by_service.items()
        return sorted(name for name, g in groups if g.view_by_target)

    def views(self, service: str) -> list[TargetView]:
        """The targets of a service that are known here."""
        group = self._group_by_service.get(service)
        return list(group.view_by_target.values()) if group else []

    def count_by_state(self, service: str, now: float) -> dict[str, int]:
        """How the targets of a service stand here, for logs and reports.

        Those that can't be reached count as such, whatever their state is.
        """
        counts: collections.Counter[str] = collections.Counter()
        for view in self.views(service):
            full = view.load(now) > view.slots - FREE_SLOT_MARGIN
            state = "full" if full else str(view.state(now))
            reached = self.reachability.is_reachable(view.process)
            counts[state if reached else "not reached"] += 1
        return dict(counts)

    def update_load(self, target: str, load: messages.Load, now: float) -> None:
        """A guard told of its target unasked."""
        for group in self._group_by_service.values():
            view = group.view_by_target.get(target)
            if view is not None:
                view.update_load(load, now)

    def record_work_request(
        self, target: str, load: messages.Load, now: float
    ) -> None:
        """A guard asks for work: its target is in service and has none."""
        self.update_load(target, load, now)
        for group in self._group_by_service.values():
            view = group.view_by_target.get(target)
            if view is not None:
                view.wants_work = True

    # Picks.

    def select(
        self,
        requirements: Requirements,
        tried: frozenset[str],
        now: float,
        refused: frozenset[str] = frozenset(),
    ) -> Selection | None:
        """Picks a target; None when none will do.

        Args:
            requirements: What the request needs.
            tried: Targets that it was sent to already.
            now: Monotonic seconds.
            refused: Targets that can't take it just now. While one of them is
                sound, a doubted one is taken in its place only if most of its
                requests end well: one that fails at once always has a slot
                free, and would draw all that waits. Work that must not repeat
                goes to no doubted one: that it did not run can be told, and
                it may come back.
        """
        group = self._group_by_service.get(requirements.service)
        if group is None:
            return None
        known = self._split(group, tried, now)
        hopeless = not known[0] and not known[1]
        sound, shedding, doubted = (
            [view for view in views if view.name not in refused]
            for views in known
        )
        view = self._idle(requirements, sound, group, now)
        required_health = (
            admission.RequiredHealth.PROVEN
            if view is None
            else admission.RequiredHealth.SOUND
        )
        if view is None and requirements.idempotent and requirements.scout:
            view = self._test(sound, doubted, now)
        if view is None:
            pool = sound or shedding
            anyhow = (
                requirements.idempotent
                and requirements.required_health is admission.RequiredHealth.ANY
            )
            if not pool and anyhow:
                promising = [
                    v
                    for v in doubted
                    if v.unhealthy_probability(now) <= MAX_ACCEPTABLE_RISK
                ]
                pool = doubted if hopeless else promising
            if not requirements.wait:
                pool = [
                    v for v in pool if v.load(now) <= v.slots - FREE_SLOT_MARGIN
                ]
            if not pool:
                return None
            view = self._pick(requirements, pool, now)
        if view.state(now) is State.SUSPECT:
            view.next_probe_at = now + PROBE_INTERVAL
        view.in_flight += 1
        view.pick_count += 1
        self.picks += 1
        return Selection(view.name, view.process, required_health)

    def finish_attempt(
        self,
        service: str,
        selection: Selection,
        load: messages.Load | None,
        now: float,
        usual: latency.Distribution | None = None,
    ) -> None:
        """An attempt ended, with or without a report of the target's load.

        Args:
            service: Name of the service.
            selection: The target.
            load: Its guard's report.
            now: Monotonic seconds.
            usual: The latency of the route, to learn from the report.
        """
        group = self._group_by_service.get(service)
        view = group.view_by_target.get(selection.target) if group else None
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            view.update_load(load, now)
            group.failing.record_remote(load.failure_percent / 100, now)
            if usual is not None and load.latency > 0:
                usual.blend(load.latency, load.latency_spread, LATENCY_GAIN)

    def record_failure(self, service: str, now: float) -> None:
        """A request of a service failed at its target."""
        self._group(service).failing.failures.record(now)

    def failure_percent(self, service: str, now: float) -> int:
        """Requests of a service that fail here, of a hundred."""
        return round(100 * self._group(service).failing.local(now))

    # Repeats.

    def record_request(self, service: str, now: float) -> None:
        """A request was taken from a caller: it earns a part of a repeat."""
        group = self._group(service)
        group.failing.requests.record(now)
        group.budget.record_request(now)

    def spend_retry(
        self,
        service: str,
        now: float,
        share: float = 1.0,
        objective: float = math.inf,
    ) -> bool:
        """Takes one repeat from the budget of a service, if it has one.

        The calls of a repeated run are repeats, too. A call must end before
        the run that makes it, so only services with a route of a shorter
        objective can be called.

        Args:
            service: Name of the service.
            now: Monotonic seconds.
            share: Part of the budget that this kind of repeat may use up.
            objective: Latency objective of the route, seconds.
        """
        spent = self._group(service).budget
        if not spent.spend(now, self.process_count, share):
            return False
        for name, group in self._group_by_service.items():
            callable_ = (
                self.shortest_objective_by_service.get(name, 0.0) < objective
            )
            if callable_ and name != service:
                group.budget.charge_calls(now, self._bounds.calls)
        return True

    def retries_refused(self, service: str) -> int:
        """Repeats of a service that the budget refused here."""
        return self._group(service).budget.refused

    def _group(self, service: str) -> _Group:
        group = self._group_by_service.get(service)
        if group is None:
            group = self._group_by_service[service] = _Group(self._bounds)
        return group

    def _split(
        self, group: _Group, tried: frozenset[str], now: float
    ) -> tuple[
        list[TargetView],
        list[TargetView],
        list[TargetView],
    ]:
        """Targets that may be sent to: sound, shedding and doubted ones."""
        sound: list[TargetView] = []
        shedding: list[TargetView] = []
        doubted: list[TargetView] = []
        for name in self._subset(group):
            view = group.view_by_target[name]
            state = view.state(now)
            if name in tried or state in target_view.OUT_OF_SERVICE:
                continue
            if not self.reachability.is_reachable(view.process):
                continue
            if state is State.SUSPECT:
                doubted.append(view)
            elif state is State.SHEDDING:
                shedding.append(view)
            else:
                sound.append(view)
        return sound, shedding, doubted

    def _idle(
        self,
        requirements: Requirements,
        sound: list[TargetView],
        group: _Group,
        now: float,
    ) -> TargetView | None:
        """A target that went without work for long.

        Every entry sees to its own, so that each sound target is in use
        whatever the order in which others fill them, and to any whose guard
        asks for work: its own entry may have no callers.
        """
        if not requirements.scout:
            return None
        age = LOCAL_IDLE_LIMIT
        if not requirements.idempotent:
            age = self._age_in_trouble(group, now)
        for view in sound:
            if view.process == self._name and view.idle_seconds(now) > age:
                return view if view.load(now) < view.slots else None
        for view in sound if requirements.idempotent else ():
            if view.wants_work and view.load(now) < view.slots:
                view.wants_work = False
                return view
        return None

    def _age_in_trouble(self, group: _Group, now: float) -> float:
        """Seconds without work after which any request goes to a target.

        One that never had any is as good as all others at a start, when nothing
        is known of them either.
        """
        if group.failing.combined(now) < HIGH_FAILURE_SHARE:
            return NEVER_USED
        left = EXPECTED_REQUESTS_LEFT * group.failing.requests.mean_interval(
            now
        )
        return max(MIN_LOCAL_IDLE_LIMIT, CAPACITY_FLOOR_WINDOW - left)

    def _test(
        self,
        sound: list[TargetView],
        doubted: list[TargetView],
        now: float,
    ) -> TargetView | None:
        """A doubted target that is due for a test by repeatable work."""
        due = [view for view in doubted if now >= view.next_probe_at]
        if not due:
            return None
        # While no sound one has a slot free, a test costs nothing but itself.
        full = all(view.load(now) >= view.slots for view in sound)
        if full or self._rng.random() < PROBE_SHARE:
            return self._rng.choice(due)
        return None

    def _pick(
        self,
        requirements: Requirements,
        pool: list[TargetView],
        now: float,
    ) -> TargetView:
        if len(pool) == 1:
            return pool[0]
        program = self._program(requirements.service)
        candidates = [
            self._candidate(program, requirements, view, now) for view in pool
        ]
        algorithm = balancing_algorithms.algorithm_by_name[program.spread]
        name = algorithm(candidates, self._rng).name
        return next(view for view in pool if view.name == name)

    def _candidate(
        self,
        program: policy.ServicePolicy,
        requirements: Requirements,
        view: TargetView,
        now: float,
    ) -> balancing_algorithms.Candidate:
        load = view.load(now)
        weight = 1.0
        if program.weight is not policy.EQUAL_WEIGHT:
            weight = program.weight.evaluate(
                load=load,
                slots=view.slots,
                same_domain=view.same_domain,
                state=str(view.state(now)),
            )
        loss = (
            IDEMPOTENT_LOSS
            if requirements.idempotent
            else health.UNHEALTHY_FAILURE_RATE
        )
        return balancing_algorithms.Candidate(
            view.name,
            load,
            view.slots,
            max(balancing_algorithms.MIN_WEIGHT, weight),
            view.same_domain,
            view.pick_count,
            loss * view.unhealthy_probability(now),
            0.0
            if view.same_domain
            else self.far_cost * (HEADER_KILOBYTES + requirements.kilobytes),
        )

    def _learn_target(
        self, target: messages.TargetInfo, info: messages.ProcessInfo
    ) -> None:
        group = self._group(target.service)
        view = group.view_by_target.get(target.name)
        same = view is not None and view.process == info.name
        if same and view.boot == info.boot:
            view.update_info(target)
            return
        # A process that started again begins anew, as its target may have been
        # paused only because the earlier run stopped.
        near = target.domain == self._domain
        group.view_by_target[target.name] = TargetView(target, info, near)
        group.subset = None

    def _remove(self, service: str, name: str, process: str) -> None:
        group = self._group_by_service.get(service)
        view = group.view_by_target.get(name) if group else None
        if view is not None and view.process == process:
            del group.view_by_target[name]
            group.subset = None

    def _subset(self, group: _Group) -> list[str]:
        """The targets that this entry sends to, chosen anew after changes."""
        if group.subset is None:
            names = sorted(group.view_by_target)
            if len(names) > SUBSET_SIZE:
                names = rendezvous.select(self._name, names, SUBSET_SIZE)
            group.subset = names
        return group.subset
