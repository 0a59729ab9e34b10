"""Follows the platform's store: the configuration, and who may be joined."""

import asyncio
import random
from collections.abc import Callable

import structlog

from forklift import errors
from forklift import ports

_log = structlog.get_logger(__name__)

# Seconds that one read waits for a change: long, as each call is paid for, but
# a read that hangs on a silent store notices only when it ends.
WAIT_LEAST = 6.0
WAIT_MOST = 12.0
# First pause after a failure, and the longest, seconds.
PAUSE_FIRST = 0.2
PAUSE_MOST = 0.8
# Seconds between two meetings at most: half of the time after which processes
# forget each other, at two calls each.
MEET_EVERY = 300.0


class _Pause:
    """Pauses between failed calls, which grow."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """A call was answered."""
        self._failures = 0

    async def wait(self) -> None:
        """Waits after a failed call."""
        longest = min(PAUSE_MOST, PAUSE_FIRST * 2**self._failures)
        self._failures += 1
        await asyncio.sleep(longest * (0.5 + self._rng.random() / 2))


class Follower:
    """Reads the configuration from the store for ever."""

    def __init__(
        self,
        registry: ports.Registry,
        rng: random.Random,
        on_record: Callable[[bytes], None],
    ):
        self._registry = registry
        self._rng = rng
        self._on_record = on_record
        self._pause = _Pause(rng)
        # Whether the store did not answer the last call.
        self.away = False

    async def run(self) -> None:
        """Reads for ever."""
        position: int | None = None
        while True:
            try:
                found = await self._read(position)
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
            if found.record is not None:
                self._on_record(found.record)

    async def _read(self, position: int | None) -> ports.Found:
        if position is None:
            return await self._registry.configuration()
        wait = self._rng.uniform(WAIT_LEAST, WAIT_MOST)
        return await self._registry.next_configuration(position, wait)

    def _lost(self, error: errors.RegistryUnavailable) -> None:
        if not self.away:
            _log.warning("store_lost", detail=str(error))
        self.away = True

    def _back(self) -> None:
        self._pause.reset()
        if self.away:
            _log.info("store_back")
        self.away = False


async def meet(
    registry: ports.Registry,
    rng: random.Random,
    name: str,
    data: bytes,
    on_members: Callable[[dict[str, bytes]], None],
) -> None:
    """Announces this process and reads who else did, for ever.

    Whoever announces itself later finds this process and makes itself known.
    It is done again now and then: processes that a long cut kept apart have
    forgotten each other and would meet nowhere else.
    """
    while True:
        await _meet_once(registry, rng, name, data, on_members)
        await asyncio.sleep(MEET_EVERY * (0.5 + rng.random() / 2))


async def _meet_once(
    registry: ports.Registry,
    rng: random.Random,
    name: str,
    data: bytes,
    on_members: Callable[[dict[str, bytes]], None],
) -> None:
    pause = _Pause(rng)
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
