"""Selection of targets, without sockets."""

import dataclasses
import itertools
import random

import msgspec

from forklift import admission
from forklift import health
from forklift import idle_selection
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import target_subset
from test import helper

State = messages.TargetState
LARGE_SERVICE = [f"t{n}" for n in range(4 * target_subset.SUBSET_SIZE)]


def new_balancer(
    *names: str, domains: dict | None = None, process: str = "p"
) -> load_balancer.LoadBalancer:
    balancer = load_balancer.LoadBalancer(
        process,
        "d",
        random.Random(1),
        policy.BUILT_IN.service_policy,
        load_balancer.RetryBudgetLimits(1.0, 10.0, 100.0),
    )
    for name in names:
        domain = (domains or {}).get(name, "d")
        target = helper.target_info(name, domain=domain)
        balancer.update_process(helper.info(f"p-{name}", targets=(target,)))
    return balancer


def balancer_with_reserve(reserve: float) -> load_balancer.LoadBalancer:
    """The only process, with a retry budget that consists of the reserve."""
    balancer = load_balancer.LoadBalancer(
        "p",
        "d",
        random.Random(1),
        policy.BUILT_IN.service_policy,
        load_balancer.RetryBudgetLimits(0.0, 10.0, reserve, calls=1.0),
    )
    balancer.process_count = 1
    return balancer


def load(
    state=State.IN_SERVICE,
    running=0,
    version=2,
    idle=0.0,
    unhealthy_probability=None,
):
    if unhealthy_probability is None:
        unhealthy_probability = 0.8 if state is State.SUSPECT else 0.05
    return messages.Load(
        running, 0, 4, state, version, 0.1, idle, unhealthy_probability
    )


def requirements(**changes) -> load_balancer.Requirements:
    return load_balancer.Requirements(
        **{"service": "s", "idempotent": False, **changes}
    )


def selected_targets(balancer, asked, count=50, now=10.0) -> set[str]:
    selected = set()
    for _ in range(count):
        selection = balancer.select(asked, frozenset(), now)
        if selection is not None:
            selected.add(selection.target)
            balancer.finish_attempt("s", selection, None, now)
    return selected


def test_non_idempotent_request_never_goes_to_an_ejected_target():
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SUSPECT), 10.0)
    assert selected_targets(balancer, requirements()) == {"b"}
    balancer.update_load("b", load(State.SUSPECT), 10.0)
    assert selected_targets(balancer, requirements()) == set()
    # Also not if there is no other target, as most of its requests fail.
    accepts_any = requirements(required_health=admission.RequiredHealth.ANY)
    assert selected_targets(balancer, accepts_any) == set()
    idempotent = requirements(
        required_health=admission.RequiredHealth.ANY, idempotent=True
    )
    assert selected_targets(balancer, idempotent) == {"a", "b"}
    balancer.update_load(
        "a", load(State.SUSPECT, unhealthy_probability=0.4), 10.0
    )
    assert selected_targets(balancer, accepts_any) == set()


def test_targets_are_counted_by_state_as_seen_by_this_process():
    balancer = new_balancer("a", "b", "c", "d")
    balancer.update_load("a", load(State.SUSPECT), 10.0)
    balancer.update_load("b", load(running=4), 10.0)
    balancer.reachability.mark_unreachable("p-c", "silent", 10.0)
    assert balancer.count_by_state("s", 10.0) == {
        "suspect": 1,
        "full": 1,
        "not reached": 1,
        "in-service": 1,
    }


def test_ejected_target_is_not_selected_while_a_healthy_one_is_busy():
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SUSPECT), 10.0)
    asked = requirements(
        required_health=admission.RequiredHealth.ANY, wait=True
    )
    busy = frozenset({"b"})
    assert balancer.select(asked, frozenset(), 10.0, busy) is None
    last = requirements(
        required_health=admission.RequiredHealth.ANY, wait=True, idempotent=True
    )
    assert balancer.select(last, busy, 10.0).target == "a"


def test_probably_healthy_ejected_target_is_preferred_to_waiting():
    balancer = new_balancer("a", "b")
    balancer.update_load(
        "a", load(State.SUSPECT, unhealthy_probability=0.4), 10.0
    )
    asked = requirements(
        required_health=admission.RequiredHealth.ANY, wait=True, idempotent=True
    )
    busy = frozenset({"b"})
    asked = dataclasses.replace(asked, allows_trial=False)
    assert balancer.select(asked, frozenset(), 10.0, busy).target == "a"
    assert (
        balancer.select(requirements(wait=True), frozenset(), 10.0, busy)
        is None
    )


