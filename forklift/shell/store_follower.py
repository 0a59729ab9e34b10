"""Follows the platform's store: the configuration and the fleet's members."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

import structlog

from forklift import errors
from forklift import interfaces

_log = structlog.get_logger(__name__)

# Maximum of the mean duration of a long poll, in seconds. Polls are long, as
# each call is paid for, but a poll on a connection that failed silently notices
# that only when it ends.
MAX_POLL_SECONDS = 9.0
# Minimum of the mean duration of a long poll, in seconds.
MIN_POLL_SECONDS = 1.0
# Mean duration of a long poll for each reader, in seconds: the more readers
# there are, the longer each of them polls. If all connections fail silently at
# once, one reader begins a new poll every 0.3 s and has the next version for
# all.
POLL_SECONDS_PER_READER = 0.3
# Jitter of the duration of a poll, as a fraction of the mean.
POLL_JITTER = 1 / 3
# Minimum of the random fraction to which a reader shortens its next poll after
# a new version has ended the polls of all readers at once. The next polls then
# end spread over the whole interval.
MIN_POLL_FRACTION = 0.02
# Mean seconds between two reads by a process that is not a reader, in case its
# peers do not send it a new version.
REFRESH_INTERVAL = 60.0
# Minimum seconds between two restarts of the poll after a peer sent a newer
# version.
RESTART_INTERVAL = 4.0
# Maximum delay after the first failed call, in seconds; each further failure
# doubles it.
INITIAL_BACKOFF = 0.2
# Longest backoff in seconds, however many calls have failed in a row.
MAX_BACKOFF = 0.8
# Seconds over which the processes spread their announcements after the store
# lost them.
REANNOUNCE_WINDOW = 0.5
# Seconds added to that window for each process, to respect the rate limit of
# the store.
REANNOUNCE_WINDOW_PER_PROCESS = 0.01
# Maximum seconds between two announcements of a process. It is half of the time
# after which processes forget each other.
ANNOUNCE_INTERVAL = 300.0


class Backoff:
    """Exponential backoff with jitter between failed calls."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Resets the delay after a successful call."""
        self._failures = 0

    async def wait(self) -> None:
        """Sleeps after a failed call, longer after each further one."""
        max_delay = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**self._failures)
        self._failures += 1
        await asyncio.sleep(max_delay * (0.5 + self._rng.random() / 2))


