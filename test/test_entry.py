"""Picks, paths, retries and membership as an entry sees them."""

import random

import pytest

from forklift import entry
from forklift import gossip
from forklift import membership
from forklift import messages
from forklift import overlay
from forklift import retries
from forklift import routing
from forklift import spread
from test import helper

State = messages.TargetState
Outcome = messages.Outcome
Reason = messages.Reason
Liveness = messages.Liveness


def made(infos, **keys):
    chooser = entry.Entry("me", "d", random.Random(1))
    chooser.follow({"s": helper.service(**keys)})
    for known in infos:
        chooser.learn(known, frozenset({"s"}))
    return chooser


def wish(repeatable=True, deadline=100.0):
    return entry.Wish("s", "GET", repeatable, deadline)


def infos(count):
    return [helper.info(f"p{n}", f"t{n}") for n in range(count)]


def picks(chooser, count=300, tried=frozenset(), repeatable=True):
    counted = {}
    for _ in range(count):
        choice = chooser.choose(wish(repeatable), tried, 0.0)
        chooser.ended(wish(), choice, None, 0.0)
        counted[choice.target] = counted.get(choice.target, 0) + 1
    return counted


@pytest.mark.parametrize("name", sorted(spread.picker_by_name))
def test_every_spread_uses_all_targets(name):
    counted = picks(made(infos(5), spread=name))
    assert len(counted) == 5


@pytest.mark.parametrize("state", [State.EJECTED, State.DRAINING, State.LEFT])
def test_targets_that_are_out_get_nothing(state):
    out = helper.info(
        "p9", targets=(helper.target_info("t9", state=state, weight=0.0),)
    )
    assert "t9" not in picks(made([*infos(3), out]))


def test_low_weight_gets_little():
    low = helper.info("p9", targets=(helper.target_info("t9", weight=0.05),))
    counted = picks(made([*infos(4), low]), 2000)
    assert 0 < counted["t9"] < 250


def test_stale_load_does_not_herd():
    chooser = made(infos(10))
    idle = messages.Load(0, 0, 4, 1.0, State.IN_SERVICE, 1, 0.1, 0.0)
    busy = messages.Load(9, 0, 4, 1.0, State.IN_SERVICE, 1, 0.1, 0.0)
    for number in range(10):
        choice = entry.Choice(f"t{number}", f"p{number}")
        load = idle if number == 0 else busy
        chooser.ended(wish(), choice, load, 0.0)
    held = {}
    for _ in range(40):
        choice = chooser.choose(wish(), frozenset(), 0.0)
        held[choice.target] = held.get(choice.target, 0) + 1
    assert held.get("t0", 0) < 20


def test_silent_path_is_avoided_until_heard_and_no_request_tests_it():
    chooser = made(infos(4))
    chooser.sent("p1", 0.0)
    assert chooser.silent(entry.SILENCE) == ["p1"]
    assert "t1" not in picks(chooser)
    assert chooser.to_beat(10.0) == ["p1"]
    assert "t1" not in picks(chooser)
    chooser.heard("p1")
    assert "t1" in picks(chooser)


def test_avoided_paths_never_take_the_view_below_the_floor():
    chooser = made(infos(4), floor=3)
    for number in (0, 1, 2):
        chooser.path_failed(f"p{number}", "unreachable", 0.0)
    counted = picks(chooser, 2000)
    assert counted["t3"] > sum(counted.values()) / 2
    assert len(counted) == 4


def test_work_that_must_not_repeat_shuns_doubtful_targets():
    doubtful = helper.info(
        "p9", targets=(helper.target_info("t9", state=State.SUSPECT),)
    )
    chooser = made([*infos(2), doubtful])
    assert "t9" not in picks(chooser, repeatable=False)
    assert "t9" in picks(chooser)


def test_large_service_is_seen_through_a_bounded_subset():
    chooser = made(infos(300))
    counted = picks(chooser, 3000)
    assert len(counted) == entry.SUBSET
    all_tried = frozenset(counted)
    assert chooser.choose(wish(), all_tried, 0.0) is not None


def test_new_boot_of_a_process_starts_afresh():
    chooser = made(infos(2))
    load = messages.Load(1, 0, 4, 0.0, State.EJECTED, 50, 0.1, 0.0)
    chooser.ended(wish(), entry.Choice("t0", "p0"), load, 0.0)
    assert "t0" not in picks(chooser)
    again = helper.info("p0", "t0", boot=999)
    chooser.learn(again, frozenset({"s"}))
    assert "t0" in picks(chooser)


RETRIES = {
    "refused": (Outcome.NOT_RUN, 0, True, True),
    "refused, not repeatable": (Outcome.NOT_RUN, 0, False, True),
    "unknown": (Outcome.UNKNOWN, 0, True, True),
    "unknown, not repeatable": (Outcome.UNKNOWN, 0, False, False),
    "failed": (Outcome.ANSWERED, 500, True, True),
    "failed, not repeatable": (Outcome.ANSWERED, 500, False, False),
    "well": (Outcome.ANSWERED, 200, True, False),
}


@pytest.mark.parametrize("name", RETRIES)
def test_retries(name):
    outcome, status, repeatable, again = RETRIES[name]
    chooser = made(infos(3))
    ending = entry.Ending(outcome, Reason.BUSY, status)
    assert chooser.retry(wish(repeatable), ending, 1, 1, 0.0) is again


