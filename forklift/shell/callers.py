"""The side of callers: HTTP/1.1 in, an answer or a problem out."""

import asyncio
import itertools
import secrets
from collections.abc import Awaitable
from collections.abc import Callable

import h11
import structlog

from forklift import errors
from forklift import messages
from forklift import policy
from forklift import settings
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import wire

_log = structlog.get_logger(__name__)
Reason = messages.Reason
Outcome = messages.Outcome
CALLER_ERROR = 400

Handler = Callable[
    [exchange.Request, exchange.Sink], Awaitable[exchange.Result]
]


class _Answer:
    """The sink of an answer that goes to a caller."""

    def __init__(
        self,
        connection: wire.Connection,
        protocol: h11.Connection,
        method: bytes,
        request_id: str,
        stall: float,
    ):
        self._connection = connection
        self._protocol = protocol
        self._method = method
        self._request_id = request_id
        self._stall = stall
        # The head waits for the first bytes of the body: one packet, not two.
        self._unsent = b""
        self.begun = False
        self.status = 0

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        sent = [*head.headers, (http.REQUEST_ID, self._request_id.encode())]
        if head.length >= 0:
            sent.append((b"content-length", str(head.length).encode()))
        elif self._method != b"HEAD" and head.status not in (204, 304):
            sent.append((b"transfer-encoding", b"chunked"))
        self.begun = True
        self.status = head.status
        response = h11.Response(status_code=head.status, headers=sent)
        self._unsent = self._protocol.send(response)
        if head.length < 0:
            # The body may take its time.
            self._flush(b"")

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        self._flush(self._protocol.send(h11.Data(piece)))
        if not self._connection.congested:
            return
        try:
            async with asyncio.timeout(self._stall):
                await self._connection.drain()
        except TimeoutError as error:
            raise wire.Lost("the caller takes no bytes") from error

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._flush(self._protocol.send(h11.EndOfMessage()))

    def _flush(self, data: bytes) -> None:
        if self._unsent or data:
            self._connection.write(self._unsent + data)
        self._unsent = b""


class Callers:
    """Accepts callers and turns their bytes into requests."""

    def __init__(
        self,
        limits: settings.Limits,
        route: Callable[[str, str], tuple[str, policy.Service] | None],
        handle: Handler,
        next_seq: Callable[[], int],
        clock,
        on_result: Callable[[str, exchange.Result, float], None],
    ):
        self._limits = limits
        self._route = route
        self._handle = handle
        self._next_seq = next_seq
        self._clock = clock
        self._on_result = on_result
        self._numbers = itertools.count(1)
        self._stem = secrets.token_hex(4)
        self._sessions: set[_Session] = set()
        self.stopping = False
        self.running = 0
        self.refused = 0

    def accept(self, connection: wire.Connection) -> None:
        """Serves a new connection, or refuses it when there are too many."""
        if len(self._sessions) >= self._limits.callers:
            self.refused += 1
            connection.write(_TOO_MANY)
            connection.close()
            return
        session = _Session(self, connection)
        self._sessions.add(session)
        task = asyncio.create_task(session.run())
        task.add_done_callback(lambda _: self._sessions.discard(session))

    def stop(self) -> None:
        """Closes idle connections; busy ones close after their answer."""
        self.stopping = True
        for session in list(self._sessions):
            session.close_if_idle()

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._sessions)

    def new_id(self, given: str) -> str:
        """A request id of our own, after the caller's where it gave one."""
        own = f"{self._stem}-{next(self._numbers)}"
        return f"{given}.{own}" if given else own


