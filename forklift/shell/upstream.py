"""Connections to a target, and one request over one of them.

A target may break off, answer twice, answer late in the place of the next
answer, or answer before it has read a long body. So each answer is checked
against the id of its request, held until it is whole where it is small, and a
connection is used again only when nothing is left on it.
"""

import asyncio
import dataclasses
import re
from collections.abc import Callable

import h11
import structlog

from forklift import errors
from forklift import header_fields
from forklift import invariants
from forklift import messages
from forklift.shell import connection_pool
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)
Reason = messages.Reason

# Seconds that a connection may have been idle to be used again where the
# target names no time of its own.
DEFAULT_KEEP_ALIVE = 0.8
# Share of the time that a target names: its clock started before ours.
KEEP_ALIVE_FRACTION = 0.7
# Answers up to this size are held until whole, bytes.
MAX_BUFFERED_BYTES = 262_144
MAX_HEAD_BYTES = 65_536
# Answers to other requests that are dropped before a connection is given up.
MAX_STRAY_RESPONSES = 3
_BODILESS = (204, 304)
# A number of more digits is no time that anybody means.
_KEEP_ALIVE = re.compile(rb"timeout\s*=\s*(\d{1,9})\b", re.IGNORECASE)


class IncompleteResponse(errors.ForkliftError):
    """A target's answer can't be passed on, or not to its end."""

    def __init__(self, reason: Reason, detail: str):
        self.reason = reason
        super().__init__(
            f"the answer of the target is unusable ({detail}); "
            "look at the target's own log"
        )


@dataclasses.dataclass(frozen=True)
class Head:
    """Head of a target's answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        length: Declared length of the body, -1 where none is declared.
        closes: Whether the target closes the connection after it.
        idle: Seconds that the connection may be idle afterwards.
    """

    status: int
    headers: http.Headers
    length: int
    closes: bool
    idle: float


