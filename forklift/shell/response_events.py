"""Reads responses with bounded work for each turn of the event loop.

A server in trouble may send interim responses or tiny chunks without end. Each
is an event of its own, so that a few kilobytes could hold the event loop.
"""

import asyncio

import h11

from forklift.shell import tcp_stream

# Maximum number of interim responses (1xx) before a response. Servers send one
# or two.
MAX_INTERIM_RESPONSES = 16
# Size in bytes below which a chunk costs more than its transfer.
SMALL_CHUNK_BYTES = 256
# Number of small chunks that are handled without a pause.
SMALL_CHUNKS_PER_TURN = 64
# Seconds of that pause, which bounds the share of the event loop that one
# connection takes. It allows 3,200 small chunks per second.
PAUSE_SECONDS = 0.02


class ResponseEvents:
    """Events of the responses to one request."""

    def __init__(self, connection: tcp_stream.Connection):
        self._connection = connection
        self._interim_count = 0
        self._small_chunk_count = 0

    async def next(self, protocol: h11.Connection) -> h11.Event:
        """Returns the next event that is not an interim response.

        Args:
            protocol: State of the response.

        Raises:
            h11.RemoteProtocolError: The server violates the protocol, or sends
                too many interim responses.
            OSError: The connection was reset.
        """
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await self._read())
            elif isinstance(event, h11.InformationalResponse):
                self._count_interim_response()
            else:
                await self._pace(event)
                return event

    async def _read(self) -> bytes:
        data = await self._connection.read()
        if not data and self._connection.error is not None:
            # A response without a length is incomplete if it ends with a reset.
            raise self._connection.error
        return data

    def _count_interim_response(self) -> None:
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            raise h11.RemoteProtocolError("too many interim responses")

    async def _pace(self, event: h11.Event) -> None:
        if not isinstance(event, h11.Data):
            return
        if len(event.data) >= SMALL_CHUNK_BYTES:
            return
        self._small_chunk_count += 1
        if self._small_chunk_count % SMALL_CHUNKS_PER_TURN == 0:
            await asyncio.sleep(PAUSE_SECONDS)