def test_trial_requests_to_an_ejected_target_are_limited():
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SUSPECT), 10.0)
    trials = 0
    for step in range(200):
        now = 10.0 + step * 0.01
        selection = balancer.select(
            requirements(idempotent=True), frozenset(), now
        )
        trials += selection.target == "a"
        balancer.finish_attempt("s", selection, None, now)
    assert 1 <= trials <= 2.0 / load_balancer.TRIAL_INTERVAL_SECONDS + 1


def test_local_target_is_never_idle_for_long():
    """The capacity floor requires each healthy target in use within 2 s."""

    def longest_idle(asked, failing: bool) -> float:
        balancer = new_balancer("a", "b", "c", process="p-c")
        used_at, longest = 10.0, 0.0
        for step in range(400):
            now = 10.0 + step * 0.1
            if failing:
                balancer.record_failure("s", now)
            # The load report of the local target.
            idle = load(
                idle=now - used_at, unhealthy_probability=health.UNHEALTHY_PRIOR
            )
            balancer.update_load("c", idle, now)
            for other in ("a", "b"):
                balancer.update_load(other, load(), now)
            selection = balancer.select(asked, frozenset(), now)
            balancer.finish_attempt("s", selection, None, now)
            if selection.target == "c":
                proven = (
                    selection.required_health is admission.RequiredHealth.PROVEN
                )
                assert asked.idempotent or not proven
                longest = max(longest, now - used_at)
                used_at = now
        return max(longest, now - used_at)

    for failing in (False, True):
        assert longest_idle(requirements(idempotent=True), failing) < 1.0
    assert longest_idle(requirements(), failing=True) < 1.6


def test_non_idempotent_request_goes_to_an_idle_target_only_if_many_fail():
    balancer = new_balancer("a", "b", process="p-b")
    balancer.update_load("a", load(), 10.0)
    balancer.update_load(
        "b", load(idle=5.0, unhealthy_probability=health.UNHEALTHY_PRIOR), 10.0
    )
    for step in range(20):
        balancer.record_request("s", 8.0 + step * 0.1)
    assert selected_targets(balancer, requirements()) == {"a"}
    balancer.record_failure("s", 9.0)
    assert selected_targets(balancer, requirements()) == {"a"}
    balancer.record_failure("s", 9.5)
    balancer.record_failure("s", 9.6)
    assert selected_targets(balancer, requirements()) == {"b"}


def measure_usage(seed: int, failing: float) -> tuple[float, float]:
    """A process that receives one request per second, with a local target.

    Returns:
        The share of time in which the target was used within the last 2 s, and
        the share of the requests that it received.
    """
    rng = random.Random(seed)
    balancer = new_balancer("a", "b", "c", process="p-c")
    now, used, count = 10.0, [10.0], 0
    while now < 610.0:
        now += rng.expovariate(1.0)
        count += 1
        balancer.record_request("s", now)
        idle = load(
            idle=now - used[-1], unhealthy_probability=health.UNHEALTHY_PRIOR
        )
        balancer.update_load("c", idle, now)
        for other in ("a", "b"):
            balancer.update_load(other, load(), now)
        selection = balancer.select(requirements(), frozenset(), now)
        # Other processes report the failure rate of their few requests.
        failure_percent = sum(rng.random() < failing for _ in range(5)) * 20
        report = msgspec.structs.replace(
            load(), failure_percent=failure_percent
        )
        balancer.finish_attempt("s", selection, report, now)
        if selection.target == "c":
            used.append(now)
        if rng.random() < failing:
            balancer.record_failure("s", now)
    spans = itertools.pairwise([*used, now])
    watched = sum(
        min(idle_selection.CAPACITY_FLOOR_SECONDS, b - a) for a, b in spans
    )
    return watched / (now - 10.0), len(used) / count


def requests_without_an_end(balancer, refused: bool) -> None:
    """Sends requests to others of unknown health; none ends in this time."""
    for step in range(20):
        now = 8.0 + step * 0.1
        balancer.record_request("s", now)
        selection = balancer.select(requirements(), frozenset({"local"}), now)
        if refused:
            balancer.finish_attempt("s", selection, None, now)
            balancer.record_not_run("s", selection, now)


