"""The answer to one request of a caller, on its way out in its turn."""

import asyncio
from collections.abc import Callable

import h11

from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import tcp_stream

# Seconds a caller may go without taking or giving a byte of a body.
STALL_TIMEOUT = 20.0


class ResponseWriter:
    """The sink of an answer that goes to a caller, in its turn."""

    def __init__(
        self,
        connection: tcp_stream.Connection,
        last: Callable[["ResponseWriter"], bool],
        protocol: h11.Connection,
        method: bytes,
        turn: asyncio.Future | None,
    ):
        self._connection = connection
        self._last = last
        self.protocol = protocol
        self._turn = turn
        self.method = method
        # The head waits for the first bytes of the body: one packet, not two.
        self._unsent = b""
        self.has_started = False
        self._newest = 0
        self.status = 0
        self.finished = asyncio.get_running_loop().create_future()

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        await self._wait_for_turn()
        sent = list(head.headers)
        if head.length >= 0:
            sent.append((b"content-length", str(head.length).encode()))
        elif self.method != b"HEAD" and head.status not in (204, 304):
            sent.append((b"transfer-encoding", b"chunked"))
        if self._last(self) and not http.has_connection_header(sent):
            sent.append((b"connection", b"close"))
        self.has_started = True
        self.status = head.status
        response = h11.Response(status_code=head.status, headers=sent)
        self._unsent = self.protocol.send(response)
        if head.length < 0:
            # The body may take its time.
            self._flush(b"")

    async def _wait_for_turn(self) -> None:
        """Waits for its turn, unless another answer comes meanwhile.

        Work that must not repeat goes on when its request is given up: its
        answer may wait here beside the one that took its place, and two heads
        would break the connection.
        """
        self._newest += 1
        mine = self._newest
        if self._turn is not None and not self._turn.done():
            await asyncio.shield(self._turn)
        if mine != self._newest:
            raise tcp_stream.ConnectionLost("another answer took its place")

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        if self.method == b"HEAD":
            return
        self._flush(self.protocol.send(h11.Data(piece)))
        if not self._connection.congested:
            return
        try:
            async with asyncio.timeout(STALL_TIMEOUT):
                await self._connection.drain()
        except TimeoutError as error:
            raise tcp_stream.ConnectionLost(
                "the caller takes no bytes"
            ) from error

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._flush(self.protocol.send(h11.EndOfMessage()))

    def release_next(self) -> None:
        """Lets the next answer go."""
        if not self.finished.done():
            self.finished.set_result(None)

    def _flush(self, data: bytes) -> None:
        if self._unsent or data:
            self._connection.write(self._unsent + data)
        self._unsent = b""
