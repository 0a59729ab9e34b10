"""Picking targets: no sockets."""

import dataclasses
import itertools
import random

import msgspec

from forklift import admission
from forklift import health
from forklift import load_balancer
from forklift import messages
from forklift import policy
from test import helper

State = messages.TargetState


def made(
    *names: str, domains: dict | None = None, process: str = "p"
) -> load_balancer.LoadBalancer:
    found = load_balancer.LoadBalancer(
        process,
        "d",
        random.Random(1),
        policy.BUILT_IN.program,
        load_balancer.RetryBudgetLimits(1.0, 10.0, 100.0),
    )
    for name in names:
        domain = (domains or {}).get(name, "d")
        target = helper.target_info(name, domain=domain)
        found.update_process(helper.info(f"p-{name}", targets=(target,)))
    return found


def alone_with_reserve(reserve: float) -> load_balancer.LoadBalancer:
    """The only process, with a budget of repeats that is all reserve."""
    found = load_balancer.LoadBalancer(
        "p",
        "d",
        random.Random(1),
        policy.BUILT_IN.program,
        load_balancer.RetryBudgetLimits(0.0, 10.0, reserve, calls=1.0),
    )
    found.process_count = 1
    return found


def load(state=State.IN_SERVICE, running=0, version=2, idle=0.0, risk=None):
    if risk is None:
        risk = 0.8 if state is State.SUSPECT else 0.05
    return messages.Load(running, 0, 4, state, version, 0.1, idle, risk)


def requirements(**changes) -> load_balancer.Requirements:
    return load_balancer.Requirements(
        **{"service": "s", "idempotent": False, **changes}
    )


def picks(found, asked, count=50, now=10.0) -> set[str]:
    picked = set()
    for _ in range(count):
        selection = found.select(asked, frozenset(), now)
        if selection is not None:
            picked.add(selection.target)
            found.finish_attempt("s", selection, None, now)
    return picked


def test_work_that_must_not_repeat_goes_to_nobody_who_is_doubted():
    found = made("a", "b")
    found.update_load("a", load(State.SUSPECT), 10.0)
    assert picks(found, requirements()) == {"b"}
    found.update_load("b", load(State.SUSPECT), 10.0)
    assert picks(found, requirements()) == set()
    # Not even where there is no other: most of its requests fail.
    insisting = requirements(required_health=admission.RequiredHealth.ANY)
    assert picks(found, insisting) == set()
    idempotent = requirements(
        required_health=admission.RequiredHealth.ANY, idempotent=True
    )
    assert picks(found, idempotent) == {"a", "b"}
    found.update_load("a", load(State.SUSPECT, risk=0.4), 10.0)
    assert picks(found, insisting) == set()


def test_how_targets_stand_is_told_as_this_entry_sees_it():
    found = made("a", "b", "c", "d")
    found.update_load("a", load(State.SUSPECT), 10.0)
    found.update_load("b", load(running=4), 10.0)
    found.reachability.mark_unreachable("p-c", "silent", 10.0)
    assert found.count_by_state("s", 10.0) == {
        "suspect": 1,
        "full": 1,
        "not reached": 1,
        "in-service": 1,
    }


def test_a_doubted_target_draws_nothing_while_sound_ones_are_busy():
    found = made("a", "b")
    found.update_load("a", load(State.SUSPECT), 10.0)
    asked = requirements(
        required_health=admission.RequiredHealth.ANY, wait=True
    )
    busy = frozenset({"b"})
    assert found.select(asked, frozenset(), 10.0, busy) is None
    last = requirements(
        required_health=admission.RequiredHealth.ANY, wait=True, idempotent=True
    )
    assert found.select(last, busy, 10.0).target == "a"


def test_a_doubted_target_that_mostly_does_well_is_better_than_waiting():
    found = made("a", "b")
    found.update_load("a", load(State.SUSPECT, risk=0.4), 10.0)
    asked = requirements(
        required_health=admission.RequiredHealth.ANY, wait=True, idempotent=True
    )
    busy = frozenset({"b"})
    asked = dataclasses.replace(asked, scout=False)
    assert found.select(asked, frozenset(), 10.0, busy).target == "a"
    assert (
        found.select(requirements(wait=True), frozenset(), 10.0, busy) is None
    )


def test_repeatable_work_tests_doubted_targets_now_and_then():
    found = made("a", "b")
    found.update_load("a", load(State.SUSPECT), 10.0)
    tests = 0
    for step in range(200):
        now = 10.0 + step * 0.01
        selection = found.select(
            requirements(idempotent=True), frozenset(), now
        )
        tests += selection.target == "a"
        found.finish_attempt("s", selection, None, now)
    assert 1 <= tests <= 2.0 / load_balancer.PROBE_INTERVAL + 1


