"""The real clock, and a loop that goes by it.

An instance may be suspended: the system's monotonic clock stands still then,
and a process that went by it would take requests of before for fresh ones. The
clock since boot counts that time too.
"""

import asyncio
import time


class SystemClock:
    """Time of the operating system; see `interfaces.Clock`."""

    def monotonic(self) -> float:
        """See `interfaces.Clock`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """See `interfaces.Clock`."""
        return time.time()


class Loop(asyncio.SelectorEventLoop):
    """A loop whose timers are over once their time is, suspended or not."""

    def time(self) -> float:
        """See `asyncio.AbstractEventLoop`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
