"""A small HTTP server over h11 that buffers requests and responses whole.

It serves the admin interface, the endpoints of the platform and test doubles.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import h11

from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import tcp_stream

# Seconds without input after which a connection is closed.
IDLE_TIMEOUT = 60.0
# Seconds for which a connection discards input after it was rejected.
LINGER_TIMEOUT = 1.0
# Default maximum size of a request body.
MAX_BODY_BYTES = 4_500_000
JSON_MEDIA_TYPE = b"application/json"


@dataclasses.dataclass(frozen=True)
class Request:
    """A request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Header fields; names are in lower case.
        body: The complete body.
    """

    method: str
    target: str
    headers: http.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class Response:
    """A response with its complete body.

    Attributes:
        status: HTTP status.
        body: The complete body.
        media_type: Media type of the body.
        headers: Additional header fields.
        truncate_at: Number of bytes of the body after which the connection is
            closed; -1 sends the whole body. Only test doubles set this.
    """

    status: int
    body: bytes = b""
    media_type: bytes = JSON_MEDIA_TYPE
    headers: http.Headers = ()
    truncate_at: int = -1


_BODY_TOO_LARGE = Response(
    413, b'{"error": "the body is too large; send a smaller one"}'
)

Handler = Callable[[Request], Awaitable[Response | None]]


class Server:
    """Serves each connection in a task of its own.

    If the handler returns None, the connection is aborted.

    Attributes:
        address: The bound address, "ip:port"; empty before `open`.
    """

    def __init__(self, handler: Handler, max_body_bytes: int = MAX_BODY_BYTES):
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def open(self, address: str) -> None:
        """Starts to listen.

        Args:
            address: "ip:port"; port 0 selects a free port.

        Raises:
            OSError: The address is in use.
        """
        self._server = await tcp_stream.listen(address, self._accept)
        self.address = tcp_stream.bound_address(self._server)

    def close(self) -> None:
        """Stops listening; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def abort(self) -> None:
        """Stops listening and closes all connections."""
        self.close()
        for task in list(self._tasks):
            task.cancel()

    def _accept(self, connection: tcp_stream.Connection) -> None:
        task = asyncio.create_task(self._serve_connection(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(
        self, connection: tcp_stream.Connection
    ) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(connection, protocol):
                protocol.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            pass
        finally:
            connection.close()

    async def _serve_request(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> bool:
        """Serves one request; returns whether to keep the connection open."""
        event = await _next_event(connection, protocol)
        if not isinstance(event, h11.Request):
            return False
        try:
            body = await self._read_body(connection, protocol)
        except exchange.BodyTooLarge:
            await _reject(connection, protocol, _BODY_TOO_LARGE)
            return False
        if body is None:
            return False
        headers = http.fields(event)
        request = Request(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            headers,
            body,
        )
        response = await self._handle(connection, request)
        if response is None:
            connection.abort()
            return False
        return await _send_response(connection, protocol, request, response)

    async def _read_body(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> bytes | None:
        """Returns the complete body; None if it is incomplete.

        Raises:
            exchange.BodyTooLarge: The body exceeds the limit.
        """
        body = bytearray()
        while True:
            event = await _next_event(connection, protocol)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            if len(body) > self._max_body_bytes:
                raise exchange.BodyTooLarge

    async def _handle(
        self, connection: tcp_stream.Connection, request: Request
    ) -> Response | None:
        """Runs the handler; cancels it if the caller disconnects.

        Raises:
            tcp_stream.ConnectionLost: The caller disconnected.
        """
        task = asyncio.ensure_future(self._handler(request))
        connection.on_lost = task.cancel
        try:
            return await task
        except asyncio.CancelledError:
            if connection.closed:
                raise tcp_stream.ConnectionLost(
                    "the caller disconnected"
                ) from None
            raise
        finally:
            connection.on_lost = None


async def _next_event(
    connection: tcp_stream.Connection, protocol: h11.Connection
):
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        if protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            connection.write(protocol.send(interim))
        async with asyncio.timeout(IDLE_TIMEOUT):
            protocol.receive_data(await connection.read())


async def _reject(
    connection: tcp_stream.Connection,
    protocol: h11.Connection,
    response: Response,
) -> None:
    """Answers a request that was not read whole, and ends the connection."""
    headers = [
        (b"content-type", response.media_type),
        (b"content-length", str(len(response.body)).encode()),
        (b"connection", b"close"),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    connection.write(protocol.send(head) + response.body)
    # Unread input would reset the connection and discard the response.
    connection.half_close()
    try:
        async with asyncio.timeout(LINGER_TIMEOUT):
            await connection.wait_closed()
    except TimeoutError:
        pass


async def _send_response(
    connection: tcp_stream.Connection,
    protocol: h11.Connection,
    request: Request,
    response: Response,
) -> bool:
    """Sends a response; returns whether the connection can be reused."""
    headers = [
        *response.headers,
        (b"content-type", response.media_type),
        (b"content-length", str(len(response.body)).encode()),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    data = protocol.send(head)
    if 0 <= response.truncate_at < len(response.body):
        connection.write(data + response.body[: response.truncate_at])
        await connection.drain()
        return False
    if request.method != "HEAD":
        data += protocol.send(h11.Data(response.body))
    data += protocol.send(h11.EndOfMessage())
    connection.write(data)
    await connection.drain()
    return protocol.our_state is h11.DONE
