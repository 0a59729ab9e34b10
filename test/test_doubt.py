"""The judgement on one target."""

import pytest

from forklift import doubt

Sign = doubt.Sign


@pytest.mark.parametrize("sign", [s for s in Sign if s is not Sign.WELL])
def test_one_bad_sign_raises_doubt(sign):
    judged = doubt.Doubt()
    assert judged.note(sign, 1.0)
    assert judged.raised
    assert judged.sign is sign


def test_a_broken_connection_asks_for_two_good_outcomes():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    assert not judged.note(Sign.WELL, 2.0)
    assert judged.raised
    assert judged.note(Sign.WELL, 2.1)
    assert not judged.raised


def test_an_error_asks_for_one():
    judged = doubt.Doubt()
    judged.note(Sign.ERROR, 1.0)
    assert judged.note(Sign.WELL, 2.0)


def test_the_worst_sign_counts():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    judged.note(Sign.ERROR, 1.1)
    judged.note(Sign.WELL, 2.0)
    assert judged.raised


def test_a_bad_outcome_between_good_ones_begins_anew():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    judged.note(Sign.WELL, 2.0)
    judged.note(Sign.BROKEN, 2.1)
    judged.note(Sign.WELL, 3.0)
    assert judged.raised


def test_one_scout_at_a_time():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    assert not judged.may_scout(1.0)
    later = 1.0 + doubt.SCOUT_GAP
    assert judged.may_scout(later)
    judged.scout("r", later)
    assert not judged.may_scout(later + 10)
    judged.scouted("r")
    assert judged.may_scout(later + 10)


def test_scouts_that_fail_pause_longer_up_to_a_bound():
    judged = doubt.Doubt()
    for now in range(1, 6):
        judged.note(Sign.BROKEN, float(now))
    assert not judged.may_scout(5.0 + doubt.SCOUT_GAP)
    assert judged.may_scout(5.0 + doubt.SCOUT_GAP_MOST)


def test_the_second_scout_follows_a_good_one_at_once():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    judged.note(Sign.WELL, 2.0)
    assert judged.may_scout(2.0)


def test_untested_doubt_fades():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    assert not judged.fade(1.0 + doubt.MOST / 2)
    assert judged.fade(1.0 + doubt.MOST)
    assert not judged.raised


def test_doubt_does_not_fade_under_a_scout():
    judged = doubt.Doubt()
    judged.note(Sign.BROKEN, 1.0)
    judged.scout("r", 2.0)
    assert not judged.fade(100.0)


def test_a_bad_sign_ends_the_proof():
    judged = doubt.Doubt()
    judged.prove(1.0)
    judged.note(Sign.BROKEN, 2.0)
    assert judged.proven_at == float("-inf")
    judged.prove(2.5)
    assert judged.proven_at == float("-inf")


def test_changes_are_kept_and_bounded():
    judged = doubt.Doubt()
    for now in range(100):
        judged.note(Sign.ERROR, float(now))
        judged.note(Sign.WELL, now + 0.5)
    assert len(judged.changes) == doubt.KEPT_CHANGES
    assert not judged.changes[-1].doubted
