"""Lets time pass for a process: often while it has work, else seldom.

Each wake of a process costs the loop, and on an instance that others use what
the processor had at hand. So a process that has nothing to watch sleeps, and
what brings work has it wake in time.
"""

import asyncio
from collections.abc import Callable

# Seconds between two ticks while there is work: what a tick looks for (overdue
# requests, ends of waits, silent paths) is due within several of them.
BUSY_INTERVAL = 0.1
# Seconds between two while there is none: a quarter of the time after which a
# process takes itself for paused.
IDLE_INTERVAL = 0.25


class Ticker:
    """Calls a function again and again."""

    def __init__(self, tick: Callable[[], None], busy: Callable[[], bool]):
        """Makes a ticker that does not run.

        Args:
            tick: Called each time.
            busy: Whether there is work, so that the next call is due soon.
        """
        self._tick = tick
        self._busy = busy
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins, on the running loop."""
        self._after(BUSY_INTERVAL)

    def wake(self, within: float = BUSY_INTERVAL) -> None:
        """Work has come: the next call is due soon.

        Args:
            within: Seconds in which it is due.
        """
        if self._handle is None:
            return
        now = asyncio.get_running_loop().time()
        if self._handle.when() > now + within:
            self._handle.cancel()
            self._after(within)

    def stop(self) -> None:
        """Calls no more."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None

    def _after(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(seconds, self._run)

    def _run(self) -> None:
        # A tick may nudge, or stop what ticks.
        self._after(BUSY_INTERVAL if self._busy() else IDLE_INTERVAL)
        self._tick()
