"""Decides which targets a process accepts that may have left before its start.

Heartbeats that a target sent before it left may arrive late. A process that
does not know all departures of targets therefore holds the heartbeats of
unknown targets back, until there is evidence that the target still runs:

- Its health check succeeds.
- Several heartbeats have arrived in a row, spaced like those of a running
  target, the last of them later than a heartbeat from before the start of the
  process usually would.

A target may report wrongly that it is healthy, and several heartbeats may be
late. It is therefore accepted under a lease that further heartbeats renew.
"""

import dataclasses

from forklift import heartbeats

# Maximum number of targets whose heartbeats are held back. Far more than run on
# one instance.
MAX_HELD = 1024
# Heartbeats in a row that show that a target still runs. Late ones may arrive
# one after the other, too.
REQUIRED_HEARTBEATS = 3
# Minimum and maximum time between two heartbeats in a row, as a multiple of the
# heartbeat interval. A partition that ends delivers several at once.
MIN_SPACING = 0.5
MAX_SPACING = 2.0
# Duration of a lease, as a multiple of the heartbeat interval.
LEASE_INTERVALS = 1.5


@dataclasses.dataclass(frozen=True)
class _Held:
    """Heartbeats of a target that are held back.

    Attributes:
        newest: The newest heartbeat.
        at: Time when the last one in the row arrived, monotonic seconds.
        count: Number of heartbeats in the row.
    """

    newest: heartbeats.Heartbeat
    at: float
    count: int = 1


@dataclasses.dataclass(frozen=True)
class _Lease:
    """Lease of a target that was accepted on evidence.

    Attributes:
        until: End of the lease, monotonic seconds.
        heartbeats: Number of heartbeats since the target was accepted.
    """

    until: float
    heartbeats: int = 0


class TargetEvidence:
    """Evidence that targets have not left, while departures are not known.

    >>> evidence = TargetEvidence(0.0, heartbeat_interval=1.5, max_delay=3.5)
    >>> incarnation = heartbeats.TargetIncarnation("i-7")
    >>> def heartbeat(sequence):
    ...     return heartbeats.Heartbeat(
    ...         incarnation, "s", "127.0.0.1:1", "d", 4, False, sequence
    ...     )
    >>> [evidence.holds(heartbeat(n), now) for n, now in ((1, 1.0), (2, 2.5))]
    [True, True]
    >>> evidence.holds(heartbeat(3), 4.0)
    False

    Attributes:
        heartbeat_interval: Seconds between two heartbeats of a target.
        records_read: Whether the stored departures were read, complete or not.
        departures_known: Whether all departures are known.
    """

    def __init__(
        self, started_at: float, heartbeat_interval: float, max_delay: float
    ):
        """Creates an instance that holds back the heartbeats of all targets.

        Args:
            started_at: Start of the process, monotonic seconds.
            heartbeat_interval: Seconds between two heartbeats of a target.
            max_delay: Seconds by which heartbeats are usually late at most.
        """
        self.heartbeat_interval = heartbeat_interval
        self._trusted_from = started_at + max_delay
        self._held_by_target: dict[str, _Held] = {}
        self._lease_by_target: dict[str, _Lease] = {}
        self.records_read = False
        self.departures_known = False

    def holds(self, heartbeat: heartbeats.Heartbeat, now: float) -> bool:
        """Records a heartbeat of a target that is not registered.

        Args:
            heartbeat: The heartbeat.
            now: Monotonic seconds.

        Returns:
            Whether it is held back, as the target may have left.
        """
        if self.departures_known:
            return False
        name = heartbeat.incarnation.name
        held = self._next_held(self._held_by_target.get(name), heartbeat, now)
        if held.count >= REQUIRED_HEARTBEATS and now >= self._trusted_from:
            self._held_by_target.pop(name, None)
            self.begin_lease(heartbeat.incarnation.target, now)
            return False
        self._held_by_target.pop(name, None)
        self._held_by_target[name] = held
        while len(self._held_by_target) > MAX_HELD:
            del self._held_by_target[next(iter(self._held_by_target))]
        return True

    def _next_held(
        self, held: _Held | None, heartbeat: heartbeats.Heartbeat, now: float
    ) -> _Held:
        """Returns the state after a further heartbeat."""
        if held is None:
            return _Held(heartbeat, now)
        if heartbeat.sequence <= held.newest.sequence:
            # It was sent before the newest one.
            return held
        spacing = (now - held.at) / self.heartbeat_interval
        if spacing < MIN_SPACING:
            return dataclasses.replace(held, newest=heartbeat)
        count = held.count + 1 if spacing <= MAX_SPACING else 1
        return _Held(heartbeat, now, count)

    def is_held(self, name: str) -> bool:
        """Whether the heartbeats of a target are held back.

        Args:
            name: Name of the target's incarnation.
        """
        return name in self._held_by_target

    @property
    def held_heartbeats(self) -> list[heartbeats.Heartbeat]:
        """The newest heartbeat of each target that is held back."""
        return [held.newest for held in self._held_by_target.values()]

    def accept_healthy(self, name: str) -> heartbeats.Heartbeat | None:
        """Ends the holding of a target whose health check has succeeded.

        Args:
            name: Name of the target's incarnation.

        Returns:
            Its newest heartbeat; None if it is not held back.
        """
        held = self._held_by_target.pop(name, None)
        return held.newest if held is not None else None

    def begin_lease(self, target: str, now: float) -> None:
        """Begins the lease of a target that is accepted on evidence.

        Args:
            target: Name that the target gives itself.
            now: Monotonic seconds.
        """
        if not self.departures_known:
            self._lease_by_target[target] = _Lease(self._lease_end(now))

    def record_heartbeat(self, target: str, now: float) -> None:
        """Renews the lease of a target; several heartbeats in a row end it.

        Args:
            target: Name that the target gives itself.
            now: Monotonic seconds.
        """
        lease = self._lease_by_target.get(target)
        if lease is None:
            return
        if lease.heartbeats + 1 >= REQUIRED_HEARTBEATS:
            del self._lease_by_target[target]
            return
        self._lease_by_target[target] = _Lease(
            self._lease_end(now), lease.heartbeats + 1
        )

    def end_expired_leases(self, now: float) -> list[str]:
        """Returns the targets whose leases have expired, and forgets them."""
        expired = [
            target
            for target, lease in self._lease_by_target.items()
            if now > lease.until
        ]
        for target in expired:
            del self._lease_by_target[target]
        return expired

    def _lease_end(self, now: float) -> float:
        return now + LEASE_INTERVALS * self.heartbeat_interval

    def release(self, since: float) -> list[heartbeats.Heartbeat]:
        """Ends the holding and all leases, as all departures are known.

        Args:
            since: Heartbeats that arrived earlier are dropped, monotonic
                seconds.

        Returns:
            The newest heartbeat of each target that was held back.
        """
        self.departures_known = True
        self._lease_by_target.clear()
        held, self._held_by_target = self._held_by_target, {}
        return [one.newest for one in held.values() if one.at >= since]
