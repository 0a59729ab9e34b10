"""HTTP/1.1 client that sends a request to a target.

A target may close the connection early, respond twice, respond late to an
earlier request, or respond before it has read the request body. Therefore the
request ID of each response is checked, small responses are buffered until they
are complete, and a connection is only reused if no data is left on it.
"""

import asyncio
import math
from collections.abc import Callable

import h11
import structlog

from forklift import errors
from forklift import header_fields
from forklift import invalid_input
from forklift import invariants
from forklift import messages
from forklift import response_evidence
from forklift import target_notices
from forklift.shell import connection_pool
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import response_events
from forklift.shell import response_forwarder
from forklift.shell import tcp_stream

_log = structlog.get_logger(__name__)
Reason = messages.Reason

MAX_HEAD_BYTES = 65_536
# Maximum number of responses to other requests that are skipped before the
# request fails and its connection is closed.
MAX_STRAY_RESPONSES = 3


class IncompleteResponse(errors.ForkliftError):
    """A request was sent, but no complete valid response was received.

    Attributes:
        reason: Why; `CANCELLED` if the caller did not send the whole body,
            which says nothing about the target.
    """

    def __init__(self, reason: Reason, detail: str):
        self.reason = reason
        super().__init__(
            f"the target sent no complete response ({detail}); "
            "check the log of the target"
        )


