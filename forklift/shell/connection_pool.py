"""Connections to one target, kept between requests and within its limit."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from forklift import errors
from forklift import messages
from forklift.shell import tcp_stream

Reason = messages.Reason

# Seconds in which a target whose answer broke off must take a connection, or
# refuse it as one that ended does; it is on this instance.
CHECK_TIMEOUT = 0.25
# Seconds that a connection is kept which was made to look.
CHECK_KEEP_ALIVE = 0.8
# Seconds until a target beside must have taken a connection.
CONNECT_TIMEOUT = 1.0
# Work that must not repeat takes a connection only this soon after its last
# use: a target may forget an idle one earlier than it says, and the reset
# would leave the outcome unknown.
MAX_IDLE_NON_IDEMPOTENT = 2.0


class NotRun(errors.ForkliftError):
    """The target did not run the request."""

    def __init__(self, reason: Reason, detail: str):
        self.reason = reason
        super().__init__(
            f"the target did not run it ({detail}); another one may take it"
        )


@dataclasses.dataclass(frozen=True)
class _Idle:
    connection: tcp_stream.Connection
    since: float
    until: float


class Pool:
    """Connections to one target, within its limit."""

    def __init__(
        self, address: str, max_connections: int, now: Callable[[], float]
    ):
        self.address = address
        self.max_connections = max_connections
        self.open_count = 0
        self.created = 0
        self.reused = 0
        self._now = now
        self._idle: collections.deque[_Idle] = collections.deque()
        self._busy: set[tcp_stream.Connection] = set()

    async def acquire(self, idempotent: bool) -> tcp_stream.Connection:
        """A connection that carries nothing.

        Raises:
            NotSent: The target can't be connected to.
        """
        self._drop_old()
        while self._idle:
            idle = self._idle.pop()
            usable = not idle.connection.closed and not idle.connection.buffered
            fresh = self._now() - idle.since < MAX_IDLE_NON_IDEMPOTENT
            if usable and (idempotent or fresh):
                self.reused += 1
                self._busy.add(idle.connection)
                return idle.connection
            self.discard(idle.connection)
        if self.open_count >= self.max_connections:
            raise NotRun(Reason.BUSY, "its connections are in use")
        return await self._connect()

    def release(self, connection: tcp_stream.Connection, idle: float) -> None:
        """Returns a connection whose answer was whole and its own."""
        if idle <= 0 or connection.closed or connection.buffered:
            self.discard(connection)
            return
        now = self._now()
        self._busy.discard(connection)
        self._idle.append(_Idle(connection, now, now + idle))

    def discard(self, connection: tcp_stream.Connection) -> None:
        """Closes a connection; whatever it still brings is never read."""
        self.open_count -= 1
        self._busy.discard(connection)
        connection.abort()

    def close_all(self) -> None:
        """Closes all connections: nothing answers on them any more."""
        self.close_idle()
        for connection in self._busy:
            connection.abort()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self.discard(self._idle.pop().connection)

    async def is_refusing(self) -> bool:
        """Whether nothing listens at the target's address any more."""
        if self.open_count >= self.max_connections:
            return False
        try:
            connection = await self._connect(CHECK_TIMEOUT)
        except NotRun as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.release(connection, CHECK_KEEP_ALIVE)
        return False

    async def _connect(
        self, timeout: float = CONNECT_TIMEOUT
    ) -> tcp_stream.Connection:
        self.open_count += 1
        try:
            connection = await asyncio.wait_for(
                tcp_stream.connect(self.address), timeout
            )
        except (OSError, TimeoutError) as error:
            self.open_count -= 1
            detail = str(error) or "timeout"
            raise NotRun(Reason.CONNECT_FAILED, detail) from error
        except BaseException:
            self.open_count -= 1
            raise
        self.created += 1
        self._busy.add(connection)
        return connection

    def _drop_old(self) -> None:
        now = self._now()
        kept: collections.deque[_Idle] = collections.deque()
        for idle in self._idle:
            if idle.until <= now or idle.connection.closed:
                self.discard(idle.connection)
            else:
                kept.append(idle)
        self._idle = kept
