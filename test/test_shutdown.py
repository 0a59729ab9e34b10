"""Graceful shutdown: every caller gets its response before the exit."""

import asyncio
import contextlib
import dataclasses
import socket
import types

import pytest

from forklift import messages
from forklift import stop_deadlines
from forklift.shell import exchange
from forklift.shell import peer_server
from forklift.shell import proxy
from forklift.shell import shutdown
from forklift.shell import store_follower
from forklift.shell import tcp_stream
from forklift_lab import scripted
from test import helper
from test import processes

# Loop seconds when a shutdown began, and seconds after which it must exit.
STOP_AT = 100.0
EXIT_AFTER = 4.0


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.05)
    monkeypatch.setattr(shutdown, "LAME_DUCK_SECONDS", 0.2)


def test_shutdown_waits_for_requests_in_flight():
    async def work(fleet):
        for target in fleet.targets:
            target.script.append("hold")
        response = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: fleet.runs() == 1)
        stop = asyncio.create_task(fleet.proxies[0].stop())
        await helper.until(lambda: fleet.proxies[0].stopping)
        assert not fleet.proxies[0].ready()
        for target in fleet.targets:
            target.release.set()
        assert (await response).status == 200
        await stop
        # The other process goes on and sends nothing to the stopped one.
        responses = [await fleet.ask(1) for _ in range(3)]
        assert [response.status for response in responses] == [200] * 3

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], []], first=first)


def test_every_request_is_answered_before_the_exit():
    """A caller must not see its connection closed instead of a response."""

    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.by_name["t0"].controller.slots = 1
        fleet.targets[0].script.append("hold")
        running = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        one.forwarder.set_stop_deadlines(deadlines_in(one, 0.3))
        waiting = asyncio.create_task(fleet.ask())
        responses = [await running, await waiting]
        # The outcome of the first is unknown; the second did not run.
        assert [response.status for response in responses] == [502, 503]
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def test_requests_still_in_flight_at_the_deadline_are_answered(monkeypatch):
    """The status tells the callers whether their request may have run."""
    # Leaves the responses ample time to arrive before the exit.
    monkeypatch.setattr(stop_deadlines, "FINAL_RESPONSE_SECONDS", 4.0)

    async def work(fleet):
        one = fleet.proxies[0]
        set_grace(one, 5.0)
        one.local_targets.by_name["t0"].controller.slots = 1
        fleet.targets[0].script.append("hold")
        running = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        waiting = asyncio.create_task(fleet.ask())
        await helper.until(lambda: one.ingress.running == 2)
        stop = asyncio.create_task(one.stop())
        tasks = (running, waiting)
        await helper.until(
            lambda: stop.done() or all(task.done() for task in tasks)
        )
        assert all(task.done() for task in tasks)
        assert [(await task).status for task in tasks] == [502, 503]
        fleet.targets[0].release.set()
        await stop
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def deadlines_in(one: proxy.Proxy, seconds: float) -> stop_deadlines.Deadlines:
    """Returns deadlines that all pass after the same time."""
    at = one.clock.monotonic() + seconds
    return stop_deadlines.Deadlines(at, at, at, at)


def test_second_signal_gives_running_requests_more_time(monkeypatch):
    """Requests at no target are still rejected at the first deadline.

    The platform may count the grace period from the first signal and kill the
    process right after it.
    """
    monkeypatch.setattr(stop_deadlines, "FINAL_RESPONSE_SECONDS", 4.0)

    async def work(fleet):
        one = fleet.proxies[0]
        set_grace(one, 5.0)
        one.local_targets.by_name["t0"].controller.slots = 1
        fleet.targets[0].script.append("hold")
        running = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        waiting = asyncio.create_task(fleet.ask())
        await helper.until(lambda: one.ingress.running == 2)
        stop = Shutdown(one)
        await helper.until(lambda: one.stopping)
        # Only the first deadline can pass while this test runs.
        set_grace(one, 1000.0)
        one.request_stop()
        reject_at = one.stop_deadlines.reject_at
        await helper.until(lambda: waiting.done())
        assert (await waiting).status == 503
        await helper.until(lambda: one.clock.monotonic() > reject_at)
        await stop.polled_again()
        assert not running.done()
        fleet.targets[0].release.set()
        assert (await running).status == 200
        await stop.task
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def test_second_signal_extends_all_but_the_first_deadline():
    first = stop_deadlines.initial_deadlines(100.0, 6.0)
    extended = stop_deadlines.extended_deadlines(first, 102.1, 6.0)
    assert extended.reject_at == first.reject_at
    assert extended.finish_by == first.finish_by
    assert extended.abandon_at > first.abandon_at
    assert extended.exit_at == pytest.approx(
        102.1 + stop_deadlines.USABLE_GRACE_FRACTION * 6.0
    )


