"""Connections of callers: pipelining, disconnects, limits and shutdown."""

import asyncio
import dataclasses

import h11
import pytest

from forklift import catalog
from forklift import header_fields
from forklift import messages
from forklift.shell import exchange
from forklift.shell import ingress
from forklift.shell import proxy
from forklift.shell import request_body
from forklift.shell import response_writer
from forklift.shell import tcp_stream
from test import helper
from test import processes

LIMITS = catalog.CallerLimits(1024, 100, 10.0, 10.0)
ROUTE = catalog.Route(
    "r", "h", "/a/", (catalog.WeightedService("s", 1.0),), True, 5.0, 1.0, 0, 2
)


class Rig:
    """An ingress with one connection; `respond` sends a response."""

    def __init__(self, is_configured: bool = True):
        self.is_configured = is_configured
        self.limits = LIMITS
        self.requests: list[exchange.Request] = []
        self.permissions: dict[str, asyncio.Future] = {}
        self.cancelled: list[str] = []
        self.clock = helper.FakeClock()
        self.ingress = ingress.Ingress(
            ingress.Hooks(
                header_names=header_fields.DEFAULT,
                limits=lambda: self.limits,
                find_route=self._find,
                is_configured=lambda: self.is_configured,
                handle=self._handle,
                next_seq=lambda: 1,
                on_result=lambda *_: None,
                origin_service=lambda: "local-service",
            ),
            10,
            self.clock,
        )

    async def __aenter__(self) -> "Rig":
        self._server = await tcp_stream.listen(
            "127.0.0.1:0", self.ingress.accept
        )
        host, port = tcp_stream.split_address(
            tcp_stream.bound_address(self._server)
        )
        self.reader, self.writer = await asyncio.open_connection(host, port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self._server.close()

    def send(self, *paths: str, extra: str = "", body: str = "") -> None:
        for path in paths:
            self.writer.write(
                f"GET {path} HTTP/1.1\r\nhost: h\r\n"
                f"x-request-id: id{path}\r\n{extra}\r\n{body}".encode()
            )

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        size = int(fields["content-length"])
        body = await self.reader.readexactly(size)
        return int(lines[0].split()[1]), fields, body

    async def wait_for_requests(self, count: int) -> None:
        await helper.until(lambda: len(self.requests) >= count)

    def respond(self, path: str) -> None:
        self.permissions[path].set_result(None)

    def _find(self, host: str, path: str, keys) -> ingress.RouteMatch | None:
        return (
            ingress.RouteMatch(ROUTE, "s") if path.startswith("/a/") else None
        )

    async def _handle(self, request, sink) -> exchange.Result:
        path = request.path.decode()
        self.requests.append(request)
        permission = asyncio.get_running_loop().create_future()
        self.permissions[path] = permission
        try:
            await permission
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        body = path.encode()
        await sink.start(exchange.ResponseHead(200, (), len(body)))
        await sink.data(body)
        await sink.end()
        return exchange.answered(200, "t")


def play(work, **changes):
    async def run():
        async with Rig(**changes) as rig:
            await work(rig)

    helper.run(run())


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    async def work(rig):
        rig.send("/a/1", "/a/2", "/a/3")
        await rig.wait_for_requests(3)
        for path in ("/a/3", "/a/2", "/a/1"):
            rig.respond(path)
        for path in (b"/a/1", b"/a/2", b"/a/3"):
            status, _, body = await rig.read_response()
            assert (status, body) == (200, path)

    play(work)


def test_continue_is_sent_only_after_the_previous_response():
    """Otherwise it stands within the response that is being sent."""

    async def work(rig):
        rig.send("/a/1")
        rig.send("/a/2", extra="expect: 100-continue\r\ncontent-length: 3\r\n")
        await rig.wait_for_requests(1)
        (session,) = rig.ingress._sessions
        await helper.until(lambda: len(session._writers) == 2)
        rig.respond("/a/1")
        status, _, body = await rig.read_response()
        assert (status, body) == (200, b"/a/1")
        interim = await rig.reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100")
        rig.writer.write(b"abc")
        await rig.wait_for_requests(2)
        assert rig.requests[1].body.prefix == b"abc"
        rig.respond("/a/2")
        assert (await rig.read_response())[0] == 200

    play(work)


def test_a_request_keeps_its_target_id_and_end_to_end_headers():
    async def work(rig):
        forged = "x-origin-service: forged\r\nx-expected-target: forged\r\n"
        hop = "connection: x-hop\r\nx-hop: 1\r\nx-kept: 2\r\n"
        deadline = "x-request-timeout-ms: 1500\r\n"
        rig.send("/a/b?c=%20d", extra=forged + hop + deadline)
        await rig.wait_for_requests(1)
        request = rig.requests[0]
        fields = dict(request.headers)
        assert request.path == b"/a/b?c=%20d"
        assert request.id == "id/a/b?c=%20d"
        assert fields[b"x-request-id"] == b"id/a/b?c=%20d"
        assert fields[b"x-kept"] == b"2"
        assert b"x-hop" not in fields
        assert b"x-origin-service" not in fields
        assert b"x-expected-target" not in fields
        assert request.origin == "local-service"
        assert request.deadline == rig.clock.now + 1.5

    play(work)


def test_the_route_limits_the_deadline_of_the_caller():
    async def work(rig):
        rig.send("/a/1", extra="x-request-timeout-ms: 60000\r\n")
        await rig.wait_for_requests(1)
        assert rig.requests[0].deadline == rig.clock.now + ROUTE.timeout

    play(work)


def test_a_disconnect_cancels_all_requests_of_the_connection():
    async def work(rig):
        rig.send("/a/1", "/a/2")
        await rig.wait_for_requests(2)
        rig.writer.close()
        await helper.until(lambda: len(rig.cancelled) == 2)

    play(work)


def test_a_request_without_a_route_gets_404_and_the_connection_stays_open():
    async def work(rig):
        rig.send("/b/")
        assert (await rig.read_response())[0] == 404
        rig.send("/a/1")
        await rig.wait_for_requests(1)

    play(work)


def test_without_a_configuration_the_response_is_503_with_retry_after():
    async def work(rig):
        rig.send("/b/")
        status, fields, _ = await rig.read_response()
        assert status == 503
        assert float(fields["retry-after"]) > 0

    play(work, is_configured=False)


@pytest.mark.parametrize(
    ("extra", "status"),
    [
        (f"x-large: {'x' * 2000}\r\n", 431),
        ("content-length: 101\r\n", 413),
        ("transfer-encoding: chunked\r\ncontent-length: 4\r\n", 400),
        ("x-request-timeout-ms: soon\r\n", 400),
    ],
)
def test_an_invalid_or_too_large_request_is_rejected_and_the_connection_closed(
    extra, status
):
    async def work(rig):
        rig.send("/a/1", extra=extra)
        found, fields, _ = await rig.read_response()
        assert found == status
        assert fields["connection"] == "close"
        assert await rig.reader.read() == b""
        assert rig.requests == []

    play(work)


def test_a_chunked_body_over_the_limit_gets_413():
    """Guards against closing the connection without a response."""

    async def work(rig):
        rig.send(
            "/a/1",
            extra="transfer-encoding: chunked\r\n",
            body="65\r\n" + "x" * 101 + "\r\n0\r\n\r\n",
        )
        status, fields, body = await rig.read_response()
        assert (status, fields["connection"]) == (413, "close")
        assert b"send a smaller one" in body
        assert rig.requests == []

    play(work)


def test_a_head_that_exceeds_its_timeout_gets_408():
    async def work(rig):
        rig.writer.write(b"GET /a/1 HTTP/1.1\r\n")
        await helper.until(
            lambda: any(s._head_started_at for s in rig.ingress._sessions)
        )
        rig.ingress.tick(rig.clock.now + LIMITS.head_timeout + 1)
        assert (await rig.read_response())[0] == 408
        assert await rig.reader.read() == b""

    play(work)


def test_a_changed_idle_timeout_applies_to_open_connections():
    async def work(rig):
        await helper.until(lambda: rig.ingress.connections == 1)
        rig.clock.now += 5.0
        rig.ingress.tick(rig.clock.now)
        assert rig.ingress.connections == 1
        rig.limits = dataclasses.replace(LIMITS, idle_timeout=3.0)
        rig.ingress.tick(rig.clock.now)
        assert await rig.reader.read() == b""

    play(work)


def test_a_connection_with_a_running_request_is_not_closed_as_idle():
    async def work(rig):
        rig.send("/a/1")
        await rig.wait_for_requests(1)
        rig.clock.now += 100.0
        rig.ingress.tick(rig.clock.now)
        rig.respond("/a/1")
        assert (await rig.read_response())[0] == 200

    play(work)


def test_shutdown_answers_received_requests_and_then_closes():
    async def work(rig):
        rig.send("/a/1", "/a/2")
        await rig.wait_for_requests(2)
        rig.ingress.stopping = True
        rig.respond("/a/1")
        rig.respond("/a/2")
        _, first, _ = await rig.read_response()
        _, second, _ = await rig.read_response()
        assert "connection" not in first
        assert second["connection"] == "close"
        assert await rig.reader.read() == b""

    play(work)


def test_a_large_body_is_streamed():
    async def work(rig):
        rig.limits = dataclasses.replace(LIMITS, body_bytes=1_000_000)
        size = 3 * exchange.MAX_INLINE_BYTES
        rig.send("/a/1", extra=f"content-length: {size}\r\n", body="x" * size)
        await rig.wait_for_requests(1)
        body = rig.requests[0].body
        assert not body.complete
        received = b"".join([chunk async for chunk in body.chunks()])
        assert len(received) == size
        rig.respond("/a/1")
        assert (await rig.read_response())[0] == 200
        rig.send("/a/2")
        await rig.wait_for_requests(2)

    play(work)


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(messages.Outcome.NOT_RUN, 503), (messages.Outcome.UNKNOWN, 502)],
)
def test_only_a_request_that_did_not_run_gets_retry_after(outcome, status):
    async def work(rig):
        result = exchange.not_run(messages.Reason.BUSY, 0.25)
        if outcome is messages.Outcome.UNKNOWN:
            result = exchange.unknown(messages.Reason.BUSY)

        async def handle(request, sink):
            return result

        rig.ingress.hooks = dataclasses.replace(
            rig.ingress.hooks, handle=handle
        )
        for session in rig.ingress._sessions:
            session._hooks = rig.ingress.hooks
        rig.send("/a/1")
        found, fields, _ = await rig.read_response()
        assert found == status
        assert ("retry-after" in fields) == (status == 503)

    play(work)


