"""Evidence, states and permits: what ejects a target, and what must not."""

import random

import pytest

from forklift import floor
from forklift import health
from forklift import messages
from forklift import standing
from test import helper

State = messages.TargetState
NORMAL = health.Reference(0.1, 0.01)
THRESHOLD = 12.0


def judged(outcomes, latency=0.1, route="r"):
    judge = health.Judge(THRESHOLD)
    now = 0.0
    for number, failed in enumerate(outcomes):
        judge.start(number, now)
        now += latency
        judge.finish(number, failed, route, NORMAL, now)
    return judge, now


@pytest.mark.parametrize(
    ("outcomes", "latency", "ejects"),
    [
        ([False] * 200, 0.1, False),
        ([True] * 6, 0.1, True),
        ([True] * 3, 0.1, False),
        (([False] * 99 + [True]) * 5, 0.1, False),
        ([False, True] * 12, 0.1, True),
        ([False] * 30, 0.5, True),
        ([False] * 200, 0.12, False),
    ],
    ids=["well", "fails", "few", "harmless", "half", "slow", "little slow"],
)
def test_evidence(outcomes, latency, ejects):
    judge, now = judged(outcomes, latency)
    assert (judge.assess(NORMAL, now).total >= THRESHOLD) is ejects


def test_overdue_requests_are_evidence_before_they_end():
    judge, now = judged([False] * 10)
    for number in range(4):
        judge.start(("hung", number), now)
    assert judge.assess(NORMAL, now + 0.1).total < THRESHOLD
    later = judge.assess(NORMAL, now + 1.5)
    assert later.total >= THRESHOLD
    assert later.kind == "overdue"


def test_failures_that_all_share_are_no_evidence():
    bad = health.Reference(0.1, 0.5)
    judge = health.Judge(THRESHOLD)
    for number in range(100):
        judge.start(number, 0.0)
        judge.finish(number, number % 2 == 0, "r", bad, 0.1)
        assert judge.assess(bad, 0.1).total < THRESHOLD


def test_one_failing_route_is_told_apart():
    judge = health.Judge(THRESHOLD)
    now = 0.0
    for number in range(60):
        route = "bad" if number % 3 == 0 else "good"
        judge.start(number, now)
        now += 0.05
        judge.finish(number, route == "bad", route, NORMAL, now)
    assert judge.assess(NORMAL, now).route == "bad"
    assert judge.route_evidence("bad", now) >= THRESHOLD
    # It fades, so that the route is tried again.
    assert judge.route_evidence("bad", now + 60) < THRESHOLD


def test_successes_of_before_do_not_excuse_a_target_that_fails_all():
    """Its first failures fall on one route by chance."""
    judge, now = judged([False] * 10, route="other")
    for number in range(6):
        judge.start(("late", number), now)
        now += 0.05
        judge.finish(("late", number), True, "r", NORMAL, now)
    assessment = judge.assess(NORMAL, now)
    assert assessment.total >= THRESHOLD
    assert assessment.route == ""


def test_pause_of_the_process_is_no_evidence():
    judge, now = judged([False] * 10)
    for number in range(4):
        judge.start(("flying", number), now)
    judge.excuse(5.0)
    assert judge.assess(NORMAL, now + 5.05).overdue == 0.0


def test_latency_rises_with_what_is_in_flight():
    judge, now = judged([False] * 10)
    for number in range(4):
        judge.start(("flying", number), now)
    assert judge.latency_now(now + 3.0) == pytest.approx(3.0)


def evidence(total, route=""):
    return health.Assessment(total, total, 0.0, 0.0, route)


def ejected(now=100.0):
    made = standing.Standing(0.0)
    made.observe(evidence(0.0), THRESHOLD, now)
    made.observe(evidence(THRESHOLD), THRESHOLD, now)
    assert made.permitted(now + 50.0, evidence(THRESHOLD), now)
    return made


def test_weight_falls_before_ejection_and_only_a_permit_ejects():
    made = standing.Standing(0.0)
    made.observe(evidence(0.0), THRESHOLD, 100.0)
    assert made.weight(100.0) == 1.0
    assert not made.observe(evidence(THRESHOLD * 0.7), THRESHOLD, 100.0)
    assert made.state is State.SUSPECT
    assert made.weight(100.0) < 1.0
    assert made.observe(evidence(THRESHOLD), THRESHOLD, 101.0)
    assert made.state is State.SUSPECT
    assert made.permitted(120.0, evidence(THRESHOLD), 101.0)
    assert made.state is State.EJECTED


