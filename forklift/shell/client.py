"""A small HTTP client over h11: the log service, admin calls, experiments."""

import asyncio
import collections
import dataclasses

import h11

from forklift.shell import http
from forklift.shell import tcp_stream


class RequestFailed(ConnectionError):
    """No whole answer arrived.

    Attributes:
        sent: Whether the request may have taken effect.
    """

    def __init__(self, detail: str, sent: bool):
        self.sent = sent
        super().__init__(detail)


@dataclasses.dataclass(frozen=True)
class Response:
    """An answer.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: The whole body.
    """

    status: int
    headers: http.Headers
    body: bytes


class Client:
    """Keeps connections to one address open between requests."""

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
        """Sends one request.

        Raises:
            RequestFailed: No whole answer in time.
        """
        sent = False
        connection = None
        try:
            async with asyncio.timeout(timeout):
                connection, protocol = await self._take()
                sent = True
                self._send(
                    connection, protocol, method, path, body, headers, host
                )
                response = await self._receive(connection, protocol)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            if connection is not None:
                connection.abort()
            # What made it fail may have befallen those that are kept, too.
            self.close()
            detail = str(error) or type(error).__name__
            raise RequestFailed(detail, sent) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            self.close()
            raise
        self._give(connection, protocol)
        return response

    def close(self) -> None:
        """Closes idle connections."""
        while self._idle:
            self._idle.pop()[0].abort()

    async def _take(self) -> tuple[tcp_stream.Connection, h11.Connection]:
        while self._idle:
            connection, protocol = self._idle.pop()
            if not connection.closed and not connection.buffered:
                return connection, protocol
            connection.abort()
        connection = await tcp_stream.connect(self.address)
        return connection, h11.Connection(h11.CLIENT)

    def _give(
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
        head = None
        body = bytearray()
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await connection.read())
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                found = http.fields(head)
                return Response(head.status_code, found, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("closed without an answer")
