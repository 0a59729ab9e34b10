"""How a request goes over targets: what it accepts, step by step."""

import math

import pytest

from forklift import admission
from forklift import latency
from forklift import messages
from forklift import retries
from test import helper

Reason = messages.Reason


def made() -> retries.RetryState:
    return retries.RetryState(0.0, 10.0)


def test_idle_targets_that_nothing_proved_go_before_waiting():
    found = made()
    found.record_not_run("busy", Reason.BUSY)
    for number in range(retries.MAX_REFUSALS - 1):
        found.record_not_run(f"idle-{number}", Reason.UNPROVEN)
    assert found.refused == {"busy"}
    assert found.required_health(0.0) is admission.RequiredHealth.SOUND
    assert not found.wait
    for number in range(retries.MAX_REFUSALS):
        found.record_not_run(f"idle-{number}", Reason.BUSY)
    assert found.wait
    assert found.refused == set()


def test_doubt_is_accepted_late():
    found = made()
    assert found.required_health(0.0) is admission.RequiredHealth.PROVEN
    assert (
        found.required_health(10.0 * retries.RELAX_AFTER_SHARE)
        is admission.RequiredHealth.ANY
    )


def test_it_is_given_up_once_enough_gates_say_that_waiting_takes_too_long():
    found = made()
    found.relax_requirements()
    for number in range(retries.MAX_QUEUE_REJECTIONS):
        assert not found.exhausted
        found.record_not_run(f"full-{number}", Reason.BUSY)
    assert found.exhausted


def test_it_is_given_up_once_it_waited_for_as_long_as_it_may():
    found = made()
    found.record_not_run("t", Reason.DEADLINE)
    assert found.exhausted


def test_only_what_ran_nowhere_must_start_soon():
    found = made()
    usual = latency.Distribution(0.5)
    assert (
        found.start_by(usual, math.inf) == 10.0 * retries.START_DEADLINE_SHARE
    )
    found.record_run("t")
    assert found.start_by(usual, 1.5) > 10.0


def test_what_can_not_be_in_time_any_more_waits_for_no_slot():
    """Overload: a slot for a late one makes the next one late, too."""
    found = made()
    usual = latency.Distribution(0.5)
    helper.train_latency(usual, 0.5)
    assert found.start_by(usual, aim=1.5) == pytest.approx(1.0)
    assert found.start_by(usual, aim=0.1) == retries.MIN_QUEUE_TIME


def test_callers_that_were_refused_together_do_not_return_together():
    found = made()
    times = [found.retry_after(0.4, draw) for draw in (0.0, 0.5, 1.0)]
    assert times[0] == 0.4
    assert sorted(set(times)) == times


def test_a_refusal_by_the_target_itself_is_an_arrival():
    found = made()
    found.budget_charged = True
    found.record_not_run("t", Reason.SHED)
    assert (found.attempts, found.possible_runs, found.budget_charged) == (
        1,
        0,
        False,
    )
    found.record_not_run("u", Reason.BUSY)
    assert found.attempts == 1


def test_a_repeat_needs_time_for_an_answer_and_a_first_attempt_none():
    found = made()
    usual = latency.Distribution(2.0)
    assert not found.should_give_up(usual, math.inf, now=9.5)
    found.record_run("t")
    assert found.should_give_up(usual, math.inf, now=9.5)
    assert not found.should_give_up(usual, math.inf, now=8.5)


def test_where_no_target_may_be_sent_to_it_is_given_up_with_its_full_worth():
    """All are doubted or gone: held on, it would mostly end unserved."""
    found = made()
    usual = latency.Distribution(0.5)
    helper.train_latency(usual, 0.5)
    assert not found.should_give_up(usual, aim=1.5, now=1.2)
    found.next_poll_delay()
    assert not found.should_give_up(usual, aim=1.5, now=0.9)
    assert found.should_give_up(usual, aim=1.5, now=1.2)


def test_a_second_attempt_waits_less_where_an_answer_can_still_be_in_time():
    found = made()
    usual = latency.Distribution(0.1, spread=0.5)
    late = usual.quantile(retries.HEDGE_DEVIATIONS)
    least = usual.quantile(retries.MIN_HEDGE_DEVIATIONS)
    assert found.hedge_delay(usual, aim=5.0, now=0.0) == late
    assert least <= found.hedge_delay(usual, aim=0.3, now=0.0) < late
    assert found.hedge_delay(usual, aim=0.1, now=0.0) == least
    assert found.hedge_delay(usual, aim=5.0, now=9.75) is None


def test_work_that_scatters_is_waited_for_longer_than_work_that_does_not():
    """A second send of what is merely long costs the budget for nothing."""
    found = made()
    even = latency.Distribution(0.1, spread=0.3)
    uneven = latency.Distribution(0.1, spread=0.8)
    waits = [found.hedge_delay(usual, 5.0, 0.0) for usual in (even, uneven)]
    assert waits[0] < 0.2 < waits[1]


def test_what_crashed_a_target_runs_alone_from_then_on():
    one = retries.RetryState(0.0, 1.0)
    one.record_run("t", Reason.TARGET_BROKE)
    assert not one.exclusive
    one.record_run("t", Reason.TARGET_CRASHED)
    one.record_run("u", Reason.TIMEOUT)
    assert one.exclusive
