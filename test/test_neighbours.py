"""What neighbours tell each other beside news of members."""

import random
import types

from forklift import catalog
from forklift import chooser
from forklift import gossip
from forklift import messages
from forklift import policy
from forklift import routing
from forklift.shell import neighbours
from test import helper


class Rig:
    """Neighbours of one process, with what they send kept."""

    def __init__(self):
        self.clock = helper.FakeClock()
        self.in_force = catalog.InForce()
        self.sent: list[messages.Control] = []
        rng = random.Random(1)
        bounds = chooser.BudgetBounds()
        self.neighbours = neighbours.Neighbours(
            helper.info("own"),
            rng,
            self.clock,
            self.in_force,
            chooser.Chooser("own", "d", rng, policy.BUILT_IN.program, bounds),
            types.SimpleNamespace(site_by_target={}),
            lambda address, message: self.sent.append(message),
            lambda record, source: None,
            lambda name: None,
        )

    def publish(self, version: int) -> None:
        """A version comes into force here."""
        found = catalog.Catalog(
            version, routing.Table(()), {}, catalog.DEFAULT_LIMITS, b"record"
        )
        self.in_force.offer(found, "store", self.clock.monotonic())

    def hear(self, config: int) -> list[int]:
        """A peer with a version pings; the versions that it is offered."""
        self.sent.clear()
        peer = helper.info("peer", config=config)
        self.neighbours.receive(messages.Ping(peer, 1, 0.0, 0, ()))
        offers = [
            message
            for message in self.sent
            if isinstance(message, messages.CatalogOffer)
        ]
        return [offer.version for offer in offers]


def test_a_peer_that_is_behind_is_handed_the_version_in_force():
    rig = Rig()
    rig.publish(2)
    assert rig.hear(config=1) == []
    rig.clock.now += neighbours.OFFER_AGE
    assert rig.hear(config=2) == []
    assert rig.hear(config=1) == [2]


def test_a_quick_succession_of_versions_leaves_no_peer_behind():
    """One that could not reach the store was behind for 2.1 s, as the last
    version was never old enough to be handed on."""
    rig = Rig()
    rig.publish(1)
    offered = []
    for version in range(2, 12):
        rig.clock.now += neighbours.OFFER_AGE / 2
        rig.publish(version)
        offered += rig.hear(config=1)
    assert offered


def test_who_can_not_reach_the_store_pings_more_often():
    def pings(alone: bool) -> int:
        rig = Rig()
        for number in range(3):
            rig.neighbours.gossip.directory.hear(helper.info(f"p{number}"), 0.0)
        rig.neighbours.gossip.alone = alone
        steps = [0.05 * step for step in range(200)]
        sends = [rig.neighbours.gossip.tick(now) for now in steps]
        return sum(
            isinstance(send.message, messages.Ping) and send.message.sent > 0
            for one in sends
            for send in one
        )

    assert pings(alone=True) > 1.5 * pings(alone=False)
    assert gossip.PING_PERIOD_ALONE < gossip.PING_PERIOD
