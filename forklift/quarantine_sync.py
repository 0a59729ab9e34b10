"""Synchronizes the evidence on requests that crash targets between processes.

Such a request may be retried at any process within milliseconds. New evidence
is therefore sent to all peers at once, and relayed once in fleets where not all
processes are peers. To recover from lost datagrams, pauses and partitions,
gossip messages carry a digest of the evidence, and two processes with different
digests exchange all their evidence (anti-entropy).
"""

import random
from collections.abc import Callable
from collections.abc import Sequence

from forklift import gossip
from forklift import membership
from forklift import messages
from forklift import quarantine as quarantines

# Maximum number of cases in one message; keeps a message within one datagram.
MAX_CASES_PER_MESSAGE = 12
# Number of peers to which evidence of another process is relayed, if not all
# processes are peers. The remaining processes obtain it by anti-entropy. With
# six, each of a hundred processes receives it with a probability of 0.998.
RELAY_FANOUT = 6
# Number of peers that a process asks for evidence after a pause.
REQUEST_FANOUT = 3
# Seconds between removals of expired evidence.
EXPIRY_PERIOD = 1.0


class QuarantineSync:
    """Sends and receives evidence for the quarantine of one process."""

    def __init__(
        self,
        directory: membership.Directory,
        quarantine: quarantines.Quarantine,
        peers: Callable[[], list[str]],
        rng: random.Random,
    ):
        """Creates a synchronizer.

        Args:
            directory: The known processes.
            quarantine: The evidence to synchronize.
            peers: Returns the names of the peers of this process.
            rng: Source of randomness for the choice of peers.
        """
        self._directory = directory
        self._quarantine = quarantine
        self._peers = peers
        self._rng = rng
        self._next_expiry = 0.0

    @property
    def has_changes(self) -> bool:
        """Whether there is evidence to send at once."""
        return self._quarantine.has_changes

    def tick(self, now: float) -> list[gossip.Send]:
        """Drops expired evidence and returns the messages that are due."""
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD
            self._quarantine.expire(now)
        if not self._quarantine.has_changes:
            return []
        changes = self._quarantine.take_changes(now)
        peers = self._peers()
        sends = self._send_evidence(peers, changes.local)
        if len(self._directory.member_by_name) > gossip.MAX_PEERS:
            relays = self._rng.sample(peers, min(RELAY_FANOUT, len(peers)))
            sends += self._send_evidence(relays, changes.relayed)
        return sends

    def receive(
        self, message: messages.SuspectedRequests, now: float
    ) -> list[gossip.Send]:
        """Merges evidence of a peer and returns the reply, if requested."""
        self._quarantine.merge(message.evidence, now)
        if (
            not message.wants_reply
            or message.digest == self._quarantine.digest()
        ):
            return []
        return self._send_all(message.sender.control, now, ask=False)

    def compare_digest(
        self, address: str, digest: int, now: float
    ) -> list[gossip.Send]:
        """Starts an exchange of all evidence if digests differ.

        Args:
            address: Control address of the peer.
            digest: Digest of the peer's evidence.
            now: Monotonic seconds.
        """
        if digest == self._quarantine.digest():
            return []
        return self._send_all(address, now, ask=True)

    def request_evidence(self, now: float) -> list[gossip.Send]:
        """Asks some peers for evidence that this process may have missed."""
        peers = self._peers()
        asked = self._rng.sample(peers, min(REQUEST_FANOUT, len(peers)))
        return [
            send
            for name in asked
            for send in self._send_all(self._address(name), now, ask=True)
        ]

    def _send_evidence(
        self, names: list[str], evidence: Sequence[messages.Evidence]
    ) -> list[gossip.Send]:
        return [
            gossip.Send(self._address(name), part)
            for part in self._split(evidence, ask=False)
            for name in names
        ]

    def _send_all(
        self, address: str, now: float, ask: bool
    ) -> list[gossip.Send]:
        evidence = self._quarantine.all_evidence(now)
        return [
            gossip.Send(address, part)
            for part in self._split(evidence, ask)
            or [self._make_message((), ask)]
        ]

    def _split(
        self, evidence: Sequence[messages.Evidence], ask: bool
    ) -> list[messages.SuspectedRequests]:
        """Splits evidence into messages; only the last may request a reply."""
        starts = range(0, len(evidence), MAX_CASES_PER_MESSAGE)
        return [
            self._make_message(
                tuple(evidence[start : start + MAX_CASES_PER_MESSAGE]),
                ask and start + MAX_CASES_PER_MESSAGE >= len(evidence),
            )
            for start in starts
        ]

    def _make_message(
        self, evidence: tuple[messages.Evidence, ...], ask: bool
    ) -> messages.SuspectedRequests:
        sender = messages.sender_of(self._directory.own)
        digest = self._quarantine.digest()
        return messages.SuspectedRequests(sender, digest, evidence, ask)

    def _address(self, name: str) -> str:
        return self._directory.member_by_name[name].info.control
