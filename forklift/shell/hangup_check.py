"""Notices that the other side of a connection has left while reading is paused.

A transport whose reading is paused is not told of the end or the reset of its
connection. Unread bytes hide the end from a read, too, but not from `poll`.
"""

import asyncio
import select
from collections.abc import Callable

# Seconds between two checks of a paused connection.
CHECK_INTERVAL = 0.2


def has_hung_up(fd: int) -> bool:
    """Whether the other side has closed or reset a connection.

    Args:
        fd: File descriptor of the socket.
    """
    return _has_event(fd, select.POLLRDHUP)


def is_readable(fd: int) -> bool:
    """Whether a read of a socket would not wait.

    Args:
        fd: File descriptor of the socket.
    """
    return _has_event(fd, select.POLLIN)


def _has_event(fd: int, event: int) -> bool:
    poll = select.poll()
    poll.register(fd, event)
    return bool(poll.poll(0))


class HangupCheck:
    """Checks a connection repeatedly while its reading is paused."""

    def __init__(self, on_hangup: Callable[[], None]):
        """Creates a check that is not running.

        Args:
            on_hangup: Called once the other side has left.
        """
        self._on_hangup = on_hangup
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.BaseTransport) -> None:
        """Starts the check, as reading has been paused."""
        self.stop()
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL, self._check, transport
        )

    def stop(self) -> None:
        """Ends the check, as reading is resumed or the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, transport: asyncio.BaseTransport) -> None:
        self._timer = None
        sock = transport.get_extra_info("socket")
        if transport.is_closing() or sock is None or sock.fileno() < 0:
            return
        if has_hung_up(sock.fileno()):
            self._on_hangup()
        else:
            self.start(transport)
