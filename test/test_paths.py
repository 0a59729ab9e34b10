"""Paths to other processes: silence, avoidance, return."""

from forklift import paths


def test_a_path_that_owes_a_sign_is_condemned_and_asked_again():
    known = paths.Reachability()
    known.expect_reply("p", 0.0)
    assert known.take_timed_out(paths.REPLY_TIMEOUT / 2) == []
    assert known.take_timed_out(paths.REPLY_TIMEOUT) == ["p"]
    assert not known.is_reachable("p")
    assert known.take_due_heartbeats(paths.REPLY_TIMEOUT) == []
    assert known.take_due_heartbeats(
        paths.REPLY_TIMEOUT + paths.INITIAL_BACKOFF
    ) == ["p"]
    known.record_reply("p")
    assert known.is_reachable("p")


def test_a_path_with_nothing_owed_is_never_silent():
    known = paths.Reachability()
    known.expect_reply("p", 0.0)
    known.cancel_expected_reply("p")
    assert known.take_timed_out(100.0) == []
