"""Tracking of target incarnations, and recognition of stale heartbeats."""

import pytest

from forklift import heartbeats

# Longest delay of a heartbeat in seconds.
MAX_DELAY = 5.0
OLD = heartbeats.TargetIncarnation("t", 100)
NEW = heartbeats.TargetIncarnation("t", 200)
WITHOUT_START = heartbeats.TargetIncarnation("t")


class Events:
    """Feeds events about target t to a tracker."""

    def __init__(self):
        self.tracker = heartbeats.IncarnationTracker(MAX_DELAY)
        self.now = 0.0
        self._sequence_by_incarnation: dict[
            heartbeats.TargetIncarnation, int
        ] = {}

    def after(self, seconds: float) -> "Events":
        self.now += seconds
        return self

    def heartbeat(
        self,
        incarnation: heartbeats.TargetIncarnation,
        sequence: int | None = None,
    ) -> heartbeats.HeartbeatKind:
        if sequence is None:
            sequence = self._sequence_by_incarnation.get(incarnation, 0) + 1
            self._sequence_by_incarnation[incarnation] = sequence
        return self.tracker.record_heartbeat(incarnation, sequence, self.now)

    def leave(self, incarnation: heartbeats.TargetIncarnation) -> str | None:
        return self.tracker.record_leave(incarnation, self.now)

    def end_incarnation(
        self, incarnation: heartbeats.TargetIncarnation
    ) -> str | None:
        return self.tracker.end_incarnation(incarnation, self.now)

    def health_check(self) -> bool:
        return self.tracker.record_health_check("t", self.now)

    @property
    def current_name(self) -> str | None:
        return self.tracker.current_name("t")


FIRST, FURTHER, STALE = heartbeats.HeartbeatKind


def test_crashed_target_returns_under_the_same_name():
    """Sequence numbers start again after a crash."""
    events = Events()
    assert events.heartbeat(OLD, 40) is FIRST
    assert events.after(1.0).heartbeat(NEW, 1) is FIRST
    assert events.current_name == "t@200"


def test_target_returns_after_a_long_silence():
    events = Events()
    events.heartbeat(OLD, 40)
    assert events.after(60.0).heartbeat(NEW, 1) is FIRST


def test_target_returns_after_it_left():
    events = Events()
    events.heartbeat(OLD)
    assert events.leave(OLD) == "t@100"
    assert events.after(1.0).heartbeat(NEW, 1) is FIRST
    assert events.heartbeat(NEW, 2) is FURTHER


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored():
    events = Events()
    events.heartbeat(OLD, 40)
    events.heartbeat(NEW, 1)
    assert events.after(2.0).heartbeat(OLD, 41) is STALE
    assert events.current_name == "t@200"
    assert events.heartbeat(NEW, 2) is FURTHER


def test_late_leave_of_an_earlier_incarnation_is_ignored():
    events = Events()
    events.heartbeat(OLD)
    events.heartbeat(NEW)
    assert events.leave(OLD) is None
    assert events.current_name == "t@200"
    assert events.heartbeat(NEW) is FURTHER


def test_end_of_an_earlier_incarnation_is_ignored():
    events = Events()
    events.heartbeat(NEW)
    assert events.end_incarnation(OLD) is None
    assert events.heartbeat(NEW) is FURTHER


def test_incarnation_that_left_is_never_accepted_again():
    events = Events()
    events.heartbeat(OLD)
    events.leave(OLD)
    assert events.after(1.0).heartbeat(OLD) is STALE
    assert events.after(100.0).heartbeat(OLD) is STALE


def test_leave_without_start_time_means_the_current_incarnation():
    events = Events()
    events.heartbeat(OLD)
    assert events.leave(WITHOUT_START) == "t@100"
    assert events.heartbeat(OLD) is STALE
    assert events.heartbeat(NEW) is FIRST


