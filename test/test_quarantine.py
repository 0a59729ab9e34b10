"""Tests which requests are quarantined and how processes share evidence."""

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
CRASHING, INNOCENT, OTHER = b"deadly", b"innocent", b"other"
# Seconds within which all processes must know of a crash, including processes
# that were partitioned.
CONTACT = 3.0


def crash(quarantine, number: int, at: float, *running: bytes) -> None:
    quarantine.record_crash(set(running), number, at)


def test_three_crashes_with_concurrent_requests_quarantine():
    one = quarantines.Quarantine()
    for number in range(3):
        assert one.verdict(CRASHING, 1.0 * number) is not Verdict.QUARANTINED
        crash(one, number, 1.0 * number, CRASHING, b"other%d" % number)
    assert one.verdict(CRASHING, 3.0) is Verdict.QUARANTINED


def test_two_crashes_quarantine_if_one_ran_alone():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, CRASHING, INNOCENT)
    assert one.verdict(CRASHING, 0.1) is Verdict.SUSPECTED
    crash(one, 2, 0.2, CRASHING)
    assert one.verdict(CRASHING, 0.3) is Verdict.QUARANTINED


def test_single_crash_only_raises_suspicion():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, INNOCENT)
    assert one.verdict(INNOCENT, 0.1) is Verdict.SUSPECTED


def test_success_clears_a_suspected_request():
    one = quarantines.Quarantine()
    for number in range(2):
        crash(one, number, 1.0, CRASHING, INNOCENT)
    one.record_success(INNOCENT, 2.0)
    assert one.verdict(INNOCENT, 2.1) is Verdict.CLEAR
    # The next crash is the first one that counts.
    crash(one, 5, 20.0, CRASHING, INNOCENT)
    assert one.verdict(INNOCENT, 20.1) is not Verdict.QUARANTINED


def test_recently_successful_request_is_not_suspected():
    """A popular request runs during each crash, and succeeds elsewhere.

    Otherwise a caller that crashes targets could have it rejected for all.
    """
    one = quarantines.Quarantine()
    for number in range(20):
        one.record_success(INNOCENT, 1.0 * number)
        crash(one, number, 1.0 * number + 0.5, b"new%d" % number, INNOCENT)
        assert one.verdict(INNOCENT, 1.0 * number + 0.6) is Verdict.CLEAR


def test_requests_concurrent_with_a_quarantined_one_are_cleared():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, CRASHING, INNOCENT, OTHER)
    crash(one, 2, 0.2, CRASHING)
    assert one.verdict(INNOCENT, 0.3) is Verdict.CLEAR
    # Requests concurrent with a quarantined request are not suspected.
    crash(one, 3, 0.4, CRASHING, OTHER)
    assert one.verdict(OTHER, 0.5) is Verdict.CLEAR


def test_two_crashing_requests_are_both_quarantined():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, CRASHING, OTHER)
    crash(one, 2, 0.2, CRASHING)
    crash(one, 3, 0.3, OTHER)
    crash(one, 4, 0.4, OTHER)
    assert one.verdict(CRASHING, 0.5) is Verdict.QUARANTINED
    assert one.verdict(OTHER, 0.5) is Verdict.QUARANTINED


def test_request_without_fingerprint_counts_as_concurrent():
    one = quarantines.Quarantine()
    for number in range(2):
        crash(one, number, 0.0, b"", INNOCENT)
    assert one.verdict(INNOCENT, 0.1) is Verdict.SUSPECTED
    assert one.verdict(b"", 0.1) is Verdict.CLEAR


def test_quarantine_doubles_after_each_further_crash():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, CRASHING)
    crash(one, 2, 0.0, CRASHING)
    now = 0.0
    for number, hold in enumerate((600.0, 1200.0, 2400.0), 3):
        assert one.quarantined_for(CRASHING, now) == pytest.approx(hold)
        now += hold
        # The request then runs alone; it succeeds or is quarantined again.
        assert one.verdict(CRASHING, now) is Verdict.SUSPECTED
        crash(one, number, now, CRASHING)
    one.record_success(CRASHING, now + 5000.0)
    assert one.verdict(CRASHING, now + 5000.0) is Verdict.CLEAR


