"""A loopback relay that spoils the connections that pass it.

It stands between a process and its store, its target or its peers, and is told
from outside how to treat their bytes. What it holds back while it is silent is
delivered once it is not, as TCP would after a cut.
"""

import asyncio
import enum
import socket
import struct

from forklift.shell import wire

_CHUNK = 65_536
_NO_LINGER = struct.pack("ii", 1, 0)


class Way(enum.Enum):
    """A direction through the relay."""

    # From the side that opened the connection.
    UP = "up"
    DOWN = "down"


class Relay:
    """Passes connections on to one address."""

    def __init__(self, target: str = ""):
        self.target = target
        self.address = ""
        # Seconds by which each piece is late.
        self.delay = 0.0
        self._open_by_way = {way: asyncio.Event() for way in Way}
        for event in self._open_by_way.values():
            event.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "Relay":
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = wire.bound_address(self._server)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self, way: Way) -> None:
        """Holds back what goes one way."""
        self._open_by_way[way].clear()

    def heal(self) -> None:
        """Treats everything well again."""
        self.delay = 0.0
        for event in self._open_by_way.values():
            event.set()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            end = writer.get_extra_info("socket")
            if end is not None and not writer.is_closing():
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            host, port = wire.split_address(self.target)
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        up = self._pass(reader, far_writer, Way.UP)
        down = self._pass(far_reader, writer, Way.DOWN)
        try:
            await asyncio.gather(up, down)
        except asyncio.CancelledError:
            # Only the end of the relay cancels, and nobody awaits this task.
            return
        finally:
            self._writers -= ends
            for end in ends:
                end.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
    ) -> None:
        try:
            while piece := await reader.read(_CHUNK):
                await self._open_by_way[way].wait()
                await asyncio.sleep(self.delay)
                writer.write(piece)
                await writer.drain()
            await self._open_by_way[way].wait()
            writer.write_eof()
        except OSError:
            # One side broke off, and the other is to see just that.
            writer.transport.abort()
