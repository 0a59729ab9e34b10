"""Counts who got the room of one target and who was refused.

Handles any number of priorities and organisations in bounded memory: unusual
priorities are counted together, and only the busiest organisations by name.
"""

import collections

from forklift import rates

# Priorities from this one on are counted together.
MAX_PRIORITY = 15
# Maximum number of organisations that are counted by name at one target.
MAX_ORGANISATIONS = 64
# Time constant in seconds of the work and the displaced requests of
# organisations: long enough for several requests of each, and short enough to
# show who fills the target now.
RECENT_SECONDS = 10.0
# Name under which organisations that are not listed, and requests without an
# organisation, are summed up.
OTHERS = ""


class RecentSums:
    """Decaying sums of the busiest organisations and of all others.

    >>> sums = RecentSums()
    >>> sums.add("fund", 2.0, 0.0)
    >>> sums.add("", 1.0, 0.0)
    >>> sums.busiest(1, 0.0)
    {'fund': 2.0, '': 1.0}
    """

    def __init__(self):
        self._sum_by_name: dict[str, rates.DecayingCounter] = {}

    def add(self, name: str, amount: float, now: float) -> None:
        """Adds to the sum of an organisation.

        Args:
            name: Name of the organisation; empty for requests without one.
            amount: What is added.
            now: Monotonic seconds.
        """
        self._sum(name).record(now, amount)
        if len(self._sum_by_name) > MAX_ORGANISATIONS + 1:
            evicted = min(
                self._sum_by_name,
                key=lambda other: (
                    other in (OTHERS, name),
                    self._sum_by_name[other].count(now),
                ),
            )
            amount = self._sum_by_name.pop(evicted).count(now)
            self._sum(OTHERS).record(now, amount)

    def busiest(self, count: int, now: float) -> dict[str, float]:
        """Returns the sums of the busiest organisations, highest first.

        Args:
            count: Maximum number of organisations by name.
            now: Monotonic seconds.

        Returns:
            Sums by name; the last is that of all others, if there are any.
        """
        sums = {
            name: found.count(now) for name, found in self._sum_by_name.items()
        }
        return busiest(sums, count)

    def _sum(self, name: str) -> rates.DecayingCounter:
        found = self._sum_by_name.get(name)
        if found is None:
            found = rates.DecayingCounter(RECENT_SECONDS)
            self._sum_by_name[name] = found
        return found


class RoomUsage:
    """Starts, refusals and work at one target.

    Attributes:
        starts_by_priority: Number of started requests.
        refusals_by_priority: Number of refused requests.
        displaced: Number of queued requests that were refused in favour of
            others.
        displaced_by_organisation: Recent number of displaced requests.
        work_by_organisation: Expected seconds of work started recently.
    """

    def __init__(self):
        self.starts_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self.refusals_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self.displaced = 0
        self.displaced_by_organisation = RecentSums()
        self.work_by_organisation = RecentSums()

    def record_start(self, priority: int) -> None:
        """Counts a started request."""
        self.starts_by_priority[_counted_priority(priority)] += 1

    def record_work(
        self, organisation: str, seconds: float, now: float
    ) -> None:
        """Counts expected seconds of work that an organisation started."""
        self.work_by_organisation.add(organisation, seconds, now)

    def record_refusal(self, priority: int) -> None:
        """Counts a refused request."""
        self.refusals_by_priority[_counted_priority(priority)] += 1

    def record_displaced(self, organisation: str, now: float) -> None:
        """Counts a queued request that is refused in favour of others."""
        self.displaced += 1
        self.displaced_by_organisation.add(organisation, 1.0, now)


def busiest(value_by_name: dict[str, float], count: int) -> dict[str, float]:
    """Returns the highest values by name, and the sum of all others.

    >>> busiest({"a": 1.0, "b": 3.0, "c": 2.0, "": 1.0}, 2)
    {'b': 3.0, 'c': 2.0, '': 2.0}
    """
    names = sorted(
        (name for name in value_by_name if name != OTHERS),
        key=lambda name: (-value_by_name[name], name),
    )[:count]
    found = {name: value_by_name[name] for name in names}
    if len(found) < len(value_by_name):
        found[OTHERS] = sum(
            value for name, value in value_by_name.items() if name not in found
        )
    return found


def _counted_priority(priority: int) -> int:
    return max(0, min(priority, MAX_PRIORITY))
