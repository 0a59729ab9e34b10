"""By when requests must be sent to a target while a process stops."""

import math

import pytest

from forklift import stop_deadlines

STOP_AT = 100.0
GRACE = 6.0
# Timeout of a request that outlasts the process.
LATE = 200.0


@pytest.fixture
def deadlines() -> stop_deadlines.Deadlines:
    return stop_deadlines.initial_deadlines(STOP_AT, GRACE)


def test_deadlines_follow_each_other_within_the_grace_period(deadlines):
    ordered = [
        STOP_AT,
        deadlines.reject_at,
        deadlines.finish_by,
        deadlines.exit_at,
        STOP_AT + GRACE,
    ]
    assert ordered == sorted(set(ordered))
    assert deadlines.abandon_at == deadlines.finish_by


def test_request_is_not_sent_so_late_that_the_exit_cuts_it_off(deadlines):
    """Requests were sent until the moment at which they are abandoned."""
    latest = deadlines.latest_start(LATE, 0.0)
    assert latest == STOP_AT + GRACE / 2
    assert latest < deadlines.abandon_at


def test_request_that_usually_runs_for_long_must_start_earlier(deadlines):
    for usual in (0.1, 1.5, 2.5, 5.0):
        latest = deadlines.latest_start(LATE, usual)
        assert latest + usual <= deadlines.finish_by
        assert latest <= deadlines.reject_at


def test_request_that_times_out_before_the_exit_may_start_at_any_time(
    deadlines,
):
    assert deadlines.latest_start(deadlines.finish_by, 1.0) == math.inf


@pytest.mark.parametrize("usual", [0.0, 0.5, 4.0])
def test_second_signal_lets_no_request_start_later(deadlines, usual):
    """The platform may count the grace period from the first signal."""
    extended = stop_deadlines.extended_deadlines(
        deadlines, STOP_AT + 2.1, GRACE
    )
    for deadline in (STOP_AT + 5.1, STOP_AT + 6.0, LATE):
        assert extended.latest_start(deadline, usual) == (
            deadlines.latest_start(deadline, usual)
        )
    assert extended.abandon_at > deadlines.abandon_at


def test_short_grace_period_still_has_all_deadlines():
    short = stop_deadlines.initial_deadlines(STOP_AT, 0.4)
    assert short.reject_at <= short.finish_by <= short.exit_at
