"""Writes the response to one request on a caller's connection."""

import asyncio
from collections.abc import Callable

import h11

from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import tcp_stream

# Seconds for which a caller may transfer no byte of a request or response body.
STALL_TIMEOUT = 20.0


class ResponseWriter:
    """The sink of the response to one request of a caller.

    Responses on a connection are sent in the order of their requests.
    """

    def __init__(
        self,
        connection: tcp_stream.Connection,
        is_last: Callable[["ResponseWriter"], bool],
        protocol: h11.Connection,
        method: bytes,
        previous: asyncio.Future | None,
    ):
        """Creates a writer that has sent nothing.

        Args:
            connection: The caller's connection.
            is_last: Whether the connection closes after a response.
            protocol: HTTP state of the request.
            method: HTTP method of the request.
            previous: Done once the response before this one is finished; None
                if there is none.
        """
        self._connection = connection
        self._is_last = is_last
        self.protocol = protocol
        self._previous = previous
        self.method = method
        # The head is sent with the first bytes of the body, in one packet.
        self._unsent = b""
        self.has_started = False
        self._start_count = 0
        self.status = 0
        self.finished = asyncio.get_running_loop().create_future()

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        await self._wait_for_previous()
        sent = list(head.headers)
        if head.length >= 0:
            sent.append((b"content-length", str(head.length).encode()))
        elif self.method != b"HEAD" and head.status not in (204, 304):
            sent.append((b"transfer-encoding", b"chunked"))
        if self._is_last(self) and not http.has_connection_header(sent):
            sent.append((b"connection", b"close"))
        self.has_started = True
        self.status = head.status
        response = h11.Response(status_code=head.status, headers=sent)
        self._unsent = self.protocol.send(response)
        if head.length < 0:
            # The first chunk of a streamed body may take long to arrive.
            self._flush(b"")

    async def _wait_for_previous(self) -> None:
        """Waits for the previous response; only the latest waiter proceeds.

        An attempt of a non-idempotent request keeps running after the request
        is given up. Its response may then wait here together with the one that
        replaces it, and sending two heads would corrupt the connection.

        Raises:
            tcp_stream.ConnectionLost: Another response to the request began.
        """
        self._start_count += 1
        own_count = self._start_count
        if self._previous is not None and not self._previous.done():
            await asyncio.shield(self._previous)
        if own_count != self._start_count:
            raise tcp_stream.ConnectionLost(
                "another response to this request replaced it"
            )

    async def data(self, chunk: bytes) -> None:
        """See `exchange.Sink`."""
        if self.method == b"HEAD":
            return
        self._flush(self.protocol.send(h11.Data(chunk)))
        if not self._connection.congested:
            return
        try:
            async with asyncio.timeout(STALL_TIMEOUT):
                await self._connection.drain()
        except TimeoutError as error:
            raise tcp_stream.ConnectionLost(
                "the caller stopped reading"
            ) from error

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._flush(self.protocol.send(h11.EndOfMessage()))

    def release_next(self) -> None:
        """Lets the next response on the connection start."""
        if not self.finished.done():
            self.finished.set_result(None)

    def _flush(self, data: bytes) -> None:
        if self._unsent or data:
            self._connection.write(self._unsent + data)
        self._unsent = b""
