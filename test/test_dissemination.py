"""Every process has each version in time, also those no store answers.

A version was acknowledged at 25.04 s, and at 27.09 s a process still refused
with 404 a path that it had brought; another was 2.36 s behind. The store told
the others within 2 ms and told these nothing, without a sign: their reads of it
hung. A peer handed a version on only to who pinged it, once a second, and only
0.7 s after it had it; half of the peers were behind themselves.
"""

import pytest

from forklift import catalog
from forklift import dissemination
from forklift import gossip
from forklift import membership
from forklift import messages
from forklift import routing
from forklift import store_readers
from test import fleet
from test import helper

# Seconds by which a version must be in force; the users allow 2 s, and a second
# of them is left for what a busy instance adds.
IN_FORCE_WITHIN = 1.0
# The same where connections fall silent at the moment of a version: each hop
# pays for a message that is lost.
AT_THAT_MOMENT = 1.5
PROCESSES = 31


def behind(found: fleet.Fleet) -> dict[tuple[str, int], float]:
    """Who was behind which version for too long, and for how long."""
    lags = found.lags()
    return {key: lag for key, lag in lags.items() if lag > IN_FORCE_WITHIN}


def settled(seed: int = 1) -> fleet.Fleet:
    """A fleet that has its first version."""
    found = fleet.Fleet(PROCESSES, seed)
    found.publish(1)
    found.run(3.0)
    return found


def deafen(found: fleet.Fleet, share: float) -> None:
    """The store answers nothing more to a share of the processes."""
    names = sorted(found.node_by_name)
    for name in found.rng.sample(names, round(share * len(names))):
        found.node_by_name[name].deaf = True


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [1 / 3, 1 / 2, 0.9])
def test_who_hears_nothing_of_the_store_has_each_version_in_time(seed, share):
    found = settled(seed)
    deafen(found, share)
    for version in range(2, 8):
        found.publish(version)
        found.run(2.1)
    assert behind(found) == {}


@pytest.mark.parametrize("seed", range(5))
def test_a_version_is_in_force_in_time_though_connections_fell_silent(seed):
    """What was sent over them was lost for as long as they were kept."""
    found = settled(seed)
    deafen(found, 1 / 2)
    found.fall_silent()
    found.run(3.0)
    for version in range(2, 8):
        found.publish(version)
        found.run(2.1)
    assert behind(found) == {}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [1 / 2, 0.9])
def test_a_version_is_in_force_in_time_as_connections_fall_silent(seed, share):
    """At that very moment nothing has been sent again yet."""
    found = settled(seed)
    deafen(found, share)
    for version in range(2, 8):
        found.fall_silent()
        found.publish(version)
        found.run(2.1)
    lags = found.lags().values()
    assert max(lags) <= AT_THAT_MOMENT


def test_versions_that_follow_quickly_leave_nobody_behind():
    found = settled()
    deafen(found, 1 / 2)
    for version in range(2, 40):
        found.publish(version)
        found.run(0.1)
    found.run(2.0)
    assert behind(found) == {}


@pytest.mark.parametrize("seed", range(5))
def test_one_that_starts_while_the_store_is_silent_begins_with_the_newest(seed):
    """It knows nobody, and half of those that find it are behind themselves."""
    found = settled(seed)
    found.cut.add("p3")
    del found.node_by_name["p3"]
    found.run(60.0)
    deafen(found, 1 / 2)
    found.cut.clear()
    started = found.clock.now
    found.start("p3").deaf = True
    for version in range(2, 7):
        found.publish(version)
        found.run(0.5)
    found.run(gossip.DEAD_PING_PERIOD + IN_FORCE_WITHIN)
    first = min(
        at
        for (name, _), at in found.taken.items()
        if name == "p3" and at > started
    )
    assert first - started <= gossip.DEAD_PING_PERIOD + IN_FORCE_WITHIN
    assert found.node_by_name["p3"].version == 6
    assert {key for key in behind(found) if key[0] != "p3"} == set()


def test_one_that_was_cut_off_is_not_behind_for_long():
    found = settled()
    found.node_by_name["p3"].deaf = True
    found.cut.add("p3")
    found.publish(2)
    found.run(5.0)
    found.fall_silent()
    found.cut.clear()
    found.run(dissemination.RETRY_MAX + fleet.TICK)
    assert found.node_by_name["p3"].version == 2


