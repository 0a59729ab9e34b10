"""Which requests are held back, and how all processes come to know."""

import itertools
import random

import pytest

from forklift import crash_candidates
from forklift import fingerprint
from forklift import messages
from forklift import quarantine as quarantines
from forklift import quarantine_sync
from test import fleet as fleets

Verdict = quarantines.Verdict
DEADLY, INNOCENT, OTHER = b"deadly", b"innocent", b"other"
# Seconds within which the users want a crash to be known: the time after which
# a process that a fault befell is in touch again.
CONTACT = 3.0


def crash(quarantine, number: int, at: float, *running: bytes) -> None:
    quarantine.record_crash(set(running), number, at)


def test_three_crashes_beside_other_work_are_enough():
    one = quarantines.Quarantine()
    for number in range(3):
        assert one.verdict(DEADLY, 1.0 * number) is not Verdict.QUARANTINED
        crash(one, number, 1.0 * number, DEADLY, b"other%d" % number)
    assert one.verdict(DEADLY, 3.0) is Verdict.QUARANTINED


def test_two_crashes_are_enough_where_one_of_them_was_alone():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, DEADLY, INNOCENT)
    assert one.verdict(DEADLY, 0.1) is Verdict.SUSPECTED
    crash(one, 2, 0.2, DEADLY)
    assert one.verdict(DEADLY, 0.3) is Verdict.QUARANTINED


def test_one_crash_alone_may_be_chance():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, INNOCENT)
    assert one.verdict(INNOCENT, 0.1) is Verdict.SUSPECTED


def test_what_is_answered_is_no_suspect_any_more():
    one = quarantines.Quarantine()
    for number in range(2):
        crash(one, number, 1.0, DEADLY, INNOCENT)
    one.record_success(INNOCENT, 2.0)
    assert one.verdict(INNOCENT, 2.1) is Verdict.CLEAR
    # A further crash counts as the first.
    crash(one, 5, 20.0, DEADLY, INNOCENT)
    assert one.verdict(INNOCENT, 20.1) is not Verdict.QUARANTINED


def test_what_was_answered_a_moment_before_is_never_accused():
    """A popular request runs beside each crash, and is answered all the time.

    Otherwise somebody who can crash targets could have it refused to all.
    """
    one = quarantines.Quarantine()
    for number in range(20):
        one.record_success(INNOCENT, 1.0 * number)
        crash(one, number, 1.0 * number + 0.5, b"new%d" % number, INNOCENT)
        assert one.verdict(INNOCENT, 1.0 * number + 0.6) is Verdict.CLEAR


def test_what_ran_beside_one_that_is_held_back_is_excused():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, DEADLY, INNOCENT, OTHER)
    crash(one, 2, 0.2, DEADLY)
    assert one.verdict(INNOCENT, 0.3) is Verdict.CLEAR
    # It is known for it: what runs beside it then is not even suspected.
    crash(one, 3, 0.4, DEADLY, OTHER)
    assert one.verdict(OTHER, 0.5) is Verdict.CLEAR


def test_two_that_crash_targets_are_both_found():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, DEADLY, OTHER)
    crash(one, 2, 0.2, DEADLY)
    crash(one, 3, 0.3, OTHER)
    crash(one, 4, 0.4, OTHER)
    assert one.verdict(DEADLY, 0.5) is Verdict.QUARANTINED
    assert one.verdict(OTHER, 0.5) is Verdict.QUARANTINED


def test_a_request_without_a_fingerprint_accuses_nobody_else():
    one = quarantines.Quarantine()
    for number in range(2):
        crash(one, number, 0.0, b"", INNOCENT)
    assert one.verdict(INNOCENT, 0.1) is Verdict.SUSPECTED
    assert one.verdict(b"", 0.1) is Verdict.CLEAR


def test_it_is_tried_again_later_and_each_time_later():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, DEADLY)
    crash(one, 2, 0.0, DEADLY)
    now = 0.0
    for number, hold in enumerate((600.0, 1200.0, 2400.0), 3):
        assert one.quarantined_for(DEADLY, now) == pytest.approx(hold)
        now += hold
        # One run alone tells: it lives, or is held back for longer.
        assert one.verdict(DEADLY, now) is Verdict.SUSPECTED
        crash(one, number, now, DEADLY)
    one.record_success(DEADLY, now + 5000.0)
    assert one.verdict(DEADLY, now + 5000.0) is Verdict.CLEAR


