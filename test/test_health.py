"""The judgement on one target."""

import itertools
import random

import pytest

from forklift import health
from forklift import latency

Signal = health.Signal
FAILURES = [s for s in Signal if s not in (Signal.WELL, Signal.SHED)]


def usual(median: float = 0.1, spread: float = 0.5) -> latency.Distribution:
    return latency.Distribution(median, spread)


def proven(now: float = 0.0) -> health.Health:
    """A target that did well a few times until now."""
    judged = health.Health()
    for number in range(4):
        judged.begin(("first", number), usual(), now)
        judged.end(("first", number), Signal.WELL, now)
    return judged


def outcome(judged: health.Health, sign: Signal, now: float) -> bool:
    """One request that begins and ends at once."""
    judged.begin(("r", now), usual(), now)
    return judged.end(("r", now), sign, now)


@pytest.mark.parametrize("sign", [Signal.BROKEN, Signal.UNREACHABLE])
def test_one_broken_connection_raises_doubt(sign):
    judged = proven()
    assert outcome(judged, sign, 0.5)
    assert judged.ejected
    assert judged.signal is sign


def test_an_error_among_good_answers_raises_none_and_two_do():
    judged = proven(1.0)
    outcome(judged, Signal.ERROR, 1.1)
    assert not judged.ejected
    outcome(judged, Signal.ERROR, 1.2)
    assert judged.ejected


def test_errors_that_are_usual_here_raise_no_doubt():
    """A target whose calls to others fail answers errors and is well."""
    judged = proven()
    rng = random.Random(2)
    doubted = 0
    for number in range(400):
        sign = Signal.ERROR if rng.random() < 0.2 else Signal.WELL
        outcome(judged, sign, 0.1 * number)
        doubted += judged.ejected and number >= 100
    assert doubted < 15
    for number in range(6):
        outcome(judged, Signal.ERROR, 40.0 + 0.1 * number)
    assert judged.ejected


def test_what_the_target_refuses_is_no_failure():
    judged = proven()
    outcome(judged, Signal.SHED, 0.5)
    assert not judged.ejected
    assert judged.shedding(0.5)
    assert not judged.shedding(0.5 + health.SHEDDING_SECONDS)
    outcome(judged, Signal.SHED, 3.0)
    outcome(judged, Signal.WELL, 3.1)
    assert not judged.shedding(3.1)


def test_one_good_answer_lifts_no_doubt_as_one_in_four_does_well_in_a_phase():
    judged = proven()
    for now in (0.5, 0.6, 0.7):
        outcome(judged, Signal.BROKEN, now)
    outcome(judged, Signal.WELL, 0.8)
    assert judged.ejected
    for now in (0.9, 1.0, 1.1):
        outcome(judged, Signal.WELL, now)
    assert not judged.ejected


def test_a_target_that_hangs_is_doubted_before_any_request_ends():
    """Nothing comes back: neither an answer nor a broken connection."""
    judged = proven()
    for number in range(3):
        judged.begin(number, usual(), 0.5 + 0.05 * number)
    assert not judged.evaluate(0.6)
    # Two and a half times the usual latency of the work that it was given.
    assert judged.evaluate(0.85)
    assert judged.signal is Signal.OVERDUE


def test_a_doubt_is_named_after_a_failure_not_after_what_ended_well():
    judged = proven()
    judged.begin("old", usual(0.8), 0.1)
    for number in range(3):
        judged.begin(number, usual(), 0.6)
    assert judged.end("old", Signal.WELL, 1.2)
    assert judged.signal is Signal.OVERDUE


def test_many_in_flight_tell_sooner_than_one():
    def doubted_after(count: int) -> float:
        judged = proven()
        for number in range(count):
            judged.begin(number, usual(), 0.5)
        ages = (0.01 * step for step in itertools.count(1))
        return next(age for age in ages if judged.evaluate(0.5 + age))

    assert doubted_after(4) < doubted_after(2) < doubted_after(1)


def test_work_that_takes_long_by_nature_raises_no_doubt():
    judged = proven()
    judged.begin("long", usual(2.0), 0.0)
    assert not judged.evaluate(1.5)
    assert judged.unhealthy_probability(1.5) < health.EJECTION_THRESHOLD


def test_where_failures_show_at_once_a_request_under_way_is_a_proof():
    """Targets that reset connections: 20 ms without a reset say enough."""
    judged = health.Health()
    for number in range(12):
        outcome(judged, Signal.BROKEN, 0.01 * number)
    later = 100.0
    before = judged.unhealthy_probability(later)
    judged.begin("r", usual(), later)
    assert (
        judged.unhealthy_probability(later + 2 * health.FAST_FAILURE_SECONDS)
        < before / 2
    )


