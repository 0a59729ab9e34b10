"""What targets announced, remembered by incarnation."""

import pytest

from forklift import notice_memory

# Wall time at which announcements are received, seconds and milliseconds.
HEARD = 1000.0
HEARD_MS = 1_000_000


@pytest.fixture
def memory():
    return notice_memory.NoticeMemory(lambda: HEARD)


def test_announcement_does_not_apply_to_a_later_incarnation(memory):
    memory.record_leaving("i-7@900000", 0.0)
    assert memory.is_leaving("i-7@900000")
    assert not memory.is_leaving(f"i-7@{HEARD_MS}")
    assert not memory.is_leaving("i-8@900000")


# A process that has restarted knows its target by a health check, which tells
# no start time.
def test_unknown_start_time_may_be_that_of_the_leaving_incarnation(memory):
    memory.record_leaving("i-7@900000", 0.0)
    assert memory.is_leaving("i-7")
    assert memory.leaving_incarnation("i-7") == "i-7@900000"


def test_announcement_without_a_start_time_applies_to_what_started_before(
    memory,
):
    memory.record_leaving("i-7", 0.0)
    assert memory.is_leaving(f"i-7@{HEARD_MS - 1}")
    later = HEARD_MS + notice_memory.CLOCK_TOLERANCE_MS + 1
    assert not memory.is_leaving(f"i-7@{later}")
    assert memory.leaving_incarnation("i-7@900000") == "i-7@900000"


# The clock of a target that starts again may be far behind.
def test_announcement_of_another_incarnation_never_applies(memory):
    memory.record_leaving("i-7@900000", 0.0)
    assert not memory.is_leaving("i-7@900001")
    assert not memory.is_leaving("i-7@800000")


def test_announcement_without_a_start_time_applies_to_one_incarnation(memory):
    memory.record_leaving("i-7", 0.0)
    assert memory.is_leaving("i-7@800000")
    assert not memory.is_leaving("i-7@900000")
    assert memory.is_leaving("i-7@800000")


def test_late_announcement_of_an_earlier_incarnation_changes_nothing(memory):
    memory.record_leaving("i-7@900000", 0.0)
    memory.record_leaving("i-7@800000", 0.0)
    assert memory.is_leaving("i-7@900000")


def test_rate_limit_is_that_of_one_incarnation(memory):
    memory.record_rate_limit("i-7@900000", 2.5, 10.0)
    assert memory.rate_limit("i-7@900000", 11.0) == 2.5
    assert memory.rate_limit("i-7", 11.0) == 2.5
    assert memory.rate_limit("i-7@990000", 11.0) is None
    expired = 10.0 + notice_memory.RATE_LIMIT_SECONDS
    assert memory.rate_limit("i-7@900000", expired) is None
    memory.record_rate_limit("i-7@900000", None, 12.0)
    assert memory.rate_limit("i-7@900000", 12.0) is None


def test_memory_is_bounded(memory):
    for number in range(notice_memory.MAX_TARGETS + 1):
        memory.record_leaving(f"i-{number}", 0.0)
    assert not memory.is_leaving("i-0")
    assert memory.is_leaving("i-1")