def test_number_of_cases_is_bounded_and_strongest_stay():
    one = quarantines.Quarantine()
    crash(one, 1, 0.0, CRASHING)
    crash(one, 2, 0.0, CRASHING)
    for number in range(3 * quarantines.MAX_CASES):
        crash(one, 10 + number, 1.0, b"new%d" % number, b"beside%d" % number)
    assert len(one.all_evidence(2.0)) <= quarantines.MAX_CASES
    assert one.verdict(CRASHING, 2.0) is Verdict.QUARANTINED
    for number in range(3 * quarantines.MAX_CRASHES_PER_CASE):
        crash(one, -number - 1 + (1 << 40), 3.0 + number, CRASHING)
    (found,) = [
        case for case in one.all_evidence(99.0) if case.fingerprint == CRASHING
    ]
    assert len(found.crashes) <= quarantines.MAX_CRASHES_PER_CASE
    one.expire(1e9)
    assert (one.all_evidence(1e9), one.digest()) == ([], 0)


@pytest.mark.parametrize("seed", range(20))
def test_evidence_merged_in_any_order_gives_same_verdicts(seed):
    rng = random.Random(seed)
    quarantines_of_processes = [quarantines.Quarantine() for _ in range(3)]
    sent = []
    for number in range(12):
        one = rng.choice(quarantines_of_processes)
        names = rng.sample([CRASHING, INNOCENT, OTHER, b"x"], rng.randint(1, 3))
        if rng.random() < 0.3:
            one.record_success(names[0], 1.0)
        else:
            crash(one, number, 1.0, *names)
        sent += one.all_evidence(1.0)
    for _ in range(3):
        for one in quarantines_of_processes:
            sent += one.all_evidence(1.0)
        for one in quarantines_of_processes:
            one.merge(rng.sample(sent, len(sent)), 1.0)
    assert len({one.digest() for one in quarantines_of_processes}) == 1
    for name in (CRASHING, INNOCENT, OTHER, b"x"):
        assert (
            len({one.verdict(name, 1.1) for one in quarantines_of_processes})
            == 1
        )


def test_abandoned_request_may_have_caused_a_crash():
    given = crash_candidates.CrashCandidates()
    given.add(1, CRASHING, 0.0)
    given.add(2, INNOCENT, 0.0)
    given.add(3, OTHER, 0.0)
    given.mark_ended(1, 0.1)
    given.discard(2)
    assert given.take_fingerprints(1.0) == {CRASHING, OTHER}
    assert given.take_fingerprints(1.0) == set()


def test_request_that_ended_long_before_a_crash_is_not_blamed():
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
def test_fingerprint_depends_on_each_part_of_the_request(changes):
    assert of(**changes) != of()
    assert of(host=b"H") == of()


# Synchronization between processes.


def fleet(count: int, seed: int) -> fleets.SimulatedFleet:
    made = fleets.SimulatedFleet(count, seed)
    made.run(1.0)
    return made


def crash_beside(made: fleets.SimulatedFleet, name: str, number: int) -> None:
    node = made.node_by_name[name]
    crash(node.quarantine, number, made.clock.now, CRASHING)
    made.schedule_tick(node, 0.0)


def quarantining(made: fleets.SimulatedFleet) -> set[str]:
    """Names of processes that quarantine the request."""
    return {
        name
        for name, node in made.node_by_name.items()
        if node.quarantine.verdict(CRASHING, made.clock.now)
        is Verdict.QUARANTINED
    }


@pytest.mark.parametrize(
    ("count", "seed"), [(2, 1), (31, 1), (31, 2), (235, 1)]
)
def test_all_processes_quarantine_a_request_that_crashed_targets(count, seed):
    """Each crash is observed by one process only."""
    made = fleet(count, seed)
    crash_beside(made, "p0", 1)
    made.run(0.05)
    crash_beside(made, f"p{count - 1}", 2)
    made.run(0.3)
    missing = set(made.node_by_name) - quarantining(made)
    assert len(missing) <= 0.02 * count
    made.run(CONTACT - 0.3)
    assert quarantining(made) == set(made.node_by_name)


