"""A caller that reads a large answer piece by piece and checks each byte."""

import asyncio
import contextlib
import socket

import h11

from forklift.platform import platform_headers
from forklift.shell import tcp_stream
from forklift_lab import scripted

# Milliseconds that a caller allows: far above the sum of all faults, so that
# no deadline excuses the end of an answer.
DEADLINE_MS = 25_000
# Seconds after which a caller gives up; above its deadline.
HANGS_AFTER = 35.0
# Bytes that a caller reads at once, and seconds that it waits in between. A
# slow one leaves most of its answer to the buffers of the processes.
READ_BYTES = 16_384
READ_PAUSES = (0.0, 0.0, 0.03, 0.08)
# Size of the socket buffer of a slow caller, in bytes. A smaller one than a
# segment of the loopback interface stalls the sender.
SMALL_BUFFER_BYTES = 131_072


class Answer:
    """What a caller has received of one answer.

    Attributes:
        status: HTTP status; 0 before its head has arrived.
        size: Bytes of its body that have arrived.
        own: Whether its identity and all its bytes are the expected ones.
        complete: Whether it ended as a complete answer does.
    """

    def __init__(self):
        self.status = 0
        self.size = 0
        self.own = True
        self.complete = False

    def add(self, event: h11.Event, request_id: str) -> None:
        """Adds what the connection parsed."""
        if isinstance(event, h11.Response):
            self.status = event.status_code
            name = platform_headers.PLATFORM.request_id.lower()
            given = dict(event.headers).get(name)
            self.own = given == request_id.encode()
        elif isinstance(event, h11.Data):
            end = self.size + len(event.data)
            expected = scripted.LARGE_BODY[self.size : end]
            self.own = self.own and event.data == expected
            self.size = end
        elif isinstance(event, h11.EndOfMessage):
            self.complete = True


class Downloader:
    """One connection of a caller.

    Args:
        pause: Seconds between two reads.
    """

    def __init__(self, pause: float):
        self._pause = pause
        self._protocol = h11.Connection(h11.CLIENT)
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str) -> None:
        """Connects.

        Raises:
            OSError: Nobody listens.
        """
        end = socket.socket()
        end.setblocking(False)
        if self._pause:
            end.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        place = tcp_stream.split_address(address)
        await asyncio.get_running_loop().sock_connect(end, place)
        self._reader, self._writer = await asyncio.open_connection(
            sock=end, limit=READ_BYTES
        )

    def close(self) -> None:
        """Ends the connection."""
        if self._writer is not None:
            self._writer.close()

    async def ask(self, path: str, request_id: str) -> Answer:
        """Sends a request; returns its answer, or the part that arrived."""
        answer = Answer()
        fields = [
            ("host", "h"),
            (platform_headers.PLATFORM.request_id.decode(), request_id),
            (platform_headers.PLATFORM.deadline.decode(), str(DEADLINE_MS)),
        ]
        request = h11.Request(method="GET", target=path, headers=fields)
        data = self._protocol.send(request)
        data += self._protocol.send(h11.EndOfMessage())
        self._writer.write(data)
        with contextlib.suppress(OSError, TimeoutError, h11.ProtocolError):
            async with asyncio.timeout(HANGS_AFTER):
                while not answer.complete:
                    await self._read(answer, request_id)
        return answer

    async def _read(self, answer: Answer, request_id: str) -> None:
        event = self._protocol.next_event()
        if event is h11.NEED_DATA:
            await asyncio.sleep(self._pause)
            self._protocol.receive_data(await self._reader.read(READ_BYTES))
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionError("ended without a whole answer")
        else:
            answer.add(event, request_id)

    def reuse(self) -> bool:
        """Prepares for the next request; False if the connection closes."""
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True
