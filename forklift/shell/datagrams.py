"""Small control messages between processes, each in one UDP datagram.

Datagrams need no connection, and each one wakes the receiver only once. They
may be lost; the protocols tolerate this.
"""

import asyncio
import socket
from collections.abc import Callable

from forklift.shell import tcp_stream

# Maximum size of a message in bytes. Larger ones could be fragmented at the
# usual MTU of 1,500 bytes.
MAX_DATAGRAM_BYTES = 1_400
# Maximum number of datagrams read before the event loop runs other callbacks.
MAX_RECEIVES_PER_WAKEUP = 64
# Size in bytes of the kernel send buffer and of the kernel receive buffer. It
# holds a burst of messages from all peers.
BUFFER_BYTES = 1 << 20


class DatagramSocket:
    """Sends and receives datagrams at one address."""

    def __init__(self, on_data: Callable[[bytes], None]):
        self._on_data = on_data
        self._socket: socket.socket | None = None

    def open(self, address: str) -> None:
        """Binds the socket and reads from it on the running event loop.

        Raises:
            OSError: The address is in use.
        """
        created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            created.bind(tcp_stream.split_address(address))
        except OSError:
            created.close()
            raise
        created.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            created.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self._socket = created
        loop = asyncio.get_running_loop()
        loop.add_reader(created.fileno(), self._receive)

    @property
    def is_open(self) -> bool:
        """Whether the socket is open."""
        return self._socket is not None

    def send(self, address: str, data: bytes) -> bool:
        """Sends a message; returns False if it could not be sent."""
        try:
            self._socket.sendto(data, tcp_stream.split_address(address))
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Closes the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _receive(self) -> None:
        for _ in range(MAX_RECEIVES_PER_WAKEUP):
            if self._socket is None:
                return
            try:
                data = self._socket.recv(1 << 16)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error in response to a datagram that was sent before.
                continue
            self._on_data(data)
