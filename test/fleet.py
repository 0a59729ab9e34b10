"""A fleet of neighbours on simulated time: who hears of which version when.

Each process has the real decisions of membership and of handing configurations
on. The network between them delays messages, and a connection may fall silent:
what is sent over it is lost, without a sign, until the sender opens a new one.
"""

import collections
import heapq
import itertools
import random
import types

from forklift import catalog
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import quarantine
from forklift import routing
from forklift.shell import control_protocols
from forklift.shell import ticker
from test import helper

# Seconds between two ticks of a process that has something to tell.
TICK_SECONDS = ticker.BUSY_INTERVAL
# Failure domains.
DOMAIN_COUNT = 3
# Seconds that a message takes.
LATENCY_SECONDS = 0.0015


class Node:
    """One process of the fleet."""

    def __init__(self, fleet: "SimulatedFleet", name: str, boot: int):
        self.fleet = fleet
        self.name = name
        self.store_unreachable = False
        self.active_catalog = catalog.ActiveCatalog()
        self.quarantine = quarantine.Quarantine()
        rng = random.Random(boot)
        self.control_protocols = control_protocols.ControlProtocols(
            helper.info(
                name,
                boot=boot,
                started=fleet.clock.now,
                domain=f"d{boot % DOMAIN_COUNT}",
            ),
            rng,
            fleet.clock,
            self.active_catalog,
            load_balancer.LoadBalancer(
                name,
                "d",
                rng,
                policy.BUILT_IN.service_policy,
                load_balancer.RetryBudgetLimits(),
            ),
            types.SimpleNamespace(by_name={}),
            self._send,
            self.receive_record,
            lambda target: None,
            self.quarantine,
        )
        self.directory = self.control_protocols.directory
        # When it ticks next, and the number of that tick: an earlier one that
        # was put off is none any more.
        self.next_tick_at = 0.0
        self.tick_number = 0

    @property
    def version(self) -> int:
        """The version in force here."""
        return self.active_catalog.catalog.version

    def receive_record(self, data: bytes, source: str = "store") -> None:
        """A record of the configuration was read."""
        found = catalog.Catalog(
            int(data), routing.Table(()), {}, catalog.DEFAULT_LIMITS, data
        )
        now = self.fleet.clock.now
        if self.active_catalog.offer(found, source, now):
            self.directory.update_own(config=found.version)
            self.fleet.applied_at[self.name, found.version] = now
            self.fleet.schedule_tick(self, 0.0)

    def _send(
        self,
        address: str,
        message: messages.Control,
        new_connection: bool = False,
    ) -> bool:
        return self.fleet.send(self.name, address, message, new_connection)


class SimulatedFleet:
    """Processes, the network between them, and a store that some hear."""

    def __init__(self, count: int, seed: int = 1):
        self.clock = helper.FakeClock()
        self.rng = random.Random(seed)
        self.node_by_name: dict[str, Node] = {}
        # Connections, by sender and receiver, that lose what is sent.
        self.blackholed: set[tuple[str, str]] = set()
        # Processes that can't be reached and send nothing.
        self.isolated: set[str] = set()
        # Share of messages that are lost.
        self.loss_rate = 0.0
        # When a process took a version, by both.
        self.applied_at: dict[tuple[str, int], float] = {}
        # When the store acknowledged a version.
        self.acknowledged_at: dict[int, float] = {}
        self.message_count_by_type: collections.Counter[str] = (
            collections.Counter()
        )
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        for number in range(count):
            self.start(f"p{number}")
        for node in self.node_by_name.values():
            for peer in self.node_by_name.values():
                if peer is not node:
                    node.directory.apply_direct(
                        peer.directory.own, self.clock.now
                    )
        self.run(2.0)

    def start(self, name: str) -> Node:
        """Starts a process, or a new run of it."""
        boot = 1 + next(self._sequence)
        node = Node(self, name, boot)
        self.node_by_name[name] = node
        node.next_tick_at = self.clock.now + ticker.IDLE_INTERVAL
        self.schedule_tick(node, self.rng.uniform(0.0, TICK_SECONDS))
        return node

    def schedule_tick(self, node: Node, seconds: float) -> None:
        """A process ticks so soon at the latest, as what nudges it has it."""
        at = self.clock.now + seconds
        if at < node.next_tick_at:
            self._schedule_tick_at(node, at)

    def _schedule_tick_at(self, node: Node, at: float) -> None:
        node.next_tick_at = at
        node.tick_number += 1
        number = node.tick_number
        self._schedule(at - self.clock.now, lambda: self._tick(node, number))

    def publish(self, version: int) -> None:
        """The store takes a version and tells those that wait for one."""
        self.acknowledged_at[version] = self.clock.now
        for node in self.node_by_name.values():
            if (
                not node.store_unreachable
                and node.control_protocols.readers.includes_self
            ):
                self._schedule(
                    self.rng.uniform(0.004, 0.02),
                    lambda node=node: node.receive_record(
                        str(version).encode()
                    ),
                )

    def blackhole_connections(self) -> None:
        """Every connection that is open now loses what is sent over it."""
        names = list(self.node_by_name)
        self.blackholed = set(itertools.permutations(names, 2))

    def send(
        self, sender: str, receiver: str, message: object, new_connection: bool
    ) -> bool:
        """Carries a message."""
        self.message_count_by_type[type(message).__name__] += 1
        connection = (sender, receiver)
        if new_connection:
            self.blackholed.discard(connection)
        if self.loss_rate and self.rng.random() < self.loss_rate:
            return True
        if connection not in self.blackholed and not self.isolated & {
            sender,
            receiver,
        }:
            self._schedule(
                LATENCY_SECONDS, lambda: self._deliver(receiver, message)
            )
        return True

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.clock.now + seconds
        while self._events and self._events[0][0] <= end:
            self.clock.now, _, callback = heapq.heappop(self._events)
            callback()
        self.clock.now = end

    def lags(self) -> dict[tuple[str, int], float]:
        """Seconds from each acknowledgement until it, or a later, was taken.

        Of a version that a process never came to, the time until now.
        """
        found = {}
        for version, since in self.acknowledged_at.items():
            for name in self.node_by_name:
                reached = [
                    at
                    for (owner, taken), at in self.applied_at.items()
                    if owner == name and taken >= version
                ]
                at = min(reached, default=self.clock.now)
                found[name, version] = max(0.0, at - since)
        return found

    def _schedule(self, delay: float, callback) -> None:
        entry = (self.clock.now + delay, next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def _tick(self, node: Node, number: int) -> None:
        current = self.node_by_name.get(node.name) is node
        if not current or node.tick_number != number:
            return
        active = node.control_protocols.is_active(self.clock.now)
        interval = TICK_SECONDS if active else ticker.IDLE_INTERVAL
        self._schedule_tick_at(node, self.clock.now + interval)
        node.control_protocols.tick(self.clock.now)

    def _deliver(self, receiver: str, message: object) -> None:
        node = self.node_by_name.get(receiver)
        if node is not None and receiver not in self.isolated:
            node.control_protocols.receive(message)
            if node.control_protocols.is_active(self.clock.now):
                self.schedule_tick(node, TICK_SECONDS)