def test_nothing_is_sent_again_once_all_have_a_version():
    """What is told of a version is told once where the store told all."""
    found = settled()
    before = found.count_by_kind.copy()
    found.publish(2)
    found.run(5.0)
    sent = found.count_by_kind - before
    told = PROCESSES * len(dissemination.RING_DISTANCES)
    assert sent["CatalogVersion"] == told
    assert sent["CatalogRequest"] == sent["CatalogOffer"] == 0


class Rig:
    """One process among others, and what it sends them."""

    def __init__(self, *others: str, version: int = 1):
        self.now = 100.0
        self.directory = membership.Directory(
            helper.info("own"), membership.FULL_MEMBERSHIP_LIMIT
        )
        self.active_catalog = catalog.ActiveCatalog()
        self.decisions = dissemination.Dissemination(
            self.directory,
            self.active_catalog,
            store_readers.StoreReaders(self.directory),
        )
        for name in others:
            self.hear(name, config=version)
        self.take(version)

    def hear(self, name: str, boot: int = 1, config: int = 0) -> None:
        """Another process is known to have a version."""
        info = helper.info(name, boot=boot, config=config, started=float(boot))
        self.directory.apply_direct(info, self.now)

    def take(self, version: int) -> list[gossip.Send]:
        """A version comes into force here."""
        found = catalog.Catalog(
            version, routing.Table(()), {}, catalog.DEFAULT_LIMITS, b"record"
        )
        self.active_catalog.offer(found, "store", self.now)
        return self.tick()

    def tick(self, after: float = 0.0) -> list[gossip.Send]:
        """Lets time pass."""
        self.now += after
        return self.decisions.tick(self.now)

    def next_sends(self) -> list[gossip.Send]:
        """Lets time pass until something is sent, a minute at most."""
        for _ in range(1200):
            sends = self.tick(0.05)
            if sends:
                break
        return sends

    def told(self, name: str, version: int, **fields) -> list[gossip.Send]:
        """Another process tells its version."""
        sender = messages.Sender(name, name)
        fields = {"boot": 1, "age": 0.0, **fields}
        message = messages.CatalogVersion(sender, version=version, **fields)
        return self.decisions.receive(message, self.now)

    def asked(
        self, name: str, version: int, is_retry: bool
    ) -> list[gossip.Send]:
        """Another process asks for a newer version."""
        sender = messages.Sender(name, name)
        request = messages.CatalogRequest(sender, 1, version, is_retry)
        return self.decisions.receive(request, self.now)


def kinds(sends: list[gossip.Send]) -> list[str]:
    return [type(send.message).__name__ for send in sends]


def test_what_is_not_confirmed_is_sent_again_over_new_connections():
    rig = Rig("peer")
    rig.take(2)
    assert rig.tick(dissemination.PEER_FALLBACK_DELAY - 0.01) == []
    (first,) = rig.tick(0.01)
    assert (first.message.confirm, first.new_connection) == (True, False)
    pauses = []
    steady = dissemination.RETRIES_BEFORE_BACKOFF
    for _ in range(steady + 6):
        before = rig.now
        (again,) = rig.next_sends()
        assert again.new_connection and again.message.is_retry
        pauses.append(rig.now - before)
    for pause in pauses[:steady]:
        assert pause == pytest.approx(dissemination.RETRY_INITIAL, abs=0.06)
    assert pauses[-1] == pytest.approx(dissemination.RETRY_MAX, abs=0.06)
    rig.told("peer", 2)
    assert rig.tick(60.0) == []


def test_one_after_the_other_is_asked_over_new_connections():
    rig = Rig("a", "b")
    assert rig.told("a", 2) == rig.told("b", 2) == []
    asked = [send for _ in range(4) for send in rig.next_sends()]
    assert kinds(asked) == ["CatalogRequest"] * 4
    assert [send.new_connection for send in asked] == [False, True, True, True]
    assert [send.message.is_retry for send in asked] == [
        False,
        True,
        True,
        True,
    ]
    assert [send.address for send in asked] in (
        ["a", "b", "a", "b"],
        ["b", "a", "b", "a"],
    )
    rig.take(2)
    assert rig.tick(60.0) == []


