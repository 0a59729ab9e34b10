"""A planned stop: who is owed an answer gets it before the process ends."""

import asyncio
import contextlib
import dataclasses
import socket

import pytest

from forklift import messages
from forklift.shell import exchange
from forklift.shell import peer_server
from forklift.shell import proxy
from forklift.shell import shutdown
from forklift.shell import store_follower
from forklift.shell import tcp_stream
from forklift_lab import scripted
from test import helper
from test import processes


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    """Pauses that only tests need shorter."""
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.05)
    monkeypatch.setattr(shutdown, "LAME_DUCK_TIME", 0.2)


def test_a_planned_stop_cuts_nothing_off():
    async def work(fleet):
        for target in fleet.targets:
            target.script.append("hold")
        asked = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: fleet.runs() == 1)
        stopping = asyncio.create_task(fleet.proxies[0].stop())
        await helper.until(lambda: fleet.proxies[0].stopping)
        assert not fleet.proxies[0].ready()
        for target in fleet.targets:
            target.release.set()
        assert (await asked).status == 200
        await stopping
        # The other one serves on and sends nothing to the one that stopped.
        answers = [await fleet.ask(1) for _ in range(3)]
        assert [answer.status for answer in answers] == [200] * 3

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], []], first=first)


def test_nothing_is_left_unanswered_when_a_process_ends():
    """A caller that keeps its connection must not see it closed instead."""

    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.by_name["t0"].controller.slots = 1
        fleet.targets[0].script.append("hold")
        held = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        one.forwarder.set_stop_deadlines(ends_in(one, 0.3))
        late = asyncio.create_task(fleet.ask())
        answers = [await held, await late]
        # The first may have run; that the second has not is told, and true.
        assert [answer.status for answer in answers] == [502, 503]
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def test_a_planned_stop_answers_what_it_can_not_wait_for(monkeypatch):
    """Its callers are told whether it may have run; none is just cut off."""
    # Long before the end: an answer that is due has ample time to arrive.
    monkeypatch.setattr(shutdown, "FINAL_RESPONSE_TIME", 4.0)

    async def work(fleet):
        one = fleet.proxies[0]
        give_grace(one, 5.0)
        one.local_targets.by_name["t0"].controller.slots = 1
        fleet.targets[0].script.append("hold")
        runs = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        waits = asyncio.create_task(fleet.ask())
        await helper.until(lambda: one.ingress.running == 2)
        stopping = asyncio.create_task(one.stop())
        asked = (runs, waits)
        await helper.until(
            lambda: stopping.done() or all(one.done() for one in asked)
        )
        assert all(one.done() for one in asked)
        assert [(await one).status for one in asked] == [502, 503]
        fleet.targets[0].release.set()
        await stopping
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def ends_in(one: proxy.Proxy, seconds: float) -> shutdown.Deadlines:
    """The bounds of a process in which nobody is answered later."""
    by = one.clock.monotonic() + seconds
    return shutdown.Deadlines(by, by, by)


def test_a_second_signal_gives_what_runs_the_time_that_it_brings(monkeypatch):
    """A process in a second series of restarts was told to stop twice.

    It had SIGTERM at 24.600 s and again at 26.700. A request that a target had
    run since 24.001, and would until 33.99, was answered 502 at 29.800, the
    end of the first signal's grace of 6 s, though the second had 2.1 s to go.
    What no target has is refused at the first bound all the same: should the
    platform count from the first signal, the process is killed right after it.
    """
    monkeypatch.setattr(shutdown, "FINAL_RESPONSE_TIME", 4.0)

    async def work(fleet):
        one = fleet.proxies[0]
        give_grace(one, 5.0)
        one.local_targets.by_name["t0"].controller.slots = 1
        fleet.targets[0].script.append("hold")
        runs = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        waits = asyncio.create_task(fleet.ask())
        await helper.until(lambda: one.ingress.running == 2)
        stop = Stop(one)
        await helper.until(lambda: one.stopping)
        # So long that the first bound alone can come while this test runs.
        give_grace(one, 1000.0)
        one.request_stop()
        first = one.stop_deadlines.reject_at
        await helper.until(lambda: waits.done())
        assert (await waits).status == 503
        await helper.until(lambda: one.clock.monotonic() > first)
        await stop.looked_on()
        assert not runs.done()
        fleet.targets[0].release.set()
        assert (await runs).status == 200
        await stop.task
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def test_a_second_signal_never_shortens_what_the_first_gave():
    first = shutdown.initial_deadlines(100.0, 6.0)
    again = shutdown.extended_deadlines(first, 102.1, 6.0)
    assert again.reject_at == first.reject_at
    assert again.resolve_at > first.resolve_at
    assert again.exit_at == pytest.approx(102.1 + shutdown.USABLE_GRACE * 6.0)


def give_grace(one: proxy.Proxy, seconds: float) -> None:
    """Changes the grace of a process."""
    platform = dataclasses.replace(one.settings.platform, grace=seconds)
    one.reload(dataclasses.replace(one.settings, platform=platform))