def test_memory_is_bounded_and_the_strongest_cases_stay():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, DEADLY)
    crash(one, 2, 0.0, DEADLY)
    for number in range(3 * quarantines.MAX_CASES):
        crash(one, 10 + number, 1.0, b"new%d" % number, b"beside%d" % number)
    assert len(one.all_evidence(2.0)) <= quarantines.MAX_CASES
    assert one.verdict(DEADLY, 2.0) is Verdict.QUARANTINED
    for number in range(3 * quarantines.MAX_CRASHES_PER_CASE):
        crash(one, -number - 1 + (1 << 40), 3.0 + number, DEADLY)
    (found,) = [
        case for case in one.all_evidence(99.0) if case.fingerprint == DEADLY
    ]
    assert len(found.crashes) <= quarantines.MAX_CRASHES_PER_CASE
    one.expire(1e9)
    assert (one.all_evidence(1e9), one.digest()) == ([], 0)


@pytest.mark.parametrize("seed", range(20))
def test_processes_that_learn_in_any_order_agree(seed):
    rng = random.Random(seed)
    ones = [quarantines.Quarantine() for _ in range(3)]
    told = []
    for number in range(12):
        one = rng.choice(ones)
        names = rng.sample([DEADLY, INNOCENT, OTHER, b"x"], rng.randint(1, 3))
        if rng.random() < 0.3:
            one.record_success(names[0], 1.0)
        else:
            crash(one, number, 1.0, *names)
        told += one.all_evidence(1.0)
    for _ in range(3):
        for one in ones:
            told += one.all_evidence(1.0)
        for one in ones:
            one.merge(rng.sample(told, len(told)), 1.0)
    assert len({one.digest() for one in ones}) == 1
    for name in (DEADLY, INNOCENT, OTHER, b"x"):
        assert len({one.verdict(name, 1.1) for one in ones}) == 1


def test_what_a_target_still_runs_for_nobody_may_have_crashed_it():
    given = crash_candidates.CrashCandidates()
    given.add(1, DEADLY, 0.0)
    given.add(2, INNOCENT, 0.0)
    given.add(3, OTHER, 0.0)
    given.mark_ended(1, 0.1)
    given.discard(2)
    assert given.take_fingerprints(1.0) == {DEADLY, OTHER}
    assert given.take_fingerprints(1.0) == set()


def test_what_ended_long_before_a_crash_is_not_accused():
    given = crash_candidates.CrashCandidates()
    given.add(1, INNOCENT, 0.0)
    given.mark_ended(1, 0.1)
    for number in range(1000):
        given.add(2 + number, OTHER, 1.0)
        given.mark_ended(2 + number, 1.0)
    assert given.take_fingerprints(20.0) == set()


def of(**changes) -> bytes:
    parts = {
        "method": b"GET",
        "host": b"h",
        "path": b"/a",
        "caller": (b"key",),
        "length": 1,
        "body": b"b",
    }
    return fingerprint.compute(**{**parts, **changes})


@pytest.mark.parametrize(
    "changes",
    [
        {"path": b"/b"},
        {"caller": (b"other",)},
        {"body": b"c"},
        {"host": b"other"},
        {"method": b"PUT"},
        {"length": 2, "body": b""},
    ],
)
def test_another_path_caller_or_body_is_another_request(changes):
    assert of(**changes) != of()
    assert of(host=b"H") == of()


# How all processes come to know.


def fleet(count: int, seed: int) -> fleets.Fleet:
    made = fleets.Fleet(count, seed)
    made.run(1.0)
    return made


def crash_beside(made: fleets.Fleet, name: str, number: int) -> None:
    node = made.node_by_name[name]
    crash(node.quarantine, number, made.clock.now, DEADLY)
    made.tick_in(node, 0.0)


def know(made: fleets.Fleet) -> set[str]:
    """Processes that hold the request back."""
    return {
        name
        for name, node in made.node_by_name.items()
        if node.quarantine.verdict(DEADLY, made.clock.now)
        is Verdict.QUARANTINED
    }


@pytest.mark.parametrize(
    ("count", "seed"), [(2, 1), (31, 1), (31, 2), (235, 1)]
)
def test_all_hold_back_what_crashed_targets_anywhere(count, seed):
    """Each crash is seen beside one target only."""
    made = fleet(count, seed)
    crash_beside(made, "p0", 1)
    made.run(0.05)
    crash_beside(made, f"p{count - 1}", 2)
    made.run(0.3)
    missing = set(made.node_by_name) - know(made)
    assert len(missing) <= 0.02 * count
    made.run(CONTACT - 0.3)
    assert know(made) == set(made.node_by_name)


