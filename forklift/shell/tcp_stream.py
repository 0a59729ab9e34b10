"""A TCP connection with bounded buffers, read and written by one task."""

import asyncio
import socket
from collections.abc import Callable

READ_LIMIT = 65_536
# Milliseconds; longer than any request of ours waits for its answer.
USER_TIMEOUT_MS = 8_000


def split_address(address: str) -> tuple[str, int]:
    """Splits "ip:port".

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class ConnectionLost(ConnectionError):
    """The other side closed the connection, or it broke."""


class Connection(asyncio.Protocol):
    """Bytes in and out, with backpressure both ways."""

    def __init__(
        self, on_connect: Callable[["Connection"], None] | None = None
    ):
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._eof = False
        self._lost = False
        self._paused = False
        self._shut = False
        self._interruption: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._closed_event = asyncio.Event()
        self.on_lost: Callable[[], None] | None = None
        # Set when the connection broke rather than ended.
        self.error: Exception | None = None
        self.transport: asyncio.Transport | None = None
        self.peer = ""

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer = name[0] if name else ""
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self._shut:
            return
        self._buffer += data
        if len(self._buffer) > READ_LIMIT and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        self._eof = True
        self._wake()
        if self.on_lost is not None:
            self.on_lost()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._lost = True
        self._eof = True
        self.error = error
        self._can_write.set()
        self._closed_event.set()
        self._wake()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.set()

    # Called by the owner.

    @property
    def closed(self) -> bool:
        """Whether nothing more can come or go."""
        return self._eof or self._lost or self._shut

    @property
    def lost(self) -> bool:
        """Whether the connection is gone, and all that was to be sent."""
        return self._lost

    @property
    def unsent(self) -> int:
        """Bytes that were written and that the system has not taken."""
        if self._lost or self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def congested(self) -> bool:
        """Whether the other side takes bytes more slowly than they come."""
        return self._lost or not self._can_write.is_set()

    @property
    def buffered(self) -> int:
        """Bytes that arrived and were not read."""
        return len(self._buffer)

    async def read(self) -> bytes:
        """Returns what arrived; empty at the end of the connection.

        Raises:
            Exception: What `interrupt` was given.
        """
        while not (self._buffer or self._eof or self._shut):
            if self._interruption is not None:
                raise self._interruption
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = bytes(self._buffer)
        self._buffer.clear()
        # What was awaited has come after all.
        self._interruption = None
        if self._paused and not self._lost:
            self._paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queues bytes.

        Raises:
            ConnectionLost: The connection is gone.
        """
        if self._lost or self._shut or self.transport is None:
            raise ConnectionLost("connection lost; open another")
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the other side takes bytes again.

        Raises:
            ConnectionLost: The connection is gone.
        """
        if not self._can_write.is_set():
            await self._can_write.wait()
        if self._lost:
            raise ConnectionLost("connection lost; open another")

    def interrupt(self, error: Exception) -> None:
        """Gives an error to whoever waits for bytes, now or later."""
        self._interruption = error
        self._wake()

    async def wait_closed(self) -> None:
        """Waits until the connection is closed and all was sent."""
        await self._closed_event.wait()

    def half_close(self) -> None:
        """Ends what is sent; the connection is closed by the other side.

        What still comes is dropped: a connection that is closed with unread
        bytes is reset, and the other side may lose what it has not taken.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._shut_in()
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        self.transport.write_eof()

    def close(self) -> None:
        """Closes after what is queued was sent; nothing more is read."""
        self._shut_in()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes at once; the other side sees a broken connection."""
        self._shut_in()
        if self.transport is not None:
            self.transport.abort()

    def _shut_in(self) -> None:
        # What is read after this would run, and its answer go nowhere.
        self._shut = True
        self._buffer.clear()
        self._wake()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Ends a connection whose other side acknowledges nothing for a while.

    Without it, one to an instance that lost power would hang for minutes.
    """
    end = transport.get_extra_info("socket")
    if end is not None:
        option = socket.TCP_USER_TIMEOUT
        end.setsockopt(socket.IPPROTO_TCP, option, USER_TIMEOUT_MS)


async def connect(address: str) -> Connection:
    """Opens a connection to "ip:port".

    Raises:
        OSError: Refused or unreachable.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(Connection, host, port)
    return connection


def bound_address(server: asyncio.Server) -> str:
    """Where a server listens, as "ip:port"."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def listen(
    address: str, on_connect: Callable[[Connection], None]
) -> asyncio.Server:
    """Listens on "ip:port" and hands each connection to `on_connect`.

    Raises:
        OSError: The address is taken or not ours.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(on_connect), host, port, backlog=1024
    )