class _Session:
    """One connection of a caller."""

    def __init__(self, callers: Callers, connection: wire.Connection):
        self._callers = callers
        self._limits = callers._limits
        self._clock = callers._clock
        self._connection = connection
        self._protocol = self._new_protocol()
        self._head = bytearray()
        self._busy = False

    def close_if_idle(self) -> None:
        """Closes a connection that no request is on."""
        if not self._busy:
            self._connection.close()

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except (wire.Lost, TimeoutError, ConnectionError):
            self._connection.abort()
        except errors.BadRequest as error:
            self._refuse(error)
        except h11.RemoteProtocolError as error:
            remedy = "send well-formed HTTP/1.1"
            status = error.error_status_hint
            bad = errors.BadRequest(str(error), remedy, status)
            self._refuse(bad)
        except Exception:
            _log.exception("caller_failed", peer=self._connection.peer)
            self._connection.abort()
        finally:
            self._connection.close()

    def _new_protocol(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._callers._limits.header_bytes,
        )

    async def _serve_one(self) -> bool:
        event = await self._read_head()
        if event is None:
            return False
        self._busy = True
        self._callers.running += 1
        try:
            http.check_request(event)
            await self._serve(event)
        finally:
            self._busy = False
            self._callers.running -= 1
        return self._next_cycle()

    async def _read_head(self) -> h11.Request | None:
        """Reads one request head and refuses ambiguous ones."""
        self._head = bytearray(self._protocol.trailing_data[0])
        wait = self._limits.idle if not self._head else self._limits.head
        started = self._clock.monotonic()
        while http.END_OF_HEAD not in self._head:
            self._check_size(len(self._head))
            if self._callers.stopping and not self._head:
                return None
            async with asyncio.timeout(wait):
                data = await self._connection.read()
            if not data:
                return None
            self._protocol.receive_data(data)
            self._head += data
            gone = self._clock.monotonic() - started
            wait = max(0.001, self._limits.head - min(gone, self._limits.head))
        end = self._head.index(http.END_OF_HEAD) + len(http.END_OF_HEAD)
        self._check_size(end)
        http.check_head(bytes(self._head[:end]))
        event = self._protocol.next_event()
        if not isinstance(event, h11.Request):
            raise errors.BadRequest("no request", "send one request at a time")
        return event

    def _check_size(self, size: int) -> None:
        if size > self._limits.header_bytes:
            raise errors.BadRequest(
                "the head is too large", "send fewer headers", 431
            )

    async def _serve(self, event: h11.Request) -> None:
        headers = tuple(
            (bytes(name), bytes(found)) for name, found in event.headers
        )
        given = http.usable_id(http.value(headers, http.REQUEST_ID))
        request_id = self._callers.new_id(given)
        started = self._clock.monotonic()
        answer = _Answer(
            self._connection,
            self._protocol,
            event.method,
            request_id,
            self._limits.stall,
        )
        host = http.value(headers, b"host") or b""
        path = event.target.decode("latin-1")
        found = self._callers._route(host.decode("latin-1"), path)
        if found is None:
            await self._drop_body(headers)
            result = exchange.not_run(Reason.NO_SERVICE)
            await self._problem(answer, result, request_id)
            return
        request = await self._request(
            event, headers, host, request_id, found, started
        )
        result = await self._watch(self._callers._handle(request, answer))
        self._callers._on_result(
            request.service, result, self._clock.monotonic() - started
        )
        self._log(request, answer, result, started)
        if result.ending.outcome is Outcome.ANSWERED:
            return
        if answer.begun:
            # It can't be made whole any more: break it visibly.
            self._connection.abort()
            raise wire.Lost("the answer broke off")
        await self._problem(answer, result, request_id)

    async def _request(
        self,
        event: h11.Request,
        headers: http.Headers,
        host: bytes,
        request_id: str,
        found: tuple[str, policy.Service],
        started: float,
    ) -> exchange.Request:
        route, program = found
        length = http.content_length(headers)
        if length > self._limits.body_bytes:
            raise errors.BadRequest(
                "the body is too large", "send a smaller one", 413
            )
        path = event.target.decode("latin-1")
        bare = path.partition("?")[0]
        method = event.method.decode("ascii")
        key = _key(headers)
        return exchange.Request(
            request_id,
            self._callers._next_seq(),
            program.name,
            route,
            event.method,
            event.target,
            http.forwarded(
                http.end_to_end(headers), self._connection.peer, host
            ),
            length,
            await self._body(length),
            started + _allowed(headers, program.deadline),
            program.is_repeatable(method, bare) and not key,
            key,
            http.value(headers, b"authorization") or b"" if key else b"",
            0,
        )

    async def _body(self, length: int) -> exchange.Body:
        """Reads a small body whole; a large one as it is taken."""
        if length == 0:
            self._protocol.next_event()
            return exchange.Body()
        pieces = self._pieces()
        first = bytearray()
        if 0 <= length <= exchange.INLINE_BYTES:
            async for piece in pieces:
                first += piece
            return exchange.Body(bytes(first))
        if length < 0:
            async for piece in pieces:
                first += piece
                if len(first) > exchange.INLINE_BYTES:
                    return exchange.Body(bytes(first), pieces)
            return exchange.Body(bytes(first))
        return exchange.Body(b"", pieces)

    async def _pieces(self):
        taken = 0
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._more()
            elif isinstance(event, h11.Data):
                taken += len(event.data)
                if taken > self._limits.body_bytes:
                    raise exchange.BodyBroken("larger than allowed")
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise exchange.BodyBroken("the caller closed")

    async def _more(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._connection.write(self._protocol.send(go_on))
        async with asyncio.timeout(self._limits.stall):
            data = await self._connection.read()
        self._protocol.receive_data(data)

    async def _drop_body(self, headers: http.Headers) -> None:
        """Takes a small body that nobody wants, to keep the connection."""
        length = http.content_length(headers)
        expecting = self._protocol.they_are_waiting_for_100_continue
        if 0 <= length <= exchange.INLINE_BYTES and not expecting:
            async for _ in self._pieces():
                pass

    async def _watch(self, work) -> exchange.Result:
        """Runs the request; a caller that hangs up cancels it."""
        self._connection.on_lost = asyncio.current_task().cancel
        try:
            if self._connection.closed:
                work.close()
                raise wire.Lost("the caller hung up")
            return await work
        except asyncio.CancelledError as error:
            raise wire.Lost("the caller hung up") from error
        except h11.LocalProtocolError as error:
            raise wire.Lost(f"the answer broke off: {error}") from error
        finally:
            self._connection.on_lost = None

    async def _problem(
        self, answer: _Answer, result: exchange.Result, request_id: str
    ) -> None:
        ending = result.ending
        reason = ending.reason or Reason.TARGET_BROKE
        problem = http.problem(ending.outcome, reason, request_id)
        headers = [(b"content-type", http.PROBLEM)]
        if ending.retry_after > 0:
            seconds = max(1, round(ending.retry_after))
            headers.append((b"retry-after", str(seconds).encode()))
        if self._protocol.their_state is not h11.DONE:
            headers.append((b"connection", b"close"))
        body = http.encode_problem(problem)
        head = exchange.Head(problem.status, tuple(headers), len(body))
        await answer.start(head)
        if answer._method != b"HEAD":
            await answer.data(body)
        await answer.end()

    def _next_cycle(self) -> bool:
        protocol = self._protocol
        done = protocol.our_state is h11.DONE
        if not done or protocol.their_state is not h11.DONE:
            return False
        if self._callers.stopping:
            return False
        protocol.start_next_cycle()
        return True

    def _refuse(self, error: errors.BadRequest) -> None:
        """Answers bytes that were never forwarded, and closes."""
        self._callers.refused += 1
        _log.info(
            "caller_refused", peer=self._connection.peer, detail=str(error)
        )
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._connection.abort()
            return
        problem = http.Problem(
            "urn:forklift:bad-request",
            str(error).partition(";")[0],
            error.status,
            str(Outcome.NOT_RUN),
            "bad-request",
            error.remedy,
            self._callers.new_id(""),
        )
        body = http.encode_problem(problem)
        head = (
            f"HTTP/1.1 {error.status} Refused\r\n"
            f"content-type: {http.PROBLEM.decode()}\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        try:
            self._connection.write(head.encode() + body)
        except wire.Lost:
            return

    def _log(
        self,
        request: exchange.Request,
        answer: _Answer,
        result: exchange.Result,
        started: float,
    ) -> None:
        ending = result.ending
        if ending.outcome is Outcome.ANSWERED and answer.status < CALLER_ERROR:
            return
        _log.info(
            "request",
            request=request.id,
            service=request.service,
            route=request.route,
            outcome=str(ending.outcome),
            reason=str(ending.reason or ""),
            status=answer.status,
            target=result.target,
            seconds=round(self._clock.monotonic() - started, 4),
        )


def _key(headers: http.Headers) -> str:
    given = http.value(headers, http.KEY)
    if given is None:
        return ""
    key = given.decode("latin-1").strip()
    if not key or len(key) > http.MAX_KEY_CHARACTERS:
        raise errors.BadRequest(
            "the Idempotency-Key is not usable",
            f"send 1 to {http.MAX_KEY_CHARACTERS} characters",
            422,
        )
    return key


def _allowed(headers: http.Headers, most: float) -> float:
    """Seconds the request may take: the caller's word, up to the policy's."""
    given = http.value(headers, http.TIMEOUT)
    if given is None:
        return most
    try:
        return max(0.0, min(most, int(given) / 1000))
    except ValueError as error:
        raise errors.BadRequest(
            "X-Request-Timeout-Ms is no number", "send whole milliseconds"
        ) from error


_TOO_MANY = (
    b"HTTP/1.1 503 Too many connections\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
