"""Request bodies that are passed on while they arrive, as a process stops.

A body that ends too late would have its target begin work whose response the
exit of this process cuts off. Such a body is ended early, so that the target
never gets the whole request.
"""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterator

from forklift import stop_deadlines
from forklift.shell import exchange


@dataclasses.dataclass(eq=False)
class _StreamedBody:
    """The body of a request, and the timer that ends it early."""

    request: exchange.Request
    timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class StreamedBodies:
    """The incomplete bodies that this process passes on."""

    def __init__(
        self,
        now: Callable[[], float],
        usual_seconds: Callable[[str], float],
    ):
        """Creates an empty set of bodies.

        Args:
            now: Returns monotonic seconds.
            usual_seconds: Returns the seconds that most requests of a route
                take; 0 if unknown.
        """
        self._now = now
        self._usual_seconds = usual_seconds
        self._deadlines: stop_deadlines.Deadlines | None = None
        self._bodies: set[_StreamedBody] = set()

    @contextlib.contextmanager
    def track(self, request: exchange.Request) -> Iterator[None]:
        """Ends the body of a request early if that is necessary meanwhile."""
        if request.body.complete:
            yield
            return
        body = _StreamedBody(request)
        self._bodies.add(body)
        self._schedule(body)
        try:
            yield
        finally:
            self._bodies.discard(body)
            body.cancel_timer()

    def set_deadlines(self, deadlines: stop_deadlines.Deadlines) -> None:
        """Sets the deadlines of the shutdown of this process."""
        self._deadlines = deadlines
        for body in self._bodies:
            self._schedule(body)

    def _schedule(self, body: _StreamedBody) -> None:
        body.cancel_timer()
        if self._deadlines is None:
            return
        request = body.request
        latest_end = self._deadlines.latest_start(
            request.deadline, self._usual_seconds(request.route)
        )
        if math.isinf(latest_end):
            return
        body.timer = asyncio.get_running_loop().call_later(
            max(0.0, latest_end - self._now()),
            request.body.end_early,
            "this process stops",
        )
