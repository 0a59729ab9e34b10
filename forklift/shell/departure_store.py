"""Stores which targets have left, so that restarted processes know it.

A process acknowledges that a target leaves. If the process ends, its memory of
that is gone, and heartbeats that the target sent before may still arrive. Each
departure is therefore written to the store before it is acknowledged. The
records are stored next to those of the processes, which each process reads when
it starts.
"""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Coroutine

import structlog
import xxhash

from forklift import departures
from forklift import errors
from forklift import interfaces
from forklift import invalid_input
from forklift import messages
from forklift import rendezvous
from forklift.shell import clock as clocks
from forklift.shell import store_follower

_log = structlog.get_logger(__name__)

# Prefix of the records' names; no name of a process starts with it.
RECORD_PREFIX = "left/"
# Seconds for which a departure is stored after the last heartbeat. It is many
# times the delay of a heartbeat.
RETENTION_SECONDS = 600.0


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
        """
        self._name = name
        self._store = store
        self._clock = clock
        self._rng = rng
        self._spawn = spawn
        self._other_processes = other_processes
        self._on_loaded = on_loaded
        # Wall time of each departure, seconds since the epoch.
        self._left_at_by_target: dict[str, float] = {}
        # Writes of the departures that are not known to be stored.
        self._write_by_target: dict[str, asyncio.Future] = {}

    def record(self, target: str) -> asyncio.Future | None:
        """Stores that a target has left or is leaving.

        Args:
            target: Name of the target's incarnation.

        Returns:
            The write, which is done once the departure is stored; None if it
            is stored already.
        """
        if target not in self._left_at_by_target:
            self._forget_old()
            self._left_at_by_target[target] = self._clock.wall()
            self._start_write(target)
        return self._write_by_target.get(target)

    def has_left(self, target: str) -> bool:
        """Whether the departure of an incarnation was recorded."""
        return target in self._left_at_by_target

    def refresh(self, target: str) -> None:
        """Extends the retention of a departure, as the target still runs.

        A target that an operator has drained sends heartbeats as before.
        """
        left_at = self._left_at_by_target.get(target)
        if left_at is None or target in self._write_by_target:
            return
        if self._clock.wall() - left_at > RETENTION_SECONDS / 2:
            self._left_at_by_target[target] = self._clock.wall()
            self._start_write(target)

    def rewrite_all(self) -> None:
        """Writes all departures again after the store lost records."""
        for target in self._left_at_by_target:
            if target not in self._write_by_target:
                self._start_write(target)

    def load(self, record_name: str, data: bytes) -> None:
        """Reads a stored record, and deletes it if it is no longer needed.

        An invalid record is counted and ignored.

        Args:
            record_name: Name of the record.
            data: Contents of the record.
        """
        try:
            stored = departures.decode(data)
        except messages.MalformedMessage as error:
            invalid_input.record(
                invalid_input.Source.MEMBER, str(error), name=record_name
            )
            return
        if self._clock.wall() - stored.at > RETENTION_SECONDS:
            self._delete_if_owned(record_name)
            return
        is_own = stored.process == self._name
        if is_own and stored.target not in self._left_at_by_target:
            self._left_at_by_target[stored.target] = stored.at
            self._on_loaded(stored.target)

    def _start_write(self, target: str) -> None:
        write = self._spawn(self._write(target))
        self._write_by_target[target] = write
        write.add_done_callback(lambda done: self._end_write(target, done))

    def _end_write(self, target: str, write: asyncio.Task) -> None:
        del self._write_by_target[target]
        if not _is_successful(write):
            # The next call about the departure writes it again.
            self._left_at_by_target.pop(target, None)

    async def _write(self, target: str) -> None:
        """Writes a record; retries with backoff until the store answers."""
        record_name = _record_name(self._name, target)
        left_at = self._left_at_by_target[target]
        stored = departures.StoredDeparture(self._name, target, left_at)
        data = departures.encode(stored)
        backoff = store_follower.Backoff(self._rng)
        while True:
            try:
                await self._store.announce(record_name, data)
                return
            except errors.RegistryUnavailable as error:
                _log.info(
                    "departure_write_failed", target=target, detail=str(error)
                )
            await backoff.wait()

    def _delete_if_owned(self, record_name: str) -> None:
        """Deletes an old record if this process is responsible for it.

        The process that wrote the record may be gone for good.
        """
        names = [self._name, *self._other_processes()]
        if rendezvous.select(record_name, names, 1) == [self._name]:
            self._spawn(self._delete(record_name))

    async def _delete(self, record_name: str) -> None:
        try:
            await self._store.announce(record_name, b"")
        except errors.RegistryUnavailable as error:
            # The record is read, and deleted, again later.
            _log.info("departure_delete_failed", detail=str(error))

    def _forget_old(self) -> None:
        oldest = self._clock.wall() - RETENTION_SECONDS
        for target, left_at in list(self._left_at_by_target.items()):
            if left_at < oldest and target not in self._write_by_target:
                del self._left_at_by_target[target]


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


def _record_name(process: str, target: str) -> str:
    """Returns the name of a record; hashed, as the store bounds its length."""
    digest = xxhash.xxh3_128_hexdigest(f"{process}\0{target}".encode())
    return RECORD_PREFIX + digest
