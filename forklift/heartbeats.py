"""Heartbeats of local targets, and detection of stale ones.

A target may restart under the same name. Each run is a separate incarnation,
and the state of one incarnation does not apply to the next. All such state is
therefore keyed by the name of the incarnation.
"""

import dataclasses
import enum

# Maximum number of targets, and of ended incarnations, that are remembered. Far
# fewer start on one instance while a delayed heartbeat may still arrive.
MAX_REMEMBERED = 1024
_SEPARATOR = "@"


@dataclasses.dataclass(frozen=True)
class TargetIncarnation:
    """One run of a target, from its start to its end.

    Attributes:
        target: The name that the target gives itself.
        started_ms: Start time in Unix milliseconds. It is 0 if the target does
            not report the time; such a target does not reuse its name.
    """

    target: str
    started_ms: int = 0

    @property
    def name(self) -> str:
        """Unique name, used as the key of all state of the incarnation.

        >>> TargetIncarnation("i-7", 1764720000123).name
        'i-7@1764720000123'
        >>> TargetIncarnation("i-7").name
        'i-7'
        """
        if not self.started_ms:
            return self.target
        return f"{self.target}{_SEPARATOR}{self.started_ms}"


def parse_incarnation(name: str) -> TargetIncarnation:
    """Parses the name of an incarnation.

    >>> parse_incarnation("i-7@1764720000123")
    TargetIncarnation(target='i-7', started_ms=1764720000123)
    >>> parse_incarnation("i-7")
    TargetIncarnation(target='i-7', started_ms=0)
    >>> parse_incarnation("i@7x")
    TargetIncarnation(target='i@7x', started_ms=0)
    """
    target, separator, started_ms = name.rpartition(_SEPARATOR)
    if separator and target and started_ms.isdecimal() and started_ms.isascii():
        return TargetIncarnation(target, int(started_ms))
    return TargetIncarnation(name)


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """One heartbeat of a target.

    Attributes:
        incarnation: The incarnation that sent it.
        service: Name of the service.
        address: Address of the target, "ip:port".
        domain: Failure domain.
        slots: Maximum number of concurrent requests.
        leaving: Whether the target accepts no new requests.
        sequence: Increases with each heartbeat of an incarnation, so that
            reordered heartbeats are recognized.
        cold: Remaining warm-up time of the target, seconds.
    """

    incarnation: TargetIncarnation
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    sequence: int
    cold: float = 0.0


class HeartbeatKind(enum.Enum):
    """How a heartbeat relates to those received before."""

    # First heartbeat of an incarnation, which replaces any earlier incarnation.
    FIRST = "first"
    # A newer heartbeat of the current incarnation.
    FURTHER = "further"
    # A heartbeat of an incarnation that has ended, or one out of order.
    LATE = "late"


@dataclasses.dataclass
class _CurrentIncarnation:
    """The current incarnation of a target.

    Attributes:
        incarnation: The incarnation.
        first: Time when it was first seen, monotonic seconds.
        last: Time when it was last seen, monotonic seconds.
        sequence: Sequence number of its last heartbeat.
        start_unknown: Whether it is known only from a health check or a leave
            message without a start time.
        has_left: Whether it has announced that it leaves.
    """

    incarnation: TargetIncarnation
    first: float
    last: float
    sequence: int = -1
    start_unknown: bool = False
    has_left: bool = False