class UpstreamRequest:
    """One request to one target."""

    def __init__(
        self,
        pool: connection_pool.Pool,
        request: exchange.Request,
        expected_target: str,
        incarnation: str,
        header_names: header_fields.HeaderNames,
        now: Callable[[], float],
        on_notice: Callable[
            [target_notices.TargetNotice, float], None
        ] = lambda notice, sent_at: None,
    ):
        """Initializes a request that has not started.

        Args:
            pool: Connections to the target.
            request: The request.
            expected_target: Name that the target must have; sent with the
                request.
            incarnation: Name of the target's incarnation, for responses and
                logs.
            header_names: Names of header fields.
            now: Returns monotonic seconds.
            on_notice: Called with the notices in the response, and the
                monotonic time at which the request was sent.
        """
        self._pool = pool
        self._request = request
        self._expected_target = expected_target
        self._incarnation = incarnation
        self._header_names = header_names
        self._now = now
        self._on_notice = on_notice
        self._sent_at = math.inf
        self._stray_count = 0
        self._reusable = True
        # Whether the connection has carried other requests before.
        self._is_reused = False
        # Why the body of the request could not be read to its end.
        self._body_error: Exception | None = None
        self.head: response_forwarder.ResponseHead | None = None

    async def execute(
        self,
        try_start: Callable[[], Reason | None],
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> int:
        """Sends the request and forwards the response.

        Args:
            try_start: Marks the request as started right before it is sent;
                returns a reason if it must not start.
            load: Returns the load of the target, for the response head.
            sink: Receives the response.

        Returns:
            The HTTP status, once the complete response is forwarded.

        Raises:
            connection_pool.NotRun: The target did not run the request.
            IncompleteResponse: The request was sent, but no complete response
                was received.
            tcp_stream.ConnectionLost: The sink's connection is lost.
        """
        connection = await self._pool.acquire(self._request.idempotent)
        self._is_reused = connection.is_reused
        is_complete = False
        try:
            reason = try_start()
            if reason is not None:
                raise connection_pool.NotRun(
                    reason, "the request may no longer start"
                )
            await self._send_and_receive(connection, load, sink)
            is_complete = True
        except IncompleteResponse as error:
            if self._body_error is None:
                raise
            # The target got a part of the body, and cannot respond to it.
            raise IncompleteResponse(
                Reason.CANCELLED, str(self._body_error)
            ) from error
        finally:
            if is_complete and self._reusable and not self.head.closes:
                self._pool.release(connection, self.head.keep_alive)
            else:
                self._pool.discard(connection)
        return self.head.status

    async def _send_and_receive(
        self,
        connection: tcp_stream.Connection,
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> None:
        protocol = self._new_protocol()
        head = protocol.send(self._request_head())
        body = self._request.body
        self._sent_at = self._now()
        if body.complete:
            self._write(connection, head + self._encode_body(protocol))
            await self._receive_response(connection, protocol, load, sink)
            return
        self._write(connection, head)
        upload = asyncio.create_task(self._upload(connection, protocol))
        try:
            await self._receive_response(connection, protocol, load, sink)
            # If the target responded before the whole body was sent, it may
            # take the rest for the next request.
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

    def _request_head(self) -> h11.Request:
        request = self._request
        names = self._header_names
        remaining = max(1, int((request.deadline - self._now()) * 1000))
        reserved = names.reserved
        headers = [
            header for header in request.headers if header[0] not in reserved
        ]
        if http.value(request.headers, names.request_id) is None:
            headers.append((names.request_id, request.id.encode("latin-1")))
        headers.append((names.deadline, str(remaining).encode()))
        headers.append((names.expected, self._expected_target.encode()))
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

    def _encode_body(self, protocol: h11.Connection) -> bytes:
        data = b""
        if self._request.body.prefix:
            data = protocol.send(h11.Data(self._request.body.prefix))
        return data + protocol.send(h11.EndOfMessage())

    async def _upload(
        self, connection: tcp_stream.Connection, protocol: h11.Connection
    ) -> None:
        try:
            async for chunk in self._request.body.chunks():
                connection.write(protocol.send(h11.Data(chunk)))
                await connection.drain()
            connection.write(protocol.send(h11.EndOfMessage()))
        except (
            exchange.IncompleteBody,
            h11.ProtocolError,
            tcp_stream.ConnectionLost,
            TimeoutError,
        ) as error:
            # Otherwise the target might take the body for complete.
            if not isinstance(
                error, h11.LocalProtocolError | tcp_stream.ConnectionLost
            ):
                self._body_error = error
            _log.info(
                "upload_failed", request=self._request.id, detail=str(error)
            )
            connection.abort()

    async def _receive_response(
        self,
        connection: tcp_stream.Connection,
        protocol: h11.Connection,
        load: Callable[[], messages.Load],
        sink: exchange.Sink,
    ) -> None:
        response_protocol = protocol
        events = response_events.ResponseEvents(connection)
        while True:
            response = await self._next_response(events, response_protocol)
            fields = self._evidence(response)
            if self._is_own_response(fields):
                break
            response_protocol = await self._skip_stray_response(
                events, response_protocol
            )
        own_id = self._request.id
        invariants.own_answer(
            own_id,
            (fields.request_id or own_id.encode("latin-1")).decode("latin-1"),
        )
        self._check_signature(fields)
        self.head = response_forwarder.parse_head(
            response, self._request.method, self._header_names
        )
        self._report_notice(response)
        self._raise_not_run(response)
        self._check_promise(response.status_code)
        forwarder = response_forwarder.ResponseForwarder(
            sink, self.head, self._incarnation, load
        )
        await self._forward_body(events, response_protocol, forwarder)

    async def _next_response(
        self, events: response_events.ResponseEvents, protocol: h11.Connection
    ) -> h11.Response:
        event = await self._next_event(events, protocol)
        if isinstance(event, h11.Response):
            return event
        raise IncompleteResponse(
            Reason.TARGET_BROKE, "connection closed without a response"
        )

    async def _skip_stray_response(
        self, events: response_events.ResponseEvents, protocol: h11.Connection
    ) -> h11.Connection:
        """Skips a response to another request.

        Returns:
            The protocol state that parses the next response.
        """
        self._stray_count += 1
        _log.info(
            "stray_response", request=self._request.id, target=self._incarnation
        )
        if self._stray_count > MAX_STRAY_RESPONSES:
            raise IncompleteResponse(
                Reason.WRONG_ANSWER, "too many stray responses"
            )
        while True:
            event = await self._next_event(events, protocol)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise IncompleteResponse(
                    Reason.WRONG_ANSWER, "incomplete stray response"
                )
        if protocol.their_state is not h11.DONE:
            raise IncompleteResponse(
                Reason.WRONG_ANSWER, "connection closed after a stray response"
            )
        # h11 accepts one response per request, so a new protocol state is
        # passed the same request, without sending it again.
        restarted = self._new_protocol()
        restarted.send(self._request_head())
        if self._request.body.complete:
            self._encode_body(restarted)
        restarted.receive_data(protocol.trailing_data[0])
        return restarted

    async def _forward_body(
        self,
        events: response_events.ResponseEvents,
        protocol: h11.Connection,
        forwarder: response_forwarder.ResponseForwarder,
    ) -> None:
        while True:
            event = await self._next_event(events, protocol)
            if isinstance(event, h11.Data):
                await forwarder.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise IncompleteResponse(
                    Reason.TARGET_BROKE, "incomplete response body"
                )
        is_complete = protocol.their_state is h11.DONE
        self._reusable = is_complete and not protocol.trailing_data[0]
        await forwarder.end()

    async def _next_event(
        self, events: response_events.ResponseEvents, protocol: h11.Connection
    ) -> h11.Event:
        try:
            return await events.next(protocol)
        except (h11.RemoteProtocolError, OSError) as error:
            raise IncompleteResponse(Reason.TARGET_BROKE, str(error)) from error

    def _evidence(
        self, response: h11.Response
    ) -> response_evidence.ResponseFields:
        names, headers = self._header_names, http.fields(response)
        return response_evidence.ResponseFields(
            response.status_code,
            http.value(headers, names.request_id),
            http.value(headers, names.signature),
            http.value(headers, names.target),
        )

    def _is_own_response(
        self, fields: response_evidence.ResponseFields
    ) -> bool:
        """Whether a response belongs to this request.

        Raises:
            IncompleteResponse: Nothing shows which request it belongs to.
        """
        owner = response_evidence.find_owner(
            fields,
            self._request.id.encode("latin-1"),
            self._expected_target.encode(),
            not self._is_reused,
            self._header_names,
        )
        if owner is response_evidence.Owner.UNKNOWN:
            raise IncompleteResponse(
                Reason.WRONG_ANSWER,
                f"status {fields.status} without the ID of a request",
            )
        return owner is response_evidence.Owner.REQUEST

    def _check_signature(
        self, fields: response_evidence.ResponseFields
    ) -> None:
        if response_evidence.is_unsigned_success(fields, self._header_names):
            raise IncompleteResponse(
                Reason.WRONG_ANSWER, "a success without a signature"
            )

    def _report_notice(self, response: h11.Response) -> None:
        if response.status_code == response_evidence.MISDIRECTED_STATUS:
            # The response is that of another target.
            return
        names, headers = self._header_names, http.fields(response)
        notice = target_notices.parse(
            http.value(headers, names.rate_limit),
            http.value(headers, names.leaving),
            invalid_input.Source.RESPONSE,
            self._incarnation,
        )
        self._on_notice(notice, self._sent_at)

    def _raise_not_run(self, response: h11.Response) -> None:
        """Raises an error if the target rejected the request as not run."""
        status = response.status_code
        if status == response_evidence.MISDIRECTED_STATUS:
            raise connection_pool.NotRun(
                Reason.MISDIRECTED, "another target uses the address"
            )
        headers = http.fields(response)
        if http.value(headers, self._header_names.not_run) is not None:
            raise connection_pool.NotRun(
                Reason.SHED, f"it rejected the request with status {status}"
            )

    def _check_promise(self, status: int) -> None:
        if response_evidence.is_unproven_promise(
            status, self._request.idempotent
        ):
            raise IncompleteResponse(
                Reason.WRONG_ANSWER,
                f"status {status} does not prove that it was not run",
            )
