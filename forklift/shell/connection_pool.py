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
LOOK_TIMEOUT = 0.25
# Seconds that a connection is kept which was made to look.
LOOK_IDLE = 0.8
# Seconds until a target beside must have taken a connection.
CONNECT_TIMEOUT = 1.0
# Work that must not repeat takes a connection only this soon after its last
# use: a target may forget an idle one earlier than it says, and the reset
# would leave the outcome unknown.
IDLE_UNREPEATABLE = 2.0


class NotSent(errors.ForkliftError):
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

    def __init__(self, address: str, most: int, now: Callable[[], float]):
        self.address = address
        self.most = most
        self.open = 0
        self.made = 0
        self.reused = 0
        self._now = now
        self._idle: collections.deque[_Idle] = collections.deque()
        self._busy: set[tcp_stream.Connection] = set()

    async def take(self, idempotent: bool) -> tcp_stream.Connection:
        """A connection that carries nothing.

        Raises:
            NotSent: The target can't be connected to.
        """
        self._drop_old()
        while self._idle:
            idle = self._idle.pop()
            usable = not idle.connection.closed and not idle.connection.buffered
            fresh = self._now() - idle.since < IDLE_UNREPEATABLE
            if usable and (idempotent or fresh):
                self.reused += 1
                self._busy.add(idle.connection)
                return idle.connection
            self.discard(idle.connection)
        if self.open >= self.most:
            raise NotSent(Reason.BUSY, "its connections are in use")
        return await self._connect()

    def give(self, connection: tcp_stream.Connection, idle: float) -> None:
        """Returns a connection whose answer was whole and its own."""
        if idle <= 0 or connection.closed or connection.buffered:
            self.discard(connection)
            return
        now = self._now()
        self._busy.discard(connection)
        self._idle.append(_Idle(connection, now, now + idle))

    def discard(self, connection: tcp_stream.Connection) -> None:
        """Closes a connection; whatever it still brings is never read."""
        self.open -= 1
        self._busy.discard(connection)
        connection.abort()

    def end(self) -> None:
        """Closes all connections: nothing answers on them any more."""
        self.close()
        for connection in self._busy:
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self.discard(self._idle.pop().connection)

    async def refuses(self) -> bool:
        """Whether nothing listens at the target's address any more."""
        if self.open >= self.most:
            return False
        try:
            connection = await self._connect(LOOK_TIMEOUT)
        except NotSent as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.give(connection, LOOK_IDLE)
        return False

    async def _connect(
        self, timeout: float = CONNECT_TIMEOUT
    ) -> tcp_stream.Connection:
        self.open += 1
        try:
            connection = await asyncio.wait_for(
                tcp_stream.connect(self.address), timeout
            )
        except (OSError, TimeoutError) as error:
            self.open -= 1
            detail = str(error) or "timeout"
            raise NotSent(Reason.CONNECT_FAILED, detail) from error
        except BaseException:
            self.open -= 1
            raise
        self.made += 1
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
