"""Client of the store against the simulated store, including failures."""

import asyncio
import contextlib
import random

import pytest

from forklift import errors
from forklift import interfaces
from forklift.platform import store as adapter
from forklift.shell import server
from forklift.shell import store_follower
from forklift.shell import tcp_stream
from forklift_lab import store as standin
from test import helper


class StoreFixture:
    """Simulated store and its client, connected over a real socket."""

    async def __aenter__(self) -> "StoreFixture":
        self.store = standin.Store()
        self.server = server.Server(self.store.handle)
        await self.server.open("127.0.0.1:0")
        self.adapter = adapter.Store(self.server.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.adapter.close()
        self.server.abort()


def record(version: int) -> dict:
    return {"version": version, "routes": {}, "services": {}}


def test_newest_configuration_is_read():
    async def work():
        async with StoreFixture() as fixture:
            assert (await fixture.adapter.configuration()).record is None
            fixture.store.configure(record(3))
            fixture.store.configure(record(5))
            found = await fixture.adapter.configuration()
            assert adapter.decode_configuration(found.record).version == 5
            assert found.position == 2

    helper.run(work())


def test_next_configuration_is_awaited():
    async def work():
        async with StoreFixture() as fixture:
            first = await fixture.adapter.configuration()
            waiting = asyncio.create_task(
                fixture.adapter.next_configuration(first.position, 20.0)
            )
            calls = fixture.store.calls
            await helper.until(lambda: fixture.store.calls > calls)
            fixture.store.configure(record(7))
            found = await waiting
            assert adapter.decode_configuration(found.record).version == 7
            again = await fixture.adapter.next_configuration(
                found.position, 0.0
            )
            assert again.record is None
            assert again.position == found.position

    helper.run(work())


def test_read_of_discarded_records_raises_gap():
    async def work():
        async with StoreFixture() as fixture:
            fixture.store.configure(record(7))
            fixture.store.forget()
            with pytest.raises(errors.RegistryGap):
                await fixture.adapter.next_configuration(0, 0.0)
            found = await fixture.adapter.configuration()
            assert adapter.decode_configuration(found.record).version == 7

    helper.run(work())


@pytest.mark.parametrize("fault", ["away", "refusing", "losing"])
def test_store_failure_raises_unavailable(fault):
    async def work():
        async with StoreFixture() as fixture:
            setattr(fixture.store, fault, 503 if fault == "refusing" else True)
            with pytest.raises(errors.RegistryUnavailable):
                await fixture.adapter.announce("a", b"x")

    helper.run(work())


def test_announcement_replaces_an_earlier_one():
    async def work():
        async with StoreFixture() as fixture:
            await fixture.adapter.announce("a", b"1")
            await fixture.adapter.announce("b", b"2")
            await fixture.adapter.announce("a", b"3")
            read = await fixture.adapter.members()
            assert read.data_by_name == {"a": b"3", "b": b"2"}

    helper.run(work())


def test_members_are_read_in_pages(monkeypatch):
    monkeypatch.setattr(standin, "MAX_PAGE", 2)

    async def work():
        async with StoreFixture() as fixture:
            for name in "abcde":
                await fixture.adapter.announce(name, b"1")
            read = await fixture.adapter.members()
            assert sorted(read.data_by_name) == list("abcde")

    helper.run(work())


def test_follower_recovers_from_an_outage_and_a_gap(monkeypatch):
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.01)

    async def work():
        async with StoreFixture() as fixture:
            seen = []
            follower = store_follower.StoreFollower(
                fixture.adapter,
                random.Random(1),
                lambda data: seen.append(
                    adapter.decode_configuration(data).version
                ),
            )
            task = asyncio.create_task(follower.run())
            fixture.store.configure(record(1))
            await helper.until(lambda: seen == [1])
            fixture.store.go_away()
            calls = fixture.store.calls
            await helper.until(lambda: fixture.store.calls > calls)
            fixture.store.configure(record(2))
            fixture.store.forget()
            fixture.store.away = False
            await helper.until(lambda: seen[-1] == 2)
            task.cancel()

    helper.run(work())


class HangingStore:
    """Registry whose long polls never complete."""

    def __init__(self):
        self.waits: list[float] = []
        # Number of reads that do not wait.
        self.first_reads = 0

    async def configuration(self) -> interfaces.ConfigurationRead:
        self.first_reads += 1
        return interfaces.ConfigurationRead(None, 0)

    async def next_configuration(
        self, position: int, wait: float
    ) -> interfaces.ConfigurationRead:
        self.waits.append(wait)
        return await asyncio.Future()


def test_read_restarts_if_a_peer_has_a_newer_version(monkeypatch):
    """A read can hang on a dead connection while peers have a newer version."""
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.0)

    async def work():
        store = HangingStore()
        follower = store_follower.StoreFollower(
            store, random.Random(1), [].append
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: len(store.waits) == 1)
        follower.handle_newer_peer_version(100.0)
        await helper.until(lambda: len(store.waits) == 2)
        assert follower.unavailable
        follower.handle_newer_peer_version(
            100.0 + store_follower.RESTART_INTERVAL / 2
        )
        for _ in range(100):
            await asyncio.sleep(0)
        assert len(store.waits) == 2
        follower.handle_newer_peer_version(
            100.0 + store_follower.RESTART_INTERVAL
        )
        await helper.until(lambda: len(store.waits) == 3)
        task.cancel()

    helper.run(work())


