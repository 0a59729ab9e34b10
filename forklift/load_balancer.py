"""Selects a target for each request from the targets known to this process.

Requests that are not idempotent go only to targets that are not ejected.
Idempotent requests also serve as trial requests for ejected targets, so that
these are reinstated soon after they recover.
"""

import collections
import dataclasses
import random
from collections.abc import Callable

from forklift import admission
from forklift import balancing_algorithms
from forklift import health
from forklift import idle_selection
from forklift import latency
from forklift import messages
from forklift import notice_memory
from forklift import policy
from forklift import rates
from forklift import reachability
from forklift import response_sizes
from forklift import retry_budgets
from forklift import target_subset
from forklift import target_view

State = messages.TargetState
TargetView = target_view.TargetView
RetryBudgetLimits = retry_budgets.Limits

# Probability that an idempotent request becomes a trial request while a trial
# is due.
TRIAL_PROBABILITY = 0.4
# Minimum seconds between two trial requests of this process to a target.
TRIAL_INTERVAL_SECONDS = 0.25
# Unhealthy probability up to which an ejected target is preferred to a longer
# wait.
MAX_UNHEALTHY_PROBABILITY = 0.5
# Free slots that a request without queueing requires of a target. Reported load
# decays, so a target that was just full seems to have a fraction of a slot.
FREE_SLOT_MARGIN = 0.3
# Cost of sending an idempotent request to an unhealthy target, as a fraction of
# the value of the request. It covers the time until the retry, and the retry
# itself, of which there are few. Other requests are lost as often as they fail.
IDEMPOTENT_FAILURE_COST = 0.5
# Total size of the headers of a request and its response between processes.
HEADER_KILOBYTES = 0.4
# Weight of the latency reported with a response in our distribution for the
# route. The process of a target learns from all requests that the target runs,
# and this process hears from several.
LATENCY_GAIN = 0.2


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request needs of a target.

    Attributes:
        service: Name of the service.
        idempotent: Whether the request is idempotent.
        required_health: How healthy the target must be.
        allows_trial: Whether the request may be a trial request, or go to an
            idle target to keep it in use.
        wait: Whether the request may go to a target without a free slot.
        kilobytes: Estimated size of the request and its response.
        bulk: Whether the response is large. One that breaks after its start
            can't be replaced by a retry, so the request is never a trial
            request, and a failure costs as much as that of a request that is
            not idempotent.
    """

    service: str
    idempotent: bool
    required_health: admission.RequiredHealth = admission.RequiredHealth.PROVEN
    allows_trial: bool = True
    wait: bool = False
    kilobytes: float = 0.0
    bulk: bool = False


@dataclasses.dataclass(frozen=True)
class Selection:
    """A selected target.

    Attributes:
        target: Name of the target.
        process: Name of the process that owns the target.
        required_health: Required health to pass to the admission controller.
        rate_limit: Rate limit of the target, as far as known, in requests per
            second; None if there is none.
        expected_failure: Probability that the target fails the request; None
            for retries, hedges and requests for idle targets.
    """

    target: str
    process: str
    required_health: admission.RequiredHealth = admission.RequiredHealth.PROVEN
    rate_limit: float | None = None
    expected_failure: float | None = None


class _ServiceState:
    """Targets, requests and failure rate of one service."""

    def __init__(self, process: str):
        self.view_by_target: dict[str, TargetView] = {}
        self.failure_rate = rates.FailureRate()
        self.request_count = 0
        self.subset = target_subset.TargetSubset(process)


class LoadBalancer:
    """Selects targets for the requests of one process.

    Attributes:
        reachability: Reachability of the other processes.
        latencies: Latency distributions by route.
        response_sizes: Mean response sizes by route.
        retry_budgets: Retry budgets by service.
        cross_domain_cost_per_kilobyte: Cost of a kilobyte between failure
            domains, as a fraction of the value of a request.
        process_count: Number of known processes including this one; 0 until
            the first contact.
        idle_selection: Selects targets that were idle for too long.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        rng: random.Random,
        find_policy: Callable[[str], policy.ServicePolicy],
        limits: RetryBudgetLimits,
        cross_domain_cost_per_kilobyte: float = 0.04,
        notices: notice_memory.NoticeMemory | None = None,
    ):
        self.reachability = reachability.Reachability()
        self.latencies = latency.RouteLatencies()
        self.response_sizes = response_sizes.ResponseSizes()
        self.retry_budgets = retry_budgets.RetryBudgets(
            limits, lambda: self.process_count
        )
        self.cross_domain_cost_per_kilobyte = cross_domain_cost_per_kilobyte
        self._notices = notices or notice_memory.NoticeMemory(lambda: 0.0)
        self._name = name
        self._domain = domain
        self._rng = rng
        self._find_policy = find_policy
        self._state_by_service: dict[str, _ServiceState] = {}
        self._targets_by_process: dict[str, dict[str, str]] = {}
        self.process_count = 0
        self.idle_selection = idle_selection.IdleSelection(name, rng)

    # Known targets.

    def update_process(self, info: messages.ProcessInfo) -> None:
        """Adds or updates a process and its targets."""
        before = self._targets_by_process.get(info.name, {})
        after = {
            target.name: target.service
            for target in info.targets
            if target.state is not State.LEFT
        }
        self._targets_by_process[info.name] = after
        for name, service in before.items():
            if after.get(name) != service:
                self._remove_target(service, name, info.name)
        for target in info.targets:
            if target.name in after:
                self._update_target(target, info)

    def remove_process(self, process: str) -> None:
        """Removes a process that is dead or has left, and its targets."""
        for name, service in self._targets_by_process.pop(process, {}).items():
            self._remove_target(service, name, process)
        self.reachability.remove(process)

    def services(self) -> list[str]:
        """Returns the sorted names of services with known targets."""
        items = self._state_by_service.items()
        return sorted(name for name, s in items if s.view_by_target)

    def views(self, service: str) -> list[TargetView]:
        """Returns the known targets of a service."""
        service_state = self._state_by_service.get(service)
        return (
            list(service_state.view_by_target.values()) if service_state else []
        )

    def count_by_state(self, service: str, now: float) -> dict[str, int]:
        """Counts the targets of a service by state, for logs and reports.

        Targets of unreachable processes count as "not reached", targets
        without a free slot as "full", targets that are sent as much as their
        rate limit allows as "limited".
        """
        counts: collections.Counter[str] = collections.Counter()
        for view in self.views(service):
            full = view.load(now) > view.slots - FREE_SLOT_MARGIN
            state = "full" if full else str(view.state(now))
            if not view.has_room(now):
                state = "limited"
            reachable = self.reachability.is_reachable(view.process)
            counts[state if reachable else "not reached"] += 1
        return dict(counts)

    def update_load(self, target: str, load: messages.Load, now: float) -> None:
        """Applies a load report of a target."""
        for service_state in self._state_by_service.values():
            view = service_state.view_by_target.get(target)
            if view is not None:
                self._update_load(view, load, now)

    def _update_load(
        self, view: TargetView, load: messages.Load, now: float
    ) -> None:
        limit_before = view.rate_limit
        view.update_load(load, now)
        if limit_before is None and view.rate_limit is None:
            return
        rate = view.rate_limit.rate if view.rate_limit is not None else None
        self._notices.record_rate_limit(view.name, rate, now)

    def record_leaving(
        self, service: str, target: str, asked_seconds_ago: float
    ) -> None:
        """Records that a response of a target said that it is leaving.

        From then on this process sends nothing to that incarnation, whatever
        its own process says.

        Args:
            service: Name of the service.
            target: Name of the target.
            asked_seconds_ago: Seconds since the request was sent.
        """
        self._notices.record_leaving(target, asked_seconds_ago)
        view = self._service_state(service).view_by_target.get(target)
        if view is not None:
            view.mark_draining()

    def record_work_request(
        self,
        target: str,
        load: messages.Load,
        now: float,
        any_kind: bool = False,
    ) -> None:
        """Records that an idle target asks for a request.

        Args:
            target: Name of the target.
            load: Its current load.
            now: Monotonic seconds.
            any_kind: Whether it asks for any request, and not for an idempotent
                one only.
        """
        self.update_load(target, load, now)
        for service_state in self._state_by_service.values():
            view = service_state.view_by_target.get(target)
            if view is not None:
                view.work_requested_until = (
                    now + idle_selection.WORK_REQUEST_SECONDS
                )
                view.asks_for_any_kind = any_kind
                service_state.subset.announce(target)

    # Selection.

    def select(
        self,
        requirements: Requirements,
        tried: frozenset[str],
        now: float,
        refused: frozenset[str] = frozenset(),
    ) -> Selection | None:
        """Selects a target and counts the request as in flight there.

        Args:
            requirements: What the request needs.
            tried: Targets that the request reached already; not selected.
            now: Monotonic seconds.
            refused: Targets that refused the request recently; not selected.
                While one of them is not ejected, an ejected target is selected
                only if it is probably healthy. Otherwise a target that fails at
                once, and so always has a free slot, would attract all waiting
                requests.

        Returns:
            The selection, or None if no target meets the requirements.
        """
        service_state = self._state_by_service.get(requirements.service)
        if service_state is None:
            return None
        groups = self._group_by_health(service_state, tried, now)
        none_usable = not groups[0] and not groups[1]
        healthy, shedding, ejected = (
            [view for view in views if view.name not in refused]
            for views in groups
        )
        required_health = admission.RequiredHealth.PROVEN
        view = None
        if _is_possible_trial(requirements):
            # No other request may run on an ejected target, so it goes first.
            view = self.idle_selection.select_ejected(ejected, now)
        if view is None and requirements.allows_trial:
            view = self.idle_selection.select_healthy(
                requirements.idempotent,
                healthy,
                service_state.failure_rate,
                now,
            )
            if view is not None:
                required_health = admission.RequiredHealth.SOUND
        if view is None and _is_possible_trial(requirements):
            view = self._select_for_trial(healthy, ejected, now)
        expected_failure = None
        if view is None:
            pool = healthy or shedding
            if not pool and _accepts_ejected(requirements):
                pool = ejected if none_usable else _promising(ejected, now)
            if requirements.wait:
                pool = _with_earliest_room(pool, now)
            else:
                pool = [v for v in pool if _is_free(v, now)]
            if not pool:
                return None
            view = self._balance(requirements, pool, now)
            expected_failure = self._expect_failure(
                requirements, service_state, view, now
            )
        if view.state(now) is State.SUSPECT:
            view.next_trial_at = now + TRIAL_INTERVAL_SECONDS
        view.record_selection(now)
        return Selection(
            view.name,
            view.process,
            required_health,
            self._notices.rate_limit(view.name, now),
            expected_failure,
        )

    def _expect_failure(
        self,
        requirements: Requirements,
        service_state: _ServiceState,
        view: TargetView,
        now: float,
    ) -> float | None:
        """Records and returns the probability that a request fails.

        An idempotent request fails if two targets are unhealthy, the second of
        which is known as little. Retries and hedges are not counted again, and
        requests for idle targets not at all: the more of them there were, the
        more would be sent.
        """
        if not requirements.allows_trial:
            return None
        failure = health.UNHEALTHY_FAILURE_RATE * view.unhealthy_probability(
            now
        )
        if requirements.idempotent:
            failure *= failure
        service_state.failure_rate.record_sent(failure, now)
        return failure

    def record_not_run(
        self, service: str, selection: Selection, now: float
    ) -> None:
        """Records that an attempt did not run, so it can't fail there."""
        if selection.expected_failure is not None:
            self._service_state(service).failure_rate.record_not_run(
                selection.expected_failure, now
            )

    def finish_attempt(
        self,
        service: str,
        selection: Selection,
        load: messages.Load | None,
        now: float,
        distribution: latency.Distribution | None = None,
    ) -> None:
        """Records the end of an attempt.

        Args:
            service: Name of the service.
            selection: The target of the attempt.
            load: Load report of the target, if there was a response.
            now: Monotonic seconds.
            distribution: Latency distribution of the route, updated from the
                load report.
        """
        service_state = self._state_by_service.get(service)
        view = (
            service_state.view_by_target.get(selection.target)
            if service_state
            else None
        )
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            self._update_load(view, load, now)
            service_state.failure_rate.record_remote(
                load.failure_percent / 100, now
            )
            if distribution is not None and load.latency > 0:
                distribution.blend(
                    load.latency, load.latency_spread, LATENCY_GAIN
                )

    def record_failure(self, service: str, now: float) -> None:
        """Records that a request to a service failed at its target."""
        self._service_state(service).failure_rate.failures.record(now)

    def failure_percent(self, service: str, now: float) -> int:
        """Returns the percentage of our requests to a service that fail."""
        return round(100 * self._service_state(service).failure_rate.local(now))

    def known_failure_percent(self, service: str, now: float) -> int:
        """Returns the percentage of failed requests by all that is known."""
        rate = self._service_state(service).failure_rate.combined(now)
        return round(100 * rate)

    def request_count(self, service: str) -> int:
        """Returns the number of requests of callers to a service so far."""
        return self._service_state(service).request_count

    def record_request(self, service: str, now: float) -> None:
        """Records a request of a caller, which adds to the retry budget."""
        service_state = self._service_state(service)
        service_state.failure_rate.requests.record(now)
        service_state.request_count += 1
        self.retry_budgets.for_service(service).record_request(now)

    def _service_state(self, service: str) -> _ServiceState:
        service_state = self._state_by_service.get(service)
        if service_state is None:
            service_state = _ServiceState(self._name)
            self._state_by_service[service] = service_state
            # Calls of retries are charged to every service that is known.
            self.retry_budgets.for_service(service)
        return service_state

    def _group_by_health(
        self, service_state: _ServiceState, tried: frozenset[str], now: float
    ) -> tuple[
        list[TargetView],
        list[TargetView],
        list[TargetView],
    ]:
        """Returns the usable targets: healthy, shedding load and ejected."""
        healthy: list[TargetView] = []
        shedding: list[TargetView] = []
        ejected: list[TargetView] = []
        view_by_target = service_state.view_by_target
        for name in service_state.subset.names(view_by_target, now):
            view = view_by_target[name]
            state = view.state(now)
            if name in tried or state in target_view.OUT_OF_SERVICE:
                continue
            if not self.reachability.is_reachable(view.process):
                continue
            if state is State.SUSPECT:
                ejected.append(view)
            elif state is State.SHEDDING:
                shedding.append(view)
            else:
                healthy.append(view)
        return healthy, shedding, ejected

    def _select_for_trial(
        self,
        healthy: list[TargetView],
        ejected: list[TargetView],
        now: float,
    ) -> TargetView | None:
        """Returns an ejected target to which a trial request is due, if any."""
        due = [
            view
            for view in ejected
            if now >= view.next_trial_at and view.has_room(now)
        ]
        if not due:
            return None
        # While all healthy targets are full, a trial request delays nothing.
        full = not any(view.probably_accepts(now) for view in healthy)
        if full or self._rng.random() < TRIAL_PROBABILITY:
            return self._rng.choice(due)
        return None

    def _balance(
        self,
        requirements: Requirements,
        pool: list[TargetView],
        now: float,
    ) -> TargetView:
        if len(pool) == 1:
            return pool[0]
        service_policy = self._find_policy(requirements.service)
        candidates = [
            self._candidate(service_policy, requirements, view, now)
            for view in pool
        ]
        algorithm = balancing_algorithms.algorithm_by_name[
            service_policy.spread
        ]
        name = algorithm(candidates, self._rng).name
        return next(view for view in pool if view.name == name)

    def _candidate(
        self,
        service_policy: policy.ServicePolicy,
        requirements: Requirements,
        view: TargetView,
        now: float,
    ) -> balancing_algorithms.Candidate:
        load = view.load(now)
        weight = 1.0
        if service_policy.weight is not policy.EQUAL_WEIGHT:
            weight = service_policy.weight.evaluate(
                load=load,
                slots=view.slots,
                same_domain=view.same_domain,
                state=str(view.state(now)),
            )
        loss = (
            IDEMPOTENT_FAILURE_COST
            if requirements.idempotent and not requirements.bulk
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
            else self.cross_domain_cost_per_kilobyte
            * (HEADER_KILOBYTES + requirements.kilobytes),
        )

    def _update_target(
        self, target: messages.TargetInfo, info: messages.ProcessInfo
    ) -> None:
        service_state = self._service_state(target.service)
        view = service_state.view_by_target.get(target.name)
        same = view is not None and view.process == info.name
        if same and view.boot == info.boot:
            view.update_info(target)
            return
        # After a restart of the process, the old state of its target is
        # discarded, as the target may have been paused only for the restart.
        same_domain = target.domain == self._domain
        view = TargetView(target, info, same_domain)
        if self._notices.is_leaving(target.name):
            view.mark_draining()
        service_state.view_by_target[target.name] = view
        service_state.subset.invalidate()

    def _remove_target(self, service: str, name: str, process: str) -> None:
        service_state = self._state_by_service.get(service)
        view = service_state.view_by_target.get(name) if service_state else None
        if view is not None and view.process == process:
            del service_state.view_by_target[name]
            service_state.subset.invalidate()


def _is_free(view: TargetView, now: float) -> bool:
    """Whether a target has a free slot for certain, and room in its limit."""
    return view.load(now) <= view.slots - FREE_SLOT_MARGIN and view.has_room(
        now
    )


def _is_possible_trial(requirements: Requirements) -> bool:
    """Whether a request may be a trial request for an ejected target."""
    return (
        requirements.idempotent
        and requirements.allows_trial
        and not requirements.bulk
    )


def _accepts_ejected(requirements: Requirements) -> bool:
    """Whether a request may run on an ejected target."""
    return (
        requirements.idempotent
        and requirements.required_health is admission.RequiredHealth.ANY
    )


def _promising(ejected: list[TargetView], now: float) -> list[TargetView]:
    """Returns the ejected targets that are probably healthy."""
    return [
        view
        for view in ejected
        if view.unhealthy_probability(now) <= MAX_UNHEALTHY_PROBABILITY
    ]


def _with_earliest_room(pool: list[TargetView], now: float) -> list[TargetView]:
    """Returns the targets whose rate limits let a request start first."""
    if not pool:
        return []
    earliest = max(now, min(view.room_at for view in pool))
    return [view for view in pool if view.room_at <= earliest]
