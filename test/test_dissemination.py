"""Every process activates each configuration version within the time bound.

Guards against reads at the store that hang without an error, and against peers
that push a version too late.
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

# Seconds within which a version must be active. The bound is 2 s; the rest
# allows for delays on a busy instance.
ACTIVE_WITHIN = 1.0
# The same if connections break just as a version appears, so that each hop
# loses a message.
ACTIVE_WITHIN_AFTER_BREAK = 1.5
PROCESSES = 31


def lagging(found: fleet.SimulatedFleet) -> dict[tuple[str, int], float]:
    """Lag by process and version where it exceeds the bound."""
    lags = found.lags()
    return {key: lag for key, lag in lags.items() if lag > ACTIVE_WITHIN}


def settled(seed: int = 1) -> fleet.SimulatedFleet:
    """Creates a fleet that has activated its first version."""
    found = fleet.SimulatedFleet(PROCESSES, seed)
    found.publish(1)
    found.run(3.0)
    return found


def deafen(found: fleet.SimulatedFleet, share: float) -> None:
    """Makes the store stop answering a share of the processes."""
    names = sorted(found.node_by_name)
    for name in found.rng.sample(names, round(share * len(names))):
        found.node_by_name[name].store_unreachable = True


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [1 / 3, 1 / 2, 0.9])
def test_processes_without_store_reads_get_versions_in_time(seed, share):
    found = settled(seed)
    deafen(found, share)
    for version in range(2, 8):
        found.publish(version)
        found.run(2.1)
    assert lagging(found) == {}


@pytest.mark.parametrize("seed", range(5))
def test_versions_spread_in_time_after_connections_break(seed):
    """Messages sent over the broken connections are lost."""
    found = settled(seed)
    deafen(found, 1 / 2)
    found.blackhole_connections()
    found.run(3.0)
    for version in range(2, 8):
        found.publish(version)
        found.run(2.1)
    assert lagging(found) == {}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [1 / 2, 0.9])
def test_versions_spread_in_time_while_connections_break(seed, share):
    """No retry over a new connection has happened yet at that moment."""
    found = settled(seed)
    deafen(found, share)
    for version in range(2, 8):
        found.blackhole_connections()
        found.publish(version)
        found.run(2.1)
    lags = found.lags().values()
    assert max(lags) <= ACTIVE_WITHIN_AFTER_BREAK


def test_versions_in_quick_succession_reach_all_processes():
    found = settled()
    deafen(found, 1 / 2)
    for version in range(2, 40):
        found.publish(version)
        found.run(0.1)
    found.run(2.0)
    assert lagging(found) == {}


@pytest.mark.parametrize("seed", range(5))
def test_process_that_starts_without_store_gets_the_latest_version(seed):
    """The process knows no peers, and half of its peers lag as well."""
    found = settled(seed)
    found.isolated.add("p3")
    del found.node_by_name["p3"]
    found.run(60.0)
    deafen(found, 1 / 2)
    found.isolated.clear()
    started = found.clock.now
    found.start("p3").store_unreachable = True
    for version in range(2, 7):
        found.publish(version)
        found.run(0.5)
    found.run(gossip.DEAD_PING_PERIOD + ACTIVE_WITHIN)
    first = min(
        at
        for (name, _), at in found.applied_at.items()
        if name == "p3" and at > started
    )
    assert first - started <= gossip.DEAD_PING_PERIOD + ACTIVE_WITHIN
    assert found.node_by_name["p3"].version == 6
    assert {key for key in lagging(found) if key[0] != "p3"} == set()


def test_partitioned_process_catches_up_soon():
    found = settled()
    found.node_by_name["p3"].store_unreachable = True
    found.isolated.add("p3")
    found.publish(2)
    found.run(5.0)
    found.blackhole_connections()
    found.isolated.clear()
    found.run(dissemination.MAX_RETRY_DELAY + fleet.TICK_SECONDS)
    assert found.node_by_name["p3"].version == 2


def test_confirmed_version_is_not_sent_again():
    """Each version is reported once if the store notifies every process."""
    found = settled()
    before = found.message_count_by_type.copy()
    found.publish(2)
    found.run(5.0)
    sent = found.message_count_by_type - before
    told = PROCESSES * len(dissemination.RING_DISTANCES)
    assert sent["CatalogVersion"] == told
    assert sent["CatalogRequest"] == sent["CatalogOffer"] == 0


class Rig:
    """A process with peers that records what it sends."""

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
        """Lets a peer send its description."""
        info = helper.info(name, boot=boot, config=config, started=float(boot))
        self.directory.apply_direct(info, self.now)

    def take(self, version: int) -> list[gossip.Send]:
        """Activates a version."""
        found = catalog.Catalog(
            version, routing.Table(()), {}, catalog.DEFAULT_LIMITS, b"record"
        )
        self.active_catalog.offer(found, "store", self.now)
        return self.tick()

    def tick(self, after: float = 0.0) -> list[gossip.Send]:
        """Advances the clock and returns what is sent."""
        self.now += after
        return self.decisions.tick(self.now)

    def next_sends(self) -> list[gossip.Send]:
        """Advances the clock until something is sent, by a minute at most."""
        for _ in range(1200):
            sends = self.tick(0.05)
            if sends:
                break
        return sends

    def told(self, name: str, version: int, **fields) -> list[gossip.Send]:
        """Lets a peer report its version."""
        sender = messages.Sender(name, name)
        fields = {"boot": 1, "age": 0.0, **fields}
        message = messages.CatalogVersion(sender, version=version, **fields)
        return self.decisions.receive(message, self.now)

    def asked(
        self, name: str, version: int, is_retry: bool
    ) -> list[gossip.Send]:
        """Lets a peer request a newer version."""
        sender = messages.Sender(name, name)
        request = messages.CatalogRequest(sender, 1, version, is_retry)
        return self.decisions.receive(request, self.now)


def kinds(sends: list[gossip.Send]) -> list[str]:
    return [type(send.message).__name__ for send in sends]


def test_unconfirmed_version_is_retried_over_new_connections():
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
        assert pause == pytest.approx(
            dissemination.INITIAL_RETRY_DELAY, abs=0.06
        )
    assert pauses[-1] == pytest.approx(dissemination.MAX_RETRY_DELAY, abs=0.06)
    rig.told("peer", 2)
    assert rig.tick(60.0) == []


def test_newer_peers_are_asked_in_rotation_over_new_connections():
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


def test_retries_are_answered_over_a_new_connection():
    rig = Rig("peer", version=2)
    (answer,) = rig.told("peer", 2, confirm=True)
    assert not answer.new_connection
    (answer,) = rig.told("peer", 2, confirm=True, is_retry=True)
    assert answer.new_connection
    (offer,) = rig.asked("peer", 1, is_retry=False)
    assert not offer.new_connection
    (offer,) = rig.asked("peer", 1, is_retry=True)
    assert offer.new_connection


def test_process_without_version_requests_one_at_once():
    """A process cannot serve requests without a configuration."""
    rig = Rig(version=0)
    assert kinds(rig.told("peer", 2)) == ["CatalogRequest"]


def test_old_version_is_requested_at_once():
    """The time for the store passed while peers forwarded the version."""
    rig = Rig()
    sends = rig.told("peer", 2, age=dissemination.PEER_FALLBACK_DELAY)
    assert kinds(sends) == ["CatalogRequest"]


def test_old_version_is_pushed_at_once():
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


def test_peer_with_rapidly_newer_versions_is_asked_in_time():
    """The latest of several quick versions is always recent."""
    rig = Rig()
    asked = []
    for version in range(2, 12):
        asked += rig.told("peer", version)
        asked += rig.tick(dissemination.PEER_FALLBACK_DELAY / 2)
    assert asked


def test_restarted_peer_may_have_an_older_version():
    rig = Rig("peer")
    rig.take(2)
    rig.told("peer", 2)
    assert rig.tick(60.0) == []
    rig.hear("peer", boot=2, config=1)
    assert kinds(rig.tick(0.05)) == ["CatalogVersion"]


def test_every_process_is_the_nearest_successor_of_another():
    """A version therefore reaches every process once one has it."""
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
def test_delayed_report_of_an_earlier_run_is_ignored(delayed):
    """A delayed ping arrives after its sender has restarted."""
    rig = Rig("peer")
    rig.take(2)
    rig.hear("peer", boot=1000, config=1)
    if delayed:
        late = helper.info("peer", boot=999, config=2, started=999.0)
        rig.directory.apply_direct(late, rig.now)
        rig.decisions.observe(late, rig.now)
    assert kinds(rig.tick(60.0)) == ["CatalogVersion"]


def test_peer_that_reports_an_old_version_is_sent_the_newer():
    """The peer knows this process before this process knows it."""
    rig = Rig()
    rig.take(2)
    rig.tick(60.0)
    assert kinds(rig.told("peer", 1)) == ["CatalogVersion"]


def test_state_of_forgotten_processes_is_dropped():
    rig = Rig(*(f"p{number}" for number in range(100)))
    for name in list(rig.directory.member_by_name):
        rig.told(name, 1)
        rig.directory.mark(name, messages.Liveness.LEFT, rig.now)
    rig.now += membership.DEAD_RETENTION
    rig.directory.expire(rig.now)
    assert rig.directory.member_by_name == {}
    rig.tick(60.0)
    assert rig.decisions._reported_by_name == {}
