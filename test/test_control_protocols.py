"""What neighbours tell each other beside news of members."""

import random
import types
import zlib

from forklift import catalog
from forklift import dissemination
from forklift import gossip
from forklift import load_balancer
from forklift import membership
from forklift import messages
from forklift import policy
from forklift import routing
from forklift.shell import control_protocols
from test import fleet
from test import helper


class Rig:
    """Neighbours of one process, with what they send kept."""

    def __init__(self):
        self.clock = helper.FakeClock()
        self.active_catalog = catalog.ActiveCatalog()
        self.sent: list[messages.Control] = []
        rng = random.Random(1)
        bounds = load_balancer.RetryBudgetLimits()
        self.control_protocols = control_protocols.ControlProtocols(
            helper.info("own"),
            rng,
            self.clock,
            self.active_catalog,
            load_balancer.LoadBalancer(
                "own", "d", rng, policy.BUILT_IN.program, bounds
            ),
            types.SimpleNamespace(by_name={}),
            lambda address, message, renew: self.sent.append(message),
            lambda record, source: None,
            lambda name: None,
        )

    def publish(self, version: int) -> None:
        """A version comes into force here."""
        found = catalog.Catalog(
            version, routing.Table(()), {}, catalog.DEFAULT_LIMITS, b"record"
        )
        self.active_catalog.offer(found, "store", self.clock.monotonic())

    def hear(self, config: int) -> list[int]:
        """A peer with a version pings; the versions that it is told of."""
        self.sent.clear()
        peer = helper.info("peer", config=config)
        self.control_protocols.receive(messages.Ping(peer, 1, 0.0, 0, ()))
        return [
            message.version
            for message in self.sent
            if isinstance(message, messages.CatalogVersion)
        ]

    def ask(self, config: int) -> list[int]:
        """A peer with a version asks for a newer; the versions it is given."""
        self.sent.clear()
        peer = messages.Sender("peer", "peer")
        self.control_protocols.receive(messages.CatalogRequest(peer, 1, config))
        return [
            message.version
            for message in self.sent
            if isinstance(message, messages.CatalogOffer)
        ]


def test_a_peer_that_is_behind_is_handed_the_version_in_force():
    rig = Rig()
    rig.publish(2)
    rig.control_protocols.tick(rig.clock.monotonic())
    assert rig.hear(config=1) == []
    rig.clock.now += dissemination.PEER_FALLBACK_DELAY
    assert rig.hear(config=2) == []
    assert rig.hear(config=1) == [2]
    assert rig.ask(config=2) == []
    assert rig.ask(config=1) == [2]


def test_one_that_knows_no_version_is_told_at_once():
    rig = Rig()
    rig.publish(2)
    assert rig.hear(config=0) == [2]


def test_a_quick_succession_of_versions_leaves_no_peer_behind():
    """One that could not reach the store was behind for 2.1 s, as the last
    version was never old enough to be handed on."""
    rig = Rig()
    rig.publish(1)
    told = []
    for version in range(2, 12):
        rig.clock.now += dissemination.PEER_FALLBACK_DELAY / 2
        rig.publish(version)
        rig.control_protocols.tick(rig.clock.monotonic())
        told += rig.hear(config=1)
    assert told


def test_an_unanswered_ping_is_sent_again_over_a_new_connection():
    """A connection that fell silent takes messages for minutes, and nothing
    about it changed when answers were missing."""
    found = fleet.Fleet(2)
    found.fall_silent()
    found.run(2 * (gossip.PING_PERIOD + gossip.PONG_TIMEOUT))
    assert found.silent == set()


def test_a_ping_that_came_again_is_answered_over_a_new_connection():
    found = gossip.Gossip(
        membership.Directory(helper.info("own")), random.Random(1)
    )
    for again in (False, True):
        ping = messages.Ping(helper.info("peer"), 1, 1.0, 0, (), again)
        (pong,) = found.receive(ping, 1.0)
        assert pong.new_connection is again


def test_a_version_that_was_handed_over_is_told_on_in_the_same_turn():
    """With its age, so that nobody leaves it to the store once more."""
    found = fleet.Fleet(3)
    told = []
    found.send = lambda sender, receiver, message, renew: told.append(message)
    offer = messages.CatalogOffer(
        messages.Sender("p1", "p1"), 2, zlib.compress(b"2"), 1.5
    )
    found.node_by_name["p0"].control_protocols.receive(offer)
    versions = [one for one in told if isinstance(one, messages.CatalogVersion)]
    assert [(one.version, one.age) for one in versions if one.confirm]
    assert {(one.version, one.age) for one in versions} == {(2, 1.5)}
