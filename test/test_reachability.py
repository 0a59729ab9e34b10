"""Reachability of other processes."""

from forklift import reachability


def test_process_with_an_overdue_reply_is_unreachable_until_it_replies():
    tracker = reachability.Reachability()
    tracker.expect_reply("p", 0.0)
    assert tracker.take_timed_out(reachability.REPLY_TIMEOUT_SECONDS / 2) == []
    assert tracker.take_timed_out(reachability.REPLY_TIMEOUT_SECONDS) == ["p"]
    assert not tracker.is_reachable("p")
    assert tracker.take_due_heartbeats(reachability.REPLY_TIMEOUT_SECONDS) == []
    assert tracker.take_due_heartbeats(
        reachability.REPLY_TIMEOUT_SECONDS
        + reachability.INITIAL_BACKOFF_SECONDS
    ) == ["p"]
    tracker.record_reply("p")
    assert tracker.is_reachable("p")


def test_process_times_out_only_while_a_reply_is_expected():
    tracker = reachability.Reachability()
    tracker.expect_reply("p", 0.0)
    tracker.cancel_expected_reply("p")
    assert tracker.take_timed_out(100.0) == []
