"""The HTTP/1.1 server for callers.

Pipelined requests run concurrently and are answered in order. Each request has
its own h11 parser. Bytes that follow a request are passed to the next parser.
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
from forklift import run_calls
from forklift.shell import caller_fields
from forklift.shell import error_responses
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import request_body
from forklift.shell import response_writer
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)
Reason = messages.Reason
Outcome = messages.Outcome

# Maximum number of concurrent requests on one connection.
MAX_PIPELINED = 32
# Seconds for which a caller may keep the connection open after the last
# response.
LINGER_TIMEOUT = 1.0

Handler = Callable[
    [exchange.Request, exchange.Sink], Awaitable[exchange.Result]
]


@dataclasses.dataclass(frozen=True)
class RouteMatch:
    """The route and the service that were selected for a request.

    Attributes:
        route: The matching route.
        service: Name of the service, one of the services of the route.
        organisation: The calling organisation; None for an anonymous caller.
    """

    route: catalogs.Route
    service: str
    organisation: organisations.Organisation | None = None

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, else of the route."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority


@dataclasses.dataclass(frozen=True)
class Hooks:
    """Functions and header names that the process provides to the ingress.

    Attributes:
        header_names: Names of the header fields that forklift interprets.
        limits: Returns the current limits for callers.
        find_route: Returns the match for a host, a path and the keys of the
            caller, or None if no route matches. Raises
            `organisations.UnknownCaller`.
        is_configured: Returns whether a configuration is loaded.
        handle: Runs a request and passes its response to the sink.
        next_seq: Returns the sequence number for a new request.
        on_result: Called at the end of each request with the request, its
            result and its duration in seconds.
        origin_service: Returns the name of the service on this instance.
        on_rejected: Called with the reason for each request that is rejected
            before it runs.
        on_cut: Called with the reason for each response that broke off after
            it had begun.
        match_call: Returns the call of a run that a request is, or None; see
            `run_calls.RunCalls.match`.
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
    on_cut: Callable[[Reason | None], None] = lambda reason: None
    match_call: Callable[[str, float | None, float], run_calls.Call | None] = (
        lambda organisation, named_deadline, route_soft_deadline: None
    )


class Ingress:
    """Accepts connections of callers and reads their requests.

    Attributes:
        hooks: Functions and header names that the process provides.
        clock: Clock of the process.
        stopping: Whether the process is shutting down. Each connection then
            closes after the responses to the requests that were read.
        closed: Whether new connections are closed without a response.
        max_connections: Maximum number of open connections.
        running: Number of requests in progress.
    """

    def __init__(self, hooks: Hooks, max_connections: int, clock):
        self.hooks = hooks
        self.clock = clock
        self.max_connections = max_connections
        self._id_counter = itertools.count(1)
        self._id_prefix = secrets.token_hex(4)
        self._sessions: set[_Session] = set()
        self.stopping = False
        self.closed = False
        self.running = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._sessions)

    def accept(self, connection: tcp_stream.Connection) -> None:
        """Serves a new connection, or rejects it if there are too many."""
        if self.closed:
            # The process is about to exit and may be unable to respond.
            connection.close()
            return
        if len(self._sessions) >= self.max_connections:
            connection.write(error_responses.TOO_MANY_CONNECTIONS)
            connection.close()
            return
        session = _Session(self, connection)
        self._sessions.add(session)
        task = asyncio.create_task(session.run())
        task.add_done_callback(lambda _: self._sessions.discard(session))

    def tick(self, now: float) -> None:
        """Closes connections that exceeded a timeout."""
        limits = self.hooks.limits()
        for session in list(self._sessions):
            session.enforce_timeouts(limits, now)

    def close_idle(self) -> None:
        """Closes connections with neither a request nor an unsent response."""
        for session in list(self._sessions):
            session.close_if_idle()

    @property
    def pending_connections(self) -> int:
        """Number of connections with a request or an unsent response."""
        return sum(1 for session in self._sessions if session.is_pending)

    def reject_incomplete_requests(self) -> None:
        """Rejects requests that have been received only in part."""
        for session in list(self._sessions):
            session.reject_incomplete_request()

    def new_request_id(self) -> str:
        """Returns a request ID for a request that came without one."""
        return f"{self._id_prefix}-{next(self._id_counter)}"


