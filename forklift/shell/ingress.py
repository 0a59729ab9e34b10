"""The side of callers: HTTP/1.1 in, an answer or a problem out.

A caller may send further requests before the first is answered: they are
worked on at once and answered in order. Each request has a parser of its own,
which leaves what follows it to the next one.
"""

import asyncio
import dataclasses
import itertools
import secrets
from collections.abc import Awaitable
from collections.abc import Callable

import h11
import structlog

from forklift import catalog as catalogs
from forklift import errors
from forklift import fingerprint
from forklift import header_fields
from forklift import messages
from forklift import organisations
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import request_body
from forklift.shell import response_writer
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)
Reason = messages.Reason
Outcome = messages.Outcome

# Requests of one connection that are worked on at once.
MAX_AHEAD = 32
# Seconds in which a caller that has its last answer closes the connection.
LINGER = 1.0

Handler = Callable[
    [exchange.Request, exchange.Sink], Awaitable[exchange.Result]
]


@dataclasses.dataclass(frozen=True)
class RouteMatch:
    """Where a request goes.

    Attributes:
        route: Its route.
        service: The service that was picked for it.
        organisation: Who calls; None where nobody is asked for a key.
    """

    route: catalogs.Route
    service: str
    organisation: organisations.Organisation | None = None

    @property
    def priority(self) -> int:
        """Rank of the request: the organisation's, before the route's."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority


@dataclasses.dataclass(frozen=True)
class Hooks:
    """What an ingress asks of the process it belongs to.

    Attributes:
        header_names: Names of header fields.
        limits: Bounds on callers now.
        find_route: Finds the route of a request by host, path and the keys that
            it carries; None when there is none. Raises
            `organisations.UnknownCaller`.
        is_configured: Whether any configuration is in force.
        handle: Runs a request.
        next_seq: Numbers requests.
        on_result: Takes note of an ended request: service, result, seconds.
        origin_service: Service on this instance, now.
        on_rejected: Takes note of one that is refused before it is a request.
    """

    header_names: header_fields.HeaderNames
    limits: Callable[[], catalogs.CallerLimits]
    find_route: Callable[[str, str, tuple[bytes, ...]], RouteMatch | None]
    is_configured: Callable[[], bool]
    handle: Handler
    next_seq: Callable[[], int]
    on_result: Callable[[exchange.Request, exchange.Result, float], None]
    origin_service: Callable[[], str]
    on_rejected: Callable[[Reason], None] = lambda reason: None


class Ingress:
    """Accepts callers and turns their bytes into requests."""

    def __init__(self, hooks: Hooks, max_connections: int, clock):
        self.hooks = hooks
        self.clock = clock
        self._max_connections = max_connections
        self._numbers = itertools.count(1)
        self._stem = secrets.token_hex(4)
        self._sessions: set[_Session] = set()
        self.stopping = False
        self.closed = False
        self.running = 0
        self.refused = 0

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._sessions)

    def accept(self, connection: tcp_stream.Connection) -> None:
        """Serves a new connection, or refuses it when there are too many."""
        if self.closed:
            # Nobody waits for what it would send.
            connection.close()
            return
        if len(self._sessions) >= self._max_connections:
            self.refused += 1
            connection.write(_TOO_MANY)
            connection.close()
            return
        session = _Session(self, connection)
        self._sessions.add(session)
        task = asyncio.create_task(session.run())
        task.add_done_callback(lambda _: self._sessions.discard(session))

    def tick(self, now: float) -> None:
        """Ends connections that were idle or silent for too long."""
        limits = self.hooks.limits()
        for session in list(self._sessions):
            session.check(limits, now)

    def close_idle(self) -> None:
        """Closes connections on which nothing of a request was read."""
        for session in list(self._sessions):
            session.close_if_idle()

    @property
    def pending_connections(self) -> int:
        """Connections whose callers are owed an answer, or part of one."""
        return sum(1 for session in self._sessions if session.owes)

    def reject_incomplete_requests(self) -> None:
        """Answers requests that did not arrive whole before the end."""
        for session in list(self._sessions):
            session.reject_incomplete_request()

    def new_id(self) -> str:
        """An id for a request that came without one."""
        return f"{self._stem}-{next(self._numbers)}"


class _Session:
    """One connection of a caller."""

    def __init__(self, ingress: Ingress, connection: tcp_stream.Connection):
        self._ingress = ingress
        self._hooks = ingress.hooks
        self._clock = ingress.clock
        self.connection = connection
        self._body_reader = request_body.BodyReader(
            connection, self._hooks.limits
        )
        self._answers: list[response_writer.ResponseWriter] = []
        self._tasks: set[asyncio.Task] = set()
        self._leftover = b""
        # Whether a part of a request was read, and the rest is awaited.
        self._half_read = False
        self._reading = True
        # Since when the connection is idle, and a head or body is awaited.
        self._idle_since: float | None = self._clock.monotonic()
        self._head_since: float | None = None

    # Called by the ingress.

    def check(self, limits: catalogs.CallerLimits, now: float) -> None:
        """Ends the connection where it was idle or silent for too long."""
        head, idle = self._head_since, self._idle_since
        if head is not None and now - head > limits.head_timeout:
            self._head_since = None
            self.connection.interrupt(_late_head())
        elif (
            idle is not None
            and now - idle > limits.idle_timeout
            and not self._asked
        ):
            self.connection.close()

    def close_if_idle(self) -> None:
        """Closes a connection whose caller is owed nothing."""
        if not (self.owes or self.connection.closed):
            self.connection.close()

    def reject_incomplete_request(self) -> None:
        """Answers a request that did not arrive whole; it was not sent on."""
        if self._half_read:
            self.connection.interrupt(_half_read())

    @property
    def owes(self) -> bool:
        """Whether the caller is owed an answer, or the rest of one."""
        if self.connection.lost:
            return False
        return self._asked or self.connection.unsent > 0

    @property
    def _asked(self) -> bool:
        """Whether anything was read of a request that has no answer."""
        return bool(self._answers) or self._further

    @property
    def _further(self) -> bool:
        """Whether anything was read of a request that is not handed on."""
        unread = self._leftover or self.connection.buffered
        return self._half_read or bool(unread)

    # The connection.

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        self.connection.on_lost = self._hang_up
        try:
            while self._reading and await self._read_one():
                pass
            await self._settle()
            await self._part()
        except (tcp_stream.ConnectionLost, ConnectionError):
            self._hang_up()
            self.connection.abort()
        except (TimeoutError, exchange.IncompleteBody):
            # Only this request broke off: those before it have their answers.
            await self._settle()
            await self._part()
        except errors.BadRequest as error:
            await self._settle()
            self._refuse(error)
            await self._part()
        except h11.RemoteProtocolError as error:
            await self._settle()
            status = error.error_status_hint
            remedy = "send well-formed HTTP/1.1"
            # What follows the colon are the caller's bytes: a key, maybe.
            detail = str(error).partition(":")[0]
            self._refuse(errors.BadRequest(detail, remedy, status))
            await self._part()
        except Exception:
            _log.exception("caller_failed", peer=self.connection.peer)
            self.connection.abort()
        finally:
            self.connection.close()

    def last(self, answer: response_writer.ResponseWriter) -> bool:
        """Whether the connection closes after an answer."""
        if self._answers and self._answers[-1] is not answer:
            return False
        if self._ingress.stopping and not self._read_behind(answer):
            self._reading = False
        return not self._reading

    def _read_behind(self, answer: response_writer.ResponseWriter) -> bool:
        """Whether the caller has begun a further request."""
        protocol = answer.protocol
        if protocol.their_state is not h11.DONE:
            # What was read is still of its own body.
            return False
        return self._further or bool(protocol.trailing_data[0])

    def _reads_on(self) -> bool:
        """Whether a further request is taken.

        While the process stops, none is behind an answer that can still say
        that the connection closes: a caller that always sends ahead would hold
        the stop up to its bound.
        """
        if self._ingress.stopping and self._answers:
            self._reading = self._reading and self._answers[-1].has_started
        return self._reading

    async def _settle(self) -> None:
        """Waits for the answers that are under way."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _part(self) -> None:
        """Closes once the caller has taken all, or stalls."""
        # What came behind the last answer is owed nothing.
        self._leftover, self._half_read = b"", False
        self.connection.half_close()
        unsent = self.connection.unsent
        try:
            async with asyncio.timeout(
                response_writer.STALL_TIMEOUT if unsent else LINGER
            ):
                await self.connection.wait_closed()
        except TimeoutError:
            if self.connection.unsent:
                self.connection.abort()

    def _hang_up(self) -> None:
        """The caller is gone: nobody waits for its answers."""
        self._reading = False
        for task in list(self._tasks):
            task.cancel()

    async def _read_one(self) -> bool:
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._hooks.limits().header_bytes,
        )
        event = await self._read_head(protocol)
        if event is None:
            return False
        if not self._reads_on():
            # The answer before it says, or said, that the connection closes.
            return False
        http.check_request(event)
        turn = self._answers[-1].finished if self._answers else None
        answer = response_writer.ResponseWriter(
            self.connection, self.last, protocol, event.method, turn
        )
        self._answers.append(answer)
        self._idle_since = None
        try:
            body = await self._body_reader.read(protocol, event)
            request, problem = self._request(event, body)
        except BaseException:
            self._answers.remove(answer)
            raise
        self._half_read = False
        task = asyncio.create_task(self._serve(request, problem, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if not body.complete:
            await asyncio.wait([task])
            if not self._whole(protocol):
                return False
        self._leftover = protocol.trailing_data[0]
        while len(self._tasks) >= MAX_AHEAD:
            await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        return True

    def _whole(self, protocol: h11.Connection) -> bool:
        return protocol.their_state is h11.DONE

    async def _read_head(self, protocol: h11.Connection) -> h11.Request | None:
        """Reads one request head and refuses ambiguous ones."""
        head = bytearray(self._leftover)
        self._leftover = b""
        self._half_read = bool(head)
        if head:
            protocol.receive_data(bytes(head))
        while http.END_OF_HEAD not in head:
            self._check_size(len(head))
            if head and self._head_since is None:
                self._head_since = self._clock.monotonic()
            data = await self.connection.read()
            if not data:
                return None
            self._idle_since = None
            self._half_read = True
            protocol.receive_data(data)
            head += data
        self._head_since = None
        end = head.index(http.END_OF_HEAD) + len(http.END_OF_HEAD)
        self._check_size(end)
        http.check_head(bytes(head[:end]))
        event = protocol.next_event()
        if not isinstance(event, h11.Request):
            raise errors.BadRequest("no request", "send one request at a time")
        return event

    def _check_size(self, size: int) -> None:
        if size > self._hooks.limits().header_bytes:
            raise errors.BadRequest(
                "the head is too large", "send fewer headers", 431
            )

    # One request.

    def _request(
        self, event: h11.Request, body: exchange.Body
    ) -> tuple[exchange.Request | None, Reason | None]:
        headers = http.fields(event)
        names = self._hooks.header_names
        given = http.value(headers, names.request_id)
        request_id = given.decode("latin-1") if given else ""
        request_id = request_id or self._ingress.new_id()
        host = (http.value(headers, b"host") or b"").decode("latin-1")
        path = event.target.decode("latin-1")
        if not self._hooks.is_configured():
            return None, Reason.NO_CONFIGURATION
        try:
            keys = http.values(headers, names.key)
            found = self._hooks.find_route(host, path, keys)
        except organisations.UnknownCaller:
            return None, Reason.UNKNOWN_CALLER
        if found is None:
            return None, Reason.NO_SERVICE
        route = found.route
        caller = found.organisation.name if found.organisation else ""
        allowed = _allowed(headers, names.deadline, route.timeout)
        length = http.content_length(headers)
        now = self._clock.monotonic()
        request = exchange.Request(
            id=request_id,
            seq=self._hooks.next_seq(),
            service=found.service,
            route=route.name,
            method=event.method,
            path=event.target,
            headers=_kept(headers, names),
            length=length,
            body=body,
            deadline=now + allowed,
            idempotent=route.idempotent,
            origin=self._hooks.origin_service(),
            priority=found.priority,
            soft_deadline=now + route.objective,
            attempts=route.attempts,
            fingerprint=self._fingerprint(event, headers, body, caller),
            organisation=caller,
        )
        return request, None

    def _fingerprint(
        self,
        event: h11.Request,
        headers: http.Headers,
        body: exchange.Body,
        organisation: str,
    ) -> bytes:
        names = self._hooks.header_names.credentials
        caller = tuple(http.value(headers, name) or b"" for name in names)
        if organisation:
            # One that has two keys is one caller.
            caller += (organisation.encode(),)
        return fingerprint.compute(
            event.method,
            http.value(headers, b"host") or b"",
            event.target,
            caller,
            len(body.prefix) if body.complete else http.content_length(headers),
            body.prefix[: exchange.INLINE_BYTES],
        )

    async def _serve(
        self,
        request: exchange.Request | None,
        problem: Reason | None,
        answer: response_writer.ResponseWriter,
    ) -> None:
        self._ingress.running += 1
        try:
            if request is None:
                self._hooks.on_rejected(problem)
                result = exchange.not_run(problem, DEFAULT_RETRY_AFTER)
                await self._problem(answer, result, "")
            else:
                await self._run(request, answer)
        except (tcp_stream.ConnectionLost, h11.LocalProtocolError) as error:
            _log.debug("caller_lost", detail=str(error))
            self._break()
        except asyncio.CancelledError:
            self._break()
        except Exception:
            _log.exception("request_failed")
            self._break()
        finally:
            self._ingress.running -= 1
            answer.release_next()
            self._answers.remove(answer)
            if not self._answers:
                self._idle_since = self._clock.monotonic()
            if not self._reading and not self._answers:
                self.connection.half_close()

    def _break(self) -> None:
        """An answer can't be made whole any more: break it visibly."""
        self._reading = False
        self.connection.abort()

    async def _run(
        self, request: exchange.Request, answer: response_writer.ResponseWriter
    ) -> None:
        started = self._clock.monotonic()
        result = await self._hooks.handle(request, answer)
        seconds = self._clock.monotonic() - started
        self._hooks.on_result(request, result, seconds)
        if result.ending.outcome is Outcome.ANSWERED:
            return
        if answer.has_started:
            raise tcp_stream.ConnectionLost("the answer broke off")
        await self._problem(answer, result, request.id)

    async def _problem(
        self,
        answer: response_writer.ResponseWriter,
        result: exchange.Result,
        request_id: str,
    ) -> None:
        ending = result.ending
        reason = ending.reason or Reason.TARGET_BROKE
        problem = http.problem(ending.outcome, reason, request_id)
        headers = [(b"content-type", http.PROBLEM_MEDIA_TYPE)]
        if problem.status in (http.SERVICE_UNAVAILABLE, http.TOO_MANY_REQUESTS):
            wait = max(MIN_RETRY_AFTER, ending.retry_after)
            headers.append((b"retry-after", f"{wait:.2f}".encode()))
        if answer.protocol.their_state is not h11.DONE:
            self._reading = False
        body = http.encode_problem(problem)
        head = exchange.Head(problem.status, tuple(headers), len(body))
        await answer.start(head)
        await answer.data(body)
        await answer.end()

    # Refusals of bytes that are no request.

    def _refuse(self, error: errors.BadRequest) -> None:
        """Answers bytes that were never forwarded."""
        if not self._reading:
            return
        self._ingress.refused += 1
        _log.info(
            "caller_refused", peer=self.connection.peer, detail=str(error)
        )
        problem = http.Problem(
            "urn:forklift:bad-request",
            str(error).partition(";")[0],
            error.status,
            str(Outcome.NOT_RUN),
            "bad-request",
            error.remedy,
            self._ingress.new_id(),
        )
        body = http.encode_problem(problem)
        come_back = ""
        if error.status == http.SERVICE_UNAVAILABLE:
            come_back = f"retry-after: {DEFAULT_RETRY_AFTER:.2f}\r\n"
        head = (
            f"HTTP/1.1 {error.status} Refused\r\n"
            f"content-type: {http.PROBLEM_MEDIA_TYPE.decode()}\r\n"
            f"content-length: {len(body)}\r\n{come_back}"
            "connection: close\r\n\r\n"
        )
        try:
            self.connection.write(head.encode() + body)
        except tcp_stream.ConnectionLost:
            _log.debug("caller_lost", detail="before its refusal")


# Seconds after which to come back when nothing better is known.
MIN_RETRY_AFTER = 0.1
DEFAULT_RETRY_AFTER = 0.5


def _late_head() -> errors.BadRequest:
    return errors.BadRequest("the head took too long", "send it in one go", 408)


def _half_read() -> errors.BadRequest:
    return errors.BadRequest(
        "the process ends before the request arrived whole",
        "send it again",
        http.SERVICE_UNAVAILABLE,
    )


def _kept(
    headers: http.Headers, names: header_fields.HeaderNames
) -> http.Headers:
    """Fields that travel on; those that forklift sets itself are dropped."""
    ours = names.reserved
    return tuple(h for h in http.end_to_end(headers) if h[0] not in ours)


def _allowed(headers: http.Headers, name: bytes, maximum: float) -> float:
    """Seconds the request may take: the caller's word, up to the route's."""
    given = http.value(headers, name)
    if given is None:
        return maximum
    try:
        return max(0.0, min(maximum, int(given) / 1000))
    except ValueError as error:
        raise errors.BadRequest(
            f"{name.decode()} is no number", "send whole milliseconds"
        ) from error


_TOO_MANY = (
    b"HTTP/1.1 503 Too many connections\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