class UpstreamRequest:
    """One request on one target."""

    def __init__(
        self,
        pool: connection_pool.Pool,
        request: exchange.Request,
        expected: str,
        target: str,
        header_names: header_fields.HeaderNames,
        now: Callable[[], float],
    ):
        """Makes a run that has not begun.

        Args:
            pool: Connections to the target.
            request: The request.
            expected: The name that the target must give itself.
            target: The name by which it is known here.
            header_names: Names of header fields.
            now: Monotonic seconds.
        """
        self._pool = pool
        self._request = request
        self._expected = expected
        self._target = target
        self._header_names = header_names
        self._now = now
        self._stray = 0
        self._reusable = True
        self.head: Head | None = None

    async def execute(
        self,
        launch: Callable[[], Reason | None],
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> int:
        """Sends the request and passes the answer on.

        Args:
            launch: Marks the point of no return; a reason forbids it.
            load: The target's load for the answer's head.
            sink: Where the answer goes.

        Returns:
            The HTTP status, once the answer was passed on whole.

        Raises:
            connection_pool.NotSent: The target did not run it.
            AnswerBroken: It was sent, and there is no whole answer.
            tcp_stream.ConnectionLost: The sink is gone.
        """
        connection = await self._pool.acquire(self._request.idempotent)
        whole = False
        try:
            reason = launch()
            if reason is not None:
                raise connection_pool.NotRun(
                    reason, "it may not start any more"
                )
            await self._exchange(connection, load, sink)
            whole = True
        finally:
            if whole and self._reusable and not self.head.closes:
                self._pool.release(connection, self.head.idle)
            else:
                self._pool.discard(connection)
        return self.head.status

    async def _exchange(
        self,
        connection: tcp_stream.Connection,
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> None:
        protocol = self._new_protocol()
        head = protocol.send(self._head_event())
        body = self._request.body
        if body.complete:
            self._write(connection, head + self._inline(protocol))
            await self._answer(connection, protocol, load, sink)
            return
        self._write(connection, head)
        upload = asyncio.create_task(self._upload(connection, protocol))
        try:
            await self._answer(connection, protocol, load, sink)
            # Answered before the whole body was taken: what the target still
            # reads must not be the next request.
            self._reusable = self._reusable and upload.done()
        finally:
            upload.cancel()
            await asyncio.gather(upload, return_exceptions=True)

    def _write(self, connection: tcp_stream.Connection, data: bytes) -> None:
        try:
            connection.write(data)
        except tcp_stream.ConnectionLost as error:
            raise IncompleteResponse(Reason.TARGET_BROKE, str(error)) from error

    def _new_protocol(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def _head_event(self) -> h11.Request:
        request = self._request
        names = self._header_names
        remaining = max(1, int((request.deadline - self._now()) * 1000))
        ours = names.reserved
        headers = [
            header for header in request.headers if header[0] not in ours
        ]
        if http.value(request.headers, names.request_id) is None:
            headers.append((names.request_id, request.id.encode()))
        headers.append((names.deadline, str(remaining).encode()))
        headers.append((names.expected, self._expected.encode()))
        if request.origin:
            headers.append((names.origin, request.origin.encode()))
        if request.organisation:
            headers.append((names.organisation, request.organisation.encode()))
        if request.length < 0 and not request.body.complete:
            headers.append((b"transfer-encoding", b"chunked"))
        elif request.length != 0 or request.body.prefix:
            length = max(request.length, len(request.body.prefix))
            headers.append((b"content-length", str(length).encode()))
        return h11.Request(
            method=request.method, target=request.path, headers=headers
        )

    def _inline(self, protocol: h11.Connection) -> bytes:
        data = b""
        if self._request.body.prefix:
            data = protocol.send(h11.Data(self._request.body.prefix))
        return data + protocol.send(h11.EndOfMessage())

    async def _upload(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> None:
        try:
            async for piece in self._request.body.chunks():
                connection.write(protocol.send(h11.Data(piece)))
                await connection.drain()
            connection.write(protocol.send(h11.EndOfMessage()))
        except (
            exchange.IncompleteBody,
            h11.ProtocolError,
            tcp_stream.ConnectionLost,
            TimeoutError,
        ) as error:
            # The target sees a broken request and can't take it as whole.
            _log.info(
                "upload_broken", request=self._request.id, detail=str(error)
            )
            connection.abort()

    async def _answer(
        self,
        connection: tcp_stream.Connection,
        protocol: h11.Connection,
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> None:
        reading = protocol
        while True:
            response = await self._response(connection, reading)
            if self._own(response):
                break
            reading = await self._skip(connection, reading)
        found = http.value(http.fields(response), self._header_names.request_id)
        own = self._request.id
        invariants.own_answer(own, own if found is None else found.decode())
        self.head = self._check(response)
        self._raise_not_run(response)
        passing = _Passing(sink, self.head, self._target, load)
        await self._body(connection, reading, passing)

    async def _response(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> h11.Response:
        while True:
            event = await self._next_event(connection, protocol)
            if isinstance(event, h11.Response):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            raise IncompleteResponse(
                Reason.TARGET_BROKE, "closed without an answer"
            )

    async def _skip(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> h11.Connection:
        """Drops an answer to another request; ours is still to come."""
        self._stray += 1
        _log.info("stray_answer", request=self._request.id, target=self._target)
        if self._stray > MAX_STRAY_RESPONSES:
            raise IncompleteResponse(
                Reason.WRONG_ANSWER, "too many stray answers"
            )
        while True:
            event = await self._next_event(connection, protocol)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise IncompleteResponse(
                    Reason.WRONG_ANSWER, "a stray one broke off"
                )
        if protocol.their_state is not h11.DONE:
            raise IncompleteResponse(
                Reason.WRONG_ANSWER, "a stray answer closed"
            )
        # The library reads one answer for each request, so it is told of the
        # request once more; nothing of that is sent.
        again = self._new_protocol()
        again.send(self._head_event())
        if self._request.body.complete:
            self._inline(again)
        again.receive_data(protocol.trailing_data[0])
        return again

    async def _body(
        self,
        connection: tcp_stream.Connection,
        protocol: h11.Connection,
        passing: "_Passing",
    ) -> None:
        while True:
            event = await self._next_event(connection, protocol)
            if isinstance(event, h11.Data):
                await passing.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise IncompleteResponse(
                    Reason.TARGET_BROKE, "the body broke off"
                )
        clean = protocol.their_state is h11.DONE
        self._reusable = clean and not protocol.trailing_data[0]
        await passing.end()

    async def _next_event(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> h11.Event:
        try:
            while True:
                event = protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await connection.read()
                if not data and connection.error is not None:
                    # A reset ends no answer, not even one without a length.
                    raise IncompleteResponse(
                        Reason.TARGET_BROKE, str(connection.error)
                    )
                protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise IncompleteResponse(Reason.TARGET_BROKE, str(error)) from error

    def _own(self, response: h11.Response) -> bool:
        found = http.value(http.fields(response), self._header_names.request_id)
        return found is None or found == self._request.id.encode()

    def _raise_not_run(self, response: h11.Response) -> None:
        status = response.status_code
        if status == 421:
            raise connection_pool.NotRun(
                Reason.MISDIRECTED, "another target answers there"
            )
        headers = http.fields(response)
        if http.value(headers, self._header_names.not_run) is not None:
            raise connection_pool.NotRun(
                Reason.SHED, f"it refused with {status}"
            )

    def _check(self, response: h11.Response) -> Head:
        headers = http.fields(response)
        chunked = http.value(headers, b"transfer-encoding") is not None
        declared = http.value(headers, b"content-length")
        status = response.status_code
        bodiless = self._request.method == b"HEAD" or status in _BODILESS
        length = int(declared) if declared and not chunked else -1
        if bodiless and declared is None:
            length = 0
        connection = http.value(headers, b"connection") or b""
        framed = chunked or declared is not None or bodiless
        closes = b"close" in connection.lower() or not framed
        dropped = (self._header_names.load,)
        kept = tuple(
            header
            for header in http.end_to_end(headers)
            if header[0] not in dropped
        )
        return Head(status, kept, length, closes, _keep_alive_seconds(headers))


class _Passing:
    """Passes an answer on; a small one only once it is whole.

    One that breaks off before can then be replaced by another target's
    without the caller seeing anything of it.
    """

    def __init__(
        self,
        sink: exchange.Sink,
        head: Head,
        target: str,
        load: Callable[[], messages.Load],
    ):
        self._sink = sink
        self._head = head
        self._target = target
        self._load = load
        self._held = bytearray()
        self._begun = False

    async def data(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        if self._begun:
            await self._sink.data(piece)
            return
        self._held += piece
        if len(self._held) > MAX_BUFFERED_BYTES:
            await self._begin(self._head.length)

    async def end(self) -> None:
        """The answer is whole."""
        if not self._begun:
            await self._begin(len(self._held))
        await self._sink.end()

    async def _begin(self, length: int) -> None:
        self._begun = True
        head = exchange.Head(
            self._head.status,
            self._head.headers,
            length,
            self._target,
            self._load(),
        )
        await self._sink.start(head)
        if self._held:
            await self._sink.data(bytes(self._held))
            self._held.clear()


def _keep_alive_seconds(headers: http.Headers) -> float:
    """Seconds that the connection may be idle, by the target's word."""
    found = _KEEP_ALIVE.search(http.value(headers, b"keep-alive") or b"")
    if found is None:
        return DEFAULT_KEEP_ALIVE
    return int(found[1]) * KEEP_ALIVE_FRACTION
