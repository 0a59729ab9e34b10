"""Follows the platform's store: the configuration, and who may be joined."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

import structlog

from forklift import errors
from forklift import interfaces

_log = structlog.get_logger(__name__)

# Seconds that one read waits for a change in the mean: long, as each call is
# paid for, but a read on a connection that fell silent notices only when it
# ends. So few processes wait less than many: where all connections fall silent
# at once, one of them begins a new read each 0.3 s and has the next version for
# all.
MAX_WAIT = 9.0
MIN_WAIT = 1.0
WAIT_PER_PROCESS = 0.3
# Part by which a wait is drawn longer or shorter, so that reads don't end at
# once.
WAIT_JITTER = 1 / 3
# The least part of it that is waited after a version, which all processes read
# at once: their next reads end spread over the whole wait.
MIN_WAIT_FRACTION = 0.02
# Seconds between two looks of a process that does not wait at the store, in the
# mean: it is told by peers, and this is for what no peer can tell it.
REFRESH_INTERVAL = 60.0
# Seconds between two reads that are given up since a peer had a version first.
RESTART_INTERVAL = 4.0
# First pause after a failure, and the longest, seconds.
INITIAL_BACKOFF = 0.2
MAX_BACKOFF = 0.8
# Seconds within which all announce themselves again where the store lost their
# records: two calls of each process, at a part of the rate that it takes.
REANNOUNCE_WINDOW = 0.5
REANNOUNCE_WINDOW_PER_PROCESS = 0.01
# Seconds between two meetings at most: half of the time after which processes
# forget each other, at two calls each.
ANNOUNCE_INTERVAL = 300.0


class Backoff:
    """Pauses between failed calls, which grow."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """A call was answered."""
        self._failures = 0

    async def wait(self) -> None:
        """Waits after a failed call."""
        longest = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**self._failures)
        self._failures += 1
        await asyncio.sleep(longest * (0.5 + self._rng.random() / 2))


class StoreFollower:
    """Reads the configuration from the store for ever."""

    def __init__(
        self,
        registry: interfaces.Registry,
        rng: random.Random,
        on_record: Callable[[bytes], None],
        processes: Callable[[], int] = lambda: 1,
        waits: Callable[[], bool] = lambda: True,
    ):
        """Makes a follower.

        Args:
            registry: The store.
            rng: Draws waits and pauses.
            on_record: Takes each record.
            processes: How many processes wait at the store, as far as known.
            waits: Whether this process is one of them.
        """
        self._registry = registry
        self._rng = rng
        self._on_record = on_record
        self._processes = processes
        self._is_reader = waits
        # Set while this process is one that waits at the store.
        self._waiting = asyncio.Event()
        self._pause = Backoff(rng)
        self._restart_requested = asyncio.Event()
        self._restarted_at = -math.inf
        # Whether the last read ended by a version, as those of all others did.
        self._in_step = False
        # Whether the store did not answer the last call.
        self.unavailable = False

    async def run(self) -> None:
        """Reads for ever."""
        position: int | None = None
        while True:
            if position is not None and not self._is_reader():
                await self._rest()
                position = None
            try:
                found = await self._read_until_restart(position)
            except errors.RegistryGap as error:
                _log.info("store_gap", detail=str(error))
                position = None
                continue
            except errors.RegistryUnavailable as error:
                self._lost(error)
                await self._pause.wait()
                continue
            self._back()
            position = found.position
            self._in_step = found.record is not None
            if found.record is not None:
                self._on_record(found.record)

    def update_role(self) -> None:
        """Lets this process wait at the store again where that is its part."""
        if self._is_reader():
            self._waiting.set()
        else:
            self._waiting.clear()

    async def _rest(self) -> None:
        """Leaves the store to others until it is this process's part again."""
        self._waiting.clear()
        seconds = REFRESH_INTERVAL * self._rng.uniform(0.5, 1.5)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._waiting.wait(), seconds)

    def on_newer_from_peer(self, now: float) -> None:
        """A peer brought a version that the store has not told.

        The read that waits may hang on a connection that fell silent, which
        nothing else shows before its time is over.

        Args:
            now: Monotonic seconds.
        """
        if now - self._restarted_at >= RESTART_INTERVAL:
            self._restarted_at = now
            self._restart_requested.set()

    def restart_read(self) -> None:
        """What is known of the store may be over: it is read anew at once."""
        self._restart_requested.set()
        self._waiting.set()

    async def _read_until_restart(
        self, position: int | None
    ) -> interfaces.ConfigurationRead:
        self._restart_requested.clear()
        read = asyncio.create_task(self._read(position))
        overtaken = asyncio.create_task(self._restart_requested.wait())
        try:
            await asyncio.wait(
                (read, overtaken), return_when=asyncio.FIRST_COMPLETED
            )
            if read.done():
                return read.result()
            raise errors.RegistryUnavailable("a peer had a version first")
        finally:
            read.cancel()
            overtaken.cancel()
            await asyncio.gather(read, overtaken, return_exceptions=True)

    def _wait(self) -> float:
        """Seconds that the next read waits for a change."""
        mean = WAIT_PER_PROCESS * self._processes()
        mean = min(MAX_WAIT, max(MIN_WAIT, mean))
        wait = mean * self._rng.uniform(1 - WAIT_JITTER, 1 + WAIT_JITTER)
        if self._in_step:
            wait *= self._rng.uniform(MIN_WAIT_FRACTION, 1.0)
        return wait

    async def _read(self, position: int | None) -> interfaces.ConfigurationRead:
        if position is None:
            return await self._registry.configuration()
        wait = self._wait()
        return await self._registry.next_configuration(position, wait)

    def _lost(self, error: errors.RegistryUnavailable) -> None:
        if not self.unavailable:
            _log.warning("store_lost", detail=str(error))
        self.unavailable = True

    def _back(self) -> None:
        self._pause.reset()
        if self.unavailable:
            _log.info("store_back")
        self.unavailable = False


async def join_fleet(
    registry: interfaces.Registry,
    rng: random.Random,
    name: str,
    data: bytes,
    on_members: Callable[[dict[str, bytes]], None],
    lost: asyncio.Event,
    processes: Callable[[], int] = lambda: 1,
) -> None:
    """Announces this process and reads who else did, for ever.

    Whoever announces itself later finds this process and makes itself known.
    It is done again now and then: processes that a long cut kept apart have
    forgotten each other and would meet nowhere else. It is done soon where the
    store lost records, but not by all in one moment.
    """
    while True:
        lost.clear()
        await _join_fleet_once(registry, rng, name, data, on_members)
        pause = ANNOUNCE_INTERVAL * (0.5 + rng.random() / 2)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(lost.wait(), pause)
            spread = (
                REANNOUNCE_WINDOW + processes() * REANNOUNCE_WINDOW_PER_PROCESS
            )
            await asyncio.sleep(spread * rng.random())


async def _join_fleet_once(
    registry: interfaces.Registry,
    rng: random.Random,
    name: str,
    data: bytes,
    on_members: Callable[[dict[str, bytes]], None],
) -> None:
    pause = Backoff(rng)
    announced = False
    while True:
        try:
            if not announced:
                await registry.announce(name, data)
                announced = True
            on_members(await registry.members())
            return
        except errors.RegistryUnavailable as error:
            _log.info("meeting_failed", detail=str(error))
            await pause.wait()
