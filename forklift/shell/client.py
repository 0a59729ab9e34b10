"""A small HTTP client over h11 for the store and the admin interface."""

import asyncio
import collections
import dataclasses

import h11

from forklift.shell import http
from forklift.shell import response_events
from forklift.shell import tcp_stream

# Maximum size of a response body in bytes. The largest pages of the store and
# the state of a large fleet have a few megabytes.
MAX_BODY_BYTES = 16_777_216


class RequestFailed(ConnectionError):
    """No complete response arrived.

    Attributes:
        sent: Whether the request may have reached the server.
    """

    def __init__(self, detail: str, sent: bool):
        self.sent = sent
        super().__init__(detail)


@dataclasses.dataclass(frozen=True)
class Response:
    """A response with its complete body.

    Attributes:
        status: HTTP status.
        headers: Header fields; names are in lower case.
        body: The complete body.
    """

    status: int
    headers: http.Headers
    body: bytes


class Client:
    """An HTTP client of one server that reuses idle connections.

    Attributes:
        address: Address of the server, "ip:port".
    """

    def __init__(self, address: str):
        self.address = address
        self._idle: collections.deque[
            tuple[tcp_stream.Connection, h11.Connection]
        ] = collections.deque()

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 10.0,
        host: str = "",
    ) -> Response:
        """Sends one request and returns the response.

        Args:
            method: HTTP method.
            path: Request target.
            body: The complete body.
            headers: Additional header fields.
            timeout: Seconds until the response must be complete.
            host: Value of the Host header; the address by default.

        Raises:
            RequestFailed: No complete response arrived in time.
        """
        sent = False
        connection = None
        try:
            async with asyncio.timeout(timeout):
                connection, protocol = await self._acquire()
                sent = True
                self._send(
                    connection, protocol, method, path, body, headers, host
                )
                response = await self._receive(connection, protocol)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            if connection is not None:
                connection.abort()
            # The idle connections may be broken for the same reason.
            self.close()
            detail = str(error) or type(error).__name__
            raise RequestFailed(detail, sent) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            self.close()
            raise
        self._release(connection, protocol)
        return response

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop()[0].abort()

    async def _acquire(self) -> tuple[tcp_stream.Connection, h11.Connection]:
        while self._idle:
            connection, protocol = self._idle.pop()
            if not connection.closed and not connection.buffered:
                return connection, protocol
            connection.abort()
        connection = await tcp_stream.connect(self.address)
        return connection, h11.Connection(h11.CLIENT)

    def _release(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> None:
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
            self._idle.append((connection, protocol))
        else:
            connection.abort()

    def _send(
        self,
        connection: tcp_stream.Connection,
        protocol: h11.Connection,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        host: str,
    ) -> None:
        fields = [("host", host or self.address), *headers]
        if body or method in ("POST", "PUT"):
            fields.append(("content-length", str(len(body))))
        event = h11.Request(method=method, target=path, headers=fields)
        data = protocol.send(event)
        if body:
            data += protocol.send(h11.Data(body))
        data += protocol.send(h11.EndOfMessage())
        connection.write(data)

    async def _receive(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> Response:
        body = bytearray()
        try:
            return await self._receive_into(body, connection, protocol)
        except BaseException:
            # The error refers to this frame, and may be kept for long.
            body.clear()
            raise

    async def _receive_into(
        self,
        body: bytearray,
        connection: tcp_stream.Connection,
        protocol: h11.Connection,
    ) -> Response:
        head = None
        events = response_events.ResponseEvents(connection)
        while True:
            event = await events.next(protocol)
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise ConnectionError("the response has too many bytes")
            elif isinstance(event, h11.EndOfMessage):
                headers = http.fields(head)
                return Response(head.status_code, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError(
                    "the server closed the connection before the response "
                    "was complete"
                )
