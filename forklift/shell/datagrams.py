"""Small messages to and from other processes, a datagram each.

They need no connections, so none can fall silent, and a message wakes its
receiver once. Some are lost, which is how the decisions treat them.
"""

import asyncio
import socket
from collections.abc import Callable

from forklift.shell import tcp_stream

# Largest message, bytes: what no network of the usual kind splits, with room
# for the headers of tunnels.
MAX_DATAGRAM_BYTES = 1_400
# Messages that are taken in one wake, so that a flood does not keep the loop.
MAX_RECEIVES_PER_WAKEUP = 64
# Bytes that the system may hold of either way: a burst of all peers.
BUFFER_BYTES = 1 << 20


class DatagramSocket:
    """Sends and receives datagrams at one address."""

    def __init__(self, on_data: Callable[[bytes], None]):
        self._on_data = on_data
        self._socket: socket.socket | None = None

    def open(self, address: str) -> None:
        """Listens, on the running loop.

        Raises:
            OSError: The address is taken.
        """
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.bind(tcp_stream.split_address(address))
        except OSError:
            made.close()
            raise
        made.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            made.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self._socket = made
        loop = asyncio.get_running_loop()
        loop.add_reader(made.fileno(), self._receive)

    @property
    def is_open(self) -> bool:
        """Whether it listens."""
        return self._socket is not None

    def send(self, address: str, data: bytes) -> bool:
        """Sends a message; False where the system does not take it."""
        try:
            self._socket.sendto(data, tcp_stream.split_address(address))
        except (OSError, ValueError, OverflowError):
            return False
        return True

    def close(self) -> None:
        """Listens no more."""
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
                # Word of an earlier one that reached nobody.
                continue
            self._on_data(data)