def test_the_target_beside_is_never_left_without_work():
    """A floor on capacity needs each sound target in use within 2 s."""

    def longest_pause(asked, troubled: bool) -> float:
        found = made("a", "b", "c", process="p-c")
        used_at, longest = 10.0, 0.0
        for step in range(400):
            now = 10.0 + step * 0.1
            if troubled:
                found.record_failure("s", now)
            # What its gate tells this entry ten times a second.
            idle = load(idle=now - used_at, risk=health.UNHEALTHY_PRIOR)
            found.update_load("c", idle, now)
            for other in ("a", "b"):
                found.update_load(other, load(), now)
            selection = found.select(asked, frozenset(), now)
            found.finish_attempt("s", selection, None, now)
            if selection.target == "c":
                proven = (
                    selection.required_health is admission.RequiredHealth.PROVEN
                )
                assert asked.idempotent or not proven
                longest = max(longest, now - used_at)
                used_at = now
        return max(longest, now - used_at)

    for troubled in (False, True):
        assert longest_pause(requirements(idempotent=True), troubled) < 1.0
    assert longest_pause(requirements(), troubled=True) < 1.6


def test_work_that_must_not_repeat_is_no_test_while_all_goes_well():
    found = made("a", "b", process="p-b")
    found.update_load("a", load(), 10.0)
    found.update_load("b", load(idle=5.0, risk=health.UNHEALTHY_PRIOR), 10.0)
    for step in range(20):
        found.record_request("s", 8.0 + step * 0.1)
    assert picks(found, requirements()) == {"a"}
    found.record_failure("s", 9.0)
    assert picks(found, requirements()) == {"a"}
    found.record_failure("s", 9.5)
    found.record_failure("s", 9.6)
    assert picks(found, requirements()) == {"b"}


def in_use(seed: int, failing: float) -> tuple[float, float]:
    """An entry that sees one request a second, and a target beside it.

    Returns:
        The share of time in which the target had work within the last 2 s, and
        the share of the entry's requests that it got.
    """
    rng = random.Random(seed)
    found = made("a", "b", "c", process="p-c")
    now, used, count = 10.0, [10.0], 0
    while now < 610.0:
        now += rng.expovariate(1.0)
        count += 1
        found.record_request("s", now)
        idle = load(idle=now - used[-1], risk=health.UNHEALTHY_PRIOR)
        found.update_load("c", idle, now)
        for other in ("a", "b"):
            found.update_load(other, load(), now)
        selection = found.select(requirements(), frozenset(), now)
        # Others see the same, each by a few requests of its own.
        told = sum(rng.random() < failing for _ in range(5)) * 20
        answer = msgspec.structs.replace(load(), failure_percent=told)
        found.finish_attempt("s", selection, answer, now)
        if selection.target == "c":
            used.append(now)
        if rng.random() < failing:
            found.record_failure("s", now)
    spans = itertools.pairwise([*used, now])
    watched = sum(
        min(load_balancer.CAPACITY_FLOOR_WINDOW, b - a) for a, b in spans
    )
    return watched / (now - 10.0), len(used) / count


def test_a_target_that_asks_for_work_gets_the_next_that_may_repeat():
    """In a fleet of 12 a target went without work for 4.9 s.

    Nobody doubted it: some 90 requests began at each other target meanwhile.
    Its own entry had a single caller, and all others knew others to be well.
    """
    found = made("a", "b", "c")
    for name in ("a", "b"):
        found.update_load(name, load(risk=0.03), 10.0)
    asked = load(idle=1.3, risk=health.UNHEALTHY_PRIOR)
    found.update_load("c", asked, 10.0)
    may_repeat = requirements(idempotent=True)
    assert "c" not in picks(found, may_repeat)
    found.record_work_request("c", asked, 10.0)
    assert "c" not in picks(found, requirements())
    selection = found.select(may_repeat, frozenset(), 10.0)
    assert selection.target == "c"
    # It asked for one.
    assert "c" not in picks(found, may_repeat)


def test_a_target_that_asks_and_is_full_or_unknown_gets_nothing():
    found = made("a", "c")
    full = load(running=4, idle=1.3)
    found.record_work_request("c", full, 10.0)
    found.record_work_request("nobody", full, 10.0)
    assert picks(found, requirements(idempotent=True)) == {"a"}


def test_an_entry_that_sees_few_requests_keeps_its_target_in_use():
    """4 of 13 sound targets got nothing for 2 s; 46 of 158 requests failed.

    Each of 78 entries saw one a second: hardly one saw two fail within 2 s, and
    a target that had been idle for 1.3 s then got the next request too late. It
    was in use for 0.12 of the time.
    """
    assert min(in_use(seed, 0.3)[0] for seed in range(4)) > 0.7


def test_an_entry_that_sees_few_requests_tries_little_while_few_fail():
    """What goes to a target of which little is known fails more often."""
    assert max(in_use(seed, 0.03)[1] for seed in range(4)) < 0.15