@pytest.mark.parametrize("seed", range(4))
def test_who_was_cut_off_or_started_later_holds_it_back_in_time(seed):
    """A process that was cut off, one that starts, a tenth of messages lost."""
    made = fleet(31, seed)
    made.loses = 0.1
    made.cut = {"p3", "p4", "p5"}
    crash_beside(made, "p0", 1)
    crash_beside(made, "p1", 2)
    made.run(20.0)
    assert not know(made) & made.cut
    made.cut = set()
    late = made.start("p6")
    others = [n for n in made.node_by_name.values() if n is not late]
    for node in made.rng.sample(others, 3):
        late.directory.apply_direct(node.directory.own, made.clock.now)
    made.run(CONTACT)
    assert know(made) == set(made.node_by_name)


def test_two_parts_of_a_fleet_put_together_what_each_saw():
    """Apart, each saw a single crash, which may be chance."""
    made = fleet(8, 1)
    made.cut = {"p0"}
    crash_beside(made, "p0", 1)
    crash_beside(made, "p1", 2)
    made.run(2.0)
    assert know(made) == set()
    made.cut = set()
    made.run(CONTACT)
    assert know(made) == set(made.node_by_name)


def test_one_that_is_cleared_anywhere_is_cleared_everywhere():
    made = fleet(31, 1)
    node = made.node_by_name["p0"]
    crash(node.quarantine, 1, made.clock.now, INNOCENT, OTHER)
    made.tick_in(node, 0.0)
    made.run(0.3)
    other = made.node_by_name["p9"]
    now = made.clock.now
    assert other.quarantine.verdict(INNOCENT, now) is Verdict.SUSPECTED
    other.quarantine.record_success(INNOCENT, now)
    made.tick_in(other, 0.0)
    made.run(CONTACT)
    standings = {
        one.quarantine.verdict(INNOCENT, made.clock.now)
        for one in made.node_by_name.values()
    }
    assert standings == {Verdict.CLEAR}


def test_a_fleet_that_agrees_tells_nothing_more():
    made = fleet(31, 1)
    crash_beside(made, "p0", 1)
    crash_beside(made, "p1", 2)
    made.run(5.0)
    before = made.count_by_kind["SuspectedRequests"]
    made.run(20.0)
    assert made.count_by_kind["SuspectedRequests"] == before


def test_much_evidence_is_told_in_messages_of_a_datagram():
    one = quarantines.Quarantine()
    for number in range(quarantines.MAX_CASES):
        crash(one, number << 32, 0.0, b"%016d" % number, b"%016d" % -number)
    evidence = one.all_evidence(1.0)
    size = quarantine_sync.MAX_CASES_PER_MESSAGE
    for start in range(0, len(evidence), size):
        part = tuple(evidence[start : start + size])
        sender = messages.Sender("a-name-of-a-process", "10.10.10.10:65535")
        message = messages.SuspectedRequests(sender, 1 << 63, part, True)
        assert len(messages.encode(message)) <= 1400


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_a_clearing_that_comes_before_the_accusation_counts(order):
    one, other = quarantines.Quarantine(), quarantines.Quarantine()
    crash(one, 1, 0.0, INNOCENT, DEADLY)
    accused = one.all_evidence(0.0)
    one.record_success(INNOCENT, 0.1)
    cleared = one.all_evidence(0.2)
    crash(one, 2, 0.3, DEADLY)
    held = one.all_evidence(0.4)
    for number in order:
        other.merge((accused, cleared, held)[number], 0.5)
    assert other.verdict(INNOCENT, 0.6) is Verdict.CLEAR
    assert other.verdict(DEADLY, 0.6) is Verdict.QUARANTINED


def test_both_sides_of_a_difference_know_all_after_one_exchange():
    """Each lacks what the other has."""
    made = fleets.Fleet(2, 1)
    for name, fingerprints in (("p0", DEADLY), ("p1", OTHER)):
        quarantine = made.node_by_name[name].quarantine
        crash(quarantine, ord(name[1]), made.clock.now, fingerprints)
        quarantine.take_changes(made.clock.now)
    first, second = made.node_by_name.values()
    first.neighbours.paused()
    made.run(0.01)
    for node in (first, second):
        found = {
            one.fingerprint
            for one in node.quarantine.all_evidence(made.clock.now)
        }
        assert found == {DEADLY, OTHER}
