"""Retry state of one request."""

import math

import pytest

from forklift import admission
from forklift import latency
from forklift import messages
from forklift import retries
from test import helper

Reason = messages.Reason


def new_state() -> retries.RetryState:
    return retries.RetryState(0.0, 10.0)


def test_unproven_idle_targets_are_accepted_before_queuing():
    state = new_state()
    state.record_not_run("busy", Reason.BUSY)
    for number in range(retries.MAX_REFUSALS - 1):
        state.record_not_run(f"idle-{number}", Reason.UNPROVEN)
    assert state.refused == {"busy"}
    assert state.required_health(0.0) is admission.RequiredHealth.SOUND
    assert not state.wait
    for number in range(retries.MAX_REFUSALS):
        state.record_not_run(f"idle-{number}", Reason.BUSY)
    assert state.wait
    assert state.refused == set()


def test_ejected_targets_are_accepted_after_a_share_of_the_time_limit():
    state = new_state()
    assert state.required_health(0.0) is admission.RequiredHealth.PROVEN
    assert (
        state.required_health(10.0 * retries.ACCEPT_EJECTED_AFTER_FRACTION)
        is admission.RequiredHealth.ANY
    )


def test_request_is_exhausted_after_several_queue_rejections():
    state = new_state()
    state.relax_requirements()
    for number in range(retries.MAX_QUEUE_REJECTIONS):
        assert not state.exhausted
        state.record_not_run(f"full-{number}", Reason.BUSY)
    assert state.exhausted


def test_request_is_exhausted_after_a_deadline_refusal():
    state = new_state()
    state.record_not_run("t", Reason.DEADLINE)
    assert state.exhausted


def test_start_is_not_limited_after_the_first_run():
    state = new_state()
    distribution = latency.Distribution(0.5)
    assert (
        state.start_by(distribution, math.inf)
        == 10.0 * retries.START_DEADLINE_FRACTION
    )
    state.record_run("t")
    assert state.start_by(distribution, 1.5) > 10.0


def test_request_within_its_part_asks_more_targets_before_it_is_given_up():
    """Else it is refused wherever a few requests of its organisation meet."""
    states = [
        retries.RetryState(0.0, 10.0),
        retries.RetryState(
            0.0,
            10.0,
            max_queue_rejections=retries.MAX_QUEUE_REJECTIONS_WITHIN_PART,
        ),
    ]
    for state in states:
        state.wait = True
        for number in range(retries.MAX_QUEUE_REJECTIONS):
            state.record_not_run(f"t{number}", Reason.BUSY)
    assert [state.exhausted for state in states] == [True, False]


def test_request_that_misses_its_objective_does_not_queue():
    """During overload, a slot for a late request delays the next one."""
    state = new_state()
    distribution = latency.Distribution(0.5)
    helper.train_latency(distribution, 0.5)
    assert state.start_by(distribution, soft_deadline=1.5) == pytest.approx(1.0)
    assert (
        state.start_by(distribution, soft_deadline=0.1)
        == retries.MIN_QUEUE_SECONDS
    )


def test_retry_after_has_jitter():
    state = new_state()
    times = [state.retry_after(0.4, draw) for draw in (0.0, 0.5, 1.0)]
    assert times[0] == 0.4
    assert sorted(set(times)) == times


def test_refusal_by_the_target_itself_counts_as_an_attempt():
    state = new_state()
    state.budget_charged = True
    state.record_not_run("t", Reason.SHED)
    assert (state.attempts, state.possible_runs, state.budget_charged) == (
        1,
        0,
        False,
    )
    state.record_not_run("u", Reason.BUSY)
    assert state.attempts == 1


def test_only_a_retry_needs_time_for_a_response():
    state = new_state()
    distribution = latency.Distribution(2.0)
    assert not state.should_give_up(distribution, math.inf, now=9.5)
    state.record_run("t")
    assert state.should_give_up(distribution, math.inf, now=9.5)
    assert not state.should_give_up(distribution, math.inf, now=8.5)


def test_request_without_a_target_is_given_up_when_it_misses_its_objective():
    """Waiting longer would mostly end in a timeout."""
    state = new_state()
    distribution = latency.Distribution(0.5)
    helper.train_latency(distribution, 0.5)
    assert not state.should_give_up(distribution, soft_deadline=1.5, now=1.2)
    state.next_poll_delay()
    assert not state.should_give_up(distribution, soft_deadline=1.5, now=0.9)
    assert state.should_give_up(distribution, soft_deadline=1.5, now=1.2)


def test_hedge_is_sent_earlier_if_it_can_still_meet_the_objective():
    state = new_state()
    distribution = latency.Distribution(0.1, spread=0.5)
    late = distribution.quantile(retries.HEDGE_DEVIATIONS)
    least = distribution.quantile(retries.MIN_HEDGE_DEVIATIONS)
    assert state.hedge_delay(distribution, soft_deadline=5.0, now=0.0) == late
    assert (
        least
        <= state.hedge_delay(distribution, soft_deadline=0.3, now=0.0)
        < late
    )
    assert state.hedge_delay(distribution, soft_deadline=0.1, now=0.0) == least
    assert state.hedge_delay(distribution, soft_deadline=5.0, now=9.75) is None


def test_hedge_delay_grows_with_the_spread_of_latency():
    """Hedging requests that are merely long wastes the retry budget."""
    state = new_state()
    even = latency.Distribution(0.1, spread=0.3)
    uneven = latency.Distribution(0.1, spread=0.8)
    waits = [
        state.hedge_delay(distribution, 5.0, 0.0)
        for distribution in (even, uneven)
    ]
    assert waits[0] < 0.2 < waits[1]


def test_request_runs_exclusively_after_a_crash_of_its_target():
    state = retries.RetryState(0.0, 1.0)
    state.record_run("t", Reason.TARGET_BROKE)
    assert not state.exclusive
    state.record_run("t", Reason.TARGET_CRASHED)
    state.record_run("u", Reason.TIMEOUT)
    assert state.exclusive