def test_leave_of_unknown_target_applies_to_ongoing_heartbeats():
    """The process has just started and knows no incarnation of the target."""
    events = Events()
    events.leave(WITHOUT_START)
    for _ in range(8):
        assert events.after(1.5).heartbeat(OLD) is STALE
    assert events.after(MAX_DELAY + 0.1).heartbeat(NEW) is FIRST


def test_heartbeats_with_lower_sequence_numbers_are_stale():
    events = Events()
    assert events.heartbeat(OLD, 5) is FIRST
    assert events.heartbeat(OLD, 5) is STALE
    assert events.heartbeat(OLD, 4) is STALE
    assert events.heartbeat(OLD, 6) is FURTHER


def test_target_without_start_time_never_returns():
    events = Events()
    assert events.heartbeat(WITHOUT_START) is FIRST
    assert events.leave(WITHOUT_START) == "t"
    assert events.after(100.0).heartbeat(WITHOUT_START) is STALE


def test_incarnation_with_start_time_replaces_one_without():
    events = Events()
    events.heartbeat(WITHOUT_START)
    assert events.after(1.0).heartbeat(OLD) is FIRST
    # A heartbeat without a start time is now stale or from another sender.
    assert events.after(1.0).heartbeat(WITHOUT_START) is STALE
    assert events.current_name == "t@100"


@pytest.mark.parametrize("ends", ["it falls silent", "it says that it leaves"])
def test_incarnation_is_accepted_after_clock_was_set_back(ends):
    """The new incarnation has the earlier start time."""
    events = Events()
    events.heartbeat(NEW)
    if ends == "it says that it leaves":
        events.leave(NEW)
    assert events.after(MAX_DELAY - 0.1).heartbeat(OLD) is STALE
    assert events.after(0.2).heartbeat(OLD) is FIRST
    assert events.current_name == "t@100"


def test_false_start_time_blocks_for_at_most_the_maximum_delay():
    events = Events()
    events.heartbeat(OLD)
    assert events.heartbeat(heartbeats.TargetIncarnation("t", 10**15)) is FIRST
    assert events.after(1.5).heartbeat(OLD) is STALE
    assert events.after(MAX_DELAY).heartbeat(OLD) is FIRST


def test_first_heartbeat_names_a_target_found_by_health_check():
    """The process restarted and probed it before its first heartbeat."""
    events = Events()
    assert events.health_check()
    assert events.current_name == "t"
    assert events.heartbeat(NEW, 40) is FURTHER
    assert events.current_name == "t@200"
    assert events.after(1.0).heartbeat(OLD, 41) is STALE


def test_end_applies_to_target_found_by_health_check():
    """Its incarnation is unknown before the first heartbeat."""
    events = Events()
    events.health_check()
    assert events.end_incarnation(OLD) == "t"
    assert events.after(1.0).heartbeat(OLD) is STALE
    assert events.heartbeat(NEW) is FIRST


def test_health_check_is_ignored_after_an_incarnation_ended():
    events = Events()
    events.end_incarnation(OLD)
    assert not events.health_check()
    assert events.heartbeat(NEW) is FIRST


def test_target_found_by_health_check_may_leave_before_heartbeat():
    events = Events()
    events.health_check()
    assert events.leave(WITHOUT_START) == "t"
    assert events.after(1.5).heartbeat(NEW) is STALE


def test_number_of_remembered_incarnations_is_bounded(monkeypatch):
    monkeypatch.setattr(heartbeats, "MAX_REMEMBERED", 3)
    tracker = heartbeats.IncarnationTracker(MAX_DELAY)
    for number in range(10):
        tracker.record_heartbeat(
            heartbeats.TargetIncarnation(f"t{number}", 1), 1, float(number)
        )
        tracker.end_incarnation(
            heartbeats.TargetIncarnation("t", number + 1), 0.0
        )
    assert len(tracker._current_by_target) == len(tracker._ended) == 3
