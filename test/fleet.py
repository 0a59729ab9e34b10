"""Simulates how membership and configurations spread through a fleet.

Each process runs the real control protocols on simulated time. The simulated
network delays messages. It can also blackhole a connection: messages on it are
lost without an error until the sender opens a new connection.
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

# Seconds between two ticks of a process whose control protocols are active.
TICK_SECONDS = ticker.BUSY_INTERVAL
# Number of failure domains.
DOMAIN_COUNT = 3
# Seconds that the network takes to deliver a message.
LATENCY_SECONDS = 0.0015


class Node:
    """A simulated process.

    Attributes:
        store_unreachable: Whether the process misses what the store publishes.
        next_tick_at: Simulated time of the next tick, in seconds.
        tick_number: Number of the next tick; ticks with another number have
            been rescheduled and are ignored.
    """

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
        self.next_tick_at = 0.0
        self.tick_number = 0

    @property
    def version(self) -> int:
        """The configuration version that this process applies."""
        return self.active_catalog.catalog.version

    def receive_record(self, data: bytes, source: str = "store") -> None:
        """Applies a configuration record if it is newer than the active one."""
        new_catalog = catalog.Catalog(
            int(data), routing.Table(()), {}, catalog.DEFAULT_LIMITS, data
        )
        now = self.fleet.clock.now
        if self.active_catalog.offer(new_catalog, source, now):
            self.directory.update_own(config=new_catalog.version)
            self.fleet.applied_at[self.name, new_catalog.version] = now
            self.fleet.schedule_tick(self, 0.0)

    def _send(
        self,
        address: str,
        message: messages.Control,
        new_connection: bool = False,
    ) -> bool:
        return self.fleet.send(self.name, address, message, new_connection)


class SimulatedFleet:
    """Simulated processes, the network between them and the store."""

    def __init__(self, count: int, seed: int = 1):
        self.clock = helper.FakeClock()
        self.rng = random.Random(seed)
        self.node_by_name: dict[str, Node] = {}
        # Pairs of sender and receiver whose connection loses all messages.
        self.blackholed: set[tuple[str, str]] = set()
        # Processes that can neither send nor receive messages.
        self.isolated: set[str] = set()
        # Fraction of messages that the network loses.
        self.loss_rate = 0.0
        # Time at which a process applied a version, by process and version.
        self.applied_at: dict[tuple[str, int], float] = {}
        # Time at which the store acknowledged a version, by version.
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
        """Starts a process, or restarts it under the same name."""
        boot = 1 + next(self._sequence)
        node = Node(self, name, boot)
        self.node_by_name[name] = node
        node.next_tick_at = self.clock.now + ticker.IDLE_INTERVAL
        self.schedule_tick(node, self.rng.uniform(0.0, TICK_SECONDS))
        return node

    def schedule_tick(self, node: Node, seconds: float) -> None:
        """Moves the next tick of a process forward to at most this delay."""
        at = self.clock.now + seconds
        if at < node.next_tick_at:
            self._schedule_tick_at(node, at)

    def _schedule_tick_at(self, node: Node, at: float) -> None:
        node.next_tick_at = at
        node.tick_number += 1
        number = node.tick_number
        self._schedule(at - self.clock.now, lambda: self._tick(node, number))

    def publish(self, version: int) -> None:
        """Stores a version and notifies the processes that read the store."""
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
        """Makes every open connection lose what is sent over it."""
        names = list(self.node_by_name)
        self.blackholed = set(itertools.permutations(names, 2))

    def send(
        self, sender: str, receiver: str, message: object, new_connection: bool
    ) -> bool:
        """Sends a message, which may be lost without an error.

        Args:
            sender: Name of the sending process.
            receiver: Name of the receiving process.
            message: Control message.
            new_connection: Whether to replace the connection first.

        Returns:
            Always True, as a lost message is not noticed by its sender.
        """
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
        """Advances simulated time and runs the events that become due."""
        end = self.clock.now + seconds
        while self._events and self._events[0][0] <= end:
            self.clock.now, _, callback = heapq.heappop(self._events)
            callback()
        self.clock.now = end

    def lags(self) -> dict[tuple[str, int], float]:
        """Returns how long each version took to reach each process.

        A later version counts too. For a version that has not reached a
        process, the lag is the time from its acknowledgement until now.

        Returns:
            Seconds since the acknowledgement, by process and version.
        """
        lags = {}
        for version, acknowledged_at in self.acknowledged_at.items():
            for name in self.node_by_name:
                reached = [
                    at
                    for (owner, version_applied), at in self.applied_at.items()
                    if owner == name and version_applied >= version
                ]
                at = min(reached, default=self.clock.now)
                lags[name, version] = max(0.0, at - acknowledged_at)
        return lags

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
