"""Large control messages between processes, one connection a receiver.

Messages are one-way and are lost if a connection breaks or is unresponsive.
"""

import asyncio
import collections
from collections.abc import Callable

from forklift import messages
from forklift.shell import pull_socket
from forklift.shell import push_connection
from forklift.shell import tcp_stream

# Maximum number of connections to send over. Above it, the least recently used
# one is closed.
MAX_CONNECTIONS = 96
# Minimum age in seconds of a connection that may be replaced. Must be longer
# than connection setup takes. It is at most half of the time within which a
# version must reach all.
MIN_CONNECTION_AGE = 1.0


class PushSockets:
    """Sends and receives large control messages.

    Attributes:
        reconnects: Number of connections replaced by a new one.
    """

    def __init__(self, on_data: Callable[[bytes], None]):
        # In order of the last use, the longest ago first.
        self._connection_by_address: collections.OrderedDict[
            str, push_connection.PushConnection
        ] = collections.OrderedDict()
        self._pull = pull_socket.PullSocket(on_data)
        self.reconnects = 0

    async def open(self, address: str) -> str:
        """Starts to listen; the system chooses the port if it is 0.

        Returns:
            The listen address, "ip:port".

        Raises:
            OSError: The address is in use.
        """
        return await self._pull.open(address)

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        self._pull.stop_listening()

    def close(self) -> None:
        """Closes all connections."""
        self._pull.close()
        for connection in self._connection_by_address.values():
            connection.close()
        self._connection_by_address.clear()

    def send(self, address: str, data: bytes, new_connection: bool) -> bool:
        """Queues a message for sending.

        Args:
            address: Address of the receiver, "ip:port".
            data: The message.
            new_connection: Whether to send it over a new connection.

        Returns:
            False if the message was dropped: it exceeds the maximum size, the
            address is invalid, or too many wait for the same receiver.
        """
        if len(data) > messages.MAX_CONTROL_BYTES:
            return False
        if new_connection:
            self._close_connection(address)
        try:
            connection = self._get_connection(address)
        except tcp_stream.InvalidAddress:
            return False
        return connection.send(data)

    def _close_connection(self, address: str) -> None:
        """Closes a connection and drops the messages queued on it.

        A connection younger than MIN_CONNECTION_AGE is kept, as it may still be
        opening and have messages queued.
        """
        connection = self._connection_by_address.get(address)
        if connection is None:
            return
        now = asyncio.get_running_loop().time()
        if now - connection.opened_at < MIN_CONNECTION_AGE:
            return
        del self._connection_by_address[address]
        connection.close()
        self.reconnects += 1

    def _get_connection(self, address: str) -> push_connection.PushConnection:
        connection = self._connection_by_address.get(address)
        if connection is not None:
            self._connection_by_address.move_to_end(address)
            return connection
        connection = push_connection.PushConnection(
            address, lambda: self._connection_by_address.pop(address, None)
        )
        self._connection_by_address[address] = connection
        if len(self._connection_by_address) > MAX_CONNECTIONS:
            _, oldest = self._connection_by_address.popitem(last=False)
            oldest.close()
        return connection
