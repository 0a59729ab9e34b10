"""Reads request bodies from callers; large ones are streamed."""

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
    """Reads request bodies from one connection of a caller."""

    def __init__(
        self,
        connection: tcp_stream.Connection,
        limits: Callable[[], catalogs.CallerLimits],
    ):
        self._connection = connection
        self._limits = limits

    async def read(
        self,
        protocol: h11.Connection,
        event: h11.Request,
        previous_finished: asyncio.Future | None = None,
    ) -> exchange.Body:
        """Reads the body of a request, or the prefix of a large one.

        The rest of a large body is read when the consumer iterates over it.

        Args:
            protocol: HTTP state of the request.
            event: Head of the request.
            previous_finished: Future that is done once the response to the
                previous request on the connection is sent; None if there is
                none.

        Raises:
            errors.BadRequest: The body exceeds the limit.
            exchange.IncompleteBody: The body ended early.
            TimeoutError: The caller sent nothing for
                `response_writer.STALL_TIMEOUT` seconds.
        """
        length = http.content_length(http.fields(event))
        if length > self._limits().body_bytes:
            raise _too_large_error()
        chunks = self._read_chunks(protocol, previous_finished)
        # The prefix must cover all bytes that the fingerprint includes.
        prefix = bytearray()
        try:
            async for chunk in chunks:
                prefix += chunk
                if len(prefix) > exchange.MAX_INLINE_BYTES:
                    return exchange.Body(bytes(prefix), chunks)
        except exchange.BodyTooLarge as error:
            raise _too_large_error() from error
        return exchange.Body(bytes(prefix))

    async def _read_chunks(
        self,
        protocol: h11.Connection,
        previous_finished: asyncio.Future | None,
    ) -> AsyncIterator[bytes]:
        size = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                await self._receive(protocol, previous_finished)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits().body_bytes:
                    raise exchange.BodyTooLarge
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise exchange.IncompleteBody("the caller disconnected")

    async def _receive(
        self,
        protocol: h11.Connection,
        previous_finished: asyncio.Future | None,
    ) -> None:
        waiting = protocol.they_are_waiting_for_100_continue
        if waiting and not self._connection.buffered:
            await self._send_continue(protocol, previous_finished)
        async with asyncio.timeout(response_writer.STALL_TIMEOUT):
            data = await self._connection.read()
        protocol.receive_data(data)

    async def _send_continue(
        self,
        protocol: h11.Connection,
        previous_finished: asyncio.Future | None,
    ) -> None:
        """Tells the caller to send the body, after the previous response."""
        if previous_finished is not None:
            await asyncio.shield(previous_finished)
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self._connection.write(protocol.send(interim))


def _too_large_error() -> errors.BadRequest:
    return errors.BadRequest("the body is too large", "send a smaller one", 413)
