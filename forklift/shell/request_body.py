"""Reads the bodies of callers: a small one whole, a large one in pieces."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

import h11

from forklift import catalog as catalogs
from forklift import errors
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import response_writer
from forklift.shell import tcp_stream


class BodyReader:
    """Reads bodies from one connection of a caller."""

    def __init__(
        self,
        connection: tcp_stream.Connection,
        limits: Callable[[], catalogs.CallerLimits],
    ):
        self._connection = connection
        self._limits = limits

    async def read(
        self, protocol: h11.Connection, event: h11.Request
    ) -> exchange.Body:
        """The body of a request; a large one is read as it is taken.

        Raises:
            errors.BadRequest: It is larger than allowed.
            exchange.IncompleteBody: It ended early.
        """
        length = http.content_length(http.fields(event))
        if length > self._limits().body_bytes:
            raise errors.BadRequest(
                "the body is too large", "send a smaller one", 413
            )
        pieces = self._pieces(protocol)
        # Of a large one as much is read first as its fingerprint covers.
        first = bytearray()
        async for piece in pieces:
            first += piece
            if len(first) > exchange.INLINE_BYTES:
                return exchange.Body(bytes(first), pieces)
        return exchange.Body(bytes(first))

    async def _pieces(self, protocol: h11.Connection) -> AsyncIterator[bytes]:
        taken = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                await self._more(protocol)
            elif isinstance(event, h11.Data):
                taken += len(event.data)
                if taken > self._limits().body_bytes:
                    raise exchange.IncompleteBody("larger than allowed")
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise exchange.IncompleteBody("the caller closed")

    async def _more(self, protocol: h11.Connection) -> None:
        if protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._connection.write(protocol.send(go_on))
        async with asyncio.timeout(response_writer.STALL_TIMEOUT):
            data = await self._connection.read()
        protocol.receive_data(data)
