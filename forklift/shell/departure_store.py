"""Stores which targets have left, so that restarted processes know it.

A process acknowledges that a target leaves. If the process ends, its memory of
that is gone, and heartbeats that the target sent before may still arrive. Each
departure is therefore written to the store before it is acknowledged. The
records are stored next to those of the processes, which each process reads when
it starts.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Coroutine

import structlog

from forklift import departures
from forklift import errors
from forklift import interfaces
from forklift import invalid_input
from forklift import messages
from forklift import rendezvous
from forklift import stored_records
from forklift.shell import clock as clocks
from forklift.shell import store_follower

_log = structlog.get_logger(__name__)

# Seconds for which a departure is stored after the last heartbeat. It is many
# times the delay of a heartbeat.
RETENTION_SECONDS = 600.0
# Maximum number of old records that are deleted after a read. Each deletion
# costs the store a write.
MAX_DELETIONS_PER_READ = 100
# Stands in place of a target's name for the checkpoint of a process.
_CHECKPOINT = ""


@dataclasses.dataclass
class _Departure:
    """A departure of a target.

    Attributes:
        at: Wall time of the departure, seconds since the epoch.
        epoch: Epoch of the store that holds the record; None if it is not known
            to be stored.
        write: The write of the record; None if none is running.
    """

    at: float
    epoch: int | None = None
    write: asyncio.Task | None = None


class DepartureStore:
    """Writes and loads the departures of the targets of a process."""

    def __init__(
        self,
        name: str,
        store: interfaces.Registry,
        clock: clocks.SystemClock,
        rng: random.Random,
        spawn: Callable[[Coroutine], asyncio.Task],
        other_processes: Callable[[], list[str]],
        on_loaded: Callable[[str], None],
        on_complete: Callable[[], None] = lambda: None,
    ):
        """Creates an instance that has written nothing.

        Args:
            name: Name of this process.
            store: Store that the records are written to.
            clock: Source of time.
            rng: Random numbers for the backoff.
            spawn: Runs a coroutine in the background.
            other_processes: Returns the names of the other processes.
            on_loaded: Called with the name of each incarnation of a target of
                this process that an earlier run of the process has recorded.
            on_complete: Called when all departures of the targets of this
                process are known.
        """
        self._name = name
        self._store = store
        self._clock = clock
        self._rng = rng
        self._spawn = spawn
        self._other_processes = other_processes
        self._on_loaded = on_loaded
        self._on_complete = on_complete
        self._departure_by_target: dict[str, _Departure] = {}
        self._completeness = departures.Completeness()
        self._was_read = False
        # Whether a task waits to write a checkpoint.
        self._checkpoint_pending = False
        # Names of old records that are being deleted.
        self._deletions: list[str] = []

    def record(self, target: str) -> asyncio.Future | None:
        """Stores that a target has left or is leaving.

        Args:
            target: Name of the target's incarnation.

        Returns:
            The write, which is done once the departure is stored; None if it
            is stored already.
        """
        if target not in self._departure_by_target:
            self._forget_old()
            departure = _Departure(self._clock.wall())
            self._departure_by_target[target] = departure
            self._start_write(target, departure)
        return self._departure_by_target[target].write

    def has_left(self, target: str) -> bool:
        """Whether the departure of an incarnation was recorded."""
        return target in self._departure_by_target

    def refresh(self, target: str) -> None:
        """Extends the retention of a departure, as the target still runs.

        A target that an operator has drained sends heartbeats as before.
        """
        departure = self._departure_by_target.get(target)
        if departure is None or departure.write is not None:
            return
        if self._clock.wall() - departure.at > RETENTION_SECONDS / 2:
            departure.at = self._clock.wall()
            self._start_write(target, departure)

    def handle_loss(self) -> None:
        """Writes all departures again, as the store has lost records."""
        for departure in self._departure_by_target.values():
            departure.epoch = None
        self._start_missing_writes()
        self._start_checkpoint()

    # Reads.

    def load(self, record_name: str, data: bytes) -> None:
        """Reads a stored record, and deletes it if it is no longer needed.

        An invalid record is counted and ignored.

        Args:
            record_name: Name of the record.
            data: Contents of the record.
        """
        try:
            stored = stored_records.decode(record_name, data)
        except messages.MalformedMessage as error:
            invalid_input.record(
                invalid_input.Source.MEMBER, str(error), name=record_name
            )
            return
        is_own = stored.process == self._name
        if isinstance(stored, departures.Checkpoint):
            if is_own:
                self._completeness.record_checkpoint(stored.epoch)
            return
        if self._clock.wall() - stored.at > RETENTION_SECONDS:
            self._delete_if_owned(record_name)
            return
        if is_own and stored.target not in self._departure_by_target:
            self._departure_by_target[stored.target] = _Departure(stored.at)
            self._on_loaded(stored.target)

    def finish_loading(self, epoch: int) -> None:
        """Handles the end of a read of all records.

        Args:
            epoch: Epoch of the store in which they were read.
        """
        for departure in self._departure_by_target.values():
            if departure.epoch is None and departure.write is None:
                departure.epoch = epoch
        if epoch != self._store.epoch:
            # The store has lost records since the read.
            self.handle_loss()
        was_read, self._was_read = self._was_read, True
        was_complete = self._completeness.is_complete
        self._completeness.record_read(epoch)
        if self._completeness.is_complete and not was_complete:
            self._on_complete()
        if not self._completeness.is_complete and not was_read:
            _log.warning("departures_incomplete", epoch=epoch)
            self._spawn(self._assume_complete_later())

    async def _assume_complete_later(self) -> None:
        """Waits until no target that left before the start matters any more."""
        await asyncio.sleep(RETENTION_SECONDS)
        if not self._completeness.is_complete:
            self._completeness.assume_complete()
            self._on_complete()
            self._start_checkpoint()

    # Writes.

    def _start_missing_writes(self) -> list[asyncio.Task]:
        """Writes departures that the current epoch lacks.

        Returns:
            All writes that are running.
        """
        for target, departure in self._departure_by_target.items():
            if departure.write is None and departure.epoch != self._store.epoch:
                self._start_write(target, departure)
        return [
            departure.write
            for departure in self._departure_by_target.values()
            if departure.write is not None
        ]

    def _start_write(self, target: str, departure: _Departure) -> None:
        departure.write = self._spawn(self._write(target, departure))
        departure.write.add_done_callback(
            lambda done: self._end_write(target, departure, done)
        )

    def _end_write(
        self, target: str, departure: _Departure, write: asyncio.Task
    ) -> None:
        departure.write = None
        if not _is_successful(write):
            # The next call about the departure writes it again.
            self._departure_by_target.pop(target, None)
        elif departure.epoch != self._store.epoch:
            # The store was restored from a backup since.
            self._start_write(target, departure)

    async def _write(self, target: str, departure: _Departure) -> None:
        """Writes a record; retries with backoff until the store answers."""
        record_name = stored_records.departure_name(self._name, target)
        stored = departures.StoredDeparture(self._name, target, departure.at)
        data = departures.encode(stored)
        departure.epoch = await self._announce_until_stored(
            record_name, data, target=target
        )

    async def _announce_until_stored(
        self, record_name: str, data: bytes, target: str
    ) -> int:
        """Writes a record; returns the epoch of the store that holds it."""
        backoff = store_follower.Backoff(self._rng)
        while True:
            try:
                return await self._store.announce(record_name, data)
            except errors.RegistryUnavailable as error:
                _log.info(
                    "departure_write_failed", target=target, detail=str(error)
                )
            await backoff.wait()

    def _start_checkpoint(self) -> None:
        if not self._checkpoint_pending:
            self._checkpoint_pending = True
            self._spawn(self._write_checkpoint())

    async def _write_checkpoint(self) -> None:
        """Stores that the store holds all departures in its current epoch."""
        try:
            await store_follower.wait_to_reannounce(
                self._rng, len(self._other_processes()) + 1
            )
            while self._completeness.needs_checkpoint(self._store.epoch):
                writes = self._start_missing_writes()
                if writes:
                    await asyncio.wait(writes)
                    continue
                epoch = self._store.epoch
                checkpoint = departures.Checkpoint(self._name, epoch)
                await self._announce_until_stored(
                    stored_records.departure_name(self._name, _CHECKPOINT),
                    departures.encode(checkpoint),
                    target=_CHECKPOINT,
                )
                self._completeness.record_checkpoint(epoch)
        finally:
            self._checkpoint_pending = False

    def _delete_if_owned(self, record_name: str) -> None:
        """Deletes an old record if this process is responsible for it.

        The process that wrote the record may be gone for good.
        """
        if len(self._deletions) >= MAX_DELETIONS_PER_READ:
            # The record is read, and deleted, again later.
            return
        names = [self._name, *self._other_processes()]
        if rendezvous.select(record_name, names, 1) != [self._name]:
            return
        self._deletions.append(record_name)
        if len(self._deletions) == 1:
            self._spawn(self._delete_old())

    async def _delete_old(self) -> None:
        """Deletes old records, one at a time."""
        try:
            for record_name in self._deletions:
                await self._store.announce(record_name, b"")
        except errors.RegistryUnavailable as error:
            _log.info("departure_delete_failed", detail=str(error))
        finally:
            self._deletions.clear()

    def _forget_old(self) -> None:
        oldest = self._clock.wall() - RETENTION_SECONDS
        for target, departure in list(self._departure_by_target.items()):
            if departure.at < oldest and departure.write is None:
                del self._departure_by_target[target]


async def wait_until_stored(
    write: asyncio.Future | None, timeout: float
) -> bool:
    """Waits for a write.

    Args:
        write: Result of `DepartureStore.record`.
        timeout: Maximum time to wait, in seconds.

    Returns:
        Whether the departure is stored.
    """
    if write is None:
        return True
    await asyncio.wait((write,), timeout=timeout)
    return write.done() and _is_successful(write)


def _is_successful(write: asyncio.Future) -> bool:
    return not write.cancelled() and write.exception() is None