def test_a_target_that_never_had_work_gets_the_first_request_beside_it():
    """At a start nothing is known of the others either."""
    found = made("a", "b", process="p-b")
    found.update_load(
        "b",
        load(idle=admission.MAX_IDLE_SECONDS, risk=health.UNHEALTHY_PRIOR),
        10.0,
    )
    found.update_load("a", load(), 10.0)
    selection = found.select(requirements(), frozenset(), 10.0)
    assert (selection.target, selection.required_health) == (
        "b",
        admission.RequiredHealth.SOUND,
    )


def test_a_repeat_also_charges_the_services_that_its_run_may_call():
    """Calls of a repeated run are repeats at the service that is called."""
    found = alone_with_reserve(20.0)
    found.record_request("called", 0.0)
    spent = sum(found.spend_retry("caller", 1.0) for _ in range(10))
    left = sum(found.spend_retry("called", 2.0) for _ in range(100))
    assert spent == 10
    assert spent + left <= 20


def test_a_repeat_charges_no_service_that_its_run_can_not_call():
    """Most repeats were of short calls, which call nobody themselves; charging
    them to all services left two thirds of the budget unused."""
    found = alone_with_reserve(20.0)
    found.shortest_objective_by_service = {"called": 0.4, "caller": 1.5}
    found.record_request("caller", 0.0)
    assert (
        sum(found.spend_retry("called", 1.0, objective=0.4) for _ in range(30))
        == 18
    )
    assert (
        sum(found.spend_retry("caller", 1.0, objective=1.5) for _ in range(30))
        == 18
    )
    # The other way round the calls count.
    later = 20.0
    assert (
        sum(
            found.spend_retry("caller", later, objective=1.5) for _ in range(30)
        )
        == 18
    )
    assert not found.spend_retry("called", later + 1, objective=0.4)


def test_a_repeat_tests_nobody():
    found = made("a", "b")
    found.update_load("a", load(State.SUSPECT), 10.0)
    assert picks(found, requirements(idempotent=True, scout=False)) == {"b"}


def test_shedding_targets_come_after_sound_ones_but_are_used():
    found = made("a", "b")
    found.update_load("a", load(State.SHEDDING), 10.0)
    assert picks(found, requirements()) == {"b"}
    found.update_load("b", load(State.SHEDDING), 10.0)
    assert picks(found, requirements())


def test_that_a_target_refused_once_is_forgotten_within_a_second():
    """Its guard tells only those that send to it, which nobody would."""
    found = made("a", "b")
    found.update_load("a", load(State.SHEDDING), 10.0)
    assert picks(found, requirements()) == {"b"}
    later = 10.0 + health.SHEDDING_SECONDS
    found.update_load("b", load(running=3), later)
    assert picks(found, requirements(), now=later) == {"a"}


def test_near_targets_go_first_until_they_are_full():
    found = made("a", "b", domains={"b": "far"})
    assert picks(found, requirements()) == {"a"}
    found.update_load("a", load(running=4), 10.0)
    assert picks(found, requirements()) == {"b"}


def test_distance_counts_by_what_is_carried_risk_by_what_is_lost():
    """Bytes between failure domains are dear; a lost request is dearer."""
    found = made("a", "b", domains={"b": "far"})
    found.update_load("a", load(risk=0.3), 10.0)
    found.update_load("b", load(risk=0.05), 10.0)
    assert picks(found, requirements(kilobytes=0.5)) == {"b"}
    assert picks(found, requirements(kilobytes=12.0)) == {"a"}
    # One more try is cheaper than to carry it far.
    again = requirements(kilobytes=3.0, idempotent=True, scout=False)
    assert picks(found, again) == {"a"}


def test_nobody_is_picked_twice_where_tried():
    found = made("a", "b")
    selection = found.select(requirements(), frozenset({"a"}), 10.0)
    assert selection.target == "b"
    assert found.select(requirements(), frozenset({"a", "b"}), 10.0) is None


def test_a_leaving_target_stays_left_whatever_late_news_says():
    found = made("a")
    gone = helper.target_info("a", state=State.DRAINING)
    found.update_process(helper.info("p-a", targets=(gone,)))
    found.update_load("a", load(version=9), 10.0)
    assert picks(found, requirements()) == set()


def test_a_target_is_back_with_the_next_run_of_its_process():
    found = made("a")
    paused = helper.target_info("a", state=State.PAUSED)
    found.update_process(helper.info("p-a", targets=(paused,)))
    assert picks(found, requirements()) == set()
    back = helper.target_info("a")
    found.update_process(helper.info("p-a", targets=(back,), boot=99))
    assert picks(found, requirements()) == {"a"}


def test_an_avoided_path_is_not_taken():
    found = made("a", "b")
    found.reachability.mark_unreachable("p-a", "silent", 10.0)
    assert picks(found, requirements()) == {"b"}
    assert found.reachability.record_reply("p-a")
    assert "a" in picks(found, requirements(), 200) | picks(
        found, requirements(idempotent=True), 200
    )