@pytest.mark.parametrize("seed", range(4))
def test_partitioned_and_new_processes_quarantine_in_time(seed):
    """Covers partitioned and new processes while 10 % of messages are lost."""
    made = fleet(31, seed)
    made.loss_rate = 0.1
    made.isolated = {"p3", "p4", "p5"}
    crash_beside(made, "p0", 1)
    crash_beside(made, "p1", 2)
    made.run(20.0)
    assert not quarantining(made) & made.isolated
    made.isolated = set()
    late = made.start("p6")
    others = [n for n in made.node_by_name.values() if n is not late]
    for node in made.rng.sample(others, 3):
        late.directory.apply_direct(node.directory.own, made.clock.now)
    made.run(CONTACT)
    assert quarantining(made) == set(made.node_by_name)


def test_evidence_from_both_sides_of_a_partition_is_merged():
    """Each side saw a single crash, which is too little evidence."""
    made = fleet(8, 1)
    made.isolated = {"p0"}
    crash_beside(made, "p0", 1)
    crash_beside(made, "p1", 2)
    made.run(2.0)
    assert quarantining(made) == set()
    made.isolated = set()
    made.run(CONTACT)
    assert quarantining(made) == set(made.node_by_name)


def test_request_cleared_by_one_process_is_cleared_by_all():
    made = fleet(31, 1)
    node = made.node_by_name["p0"]
    crash(node.quarantine, 1, made.clock.now, INNOCENT, OTHER)
    made.schedule_tick(node, 0.0)
    made.run(0.3)
    other = made.node_by_name["p9"]
    now = made.clock.now
    assert other.quarantine.verdict(INNOCENT, now) is Verdict.SUSPECTED
    other.quarantine.record_success(INNOCENT, now)
    made.schedule_tick(other, 0.0)
    made.run(CONTACT)
    verdicts = {
        one.quarantine.verdict(INNOCENT, made.clock.now)
        for one in made.node_by_name.values()
    }
    assert verdicts == {Verdict.CLEAR}


def test_synchronized_fleet_sends_no_evidence():
    made = fleet(31, 1)
    crash_beside(made, "p0", 1)
    crash_beside(made, "p1", 2)
    made.run(5.0)
    before = made.message_count_by_type["SuspectedRequests"]
    made.run(20.0)
    assert made.message_count_by_type["SuspectedRequests"] == before


def test_messages_of_evidence_fit_a_datagram():
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
def test_clearing_counts_if_received_before_the_crash(order):
    one, other = quarantines.Quarantine(), quarantines.Quarantine()
    crash(one, 1, 0.0, INNOCENT, CRASHING)
    accused = one.all_evidence(0.0)
    one.record_success(INNOCENT, 0.1)
    cleared = one.all_evidence(0.2)
    crash(one, 2, 0.3, CRASHING)
    held = one.all_evidence(0.4)
    for number in order:
        other.merge((accused, cleared, held)[number], 0.5)
    assert other.verdict(INNOCENT, 0.6) is Verdict.CLEAR
    assert other.verdict(CRASHING, 0.6) is Verdict.QUARANTINED


def test_one_exchange_synchronizes_both_processes():
    """Each process lacks the evidence of the other."""
    made = fleets.SimulatedFleet(2, 1)
    for name, fingerprints in (("p0", CRASHING), ("p1", OTHER)):
        quarantine = made.node_by_name[name].quarantine
        crash(quarantine, ord(name[1]), made.clock.now, fingerprints)
        quarantine.take_changes(made.clock.now)
    first, second = made.node_by_name.values()
    first.control_protocols.handle_pause()
    made.run(0.01)
    for node in (first, second):
        found = {
            one.fingerprint
            for one in node.quarantine.all_evidence(made.clock.now)
        }
        assert found == {CRASHING, OTHER}
