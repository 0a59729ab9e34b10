"""Callers: requests sent ahead, hang-ups, bounds, final answers."""

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
    """An ingress whose requests are answered by the test."""

    def __init__(self, known: bool = True):
        self.known = known
        self.limits = LIMITS
        self.requests: list[exchange.Request] = []
        self.gates: dict[str, asyncio.Future] = {}
        self.cancelled: list[str] = []
        self.clock = helper.FakeClock()
        self.ingress = ingress.Ingress(
            ingress.Hooks(
                header_names=header_fields.DEFAULT,
                limits=lambda: self.limits,
                find_route=self._find,
                is_configured=lambda: self.known,
                handle=self._handle,
                next_seq=lambda: 1,
                on_result=lambda *_: None,
                origin_service=lambda: "beside",
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

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        size = int(fields["content-length"])
        body = await self.reader.readexactly(size)
        return int(lines[0].split()[1]), fields, body

    async def arrived(self, count: int) -> None:
        await helper.until(lambda: len(self.requests) >= count)

    def let(self, path: str) -> None:
        self.gates[path].set_result(None)

    def _find(self, host: str, path: str, keys) -> ingress.RouteMatch | None:
        return (
            ingress.RouteMatch(ROUTE, "s") if path.startswith("/a/") else None
        )

    async def _handle(self, request, sink) -> exchange.Result:
        path = request.path.decode()
        self.requests.append(request)
        gate = asyncio.get_running_loop().create_future()
        self.gates[path] = gate
        try:
            await gate
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        body = path.encode()
        await sink.start(exchange.Head(200, (), len(body)))
        await sink.data(body)
        await sink.end()
        return exchange.answered(200, "t")


def play(work, **changes):
    async def run():
        async with Rig(**changes) as rig:
            await work(rig)

    helper.run(run())


def test_requests_sent_ahead_run_at_once_and_are_answered_in_order():
    async def work(rig):
        rig.send("/a/1", "/a/2", "/a/3")
        await rig.arrived(3)
        for path in ("/a/3", "/a/2", "/a/1"):
            rig.let(path)
        for path in (b"/a/1", b"/a/2", b"/a/3"):
            status, _, body = await rig.answer()
            assert (status, body) == (200, path)

    play(work)


def test_a_request_is_passed_on_as_it_came():
    async def work(rig):
        forged = "x-origin-service: forged\r\nx-expected-target: forged\r\n"
        hop = "connection: x-hop\r\nx-hop: 1\r\nx-kept: 2\r\n"
        deadline = "x-request-timeout-ms: 1500\r\n"
        rig.send("/a/b?c=%20d", extra=forged + hop + deadline)
        await rig.arrived(1)
        request = rig.requests[0]
        fields = dict(request.headers)
        assert request.path == b"/a/b?c=%20d"
        assert request.id == "id/a/b?c=%20d"
        assert fields[b"x-request-id"] == b"id/a/b?c=%20d"
        assert fields[b"x-kept"] == b"2"
        assert b"x-hop" not in fields
        assert b"x-origin-service" not in fields
        assert b"x-expected-target" not in fields
        assert request.origin == "beside"
        assert request.deadline == rig.clock.now + 1.5

    play(work)


def test_a_route_bounds_the_deadline():
    async def work(rig):
        rig.send("/a/1", extra="x-request-timeout-ms: 60000\r\n")
        await rig.arrived(1)
        assert rig.requests[0].deadline == rig.clock.now + ROUTE.timeout

    play(work)


def test_a_hang_up_cancels_all_requests_of_the_connection():
    async def work(rig):
        rig.send("/a/1", "/a/2")
        await rig.arrived(2)
        rig.writer.close()
        await helper.until(lambda: len(rig.cancelled) == 2)

    play(work)


def test_no_route_is_404_and_the_connection_stays():
    async def work(rig):
        rig.send("/b/")
        assert (await rig.answer())[0] == 404
        rig.send("/a/1")
        await rig.arrived(1)

    play(work)


def test_no_configuration_is_503_with_retry_after():
    async def work(rig):
        rig.send("/b/")
        status, fields, _ = await rig.answer()
        assert status == 503
        assert float(fields["retry-after"]) > 0

    play(work, known=False)


@pytest.mark.parametrize(
    ("extra", "status"),
    [
        (f"x-large: {'x' * 2000}\r\n", 431),
        ("content-length: 101\r\n", 413),
        ("transfer-encoding: chunked\r\ncontent-length: 4\r\n", 400),
        ("x-request-timeout-ms: soon\r\n", 400),
    ],
)
def test_what_is_out_of_bounds_is_refused_and_the_connection_closed(
    extra, status
):
    async def work(rig):
        rig.send("/a/1", extra=extra)
        found, fields, _ = await rig.answer()
        assert found == status
        assert fields["connection"] == "close"
        assert await rig.reader.read() == b""
        assert rig.requests == []

    play(work)


def test_a_head_that_takes_too_long_is_408():
    async def work(rig):
        rig.writer.write(b"GET /a/1 HTTP/1.1\r\n")
        await helper.until(
            lambda: any(s._head_since for s in rig.ingress._sessions)
        )
        rig.ingress.tick(rig.clock.now + LIMITS.head_timeout + 1)
        assert (await rig.answer())[0] == 408
        assert await rig.reader.read() == b""

    play(work)


def test_the_idle_bound_in_force_holds_for_kept_connections():
    async def work(rig):
        await helper.until(lambda: rig.ingress.connections == 1)
        rig.clock.now += 5.0
        rig.ingress.tick(rig.clock.now)
        assert rig.ingress.connections == 1
        rig.limits = dataclasses.replace(LIMITS, idle_timeout=3.0)
        rig.ingress.tick(rig.clock.now)
        assert await rig.reader.read() == b""

    play(work)


def test_a_connection_with_a_request_is_not_idle():
    async def work(rig):
        rig.send("/a/1")
        await rig.arrived(1)
        rig.clock.now += 100.0
        rig.ingress.tick(rig.clock.now)
        rig.let("/a/1")
        assert (await rig.answer())[0] == 200

    play(work)


def test_stopping_answers_what_was_read_and_then_closes():
    async def work(rig):
        rig.send("/a/1", "/a/2")
        await rig.arrived(2)
        rig.ingress.stopping = True
        rig.let("/a/1")
        rig.let("/a/2")
        _, first, _ = await rig.answer()
        _, second, _ = await rig.answer()
        assert "connection" not in first
        assert second["connection"] == "close"
        assert await rig.reader.read() == b""

    play(work)


def test_a_large_body_is_passed_on_as_it_is_taken():
    async def work(rig):
        rig.limits = dataclasses.replace(LIMITS, body_bytes=1_000_000)
        size = 3 * exchange.INLINE_BYTES
        rig.send("/a/1", extra=f"content-length: {size}\r\n", body="x" * size)
        await rig.arrived(1)
        body = rig.requests[0].body
        assert not body.complete
        taken = b"".join([piece async for piece in body.chunks()])
        assert len(taken) == size
        rig.let("/a/1")
        assert (await rig.answer())[0] == 200
        rig.send("/a/2")
        await rig.arrived(2)

    play(work)


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(messages.Outcome.NOT_RUN, 503), (messages.Outcome.UNKNOWN, 502)],
)
def test_only_what_has_not_run_is_told_to_come_back(outcome, status):
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
        found, fields, _ = await rig.answer()
        assert found == status
        assert ("retry-after" in fields) == (status == 503)

    play(work)


