"""Periodic timer of a process, slower while the process is idle.

Each tick takes CPU time from the targets on the same instance. An idle process
therefore ticks less often, and new work makes the next tick come sooner.
"""

import asyncio
from collections.abc import Callable

import structlog

_log = structlog.get_logger(__name__)

# Seconds between two ticks while there is work. What a tick detects (overdue
# requests, expired waits, silent peers) is due within several ticks.
BUSY_INTERVAL = 0.1
# Seconds between two ticks while there is no work. Must stay well below
# `proxy.MIN_PAUSE_SECONDS`, or an idle process counts as paused.
IDLE_INTERVAL = 0.25
# Seconds by which a tick is late from which it is logged. For as long, the
# event loop was blocked and this process was silent to its peers.
LOGGED_DELAY = 0.2


class Ticker:
    """Calls a function periodically.

    Attributes:
        max_delay: Longest time by which a tick was late, in seconds.
    """

    def __init__(self, tick: Callable[[], None], is_busy: Callable[[], bool]):
        """Creates a ticker that is not running.

        Args:
            tick: Called at every tick.
            is_busy: Returns whether there is work, so that the next tick is due
                after the shorter interval.
        """
        self._tick = tick
        self._is_busy = is_busy
        self._handle: asyncio.TimerHandle | None = None
        self.max_delay = 0.0

    def start(self) -> None:
        """Starts ticking on the running event loop."""
        self._schedule(BUSY_INTERVAL)

    def wake(self, within: float = BUSY_INTERVAL) -> None:
        """Moves the next tick forward if it is due later.

        Args:
            within: Latest time of the next tick, in seconds from now.
        """
        if self._handle is None:
            return
        now = asyncio.get_running_loop().time()
        if self._handle.when() > now + within:
            self._handle.cancel()
            self._schedule(within)

    def stop(self) -> None:
        """Stops ticking."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None

    def _schedule(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay, self._run)

    def _run(self) -> None:
        delay = asyncio.get_running_loop().time() - self._handle.when()
        self.max_delay = max(self.max_delay, delay)
        if delay >= LOGGED_DELAY:
            _log.warning("tick_late", seconds=round(delay, 3))
        # Schedules first, as the tick may call `wake` or `stop`.
        self._schedule(BUSY_INTERVAL if self._is_busy() else IDLE_INTERVAL)
        self._tick()
