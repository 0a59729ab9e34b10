"""Large control messages between processes, over nng push and pull sockets.

Messages are one-way and are lost if a connection breaks or is unresponsive.
"""

import asyncio
import collections
import math
from collections.abc import Callable

import pynng
import structlog

from forklift import messages

_log = structlog.get_logger(__name__)

# Maximum number of push sockets. Above it, the least recently used one is
# closed.
MAX_SOCKETS = 96
# Maximum number of messages queued on one push socket.
MAX_QUEUED_MESSAGES = 64
# Minimum age in seconds of a connection that may be replaced. Must be longer
# than connection setup takes. It is at most half of the time within which a
# version must reach all.
MIN_CONNECTION_AGE = 1.0

# Parameters of nng for the initial and the maximum number of threads of each
# kind. They limit nng to 6 threads in total. The defaults start 30 threads;
# nng's threads only move bytes, and decisions stay in the event loop.
_TASKS, _EXPIRY, _POLLERS, _RESOLVERS = (1, 5), (2, 6), (3, 7), (4,)
_PARAMETERS_BY_THREAD_COUNT = {2: _TASKS, 1: _EXPIRY + _POLLERS + _RESOLVERS}
for _thread_count, _parameters in _PARAMETERS_BY_THREAD_COUNT.items():
    for _parameter in _parameters:
        pynng._nng.lib.nng_init_set_parameter(_parameter, _thread_count)


class PushSockets:
    """Sends and receives large control messages.

    Attributes:
        reconnects: Number of connections replaced by a new one.
    """

    def __init__(self, on_data: Callable[[bytes], None]):
        self._on_data = on_data
        self._socket_by_address: collections.OrderedDict[str, pynng.Push0] = (
            collections.OrderedDict()
        )
        # Loop time in seconds at which each connection was opened.
        self._opened_at_by_address: dict[str, float] = {}
        self._pull = pynng.Pull0(recv_max_size=messages.MAX_CONTROL_BYTES)
        self._listener: pynng.nng.Listener | None = None
        self._task: asyncio.Task | None = None
        self._closed = False
        self.reconnects = 0

    def open(self, address: str) -> str:
        """Starts to listen; the system chooses the port if it is 0.

        Returns:
            The listen address, "ip:port".

        Raises:
            pynng.AddressInUse: The address is in use.
        """
        self._listener = self._pull.listen(f"tcp://{address}")
        if self._task is None:
            self._task = asyncio.create_task(self._receive())
        return str(self._listener.local_address)

    def stop_listening(self) -> None:
        """Closes the listener that was opened last."""
        self._listener.close()

    async def close(self) -> None:
        """Closes all sockets and ends the receive task.

        nng aborts the program if a receive outlives its socket.
        """
        self._closed = True
        self._pull.close()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for socket in self._socket_by_address.values():
            socket.close()
        self._socket_by_address.clear()

    def send(self, address: str, data: bytes, new_connection: bool) -> bool:
        """Queues a message for sending.

        Args:
            address: Address of the receiver, "ip:port".
            data: The message.
            new_connection: Whether to send it over a new connection.

        Returns:
            False if the message was dropped, as when the send buffer is full.
        """
        if new_connection:
            self._close_connection(address)
        try:
            self._get_socket(address).send(data, block=False)
        except pynng.NNGException:
            return False
        return True

    def _close_connection(self, address: str) -> None:
        """Closes a connection and drops the messages queued on it.

        A connection younger than MIN_CONNECTION_AGE is kept, as it may still be
        opening and have messages queued.
        """
        now = asyncio.get_running_loop().time()
        opened = self._opened_at_by_address.get(address, -math.inf)
        if now - opened < MIN_CONNECTION_AGE:
            return
        socket = self._socket_by_address.pop(address, None)
        if socket is not None:
            socket.close()
            self.reconnects += 1

    def _get_socket(self, address: str) -> pynng.Push0:
        socket = self._socket_by_address.pop(address, None)
        if socket is None:
            socket = pynng.Push0(
                send_buffer_size=MAX_QUEUED_MESSAGES,
                reconnect_time_min=50,
                reconnect_time_max=2000,
            )
            socket.dial(f"tcp://{address}", block=False)
            now = asyncio.get_running_loop().time()
            self._opened_at_by_address[address] = now
        self._socket_by_address[address] = socket
        if len(self._socket_by_address) > MAX_SOCKETS:
            evicted, oldest = self._socket_by_address.popitem(last=False)
            self._opened_at_by_address.pop(evicted, None)
            oldest.close()
        return socket

    async def _receive(self) -> None:
        while True:
            try:
                data = await self._pull.arecv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # nng may also report a cancelled receive as an error.
                if self._closed:
                    return
                _log.warning("control_receive_failed", detail=str(error))
                continue
            self._on_data(data)
