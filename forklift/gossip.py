"""SWIM gossip: failure detection, rumors and anti-entropy sync.

Updates spread as rumors (Das, Gupta and Motivala, "SWIM", 2002). A suspected
process learns of the suspicion and refutes it with a higher incarnation, so a
one-way partition between two processes takes neither out of service. Each
process gossips with a bounded set of peers.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable

from forklift import membership
from forklift import messages
from forklift import rendezvous

# Returns the digest of the quarantine of this process.
Digest = Callable[[], int]
Liveness = messages.Liveness

# All periods and timeouts are in seconds.
MAX_PEERS = 48
PING_PERIOD = 1.0
PONG_TIMEOUT = 1.0
MISSES_BEFORE_SUSPECT = 2
EXPIRY_PERIOD = 0.5
# Seconds between pings to dead members. These pings find a process that
# restarts at the same address while the store is unavailable.
DEAD_PING_PERIOD = 1.0
# Keeps a ping within one datagram; further rumors are sent with the next ping.
# When all processes start at once, each has rumors about all.
MAX_RUMORS_PER_PING = 24
# Minimum time between rounds of gossip; updates in between are batched.
GOSSIP_PERIOD = 0.15
# Number of peers that receive the rumors of one round of gossip.
FAN_OUT = 3
# Number of transmissions of a rumor, as a multiple of log2 of the fleet size.
RETRANSMIT_FACTOR = 1
SYNC_PERIOD = 5.0
# Seconds without gossip after which differing digests trigger a sync. Before,
# rumors may still be spreading.
SYNC_SETTLE_TIME = 2.0
MAX_RUMORS_PER_SYNC = 100


@dataclasses.dataclass(frozen=True)
class Send:
    """A control message to send.

    Attributes:
        address: Control address of the receiver.
        message: The message.
        new_connection: Whether to open a new connection, as the old one may be
            broken: an earlier message on it was not answered.
    """

    address: str
    message: messages.Control
    new_connection: bool = False


class Gossip:
    """Decides which gossip messages to send to which peers."""

    def __init__(
        self,
        directory: membership.Directory,
        rng: random.Random,
        quarantine_digest: Digest = lambda: 0,
    ):
        self.directory = directory
        self._quarantine_digest = quarantine_digest
        self._rng = rng
        self._number = 0
        self._round: list[str] = []
        self._pending_by_number: dict[int, tuple[str, float]] = {}
        self._misses_by_name: collections.Counter[str] = collections.Counter()
        self._transmits_by_name: dict[str, int] = {}
        self._next_ping = 0.0
        self._next_dead_ping = 0.0
        self._next_gossip = 0.0
        self._has_rumors = False
        self._last_gossip = float("-inf")
        self._next_sync = 0.0
        self._next_expiry = 0.0
        self._peers: list[str] = []
        self._peers_version = -1

    def peers(self) -> list[str]:
        """Names of the peers that are pinged, at most `MAX_PEERS`."""
        if self._peers_version != self.directory.membership_version:
            names = [
                name
                for name, member in self.directory.member_by_name.items()
                if member.usable and self.directory.gossips_with(member.info)
            ]
            self._peers = names
            if len(names) > MAX_PEERS:
                own = self.directory.own.name
                self._peers = rendezvous.select(own, names, MAX_PEERS)
            self._peers_version = self.directory.membership_version
        return self._peers

    @property
    def has_pending_rumors(self) -> bool:
        """Whether the next round of gossip has rumors to send."""
        return self._has_rumors

    def tick(self, now: float) -> list[Send]:
        """Returns the messages that are due.

        Args:
            now: Monotonic seconds.
        """
        sends, rumors = self._check_timeouts(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD
            rumors += self.directory.expire(now)
        for rumor in rumors:
            self.queue_rumor(rumor.info.name)
        sends += self._gossip_if_due(now)
        if now >= self._next_ping:
            self._next_ping = now + PING_PERIOD
            sends += self._ping_next(now)
        if now >= self._next_dead_ping:
            self._next_dead_ping = now + DEAD_PING_PERIOD
            sends += self._ping_dead(now)
        return sends

    def _ping_dead(self, now: float) -> list[Send]:
        """Pings one random dead or departed member."""
        dead = [
            name
            for name, member in self.directory.member_by_name.items()
            if not member.usable
        ]
        if not dead:
            return []
        return [self._ping(self._rng.choice(dead), now)]

    def queue_rumor(self, name: str) -> None:
        """Queues a rumor about a process for gossip and later pings."""
        members = len(self.directory.member_by_name) + 2
        transmits = math.ceil(RETRANSMIT_FACTOR * math.log2(members))
        self._transmits_by_name[name] = transmits
        self._has_rumors = True

    def _gossip_if_due(self, now: float) -> list[Send]:
        if not self._has_rumors or now < self._next_gossip:
            return []
        self._has_rumors = False
        self._last_gossip = now
        self._next_gossip = now + GOSSIP_PERIOD
        return [self._ping(peer) for peer in self._choose_gossip_peers()]

    def _choose_gossip_peers(self) -> list[str]:
        """Chooses peers for gossip: one at random, the others in this domain.

        Traffic between failure domains is expensive, and one peer in each
        domain is enough to reach the others there.
        """
        peers = self.peers()
        if not peers:
            return []
        chosen = [self._rng.choice(peers)]
        others = [name for name in peers if name not in chosen]
        near = [name for name in others if self._in_same_domain(name)]
        pool = near if len(near) >= FAN_OUT - 1 else others
        count = min(FAN_OUT - 1, len(pool))
        return chosen + self._rng.sample(pool, count)

    def _in_same_domain(self, name: str) -> bool:
        info = self.directory.member_by_name[name].info
        return info.domain == self.directory.own.domain

    def receive(self, message: messages.Control, now: float) -> list[Send]:
        """Handles a ping, pong or sync and returns the replies."""
        sends: list[Send] = []
        described = isinstance(message.sender, messages.ProcessInfo)
        if described and self.directory.apply_direct(message.sender, now):
            self.queue_rumor(message.sender.name)
        for rumor in getattr(message, "rumors", ()):
            if self.directory.apply(rumor, now):
                self.queue_rumor(rumor.info.name)
        back = message.sender.control
        if isinstance(message, messages.Ping) and message.wants_answer:
            pong = messages.Pong(
                messages.sender_of(self.directory.own),
                message.number,
                self.directory.digest(),
                self._rumors(),
                self._quarantine_digest(),
            )
            sends.append(Send(back, pong, message.is_retry))
        elif isinstance(message, messages.Pong):
            self._pending_by_number.pop(message.number, None)
            self._misses_by_name.pop(message.sender.name, None)
            sends += self._sync_if_differs(message, now)
        elif isinstance(message, messages.SyncRequest):
            parts = self._sync_replies(membership.services(message.sender))
            sends += [Send(back, part) for part in parts]
        return sends

    def join(self, address: str) -> Send:
        """Requests a full sync from a process known only by its address."""
        return Send(address, self._sync_request())

    def _sync_request(self) -> messages.SyncRequest:
        return messages.SyncRequest(
            self.directory.own, self._quarantine_digest()
        )

    def leave(self) -> list[Send]:
        """Returns messages that announce that this process leaves."""
        own = self.directory.own
        rumor = messages.Rumor(Liveness.LEFT, own)
        sends = []
        for name in self.peers()[: FAN_OUT * 4]:
            address = self.directory.member_by_name[name].info.control
            ping = messages.Ping(
                own,
                0,
                0.0,
                0,
                (rumor,),
                evidence_digest=self._quarantine_digest(),
            )
            sends.append(Send(address, ping))
        return sends

    def _check_timeouts(
        self, now: float
    ) -> tuple[list[Send], list[messages.Rumor]]:
        """Handles pings that timed out.

        Returns:
            Pings to retry, and rumors about newly suspected members.
        """
        sends, rumors = [], []
        for number, (name, until) in list(self._pending_by_number.items()):
            if now < until:
                continue
            del self._pending_by_number[number]
            self._misses_by_name[name] += 1
            if name in self.directory.member_by_name:
                # Retries on a new connection: the old one may be broken.
                sends.append(self._ping(name, now, is_retry=True))
            if self._misses_by_name[name] < MISSES_BEFORE_SUSPECT:
                continue
            if self.directory.mark(name, Liveness.SUSPECT, now):
                rumors.append(self.directory.rumor(name))
        for name in list(self._misses_by_name):
            member = self.directory.member_by_name.get(name)
            if member is None or not member.usable:
                del self._misses_by_name[name]
        return sends, rumors

    def _ping_next(self, now: float) -> list[Send]:
        if not self._round:
            self._round = list(self.peers())
            self._rng.shuffle(self._round)
        while self._round:
            name = self._round.pop()
            member = self.directory.member_by_name.get(name)
            if member is not None and member.usable:
                ping = self._ping(name, now)
                waiting = (name, now + PONG_TIMEOUT)
                self._pending_by_number[self._number] = waiting
                return [ping]
        return []

    def _ping(
        self, name: str, now: float | None = None, is_retry: bool = False
    ) -> Send:
        """Creates a ping; without `now` it requests no reply."""
        self._number += 1
        ping = messages.Ping(
            self.directory.own,
            self._number,
            now or 0.0,
            self.directory.digest(),
            self._rumors(about=name),
            is_retry,
            self._quarantine_digest(),
        )
        address = self.directory.member_by_name[name].info.control
        return Send(address, ping, is_retry)

    def _rumors(self, about: str = "") -> tuple[messages.Rumor, ...]:
        """Takes queued rumors for a message.

        Args:
            about: Name of the receiver. If it is not considered alive, a rumor
                about it is included, so that it can refute it.
        """
        rumors = []
        member = self.directory.member_by_name.get(about)
        if member is not None and member.liveness is not Liveness.ALIVE:
            rumors.append(self.directory.rumor(about))
        fresh = sorted(
            self._transmits_by_name,
            key=self._transmits_by_name.__getitem__,
            reverse=True,
        )
        for name in fresh[:MAX_RUMORS_PER_PING]:
            self._transmits_by_name[name] -= 1
            if self._transmits_by_name[name] <= 0:
                del self._transmits_by_name[name]
            rumor = self.directory.rumor(name)
            if rumor is not None and name != self.directory.own.name:
                rumors.append(rumor)
        return tuple(rumors)

    def _sync_if_differs(
        self, message: messages.Pong, now: float
    ) -> list[Send]:
        same = message.digest == self.directory.digest()
        own = membership.services(self.directory.own)
        member = self.directory.member_by_name.get(message.sender.name)
        if not self.directory.tracks_all:
            # Digests are comparable only between processes with equal services.
            same = same or member is None
            same = same or membership.services(member.info) != own
        settling = now - self._last_gossip < SYNC_SETTLE_TIME
        if same or settling or now < self._next_sync:
            return []
        self._next_sync = now + SYNC_PERIOD
        return [Send(message.sender.control, self._sync_request())]

    def _sync_replies(self, wanted: frozenset[str]) -> list[messages.SyncReply]:
        """Returns sync replies with the usable members of given services.

        Args:
            wanted: Names of the services; all members are included if it is
                empty.
        """
        own = self.directory.own
        rumors = [
            messages.Rumor(member.liveness, member.info)
            for member in self.directory.member_by_name.values()
            if member.liveness <= Liveness.SUSPECT
            and (
                not wanted
                or self.directory.tracks_all
                or wanted & membership.services(member.info)
            )
        ]
        parts = []
        for start in range(0, max(1, len(rumors)), MAX_RUMORS_PER_SYNC):
            part = tuple(rumors[start : start + MAX_RUMORS_PER_SYNC])
            parts.append(messages.SyncReply(own, part))
        return parts
