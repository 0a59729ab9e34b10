"""The configuration in force: one order for all, by the log's offsets.

The configuration is a set of policies, each with a chain of versions of its
own, so that teams don't stand in each other's way and a change costs the size
of one policy. A publication names the version that it builds on. The first in
log order wins; every process rejects the others by the same rule. A reader
that may have missed publications (the log's retention took them, or it was
away) defers judgement until a base tells it what was in force up to an
offset.
"""

import dataclasses

from forklift import invariants
from forklift import messages


@dataclasses.dataclass(frozen=True)
class Version:
    """A version in force.

    Attributes:
        number: Rises by one with each accepted publication; 0 is none.
        as_of: Offset up to which publications were decided.
        publication: What was published; None for version 0.
    """

    number: int
    as_of: int
    publication: messages.Publication | None


@dataclasses.dataclass(frozen=True)
class Decision:
    """What became of a publication.

    Attributes:
        id: Identity of the publication.
        accepted: Whether it is, or was, in force.
        version: Its version, or that of the winner.
        winner: Author of the winner.
    """

    id: str
    accepted: bool
    version: int
    winner: str


MAX_DECISIONS = 256


class Chain:
    """The versions of one policy, and the rules that change them."""

    def __init__(self, missed_before: int | None = None):
        self.version = Version(0, -1, None)
        self.decision_by_id: dict[str, Decision] = {}
        # Offset below which publications may have been missed; None: none.
        self._missed_before = missed_before
        self._deferred: list[tuple[int, messages.Publication]] = []

    @property
    def certain(self) -> bool:
        """Whether no publication can have been missed."""
        return self._missed_before is None

    def missed(self, before: int) -> None:
        """Records below an offset were taken by retention, unread.

        What was accepted there may not be known here, so publications are
        deferred until a base reaches that far.
        """
        if before - 1 > self.version.as_of:
            self._missed_before = before

    def publish(self, offset: int, publication: messages.Publication) -> bool:
        """A publication was read; True when it came into force."""
        if offset <= self.version.as_of:
            return False
        if not self.certain:
            self._deferred.append((offset, publication))
            return False
        return self._decide(offset, publication)

    def adopt(self, base: Version) -> bool:
        """A renewal or a peer tells what is in force; True when it is news.

        A base older than the version here changes nothing; one that reaches
        past what was missed ends the deferral.
        """
        if base.publication is None or base.number < self.version.number:
            return False
        newer = base.number > self.version.number
        if newer:
            self._put(base)
            self._note(base.publication, True)
        elif base.as_of > self.version.as_of:
            self.version = dataclasses.replace(self.version, as_of=base.as_of)
        missed = self._missed_before
        if missed is not None and self.version.as_of >= missed - 1:
            self._missed_before = None
        return self._replay() or newer

    def base(self) -> messages.Renewal | None:
        """The version in force, for the log or a peer."""
        if self.version.publication is None:
            return None
        return messages.Renewal(
            self.version.number, self.version.as_of, self.version.publication
        )

    def _replay(self) -> bool:
        if not self.certain:
            return False
        deferred = self._deferred
        self._deferred = []
        changed = False
        for offset, publication in deferred:
            changed = self.publish(offset, publication) or changed
        return changed

    def _decide(self, offset: int, publication: messages.Publication) -> bool:
        current = self.version.publication
        if current is not None and publication.id == current.id:
            self.version = dataclasses.replace(self.version, as_of=offset)
            return False
        if publication.builds_on != self.version.number:
            self.version = dataclasses.replace(self.version, as_of=offset)
            self._note(publication, False)
            return False
        self._put(Version(self.version.number + 1, offset, publication))
        self._note(publication, True)
        return True

    def _put(self, version: Version) -> None:
        invariants.version_forward(self.version.number, version.number)
        self.version = version

    def _note(self, publication: messages.Publication, accepted: bool) -> None:
        if publication.id in self.decision_by_id:
            return
        winner = self.version.publication
        author = winner.author if winner is not None else "nobody"
        self.decision_by_id[publication.id] = Decision(
            publication.id, accepted, self.version.number, author
        )
        if len(self.decision_by_id) > MAX_DECISIONS:
            del self.decision_by_id[next(iter(self.decision_by_id))]


class Configuration:
    """The chains of all policies, by name."""

    def __init__(self):
        self.chain_by_policy: dict[str, Chain] = {}
        self._missed_before: int | None = None

    @property
    def total(self) -> int:
        """Sum of all version numbers: it only rises, one for each change."""
        chains = self.chain_by_policy.values()
        return sum(chain.version.number for chain in chains)

    def missed(self, before: int) -> None:
        """Records below an offset were taken by retention, unread."""
        self._missed_before = before
        for chain in self.chain_by_policy.values():
            chain.missed(before)

    def publish(self, offset: int, publication: messages.Publication) -> bool:
        """A publication was read; True when it came into force."""
        chain = self._chain(publication.policy)
        return chain.publish(offset, publication)

    def adopt(self, renewal: messages.Renewal) -> bool:
        """A renewal was read or offered; True when it changed what holds."""
        chain = self._chain(renewal.publication.policy)
        return chain.adopt(version_of(renewal))

    def decision(self, publication_id: str) -> Decision | None:
        """What became of a publication, where it was decided here."""
        for chain in self.chain_by_policy.values():
            decision = chain.decision_by_id.get(publication_id)
            if decision is not None:
                return decision
        return None

    def version(self, policy: str) -> Version:
        """The version of a policy that is in force."""
        chain = self.chain_by_policy.get(policy)
        return chain.version if chain else Version(0, -1, None)

    def bases(self) -> list[messages.Renewal]:
        """All versions in force, for a peer."""
        bases = [chain.base() for chain in self.chain_by_policy.values()]
        return [base for base in bases if base is not None]

    def _chain(self, policy: str) -> Chain:
        chain = self.chain_by_policy.get(policy)
        if chain is None:
            chain = Chain(self._missed_before)
            self.chain_by_policy[policy] = chain
        return chain


def version_of(renewal: messages.Renewal) -> Version:
    """The version that a renewal tells of."""
    return Version(renewal.version, renewal.as_of, renewal.publication)
