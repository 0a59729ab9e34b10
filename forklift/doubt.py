"""Judges one target, at its guard, by the outcomes of real requests.

Targets fail for some seconds at a time while their health endpoint says that
all is well, so one bad outcome is reason enough to doubt. Doubt costs little:
work that must not repeat goes elsewhere at once, and work that may repeat is
let through one at a time, as a scout, until enough scouts did well.
"""

import dataclasses
import enum


class Sign(enum.StrEnum):
    """What the end of a request, or its age, says of its target."""

    WELL = "well"
    ERROR = "error"
    BROKEN = "broken"
    OVERDUE = "overdue"
    SHED = "shed"
    UNREACHABLE = "unreachable"


# Good outcomes that lift a doubt, by the worst sign that raised it. A target
# in a bad phase still answers some requests (trials: 15 in 100), so a broken
# connection asks for two; an error may be the request's own fault.
_NEEDED_BY_SIGN = {
    Sign.ERROR: 1,
    Sign.SHED: 1,
    Sign.OVERDUE: 1,
    Sign.BROKEN: 2,
    Sign.UNREACHABLE: 2,
}
# Which of several signs a doubt is named after: what threatens more counts.
_WEIGHT = {
    Sign.WELL: 0,
    Sign.SHED: 1,
    Sign.ERROR: 2,
    Sign.OVERDUE: 3,
    Sign.UNREACHABLE: 4,
    Sign.BROKEN: 5,
}
# Seconds until the first scout, and between later ones, which doubles with
# each that fails: a scout that fails costs a repeat, and a target should be
# back in use within about a second after it is well.
SCOUT_GAP = 0.25
SCOUT_GAP_MOST = 1.0
# Seconds after which a doubt that no request could test is dropped: an idle
# target must not stay out for ever.
MOST = 2.0
# A request that runs this long was accepted, which shows that its target was
# well when it arrived: bad phases break connections at once. Seconds.
ACCEPTED = 0.02


@dataclasses.dataclass(frozen=True)
class Change:
    """A doubt was raised or lifted.

    Attributes:
        at: Monotonic seconds.
        doubted: Whether the target is doubted since.
        sign: What caused it.
        evidence: Requests that went wrong in a row, or well in a row.
    """

    at: float
    doubted: bool
    sign: Sign
    evidence: int


class Doubt:
    """The doubt about one target."""

    def __init__(self):
        self.since: float | None = None
        self.changes: list[Change] = []
        # When a request last arrived that the target accepted or did well.
        self.proven_at = float("-inf")
        self._sign = Sign.WELL
        self._bad = 0
        self._well = 0
        self._touched = float("-inf")
        self._scouts: set[object] = set()
        self._next_scout = 0.0

    @property
    def raised(self) -> bool:
        """Whether the target is doubted."""
        return self.since is not None

    @property
    def sign(self) -> Sign:
        """The worst sign of the doubt, WELL where there is none."""
        return self._sign

    def note(self, sign: Sign, now: float) -> bool:
        """Takes one sign in; True when the doubt was raised or lifted."""
        self._touched = now
        if sign is Sign.WELL:
            return self._note_well(now)
        self._well = 0
        self._bad += 1
        self.proven_at = float("-inf")
        if _WEIGHT[sign] >= _WEIGHT[self._sign]:
            self._sign = sign
        gap = SCOUT_GAP * 2 ** min(self._bad - 1, 8)
        self._next_scout = now + min(SCOUT_GAP_MOST, gap)
        if self.raised:
            return False
        self.since = now
        self._change(Change(now, True, sign, self._bad))
        return True

    def prove(self, arrived: float) -> None:
        """A request that arrived then was accepted."""
        if not self.raised:
            self.proven_at = max(self.proven_at, arrived)

    def may_scout(self, now: float) -> bool:
        """Whether a repeatable request may test the target now."""
        return not self._scouts and now >= self._next_scout

    def scout(self, request: object, now: float) -> None:
        """A request was sent to test the target."""
        self._scouts.add(request)
        self._next_scout = now + SCOUT_GAP

    def scouted(self, request: object) -> None:
        """A request that may have been a scout ended."""
        self._scouts.discard(request)

    def fade(self, now: float) -> bool:
        """Drops a doubt that nothing has tested; True when it was dropped."""
        if not self.raised or self._scouts or now - self._touched < MOST:
            return False
        self._lift(now)
        return True

    def _note_well(self, now: float) -> bool:
        if not self.raised:
            self._bad = 0
            return False
        self._well += 1
        if self._well < _NEEDED_BY_SIGN[self._sign]:
            # The next scout need not wait: the last one did well.
            self._next_scout = now
            return False
        self._lift(now)
        return True

    def _lift(self, now: float) -> None:
        self._change(Change(now, False, self._sign, self._well))
        self.since = None
        self._sign = Sign.WELL
        self._bad = 0
        self._well = 0

    def _change(self, change: Change) -> None:
        self.changes.append(change)
        del self.changes[:-KEPT_CHANGES]


# Changes that are kept to explain a target to an operator.
KEPT_CHANGES = 20
