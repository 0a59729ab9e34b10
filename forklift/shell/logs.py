"""Structured logging as JSON lines on standard output.

Logging never blocks the event loop and is limited to a number of lines per
second, with a separate limit for warnings and errors. Lines above the limit,
or for which the output buffer has no room, are dropped and counted by event.
"""

import collections
import os
import time

import structlog

# Limit of debug and info lines.
MAX_LINES_PER_SECOND = 50
# Limit of warnings and errors.
MAX_WARNINGS_PER_SECOND = 50
# Maximum size of the output that is buffered while the pipe is full.
MAX_BUFFERED_BYTES = 262_144
_NEWLINE = ord("\n")
_WARNING_METHODS = ("warning", "error", "critical")

# Number of dropped lines by event name.
dropped_by_event: collections.Counter[str] = collections.Counter()


class FixedWindowLimiter:
    """Limits the number of log lines in each second.

    >>> limiter = FixedWindowLimiter(1)
    >>> limiter.try_take(5.0), limiter.try_take(5.5), limiter.try_take(6.0)
    (True, False, True)
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._second = -1
        self._used = 0

    def try_take(self, now: float) -> bool:
        """Counts one line; returns False if the limit is reached.

        Args:
            now: Monotonic time, seconds.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._used = 0
        if self._used >= self._limit:
            return False
        self._used += 1
        return True


class NonBlockingWriter:
    """Logger that writes lines to a pipe without blocking.

    Lines are buffered while the pipe is full. A buffer that exceeds
    `MAX_BUFFERED_BYTES` is discarded.
    """

    def __init__(self, fd: int):
        self._fd = fd
        self._buffer = bytearray()
        # Whether the buffer begins with the rest of a line.
        self._line_started = False
        os.set_blocking(fd, False)

    def msg(self, line: str) -> None:
        """Writes a line, or buffers it if the pipe is full."""
        self._buffer += line.encode("utf-8", "replace") + b"\n"
        self.flush()
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._discard_lines("(reader too slow)")

    log = debug = info = warning = warn = msg
    error = exception = critical = fatal = msg

    def flush(self) -> None:
        """Writes as much of the buffer as the pipe accepts."""
        try:
            while self._buffer:
                written = os.write(self._fd, self._buffer)
                self._line_started = self._buffer[written - 1] != _NEWLINE
                del self._buffer[:written]
        except BlockingIOError:
            # The rest is written with the next line.
            return
        except OSError:
            # The pipe is closed; there is no other place to report errors.
            self._line_started = False
            self._discard_lines("(no reader)")

    def _discard_lines(self, reason: str) -> None:
        """Discards the buffer, but for the rest of a line that has begun."""
        rest = 0
        if self._line_started:
            rest = self._buffer.index(_NEWLINE) + 1
        dropped_by_event[reason] += self._buffer.count(_NEWLINE, rest)
        del self._buffer[rest:]


class _RateLimitProcessor:
    """Structlog processor that drops lines above the rate limits.

    The next line that is written reports the number of dropped lines by event
    in its field `left_out`.
    """

    def __init__(self):
        self._line_limiter = FixedWindowLimiter(MAX_LINES_PER_SECOND)
        self._warning_limiter = FixedWindowLimiter(MAX_WARNINGS_PER_SECOND)
        self._dropped: collections.Counter[str] = collections.Counter()

    def __call__(self, logger, method: str, event: dict) -> dict:
        now = time.monotonic()
        limiter = (
            self._warning_limiter
            if method in _WARNING_METHODS
            else self._line_limiter
        )
        if not limiter.try_take(now):
            name = str(event.get("event"))
            self._dropped[name] += 1
            dropped_by_event[name] += 1
            raise structlog.DropEvent
        if self._dropped:
            event["left_out"] = dict(self._dropped)
            self._dropped.clear()
        return event


def configure(level: int) -> NonBlockingWriter:
    """Configures structlog to write JSON lines to standard output.

    Args:
        level: Lowest level that is logged, a constant of `logging`.

    Returns:
        The writer of all loggers.
    """
    writer = NonBlockingWriter(1)
    structlog.configure(
        processors=[
            _RateLimitProcessor(),
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
