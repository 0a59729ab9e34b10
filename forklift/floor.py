"""Permits to eject, spent from what a service has above its floor.

One process holds the lease of a service's floor and grants permits; no other
may. A permit lapses unless its guard renews it, so a new floor owner that
waits for one permit's length knows every permit that still stands.
"""

import dataclasses

from forklift import invariants

PERMIT_LEASE = 5.0
# A slow target must be slow alone: it is asked about twice, this far apart,
# while at most this share of the service is asked about.
SECOND_LOOK = 0.4
ALONE_SHARE = 0.25
LOOK_WINDOW = 2.0


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Targets of a service that the floor owner knows to be able to serve.

    Attributes:
        known: Names of targets that are alive and not leaving.
        floor: Targets that must stay in service.
        doubtful: Names of those that their own guards suspect.
    """

    known: frozenset[str]
    floor: int
    doubtful: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Answer to a request for a permit.

    Attributes:
        granted: Whether the target may be, or stay, ejected.
        cause: Why not, or "granted".
    """

    granted: bool
    cause: str


class Ledger:
    """The permits of one service, at its floor owner."""

    def __init__(self, service: str, tenure_from: float):
        self.service = service
        self._tenure_from = tenure_from
        self.until_by_target: dict[str, float] = {}
        self._first_look_by_target: dict[str, float] = {}
        self._last_look_by_target: dict[str, float] = {}

    def ask(
        self,
        target: str,
        held: bool,
        slow: bool,
        capacity: Capacity,
        now: float,
    ) -> Verdict:
        """Decides on a permit.

        Args:
            target: Name of the target.
            held: Whether its guard holds a permit already.
            slow: Whether the evidence is slowness, which load causes too.
            capacity: The service as the owner knows it.
            now: Monotonic seconds.
        """
        self._expire(now)
        if target in self.until_by_target or self._inherits(held, now):
            return self._grant(target, capacity, now, renewed=True)
        if now < self._tenure_from + PERMIT_LEASE:
            return Verdict(False, "permits of the owner before may still stand")
        if slow and not self._slow_alone(target, capacity, now):
            return Verdict(False, "others are slow too, or first look")
        out = set(self.until_by_target) & capacity.known
        out.add(target)
        if len(capacity.known - out) < capacity.floor:
            return Verdict(False, "the floor needs it")
        return self._grant(target, capacity, now, renewed=False)

    def give_back(self, target: str) -> None:
        """A target takes requests again."""
        self.until_by_target.pop(target, None)

    def _inherits(self, held: bool, now: float) -> bool:
        return held and now < self._tenure_from + PERMIT_LEASE

    def _grant(
        self, target: str, capacity: Capacity, now: float, renewed: bool
    ) -> Verdict:
        if renewed and self._floor_needs(target, capacity):
            self.until_by_target.pop(target, None)
            return Verdict(False, "the floor needs it back")
        self.until_by_target[target] = now + PERMIT_LEASE
        standing = capacity.known - set(self.until_by_target)
        invariants.floor_kept(
            self.service, len(standing), capacity.floor, len(capacity.known)
        )
        return Verdict(True, "granted")

    def _floor_needs(self, target: str, capacity: Capacity) -> bool:
        """Whether deaths since the grant made the floor need the target."""
        out = (set(self.until_by_target) | {target}) & capacity.known
        return len(capacity.known - out) < capacity.floor

    def _expire(self, now: float) -> None:
        for target, until in list(self.until_by_target.items()):
            if now >= until:
                del self.until_by_target[target]

    def _slow_alone(self, target: str, capacity: Capacity, now: float) -> bool:
        self._note_look(target, now)
        asked = len(capacity.doubtful | set(self._last_look_by_target))
        most = max(1, int(len(capacity.known) * ALONE_SHARE))
        waited = now - self._first_look_by_target[target] >= SECOND_LOOK
        return waited and asked <= most

    def _note_look(self, target: str, now: float) -> None:
        self._first_look_by_target.setdefault(target, now)
        self._last_look_by_target[target] = now
        for name, last in list(self._last_look_by_target.items()):
            if now - last > LOOK_WINDOW:
                del self._last_look_by_target[name]
                self._first_look_by_target.pop(name, None)