def test_what_comes_again_is_answered_over_a_new_connection():
    rig = Rig("peer", version=2)
    (answer,) = rig.told("peer", 2, confirm=True)
    assert not answer.new_connection
    (answer,) = rig.told("peer", 2, confirm=True, is_retry=True)
    assert answer.new_connection
    (offer,) = rig.asked("peer", 1, is_retry=False)
    assert not offer.new_connection
    (offer,) = rig.asked("peer", 1, is_retry=True)
    assert offer.new_connection


def test_one_without_any_version_asks_at_once():
    """It answers nobody before it has one."""
    rig = Rig(version=0)
    assert kinds(rig.told("peer", 2)) == ["CatalogRequest"]


def test_a_version_that_is_old_already_is_asked_for_at_once():
    """The store had its time while it was handed from peer to peer."""
    rig = Rig()
    sends = rig.told("peer", 2, age=dissemination.PEER_FALLBACK_DELAY)
    assert kinds(sends) == ["CatalogRequest"]


def test_a_version_that_is_old_already_is_handed_on_at_once():
    rig = Rig("peer")
    offer = messages.CatalogOffer(
        messages.Sender("other", "other"),
        2,
        b"",
        dissemination.PEER_FALLBACK_DELAY,
    )
    rig.decisions.record_offer(offer, rig.now)
    sends = rig.take(2)
    confirming = [send for send in sends if send.message.confirm]
    assert [send.address for send in confirming] == ["peer"]
    assert confirming[0].message.age == dissemination.PEER_FALLBACK_DELAY


def test_a_peer_that_has_ever_newer_versions_is_asked_in_time():
    """The last of a quick succession is always young."""
    rig = Rig()
    asked = []
    for version in range(2, 12):
        asked += rig.told("peer", version)
        asked += rig.tick(dissemination.PEER_FALLBACK_DELAY / 2)
    assert asked


def test_a_new_run_of_a_process_may_lack_what_the_one_before_had():
    rig = Rig("peer")
    rig.take(2)
    rig.told("peer", 2)
    assert rig.tick(60.0) == []
    rig.hear("peer", boot=2, config=1)
    assert kinds(rig.tick(0.05)) == ["CatalogVersion"]


def test_each_is_watched_by_the_one_before_it():
    """So a version reaches all as long as one has it."""
    names = {f"p{number}" for number in range(20)}
    watched = set()
    for own in names:
        directory = membership.Directory(
            helper.info(own), membership.FULL_MEMBERSHIP_LIMIT
        )
        for name in names - {own}:
            directory.apply_direct(helper.info(name), 0.0)
        decisions = dissemination.Dissemination(
            directory,
            catalog.ActiveCatalog(),
            store_readers.StoreReaders(directory),
        )
        watched.add(decisions.successors()[0])
    assert watched == names


@pytest.mark.parametrize("delayed", [False, True])
def test_a_delayed_word_of_an_earlier_run_does_not_speak_for_the_new(delayed):
    """A ping that a cut held back arrives after its process started again."""
    rig = Rig("peer")
    rig.take(2)
    rig.hear("peer", boot=1000, config=1)
    if delayed:
        late = helper.info("peer", boot=999, config=2, started=999.0)
        rig.directory.apply_direct(late, rig.now)
        rig.decisions.observe(late, rig.now)
    assert kinds(rig.tick(60.0)) == ["CatalogVersion"]


def test_who_tells_an_old_version_hears_of_the_newer_one():
    """It takes this process for a watcher, which does not know it yet."""
    rig = Rig()
    rig.take(2)
    rig.tick(60.0)
    assert kinds(rig.told("peer", 1)) == ["CatalogVersion"]


def test_nothing_is_kept_of_processes_that_are_forgotten():
    rig = Rig(*(f"p{number}" for number in range(100)))
    for name in list(rig.directory.member_by_name):
        rig.told(name, 1)
        rig.directory.mark(name, messages.Liveness.LEFT, rig.now)
    rig.now += membership.DEAD_RETENTION
    rig.directory.expire(rig.now)
    assert rig.directory.member_by_name == {}
    rig.tick(60.0)
    assert rig.decisions._said_by_name == {}
