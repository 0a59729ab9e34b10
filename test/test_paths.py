"""Paths to other processes: silence, avoidance, return."""

from forklift import paths


def test_a_path_that_owes_a_sign_is_condemned_and_asked_again():
    known = paths.Paths()
    known.sent("p", 0.0)
    assert known.silent(paths.SILENCE / 2) == []
    assert known.silent(paths.SILENCE) == ["p"]
    assert not known.usable("p")
    assert known.to_beat(paths.SILENCE) == []
    assert known.to_beat(paths.SILENCE + paths.AVOID_FIRST) == ["p"]
    known.heard("p")
    assert known.usable("p")


def test_a_path_with_nothing_owed_is_never_silent():
    known = paths.Paths()
    known.sent("p", 0.0)
    known.settled("p")
    assert known.silent(100.0) == []