def in_the_turn_of(rig: Rig, act) -> None:
    """Does something in the turn of the loop in which bytes arrive."""
    (session,) = rig.ingress._sessions
    take = session.connection.data_received

    def taken(data: bytes) -> None:
        take(data)
        act()

    session.connection.data_received = taken


@pytest.mark.parametrize("how", ["stop", "idle"])
def test_a_request_that_arrives_as_idle_connections_are_closed_is_answered(how):
    """It was read, so it would be sent on and its answer would go nowhere."""

    async def work(rig):
        await helper.until(lambda: rig.ingress.connections == 1)

        def close() -> None:
            if how == "stop":
                rig.ingress.stopping = True
                rig.ingress.close_idle()
            else:
                rig.ingress.tick(rig.clock.now + LIMITS.idle_timeout + 1)

        in_the_turn_of(rig, close)
        rig.send("/a/1")
        await helper.until(lambda: rig.requests or rig.reader.at_eof())
        assert rig.requests, "closed, and a whole request was in its buffer"
        rig.let("/a/1")
        assert (await rig.answer())[0] == 200

    play(work)


def test_nothing_is_passed_on_behind_the_answer_that_closes():
    """Its caller was told that no further answer comes."""

    async def work(rig):
        handle = rig.ingress.hooks.handle
        going_on = asyncio.Event()

        async def slow(request, sink):
            if request.path != b"/a/1":
                return await handle(request, sink)
            rig.requests.append(request)
            await sink.start(exchange.Head(200, (), -1))
            await going_on.wait()
            await sink.end()
            return exchange.answered(200, "t")

        await helper.until(lambda: rig.ingress.connections == 1)
        (session,) = rig.ingress._sessions
        session._hooks = dataclasses.replace(rig.ingress.hooks, handle=slow)
        rig.ingress.stopping = True
        rig.send("/a/1")
        head = await rig.reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head
        seen = []
        in_the_turn_of(rig, lambda: seen.append(True))
        rig.send("/a/2")
        await helper.until(lambda: seen and not session.connection.buffered)
        going_on.set()
        rest = asyncio.create_task(rig.reader.read())
        await helper.until(lambda: rest.done() or len(rig.requests) > 1)
        assert [request.path for request in rig.requests] == [b"/a/1"]
        assert (await rest).endswith(b"0\r\n\r\n")

    play(work)


