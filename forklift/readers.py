"""Decides which processes wait at the store for the next configuration.

Each waiting read is paid for when it ends, and a version ends all of them, so
in a large fleet only some wait and the others are told by them. All processes
find the same ones without asking: the first by rendezvous hashing over those
that are there, and some of each failure domain, which a cut may leave alone.
"""

from forklift import membership
from forklift import rendezvous

# Readers of a fleet: so many that reads begin often enough, by somebody, for a
# version to be noticed within the bound though all connections fell silent. A
# smaller fleet reads as a whole.
READERS = 32
# Readers of each failure domain at least: one may be ending or cut off.
IN_DOMAIN = 2
_SALT = "readers"


class Readers:
    """The processes that wait at the store, as far as this one knows them."""

    def __init__(self, directory: membership.Directory):
        self._directory = directory
        self._names: frozenset[str] = frozenset()
        self._names_of = -1

    def includes(self, name: str) -> bool:
        """Whether a process is one of them."""
        if self._names_of != self._directory.generation:
            self._names_of = self._directory.generation
            self._names = self._choose()
        return name in self._names

    @property
    def own(self) -> bool:
        """Whether this process is one of them."""
        return self.includes(self._directory.own.name)

    @property
    def count(self) -> int:
        """How many there are."""
        self.includes("")
        return len(self._names)

    def _choose(self) -> frozenset[str]:
        domain_by_name = {
            info.name: info.domain for info in self._directory.usable()
        }
        ranked = rendezvous.rank(_SALT, domain_by_name)
        chosen = set(ranked[:READERS])
        for domain in set(domain_by_name.values()):
            own = [name for name in ranked if domain_by_name[name] == domain]
            chosen.update(own[:IN_DOMAIN])
        return frozenset(chosen)