class IncarnationTracker:
    """Tracks the current incarnation of each local target.

    An incarnation with a later start time replaces the current incarnation. An
    incarnation with an earlier start time is ignored while the current one
    sends heartbeats, and while delayed heartbeats of earlier incarnations may
    still arrive. Afterwards it is accepted, as the clock of the target may have
    been set back. An incarnation that announced that it leaves is not accepted
    again.
    """

    def __init__(self, max_delay: float):
        """Creates a tracker that knows no target.

        Args:
            max_delay: Longest delay of a heartbeat in seconds. A running
                incarnation sends at least one heartbeat within this time.
        """
        self.max_delay = max_delay
        self._current_by_target: dict[str, _CurrentIncarnation] = {}
        self._ended: dict[TargetIncarnation, None] = {}

    def current_name(self, target: str) -> str | None:
        """Returns the current incarnation's name; None if there is none.

        >>> tracker = IncarnationTracker(5.0)
        >>> tracker.record_health_check("i-7", 0.0)
        True
        >>> tracker.current_name("i-7")
        'i-7'
        >>> tracker.record_heartbeat(TargetIncarnation("i-7", 90), 1, 1.0)
        <HeartbeatKind.FURTHER: 'further'>
        >>> tracker.current_name("i-7")
        'i-7@90'
        """
        current = self._current_by_target.get(target)
        return current.incarnation.name if current is not None else None

    def record_heartbeat(
        self, incarnation: TargetIncarnation, sequence: int, now: float
    ) -> HeartbeatKind:
        """Records a heartbeat.

        Args:
            incarnation: The incarnation that sent it.
            sequence: Its sequence number.
            now: Monotonic seconds.

        Returns:
            How it relates to earlier heartbeats.
        """
        current = self._current_by_target.get(incarnation.target)
        if incarnation in self._ended:
            return HeartbeatKind.LATE
        if current is None:
            return self._begin(incarnation, sequence, now)
        if current.start_unknown and current.has_left:
            # The heartbeat may come from the incarnation that announced that it
            # leaves, which sends heartbeats until it ends.
            silent = now - current.last > self.max_delay
            current.last = now
            return (
                self._begin(incarnation, sequence, now)
                if silent
                else HeartbeatKind.LATE
            )
        if current.start_unknown:
            current.incarnation, current.start_unknown = incarnation, False
        if incarnation == current.incarnation:
            if sequence <= current.sequence:
                return HeartbeatKind.LATE
            current.sequence, current.last = sequence, now
            return HeartbeatKind.FURTHER
        if (
            incarnation.started_ms > current.incarnation.started_ms
            or self._no_heartbeat_expected(current, now)
        ):
            return self._begin(incarnation, sequence, now)
        return HeartbeatKind.LATE

    def record_health_check(self, target: str, now: float) -> bool:
        """Records that the health endpoint of a target answered.

        The response does not identify the incarnation, so it is ignored if any
        incarnation of the target is known or has left.

        Returns:
            Whether the target was unknown.
        """
        if target in self._current_by_target:
            return False
        if any(incarnation.target == target for incarnation in self._ended):
            return False
        self._keep(
            _CurrentIncarnation(
                TargetIncarnation(target), now, now, start_unknown=True
            )
        )
        return True

    def record_leave(
        self, incarnation: TargetIncarnation, now: float
    ) -> str | None:
        """Records that a target announced that it leaves.

        Args:
            incarnation: The incarnation that leaves. If it has no start time,
                the current incarnation of the target is meant.
            now: Monotonic seconds.

        Returns:
            Name of the incarnation that was ended; None if the given one is not
            the current incarnation.
        """
        current = self._current_by_target.get(incarnation.target)
        if current is None and not incarnation.started_ms:
            current = self._keep(
                _CurrentIncarnation(incarnation, now, now, start_unknown=True)
            )
        if current is not None and not incarnation.started_ms:
            return self._end(current, now)
        return self.end_incarnation(incarnation, now)

    def end_incarnation(
        self, incarnation: TargetIncarnation, now: float
    ) -> str | None:
        """Ends an incarnation that has left or is leaving.

        Args:
            incarnation: The incarnation to end.
            now: Monotonic seconds.

        Returns:
            Name of the incarnation that was ended; None if the given one is not
            the current incarnation.
        """
        self._record_end(incarnation)
        current = self._current_by_target.get(incarnation.target)
        if current is not None and current.start_unknown:
            # The current incarnation may be the one that leaves. Otherwise its
            # next heartbeat has a later start time.
            name = current.incarnation.name
            current.incarnation, current.start_unknown = (
                incarnation,
                not incarnation.started_ms,
            )
            self._end(current, now)
            return name
        if current is not None and current.incarnation == incarnation:
            return self._end(current, now)
        return None

    def _end(self, current: _CurrentIncarnation, now: float) -> str:
        current.has_left, current.last = True, now
        self._record_end(current.incarnation)
        return current.incarnation.name

    def _begin(
        self, incarnation: TargetIncarnation, sequence: int, now: float
    ) -> HeartbeatKind:
        self._keep(_CurrentIncarnation(incarnation, now, now, sequence))
        return HeartbeatKind.FIRST

    def _no_heartbeat_expected(
        self, current: _CurrentIncarnation, now: float
    ) -> bool:
        """Whether no heartbeat of this or an earlier run is expected."""
        return (
            now - current.last > self.max_delay
            and now - current.first > self.max_delay
        )

    def _record_end(self, incarnation: TargetIncarnation) -> None:
        self._ended.pop(incarnation, None)
        self._ended[incarnation] = None
        while len(self._ended) > MAX_REMEMBERED:
            del self._ended[next(iter(self._ended))]

    def _keep(self, current: _CurrentIncarnation) -> _CurrentIncarnation:
        self._current_by_target.pop(current.incarnation.target, None)
        self._current_by_target[current.incarnation.target] = current
        while len(self._current_by_target) > MAX_REMEMBERED:
            del self._current_by_target[next(iter(self._current_by_target))]
        return current
