"""When the process of an idle target asks others, and which of them."""

import random

from forklift import idle_phases
from forklift import idle_selection
from forklift import messages

State = messages.TargetState


def test_announcements_reach_enough_callers_within_the_window_of_the_floor():
    """Two processes with a request a second each were too few.

    Three expected requests come in time with a probability of 0.95.
    """
    phase = idle_phases.IdlePhase(0)
    expected_requests = 0.0
    now = idle_phases.IDLE_TARGET_SECONDS
    while now < idle_selection.CAPACITY_FLOOR_SECONDS:
        left = idle_selection.CAPACITY_FLOOR_SECONDS - now
        expected_requests += phase.next_fanout(now) * min(
            left, idle_selection.WORK_REQUEST_SECONDS
        )
        now += 0.1
    assert expected_requests >= 3.0


def test_announcements_of_a_fleet_without_callers_are_few():
    phase = idle_phases.IdlePhase(0)
    asked = sum(phase.next_fanout(tenth / 10) for tenth in range(600))
    assert asked <= 60 * 2 * idle_phases.LATER_FANOUT + sum(
        idle_phases.FIRST_FANOUTS
    )


def test_announcements_follow_each_other_before_they_end():
    longest = max(
        idle_phases.FIRST_INTERVAL_SECONDS, idle_phases.LATER_INTERVAL_SECONDS
    )
    assert longest < idle_selection.WORK_REQUEST_SECONDS


def test_half_of_the_asked_processes_are_recent_senders():
    names = [f"p{n}" for n in range(30)]
    preferred = ["p1", "p2", "p3", "p4", "p5", "gone"]
    chosen = idle_phases.choose_peers(names, preferred, 8, random.Random(1))
    assert len(set(chosen)) == 8
    assert "gone" not in chosen
    assert len(set(chosen) & set(preferred)) >= 4


def test_all_processes_of_a_small_fleet_are_asked_once():
    chosen = idle_phases.choose_peers(["p1", "p2"], ["p1"], 8, random.Random(1))
    assert sorted(chosen) == ["p1", "p2"]


def test_only_senders_of_idempotent_requests_can_try_an_ejected_target():
    senders = idle_phases.RecentSenders()
    senders.record("p1", True, 10.0)
    senders.record("p2", False, 10.0)
    assert senders.names(State.SUSPECT, 11.0) == ["p1"]
    assert senders.names(State.IN_SERVICE, 11.0) == ["p1", "p2"]


def test_senders_are_forgotten_and_bounded():
    senders = idle_phases.RecentSenders()
    for number in range(1000):
        senders.record(f"p{number}", True, 10.0)
    assert len(senders.names(State.IN_SERVICE, 11.0)) == idle_phases.MAX_SENDERS
    later = 10.0 + idle_phases.SENDER_SECONDS
    assert senders.names(State.IN_SERVICE, later) == []
