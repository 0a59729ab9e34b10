"""System clock and event loop that count suspended time.

The system's monotonic clock stops while an instance is suspended, so requests
from before the suspension would look recent. The boot-time clock goes on.
"""

import asyncio
import time


class SystemClock:
    """Clock of the operating system; see `interfaces.Clock`."""

    def monotonic(self) -> float:
        """See `interfaces.Clock`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """See `interfaces.Clock`."""
        return time.time()


class Loop(asyncio.SelectorEventLoop):
    """Event loop whose timers also count suspended time."""

    def time(self) -> float:
        """See `asyncio.AbstractEventLoop`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
