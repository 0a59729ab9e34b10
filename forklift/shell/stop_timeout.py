"""Ends a request in time before its process stops."""

import asyncio
import math
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from forklift.shell import shutdown

_Result = TypeVar("_Result")


class StopTimeout:
    """Timeout of one request, which begins once the process stops.

    Attributes:
        is_dispatched: Whether an attempt is in flight, which has more time.
    """

    def __init__(self, deadlines: shutdown.Deadlines, now: Callable[[], float]):
        """Creates the timeout of a request without an attempt in flight.

        Args:
            deadlines: Deadlines for responding; infinite before a stop.
            now: Returns monotonic seconds.
        """
        self.is_dispatched = False
        self._deadlines = deadlines
        self._now = now
        self._timeout: asyncio.Timeout | None = None

    def set_deadlines(self, deadlines: shutdown.Deadlines) -> None:
        """Sets the deadlines for responding, as the process stops."""
        self._deadlines = deadlines
        self._reschedule()

    def set_dispatched(self, is_dispatched: bool) -> None:
        """Sets whether an attempt is in flight."""
        self.is_dispatched = is_dispatched
        self._reschedule()

    async def run(self, work: Awaitable[_Result]) -> _Result:
        """Awaits the work of the request until its deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        try:
            async with asyncio.timeout_at(None) as self._timeout:
                self._reschedule()
                return await work
        finally:
            self._timeout = None

    def _reschedule(self) -> None:
        deadlines = self._deadlines
        deadline = (
            deadlines.abandon_at if self.is_dispatched else deadlines.reject_at
        )
        if (
            self._timeout is None
            or self._timeout.expired()
            or math.isinf(deadline)
        ):
            return
        loop_time = asyncio.get_running_loop().time()
        self._timeout.reschedule(loop_time + deadline - self._now())