def balancer_with_idle_local_target(refused: bool):
    others = "abcdefg"
    balancer = new_balancer(*others, "local", process="p-local")
    balancer.update_load("local", load(), 8.0)
    requests_without_an_end(balancer, refused)
    idle = load(idle=1.9, unhealthy_probability=health.UNHEALTHY_PRIOR)
    balancer.update_load("local", idle, 9.9)
    for name in others:
        balancer.update_load(name, load(), 10.0)
    return balancer


def test_failures_count_before_hanging_requests_time_out():
    """Else idle targets get nothing until the first requests time out."""
    balancer = balancer_with_idle_local_target(refused=False)
    selection = balancer.select(requirements(), frozenset(), 10.0)
    assert selection.target == "local"
    assert selection.expected_failure is None


def test_requests_that_targets_refused_are_not_expected_to_fail():
    balancer = balancer_with_idle_local_target(refused=True)
    selection = balancer.select(requirements(), frozenset(), 10.0)
    assert selection.target != "local"


def test_target_that_asks_for_work_gets_the_next_idempotent_request():
    """Else a healthy target whose process has no callers stays unused."""
    balancer = new_balancer("a", "b", "c")
    for name in ("a", "b"):
        balancer.update_load(name, load(unhealthy_probability=0.03), 10.0)
    asked = load(idle=1.3, unhealthy_probability=health.UNHEALTHY_PRIOR)
    balancer.update_load("c", asked, 10.0)
    idempotent = requirements(idempotent=True)
    assert "c" not in selected_targets(balancer, idempotent)
    balancer.record_work_request("c", asked, 10.0)
    assert "c" not in selected_targets(balancer, requirements())
    selection = balancer.select(idempotent, frozenset(), 10.0)
    assert selection.target == "c"
    # It asked for a single request.
    assert "c" not in selected_targets(balancer, idempotent)


def announce_idle(balancer, target: str, idle: float, now: float) -> None:
    """Announces a target of unknown health to a process that uses others."""
    announced = load(idle=idle, unhealthy_probability=health.UNHEALTHY_PRIOR)
    balancer.record_work_request(target, announced, now)


def test_announced_target_gets_any_request_while_many_fail():
    """Else it stays unused in a service with few idempotent requests."""
    balancer = new_balancer("a", "b", "c")
    for name in ("a", "b"):
        balancer.update_load(name, load(unhealthy_probability=0.03), 10.0)
    announce_idle(balancer, "c", 1.3, 10.0)
    assert "c" not in selected_targets(balancer, requirements())
    for _ in range(3):
        balancer.record_failure("s", 10.0)
    selection = balancer.select(requirements(), frozenset(), 10.0)
    assert selection.target == "c"
    # An unproven target would refuse it otherwise.
    assert selection.required_health is admission.RequiredHealth.SOUND
    assert "c" not in selected_targets(balancer, requirements())


def test_announced_target_that_was_never_used_gets_any_request():
    """At startup, the health of the other targets is unknown, too."""
    balancer = new_balancer("a", "b", "c")
    for name in ("a", "b"):
        balancer.update_load(name, load(unhealthy_probability=0.03), 10.0)
    announce_idle(balancer, "c", admission.UNUSED_IDLE_SECONDS, 10.0)
    selection = balancer.select(requirements(), frozenset(), 10.0)
    assert selection.target == "c"


def test_announcement_of_an_idle_target_ends():
    """Else the first requests after a pause all go to targets in use again."""
    balancer = new_balancer("a", "c")
    balancer.update_load("a", load(unhealthy_probability=0.03), 10.0)
    announce_idle(balancer, "c", 1.3, 10.0)
    later = 10.0 + idle_selection.WORK_REQUEST_SECONDS
    asked = requirements(idempotent=True)
    assert selected_targets(balancer, asked, now=later) == {"a"}


def test_processes_send_to_different_announced_targets():
    """Else all requests for idle targets go to the first one by name."""
    selected = set()
    for seed in range(20):
        balancer = new_balancer(*"abcdef")
        balancer._rng.seed(seed)
        for name in "abcdef":
            announce_idle(balancer, name, 1.3, 10.0)
        asked = requirements(idempotent=True)
        selected.add(balancer.select(asked, frozenset(), 10.0).target)
    assert len(selected) > 3


