"""Leases on the log: one holder of a resource at a time.

A takeover on the log starts an epoch; the first in log order wins it. The
holder keeps its lease while it has, in the last `LEASE` seconds, either read
the log to its end without finding a takeover, or had a promise from every
successor that the lease names. A successor stops promising before it appends
a takeover, and the new holder waits out one lease, so the old one has stopped
by then, also when it was paused. A process that is no successor must wait
until promises alone can't carry the old holder any further (`MAX_AWAY`).
"""

import dataclasses

from forklift import messages

LEASE = 6.0
# Share by which clocks may run apart, and time to stop.
MARGIN = 0.5
# Seconds that promises carry a holder that can't read the log.
MAX_AWAY = 14_400.0
SUCCESSORS = 2
PROMISE_PERIOD = 1.5


@dataclasses.dataclass(frozen=True)
class Grant:
    """The latest epoch of a resource on the log.

    Attributes:
        epoch: Its number.
        holder: Name of the process.
        boot: Its boot.
        successors: Processes whose promises stand in for the log.
        released: Whether the holder gave it up.
        certain: Whether no earlier claim of this epoch can be missing.
        known_from: Of a released one: see `messages.Release`.
    """

    epoch: int
    holder: str
    boot: int
    successors: tuple[str, ...]
    released: bool = False
    certain: bool = True
    known_from: float = 0.0


class Table:
    """The leases as the log tells them."""

    def __init__(self):
        self.grant_by_resource: dict[str, Grant] = {}
        self._from_start = True

    def missed(self) -> None:
        """Records were taken by retention, unread."""
        self._from_start = False
        for resource, grant in self.grant_by_resource.items():
            doubtful = dataclasses.replace(grant, certain=False)
            self.grant_by_resource[resource] = doubtful

    def apply(
        self, record: messages.Takeover | messages.Release
    ) -> Grant | None:
        """Takes a record in; returns the grant it replaced, if it counted."""
        known = self.grant_by_resource.get(record.resource)
        if isinstance(record, messages.Release):
            return self._release(known, record)
        if not self._counts(known, record):
            return None
        self.grant_by_resource[record.resource] = Grant(
            record.epoch,
            record.holder,
            record.boot,
            record.successors,
            certain=record.refresh or known is not None or self._from_start,
        )
        return known or Grant(0, "", 0, (), released=True)

    def _counts(self, known: Grant | None, record: messages.Takeover) -> bool:
        if known is None:
            return record.epoch == 1 or not self._from_start
        if record.refresh:
            if record.epoch == known.epoch:
                same = record.boot == known.boot
                return (same and not known.released) or not known.certain
            return record.epoch > known.epoch and not known.certain
        if not known.certain:
            return record.epoch > known.epoch
        return record.epoch == known.epoch + 1

    def _release(
        self, known: Grant | None, record: messages.Release
    ) -> Grant | None:
        if known is None or known.epoch != record.epoch:
            return None
        if known.boot != record.boot:
            return None
        self.grant_by_resource[record.resource] = dataclasses.replace(
            known, released=True, known_from=record.known_from
        )
        return known


class Holding:
    """A lease that this process took over: may it act on it now?"""

    def __init__(self, resource: str, grant: Grant, read: float, starts: float):
        """Begins a tenure.

        Args:
            resource: What is leased.
            grant: The grant that was read back.
            read: Monotonic seconds at which it was read back.
            starts: Monotonic seconds at which it takes effect.
        """
        self.resource = resource
        self.grant = grant
        self.starts = starts
        self.released = False
        # Not `starts`: while it waits, another may take over unseen.
        self._log_confirmed = read
        self._promised_by_name: dict[str, float] = {}
        self._sent_by_number: dict[int, tuple[str, float]] = {}
        # Asked as well until a refresh that names others has been read back.
        self._also: frozenset[str] = frozenset()

    def held(self, now: float) -> bool:
        """Whether this process is the holder at this moment."""
        if self.released or now < self.starts:
            return False
        return now < self.until()

    def until(self) -> float:
        """Monotonic seconds at which the lease ends unless renewed."""
        by_log = self._log_confirmed + LEASE
        names = self._asked()
        if not names:
            return by_log
        never = float("-inf")
        oldest = min(self._promised_by_name.get(n, never) for n in names)
        by_promise = min(oldest + LEASE, self._log_confirmed + MAX_AWAY)
        return max(by_log, by_promise)

    def confirm(self, read_sent: float) -> None:
        """The log was read to its end by a read sent then: no takeover."""
        self._log_confirmed = max(self._log_confirmed, read_sent)

    def ask(self, number: int, name: str, now: float) -> None:
        """A promise was asked for."""
        self._sent_by_number[number] = (name, now)
        for old in [n for n in self._sent_by_number if n < number - 64]:
            del self._sent_by_number[old]

    def promised(self, number: int, name: str) -> None:
        """A promise arrived; it counts from when it was asked for."""
        asked, sent = self._sent_by_number.pop(number, ("", 0.0))
        if asked == name:
            before = self._promised_by_name.get(name, float("-inf"))
            self._promised_by_name[name] = max(before, sent)

    def rename(self, successors: tuple[str, ...]) -> None:
        """A refresh that names other successors is about to be appended."""
        self._also = frozenset(successors)

    def refreshed(self, grant: Grant) -> None:
        """The refresh was read back from the log."""
        self.grant = grant
        self._also = frozenset()

    def successors(self) -> frozenset[str]:
        """Names of all whose promises are needed."""
        return self._asked()

    def _asked(self) -> frozenset[str]:
        return frozenset(self.grant.successors) | self._also


def starts_at(before: Grant, name: str, boot: int, now: float) -> float:
    """When a takeover that was read back now takes effect.

    Args:
        before: The grant that it replaced.
        name: Name of the new holder.
        boot: Its boot.
        now: Monotonic seconds at which it was read back.
    """
    if before.released or before.boot == boot:
        return now
    wait = LEASE + MARGIN
    if name not in before.successors and before.successors:
        wait += MAX_AWAY
    return now + wait


class Promises:
    """The promises of this process not to take over."""

    def __init__(self):
        self._taking_by_resource: dict[str, int] = {}

    def take(self, resource: str, epoch: int) -> None:
        """This process starts to take over the epoch after `epoch`."""
        self._taking_by_resource[resource] = epoch

    def may(self, resource: str, epoch: int, table: Table) -> bool:
        """Whether the holder of an epoch may be given a promise."""
        if self._taking_by_resource.get(resource, -1) >= epoch:
            return False
        grant = table.grant_by_resource.get(resource)
        return grant is None or grant.epoch <= epoch
