"""JSON lines on standard output: bounded, and never in the way of requests.

Lines go to a small buffer that the loop empties into a pipe without blocking.
What is more than the budget of lines a second, or than the buffer holds, is
left out and counted by event; failures have a part of the budget of their own.
"""

import collections
import os
import time

import structlog

# Lines a second that a process writes at most, and the part of warnings.
MAX_LINES_PER_SECOND = 50
MAX_WARNINGS_PER_SECOND = 50
# Bytes that wait for a slow reader.
MAX_BUFFERED_BYTES = 262_144
_WARNINGS = ("warning", "error", "critical")

dropped_by_event: collections.Counter[str] = collections.Counter()


class FixedWindowLimiter:
    """Lines that may still be written in this second.

    >>> limiter = FixedWindowLimiter(1)
    >>> limiter.try_take(5.0), limiter.try_take(5.5), limiter.try_take(6.0)
    (True, False, True)
    """

    def __init__(self, lines: int):
        self._lines = lines
        self._second = -1
        self._used = 0

    def try_take(self, now: float) -> bool:
        """Takes one line; False where none is left in this second."""
        if int(now) != self._second:
            self._second = int(now)
            self._used = 0
        if self._used >= self._lines:
            return False
        self._used += 1
        return True


class NonBlockingWriter:
    """A bounded buffer before a pipe that may be full."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._waiting = bytearray()
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Writes a line, or keeps it for later; never blocks."""
        self._waiting += line.encode("utf-8", "replace") + b"\n"
        self.flush()
        if len(self._waiting) > MAX_BUFFERED_BYTES:
            lost = self._waiting.count(b"\n")
            dropped_by_event["(reader too slow)"] += lost
            self._waiting.clear()

    log = debug = info = warning = warn = msg
    error = exception = critical = fatal = msg

    def flush(self) -> None:
        """Writes what the reader takes now."""
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]
        except BlockingIOError:
            # The rest goes with the next line.
            return
        except OSError:
            # Nobody reads any more, and there is nowhere else to say so.
            dropped_by_event["(no reader)"] += 1
            self._waiting.clear()


class _Bound:
    """Leaves lines out beyond the budget, and says how many."""

    def __init__(self):
        self._plain = FixedWindowLimiter(MAX_LINES_PER_SECOND)
        self._warnings = FixedWindowLimiter(MAX_WARNINGS_PER_SECOND)
        self._left_out: collections.Counter[str] = collections.Counter()

    def __call__(self, logger, method: str, event: dict) -> dict:
        now = time.monotonic()
        limiter = self._warnings if method in _WARNINGS else self._plain
        if not limiter.try_take(now):
            name = str(event.get("event"))
            self._left_out[name] += 1
            dropped_by_event[name] += 1
            raise structlog.DropEvent
        if self._left_out:
            event["left_out"] = dict(self._left_out)
            self._left_out.clear()
        return event


def configure(level: int) -> NonBlockingWriter:
    """Sends log lines to standard output as JSON."""
    writer = NonBlockingWriter(1)
    structlog.configure(
        processors=[
            _Bound(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    return writer
