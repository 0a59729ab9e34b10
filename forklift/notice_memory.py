"""Remembers the notices of targets for longer than the views of targets.

The view of a target is discarded when the process that owns the target restarts
or is taken for dead, and a target is removed when its heartbeats stop. What the
target has announced still holds for that incarnation of it.
"""

import collections
import dataclasses
from collections.abc import Callable

from forklift import heartbeats

# Maximum number of targets that are remembered; the oldest are forgotten.
MAX_TARGETS = 4096
# Seconds for which a rate limit is remembered after its last report.
RATE_LIMIT_SECONDS = 60.0
# Milliseconds by which the clocks of two instances may differ.
CLOCK_TOLERANCE_MS = 1000


@dataclasses.dataclass(frozen=True)
class _Leave:
    """An incarnation that announced that it is leaving.

    Attributes:
        incarnation: The incarnation; its start time may be unknown.
        asked_ms: Unix milliseconds at which the request was sent whose response
            held the announcement.
    """

    incarnation: heartbeats.TargetIncarnation
    asked_ms: float


@dataclasses.dataclass(frozen=True)
class _Limit:
    """A rate limit that an incarnation has named, in requests per second."""

    incarnation: heartbeats.TargetIncarnation
    rate: float
    heard_at: float


class NoticeMemory:
    """The last notices of the targets that this process has heard of.

    >>> memory = NoticeMemory(lambda: 90.0)
    >>> memory.record_leaving("i-7@80000", 0.1)
    >>> memory.is_leaving("i-7@80000"), memory.is_leaving("i-7@95000")
    (True, False)
    """

    def __init__(self, wall: Callable[[], float]):
        """Creates an empty memory.

        Args:
            wall: Returns the wall time, seconds since the epoch.
        """
        self._wall = wall
        self._leave_by_target: collections.OrderedDict[str, _Leave] = (
            collections.OrderedDict()
        )
        self._limit_by_target: collections.OrderedDict[str, _Limit] = (
            collections.OrderedDict()
        )

    def record_leaving(self, name: str, asked_seconds_ago: float) -> None:
        """Records that an incarnation announced that it is leaving.

        Args:
            name: Name of the incarnation.
            asked_seconds_ago: Seconds since the request was sent whose response
                held the announcement.
        """
        incarnation = heartbeats.parse_incarnation(name)
        known = self._leave_by_target.get(incarnation.target)
        if known is not None and _is_earlier(incarnation, known.incarnation):
            return
        _remember(
            self._leave_by_target,
            incarnation.target,
            _Leave(incarnation, (self._wall() - asked_seconds_ago) * 1000),
        )

    def is_leaving(self, name: str) -> bool:
        """Whether an incarnation has announced that it is leaving.

        If the start time of the leaving incarnation was unknown, the first
        incarnation asked about that had started by then is taken for it.

        Args:
            name: Name of the incarnation.
        """
        incarnation = heartbeats.parse_incarnation(name)
        leave = self._leave_by_target.get(incarnation.target)
        if leave is None or not _may_be_same(leave.incarnation, incarnation):
            return False
        if leave.incarnation.started_ms or not incarnation.started_ms:
            return True
        if incarnation.started_ms > leave.asked_ms + CLOCK_TOLERANCE_MS:
            return False
        # This incarnation made the announcement; later ones did not.
        self._leave_by_target[incarnation.target] = _Leave(
            incarnation, leave.asked_ms
        )
        return True

    def leaving_incarnation(self, name: str) -> str:
        """Returns the most exact known name of an incarnation that leaves.

        Args:
            name: Name of an incarnation for which `is_leaving` holds.
        """
        incarnation = heartbeats.parse_incarnation(name)
        leave = self._leave_by_target[incarnation.target]
        return name if incarnation.started_ms else leave.incarnation.name

    def record_rate_limit(
        self, name: str, rate: float | None, now: float
    ) -> None:
        """Records the rate limit that an incarnation has named.

        Args:
            name: Name of the incarnation.
            rate: Requests per second; None if there is no limit.
            now: Monotonic seconds.
        """
        incarnation = heartbeats.parse_incarnation(name)
        if rate is None:
            self._limit_by_target.pop(incarnation.target, None)
            return
        _remember(
            self._limit_by_target,
            incarnation.target,
            _Limit(incarnation, rate, now),
        )

    def rate_limit(self, name: str, now: float) -> float | None:
        """Returns the rate limit of an incarnation; None if none is known.

        Args:
            name: Name of the incarnation.
            now: Monotonic seconds.
        """
        if not self._limit_by_target:
            return None
        incarnation = heartbeats.parse_incarnation(name)
        limit = self._limit_by_target.get(incarnation.target)
        if limit is None or not _may_be_same(limit.incarnation, incarnation):
            return None
        return limit.rate if now - limit.heard_at < RATE_LIMIT_SECONDS else None


def _is_earlier(
    one: heartbeats.TargetIncarnation, other: heartbeats.TargetIncarnation
) -> bool:
    """Whether both start times are known and `one` started first."""
    return 0 < one.started_ms < other.started_ms


def _may_be_same(
    one: heartbeats.TargetIncarnation, other: heartbeats.TargetIncarnation
) -> bool:
    """Whether two names of one target may mean the same incarnation."""
    unknown = not one.started_ms or not other.started_ms
    return unknown or one == other


def _remember(
    entry_by_target: collections.OrderedDict, target: str, entry: object
) -> None:
    """Adds or replaces an entry, and forgets the oldest if there are many."""
    entry_by_target[target] = entry
    entry_by_target.move_to_end(target)
    while len(entry_by_target) > MAX_TARGETS:
        entry_by_target.popitem(last=False)
