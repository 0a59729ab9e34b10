"""Ends a request in time before its process stops."""

import asyncio
import math
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

_Result = TypeVar("_Result")


class StopTimeout:
    """Timeout of one request, which begins once the process stops.

    Attributes:
        is_dispatched: Whether an attempt is in flight, which has more time.
    """

    def __init__(self, now: Callable[[], float]):
        """Creates the timeout of a request without an attempt in flight.

        Args:
            now: Returns monotonic seconds.
        """
        self.is_dispatched = False
        self._latest_start = self._abandon_at = math.inf
        self._now = now
        self._timeout: asyncio.Timeout | None = None

    def set_deadlines(self, latest_start: float, abandon_at: float) -> None:
        """Sets the deadlines, as the process stops.

        Args:
            latest_start: Monotonic seconds at which the request ends if no
                attempt is in flight; infinite before the shutdown.
            abandon_at: Monotonic seconds at which it ends otherwise.
        """
        self._latest_start, self._abandon_at = latest_start, abandon_at
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
        deadline = (
            self._abandon_at if self.is_dispatched else self._latest_start
        )
        if (
            self._timeout is None
            or self._timeout.expired()
            or math.isinf(deadline)
        ):
            return
        loop_time = asyncio.get_running_loop().time()
        self._timeout.reschedule(loop_time + deadline - self._now())
