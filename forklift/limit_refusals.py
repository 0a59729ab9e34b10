"""Counts refused requests of organisations, and those within their limit.

Handles the load of every refusal with status 429: the count is kept for a
bounded number of organisations by name and as a sum for the others. Whether a
refused request was within the limit is derived from the last word of its
allocator, so no message is sent for it.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from forklift import rates

# Number of organisations whose refusals are counted by name.
MAX_NAMED = 20
# Number of other organisations whose recent refusals are tracked, to find the
# busiest.
MAX_TRACKED = 200
# Time constant over which recent refusals are compared, seconds.
ACTIVITY_SECONDS = 60.0
# An organisation takes the place of a named one with fewer than this fraction
# of its recent refusals. Names would alternate if any difference sufficed.
REPLACED_BELOW = 0.5


class Cause(enum.StrEnum):
    """Why a request was refused with status 429."""

    # The allocator has the whole limit to grant and has no token left.
    BEYOND = "beyond"
    # The allocator may grant only a part of the limit, or has gained it only
    # recently, so that its tokens are fewer than the organisation is due.
    NOT_GRANTED = "not-granted"
    # The allocator did not answer in time.
    NO_ANSWER = "no-answer"
    # No process has answered as allocator of the shard yet.
    NO_ALLOCATOR = "no-allocator"


@dataclasses.dataclass(frozen=True)
class Supply:
    """What an allocator has told about the limit of an organisation.

    Attributes:
        granted: Fraction of the limit that the allocator could grant recently,
            0 to 1.
        load: Demand of all processes as a multiple of the limit's rate; 0 if it
            is not known.
    """

    granted: float = 1.0
    load: float = 0.0


# What is assumed of an organisation whose allocator has never answered.
UNKNOWN_SUPPLY = Supply(0.0, 0.0)


def share_within_limit(cause: Cause, supply: Supply) -> float:
    """Estimates the share of refused requests that were within the limit.

    Of a demand of `load` limits, `granted` limits are admitted. If the demand
    exceeds the limit, 1 - granted of the load - granted refused limits were
    within it.

    Args:
        cause: Why the requests were refused.
        supply: What the allocator has told last; without an answer in time it
            grants nothing.

    >>> share_within_limit(Cause.BEYOND, Supply(1.0, 4.0))
    0.0
    >>> share_within_limit(Cause.NO_ANSWER, Supply(1.0, 4.0))
    0.25
    >>> share_within_limit(Cause.NO_ANSWER, Supply(1.0, 0.6))
    1.0
    >>> share_within_limit(Cause.NOT_GRANTED, Supply(0.5, 1.5))
    0.5
    """
    if cause is Cause.BEYOND:
        return 0.0
    granted = supply.granted if cause is Cause.NOT_GRANTED else 0.0
    if supply.load <= 1.0:
        return 1.0
    return (1.0 - granted) / (supply.load - granted)


@dataclasses.dataclass
class Tally:
    """Refusals of one organisation, or of several together.

    Attributes:
        count_by_cause: Number of refused requests by cause.
        within: Estimated number of these that were within the limit.
    """

    count_by_cause: collections.Counter[Cause] = dataclasses.field(
        default_factory=collections.Counter
    )
    within: float = 0.0

    @property
    def refused(self) -> int:
        """Number of refused requests."""
        return self.count_by_cause.total()

    def add(self, other: "Tally") -> None:
        """Adds the refusals of another tally."""
        self.count_by_cause.update(other.count_by_cause)
        self.within += other.within


class RefusalCounts:
    """Refusals at one process, by organisation.

    The counts never decrease while an organisation keeps its name. Refusals of
    an organisation that is not named, or no longer, are part of the sum of the
    others for good, so that this sum never decreases.

    >>> counts = RefusalCounts()
    >>> counts.record("fund", Cause.NO_ANSWER, Supply(1.0, 2.0), 0.0)
    >>> [(name, tally.refused, tally.within) for name, tally in counts.items()]
    [('fund', 1, 0.5), ('', 0, 0.0)]
    """

    def __init__(self):
        self._tally_by_name: dict[str, Tally] = {}
        self._others = Tally()
        self._activity_by_name: dict[str, rates.DecayingCounter] = {}

    def record(
        self, organisation: str, cause: Cause, supply: Supply, now: float
    ) -> None:
        """Counts a refused request.

        Args:
            organisation: Name of the organisation.
            cause: Why the request was refused.
            supply: What the allocator has told last.
            now: Monotonic seconds.
        """
        tally = self._tally(organisation, now)
        tally.count_by_cause[cause] += 1
        tally.within += share_within_limit(cause, supply)

    def items(self) -> Iterator[tuple[str, Tally]]:
        """Yields the named organisations, then the others as an empty name."""
        yield from self._tally_by_name.items()
        yield "", self._others

    def _tally(self, organisation: str, now: float) -> Tally:
        """Returns the tally that counts an organisation's next refusal."""
        activity = self._activity_by_name.get(organisation)
        if activity is None:
            if len(self._activity_by_name) >= MAX_NAMED + MAX_TRACKED:
                self._forget_least_active(now)
            activity = rates.DecayingCounter(ACTIVITY_SECONDS)
            self._activity_by_name[organisation] = activity
        activity.record(now)
        tally = self._tally_by_name.get(organisation)
        if tally is not None:
            return tally
        if len(self._tally_by_name) >= MAX_NAMED:
            least = min(
                self._tally_by_name, key=lambda name: self._activity(name, now)
            )
            bound = REPLACED_BELOW * activity.count(now)
            if self._activity(least, now) >= bound:
                return self._others
            self._others.add(self._tally_by_name.pop(least))
        tally = self._tally_by_name[organisation] = Tally()
        return tally

    def _activity(self, name: str, now: float) -> float:
        return self._activity_by_name[name].count(now)

    def _forget_least_active(self, now: float) -> None:
        """Forgets the activity of the unnamed organisation with the lowest."""
        unnamed = self._activity_by_name.keys() - self._tally_by_name.keys()
        least = min(unnamed, key=lambda name: (self._activity(name, now), name))
        del self._activity_by_name[least]