def test_where_targets_hang_a_request_under_way_is_none():
    judged = health.Health()
    for number in range(12):
        judged.begin(number, usual(), 0.0)
        judged.end(number, None, 1.5)
    later = 100.0
    before = judged.unhealthy_probability(later)
    judged.begin("r", usual(), later)
    assert (
        judged.unhealthy_probability(later + 2 * health.FAST_FAILURE_SECONDS)
        > 0.9 * before
    )


def test_what_was_cut_off_young_says_nothing():
    judged = proven()
    before = judged.unhealthy_probability(0.01)
    for number in range(20):
        judged.begin(number, usual(), 0.0)
        judged.end(number, None, 0.005)
    assert judged.unhealthy_probability(0.01) == pytest.approx(before, abs=0.01)


def test_an_answer_that_began_before_the_phase_hides_it_not():
    """An old request may end well while the later ones hang."""
    judged = proven()
    judged.begin("old", usual(0.8), 0.1)
    for number in range(3):
        judged.begin(number, usual(), 0.6)
    judged.evaluate(1.2)
    judged.end("old", Signal.WELL, 1.2)
    assert judged.ejected


def test_nothing_heard_for_long_leaves_what_is_known_of_any_target():
    judged = proven()
    outcome(judged, Signal.BROKEN, 0.5)
    assert judged.ejected
    later = 0.5 + 10 * health.MEAN_UNHEALTHY_SECONDS
    assert judged.unhealthy_probability(later) == pytest.approx(
        health.UNHEALTHY_PRIOR, abs=0.01
    )
    assert judged.evaluate(later)
    assert not judged.ejected


def test_one_test_at_a_time_and_the_next_after_a_pause():
    judged = proven()
    outcome(judged, Signal.BROKEN, 1.0)
    assert not judged.allows_trial(1.0)
    later = 1.0 + health.TRIAL_INTERVAL_SECONDS
    assert judged.allows_trial(later)
    judged.begin("scout", usual(1.0), later)
    assert not judged.allows_trial(later + health.TRIAL_INTERVAL_SECONDS)
    judged.end("scout", Signal.BROKEN, later + 0.5)
    assert judged.allows_trial(later + 0.5)


def test_a_test_that_hangs_is_not_waited_for():
    judged = proven()
    outcome(judged, Signal.BROKEN, 1.0)
    judged.begin("scout", usual(0.1), 2.0)
    assert not judged.allows_trial(2.1)
    assert judged.allows_trial(2.0 + health.TRIAL_INTERVAL_SECONDS)


def test_the_next_test_follows_a_good_one_at_once():
    judged = proven()
    for now in (1.0, 1.1):
        outcome(judged, Signal.BROKEN, now)
    outcome(judged, Signal.WELL, 1.6)
    assert judged.ejected
    assert judged.allows_trial(1.6)


def test_a_pause_of_this_process_ages_nothing():
    judged = proven()
    judged.begin("r", usual(), 0.1)
    judged.exclude_pause(4.0)
    assert not judged.evaluate(4.15)


def test_phases_are_found_in_a_drawn_course():
    """A third of the time bad, three in four hang, 10 requests a second."""
    rng = random.Random(7)
    judged = health.Health()
    bad, flips_at, now, right, looked = False, 12.0, 0.0, 0, 0
    open_runs: list[tuple[float, int, Signal | None]] = []
    for number in range(6000):
        now += 0.1
        if now >= flips_at:
            bad = not bad
            mean = (
                health.MEAN_UNHEALTHY_SECONDS
                if bad
                else health.MEAN_HEALTHY_SECONDS
            )
            flips_at = now + rng.expovariate(1 / mean)
        for ends, other, sign in [r for r in open_runs if r[0] <= now]:
            judged.end(other, sign, ends)
            open_runs.remove((ends, other, sign))
        hangs = bad and rng.random() < health.UNHEALTHY_FAILURE_RATE
        ends = now + (1.5 if hangs else rng.lognormvariate(-2.3, 0.5))
        judged.begin(number, usual(), now)
        open_runs.append((ends, number, None if hangs else Signal.WELL))
        looked += 1
        right += (
            judged.unhealthy_probability(now) > health.EJECTION_THRESHOLD
        ) == bad
    # What is left is the half second that a phase needs to show.
    assert right / looked > 0.88


def test_changes_are_kept_and_bounded():
    judged = proven()
    for number in range(60):
        for step in range(3):
            outcome(judged, Signal.BROKEN, number + 0.1 * step)
        for step in range(5):
            outcome(judged, Signal.WELL, number + 0.4 + 0.1 * step)
    assert len(judged.changes) == health.MAX_CHANGES
    assert not judged.changes[-1].ejected