def test_permit_that_lapses_brings_the_target_back():
    made = ejected()
    made.tick(150.0)
    assert made.state is State.SUSPECT


def test_trials_bring_it_back_and_a_failed_one_doubles_the_penalty():
    made = ejected()
    first = made.penalty_ends - 100.0
    made.tick(made.penalty_ends)
    assert made.state is State.TRIAL
    made.tried(True, evidence(1.0), 110.0)
    assert made.state is State.EJECTED
    assert made.penalty_ends - 110.0 == 2 * first
    made.tick(made.penalty_ends)
    for _ in range(2 * standing.TRIALS):
        back = made.tried(False, evidence(0.0), 120.0)
    assert back
    assert made.state is State.RAMP
    assert made.weight(120.0) < made.weight(122.0) < 1.0


def test_sick_route_alone_does_not_eject():
    made = standing.Standing(0.0)
    made.observe(evidence(0.0), THRESHOLD, 100.0)
    assert not made.observe(evidence(30.0, "bad"), THRESHOLD, 101.0)


def test_draining_target_never_comes_back_by_itself():
    made = ejected()
    made.drain(101.0)
    made.tick(200.0)
    assert made.state is State.DRAINING


def capacity(count, least):
    return floor.Capacity(frozenset(f"t{n}" for n in range(count)), least)


def test_permits_stop_at_the_floor():
    ledger = floor.Ledger("s", 0.0)
    now = floor.PERMIT_LEASE
    granted = [
        ledger.ask(f"t{n}", False, False, capacity(6, 4), now).granted
        for n in range(4)
    ]
    assert granted == [True, True, False, False]


@pytest.mark.parametrize(
    ("held", "at", "granted"),
    [
        (False, 0.1, False),
        (True, 0.1, True),
        (False, floor.PERMIT_LEASE, True),
        (True, floor.PERMIT_LEASE, True),
    ],
)
def test_new_owner_waits_for_permits_of_the_old_one(held, at, granted):
    ledger = floor.Ledger("s", 0.0)
    verdict = ledger.ask("t0", held, False, capacity(6, 4), at)
    assert verdict.granted is granted


def test_death_of_others_calls_an_ejected_target_back():
    ledger = floor.Ledger("s", 0.0)
    now = floor.PERMIT_LEASE
    assert ledger.ask("t0", False, False, capacity(6, 4), now).granted
    fewer = floor.Capacity(frozenset({"t0", "t1", "t2", "t3"}), 4)
    assert not ledger.ask("t0", True, False, fewer, now + 1).granted
    assert "t0" not in ledger.until_by_target


def test_many_slow_targets_are_load_and_nobody_is_ejected():
    ledger = floor.Ledger("s", 0.0)
    now = floor.PERMIT_LEASE
    for tenth in range(30):
        for number in range(5):
            verdict = ledger.ask(
                f"t{number}", False, True, capacity(12, 2), now + tenth / 10
            )
            assert not verdict.granted


def test_one_slow_target_is_ejected_at_the_second_look():
    ledger = floor.Ledger("s", 0.0)
    now = floor.PERMIT_LEASE
    space = capacity(12, 2)
    assert not ledger.ask("t0", False, True, space, now).granted
    later = now + floor.SECOND_LOOK + 0.1
    assert ledger.ask("t0", False, True, space, later).granted


def test_random_permits_never_break_the_floor():
    """Grants, renewals, returns, deaths and changes of owner at random."""
    for seed in range(40):
        rng = random.Random(seed)
        names = [f"t{n}" for n in range(8)]
        alive = set(names)
        held_until: dict[str, float] = {}
        now = 0.0
        ledger = floor.Ledger("s", now)
        for _ in range(300):
            now += rng.uniform(0.0, 0.6)
            if rng.random() < 0.02:
                ledger = floor.Ledger("s", now)
            name = rng.choice(names)
            held = held_until.get(name, 0.0) > now
            known = floor.Capacity(frozenset(alive), 5)
            verdict = ledger.ask(name, held, False, known, now)
            if verdict.granted:
                held_until[name] = now + floor.PERMIT_LEASE
            else:
                held_until.pop(name, None)
            out = {n for n, until in held_until.items() if until > now}
            assert len(alive - out) >= 5, (seed, now)


def test_service_key_sets_the_threshold():
    assert helper.service(detection="fast").detection == 11.0
    assert helper.service(detection="33").detection == 33.0
