"""Accepts the connections over which peers send large control messages."""

import asyncio
import collections
from collections.abc import Callable

import structlog

from forklift import messages
from forklift.shell import push_framing
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)

# Maximum number of connections. Above it, the one that has not received
# anything for the longest time is closed; its peer opens another on demand.
MAX_CONNECTIONS = 512
# Maximum bytes of incomplete messages on all connections together.
MAX_BUFFERED_BYTES = 1 << 24
# Timeout in seconds of the header and of each message, from its first byte on.
MESSAGE_TIMEOUT = 10.0


class _PullProtocol(asyncio.Protocol):
    """A connection of one peer."""

    def __init__(self, owner: "PullSocket"):
        self._owner = owner
        self._decoder = push_framing.Decoder(push_framing.PUSH_HEADER)
        self._timer: asyncio.TimerHandle | None = None
        self._peer_address = ""
        self.transport: asyncio.Transport | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes received of an incomplete message."""
        return self._decoder.buffered_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        name = transport.get_extra_info("peername")
        self._peer_address = f"{name[0]}:{name[1]}" if name else ""
        transport.write(push_framing.PULL_HEADER)
        self._restart_timer()
        self._owner.add(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        buffered = self.buffered_bytes
        try:
            received = self._decoder.feed(data)
        except messages.MalformedMessage as error:
            self.reject(str(error))
            return
        if received or not self._decoder.is_partial:
            self._cancel_timer()
        if self._decoder.is_partial and self._timer is None:
            self._restart_timer()
        self._owner.handle_received(
            self, received, self.buffered_bytes - buffered
        )

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._cancel_timer()
        self._owner.remove(self)

    def reject(self, detail: str) -> None:
        """Closes the connection because of what the peer sends."""
        _log.warning(
            "control_connection_rejected",
            peer=self._peer_address,
            detail=detail,
        )
        self.transport.abort()

    def _restart_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            MESSAGE_TIMEOUT,
            self.reject,
            f"no complete message within {MESSAGE_TIMEOUT:g} s",
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class PullSocket:
    """Receives messages from all peers that connect."""

    def __init__(self, on_data: Callable[[bytes], None]):
        self._on_data = on_data
        self._server: asyncio.Server | None = None
        # In order of the last bytes received, the longest ago first.
        self._connections: collections.OrderedDict[_PullProtocol, None] = (
            collections.OrderedDict()
        )
        self._buffered_bytes = 0

    async def open(self, address: str) -> str:
        """Starts to listen; the system chooses the port if it is 0.

        Returns:
            The listen address, "ip:port".

        Raises:
            OSError: The address is in use.
        """
        host, port = tcp_stream.split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _PullProtocol(self), host, port, backlog=1024
        )
        return tcp_stream.bound_address(self._server)

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.transport.abort()

    def add(self, connection: _PullProtocol) -> None:
        """Records a new connection; closes another if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            oldest, _ = self._connections.popitem(last=False)
            self._buffered_bytes -= oldest.buffered_bytes
            oldest.transport.abort()

    def remove(self, connection: _PullProtocol) -> None:
        """Forgets a connection that is closed."""
        if connection in self._connections:
            del self._connections[connection]
            self._buffered_bytes -= connection.buffered_bytes

    def handle_received(
        self,
        connection: _PullProtocol,
        received: list[bytes],
        buffered_change: int,
    ) -> None:
        """Delivers messages and bounds the memory of incomplete ones.

        Args:
            connection: Connection that has received bytes.
            received: Messages that are complete.
            buffered_change: Change of the bytes that the connection buffers.
        """
        if connection in self._connections:
            self._connections.move_to_end(connection)
            self._buffered_bytes += buffered_change
        for data in received:
            self._on_data(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            connection.reject("too many incomplete messages at a time")
