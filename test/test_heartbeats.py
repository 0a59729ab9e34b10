"""Which life of a target counts, and which words of it are late."""

import pytest

from forklift import heartbeats

# Seconds by which a heartbeat may be late.
LATE = 5.0
OLD = heartbeats.TargetIncarnation("t", 100)
NEW = heartbeats.TargetIncarnation("t", 200)
NAMELESS = heartbeats.TargetIncarnation("t")


class Story:
    """What was heard of target t, at which times."""

    def __init__(self):
        self.lives = heartbeats.IncarnationTracker(LATE)
        self.now = 0.0
        self._sequence_by_incarnation: dict[
            heartbeats.TargetIncarnation, int
        ] = {}

    def after(self, seconds: float) -> "Story":
        self.now += seconds
        return self

    def beats(
        self,
        incarnation: heartbeats.TargetIncarnation,
        sequence: int | None = None,
    ) -> heartbeats.HeartbeatKind:
        if sequence is None:
            sequence = self._sequence_by_incarnation.get(incarnation, 0) + 1
            self._sequence_by_incarnation[incarnation] = sequence
        return self.lives.record_heartbeat(incarnation, sequence, self.now)

    def leaves(self, incarnation: heartbeats.TargetIncarnation) -> str | None:
        return self.lives.record_leave(incarnation, self.now)

    def is_recalled(
        self, incarnation: heartbeats.TargetIncarnation
    ) -> str | None:
        return self.lives.record_remembered_leave(incarnation, self.now)

    def is_found(self) -> bool:
        return self.lives.record_health_check("t", self.now)

    @property
    def counts(self) -> str | None:
        return self.lives.current_name("t")


FIRST, FURTHER, LATE_WORD = heartbeats.HeartbeatKind


def test_a_target_is_back_under_its_name_though_it_never_said_that_it_leaves():
    """It crashed and started again; its numbers began anew."""
    story = Story()
    assert story.beats(OLD, 40) is FIRST
    assert story.after(1.0).beats(NEW, 1) is FIRST
    assert story.counts == "t@200"


def test_a_target_is_back_after_it_was_forgotten():
    story = Story()
    story.beats(OLD, 40)
    assert story.after(60.0).beats(NEW, 1) is FIRST


def test_a_target_is_back_after_it_had_left():
    story = Story()
    story.beats(OLD)
    assert story.leaves(OLD) == "t@100"
    assert story.after(1.0).beats(NEW, 1) is FIRST
    assert story.beats(NEW, 2) is FURTHER


def test_a_late_heartbeat_of_the_life_before_changes_nothing():
    story = Story()
    story.beats(OLD, 40)
    story.beats(NEW, 1)
    assert story.after(2.0).beats(OLD, 41) is LATE_WORD
    assert story.counts == "t@200"
    assert story.beats(NEW, 2) is FURTHER


def test_a_late_last_word_of_the_life_before_changes_nothing():
    story = Story()
    story.beats(OLD)
    story.beats(NEW)
    assert story.leaves(OLD) is None
    assert story.counts == "t@200"
    assert story.beats(NEW) is FURTHER


def test_a_peer_that_recalls_the_life_before_changes_nothing():
    story = Story()
    story.beats(NEW)
    assert story.is_recalled(OLD) is None
    assert story.beats(NEW) is FURTHER


def test_a_life_that_left_never_counts_again():
    story = Story()
    story.beats(OLD)
    story.leaves(OLD)
    assert story.after(1.0).beats(OLD) is LATE_WORD
    assert story.after(100.0).beats(OLD) is LATE_WORD


def test_a_last_word_without_a_time_of_birth_is_of_the_life_that_counts():
    story = Story()
    story.beats(OLD)
    assert story.leaves(NAMELESS) == "t@100"
    assert story.beats(OLD) is LATE_WORD
    assert story.beats(NEW) is FIRST


def test_a_last_word_that_comes_first_is_of_whoever_speaks_on():
    """Its process had just started and knows no life of the target."""
    story = Story()
    story.leaves(NAMELESS)
    for _ in range(8):
        assert story.after(1.5).beats(OLD) is LATE_WORD
    assert story.after(LATE + 0.1).beats(NEW) is FIRST


def test_numbers_of_one_life_only_rise():
    story = Story()
    assert story.beats(OLD, 5) is FIRST
    assert story.beats(OLD, 5) is LATE_WORD
    assert story.beats(OLD, 4) is LATE_WORD
    assert story.beats(OLD, 6) is FURTHER


def test_a_target_without_a_time_of_birth_never_comes_back():
    story = Story()
    assert story.beats(NAMELESS) is FIRST
    assert story.leaves(NAMELESS) == "t"
    assert story.after(100.0).beats(NAMELESS) is LATE_WORD


def test_software_that_tells_its_birth_takes_the_place_of_one_that_does_not():
    story = Story()
    story.beats(NAMELESS)
    assert story.after(1.0).beats(OLD) is FIRST
    # A heartbeat that lacks it now is another writer's, or late.
    assert story.after(1.0).beats(NAMELESS) is LATE_WORD
    assert story.counts == "t@100"


@pytest.mark.parametrize("ends", ["it falls silent", "it says that it leaves"])
def test_a_clock_that_went_back_between_two_lives_keeps_none_out(ends):
    """The later life seems the older one, and nothing else is on its way."""
    story = Story()
    story.beats(NEW)
    if ends == "it says that it leaves":
        story.leaves(NEW)
    assert story.after(LATE - 0.1).beats(OLD) is LATE_WORD
    assert story.after(0.2).beats(OLD) is FIRST
    assert story.counts == "t@100"


def test_a_false_birth_keeps_the_true_life_out_for_no_longer_than_a_late_word():
    story = Story()
    story.beats(OLD)
    assert story.beats(heartbeats.TargetIncarnation("t", 10**15)) is FIRST
    assert story.after(1.5).beats(OLD) is LATE_WORD
    assert story.after(LATE).beats(OLD) is FIRST


def test_what_health_found_has_its_name_from_its_first_heartbeat():
    """Its process started again and asked it before any heartbeat came."""
    story = Story()
    assert story.is_found()
    assert story.counts == "t"
    assert story.beats(NEW, 40) is FURTHER
    assert story.counts == "t@200"
    assert story.after(1.0).beats(OLD, 41) is LATE_WORD


def test_what_health_found_may_be_what_a_peer_recalls():
    """Before its first heartbeat nobody knows; it gets no work till then."""
    story = Story()
    story.is_found()
    assert story.is_recalled(OLD) == "t"
    assert story.after(1.0).beats(OLD) is LATE_WORD
    assert story.beats(NEW) is FIRST


def test_health_says_nothing_of_a_target_that_a_peer_has_recalled():
    story = Story()
    story.is_recalled(OLD)
    assert not story.is_found()
    assert story.beats(NEW) is FIRST


def test_what_health_found_may_leave_before_its_first_heartbeat():
    story = Story()
    story.is_found()
    assert story.leaves(NAMELESS) == "t"
    assert story.after(1.5).beats(NEW) is LATE_WORD


def test_only_the_last_lives_are_remembered(monkeypatch):
    monkeypatch.setattr(heartbeats, "MAX_REMEMBERED", 3)
    lives = heartbeats.IncarnationTracker(LATE)
    for number in range(10):
        lives.record_heartbeat(
            heartbeats.TargetIncarnation(f"t{number}", 1), 1, float(number)
        )
        lives.record_remembered_leave(
            heartbeats.TargetIncarnation("t", number + 1), 0.0
        )
    assert len(lives._current_by_target) == len(lives._ended) == 3