def call_on_data(rig: Rig, callback) -> None:
    """Calls `callback` in the event loop iteration in which bytes arrive."""
    (session,) = rig.ingress._sessions
    receive = session.connection.data_received

    def receive_and_call(data: bytes) -> None:
        receive(data)
        callback()

    session.connection.data_received = receive_and_call


@pytest.mark.parametrize("case", ["stop", "idle"])
def test_a_request_that_arrives_while_idle_connections_close_is_answered(case):
    """Otherwise the request would run and its response would be lost."""

    async def work(rig):
        await helper.until(lambda: rig.ingress.connections == 1)

        def close() -> None:
            if case == "stop":
                rig.ingress.stopping = True
                rig.ingress.close_idle()
            else:
                rig.ingress.tick(rig.clock.now + LIMITS.idle_timeout + 1)

        call_on_data(rig, close)
        rig.send("/a/1")
        await helper.until(lambda: rig.requests or rig.reader.at_eof())
        assert rig.requests, "closed with a complete request in its buffer"
        rig.respond("/a/1")
        assert (await rig.read_response())[0] == 200

    play(work)


def test_no_request_runs_after_a_response_with_connection_close():
    """The caller was told that no other response follows."""

    async def work(rig):
        handle = rig.ingress.hooks.handle
        may_finish = asyncio.Event()

        async def slow(request, sink):
            if request.path != b"/a/1":
                return await handle(request, sink)
            rig.requests.append(request)
            await sink.start(exchange.ResponseHead(200, (), -1))
            await may_finish.wait()
            await sink.end()
            return exchange.answered(200, "t")

        await helper.until(lambda: rig.ingress.connections == 1)
        (session,) = rig.ingress._sessions
        session._hooks = dataclasses.replace(rig.ingress.hooks, handle=slow)
        rig.ingress.stopping = True
        rig.send("/a/1")
        head = await rig.reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head
        observed = []
        call_on_data(rig, lambda: observed.append(True))
        rig.send("/a/2")
        await helper.until(lambda: observed and not session.connection.buffered)
        may_finish.set()
        rest = asyncio.create_task(rig.reader.read())
        await helper.until(lambda: rest.done() or len(rig.requests) > 1)
        assert [request.path for request in rig.requests] == [b"/a/1"]
        assert (await rest).endswith(b"0\r\n\r\n")

    play(work)


