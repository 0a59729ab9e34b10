"""Writes the response to one request on a caller's connection."""

import asyncio
from collections.abc import Callable

import h11

from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import tcp_stream

# Seconds without progress after which the transfer of a request or response
# body fails.
STALL_TIMEOUT = 20.0


class ResponseWriter:
    """The sink of the response to one request of a caller.

    Responses on a connection are sent in the order of their requests.

    Attributes:
        protocol: HTTP state of the request.
        method: HTTP method of the request.
        has_started: Whether the head of a response was passed on.
        status: HTTP status of the response; 0 before it has started.
        bytes_sent: Bytes of the response passed to the caller's connection.
        finished: Future that is done once the next response may start.
    """

    def __init__(
        self,
        connection: tcp_stream.Connection,
        is_last: Callable[["ResponseWriter"], bool],
        protocol: h11.Connection,
        method: bytes,
        previous_finished: asyncio.Future | None,
    ):
        """Creates a writer for the response to one request.

        Args:
            connection: The caller's connection.
            is_last: Returns whether the connection closes after a response.
            protocol: HTTP state of the request.
            method: HTTP method of the request.
            previous_finished: Future that is done once the previous response
                on the connection is finished; None if there is none.
        """
        self._connection = connection
        self._is_last = is_last
        self.protocol = protocol
        self._previous_finished = previous_finished
        self.method = method
        # The encoded head until it is sent with the first bytes of the body.
        self._unsent = b""
        self.has_started = False
        self._start_count = 0
        self.status = 0
        self.bytes_sent = 0
        self.finished = asyncio.get_running_loop().create_future()

    async def start(self, head: exchange.ResponseHead) -> None:
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

        An attempt of a non-idempotent request may keep running after the
        request has failed. Its response may then wait here together with the
        error response, and sending both heads would corrupt the connection.

        Raises:
            tcp_stream.ConnectionLost: Another response replaced this one.
        """
        self._start_count += 1
        own_count = self._start_count
        if (
            self._previous_finished is not None
            and not self._previous_finished.done()
        ):
            await asyncio.shield(self._previous_finished)
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
        """Allows the next response on the connection to start."""
        if not self.finished.done():
            self.finished.set_result(None)

    def _flush(self, data: bytes) -> None:
        if self._unsent or data:
            self._connection.write(self._unsent + data)
            self.bytes_sent += len(self._unsent) + len(data)
        self._unsent = b""
