"""Decides which of two targets has an address that both announce as theirs.

A target may start at the address of one that has crashed, and a late heartbeat
of the crashed one may follow. The order of arrival does not tell which of them
started later. The start times tell it, where targets report them. Otherwise the
target that answers a health check at the address has it; if none tells its
name, the one that goes on sending heartbeats.
"""

import dataclasses

from forklift import heartbeats

# Maximum number of claims that are remembered. Far more than targets run on one
# instance.
MAX_CLAIMS = 1024
# Heartbeats in a row, without one of the registered target in between, by which
# a target gets an address if the health check does not tell whose it is.
REQUIRED_HEARTBEATS = 2
# Minimum time between these heartbeats, as a multiple of the heartbeat
# interval. A running registered target sends one meanwhile.
MIN_SPACING = 0.9


@dataclasses.dataclass(frozen=True)
class _Claim:
    """Heartbeats of a target whose address another target has.

    Attributes:
        newest: The newest heartbeat.
        since: Time when the first in the row arrived, monotonic seconds.
        count: Number of heartbeats in the row.
    """

    newest: heartbeats.Heartbeat
    since: float
    count: int = 1


def started_later(
    one: heartbeats.TargetIncarnation, other: heartbeats.TargetIncarnation
) -> bool | None:
    """Whether one target started later than another; None if not known.

    >>> old = heartbeats.TargetIncarnation("i-7", 80)
    >>> new = heartbeats.TargetIncarnation("i-8", 90)
    >>> started_later(new, old), started_later(old, new)
    (True, False)
    """
    if not one.started_ms or not other.started_ms:
        return None
    return one.started_ms > other.started_ms


class AddressClaims:
    """Targets that announce an address that another target has.

    Attributes:
        heartbeat_interval: Seconds between two heartbeats of a target.
    """

    def __init__(self, heartbeat_interval: float):
        """Creates an instance without claims.

        Args:
            heartbeat_interval: Seconds between two heartbeats of a target.
        """
        self.heartbeat_interval = heartbeat_interval
        self._claim_by_target: dict[str, _Claim] = {}

    def record_claim(self, heartbeat: heartbeats.Heartbeat, now: float) -> bool:
        """Records a heartbeat of a target whose address another target has.

        Args:
            heartbeat: The heartbeat.
            now: Monotonic seconds.

        Returns:
            Whether its heartbeats alone show that the address is its own.
        """
        name = heartbeat.incarnation.name
        claim = self._claim_by_target.pop(name, None)
        if claim is None or not claim.count:
            claim = _Claim(heartbeat, now)
        elif heartbeat.sequence > claim.newest.sequence:
            claim = _Claim(heartbeat, claim.since, claim.count + 1)
        spacing = (now - claim.since) / self.heartbeat_interval
        if claim.count >= REQUIRED_HEARTBEATS and spacing >= MIN_SPACING:
            return True
        self._claim_by_target[name] = claim
        while len(self._claim_by_target) > MAX_CLAIMS:
            del self._claim_by_target[next(iter(self._claim_by_target))]
        return False

    def record_heartbeat(self, address: str) -> None:
        """Records a heartbeat of the registered target at an address."""
        for name, claim in self._claim_by_target.items():
            if claim.newest.address == address:
                self._claim_by_target[name] = dataclasses.replace(
                    claim, count=0
                )

    @property
    def newest_heartbeats(self) -> list[heartbeats.Heartbeat]:
        """The newest heartbeat of each target with a claim."""
        return [claim.newest for claim in self._claim_by_target.values()]

    def take(self, name: str) -> heartbeats.Heartbeat | None:
        """Ends a claim.

        Args:
            name: Name of the target's incarnation.

        Returns:
            The newest heartbeat of the target; None if it has no claim.
        """
        claim = self._claim_by_target.pop(name, None)
        return claim.newest if claim is not None else None