def test_an_overdue_head_does_not_abort_the_previous_response():
    async def work(rig):
        rig.send("/a/1")
        await rig.wait_for_requests(1)
        rig.writer.write(b"GET /a/2 HTTP/1.1\r\n")
        await helper.until(
            lambda: any(s._head_started_at for s in rig.ingress._sessions)
        )
        rig.ingress.tick(rig.clock.now + LIMITS.head_timeout + 1)
        rig.respond("/a/1")
        assert (await rig.read_response())[0] == 200
        assert (await rig.read_response())[0] == 408
        assert await rig.reader.read() == b""

    play(work)


def test_a_partial_request_keeps_its_connection_open_during_shutdown():
    async def work(rig):
        rig.send("/a/1")
        await rig.wait_for_requests(1)
        rig.writer.write(b"GET /a/2 HTTP/1.1\r\nhost: h\r\n")
        await helper.until(
            lambda: any(s._head_started_at for s in rig.ingress._sessions)
        )
        rig.ingress.stopping = True
        rig.respond("/a/1")
        _, first, _ = await rig.read_response()
        assert "connection" not in first
        rig.ingress.close_idle()
        rig.writer.write(b"\r\n")
        await rig.wait_for_requests(2)
        rig.respond("/a/2")
        _, second, _ = await rig.read_response()
        assert second["connection"] == "close"
        assert await rig.reader.read() == b""

    play(work)