class StoreFollower:
    """Reads each new configuration from the store.

    Attributes:
        unavailable: Whether the store did not answer the last call.
    """

    def __init__(
        self,
        store: interfaces.Registry,
        rng: random.Random,
        on_record: Callable[[bytes], None],
        reader_count: Callable[[], int] = lambda: 1,
        is_reader: Callable[[], bool] = lambda: True,
    ):
        """Creates a follower that has read nothing.

        Args:
            store: Store that is read.
            rng: Random numbers for the jitter.
            on_record: Called with each configuration record.
            reader_count: Returns the number of processes that poll the store,
                as far as known.
            is_reader: Returns whether this process is one of them.
        """
        self._store = store
        self._rng = rng
        self._on_record = on_record
        self._reader_count = reader_count
        self._is_reader = is_reader
        # Set when a process that is not a reader must read at once.
        self._read_now = asyncio.Event()
        self._backoff = Backoff(rng)
        self._restart_requested = asyncio.Event()
        self._restarted_at = -math.inf
        # Whether the last poll returned a new version.
        self._ended_by_version = False
        self.unavailable = False

    async def run(self) -> None:
        """Reads the configuration until cancelled."""
        position: int | None = None
        while True:
            if position is not None and not self._is_reader():
                await self._wait_to_read()
                position = None
            try:
                result = await self._read_until_restart(position)
            except errors.RegistryGap as error:
                _log.info("store_gap", detail=str(error))
                position = None
                continue
            except errors.RegistryUnavailable as error:
                self._record_failure(error)
                await self._backoff.wait()
                continue
            self._record_success()
            position = result.position
            self._ended_by_version = result.record is not None
            if result.record is not None:
                self._on_record(result.record)

    def update_role(self) -> None:
        """Wakes the follower if this process has become a reader."""
        if self._is_reader():
            self._read_now.set()
        else:
            self._read_now.clear()

    async def _wait_to_read(self) -> None:
        """Waits until this process is a reader, or the next refresh is due."""
        self._read_now.clear()
        seconds = REFRESH_INTERVAL * self._rng.uniform(0.5, 1.5)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._read_now.wait()

    def handle_newer_peer_version(self, now: float) -> None:
        """Restarts the poll after a peer sent a newer version than the store.

        The connection of the poll may be silently broken, which would go
        unnoticed until the poll ends.

        Args:
            now: Monotonic seconds.
        """
        if now - self._restarted_at >= RESTART_INTERVAL:
            self._restarted_at = now
            self._restart_requested.set()

    def restart_read(self) -> None:
        """Reads the store again at once, as it may have lost records."""
        self._restart_requested.set()
        self._read_now.set()

    async def _read_until_restart(
        self, position: int | None
    ) -> interfaces.ConfigurationRead:
        """Reads the next record.

        Raises:
            errors.RegistryGap: The store no longer has the records at the
                position.
            errors.RegistryUnavailable: The store did not answer, or a restart
                was requested.
        """
        self._restart_requested.clear()
        read = asyncio.create_task(self._read(position))
        restart = asyncio.create_task(self._restart_requested.wait())
        try:
            await asyncio.wait(
                (read, restart), return_when=asyncio.FIRST_COMPLETED
            )
            if read.done():
                return read.result()
            raise errors.RegistryUnavailable(
                "poll restarted, as a peer has a newer version or epoch"
            )
        finally:
            read.cancel()
            restart.cancel()
            await asyncio.gather(read, restart, return_exceptions=True)

    def _next_wait(self) -> float:
        """Duration of the next long poll, in seconds."""
        mean = POLL_SECONDS_PER_READER * self._reader_count()
        mean = min(MAX_POLL_SECONDS, max(MIN_POLL_SECONDS, mean))
        wait = mean * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
        if self._ended_by_version:
            wait *= self._rng.uniform(MIN_POLL_FRACTION, 1.0)
        return wait

    async def _read(self, position: int | None) -> interfaces.ConfigurationRead:
        if position is None:
            return await self._store.configuration()
        wait = self._next_wait()
        return await self._store.next_configuration(position, wait)

    def _record_failure(self, error: errors.RegistryUnavailable) -> None:
        if not self.unavailable:
            _log.warning("store_unavailable", detail=str(error))
        self.unavailable = True

    def _record_success(self) -> None:
        self._backoff.reset()
        if self.unavailable:
            _log.info("store_available")
        self.unavailable = False


async def join_fleet(
    store: interfaces.Registry,
    rng: random.Random,
    name: str,
    data: bytes,
    on_members: Callable[[interfaces.MembersRead], None],
    records_lost: asyncio.Event,
    process_count: Callable[[], int] = lambda: 1,
    accepts: Callable[[str, bytes], bool] = lambda name, data: True,
) -> None:
    """Announces this process in the store and reads the members, repeatedly.

    Processes that were partitioned for a long time have forgotten each other
    and can find each other only in the store. The announcement is therefore
    repeated, at the latest after ANNOUNCE_INTERVAL, and after a short random
    delay if the store has lost records.

    Args:
        store: Store that is read.
        rng: Random numbers for the jitter.
        name: Name of this process.
        data: Record of this process.
        on_members: Called with the records of all members.
        records_lost: Set when the store has lost records.
        process_count: Returns the number of processes in the fleet.
        accepts: See `interfaces.Registry.members`.
    """
    while True:
        records_lost.clear()
        await _join_fleet_once(store, rng, name, data, on_members, accepts)
        interval = ANNOUNCE_INTERVAL * (0.5 + rng.random() / 2)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval):
                await records_lost.wait()
            await wait_to_reannounce(rng, process_count())


async def wait_to_reannounce(rng: random.Random, process_count: int) -> None:
    """Sleeps for a random time, so that not all processes write at once.

    Args:
        rng: Random numbers for the jitter.
        process_count: Number of processes in the fleet.
    """
    window = REANNOUNCE_WINDOW + process_count * REANNOUNCE_WINDOW_PER_PROCESS
    await asyncio.sleep(window * rng.random())


async def _join_fleet_once(
    store: interfaces.Registry,
    rng: random.Random,
    name: str,
    data: bytes,
    on_members: Callable[[interfaces.MembersRead], None],
    accepts: Callable[[str, bytes], bool],
) -> None:
    backoff = Backoff(rng)
    announced = False
    while True:
        try:
            if not announced:
                await store.announce(name, data)
                announced = True
            on_members(await store.members(accepts))
            return
        except errors.RegistryUnavailable as error:
            _log.info("join_failed", detail=str(error))
            await backoff.wait()
