"""One connection over which large control messages are sent to a peer."""

import asyncio
import collections
from collections.abc import Callable

import structlog

from forklift import messages
from forklift.shell import push_framing
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)

# Limits of the messages that wait until the connection is open, or until the
# peer has read earlier ones. The number of bytes bounds the memory if many
# peers are unresponsive.
MAX_QUEUED_MESSAGES = 64
MAX_QUEUED_BYTES = 2 * messages.MAX_CONTROL_BYTES
# Timeout in seconds of opening a connection, with the exchange of headers.
OPEN_TIMEOUT = 2.0
# Seconds between two attempts to open a connection; they double from the
# minimum to the maximum.
MIN_RETRY_DELAY = 0.05
MAX_RETRY_DELAY = 2.0
# Seconds after which opening is given up. The receiver rejects messages of
# twice that age (`authentication.MAX_AGE_SECONDS`).
GIVE_UP_SECONDS = 5.0
# Seconds for which a closed connection may go on sending what was written.
LINGER_SECONDS = 1.0
_OPEN_ERRORS = (OSError, messages.MalformedMessage)


class _PushProtocol(asyncio.Protocol):
    """Sends the header, awaits that of the peer and reports changes.

    Attributes:
        transport: Transport of the connection; None before it is made.
        header_received: Future that completes with the header of the peer.
        can_write: Whether the write buffer is below its high-water mark.
        on_writable: Called when the write buffer has room again.
        on_lost: Called when the connection closes.
    """

    def __init__(self):
        self._decoder = push_framing.Decoder(push_framing.PULL_HEADER)
        self.transport: asyncio.Transport | None = None
        self.header_received = asyncio.get_running_loop().create_future()
        self.can_write = True
        self.on_writable: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        tcp_stream.set_user_timeout(transport)
        transport.write(push_framing.PUSH_HEADER)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        try:
            self._decoder.feed(data)
        except messages.MalformedMessage as error:
            self._fail(error)
            self.transport.abort()
            return
        if self._decoder.has_header and not self.header_received.done():
            self.header_received.set_result(None)

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._fail(ConnectionResetError("the peer closed the connection"))
        self.on_lost()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self.can_write = False

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self.can_write = True
        self.on_writable()

    def _fail(self, error: Exception) -> None:
        if not self.header_received.done():
            self.header_received.set_exception(error)
            # Marks the exception as retrieved if nothing awaits the future.
            self.header_received.exception()


class PushConnection:
    """Sends messages to one address, over a connection opened on demand.

    While messages wait, a connection that can't be opened is tried again.

    Attributes:
        opened_at: Loop time in seconds when the object was created.
    """

    def __init__(self, address: str, on_closed: Callable[[], None]):
        """Starts to open a connection.

        Args:
            address: Address of the receiver, "ip:port".
            on_closed: Called when the connection was lost or not opened, and
                not after `close`.

        Raises:
            tcp_stream.InvalidAddress: The address is not "ip:port".
        """
        self._address = address
        self._host, self._port = tcp_stream.split_address(address)
        self._on_closed = on_closed
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._protocol: _PushProtocol | None = None
        self._opening: asyncio.Task | None = None
        self.opened_at = asyncio.get_running_loop().time()
        self._start_opening()

    def send(self, data: bytes) -> bool:
        """Queues a message; returns False if it was dropped."""
        if (
            len(self._queue) >= MAX_QUEUED_MESSAGES
            or self._queued_bytes + len(data) > MAX_QUEUED_BYTES
        ):
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._write_queued()
        return True

    def close(self) -> None:
        """Closes the connection and drops the messages that wait."""
        self._queue.clear()
        self._queued_bytes = 0
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            _close_gracefully(protocol)

    def _start_opening(self) -> None:
        self._opening = asyncio.create_task(self._open_with_retries())

    async def _open_with_retries(self) -> None:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + GIVE_UP_SECONDS
        delay = MIN_RETRY_DELAY
        while True:
            try:
                protocol = await _open(self._host, self._port)
                break
            except _OPEN_ERRORS as error:
                if loop.time() + delay >= give_up_at:
                    self._give_up(error)
                    return
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY)
        self._opening = None
        self._protocol = protocol
        protocol.on_writable = self._write_queued
        protocol.on_lost = self._handle_lost
        self._write_queued()

    def _give_up(self, error: Exception) -> None:
        _log.info(
            "control_connection_failed",
            peer=self._address,
            dropped=len(self._queue),
            detail=str(error) or type(error).__name__,
        )
        self._opening = None
        self.close()
        self._on_closed()

    def _write_queued(self) -> None:
        protocol = self._protocol
        if protocol is None or protocol.transport.is_closing():
            return
        while self._queue and protocol.can_write:
            data = self._queue.popleft()
            self._queued_bytes -= len(data)
            protocol.transport.write(push_framing.frame(data))

    def _handle_lost(self) -> None:
        if self._protocol is None:
            return
        self._protocol = None
        if self._queue:
            self._start_opening()
        else:
            self._on_closed()


async def _open(host: str, port: int) -> _PushProtocol:
    """Opens a connection and exchanges headers.

    Raises:
        OSError: The address can't be reached.
        TimeoutError: The peer did not answer in time.
        messages.MalformedMessage: Something else answers at the address.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(OPEN_TIMEOUT):
        transport, protocol = await loop.create_connection(
            _PushProtocol, host, port
        )
        try:
            await protocol.header_received
        except BaseException:
            transport.abort()
            raise
    if transport.is_closing():
        raise ConnectionResetError("the peer closed the connection")
    return protocol


def _close_gracefully(protocol: _PushProtocol) -> None:
    """Sends what was written for a short time, then closes."""
    protocol.on_lost = lambda: None
    protocol.on_writable = lambda: None
    protocol.transport.close()
    asyncio.get_running_loop().call_later(
        LINGER_SECONDS, protocol.transport.abort
    )
