"""Large messages to and from other processes, over nng push and pull sockets.

Each is one way and may be lost, as a connection may break or fall silent.
"""

import asyncio
import collections
import math
from collections.abc import Callable

import pynng
import structlog

from forklift import messages

_log = structlog.get_logger(__name__)

MAX_SOCKETS = 96
SEND_BUFFER = 64
# Seconds for which a connection is kept, answered or not: many times what
# opening one takes, half of the bound within which a version must be told.
MIN_CONNECTION_AGE = 1.0

# One loop on one thread decides; nng's own threads only move bytes. Its
# defaults start 30 of them, these settings start 6 (docs/DESIGN.md).
_TASKS, _EXPIRY, _POLLERS, _RESOLVERS = (1, 5), (2, 6), (3, 7), (4,)
_THREADS = {2: _TASKS, 1: _EXPIRY + _POLLERS + _RESOLVERS}
for _threads, _parameters in _THREADS.items():
    for _parameter in _parameters:
        pynng._nng.lib.nng_init_set_parameter(_parameter, _threads)


class PushSockets:
    """Sends and receives large messages."""

    def __init__(self, on_data: Callable[[bytes], None]):
        self._on_data = on_data
        self._socket_by_address: collections.OrderedDict[str, pynng.Push0] = (
            collections.OrderedDict()
        )
        # Loop seconds at which a connection was opened.
        self._opened_at_by_address: dict[str, float] = {}
        self._pull = pynng.Pull0(recv_max_size=messages.MAX_CONTROL_BYTES)
        self._listener: pynng.nng.Listener | None = None
        self._task: asyncio.Task | None = None
        self._closed = False
        self.reconnects = 0

    def open(self, address: str) -> str:
        """Listens; returns where, as port 0 lets the system choose one.

        Raises:
            pynng.AddressInUse: The address is taken.
        """
        self._listener = self._pull.listen(f"tcp://{address}")
        if self._task is None:
            self._task = asyncio.create_task(self._receive())
        return str(self._listener.local_address)

    def stop_listening(self) -> None:
        """Listens no more at the address that was opened last."""
        self._listener.close()

    async def close(self) -> None:
        """Closes all sockets; nng aborts if a receive outlives them."""
        self._closed = True
        self._pull.close()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for socket in self._socket_by_address.values():
            socket.close()
        self._socket_by_address.clear()

    def send(self, address: str, data: bytes, new_connection: bool) -> bool:
        """Hands a message to the library; False where it does not take it.

        Args:
            address: Of the receiver.
            data: The message.
            new_connection: Whether it goes over a new connection.
        """
        if new_connection:
            self._hang_up(address)
        try:
            self._socket(address).send(data, block=False)
        except pynng.NNGException:
            return False
        return True

    def _hang_up(self, address: str) -> None:
        """Drops a connection, and what still waits to be sent over it.

        A young one may still be opening, with what is to be sent; several
        messages to a silent peer are often due at once.
        """
        now = asyncio.get_running_loop().time()
        opened = self._opened_at_by_address.get(address, -math.inf)
        if now - opened < MIN_CONNECTION_AGE:
            return
        socket = self._socket_by_address.pop(address, None)
        if socket is not None:
            socket.close()
            self.reconnects += 1

    def _socket(self, address: str) -> pynng.Push0:
        socket = self._socket_by_address.pop(address, None)
        if socket is None:
            socket = pynng.Push0(
                send_buffer_size=SEND_BUFFER,
                reconnect_time_min=50,
                reconnect_time_max=2000,
            )
            socket.dial(f"tcp://{address}", block=False)
            now = asyncio.get_running_loop().time()
            self._opened_at_by_address[address] = now
        self._socket_by_address[address] = socket
        if len(self._socket_by_address) > MAX_SOCKETS:
            dropped, oldest = self._socket_by_address.popitem(last=False)
            self._opened_at_by_address.pop(dropped, None)
            oldest.close()
        return socket

    async def _receive(self) -> None:
        while True:
            try:
                data = await self._pull.arecv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # A cancel may surface as an error of the library, too.
                if self._closed:
                    return
                _log.warning("control_receive", detail=str(error))
                continue
            self._on_data(data)
