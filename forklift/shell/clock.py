"""The real clock."""

import time


class SystemClock:
    """Time of the operating system; see `ports.Clock`."""

    def monotonic(self) -> float:
        """See `ports.Clock`."""
        return time.monotonic()

    def wall(self) -> float:
        """See `ports.Clock`."""
        return time.time()
