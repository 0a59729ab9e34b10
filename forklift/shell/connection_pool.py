"""Pool of HTTP connections to one target."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from forklift import errors
from forklift import messages
from forklift.shell import tcp_stream

Reason = messages.Reason

# Connect timeout for checking whether a target has exited after an incomplete
# response. The target is on this instance and accepts or refuses at once.
CHECK_TIMEOUT_SECONDS = 0.25
# Maximum idle time of a connection opened to check whether a target has exited.
CHECK_KEEP_ALIVE_SECONDS = 0.8
# Connect timeout for requests.
CONNECT_TIMEOUT_SECONDS = 1.0
# Maximum idle time of connections that non-idempotent requests reuse. If the
# target closes an idle connection earlier than it announced, the outcome of a
# request that was just sent is unknown.
MAX_NON_IDEMPOTENT_IDLE_SECONDS = 2.0


class NotRun(errors.ForkliftError):
    """The target did not run the request."""

    def __init__(self, reason: Reason, detail: str):
        self.reason = reason
        super().__init__(
            f"the target did not run the request ({detail}); try another target"
        )


@dataclasses.dataclass(frozen=True)
class _IdleConnection:
    """An idle connection; times are in monotonic seconds."""

    connection: tcp_stream.Connection
    idle_since: float
    expires_at: float


class Pool:
    """Pool of connections to one target.

    Attributes:
        address: Address of the target.
        max_connections: Maximum number of open connections.
        open_count: Number of connections, idle, in use or being opened.
        created: Number of connections opened so far.
        reused: Number of times that an idle connection was reused.
    """

    def __init__(
        self, address: str, max_connections: int, now: Callable[[], float]
    ):
        self.address = address
        self.max_connections = max_connections
        self.open_count = 0
        self.created = 0
        self.reused = 0
        self._now = now
        self._idle: collections.deque[_IdleConnection] = collections.deque()
        self._busy: set[tcp_stream.Connection] = set()
        self._retired = False

    async def acquire(self, idempotent: bool) -> tcp_stream.Connection:
        """Returns an idle connection, or opens one.

        Args:
            idempotent: Whether the request is idempotent. If not, connections
                that were idle for `MAX_NON_IDEMPOTENT_IDLE_SECONDS` or longer
                are closed.

        Raises:
            NotRun: Connecting failed, or all connections are in use.
        """
        self._close_expired()
        while self._idle:
            idle = self._idle.pop()
            is_usable = not idle.connection.has_input()
            is_fresh = (
                self._now() - idle.idle_since < MAX_NON_IDEMPOTENT_IDLE_SECONDS
            )
            if is_usable and (idempotent or is_fresh):
                self.reused += 1
                idle.connection.is_reused = True
                self._busy.add(idle.connection)
                return idle.connection
            self.discard(idle.connection)
        if self.open_count >= self.max_connections:
            raise NotRun(Reason.BUSY, "all connections are in use")
        return await self._connect()

    def release(
        self, connection: tcp_stream.Connection, keep_alive: float
    ) -> None:
        """Returns a connection to the pool after a complete response.

        Args:
            connection: The connection.
            keep_alive: Seconds for which the connection may be idle.
        """
        if self._retired or keep_alive <= 0 or connection.has_input():
            self.discard(connection)
            return
        now = self._now()
        self._busy.discard(connection)
        self._idle.append(_IdleConnection(connection, now, now + keep_alive))

    def discard(self, connection: tcp_stream.Connection) -> None:
        """Closes a connection instead of returning it to the pool."""
        self.open_count -= 1
        self._busy.discard(connection)
        connection.abort()

    def close_all(self) -> None:
        """Closes all connections, including those in use."""
        self.close_idle()
        for connection in self._busy:
            connection.abort()

    def retire(self) -> None:
        """Closes all connections, those in use once their requests end."""
        self._retired = True
        self.close_idle()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self.discard(self._idle.pop().connection)

    async def is_refusing(self) -> bool:
        """Returns whether the target refuses connections.

        Returns False without a check if the limit of connections is reached.
        """
        if self.open_count >= self.max_connections:
            return False
        try:
            connection = await self._connect(CHECK_TIMEOUT_SECONDS)
        except NotRun as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.release(connection, CHECK_KEEP_ALIVE_SECONDS)
        return False

    async def _connect(
        self, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> tcp_stream.Connection:
        self.open_count += 1
        try:
            # asyncio.wait_for ignores a cancellation as the connection opens.
            async with asyncio.timeout(timeout):
                connection = await tcp_stream.connect(self.address)
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

    def _close_expired(self) -> None:
        now = self._now()
        remaining: collections.deque[_IdleConnection] = collections.deque()
        for idle in self._idle:
            if idle.expires_at <= now or idle.connection.closed:
                self.discard(idle.connection)
            else:
                remaining.append(idle)
        self._idle = remaining