class RecordingTransport:
    """A transport or connection that records what is written to it."""

    congested = False

    def __init__(self):
        self.written = b""

    def get_extra_info(self, name: str) -> None:
        return None

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        pass


def test_of_two_responses_to_one_request_the_latest_is_sent():
    """An attempt of a non-idempotent request may outlast the request."""

    async def work():
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        protocol.next_event()
        previous = asyncio.get_running_loop().create_future()
        transport = RecordingTransport()
        writer = response_writer.ResponseWriter(
            transport, lambda _: True, protocol, b"GET", previous
        )

        async def write_response(status: int) -> None:
            await writer.start(exchange.ResponseHead(status, (), 0))
            await writer.end()

        tasks = [
            asyncio.create_task(write_response(status)) for status in (200, 502)
        ]
        # Both tasks start to wait, in this order.
        await asyncio.sleep(0)
        previous.set_result(None)
        first, second = await asyncio.gather(*tasks, return_exceptions=True)
        assert isinstance(first, tcp_stream.ConnectionLost)
        assert second is None
        assert transport.written.startswith(b"HTTP/1.1 502")

    helper.run(work())


def test_a_closed_connection_discards_received_data():
    async def work():
        connection = tcp_stream.Connection()
        connection.connection_made(RecordingTransport())
        connection.data_received(b"before")
        connection.close()
        connection.data_received(b"after")
        assert await connection.read() == b""

    helper.run(work())


@pytest.mark.parametrize("case", ["stalls", "too large"])
def test_an_incomplete_body_does_not_abort_the_previous_response(
    monkeypatch, case
):
    """The previous request is still running and must complete."""
    monkeypatch.setattr(response_writer, "STALL_TIMEOUT", 0.05)
    body = {
        "stalls": b"content-length: 4\r\n\r\nab",
        "too large": b"transfer-encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
    }
    finished = []
    read_body = request_body.BodyReader.read

    async def recorded_read(*arguments):
        try:
            return await read_body(*arguments)
        finally:
            finished.append(True)

    async def work(rig):
        rig.send("/a/1")
        await rig.wait_for_requests(1)
        monkeypatch.setattr(request_body.BodyReader, "read", recorded_read)
        rig.writer.write(b"PUT /a/2 HTTP/1.1\r\nhost: h\r\n" + body[case])
        await helper.until(lambda: finished)
        for _ in range(100):
            await asyncio.sleep(0)
        assert rig.cancelled == [], "the first request was cancelled"
        rig.respond("/a/1")
        assert (await rig.read_response())[0] == 200

    play(work)


def test_a_caller_that_pipelines_continuously_does_not_delay_shutdown():
    """The caller always has two requests in progress."""

    async def work(rig):
        rig.send("/a/1", "/a/2")
        await rig.wait_for_requests(2)
        (session,) = rig.ingress._sessions
        rig.ingress.stopping = True
        for number in range(1, 10):
            rig.respond(f"/a/{number}")
            _, fields, _ = await rig.read_response()
            if "connection" in fields:
                break
            # The next request is read before the next response starts.
            read = []
            call_on_data(rig, lambda read=read: read.append(True))
            rig.send(f"/a/{number + 2}")
            await helper.until(
                lambda read=read: read and not session.connection.buffered
            )
        assert [request.path for request in rig.requests] == [b"/a/1", b"/a/2"]
        assert fields["connection"] == "close"
        assert await rig.reader.read() == b""

    play(work)


def test_the_fingerprint_of_a_large_body_covers_its_prefix_and_length():
    """The fingerprint does not depend on the sizes of the packets."""

    async def work(fleet):
        observed = []
        process = fleet.proxies[0]
        run = process.forwarder.run

        async def record_fingerprint(request, sink):
            observed.append(request.fingerprint)
            return await run(request, sink)

        process.ingress.hooks = dataclasses.replace(
            process.ingress.hooks, handle=record_fingerprint
        )
        size = 3 * exchange.MAX_INLINE_BYTES
        for body, split_at in ((b"a", 100), (b"a", size - 1), (b"b", 100)):
            await post_in_two_parts(process, body * size, split_at)
        assert observed[0] == observed[1] != observed[2]

    processes.play(work, [[]])


async def post_in_two_parts(
    process: proxy.Proxy, body: bytes, split_at: int
) -> None:
    """Sends a request whose body arrives in two parts."""
    address = tcp_stream.split_address(process.caller_address)
    reader, writer = await asyncio.open_connection(*address)
    head = b"POST /a/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
    writer.write(
        head + b"content-length: %d\r\n\r\n" % len(body) + body[:split_at]
    )
    await writer.drain()
    # The first part must be read separately.
    await helper.until(lambda: process.ingress.pending_connections)
    writer.write(body[split_at:])
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