def set_grace(one: proxy.Proxy, seconds: float) -> None:
    platform = dataclasses.replace(one.settings.platform, grace=seconds)
    one.reload(dataclasses.replace(one.settings, platform=platform))


class Caller:
    """A caller with a persistent connection, driven by the test."""

    def __init__(self, one: proxy.Proxy):
        self._one = one

    async def __aenter__(self) -> "Caller":
        host, port = tcp_stream.split_address(self._one.caller_address)
        self.reader, self.writer = await asyncio.open_connection(host, port)
        await helper.until(lambda: self._one.ingress.connections)
        (self.session,) = self._one.ingress._sessions
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def send(self, data: bytes) -> None:
        """Sends data and waits until the process has parsed it."""
        received = []
        connection = self.session.connection
        original = connection.data_received

        def record(chunk: bytes) -> None:
            received.append(chunk)
            original(chunk)

        connection.transport.get_protocol().data_received = record
        self.writer.write(data)
        await helper.until(lambda: b"".join(received) == data)
        await helper.until(lambda: not connection.buffered)

    async def read_all(self) -> bytes:
        """Returns all data until the connection is closed."""
        async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
            return await self.reader.read()

    def abort(self) -> None:
        """Aborts the connection, as the exit of the process would."""
        self.session.connection.abort()


class Shutdown:
    """A shutdown that counts its polls for pending responses."""

    def __init__(self, one: proxy.Proxy):
        self.polls = 0
        self._one = one
        self._close_idle = one.ingress.close_idle
        one.ingress.close_idle = self._count_poll
        self.task = asyncio.create_task(one.stop())

    def _count_poll(self) -> None:
        self.polls += 1
        self._close_idle()

    async def stopped_accepting(self) -> None:
        await helper.until(lambda: not self._one._servers[0].is_serving())

    async def polled_again(self) -> None:
        """Waits for several more polls, or until the shutdown is over."""
        polls = self.polls
        await helper.until(lambda: self.task.done() or self.polls >= polls + 3)


REQUEST_HALVES = {
    "head": (b"GET /a/ HTTP/1.1\r\nho", b"st: h\r\n\r\n"),
    "body": (
        b"PUT /a/ HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nab",
        b"cd",
    ),
}


async def complete_after_accepting_stopped(
    fleet: processes.Fleet, half: str
) -> None:
    one = fleet.proxies[0]
    for target in fleet.targets:
        target.script.append("hold")
    first, rest = REQUEST_HALVES[half]
    async with Caller(one) as caller:
        await caller.send(first)
        stop = Shutdown(one)
        await stop.stopped_accepting()
        caller.writer.write(rest)
        await helper.until(lambda: fleet.runs() == 1)
        await stop.polled_again()
        assert not stop.task.done(), "the process exited without a response"
        for target in fleet.targets:
            target.release.set()
        response = await caller.read_all()
        await stop.task
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(scripted.BODY)


def test_partial_head_when_accepting_stops_is_answered():
    """A partially read request counts as pending.

    Otherwise the process exits after it has forwarded the request, and the
    caller gets no response.
    """
    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))

    async def work(fleet):
        await complete_after_accepting_stopped(fleet, "head")

    processes.play(work, [[], []], first=first)


def test_partial_body_when_accepting_stops_is_answered():
    """A request with a partially read body counts as pending."""
    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))

    async def work(fleet):
        await complete_after_accepting_stopped(fleet, "body")

    processes.play(work, [[], []], first=first)


@pytest.mark.parametrize("half", REQUEST_HALVES)
def test_request_that_stays_incomplete_is_rejected_before_the_exit(half):
    async def work(fleet):
        one = fleet.proxies[0]
        set_grace(one, 1.0)
        async with Caller(one) as caller:
            await caller.send(REQUEST_HALVES[half][0])
            await one.stop()
            caller.abort()
            response = await caller.read_all()
        assert response.startswith(b"HTTP/1.1 503")
        assert b"\r\nretry-after: " in response
        assert fleet.runs() == 0

    processes.play(work, [[]])


