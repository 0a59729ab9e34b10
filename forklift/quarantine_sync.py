"""Decides whom to tell of requests that crash targets.

Such a request may come again at any process within milliseconds, so what is
new is told to all peers at once, and in a fleet larger than that passed on.
Datagrams are lost, and processes start, stand still and are cut off: so each
heartbeat tells by a digest whether both sides know the same, and if not they
exchange all they know.
"""

import random
from collections.abc import Callable
from collections.abc import Sequence

from forklift import gossip
from forklift import membership
from forklift import messages
from forklift import quarantine as quarantines

# Cases that one message carries, so that it fits a datagram.
MAX_CASES_PER_MESSAGE = 12
# Peers that news of another process is passed on to, where not all are peers
# of all: with six each of a hundred processes is told with 0.998, by the
# final size of an epidemic; heartbeats tell the rest.
RELAY_FANOUT = 6
# Peers that a process asks which stood still.
REQUEST_FANOUT = 3
# Seconds between two looks for what is of no use any more.
EXPIRY_PERIOD = 1.0


class QuarantineSync:
    """What one process tells its peers of its quarantine."""

    def __init__(
        self,
        directory: membership.Directory,
        quarantine: quarantines.Quarantine,
        peers: Callable[[], list[str]],
        rng: random.Random,
    ):
        """Makes one that told nothing yet.

        Args:
            directory: The processes known.
            quarantine: What is told.
            peers: Names of the peers of this process.
            rng: Draws peers.
        """
        self._directory = directory
        self._quarantine = quarantine
        self._peers = peers
        self._rng = rng
        self._next_expiry = 0.0

    @property
    def has_changes(self) -> bool:
        """Whether there is something to tell that does not wait."""
        return self._quarantine.has_changes

    def tick(self, now: float) -> list[gossip.Send]:
        """Lets time pass."""
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD
            self._quarantine.expire(now)
        if not self._quarantine.has_changes:
            return []
        news = self._quarantine.take_changes(now)
        peers = self._peers()
        sends = self._tell(peers, news.own)
        if len(self._directory.member_by_name) > gossip.MAX_PEERS:
            few = self._rng.sample(peers, min(RELAY_FANOUT, len(peers)))
            sends += self._tell(few, news.heard)
        return sends

    def receive(
        self, message: messages.SuspectedRequests, now: float
    ) -> list[gossip.Send]:
        """Takes evidence of another process in."""
        self._quarantine.merge(message.evidence, now)
        if (
            not message.wants_reply
            or message.digest == self._quarantine.digest()
        ):
            return []
        return self._tell_all(message.sender.control, now, ask=False)

    def compare_digest(
        self, address: str, digest: int, now: float
    ) -> list[gossip.Send]:
        """A peer told the digest of what it knows."""
        if digest == self._quarantine.digest():
            return []
        return self._tell_all(address, now, ask=True)

    def request_evidence(self, now: float) -> list[gossip.Send]:
        """Asks a few peers, as this process may have missed news."""
        peers = self._peers()
        asked = self._rng.sample(peers, min(REQUEST_FANOUT, len(peers)))
        return [
            send
            for name in asked
            for send in self._tell_all(self._address(name), now, ask=True)
        ]

    def _tell(
        self, names: list[str], evidence: Sequence[messages.Evidence]
    ) -> list[gossip.Send]:
        return [
            gossip.Send(self._address(name), part)
            for part in self._parts(evidence, ask=False)
            for name in names
        ]

    def _tell_all(
        self, address: str, now: float, ask: bool
    ) -> list[gossip.Send]:
        everything = self._quarantine.all_evidence(now)
        return [
            gossip.Send(address, part)
            for part in self._parts(everything, ask) or [self._message((), ask)]
        ]

    def _parts(
        self, evidence: Sequence[messages.Evidence], ask: bool
    ) -> list[messages.SuspectedRequests]:
        """Messages of a size; the last one asks, as all is told by then."""
        starts = range(0, len(evidence), MAX_CASES_PER_MESSAGE)
        return [
            self._message(
                tuple(evidence[start : start + MAX_CASES_PER_MESSAGE]),
                ask and start + MAX_CASES_PER_MESSAGE >= len(evidence),
            )
            for start in starts
        ]

    def _message(
        self, evidence: tuple[messages.Evidence, ...], ask: bool
    ) -> messages.SuspectedRequests:
        sender = messages.sender_of(self._directory.own)
        digest = self._quarantine.digest()
        return messages.SuspectedRequests(sender, digest, evidence, ask)

    def _address(self, name: str) -> str:
        return self._directory.member_by_name[name].info.control
