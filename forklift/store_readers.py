"""Selects the processes that long-poll the store for new configurations.

Each new version completes all long polls at once, and every reader then polls
again, which loads the store. In a large fleet only some processes are therefore
readers; the others learn of new versions from peers. All processes select the
same readers without coordination, by rendezvous hashing over the usable
members. Each failure domain has some readers, so that it still receives
versions from the store if it is partitioned from the other domains.
"""

from forklift import membership
from forklift import rendezvous

# Minimum number of readers; in a smaller fleet all processes are readers. With
# so many, some read begins often enough to notice a version in time even if all
# connections have failed silently.
MIN_READERS = 32
# Minimum number of readers in each failure domain. One of them may be stopping
# or cut off.
READERS_PER_DOMAIN = 2
_SALT = "readers"


class StoreReaders:
    """The processes that long-poll the store for new configurations.

    They are selected from the members that this process knows.
    """

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
