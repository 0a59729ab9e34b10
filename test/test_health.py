"""Passive health checks of one target."""

import itertools
import random

import pytest

from forklift import health
from forklift import latency

Signal = health.Signal
FAILURES = [s for s in Signal if s not in (Signal.SUCCESS, Signal.SHED)]


def distribution(
    median: float = 0.1, spread: float = 0.5
) -> latency.Distribution:
    return latency.Distribution(median, spread)


def proven_health(now: float = 0.0) -> health.Health:
    """The health of a target with a few successful requests."""
    target_health = health.Health()
    for number in range(4):
        target_health.record_start(("first", number), distribution(), now)
        target_health.record_end(("first", number), Signal.SUCCESS, now)
    return target_health


def record_outcome(
    target_health: health.Health, signal: Signal, now: float
) -> bool:
    """Records a request that begins and ends at once."""
    target_health.record_start(("r", now), distribution(), now)
    return target_health.record_end(("r", now), signal, now)


@pytest.mark.parametrize("signal", [Signal.BROKEN, Signal.UNREACHABLE])
def test_one_broken_connection_ejects_the_target(signal):
    target_health = proven_health()
    assert record_outcome(target_health, signal, 0.5)
    assert target_health.ejected
    assert target_health.signal is signal


def test_two_errors_eject_the_target_and_one_does_not():
    target_health = proven_health(1.0)
    record_outcome(target_health, Signal.ERROR, 1.1)
    assert not target_health.ejected
    record_outcome(target_health, Signal.ERROR, 1.2)
    assert target_health.ejected


def test_usual_error_rate_does_not_eject_the_target():
    """Calls to other services may fail at a healthy target."""
    target_health = proven_health()
    rng = random.Random(2)
    ejections = 0
    for number in range(400):
        signal = Signal.ERROR if rng.random() < 0.2 else Signal.SUCCESS
        record_outcome(target_health, signal, 0.1 * number)
        ejections += target_health.ejected and number >= 100
    assert ejections < 15
    for number in range(6):
        record_outcome(target_health, Signal.ERROR, 40.0 + 0.1 * number)
    assert target_health.ejected


def test_request_shed_by_the_target_is_no_failure():
    target_health = proven_health()
    record_outcome(target_health, Signal.SHED, 0.5)
    assert not target_health.ejected
    assert target_health.shedding(0.5)
    assert not target_health.shedding(0.5 + health.SHEDDING_SECONDS)
    record_outcome(target_health, Signal.SHED, 3.0)
    record_outcome(target_health, Signal.SUCCESS, 3.1)
    assert not target_health.shedding(3.1)


def test_reinstatement_takes_more_than_one_success():
    target_health = proven_health()
    for now in (0.5, 0.6, 0.7):
        record_outcome(target_health, Signal.BROKEN, now)
    record_outcome(target_health, Signal.SUCCESS, 0.8)
    assert target_health.ejected
    for now in (0.9, 1.0, 1.1):
        record_outcome(target_health, Signal.SUCCESS, now)
    assert not target_health.ejected


def seconds_until_reinstated(target_health: health.Health, now: float) -> float:
    """Seconds until an ejected target is reinstated without evidence."""
    step = 0.05
    for number in range(1000):
        if target_health.evaluate(now + number * step):
            return number * step
    raise AssertionError("the target is never reinstated")


def test_target_without_trials_is_reinstated_when_most_phases_have_ended():
    """Else a service without idempotent requests uses few of its targets."""
    target_health = proven_health()
    for request in range(4):
        target_health.record_start(request, distribution(), 0.4)
    for request in range(4):
        target_health.record_end(request, Signal.BROKEN, 0.5)
    seconds = seconds_until_reinstated(target_health, 0.5)
    assert seconds > health.MEAN_UNHEALTHY_SECONDS / 2
    assert seconds <= health.MEAN_UNHEALTHY_SECONDS


def test_failed_trial_keeps_the_target_ejected_until_it_is_likely_healthy():
    """Else a target that is known to fail is used again too early."""
    target_health = proven_health()
    record_outcome(target_health, Signal.BROKEN, 0.5)
    record_outcome(target_health, Signal.BROKEN, 1.0)
    assert (
        seconds_until_reinstated(target_health, 1.0)
        > 1.5 * health.MEAN_UNHEALTHY_SECONDS
    )


def test_hanging_target_is_ejected_before_any_request_ends():
    """A hanging target neither responds nor closes the connection."""
    target_health = proven_health()
    for number in range(3):
        target_health.record_start(number, distribution(), 0.5 + 0.05 * number)
    assert not target_health.evaluate(0.6)
    # 2.5 times the median latency of the requests.
    assert target_health.evaluate(0.85)
    assert target_health.signal is Signal.OVERDUE


def test_signal_of_an_ejection_is_a_failure():
    target_health = proven_health()
    target_health.record_start("old", distribution(0.8), 0.1)
    for number in range(3):
        target_health.record_start(number, distribution(), 0.6)
    assert target_health.record_end("old", Signal.SUCCESS, 1.2)
    assert target_health.signal is Signal.OVERDUE


def test_more_requests_in_flight_reveal_a_hanging_target_sooner():
    def time_to_ejection(count: int) -> float:
        target_health = proven_health()
        for number in range(count):
            target_health.record_start(number, distribution(), 0.5)
        ages = (0.01 * step for step in itertools.count(1))
        return next(age for age in ages if target_health.evaluate(0.5 + age))

    assert time_to_ejection(4) < time_to_ejection(2) < time_to_ejection(1)


def test_slow_route_does_not_eject_the_target():
    target_health = proven_health()
    target_health.record_start("long", distribution(2.0), 0.0)
    assert not target_health.evaluate(1.5)
    assert target_health.unhealthy_probability(1.5) < health.EJECTION_THRESHOLD