def test_announced_ejected_target_gets_the_next_idempotent_request():
    """Else few trial requests leave it ejected long after it recovered."""
    balancer = new_balancer("a", "b", "c")
    balancer.update_load("a", load(unhealthy_probability=0.03), 10.0)
    for name in ("b", "c"):
        balancer.update_load(name, load(State.SUSPECT), 10.0)
    announced = load(State.SUSPECT, idle=1.3)
    for step in range(10):
        now = 10.0 + step
        balancer.record_work_request("c", announced, now)
        assert selected_targets(balancer, requirements(), 1, now) == {"a"}
        selection = balancer.select(
            requirements(idempotent=True), frozenset(), now
        )
        assert selection.target == "c"
        balancer.finish_attempt("s", selection, None, now)


def test_idle_ejected_local_target_gets_the_next_idempotent_request():
    balancer = new_balancer("a", "b", process="p-b")
    balancer.update_load("a", load(unhealthy_probability=0.03), 10.0)
    balancer.update_load("b", load(State.SUSPECT, idle=1.0), 10.0)
    asked = requirements(idempotent=True)
    assert balancer.select(asked, frozenset(), 10.0).target == "b"


def balancer_of_large_service(process: str) -> load_balancer.LoadBalancer:
    """Knows several times as many targets as a process sends to."""
    return new_balancer(*LARGE_SERVICE, process=process)


def test_local_target_in_a_large_service_gets_the_first_request():
    """Else most targets are not kept in use by the process beside them."""
    for name in LARGE_SERVICE[:10]:
        balancer = balancer_of_large_service(f"p-{name}")
        selection = balancer.select(requirements(), frozenset(), 10.0)
        assert selection.target == name


def test_announced_target_in_a_large_service_gets_a_request_from_any_process():
    """Else most of the processes that are asked ignore the announcement."""
    balancer = balancer_of_large_service("p")
    for name in LARGE_SERVICE[:10]:
        announce_idle(balancer, name, 1.3, 10.0)
        selection = balancer.select(
            requirements(idempotent=True), frozenset(), 10.0
        )
        assert selection.target == name


def test_process_of_a_large_service_sends_to_few_targets():
    """Else each process needs a connection to each other process."""
    balancer = balancer_of_large_service("p")
    for name in LARGE_SERVICE:
        announce_idle(balancer, name, 1.3, 10.0)
    later = 10.0 + idle_selection.WORK_REQUEST_SECONDS
    used = selected_targets(balancer, requirements(), 500, later)
    assert len(used) <= target_subset.SUBSET_SIZE


def test_removed_target_of_a_large_service_is_not_selected():
    balancer = balancer_of_large_service("p")
    for name in LARGE_SERVICE:
        announce_idle(balancer, name, 1.3, 10.0)
        balancer.remove_process(f"p-{name}")
    assert not selected_targets(balancer, requirements(idempotent=True))


def test_work_request_of_a_full_or_unknown_target_is_ignored():
    balancer = new_balancer("a", "c")
    full = load(running=4, idle=1.3)
    balancer.record_work_request("c", full, 10.0)
    balancer.record_work_request("nobody", full, 10.0)
    assert selected_targets(balancer, requirements(idempotent=True)) == {"a"}


def test_process_with_few_requests_keeps_its_local_target_in_use():
    """With one request per second, a process rarely sees two failures at once.

    A process that waited for them would leave its target idle for too long.
    """
    assert min(measure_usage(seed, 0.3)[0] for seed in range(4)) > 0.7


def test_process_with_few_requests_rarely_tries_an_idle_target_if_few_fail():
    """Requests to a target of unknown health fail more often."""
    assert max(measure_usage(seed, 0.03)[1] for seed in range(4)) < 0.15


def test_unused_local_target_gets_the_first_request():
    """At startup, the health of the other targets is unknown, too."""
    balancer = new_balancer("a", "b", process="p-b")
    balancer.update_load(
        "b",
        load(
            idle=admission.UNUSED_IDLE_SECONDS,
            unhealthy_probability=health.UNHEALTHY_PRIOR,
        ),
        10.0,
    )
    balancer.update_load("a", load(), 10.0)
    selection = balancer.select(requirements(), frozenset(), 10.0)
    assert (selection.target, selection.required_health) == (
        "b",
        admission.RequiredHealth.SOUND,
    )


