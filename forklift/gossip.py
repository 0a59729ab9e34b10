"""Decides whom to tell what: pings, rumors, syncs.

News spreads as rumors (Das, Gupta and Motivala, "SWIM", 2002): a process that
is suspected anywhere hears of it and refutes it with a higher incarnation, so
that a one-way cut between two processes takes nobody out. Each process talks
to a bounded set of peers only.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable

from forklift import membership
from forklift import messages
from forklift import rendezvous

# What tells the digest of this process's quarantine.
Digest = Callable[[], int]
Liveness = messages.Liveness

MAX_PEERS = 48
PING_PERIOD = 1.0
PONG_TIMEOUT = 1.0
MISSES_BEFORE_SUSPECT = 2
EXPIRY_PERIOD = 0.5
# Seconds between pings to processes that are taken for dead: one that starts
# again while the store is away is met by those who know its address.
DEAD_PING_PERIOD = 1.0
# News that one message carries: so much that it fits a datagram. When all start
# at once each has news of all, and what one message lacks another must bring.
MAX_RUMORS_PER_PING = 24
# Seconds between two tellings of news: what comes together, as when all start
# at once, is told together.
GOSSIP_PERIOD = 0.15
FAN_OUT = 3
RETRANSMIT_FACTOR = 1
SYNC_PERIOD = 5.0
# Seconds without news after which a difference is more than news on its way.
SYNC_SETTLE_TIME = 2.0
MAX_RUMORS_PER_SYNC = 100


@dataclasses.dataclass(frozen=True)
class Send:
    """A control message to be sent.

    Attributes:
        address: Control address of the receiver.
        message: The message.
        renew: Whether it goes over a new connection, as what went over the old
            one was not answered: a silent one takes messages for minutes.
    """

    address: str
    message: messages.Control
    new_connection: bool = False


class Gossip:
    """Decides whom to tell what: pings, rumors, syncs."""

    def __init__(
        self,
        directory: membership.Directory,
        rng: random.Random,
        evidence: Digest = lambda: 0,
    ):
        self.directory = directory
        self._evidence = evidence
        self._rng = rng
        self._number = 0
        self._round: list[str] = []
        self._waiting_by_number: dict[int, tuple[str, float]] = {}
        self._misses_by_name: collections.Counter[str] = collections.Counter()
        self._tellings_by_name: dict[str, int] = {}
        self._next_ping = 0.0
        self._next_revival = 0.0
        self._next_spread = 0.0
        self._news = False
        self._news_at = float("-inf")
        self._next_sync = 0.0
        self._next_expiry = 0.0
        self._peers: list[str] = []
        self._peers_of = -1

    def peers(self) -> list[str]:
        """Names of the bounded set of peers that are pinged."""
        if self._peers_of != self.directory.generation:
            names = [
                name
                for name, member in self.directory.member_by_name.items()
                if member.usable and self.directory.gossips_with(member.info)
            ]
            self._peers = names
            if len(names) > MAX_PEERS:
                own = self.directory.own.name
                self._peers = rendezvous.select(own, names, MAX_PEERS)
            self._peers_of = self.directory.generation
        return self._peers

    @property
    def has_pending_rumors(self) -> bool:
        """Whether there is news that peers are told with the next tick."""
        return self._news

    def unreachable_peers(self) -> tuple[str, ...]:
        """Names of peers whose answers are missing."""
        return tuple(
            sorted(
                n
                for n, m in self._misses_by_name.items()
                if m >= MISSES_BEFORE_SUSPECT
            )
        )

    def tick(self, now: float) -> list[Send]:
        """Lets time pass."""
        sends, news = self._count_misses(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD
            news += self.directory.expire(now)
        for rumor in news:
            self.queue_rumor(rumor.info.name)
        sends += self._tell_news(now)
        if now >= self._next_ping:
            self._next_ping = now + PING_PERIOD
            sends += self._ping_next(now)
        if now >= self._next_revival:
            self._next_revival = now + DEAD_PING_PERIOD
            sends += self._ping_gone(now)
        return sends

    def _ping_gone(self, now: float) -> list[Send]:
        """Asks one process that is gone whether it is back."""
        gone = [
            name
            for name, member in self.directory.member_by_name.items()
            if not member.usable
        ]
        if not gone:
            return []
        return [self._ping(self._rng.choice(gone), now)]

    def queue_rumor(self, name: str) -> None:
        """Has a few peers told with the next tick, others with later pings."""
        members = len(self.directory.member_by_name) + 2
        tellings = math.ceil(RETRANSMIT_FACTOR * math.log2(members))
        self._tellings_by_name[name] = tellings
        self._news = True

    def _tell_news(self, now: float) -> list[Send]:
        if not self._news or now < self._next_spread:
            return []
        self._news = False
        self._news_at = now
        self._next_spread = now + GOSSIP_PERIOD
        return [self._ping(peer) for peer in self._mostly_near()]

    def _mostly_near(self) -> list[str]:
        """Peers to tell news: any one, the others in our failure domain.

        Bytes between failure domains are dear, and one teller in each of them
        reaches the rest there.
        """
        peers = self.peers()
        if not peers:
            return []
        chosen = [self._rng.choice(peers)]
        others = [name for name in peers if name not in chosen]
        near = [name for name in others if self._near(name)]
        pool = near if len(near) >= FAN_OUT - 1 else others
        count = min(FAN_OUT - 1, len(pool))
        return chosen + self._rng.sample(pool, count)

    def _near(self, name: str) -> bool:
        info = self.directory.member_by_name[name].info
        return info.domain == self.directory.own.domain

    def receive(self, message: messages.Control, now: float) -> list[Send]:
        """Takes a ping, pong or sync in and answers it."""
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
                self._evidence(),
            )
            sends.append(Send(back, pong, message.is_retry))
        elif isinstance(message, messages.Pong):
            self._waiting_by_number.pop(message.number, None)
            self._misses_by_name.pop(message.sender.name, None)
            sends += self._sync_if_differs(message, now)
        elif isinstance(message, messages.SyncRequest):
            parts = self._everything(membership.services(message.sender))
            sends += [Send(back, part) for part in parts]
        return sends

    def join(self, address: str) -> Send:
        """Asks a process that is known by address only for all it knows."""
        return Send(address, self._sync_request())

    def _sync_request(self) -> messages.SyncRequest:
        return messages.SyncRequest(self.directory.own, self._evidence())

    def leave(self) -> list[Send]:
        """Tells peers that this process is leaving for good."""
        own = self.directory.own
        rumor = messages.Rumor(Liveness.LEFT, own)
        sends = []
        for name in self.peers()[: FAN_OUT * 4]:
            address = self.directory.member_by_name[name].info.control
            ping = messages.Ping(
                own, 0, 0.0, 0, (rumor,), evidence_digest=self._evidence()
            )
            sends.append(Send(address, ping))
        return sends

    def _count_misses(
        self, now: float
    ) -> tuple[list[Send], list[messages.Rumor]]:
        """Asks again where an answer is missing; news of who is suspected."""
        sends, news = [], []
        for number, (name, until) in list(self._waiting_by_number.items()):
            if now < until:
                continue
            del self._waiting_by_number[number]
            self._misses_by_name[name] += 1
            if name in self.directory.member_by_name:
                # The connection may have fallen silent, in either direction.
                sends.append(self._ping(name, now, again=True))
            if self._misses_by_name[name] < MISSES_BEFORE_SUSPECT:
                continue
            if self.directory.mark(name, Liveness.SUSPECT, now):
                news.append(self.directory.rumor(name))
        for name in list(self._misses_by_name):
            member = self.directory.member_by_name.get(name)
            if member is None or not member.usable:
                del self._misses_by_name[name]
        return sends, news

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
                self._waiting_by_number[self._number] = waiting
                return [ping]
        return []

    def _ping(
        self, name: str, now: float | None = None, again: bool = False
    ) -> Send:
        """A ping; without `now` it only carries news, no answer is due."""
        self._number += 1
        ping = messages.Ping(
            self.directory.own,
            self._number,
            now or 0.0,
            self.directory.digest(),
            self._rumors(about=name),
            again,
            self._evidence(),
        )
        address = self.directory.member_by_name[name].info.control
        return Send(address, ping, again)

    def _rumors(self, about: str = "") -> tuple[messages.Rumor, ...]:
        """News that others may lack, and what is held of the receiver."""
        rumors = []
        member = self.directory.member_by_name.get(about)
        if member is not None and member.liveness is not Liveness.ALIVE:
            rumors.append(self.directory.rumor(about))
        fresh = sorted(
            self._tellings_by_name,
            key=self._tellings_by_name.__getitem__,
            reverse=True,
        )
        for name in fresh[:MAX_RUMORS_PER_PING]:
            self._tellings_by_name[name] -= 1
            if self._tellings_by_name[name] <= 0:
                del self._tellings_by_name[name]
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
            # Only those with the same services know the same members.
            same = same or member is None
            same = same or membership.services(member.info) != own
        settling = now - self._news_at < SYNC_SETTLE_TIME
        if same or settling or now < self._next_sync:
            return []
        self._next_sync = now + SYNC_PERIOD
        return [Send(message.sender.control, self._sync_request())]

    def _everything(self, wanted: frozenset[str]) -> list[messages.SyncReply]:
        """Members that share a wanted service; all where none is named."""
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