def test_request_in_flight_is_evidence_if_failures_are_fast():
    """A target that resets connections does so within 20 ms."""
    target_health = health.Health()
    for number in range(12):
        record_outcome(target_health, Signal.BROKEN, 0.01 * number)
    later = 100.0
    before = target_health.unhealthy_probability(later)
    target_health.record_start("r", distribution(), later)
    assert (
        target_health.unhealthy_probability(
            later + 2 * health.FAST_FAILURE_SECONDS
        )
        < before / 2
    )


def test_request_in_flight_is_no_evidence_if_failures_are_slow():
    target_health = health.Health()
    for number in range(12):
        target_health.record_start(number, distribution(), 0.0)
        target_health.record_end(number, None, 1.5)
    later = 100.0
    before = target_health.unhealthy_probability(later)
    target_health.record_start("r", distribution(), later)
    assert (
        target_health.unhealthy_probability(
            later + 2 * health.FAST_FAILURE_SECONDS
        )
        > 0.9 * before
    )


def test_request_cancelled_early_is_no_evidence():
    target_health = proven_health()
    before = target_health.unhealthy_probability(0.01)
    for number in range(20):
        target_health.record_start(number, distribution(), 0.0)
        target_health.record_end(number, None, 0.005)
    assert target_health.unhealthy_probability(0.01) == pytest.approx(
        before, abs=0.01
    )


def test_success_of_an_older_request_does_not_hide_later_hangs():
    """A request sent before the failure may succeed while later ones hang."""
    target_health = proven_health()
    target_health.record_start("old", distribution(0.8), 0.1)
    for number in range(3):
        target_health.record_start(number, distribution(), 0.6)
    target_health.evaluate(1.2)
    target_health.record_end("old", Signal.SUCCESS, 1.2)
    assert target_health.ejected


def test_probability_returns_to_the_prior_without_evidence():
    target_health = proven_health()
    record_outcome(target_health, Signal.BROKEN, 0.5)
    assert target_health.ejected
    later = 0.5 + 10 * health.MEAN_UNHEALTHY_SECONDS
    assert target_health.unhealthy_probability(later) == pytest.approx(
        health.UNHEALTHY_PRIOR, abs=0.01
    )
    assert target_health.evaluate(later)
    assert not target_health.ejected


def test_trials_are_sent_one_at_a_time_with_an_interval():
    target_health = proven_health()
    record_outcome(target_health, Signal.BROKEN, 1.0)
    assert not target_health.allows_trial(1.0)
    later = 1.0 + health.TRIAL_INTERVAL_SECONDS
    assert target_health.allows_trial(later)
    target_health.record_start("trial", distribution(1.0), later)
    assert not target_health.allows_trial(later + health.TRIAL_INTERVAL_SECONDS)
    target_health.record_end("trial", Signal.BROKEN, later + 0.5)
    assert target_health.allows_trial(later + 0.5)


def test_hanging_trial_does_not_delay_the_next_one():
    target_health = proven_health()
    record_outcome(target_health, Signal.BROKEN, 1.0)
    target_health.record_start("trial", distribution(0.1), 2.0)
    assert not target_health.allows_trial(2.1)
    assert target_health.allows_trial(2.0 + health.TRIAL_INTERVAL_SECONDS)


def test_successful_trial_allows_the_next_one_at_once():
    target_health = proven_health()
    for now in (1.0, 1.1):
        record_outcome(target_health, Signal.BROKEN, now)
    record_outcome(target_health, Signal.SUCCESS, 1.6)
    assert target_health.ejected
    assert target_health.allows_trial(1.6)


def test_pause_of_the_process_does_not_age_requests():
    target_health = proven_health()
    target_health.record_start("r", distribution(), 0.1)
    target_health.exclude_pause(4.0)
    assert not target_health.evaluate(4.15)


def test_filter_finds_the_state_of_a_simulated_target():
    """While the target is unhealthy, three of four requests hang."""
    rng = random.Random(7)
    target_health = health.Health()
    unhealthy, flips_at, now, correct, total = False, 12.0, 0.0, 0, 0
    open_runs: list[tuple[float, int, Signal | None]] = []
    for number in range(6000):
        now += 0.1
        if now >= flips_at:
            unhealthy = not unhealthy
            mean = (
                health.MEAN_UNHEALTHY_SECONDS
                if unhealthy
                else health.MEAN_HEALTHY_SECONDS
            )
            flips_at = now + rng.expovariate(1 / mean)
        for ends, other, signal in [r for r in open_runs if r[0] <= now]:
            target_health.record_end(other, signal, ends)
            open_runs.remove((ends, other, signal))
        hangs = unhealthy and rng.random() < health.UNHEALTHY_FAILURE_RATE
        ends = now + (1.5 if hangs else rng.lognormvariate(-2.3, 0.5))
        target_health.record_start(number, distribution(), now)
        open_runs.append((ends, number, None if hangs else Signal.SUCCESS))
        total += 1
        correct += (
            target_health.unhealthy_probability(now) > health.EJECTION_THRESHOLD
        ) == unhealthy
    # The errors are the delay until a change of state shows.
    assert correct / total > 0.88


def test_number_of_kept_changes_is_bounded():
    target_health = proven_health()
    for number in range(60):
        for step in range(3):
            record_outcome(target_health, Signal.BROKEN, number + 0.1 * step)
        for step in range(5):
            record_outcome(
                target_health, Signal.SUCCESS, number + 0.4 + 0.1 * step
            )
    assert len(target_health.changes) == health.MAX_CHANGES
    assert not target_health.changes[-1].ejected
