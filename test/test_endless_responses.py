"""Bytes without end from a target, a health check or the store."""

import asyncio
import contextlib
import gc
import random
import tracemalloc

import h11
import pytest

from forklift import header_fields
from forklift import messages
from forklift.platform import store as platform_store
from forklift.shell import client
from forklift.shell import health_probe
from forklift.shell import response_events
from forklift.shell import store_follower
from forklift.shell import tcp_stream
from forklift.shell import upstream
from forklift_lab import scripted
from test import helper
from test import processes
from test import test_upstream

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNKS = 5000


class Received:
    """A connection on which many bytes have arrived at once."""

    error = None

    def __init__(self, data: bytes):
        self._data = data

    async def read(self) -> bytes:
        data, self._data = self._data, b""
        return data


def new_protocol() -> h11.Connection:
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(
        h11.Request(method="GET", target="/", headers=[("host", "h")])
    )
    protocol.send(h11.EndOfMessage())
    return protocol


def test_small_chunks_do_not_hold_the_event_loop(monkeypatch):
    """Guards against other requests that wait behind one response."""
    monkeypatch.setattr(response_events, "PAUSE_SECONDS", 0.0)

    async def work():
        data = HEAD + b"1\r\nx\r\n" * SMALL_CHUNKS + b"0\r\n\r\n"
        events = response_events.ResponseEvents(Received(data))
        protocol, turns, handled = new_protocol(), 0, 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        while not isinstance(await events.next(protocol), h11.EndOfMessage):
            handled += 1
        counting.cancel()
        assert handled > SMALL_CHUNKS
        assert turns >= SMALL_CHUNKS // response_events.SMALL_CHUNKS_PER_TURN

    helper.run(work())


def test_interim_responses_before_a_response_are_skipped():
    async def work():
        data = INTERIM * 2 + b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        events = response_events.ResponseEvents(Received(data))
        event = await events.next(new_protocol())
        assert event.status_code == 200

    helper.run(work())


def test_target_that_sends_interim_responses_for_ever_is_given_up():
    """Guards against a request that waits until its deadline."""

    async def work():
        async with scripted.ScriptedTarget("interim-forever") as target:
            pool = test_upstream.new_pool(target)
            with pytest.raises(upstream.IncompleteResponse) as raised:
                async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
                    await test_upstream.execute(
                        pool, test_upstream.request(), test_upstream.Sink()
                    )
            assert raised.value.reason is messages.Reason.TARGET_BROKE
            assert pool.open_count == 0

    helper.run(work())


def test_others_are_served_while_a_target_sends_chunks_without_end():
    async def work(fleet):
        fleet.targets[0].script += ["chunks-forever"] * 3
        # The route does not repeat requests, so each gets one response.
        endless = [asyncio.create_task(fleet.ask()) for _ in range(3)]
        await helper.until(lambda: fleet.runs() >= 3)
        for _ in range(20):
            assert (await fleet.ask()).status == 200
        for answer in await asyncio.gather(*endless, return_exceptions=True):
            cut = isinstance(answer, client.RequestFailed)
            assert cut or answer.status in (200, 502, 504)
        assert fleet.proxies[0].local_targets.running == 0

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 3000})
    )
    processes.play(work, [[]], first=first)


class EndlessServer:
    """Answers each connection with bytes that never end."""

    def __init__(self, start: bytes, part: bytes):
        self._start, self._part = start, part

    async def __aenter__(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while not writer.is_closing():
                writer.write(self._part)
                await writer.drain()
        except ConnectionError:
            writer.close()


def test_health_check_that_never_ends_fails_at_once(monkeypatch):
    """Guards against a health check that holds the event loop."""
    monkeypatch.setattr(health_probe, "PROBE_TIMEOUT_SECONDS", 600.0)

    async def work():
        async with EndlessServer(b"", INTERIM * 100) as address:
            async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
                result = await health_probe.check(
                    address, "/health", header_fields.DEFAULT
                )
            assert result is None

    helper.run(work())


@pytest.mark.parametrize(
    "start", [HEAD, b"HTTP/1.1 200 OK\r\n\r\n"], ids=["chunks", "unframed"]
)
def test_response_of_the_store_that_never_ends_is_bounded(start, monkeypatch):
    """Guards against memory that grows until the timeout."""
    monkeypatch.setattr(client, "MAX_BODY_BYTES", 1_000_000)
    size = 65_536
    part = b"x" * size
    if start is HEAD:
        part = b"%x\r\n%s\r\n" % (size, part)

    async def work():
        async with EndlessServer(start, part) as address:
            store = client.Client(address)
            with pytest.raises(client.RequestFailed, match="too many bytes"):
                await store.request("GET", "/", timeout=helper.DEFAULT_TIMEOUT)

    helper.run(work())


def test_interim_responses_of_the_store_are_bounded():
    async def work():
        async with EndlessServer(b"", INTERIM * 100) as address:
            store = client.Client(address)
            with pytest.raises(client.RequestFailed, match="interim"):
                await store.request("GET", "/", timeout=helper.DEFAULT_TIMEOUT)

    helper.run(work())


def test_failed_reads_of_the_store_leave_no_bytes(monkeypatch):
    """Each failed read kept its bytes until the next garbage collection."""
    monkeypatch.setattr(client, "MAX_BODY_BYTES", 1 << 20)
    monkeypatch.setattr(store_follower, "MAX_BACKOFF", 0.01)
    failures = 20

    async def send_without_end(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read(100)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(b"x" * 65_536)
                await writer.drain()
        writer.close()

    async def work():
        server = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        store = platform_store.Store(f"{host}:{port}")
        follower = store_follower.StoreFollower(
            store, random.Random(1), lambda *_: None, lambda: 1, lambda: True
        )
        tracemalloc.start()
        gc.disable()
        try:
            reading = asyncio.create_task(follower.run())
            await helper.until(lambda: store.failures >= failures)
            snapshot = tracemalloc.take_snapshot()
        finally:
            gc.enable()
            tracemalloc.stop()
            reading.cancel()
            server.close()
        bodies = snapshot.filter_traces(
            [tracemalloc.Filter(True, client.__file__)]
        )
        kept = sum(trace.size for trace in bodies.traces)
        # One read may be under way, and is copied as it grows.
        assert kept < 3 * client.MAX_BODY_BYTES

    helper.run(work())


@scripted.fault("blocks-forever")
async def _blocks_forever(connection, received) -> None:
    await connection.release.wait()
    fields = (b"transfer-encoding: chunked",)
    connection.send(
        connection.answer(received, body=b"", fields=fields, framed=False)
    )
    block = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    while not connection.writer.is_closing():
        connection.send(block)
        await connection.writer.drain()


def test_response_without_end_is_broken_off_once_its_caller_is_gone():
    """It was read and discarded until the timeout of the route."""

    async def work(fleet):
        (target,), (one,) = fleet.targets, fleet.proxies
        target.script.append("blocks-forever")
        host, port = tcp_stream.split_address(one.caller_address)
        _, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /a/ HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"
        )
        await helper.until(lambda: fleet.runs() == 1)
        writer.close()
        await helper.until(lambda: not one.ingress.connections)
        target.release.set()
        await helper.until(lambda: not one.local_targets.running)
        assert target.hung_up
        assert (await fleet.ask()).status == 200

    # The timeout is longer than that of the test.
    changes = {"timeout-ms": 1000 * 10 * helper.DEFAULT_TIMEOUT}
    first = processes.record(1, r=processes.route("non_idempotent", **changes))
    processes.play(work, [[]], first=first)