def test_retry_also_charges_the_services_that_its_run_may_call():
    """Calls of a retried run are retries at the called service."""
    balancer = balancer_with_reserve(20.0)
    balancer.record_request("called", 0.0)
    spent = sum(balancer.retry_budgets.spend("caller", 1.0) for _ in range(10))
    left = sum(balancer.retry_budgets.spend("called", 2.0) for _ in range(100))
    assert spent == 10
    assert spent + left <= 20


def test_retry_charges_no_service_that_its_run_can_not_call():
    """Charging retries of short calls to all services wastes their budgets."""
    balancer = balancer_with_reserve(20.0)
    balancer.retry_budgets.shortest_objective_by_service = {
        "called": 0.4,
        "caller": 1.5,
    }
    balancer.record_request("caller", 0.0)
    assert (
        sum(
            balancer.retry_budgets.spend("called", 1.0, objective=0.4)
            for _ in range(30)
        )
        == 18
    )
    assert (
        sum(
            balancer.retry_budgets.spend("caller", 1.0, objective=1.5)
            for _ in range(30)
        )
        == 18
    )
    # A retry of the caller is charged to the called service.
    later = 20.0
    assert (
        sum(
            balancer.retry_budgets.spend("caller", later, objective=1.5)
            for _ in range(30)
        )
        == 18
    )
    assert not balancer.retry_budgets.spend("called", later + 1, objective=0.4)


def test_retry_is_never_a_trial_request():
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SUSPECT), 10.0)
    assert selected_targets(
        balancer, requirements(idempotent=True, allows_trial=False)
    ) == {"b"}


def test_bulk_request_is_never_a_trial_request():
    """Guards against large responses that break where no retry can help."""
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SUSPECT), 10.0)
    assert selected_targets(
        balancer, requirements(idempotent=True, bulk=True)
    ) == {"b"}


def test_target_that_sheds_load_is_used_only_without_a_healthy_one():
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SHEDDING), 10.0)
    assert selected_targets(balancer, requirements()) == {"b"}
    balancer.update_load("b", load(State.SHEDDING), 10.0)
    assert selected_targets(balancer, requirements())


def test_load_shedding_of_a_target_expires():
    """Otherwise no process would send requests, and so notice its end."""
    balancer = new_balancer("a", "b")
    balancer.update_load("a", load(State.SHEDDING), 10.0)
    assert selected_targets(balancer, requirements()) == {"b"}
    later = 10.0 + health.SHEDDING_SECONDS
    balancer.update_load("b", load(running=3), later)
    assert selected_targets(balancer, requirements(), now=later) == {"a"}


def test_targets_in_the_same_domain_are_preferred_until_they_are_full():
    balancer = new_balancer("a", "b", domains={"b": "far"})
    assert selected_targets(balancer, requirements()) == {"a"}
    balancer.update_load("a", load(running=4), 10.0)
    assert selected_targets(balancer, requirements()) == {"b"}


def test_cross_domain_cost_grows_with_size_and_failure_cost_with_loss():
    """A lost request costs more than traffic between failure domains."""
    balancer = new_balancer("a", "b", domains={"b": "far"})
    balancer.update_load("a", load(unhealthy_probability=0.3), 10.0)
    balancer.update_load("b", load(unhealthy_probability=0.05), 10.0)
    assert selected_targets(balancer, requirements(kilobytes=0.5)) == {"b"}
    assert selected_targets(balancer, requirements(kilobytes=12.0)) == {"a"}
    # A retry is cheaper than sending the request to another domain.
    again = requirements(kilobytes=3.0, idempotent=True, allows_trial=False)
    assert selected_targets(balancer, again) == {"a"}


def test_tried_target_is_not_selected_again():
    balancer = new_balancer("a", "b")
    selection = balancer.select(requirements(), frozenset({"a"}), 10.0)
    assert selection.target == "b"
    assert balancer.select(requirements(), frozenset({"a", "b"}), 10.0) is None


def test_late_load_report_does_not_bring_back_a_draining_target():
    balancer = new_balancer("a")
    gone = helper.target_info("a", state=State.DRAINING)
    balancer.update_process(helper.info("p-a", targets=(gone,)))
    balancer.update_load("a", load(version=9), 10.0)
    assert selected_targets(balancer, requirements()) == set()


