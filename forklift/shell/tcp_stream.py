"""TCP connections with bounded buffers and backpressure."""

import asyncio
import socket
from collections.abc import Callable

from forklift.shell import half_close
from forklift.shell import hangup_check

# Number of received and unread bytes above which reading is paused.
MAX_READ_BUFFER_BYTES = 65_536
# Milliseconds without acknowledgment after which the kernel closes a
# connection. Must exceed the time that a request to a peer may take.
USER_TIMEOUT_MS = 8_000
MAX_PORT = 65_535


class InvalidAddress(OSError):
    """An address that a peer has sent is not an IP address with a port."""

    def __init__(self, address: str):
        super().__init__(
            f"{address!r} is not an IP address with a port; check the "
            "addresses in [process] of the peer"
        )


def split_address(address: str) -> tuple[str, int]:
    """Splits "ip:port".

    Names are rejected: resolving one would block the event loop, or occupy a
    thread that the exit of the process waits for.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)

    Raises:
        InvalidAddress: The host is not an IP address, or the port is not valid.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
        number = int(port)
    except (OSError, ValueError):
        raise InvalidAddress(address) from None
    if not 0 <= number <= MAX_PORT:
        raise InvalidAddress(address)
    return host, number


class ConnectionLost(ConnectionError):
    """The connection was closed by the other side or failed."""


class Connection(asyncio.Protocol):
    """A byte stream with backpressure in both directions.

    Attributes:
        on_lost: Called at the end of the input and when the connection closes,
            also if the input ends while reading is paused.
        error: The exception that ended the connection, if any.
        peer_ip: IP address of the other side.
        is_reused: Whether it has carried requests before the current one.
    """

    def __init__(
        self, on_connect: Callable[["Connection"], None] | None = None
    ):
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._eof = False
        self._lost = False
        self._reading_paused = False
        self._hangup_check = hangup_check.HangupCheck(self._handle_hangup)
        self._half_close = half_close.HalfClose()
        self._read_closed = False
        self._read_error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._closed_event = asyncio.Event()
        self.on_lost: Callable[[], None] | None = None
        self.error: Exception | None = None
        self.transport: asyncio.Transport | None = None
        self.peer_ip = ""
        self.is_reused = False

    # Methods called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer_ip = name[0] if name else ""
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self._read_closed:
            return
        self._buffer += data
        if (
            len(self._buffer) > MAX_READ_BUFFER_BYTES
            and not self._reading_paused
        ):
            self._reading_paused = True
            self.transport.pause_reading()
            if self.on_lost is not None:
                self._hangup_check.start(self.transport)
        self._wake_reader()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        self._eof = True
        self._wake_reader()
        if self.on_lost is not None:
            self.on_lost()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._lost = True
        self._eof = True
        self._hangup_check.stop()
        self.error = error
        self._can_write.set()
        self._closed_event.set()
        self._wake_reader()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.set()
        self._half_close.resume_writing(self.transport)

    # Methods called by the owner.

    @property
    def closed(self) -> bool:
        """Whether the input has ended or the connection is closing."""
        return self._eof or self._lost or self._read_closed

    @property
    def lost(self) -> bool:
        """Whether the connection is closed; nothing more can be sent."""
        return self._lost

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that are not yet in the kernel send buffer."""
        if self._lost or self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def congested(self) -> bool:
        """Whether the write buffer is above its high-water mark."""
        return self._lost or not self._can_write.is_set()

    @property
    def buffered(self) -> int:
        """Number of bytes received and not yet read."""
        return len(self._buffer)

    def has_input(self) -> bool:
        """Whether bytes or the end of the stream have arrived.

        Includes what the kernel has received and this process has not yet.
        """
        if self.closed or self._buffer:
            return True
        sock = self.transport.get_extra_info("socket")
        return hangup_check.is_readable(sock.fileno())

    async def read(self) -> bytes:
        """Returns the bytes received; empty at the end of the stream.

        Raises:
            Exception: The error passed to `interrupt`.
        """
        while not (self._buffer or self._eof or self._read_closed):
            if self._read_error is not None:
                raise self._read_error
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        # An error from `interrupt` does not apply to later reads.
        self._read_error = None
        if not self._lost:
            self._resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queues bytes for sending.

        Raises:
            ConnectionLost: The connection is closed.
        """
        if self._lost or self._read_closed or self.transport is None:
            raise ConnectionLost("connection lost; open another")
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer is below its high-water mark.

        Raises:
            ConnectionLost: The connection is closed.
        """
        if not self._can_write.is_set():
            await self._can_write.wait()
        if self._lost:
            raise ConnectionLost("connection lost; open another")

    def interrupt(self, error: Exception) -> None:
        """Makes the current or next `read` that has to wait raise an error."""
        self._read_error = error
        self._wake_reader()

    async def wait_closed(self) -> None:
        """Waits until the connection is closed."""
        await self._closed_event.wait()

    def half_close(self) -> None:
        """Closes the sending side and discards further input.

        Input is still received, because closing a connection with unread bytes
        causes a reset, and the other side may lose data that it has not read.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._stop_reading()
        self._resume_reading()
        self._half_close.request(self.transport)

    def close(self) -> None:
        """Stops reading and closes the connection once all data is sent."""
        self._stop_reading()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes the connection at once and discards unsent data."""
        self._stop_reading()
        if self.transport is not None:
            self.transport.abort()

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._hangup_check.stop()
            self.transport.resume_reading()

    def _handle_hangup(self) -> None:
        if self.on_lost is not None:
            self.on_lost()

    def _stop_reading(self) -> None:
        # The response to a request that is read now could not be sent.
        self._read_closed = True
        self._buffer.clear()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Sets TCP_USER_TIMEOUT, which closes a connection without acknowledgments.

    Otherwise a connection to an instance that lost power hangs for minutes.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        option = socket.TCP_USER_TIMEOUT
        sock.setsockopt(socket.IPPROTO_TCP, option, USER_TIMEOUT_MS)


async def connect(address: str) -> Connection:
    """Opens a connection to "ip:port".

    Raises:
        OSError: The address refused the connection or is unreachable.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(Connection, host, port)
    return connection


def bound_address(server: asyncio.Server) -> str:
    """Returns the address that a server listens at, "ip:port"."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def listen(
    address: str, on_connect: Callable[[Connection], None]
) -> asyncio.Server:
    """Listens at "ip:port" and passes each connection to `on_connect`.

    Raises:
        OSError: The address is in use or not local.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(on_connect), host, port, backlog=1024
    )
