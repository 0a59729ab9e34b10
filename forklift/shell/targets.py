"""Connections to a local target, and one request over one of them.

A connection is reused only where the target echoes the request's id: then a
late or doubled answer can't be taken for another request's. Without the echo
each request gets a connection of its own. A request that is not repeatable
never goes on a reused connection, which the target may be closing.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

import h11

from forklift import errors
from forklift import invariants
from forklift import messages
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import wire

CONNECT_TIMEOUT = 2.0
IDLE_FOR = 30.0
MAX_HEAD = 65_536
PROBE_TIMEOUT = 1.0
_BODILESS = (204, 304)


class AnswerBroken(errors.ForkliftError):
    """A target's answer can't be passed on, or not to its end."""

    def __init__(self, reason: messages.Reason, detail: str):
        self.reason = reason
        super().__init__(
            f"the answer of the target is unusable ({detail}); "
            "look at the target's own log"
        )


class NotSent(errors.ForkliftError):
    """Nothing was sent to the target: the request is not run."""

    def __init__(self, reason: messages.Reason, detail: str):
        self.reason = reason
        super().__init__(
            f"nothing was sent ({detail}); another target may take it"
        )


@dataclasses.dataclass(frozen=True)
class _Idle:
    connection: wire.Connection
    protocol: h11.Connection
    until: float


@dataclasses.dataclass(frozen=True)
class _Head:
    status: int
    headers: http.Headers
    length: int
    echoed: bool


class Pool:
    """Connections to one target, within its limit."""

    def __init__(self, address: str, most: int, now: Callable[[], float]):
        self.address = address
        self.most = most
        self.open = 0
        self.made = 0
        self.reused = 0
        self._now = now
        self._idle: collections.deque[_Idle] = collections.deque()

    async def take(self, fresh: bool) -> tuple[wire.Connection, h11.Connection]:
        """A connection that carries nothing; `fresh` asks for a new one.

        Raises:
            NotSent: The target can't be connected to.
        """
        self._drop_old()
        while self._idle and not fresh:
            idle = self._idle.pop()
            if not idle.connection.closed and not idle.connection.buffered:
                self.reused += 1
                return idle.connection, idle.protocol
            self.discard(idle.connection)
        if self.open >= self.most and self._idle:
            self.discard(self._idle.popleft().connection)
        if self.open >= self.most:
            raise NotSent(messages.Reason.BUSY, "its connections are in use")
        self.open += 1
        try:
            connection = await asyncio.wait_for(
                wire.connect(self.address), CONNECT_TIMEOUT
            )
        except (OSError, TimeoutError) as error:
            self.open -= 1
            reason = messages.Reason.CONNECT_FAILED
            raise NotSent(reason, str(error) or "timeout") from error
        except BaseException:
            self.open -= 1
            raise
        self.made += 1
        protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD
        )
        return connection, protocol

    def give(
        self, connection: wire.Connection, protocol: h11.Connection
    ) -> None:
        """Returns a connection for reuse."""
        clean = protocol.our_state is h11.DONE
        clean = clean and protocol.their_state is h11.DONE
        clean = clean and not protocol.trailing_data[0]
        if not clean or connection.buffered or connection.closed:
            self.discard(connection)
            return
        protocol.start_next_cycle()
        until = self._now() + IDLE_FOR
        self._idle.append(_Idle(connection, protocol, until))

    def discard(self, connection: wire.Connection) -> None:
        """Closes a connection; whatever it still brings is never read."""
        self.open -= 1
        connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self.discard(self._idle.pop().connection)

    def _drop_old(self) -> None:
        now = self._now()
        while self._idle and self._idle[0].until <= now:
            self.discard(self._idle.popleft().connection)


class Run:
    """One request on one target."""

    def __init__(
        self,
        pool: Pool,
        request: exchange.Request,
        target: str,
        echo: bool,
        now: Callable[[], float],
    ):
        self._pool = pool
        self._request = request
        self._target = target
        self._echo = echo
        self._now = now
        self.head: _Head | None = None

    async def go(
        self,
        launch: Callable[[], messages.Reason | None],
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
            NotSent: Nothing was sent.
            AnswerBroken: It was sent, and there is no whole answer.
            wire.Lost: The sink is gone.
        """
        fresh = not (self._request.repeatable and self._echo)
        connection, protocol = await self._pool.take(fresh)
        whole = False
        try:
            reason = launch()
            if reason is not None:
                raise NotSent(reason, "it may not start any more")
            await self._exchange(connection, protocol, load, sink)
            whole = True
        finally:
            if whole and self.head.echoed:
                self._pool.give(connection, protocol)
            else:
                self._pool.discard(connection)
        await sink.end()
        return self.head.status

    async def _exchange(
        self,
        connection: wire.Connection,
        protocol: h11.Connection,
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> None:
        body = self._request.body
        head = self._encode_head(protocol)
        if body.complete:
            connection.write(head + self._encode_inline(protocol))
            await self._answer(connection, protocol, load, sink)
            return
        connection.write(head)
        upload = asyncio.create_task(self._upload(connection, protocol))
        try:
            await self._answer(connection, protocol, load, sink)
            if not upload.done():
                # Answered before the whole body was taken: not reusable.
                self.head = dataclasses.replace(self.head, echoed=False)
        finally:
            upload.cancel()
            await asyncio.gather(upload, return_exceptions=True)

    def _encode_head(self, protocol: h11.Connection) -> bytes:
        request = self._request
        remaining = max(1, int((request.deadline - self._now()) * 1000))
        headers = [
            header
            for header in request.headers
            if header[0] not in (http.REQUEST_ID, http.TIMEOUT)
        ]
        headers.append((http.REQUEST_ID, request.id.encode()))
        headers.append((http.TIMEOUT, str(remaining).encode()))
        if request.length < 0 and not request.body.complete:
            headers.append((b"transfer-encoding", b"chunked"))
        elif request.length != 0 or request.body.first:
            length = max(request.length, len(request.body.first))
            headers.append((b"content-length", str(length).encode()))
        event = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        return protocol.send(event)

    def _encode_inline(self, protocol: h11.Connection) -> bytes:
        data = b""
        if self._request.body.first:
            data = protocol.send(h11.Data(self._request.body.first))
        return data + protocol.send(h11.EndOfMessage())

    async def _upload(
        self, connection: wire.Connection, protocol: h11.Connection
    ) -> None:
        try:
            async for piece in self._request.body.pieces():
                connection.write(protocol.send(h11.Data(piece)))
                await connection.drain()
            connection.write(protocol.send(h11.EndOfMessage()))
        except (
            exchange.BodyBroken,
            h11.ProtocolError,
            wire.Lost,
            TimeoutError,
        ):
            # The target sees a broken request and can't take it as whole.
            connection.abort()

    async def _answer(
        self,
        connection: wire.Connection,
        protocol: h11.Connection,
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> None:
        passed = 0
        while True:
            event = await self._next_event(connection, protocol)
            if isinstance(event, h11.Response):
                self.head = self._check(event)
                head = exchange.Head(
                    self.head.status,
                    self.head.headers,
                    self.head.length,
                    self._target,
                    load(),
                )
                await sink.start(head)
            elif isinstance(event, h11.Data):
                passed += len(event.data)
                await sink.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                declared = self.head.length
                bodiless = self.head.status in _BODILESS
                if self._request.method != b"HEAD" and not bodiless:
                    known = declared if declared >= 0 else None
                    invariants.whole_answer(known, passed, self._request.id)
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise AnswerBroken(
                    messages.Reason.TARGET_BROKE, "closed without an answer"
                )

    async def _next_event(
        self, connection: wire.Connection, protocol: h11.Connection
    ) -> h11.Event:
        try:
            while True:
                event = protocol.next_event()
                if isinstance(event, h11.InformationalResponse):
                    continue
                if event is not h11.NEED_DATA:
                    return event
                protocol.receive_data(await connection.read())
        except h11.RemoteProtocolError as error:
            raise AnswerBroken(
                messages.Reason.TARGET_BROKE, str(error)
            ) from error

    def _check(self, response: h11.Response) -> _Head:
        headers = tuple(
            (bytes(name), bytes(found)) for name, found in response.headers
        )
        echoed = self._check_echo(headers)
        status = response.status_code
        chunked = http.value(headers, b"transfer-encoding") is not None
        declared = http.value(headers, b"content-length")
        length = -1 if chunked else int(declared or 0)
        framed = chunked or declared is not None
        bodiless = self._request.method == b"HEAD" or status in _BODILESS
        if not framed and not bodiless:
            # Cut short it would look whole: nothing tells its end.
            raise AnswerBroken(
                messages.Reason.UNFRAMED, "neither length nor chunks"
            )
        if self._request.method == b"HEAD" and declared is None:
            length = -1
        kept = tuple(
            header
            for header in http.end_to_end(headers)
            if header[0] != http.REQUEST_ID
        )
        return _Head(status, kept, length, echoed)

    def _check_echo(self, headers: http.Headers) -> bool:
        found = http.value(headers, http.REQUEST_ID)
        if found is None:
            return False
        own = self._request.id.encode()
        if found != own:
            raise AnswerBroken(
                messages.Reason.WRONG_ANSWER, f"it answers {found[:64]!r}"
            )
        invariants.own_answer(self._request.id, found.decode())
        return self._echo


async def probe(address: str, path: str) -> bool:
    """Asks a health endpoint; a hint only, as it may lie."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            connection = await wire.connect(address)
            try:
                return await _probe(connection, address, path)
            finally:
                connection.abort()
    except (OSError, TimeoutError, h11.ProtocolError):
        return False


async def _probe(connection: wire.Connection, address: str, path: str) -> bool:
    protocol = h11.Connection(h11.CLIENT)
    headers = [("host", address), ("connection", "close")]
    request = h11.Request(method="GET", target=path, headers=headers)
    connection.write(protocol.send(request))
    connection.write(protocol.send(h11.EndOfMessage()))
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await connection.read())
        elif isinstance(event, h11.Response):
            return event.status_code < 400
        elif isinstance(event, h11.ConnectionClosed):
            return False