def test_paused_target_is_back_after_a_restart_of_its_process():
    balancer = new_balancer("a")
    paused = helper.target_info("a", state=State.PAUSED)
    balancer.update_process(helper.info("p-a", targets=(paused,)))
    assert selected_targets(balancer, requirements()) == set()
    back = helper.target_info("a")
    balancer.update_process(helper.info("p-a", targets=(back,), boot=99))
    assert selected_targets(balancer, requirements()) == {"a"}


def test_target_of_an_unreachable_process_is_not_selected():
    balancer = new_balancer("a", "b")
    balancer.reachability.mark_unreachable("p-a", "silent", 10.0)
    assert selected_targets(balancer, requirements()) == {"b"}
    assert balancer.reachability.record_reply("p-a")
    assert "a" in selected_targets(
        balancer, requirements(), 200
    ) | selected_targets(balancer, requirements(idempotent=True), 200)


def limit_target(balancer, name: str, wait: float, now: float = 10.0) -> None:
    """Reports a rate limit that lets no request start for some seconds."""
    status = messages.RateLimitStatus(2.0, wait)
    report = msgspec.structs.replace(load(version=3), rate_limit=status)
    balancer.update_load(name, report, now)


def test_target_without_room_in_its_limit_is_selected_only_to_wait():
    balancer = new_balancer("a", "b")
    limit_target(balancer, "a", 0.5)
    assert selected_targets(balancer, requirements()) == {"b"}
    assert selected_targets(balancer, requirements(wait=True)) == {"b"}
    limit_target(balancer, "b", 0.2)
    assert selected_targets(balancer, requirements()) == set()
    assert selected_targets(balancer, requirements(wait=True), 1) == {"b"}
    assert balancer.count_by_state("s", 10.0)["limited"] == 2
    both = selected_targets(balancer, requirements(), now=10.8)
    assert both == {"a", "b"}


def test_own_requests_use_up_the_limit_of_a_target():
    balancer = new_balancer("a")
    limit_target(balancer, "a", 0.0)
    assert balancer.select(requirements(), frozenset(), 10.0) is not None
    assert balancer.select(requirements(), frozenset(), 10.4) is None
    assert balancer.select(requirements(), frozenset(), 10.6) is not None


def test_idle_or_ejected_target_without_room_in_its_limit_is_not_selected():
    balancer = new_balancer("a", process="p-a")
    balancer.update_load("a", load(idle=5.0), 10.0)
    limit_target(balancer, "a", 0.9)
    idempotent = requirements(idempotent=True)
    assert balancer.select(idempotent, frozenset(), 10.0) is None
    status = messages.RateLimitStatus(2.0, 0.9)
    ejected = msgspec.structs.replace(
        load(State.SUSPECT, version=4), rate_limit=status
    )
    balancer.update_load("a", ejected, 10.0)
    assert selected_targets(balancer, idempotent) == set()


def test_stale_limit_keeps_requests_away_for_a_second_only():
    balancer = new_balancer("a")
    limit_target(balancer, "a", 60.0)
    assert balancer.select(requirements(), frozenset(), 10.9) is None
    assert balancer.select(requirements(), frozenset(), 11.1) is not None


# The process beside a leaving target restarts and takes the target for one in
# service; this process has passed on that the target is leaving.
def test_leaving_target_is_not_selected_after_a_restart_of_its_process():
    balancer = new_balancer("a", "b")
    balancer.record_leaving("s", "a", 0.1)
    assert selected_targets(balancer, requirements()) == {"b"}
    balancer.remove_process("p-a")
    balancer.update_process(helper.info("p-a", "a", boot=99))
    balancer.update_load("a", load(), 10.0)
    assert selected_targets(balancer, requirements()) == {"b"}
    balancer.update_process(helper.info("p-a", "a@5000", boot=99))
    assert selected_targets(balancer, requirements()) == {"a@5000", "b"}


def test_limit_of_a_target_is_passed_on_after_a_restart_of_its_process():
    balancer = new_balancer("a@5")
    limit_target(balancer, "a@5", 0.0)
    balancer.remove_process("p-a@5")
    balancer.update_process(helper.info("p-a@5", "a@5", boot=99))
    selection = balancer.select(requirements(), frozenset(), 11.0)
    assert selection.rate_limit == 2.0
    balancer.update_process(helper.info("p-a@5", "a@6", boot=99))
    selection = balancer.select(requirements(), frozenset(), 12.0)
    assert (selection.target, selection.rate_limit) == ("a@6", None)