class Caller:
    """A caller that keeps its connection and sends bytes as a test says."""

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
        """Sends bytes, and waits until they were taken."""
        seen = []
        connection = self.session.connection
        take = connection.data_received

        def note(piece: bytes) -> None:
            seen.append(piece)
            take(piece)

        connection.transport.get_protocol().data_received = note
        self.writer.write(data)
        await helper.until(lambda: b"".join(seen) == data)
        await helper.until(lambda: not connection.buffered)

    async def answer(self) -> bytes:
        """All that comes until the connection ends."""
        async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
            return await self.reader.read()

    def process_ends(self) -> None:
        """What is still open breaks with the process."""
        self.session.connection.abort()


class Stop:
    """A planned stop whose looks are counted."""

    def __init__(self, one: proxy.Proxy):
        self.looks = 0
        self._one = one
        self._close_idle = one.ingress.close_idle
        one.ingress.close_idle = self._look
        self.task = asyncio.create_task(one.stop())

    def _look(self) -> None:
        self.looks += 1
        self._close_idle()

    async def past_its_time_for_callers(self) -> None:
        await helper.until(lambda: not self._one._servers[0].is_serving())

    async def looked_on(self) -> None:
        """It looked again and again, or it is over."""
        looks = self.looks
        await helper.until(lambda: self.task.done() or self.looks >= looks + 3)


HALVES = {
    "head": (b"GET /a/ HTTP/1.1\r\nho", b"st: h\r\n\r\n"),
    "body": (
        b"PUT /a/ HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nab",
        b"cd",
    ),
}


async def finish_at_the_last_look(fleet: processes.Fleet, half: str) -> None:
    one = fleet.proxies[0]
    for target in fleet.targets:
        target.script.append("hold")
    first, rest = HALVES[half]
    async with Caller(one) as caller:
        await caller.send(first)
        stop = Stop(one)
        await stop.past_its_time_for_callers()
        caller.writer.write(rest)
        await helper.until(lambda: fleet.runs() == 1)
        await stop.looked_on()
        assert not stop.task.done(), "it ended and owed an answer"
        for target in fleet.targets:
            target.release.set()
        answer = await caller.answer()
        await stop.task
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(scripted.BODY)


def test_a_request_that_is_half_read_at_the_last_look_is_answered():
    """A process that had SIGTERM ended while a target had its request.

    The signal came at 4.400 s, the whole request at 7.005, its target
    refused it as gone at 7.045, and at 7.085 its caller's connection
    ended without an answer, though the stop had until 9.8. A stop that
    counts only what runs does not see a request that it still reads: its
    last look finds nothing, and then the request is sent on.
    """
    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))

    async def work(fleet):
        await finish_at_the_last_look(fleet, "head")

    processes.play(work, [[], []], first=first)


def test_a_body_that_is_half_read_at_the_last_look_is_answered():
    """The same as with half a head: the stop did not count it."""
    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))

    async def work(fleet):
        await finish_at_the_last_look(fleet, "body")

    processes.play(work, [[], []], first=first)


@pytest.mark.parametrize("half", HALVES)
def test_a_request_that_stays_half_read_is_refused_before_the_end(half):
    async def work(fleet):
        one = fleet.proxies[0]
        give_grace(one, 1.0)
        async with Caller(one) as caller:
            await caller.send(HALVES[half][0])
            await one.stop()
            caller.process_ends()
            answer = await caller.answer()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"\r\nretry-after: " in answer
        assert fleet.runs() == 0

    processes.play(work, [[]])


