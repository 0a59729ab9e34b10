"""Started and fenced requests."""

import pytest

from forklift import fences
from test import helper

ONE = (1, 7)


def test_started_request_cannot_start_again():
    known = fences.Fences()
    assert known.try_start(ONE, 0.0)
    assert not known.may_start(ONE)
    assert not known.try_start(ONE, 1.0)


def test_fenced_request_cannot_start():
    known = fences.Fences()
    assert known.fence(ONE, 0.0)
    assert not known.try_start(ONE, 1.0)
    assert known.fence(ONE, 2.0)


def test_started_request_is_not_reported_as_not_run():
    known = fences.Fences()
    known.try_start(ONE, 0.0)
    assert not known.fence(ONE, 1.0)
    with helper.counting_violations() as violations:
        assert not known.check_not_started(ONE)
        assert violations()["not-run"] == 1


@pytest.mark.parametrize("first", ["try_start", "fence"])
def test_entries_expire_after_the_retention_time(first):
    known = fences.Fences()
    getattr(known, first)(ONE, 0.0)
    known.try_start((1, 8), fences.RETENTION_SECONDS - 1)
    assert not known.may_start(ONE)
    known.try_start((1, 9), fences.RETENTION_SECONDS + 1)
    assert len(known) == 2
