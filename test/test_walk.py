"""How a request goes over targets: what it accepts, step by step."""

import math

import pytest

from forklift import admission
from forklift import latency
from forklift import messages
from forklift import walk
from test import helper

Reason = messages.Reason


def made() -> walk.Walk:
    return walk.Walk(0.0, 10.0)


def test_idle_targets_that_nothing_proved_go_before_waiting():
    found = made()
    found.not_run("busy", Reason.BUSY)
    for number in range(walk.MAX_REFUSALS - 1):
        found.not_run(f"idle-{number}", Reason.UNPROVEN)
    assert found.refused == {"busy"}
    assert found.insist(0.0) is admission.Insist.SOUND
    assert not found.wait
    for number in range(walk.MAX_REFUSALS):
        found.not_run(f"idle-{number}", Reason.BUSY)
    assert found.wait
    assert found.refused == set()


def test_doubt_is_accepted_late():
    found = made()
    assert found.insist(0.0) is admission.Insist.PROVEN
    assert found.insist(10.0 * walk.INSIST_SHARE) is admission.Insist.ANY


def test_it_is_given_up_once_enough_gates_say_that_waiting_takes_too_long():
    found = made()
    found.accept_more()
    for number in range(walk.MAX_TOO_LONG):
        assert not found.hopeless
        found.not_run(f"full-{number}", Reason.BUSY)
    assert found.hopeless


def test_it_is_given_up_once_it_waited_for_as_long_as_it_may():
    found = made()
    found.not_run("t", Reason.DEADLINE)
    assert found.hopeless


def test_only_what_ran_nowhere_must_start_soon():
    found = made()
    usual = latency.Latency(0.5)
    assert found.start_by(usual, math.inf) == 10.0 * walk.START_SHARE
    found.ran("t")
    assert found.start_by(usual, 1.5) > 10.0


def test_what_can_not_be_in_time_any_more_waits_for_no_slot():
    """Overload: a slot for a late one makes the next one late, too."""
    found = made()
    usual = latency.Latency(0.5)
    helper.takes(usual, 0.5)
    assert found.start_by(usual, aim=1.5) == pytest.approx(1.0)
    assert found.start_by(usual, aim=0.1) == walk.LEAST_WAIT


def test_callers_that_were_refused_together_do_not_return_together():
    found = made()
    times = [found.come_back(0.4, draw) for draw in (0.0, 0.5, 1.0)]
    assert times[0] == 0.4
    assert sorted(set(times)) == times


def test_a_refusal_by_the_target_itself_is_an_arrival():
    found = made()
    found.paid = True
    found.not_run("t", Reason.SHED)
    assert (found.sends, found.runs, found.paid) == (1, 0, False)
    found.not_run("u", Reason.BUSY)
    assert found.sends == 1


def test_a_repeat_needs_time_for_an_answer_and_a_first_attempt_none():
    found = made()
    usual = latency.Latency(2.0)
    assert not found.too_late(usual, math.inf, now=9.5)
    found.ran("t")
    assert found.too_late(usual, math.inf, now=9.5)
    assert not found.too_late(usual, math.inf, now=8.5)


def test_where_no_target_may_be_sent_to_it_is_given_up_with_its_full_worth():
    """All are doubted or gone: held on, it would mostly end unserved."""
    found = made()
    usual = latency.Latency(0.5)
    helper.takes(usual, 0.5)
    assert not found.too_late(usual, aim=1.5, now=1.2)
    found.pause()
    assert not found.too_late(usual, aim=1.5, now=0.9)
    assert found.too_late(usual, aim=1.5, now=1.2)


def test_a_second_attempt_waits_less_where_an_answer_can_still_be_in_time():
    found = made()
    usual = latency.Latency(0.1, spread=0.5)
    late = usual.quantile(walk.HEDGE_LATE)
    least = usual.quantile(walk.HEDGE_LEAST)
    assert found.patience(usual, aim=5.0, now=0.0) == late
    assert least <= found.patience(usual, aim=0.3, now=0.0) < late
    assert found.patience(usual, aim=0.1, now=0.0) == least
    assert found.patience(usual, aim=5.0, now=9.75) is None


def test_work_that_scatters_is_waited_for_longer_than_work_that_does_not():
    """A second send of what is merely long costs the budget for nothing."""
    found = made()
    even = latency.Latency(0.1, spread=0.3)
    uneven = latency.Latency(0.1, spread=0.8)
    waits = [found.patience(usual, 5.0, 0.0) for usual in (even, uneven)]
    assert waits[0] < 0.2 < waits[1]


def test_what_crashed_a_target_runs_alone_from_then_on():
    one = walk.Walk(0.0, 1.0)
    one.ran("t", Reason.TARGET_BROKE)
    assert not one.alone
    one.ran("t", Reason.TARGET_CRASHED)
    one.ran("u", Reason.TIMEOUT)
    assert one.alone
