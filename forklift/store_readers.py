"""Chooses which processes wait at the store for configuration changes.

Every new version ends all waiting reads, and each read costs the store. In a
large fleet only some processes therefore wait at the store; peers tell the
others. All processes agree on the readers without coordination: they use
rendezvous hashing over the usable members, plus a few readers in each failure
domain, so that a partitioned domain has readers of its own.
"""

from forklift import membership
from forklift import rendezvous

# In a smaller fleet all processes are readers. With this many, new reads start
# often enough to notice a version in time even if all connections are silent.
MIN_READERS = 32
# More than one, as a reader may be stopping or partitioned.
READERS_PER_DOMAIN = 2
_SALT = "readers"


class StoreReaders:
    """The processes that wait at the store, as this process sees them."""

    def __init__(self, directory: membership.Directory):
        self._directory = directory
        self._names: frozenset[str] = frozenset()
        self._membership_version = -1

    def includes(self, name: str) -> bool:
        """Whether a process is a reader."""
        if self._membership_version != self._directory.membership_version:
            self._membership_version = self._directory.membership_version
            self._names = self._choose()
        return name in self._names

    @property
    def includes_self(self) -> bool:
        """Whether this process is a reader."""
        return self.includes(self._directory.own.name)

    @property
    def count(self) -> int:
        """Number of readers."""
        self.includes("")
        return len(self._names)

    def _choose(self) -> frozenset[str]:
        domain_by_name = {
            info.name: info.domain for info in self._directory.usable()
        }
        ranked = rendezvous.rank(_SALT, domain_by_name)
        chosen = set(ranked[:MIN_READERS])
        for domain in set(domain_by_name.values()):
            own = [name for name in ranked if domain_by_name[name] == domain]
            chosen.update(own[:READERS_PER_DOMAIN])
        return frozenset(chosen)