class _Session:
    """Serves one connection of a caller."""

    def __init__(self, ingress: Ingress, connection: tcp_stream.Connection):
        self._ingress = ingress
        self._hooks = ingress.hooks
        self._clock = ingress.clock
        self.connection = connection
        self._body_reader = request_body.BodyReader(
            connection, self._hooks.limits
        )
        self._writers: list[response_writer.ResponseWriter] = []
        self._tasks: set[asyncio.Task] = set()
        # Bytes that were received after the last parsed request.
        self._unparsed = b""
        # Whether a request has been received only in part.
        self._request_incomplete = False
        self._keep_alive = True
        # Monotonic time at which the connection became idle, seconds; None if
        # it is not idle.
        self._idle_since: float | None = self._clock.monotonic()
        # Monotonic time at which an incomplete head began to arrive, seconds;
        # None if there is no incomplete head.
        self._head_started_at: float | None = None

    # Methods that the ingress calls.

    def enforce_timeouts(
        self, limits: catalogs.CallerLimits, now: float
    ) -> None:
        """Ends the connection after a head timeout or an idle timeout."""
        head_started_at, idle_since = self._head_started_at, self._idle_since
        if (
            head_started_at is not None
            and now - head_started_at > limits.head_timeout
        ):
            self._head_started_at = None
            self.connection.interrupt(error_responses.head_timeout())
        elif (
            idle_since is not None
            and now - idle_since > limits.idle_timeout
            and not self._has_unanswered
        ):
            self.connection.close()

    def close_if_idle(self) -> None:
        """Closes the connection if it has no request or unsent response."""
        if not (self.is_pending or self.connection.closed):
            self.connection.close()

    def reject_incomplete_request(self) -> None:
        """Rejects a partially received request, which has not run."""
        if self._request_incomplete:
            self.connection.interrupt(error_responses.incomplete_request())

    @property
    def is_pending(self) -> bool:
        """Whether there is a request or an unsent response."""
        if self.connection.lost:
            return False
        return self._has_unanswered or self.connection.unsent_bytes > 0

    @property
    def _has_unanswered(self) -> bool:
        """Whether any part of an unanswered request was received."""
        return bool(self._writers) or self._has_unprocessed_input

    @property
    def _has_unprocessed_input(self) -> bool:
        """Whether bytes were received that belong to no running request."""
        unread = self._unparsed or self.connection.buffered
        return self._request_incomplete or bool(unread)

    # Lifecycle of the connection.

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        self.connection.on_lost = self._cancel_all
        try:
            while self._keep_alive and await self._read_request():
                pass
            await self._wait_for_responses()
            await self._close_gracefully()
        except (tcp_stream.ConnectionLost, ConnectionError):
            self._cancel_all()
            self.connection.abort()
        except (TimeoutError, exchange.IncompleteBody):
            # Only this request failed; earlier ones are still answered.
            await self._wait_for_responses()
            await self._close_gracefully()
        except errors.BadRequest as error:
            await self._wait_for_responses()
            self._reject(error)
            await self._close_gracefully()
        except h11.RemoteProtocolError as error:
            await self._wait_for_responses()
            status = error.error_status_hint
            remedy = "send well-formed HTTP/1.1"
            # After the colon h11 quotes the input, which may contain a key.
            detail = str(error).partition(":")[0]
            self._reject(errors.BadRequest(detail, remedy, status))
            await self._close_gracefully()
        except Exception:
            _log.exception(
                "caller_connection_failed", peer=self.connection.peer_ip
            )
            self.connection.abort()
        finally:
            self.connection.close()

    def is_last(self, writer: response_writer.ResponseWriter) -> bool:
        """Whether the connection closes after a response.

        During shutdown, the connection closes unless another request has begun
        to arrive.
        """
        if self._writers and self._writers[-1] is not writer:
            return False
        if self._ingress.stopping and not self._next_request_begun(writer):
            self._keep_alive = False
        return not self._keep_alive

    def _next_request_begun(
        self, writer: response_writer.ResponseWriter
    ) -> bool:
        """Whether any part of the following request was received."""
        protocol = writer.protocol
        if protocol.their_state is not h11.DONE:
            # The remaining input belongs to the body of this request.
            return False
        return self._has_unprocessed_input or bool(protocol.trailing_data[0])

    def _accepts_next(self) -> bool:
        """Whether another request is accepted.

        During shutdown no request is accepted if the previous response can
        still announce that the connection closes. Without this rule, a caller
        that pipelines continuously could keep its connection open until the
        shutdown deadline.
        """
        if self._ingress.stopping and self._writers:
            self._keep_alive = (
                self._keep_alive and self._writers[-1].has_started
            )
        return self._keep_alive

    async def _wait_for_responses(self) -> None:
        """Waits until all running requests are answered."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _close_gracefully(self) -> None:
        """Closes after the caller received all responses, or on a timeout."""
        # Input after the last request is discarded.
        self._unparsed, self._request_incomplete = b"", False
        self.connection.half_close()
        unsent = self.connection.unsent_bytes
        try:
            async with asyncio.timeout(
                response_writer.STALL_TIMEOUT if unsent else LINGER_TIMEOUT
            ):
                await self.connection.wait_closed()
        except TimeoutError:
            if self.connection.unsent_bytes:
                self.connection.abort()

    def _cancel_all(self) -> None:
        """Cancels all requests after the caller has disconnected."""
        self._keep_alive = False
        for task in list(self._tasks):
            task.cancel()

    async def _read_request(self) -> bool:
        """Reads a request and starts it; returns whether to read another."""
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._hooks.limits().header_bytes,
        )
        event = await self._read_head(protocol)
        if event is None:
            return False
        if not self._accepts_next():
            # The previous response announces that the connection closes.
            return False
        http.check_request(event)
        previous_finished = (
            self._writers[-1].finished if self._writers else None
        )
        writer = response_writer.ResponseWriter(
            self.connection,
            self.is_last,
            protocol,
            event.method,
            previous_finished,
        )
        self._writers.append(writer)
        self._idle_since = None
        try:
            body = await self._body_reader.read(
                protocol, event, previous_finished
            )
            request, rejection = self._build_request(event, body)
        except BaseException:
            self._writers.remove(writer)
            raise
        self._request_incomplete = False
        task = asyncio.create_task(self._respond(request, rejection, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if not body.complete:
            await asyncio.wait([task])
            if not self._is_request_complete(protocol):
                return False
        self._unparsed = protocol.trailing_data[0]
        while len(self._tasks) >= MAX_PIPELINED:
            await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        return True

    def _is_request_complete(self, protocol: h11.Connection) -> bool:
        return protocol.their_state is h11.DONE

    async def _read_head(self, protocol: h11.Connection) -> h11.Request | None:
        """Reads one request head; returns None at the end of the input.

        Raises:
            errors.BadRequest: The head is too large or ambiguous.
        """
        head = bytearray(self._unparsed)
        self._unparsed = b""
        self._request_incomplete = bool(head)
        if head:
            protocol.receive_data(bytes(head))
        while http.END_OF_HEAD not in head:
            self._check_size(len(head))
            if head and self._head_started_at is None:
                self._head_started_at = self._clock.monotonic()
            data = await self.connection.read()
            if not data:
                return None
            self._idle_since = None
            self._request_incomplete = True
            protocol.receive_data(data)
            head += data
        self._head_started_at = None
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

    # Requests and responses.

    def _build_request(
        self, event: h11.Request, body: exchange.Body
    ) -> tuple[exchange.Request | None, Reason | None]:
        """Builds the request, or finds a reason to reject it.

        Returns:
            The request and None, or None and the reason to reject it.

        Raises:
            errors.BadRequest: The timeout that the caller sent is not an
                integer.
        """
        headers = http.fields(event)
        names = self._hooks.header_names
        value = http.value(headers, names.request_id)
        request_id = value.decode("latin-1") if value else ""
        request_id = request_id or self._ingress.new_request_id()
        host = (http.value(headers, b"host") or b"").decode("latin-1")
        path = event.target.decode("latin-1")
        if not self._hooks.is_configured():
            return None, Reason.NO_CONFIGURATION
        try:
            keys = http.values(headers, names.key)
            match = self._hooks.find_route(host, path, keys)
        except organisations.UnknownCaller:
            return None, Reason.UNKNOWN_CALLER
        if match is None:
            return None, Reason.NO_SERVICE
        route = match.route
        caller = match.organisation.name if match.organisation else ""
        named = caller_fields.named_timeout(headers, names.deadline)
        timeout = route.timeout if named is None else min(route.timeout, named)
        length = http.content_length(headers)
        now = self._clock.monotonic()
        named_deadline = None if named is None else now + named
        soft = now + route.objective
        call = self._hooks.match_call(caller, named_deadline, soft)
        request = exchange.Request(
            id=request_id,
            seq=self._hooks.next_seq(),
            service=match.service,
            route=route.name,
            method=event.method,
            path=event.target,
            headers=caller_fields.forwarded(headers, names),
            length=length,
            body=body,
            deadline=now + timeout,
            idempotent=route.idempotent,
            origin=self._hooks.origin_service(),
            priority=call.priority if call else match.priority,
            soft_deadline=call.soft_deadline if call else soft,
            max_attempts=route.max_attempts,
            fingerprint=self._fingerprint(event, headers, body, caller),
            organisation=caller,
            bulk=route.bulk,
            call=call,
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
        identity = tuple(http.value(headers, name) or b"" for name in names)
        if organisation:
            # All keys of an organisation identify the same caller.
            identity += (organisation.encode(),)
        return fingerprint.compute(
            event.method,
            http.value(headers, b"host") or b"",
            event.target,
            identity,
            len(body.prefix) if body.complete else http.content_length(headers),
            body.prefix[: exchange.MAX_INLINE_BYTES],
        )

    async def _respond(
        self,
        request: exchange.Request | None,
        rejection: Reason | None,
        writer: response_writer.ResponseWriter,
    ) -> None:
        self._ingress.running += 1
        try:
            if request is None:
                self._hooks.on_rejected(rejection)
                result = exchange.not_run(
                    rejection, error_responses.DEFAULT_RETRY_AFTER
                )
                await self._write_problem(writer, result, "")
            else:
                await self._run_request(request, writer)
        except (tcp_stream.ConnectionLost, h11.LocalProtocolError) as error:
            _log.debug("response_aborted", detail=str(error))
            self._abort()
        except asyncio.CancelledError:
            self._abort()
        except Exception:
            _log.exception("request_failed")
            self._abort()
        finally:
            self._ingress.running -= 1
            writer.release_next()
            self._writers.remove(writer)
            if not self._writers:
                self._idle_since = self._clock.monotonic()
            if not self._keep_alive and not self._writers:
                self.connection.half_close()

    def _abort(self) -> None:
        """Aborts the connection, so that the caller detects the failure."""
        self._keep_alive = False
        self.connection.abort()

    async def _run_request(
        self, request: exchange.Request, writer: response_writer.ResponseWriter
    ) -> None:
        started = self._clock.monotonic()
        result = await self._hooks.handle(request, writer)
        seconds = self._clock.monotonic() - started
        self._hooks.on_result(request, result, seconds)
        if result.ending.outcome is Outcome.ANSWERED:
            return
        if writer.has_started:
            self._hooks.on_cut(result.ending.reason)
            _log.warning(
                "response_cut",
                request=request.id,
                reason=str(result.ending.reason or ""),
                bytes_sent=writer.bytes_sent,
                seconds=round(seconds, 3),
            )
            raise tcp_stream.ConnectionLost("the response is incomplete")
        await self._write_problem(writer, result, request.id)

    async def _write_problem(
        self,
        writer: response_writer.ResponseWriter,
        result: exchange.Result,
        request_id: str,
    ) -> None:
        if writer.protocol.their_state is not h11.DONE:
            self._keep_alive = False
        await error_responses.write_problem(writer, result, request_id)

    def _reject(self, error: errors.BadRequest) -> None:
        """Responds to a malformed request with a problem document."""
        if not self._keep_alive:
            return
        _log.info(
            "request_rejected", peer=self.connection.peer_ip, detail=str(error)
        )
        request_id = self._ingress.new_request_id()
        response = error_responses.encode_bad_request(error, request_id)
        try:
            self.connection.write(response)
        except tcp_stream.ConnectionLost:
            _log.debug(
                "response_aborted",
                detail="the caller disconnected before the error response",
            )