@contextlib.asynccontextmanager
async def slow_caller(one: proxy.Proxy):
    """A caller that has not taken its answer, which is written."""
    piece = b"x" * 32_768
    written = bytearray()

    async def handle(request, sink):
        await sink.start(exchange.Head(200, (), -1))
        transport = caller.session.connection.transport
        while not transport.get_write_buffer_size():
            written.extend(piece)
            await sink.data(piece)
        await sink.end()
        return exchange.answered(200, "t")

    async with Caller(one) as caller:
        caller.session._hooks = dataclasses.replace(
            one.ingress.hooks, handle=handle
        )
        caller.writer.write(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
        await helper.until(lambda: written and not caller.session._writers)
        yield caller


def test_an_answer_reaches_a_slow_caller_before_the_end():
    """What the system has not taken yet would be lost with the process."""

    async def work(fleet):
        one = fleet.proxies[0]
        async with slow_caller(one) as caller:
            stop = Stop(one)
            await stop.past_its_time_for_callers()
            await stop.looked_on()
            assert not stop.task.done(), "it ended before its answer was taken"
            answer = await caller.answer()
            await stop.task
        assert answer.endswith(b"0\r\n\r\n")

    processes.play(work, [[]])


def test_bytes_behind_the_closing_answer_do_not_destroy_it():
    """A connection closed with unread bytes is reset, and unsent ones lost."""

    async def work(fleet):
        one = fleet.proxies[0]
        one.ingress.stopping = True
        async with slow_caller(one) as caller:
            caller.writer.write(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
            answer = await caller.answer()
        assert b"connection: close" in answer
        assert answer.endswith(b"0\r\n\r\n")
        assert fleet.runs() == 0

    processes.play(work, [[]])


def test_callers_that_ask_without_a_pause_lose_nothing_to_a_stop():
    async def work(fleet):
        one = fleet.proxies[0]

        async def ask_on(lost: list[int]) -> None:
            host, port = tcp_stream.split_address(one.caller_address)
            reader, writer = await asyncio.open_connection(host, port)
            open_ = True
            while open_:
                writer.write(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    lost.append(1)
                    break
                assert head.startswith(b"HTTP/1.1 200")
                await reader.readexactly(len(scripted.BODY))
                open_ = b"connection: close" not in head
            writer.close()

        lost: list[int] = []
        asking = [asyncio.create_task(ask_on(lost)) for _ in range(8)]
        await helper.until(lambda: fleet.runs() > 20)
        await one.stop()
        for session in one.ingress._sessions:
            session.connection.abort()
        await asyncio.gather(*asking)
        assert lost == []

    processes.play(work, [[], [], []])


def test_what_was_written_for_peers_reaches_them_before_the_end(monkeypatch):
    """An answer that the system has not taken would be lost with the link."""
    looks = []
    unsent = peer_server.ServerConnection.unsent

    def look(served) -> int:
        looks.append(served)
        return unsent.fget(served)

    monkeypatch.setattr(peer_server.ServerConnection, "unsent", property(look))
    # The peer takes it in its own time; the bound is for silent ones.
    monkeypatch.setattr(shutdown, "FINAL_RESPONSE_TIME", 3.0)

    async def work(fleet):
        entry, one = fleet.proxies
        taken = []
        link = await entry.peer_connections.get("p1")
        link.on_load_update = taken.append
        link._frames.transport.pause_reading()
        (served,) = one.served
        news = messages.LoadUpdate(
            "t" * 10_000, one.local_targets.by_name["t1"].controller.load(0.0)
        )
        told = 0
        while not unsent.fget(served):
            served._frames.send(news)
            told += 1
        stopping = asyncio.create_task(one.stop())
        await helper.until(lambda: stopping.done() or len(looks) >= 3)
        link._frames.transport.resume_reading()
        await stopping
        await helper.until(lambda: link.lost)
        assert len([one for one in taken if one == news]) == told

    processes.play(work, [[], []])


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_an_answer_that_waits_for_its_turn_is_given_at_the_end(kind):
    """It is ready, and only the one before it has none."""

    async def work(fleet):
        one = fleet.proxies[0]
        fleet.targets[0].script.append("hold")
        async with Caller(one) as caller:
            await caller.send(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
            await helper.until(lambda: fleet.runs() == 1)
            await caller.send(b"GET /a/ HTTP/1.1\r\nhost: h\r\n\r\n")
            await helper.until(
                lambda: any(
                    passage._claim.owner is not None
                    for passage in one.forwarder._in_flight
                )
            )
            one.ingress.stopping = True
            one.forwarder.set_stop_deadlines(ends_in(one, 0.0))
            answer = await caller.answer()
        first, second = answer.split(b"HTTP/1.1 ")[1:]
        assert first.startswith(b"502")
        assert second.startswith(b"200")
        assert second.endswith(scripted.BODY)

    first = processes.record(
        1, r=processes.route(kind, **{"timeout-ms": 60000})
    )
    processes.play(work, [[]], first=first)


def test_a_request_read_after_the_end_is_refused_and_sent_nowhere():
    async def work(fleet):
        one = fleet.proxies[0]
        one.forwarder.set_stop_deadlines(ends_in(one, 0.0))
        assert (await fleet.ask()).status == 503
        assert one.forwarder.attempts == 0

    processes.play(work, [[]])


def test_what_the_system_took_for_peers_reaches_them_at_the_end(monkeypatch):
    """A peer sends beats and credit; a closed connection answers with a reset,
    and what the system still holds for the peer is lost."""
    # The peer takes it in its own time; the bound is for silent ones.
    monkeypatch.setattr(shutdown, "PEER_CLOSE_TIMEOUT", helper.DEFAULT_TIMEOUT)

    async def work(fleet):
        entry, one = fleet.proxies
        taken = []
        link = await entry.peer_connections.get("p1")
        link.on_load_update = taken.append
        (served,) = one.served
        news = messages.LoadUpdate(
            "t" * 10_000, one.local_targets.by_name["t1"].controller.load(0.0)
        )
        # The peer is slow to take; the system has room for all of it.
        transport = link._frames.transport
        transport.pause_reading()
        end = transport.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        told = 10
        for _ in range(told):
            served._frames.send(news)
        assert served.unsent == 0
        finished = []
        finish = served.half_close
        served.half_close = lambda: finished.append(finish())
        stop = asyncio.create_task(one.stop())
        await helper.until(lambda: finished or stop.done())
        link.send_keepalive()
        transport.resume_reading()
        await stop
        await helper.until(lambda: link.lost)
        assert len([each for each in taken if each == news]) == told

    processes.play(work, [[], []])