def test_a_late_head_does_not_cut_the_answer_before_it():
    async def work(rig):
        rig.send("/a/1")
        await rig.arrived(1)
        rig.writer.write(b"GET /a/2 HTTP/1.1\r\n")
        await helper.until(
            lambda: any(s._head_since for s in rig.ingress._sessions)
        )
        rig.ingress.tick(rig.clock.now + LIMITS.head_timeout + 1)
        rig.let("/a/1")
        assert (await rig.answer())[0] == 200
        assert (await rig.answer())[0] == 408
        assert await rig.reader.read() == b""

    play(work)


def test_a_half_read_request_keeps_its_connection_through_a_stop():
    async def work(rig):
        rig.send("/a/1")
        await rig.arrived(1)
        rig.writer.write(b"GET /a/2 HTTP/1.1\r\nhost: h\r\n")
        await helper.until(
            lambda: any(s._head_since for s in rig.ingress._sessions)
        )
        rig.ingress.stopping = True
        rig.let("/a/1")
        _, first, _ = await rig.answer()
        assert "connection" not in first
        rig.ingress.close_idle()
        rig.writer.write(b"\r\n")
        await rig.arrived(2)
        rig.let("/a/2")
        _, second, _ = await rig.answer()
        assert second["connection"] == "close"
        assert await rig.reader.read() == b""

    play(work)


class Taking:
    """A transport, or a connection, that takes what is written."""

    congested = False

    def __init__(self):
        self.written = b""

    def get_extra_info(self, name: str) -> None:
        return None

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        pass