@contextlib.asynccontextmanager
async def slow_caller(one: proxy.Proxy):
    """A caller that does not read its response, which is fully written."""
    chunk = b"x" * 32_768
    written = bytearray()

    async def handle(request, sink):
        await sink.start(exchange.ResponseHead(200, (), -1))
        transport = caller.session.connection.transport
        while not transport.get_write_buffer_size():
            written.extend(chunk)
            await sink.data(chunk)
        await sink.end()
        return exchange.answered(200, "t")

    async with Caller(one) as caller:
        caller.session._hooks = dataclasses.replace(
            one.ingress.hooks, handle=handle
        )
        caller.writer.write(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
        await helper.until(lambda: written and not caller.session._writers)
        yield caller


def test_response_reaches_a_slow_caller_before_the_exit():
    """Data that is not in the socket buffer yet is lost at the exit."""

    async def work(fleet):
        one = fleet.proxies[0]
        async with slow_caller(one) as caller:
            stop = Shutdown(one)
            await stop.stopped_accepting()
            await stop.polled_again()
            assert not stop.task.done(), (
                "the process exited before the response was sent"
            )
            response = await caller.read_all()
            await stop.task
        assert response.endswith(b"0\r\n\r\n")

    processes.play(work, [[]])


def test_pipelined_request_does_not_destroy_the_closing_response():
    """Closing a connection with unread input resets it and loses output."""

    async def work(fleet):
        one = fleet.proxies[0]
        one.ingress.stopping = True
        async with slow_caller(one) as caller:
            caller.writer.write(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
            response = await caller.read_all()
        assert b"connection: close" in response
        assert response.endswith(b"0\r\n\r\n")
        assert fleet.runs() == 0

    processes.play(work, [[]])


def test_shutdown_loses_no_request_of_busy_callers():
    async def work(fleet):
        one = fleet.proxies[0]

        async def ask_until_closed(lost: list[int]) -> None:
            host, port = tcp_stream.split_address(one.caller_address)
            reader, writer = await asyncio.open_connection(host, port)
            keep_alive = True
            while keep_alive:
                writer.write(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    lost.append(1)
                    break
                assert head.startswith(b"HTTP/1.1 200")
                await reader.readexactly(len(scripted.BODY))
                keep_alive = b"connection: close" not in head
            writer.close()

        lost: list[int] = []
        callers = [
            asyncio.create_task(ask_until_closed(lost)) for _ in range(8)
        ]
        await helper.until(lambda: fleet.runs() > 20)
        await one.stop()
        for session in one.ingress._sessions:
            session.connection.abort()
        await asyncio.gather(*callers)
        assert lost == []

    processes.play(work, [[], [], []])


def test_data_written_to_peers_is_sent_before_the_exit(monkeypatch):
    """Data that is not in the socket buffer is lost with the connection."""
    polls = []
    unsent = peer_server.ServerConnection.unsent_bytes

    def record_poll(served) -> int:
        polls.append(served)
        return unsent.fget(served)

    monkeypatch.setattr(
        peer_server.ServerConnection, "unsent_bytes", property(record_poll)
    )
    # The peer reads slowly; the timeout must not pass meanwhile.
    monkeypatch.setattr(stop_deadlines, "FINAL_RESPONSE_SECONDS", 3.0)

    async def work(fleet):
        peer, one = fleet.proxies
        received = []
        connection = await peer.peer_connections.get("p1")
        connection.on_load_update = received.append
        connection._frames.transport.pause_reading()
        (server_connection,) = one.server_connections
        update = messages.LoadUpdate(
            "t" * 10_000, one.local_targets.by_name["t1"].controller.load(0.0)
        )
        sent = 0
        while not unsent.fget(server_connection):
            server_connection._frames.send(update)
            sent += 1
        stop = asyncio.create_task(one.stop())
        await helper.until(lambda: stop.done() or len(polls) >= 3)
        connection._frames.transport.resume_reading()
        await stop
        await helper.until(lambda: connection.lost)
        assert len([each for each in received if each == update]) == sent

    processes.play(work, [[], []])


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_buffered_response_behind_a_pending_one_is_sent_at_the_deadline(kind):
    """A pipelined response is complete, but the one before it is not."""

    async def work(fleet):
        one = fleet.proxies[0]
        fleet.targets[0].script.append("hold")
        async with Caller(one) as caller:
            await caller.send(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
            await helper.until(lambda: fleet.runs() == 1)
            await caller.send(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
            await helper.until(
                lambda: any(
                    request._claim.owner is not None
                    for request in one.forwarder._in_flight
                )
            )
            one.ingress.stopping = True
            one.forwarder.set_stop_deadlines(deadlines_in(one, 0.0))
            response = await caller.read_all()
        first, second = response.split(b"HTTP/1.1 ")[1:]
        assert first.startswith(b"502")
        assert second.startswith(b"200")
        assert second.endswith(scripted.BODY)

    first = processes.record(
        1, r=processes.route(kind, **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def test_request_after_the_deadline_is_rejected_and_not_forwarded():
    async def work(fleet):
        one = fleet.proxies[0]
        one.forwarder.set_stop_deadlines(deadlines_in(one, 0.0))
        assert (await fleet.ask()).status == 503
        assert one.forwarder.attempts == 0

    processes.play(work, [[]])


def test_socket_buffer_is_sent_to_peers_before_the_exit(monkeypatch):
    """Peers still send keep-alives and credit.

    Unread input would reset a closed connection and discard its socket buffer.
    """
    # The peer reads slowly; the timeout must not pass meanwhile.
    monkeypatch.setattr(shutdown, "PEER_CLOSE_TIMEOUT", helper.DEFAULT_TIMEOUT)

    async def work(fleet):
        peer, one = fleet.proxies
        received = []
        connection = await peer.peer_connections.get("p1")
        connection.on_load_update = received.append
        (server_connection,) = one.server_connections
        update = messages.LoadUpdate(
            "t" * 10_000, one.local_targets.by_name["t1"].controller.load(0.0)
        )
        # The peer reads nothing yet; the socket buffer holds everything.
        transport = connection._frames.transport
        transport.pause_reading()
        peer_socket = transport.get_extra_info("socket")
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sent = 10
        for _ in range(sent):
            server_connection._frames.send(update)
        assert server_connection.unsent_bytes == 0
        finished = []
        finish = server_connection.half_close
        server_connection.half_close = lambda: finished.append(finish())
        stop = asyncio.create_task(one.stop())
        await helper.until(lambda: finished or stop.done())
        connection.send_keepalive()
        transport.resume_reading()
        await stop
        await helper.until(lambda: connection.lost)
        assert len([each for each in received if each == update]) == sent

    processes.play(work, [[], []])


def test_frames_after_the_half_close_are_dropped_without_a_fault():
    """Guards against a peer's keep-alive that ends a connection being flushed.

    A write after the half-close raised, so that unsent data was discarded.
    """

    async def work(fleet):
        peer, one = fleet.proxies
        received = []
        connection = await peer.peer_connections.get("p1")
        connection.on_load_update = received.append
        connection._frames.transport.pause_reading()
        (server_connection,) = one.server_connections
        update = messages.LoadUpdate(
            "t" * 10_000, one.local_targets.by_name["t1"].controller.load(0.0)
        )
        sent = 0
        while not server_connection.unsent_bytes:
            server_connection._frames.send(update)
            sent += 1
        server_connection.half_close()
        server_connection.send_load_update(update, float("-inf"))
        arrived = []
        server_connection._frames.on_bytes = lambda: arrived.append(True)
        connection.send_keepalive()
        await helper.until(lambda: arrived)
        connection._frames.transport.resume_reading()
        await helper.until(lambda: connection.lost)
        assert len([each for each in received if each == update]) == sent

    processes.play(work, [[], []])


@pytest.mark.parametrize(
    ("last_response_at", "seconds"),
    [
        (float("-inf"), shutdown.PEER_CLOSE_TIMEOUT),
        (STOP_AT - 1.0, shutdown.PEER_CLOSE_TIMEOUT),
        (STOP_AT + 1.0, EXIT_AFTER),
    ],
    ids=["no response", "a response before", "a response during the stop"],
)
def test_silent_peer_delays_the_exit_only_for_a_response(
    monkeypatch, last_response_at, seconds
):
    """Guards against stops that last as long as any peer is silent."""
    clock = helper.FakeClock()
    began = clock.monotonic()

    async def advance(delay: float) -> None:
        clock.now += delay

    monkeypatch.setattr(asyncio, "sleep", advance)
    silent_peer = types.SimpleNamespace(
        last_response_at=last_response_at, half_close=lambda: None
    )
    exit_at = began + EXIT_AFTER
    stopping = types.SimpleNamespace(
        clock=clock,
        server_connections=[silent_peer],
        stop_deadlines=stop_deadlines.Deadlines(
            exit_at, exit_at, exit_at, exit_at
        ),
    )
    asyncio.run(shutdown._close_peer_connections(stopping, STOP_AT))
    waited = clock.monotonic() - began
    assert waited == pytest.approx(seconds, abs=2 * shutdown.POLL_INTERVAL)