@pytest.mark.parametrize("processes", [1, 5, 21, 31, 300])
def test_some_process_always_restarts_its_read_soon(processes):
    """If all connections to the store are dead, only a new read succeeds."""

    async def first_wait(count: int) -> float:
        store = HangingStore()
        follower = store_follower.StoreFollower(
            store, random.Random(count), [].append, lambda: processes
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: store.waits)
        task.cancel()
        return store.waits[0]

    waits = [helper.run(first_wait(count)) for count in range(20)]
    longest = store_follower.MAX_POLL_SECONDS * (1 + store_follower.POLL_JITTER)
    assert max(waits) <= longest
    mean = sum(waits) / len(waits)
    assert mean / processes <= 1.1 * max(
        store_follower.POLL_SECONDS_PER_READER,
        store_follower.MIN_POLL_SECONDS / processes,
    )


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("as-of=0", 200),
        ("as-of=1", 412),
        ("producer=p&epoch=1&sequence=1", 200),
    ],
)
def test_simulated_store_supports_conditional_appends(query, status):
    async def work():
        store = standin.Store()
        assert (await append(store, query)).status == status

    helper.run(work())


def test_simulated_store_fences_producers_and_deduplicates():
    async def work():
        store = standin.Store()
        first = await append(store, "producer=p&epoch=2&sequence=1")
        again = await append(store, "producer=p&epoch=2&sequence=1")
        assert again.body == first.body
        gap = await append(store, "producer=p&epoch=2&sequence=3")
        assert (gap.status, b"seq" in gap.body) == (409, True)
        old = await append(store, "producer=p&epoch=1&sequence=9")
        assert (old.status, b"fenced" in old.body) == (409, True)

    helper.run(work())


async def append(store: standin.Store, query: str) -> server.Response:
    target = f"/log-append?topic=t&part=0&{query}"
    request = server.Request("POST", target, (), b"\0\0\0\1x")
    return await store.handle(request)


def test_hung_read_restarts_over_a_new_connection():
    """All pooled connections may be as dead as the one of the hung read."""

    async def work():
        opened = []

        def accept(connection):
            opened.append(connection)
            fixture.server._accept(connection)

        async with StoreFixture() as fixture:
            listening = await tcp_stream.listen("127.0.0.1:0", accept)
            store = adapter.Store(tcp_stream.bound_address(listening))
            # Two concurrent calls open two connections.
            await asyncio.gather(
                store.configuration(), store.announce("a", b"x")
            )
            assert len(opened) == 2
            for connection in opened:
                connection.transport.pause_reading()
            calls = store.calls
            hung = asyncio.create_task(store.next_configuration(0, 20.0))
            await helper.until(lambda: store.calls > calls)
            await asyncio.sleep(0)
            hung.cancel()
            await asyncio.gather(hung, return_exceptions=True)
            fixture.store.configure(record(2))
            found = None
            with contextlib.suppress(errors.RegistryUnavailable):
                found = await store.next_configuration(0, 0.0)
            assert found is not None, "the read reused an open connection"
            assert len(opened) == 3
            store.close()
            listening.close()

    helper.run(work())


class NotifyingStore(HangingStore):
    """Registry that completes the first long polls at once, and no others."""

    def __init__(self):
        super().__init__()
        self.notified = asyncio.Event()

    async def next_configuration(
        self, position: int, wait: float
    ) -> interfaces.ConfigurationRead:
        self.waits.append(wait)
        if position == 0:
            await self.notified.wait()
            return interfaces.ConfigurationRead(b"record", 1)
        return await asyncio.Future()


def test_reads_stay_spread_after_a_new_version():
    """A new version completes all reads at once, so the next ones start
    together. They must not all end late if the connections are dead by then.
    """

    async def work():
        store = NotifyingStore()
        tasks = []
        for number in range(31):
            follower = store_follower.StoreFollower(
                store, random.Random(number), [].append, lambda: 31
            )
            tasks.append(asyncio.create_task(follower.run()))
        await helper.until(lambda: len(store.waits) == 31)
        store.notified.set()
        await helper.until(lambda: len(store.waits) == 62)
        for task in tasks:
            task.cancel()
        assert min(store.waits[31:]) + adapter.LONG_POLL_MARGIN < 2.0

    helper.run(work())


def test_concurrent_writes_to_the_store_are_bounded(monkeypatch):
    """Each write takes a connection of its own."""
    writes = 2 * adapter.MAX_CONCURRENT_APPENDS
    running = most = 0

    async def work():
        nonlocal running, most
        gate = asyncio.Event()

        async def append(store, query, body):
            nonlocal running, most
            running += 1
            most = max(most, running)
            await gate.wait()
            running -= 1
            return await store._append(query, body)

        monkeypatch.setitem(standin._HANDLERS, ("POST", "/log-append"), append)
        async with StoreFixture() as fixture:
            tasks = [
                asyncio.create_task(fixture.adapter.announce(f"p{n}", b"{}"))
                for n in range(writes)
            ]
            await helper.until(
                lambda: running == adapter.MAX_CONCURRENT_APPENDS
            )
            await asyncio.sleep(0.1)
            assert most == adapter.MAX_CONCURRENT_APPENDS
            gate.set()
            await asyncio.gather(*tasks)
            assert most == adapter.MAX_CONCURRENT_APPENDS

    helper.run(work())