def test_of_two_answers_that_wait_for_one_turn_the_newest_counts():
    """Work that must not repeat goes on when its request is given up."""

    async def work():
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        protocol.next_event()
        turn = asyncio.get_running_loop().create_future()
        taking = Taking()
        answer = response_writer.ResponseWriter(
            taking, lambda _: True, protocol, b"GET", turn
        )

        async def give(status: int) -> None:
            await answer.start(exchange.Head(status, (), 0))
            await answer.end()

        given = [asyncio.create_task(give(status)) for status in (200, 502)]
        # Each begins in its order.
        await asyncio.sleep(0)
        turn.set_result(None)
        first, second = await asyncio.gather(*given, return_exceptions=True)
        assert isinstance(first, tcp_stream.ConnectionLost)
        assert second is None
        assert taking.written.startswith(b"HTTP/1.1 502")

    helper.run(work())


def test_a_connection_that_was_closed_reads_nothing_more():
    async def work():
        connection = tcp_stream.Connection()
        connection.connection_made(Taking())
        connection.data_received(b"before")
        connection.close()
        connection.data_received(b"after")
        assert await connection.read() == b""

    helper.run(work())


@pytest.mark.parametrize("how", ["stalls", "too large"])
def test_a_broken_body_does_not_cut_the_answer_before_it(monkeypatch, how):
    """As with a late head: the request before it was passed on."""
    monkeypatch.setattr(response_writer, "STALL_TIMEOUT", 0.05)
    body = {
        "stalls": b"content-length: 4\r\n\r\nab",
        "too large": b"transfer-encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
    }
    ended = []
    whole = request_body.BodyReader.read

    async def noted(*arguments):
        try:
            return await whole(*arguments)
        finally:
            ended.append(True)

    async def work(rig):
        rig.send("/a/1")
        await rig.arrived(1)
        monkeypatch.setattr(request_body.BodyReader, "read", noted)
        rig.writer.write(b"PUT /a/2 HTTP/1.1\r\nhost: h\r\n" + body[how])
        await helper.until(lambda: ended)
        for _ in range(100):
            await asyncio.sleep(0)
        assert rig.cancelled == [], "the first was given up"
        rig.let("/a/1")
        assert (await rig.answer())[0] == 200

    play(work)


def test_a_caller_that_sends_ahead_learns_of_a_stop():
    """Two of its requests are always under way, up to the stop's bound."""

    async def work(rig):
        rig.send("/a/1", "/a/2")
        await rig.arrived(2)
        (session,) = rig.ingress._sessions
        rig.ingress.stopping = True
        for number in range(1, 10):
            rig.let(f"/a/{number}")
            _, fields, _ = await rig.answer()
            if "connection" in fields:
                break
            # What it sends on is read before the next answer begins.
            read = []
            in_the_turn_of(rig, lambda read=read: read.append(True))
            rig.send(f"/a/{number + 2}")
            await helper.until(
                lambda read=read: read and not session.connection.buffered
            )
        assert [request.path for request in rig.requests] == [b"/a/1", b"/a/2"]
        assert fields["connection"] == "close"
        assert await rig.reader.read() == b""

    play(work)


def test_large_bodies_are_told_apart_by_their_beginning_and_length():
    """However they are cut on the way; of one length, others go on."""

    async def work(fleet):
        seen = []
        one = fleet.proxies[0]
        run = one.forwarder.run

        async def note(request, sink):
            seen.append(request.fingerprint)
            return await run(request, sink)

        one.ingress.hooks = dataclasses.replace(one.ingress.hooks, handle=note)
        size = 3 * exchange.INLINE_BYTES
        for body, cut in ((b"a", 100), (b"a", size - 1), (b"b", 100)):
            await post(one, body * size, cut)
        assert seen[0] == seen[1] != seen[2]

    processes.play(work, [[]])


async def post(one: proxy.Proxy, body: bytes, cut: int) -> None:
    """Sends a request whose body comes in two pieces."""
    address = tcp_stream.split_address(one.caller_address)
    reader, writer = await asyncio.open_connection(*address)
    head = b"POST /a/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
    writer.write(head + b"content-length: %d\r\n\r\n" % len(body) + body[:cut])
    await writer.drain()
    # The first piece is read by itself.
    await helper.until(lambda: one.ingress.pending_connections)
    writer.write(body[cut:])
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