def test_policy_never_makes_work_repeat():
    chooser = made(infos(3), retry="true")
    ending = entry.Ending(Outcome.UNKNOWN, Reason.TIMEOUT)
    assert not chooser.retry(wish(False), ending, 1, 0, 0.0)


def test_budget_bounds_amplification():
    budget = retries.Budget(0.1)
    sent = 0
    for _ in range(1000):
        budget.earn()
        sent += 1
        if budget.spend():
            sent += 1
    assert sent <= 1.1 * 1000 + retries.RESERVE


def test_no_retry_after_the_deadline():
    chooser = made(infos(3))
    ending = entry.Ending(Outcome.NOT_RUN, Reason.BUSY)
    assert not chooser.retry(wish(deadline=1.0), ending, 1, 1, 2.0)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a", "/", "root"),
        ("a:80", "/x/y", "x"),
        ("A", "/x?q=/y", "x"),
        ("a", "/xy", "root"),
        ("other", "/any", "any"),
        ("other", "/x/", "any"),
    ],
)
def test_routes(host, path, name):
    table = routing.Table(
        [
            routing.Route("root", "a", "/", "s"),
            routing.Route("x", "a", "/x/", "s"),
            routing.Route("any", "*", "/", "s"),
        ]
    )
    assert table.find(host, path).name == name


def test_rank_moves_little_when_a_name_goes():
    names = [f"n{n}" for n in range(50)]
    before = {key: overlay.pick(key, names, 1) for key in names}
    after = {key: overlay.pick(key, names[1:], 1) for key in names}
    moved = [key for key in names if before[key] != after[key]]
    assert all(before[key] == [names[0]] for key in moved)


def directory(name="me"):
    return membership.Directory(helper.info(name, "t"))


def rumor(liveness, name="p", **changes):
    return messages.Rumor(liveness, helper.info(name, "t1", **changes))


OVERRIDES = {
    "suspicion of the same incarnation": (
        rumor(Liveness.SUSPECT), Liveness.SUSPECT,
    ),
    "refutation": (rumor(Liveness.ALIVE, incarnation=2), Liveness.ALIVE),
    "old word of life": (rumor(Liveness.ALIVE), Liveness.DEAD),
    "old boot": (rumor(Liveness.ALIVE, boot=1, started=-9.0), Liveness.DEAD),
    "new boot": (rumor(Liveness.ALIVE, boot=9, started=9.0), Liveness.ALIVE),
}  # fmt: skip


@pytest.mark.parametrize("name", OVERRIDES)
def test_what_overrides_what(name):
    news, liveness = OVERRIDES[name]
    known = directory()
    known.apply(rumor(Liveness.ALIVE), 0.0)
    if liveness is not Liveness.SUSPECT:
        known.apply(rumor(Liveness.DEAD), 1.0)
    known.apply(news, 2.0)
    assert known.member_by_name["p"].liveness is liveness


def test_who_left_stays_gone_in_this_boot():
    known = directory()
    known.apply(rumor(Liveness.ALIVE), 0.0)
    known.apply(rumor(Liveness.LEFT), 1.0)
    known.apply(rumor(Liveness.ALIVE, incarnation=9), 2.0)
    assert known.member_by_name["p"].liveness is Liveness.LEFT


def test_suspected_process_refutes():
    known = directory()
    suspicion = messages.Rumor(Liveness.SUSPECT, known.own)
    assert known.apply(suspicion, 0.0)
    assert known.own.incarnation == 2


def test_equal_knowledge_has_equal_digests():
    one, two = directory("a"), directory("b")
    for known, other in ((one, two), (two, one)):
        known.apply(rumor(Liveness.ALIVE), 0.0)
        known.apply(messages.Rumor(Liveness.ALIVE, other.own), 0.0)
    assert one.digest() == two.digest()


def test_gossip_spreads_a_drain_to_all_within_a_few_messages():
    """Processes talk over a lossy network that drops every fourth message."""
    rng = random.Random(3)
    names = [f"p{n}" for n in range(30)]
    known = {n: membership.Directory(helper.info(n, f"t{n}")) for n in names}
    tellers = {n: gossip.Gossip(known[n], rng) for n in names}
    for one in names:
        for other in names:
            known[one].hear(known[other].own, 0.0)
    drained = helper.target_info("t0", state=State.DRAINING, version=2)
    known["p0"].update_own(targets=(drained,))
    queue = [(s, 0) for s in tellers["p0"].spread("p0")]
    now = 0.0
    while now < 2.0:
        now += 0.05
        for name in names:
            queue += [(send, 0) for send in tellers[name].tick(now)]
        waiting, queue = queue, []
        for send, _ in waiting:
            if rng.random() >= 0.25:
                replies = tellers[send.address].receive(send.message, now)
                queue += [(reply, 0) for reply in replies]
    for name in names[1:]:
        seen = known[name].member_by_name["p0"].info.targets[0]
        assert seen.state is State.DRAINING, name


def test_directory_keeps_few_of_a_foreign_service():
    known = directory()
    for number in range(100):
        foreign = helper.target_info(f"f{number}", service="other")
        known.hear(helper.info(f"f{number}", targets=(foreign,)), 0.0)
    assert len(known.member_by_name) == membership.GATEWAYS
