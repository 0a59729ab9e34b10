"""A loopback relay that spoils the connections that pass it.

It stands between a process and its store, its target or its peers, and is told
from outside how to treat their bytes. What it holds back while it is silent is
delivered once it is not, as TCP would after a cut. What it drops is gone, and
the rest of that connection with it: neither side sees a reset or an end.
Datagrams have no connection and no second try: what meets a silent relay is
gone.
"""

import asyncio
import enum
import socket
import struct

from forklift.shell import datagrams as datagram
from forklift.shell import tcp_stream

# Ports that are tried until both kinds of bytes have the same one.
MAX_PORT_ATTEMPTS = 16
_CHUNK = 65_536
# Seconds that a slow link takes for one piece.
_SLOW_PIECE_SECONDS = 0.02
_NO_LINGER = struct.pack("ii", 1, 0)


class Way(enum.Enum):
    """A direction through the relay."""

    # From the side that opened the connection.
    UP = "up"
    DOWN = "down"


class Relay:
    """Passes connections on to one address, and datagrams where asked to."""

    def __init__(self, target: str = "", datagrams: bool = False):
        self.target = target
        self._datagrams: datagram.DatagramSocket | None = None
        if datagrams:
            self._datagrams = datagram.DatagramSocket(self._pass_datagram)
        self.address = ""
        # Seconds by which each piece is late.
        self.delay = 0.0
        # Replaces the next piece that goes down; None to pass it on.
        self.replacement: bytes | None = None
        # Rate at which each connection passes bytes on; 0 for no limit.
        self.bytes_per_second = 0
        # Ways in which what arrives now is dropped, on new connections too.
        self.dropping: frozenset[Way] = frozenset()
        # Ways that are dead, for each connection that is open.
        self._dead: list[set[Way]] = []
        self._open_by_way = {way: asyncio.Event() for way in Way}
        for event in self._open_by_way.values():
            event.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "Relay":
        for left in reversed(range(MAX_PORT_ATTEMPTS)):
            self._server = await asyncio.start_server(
                self._accept, "127.0.0.1", 0
            )
            self.address = tcp_stream.bound_address(self._server)
            try:
                if self._datagrams is not None:
                    self._datagrams.open(self.address)
                break
            except OSError:
                # Somebody else's datagrams go to a port of that number.
                self._server.close()
                if not left:
                    raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self, way: Way) -> None:
        """Holds back what goes one way."""
        self._open_by_way[way].clear()

    def drop_open(self, ways: frozenset[Way]) -> None:
        """Connections that are open fall silent for good; new ones work."""
        for dead in self._dead:
            dead.update(ways)

    def heal(self) -> None:
        """Treats everything well again, but for what was dropped."""
        self.delay = 0.0
        self.bytes_per_second = 0
        for event in self._open_by_way.values():
            event.set()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            end = writer.get_extra_info("socket")
            if end is not None and not writer.is_closing():
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()

    def _pass_datagram(self, data: bytes) -> None:
        """Passes a datagram on; all go one way."""
        silent = not self._open_by_way[Way.UP].is_set()
        if silent or Way.UP in self.dropping:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, self._send_datagram, data)

    def _send_datagram(self, data: bytes) -> None:
        if self._datagrams.is_open:
            self._datagrams.send(self.target, data)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            host, port = tcp_stream.split_address(self.target)
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        dead: set[Way] = set()
        self._dead.append(dead)
        up = self._pass(reader, far_writer, Way.UP, dead)
        down = self._pass(far_reader, writer, Way.DOWN, dead)
        try:
            await asyncio.gather(up, down)
        except asyncio.CancelledError:
            # Only the end of the relay cancels, and nobody awaits this task.
            return
        finally:
            self._writers -= ends
            self._dead = [one for one in self._dead if one is not dead]
            for end in ends:
                end.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
        dead: set[Way],
    ) -> None:
        broke = False
        try:
            while piece := await reader.read(self._chunk_size()):
                await self._open_by_way[way].wait()
                await asyncio.sleep(self.delay + self._seconds_for(piece))
                if way is Way.DOWN and self.replacement is not None:
                    piece, self.replacement = self.replacement, None
                if not self._dropped(way, dead):
                    writer.write(piece)
                    await writer.drain()
            await self._open_by_way[way].wait()
        except OSError:
            broke = True
        if self._dropped(way, dead):
            # How it ended is not seen either, until the relay itself ends.
            await asyncio.Event().wait()
        else:
            _end(writer, broke)

    def _chunk_size(self) -> int:
        """Maximum size of the next piece in bytes; small on a slow link."""
        if not self.bytes_per_second:
            return _CHUNK
        return max(1, int(self.bytes_per_second * _SLOW_PIECE_SECONDS))

    def _seconds_for(self, piece: bytes) -> float:
        """Seconds that the link takes for a piece."""
        if not self.bytes_per_second:
            return 0.0
        return len(piece) / self.bytes_per_second

    def _dropped(self, way: Way, dead: set[Way]) -> bool:
        """Whether bytes or an end that go one way now are lost."""
        if way in self.dropping:
            dead.add(way)
        return way in dead


def _end(writer: asyncio.StreamWriter, broke: bool) -> None:
    """Ends one side as the other ended."""
    try:
        if not broke:
            writer.write_eof()
    except OSError:
        broke = True
    if broke:
        # One side broke off, and the other is to see just that.
        writer.transport.abort()
