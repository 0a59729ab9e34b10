"""The store's adapter against the stand-in, faults included."""

import asyncio
import contextlib
import random

import pytest

from forklift import errors
from forklift import interfaces
from forklift.platform import store as adapter
from forklift.shell import registry
from forklift.shell import server
from forklift.shell import wire
from forklift_lab import store as standin
from test import helper


class Rig:
    """Stand-in and adapter over a real socket."""

    async def __aenter__(self) -> "Rig":
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


def test_finds_the_newest_configuration():
    async def work():
        async with Rig() as rig:
            assert (await rig.adapter.configuration()).record is None
            rig.store.configure(record(3))
            rig.store.configure(record(5))
            found = await rig.adapter.configuration()
            assert adapter.decode(found.record).version == 5
            assert found.position == 2

    helper.run(work())


def test_waits_for_the_next_configuration():
    async def work():
        async with Rig() as rig:
            first = await rig.adapter.configuration()
            waiting = asyncio.create_task(
                rig.adapter.next_configuration(first.position, 20.0)
            )
            calls = rig.store.calls
            await helper.until(lambda: rig.store.calls > calls)
            rig.store.configure(record(7))
            found = await waiting
            assert adapter.decode(found.record).version == 7
            again = await rig.adapter.next_configuration(found.position, 0.0)
            assert again.record is None
            assert again.position == found.position

    helper.run(work())


def test_forgotten_history_is_told():
    async def work():
        async with Rig() as rig:
            rig.store.configure(record(7))
            rig.store.forget()
            with pytest.raises(errors.RegistryGap):
                await rig.adapter.next_configuration(0, 0.0)
            found = await rig.adapter.configuration()
            assert adapter.decode(found.record).version == 7

    helper.run(work())


@pytest.mark.parametrize("fault", ["away", "refusing", "losing"])
def test_a_store_that_fails_is_an_error(fault):
    async def work():
        async with Rig() as rig:
            setattr(rig.store, fault, 503 if fault == "refusing" else True)
            with pytest.raises(errors.RegistryUnavailable):
                await rig.adapter.announce("a", b"x")

    helper.run(work())


def test_members_are_found_by_name_and_replaced():
    async def work():
        async with Rig() as rig:
            await rig.adapter.announce("a", b"1")
            await rig.adapter.announce("b", b"2")
            await rig.adapter.announce("a", b"3")
            assert await rig.adapter.members() == {"a": b"3", "b": b"2"}

    helper.run(work())


def test_members_come_in_pages(monkeypatch):
    monkeypatch.setattr(standin, "MAX_PAGE", 2)

    async def work():
        async with Rig() as rig:
            for name in "abcde":
                await rig.adapter.announce(name, b"1")
            assert sorted(await rig.adapter.members()) == list("abcde")

    helper.run(work())


def test_following_goes_on_after_an_outage_and_a_gap(monkeypatch):
    monkeypatch.setattr(registry, "PAUSE_FIRST", 0.01)

    async def work():
        async with Rig() as rig:
            seen = []
            follower = registry.Follower(
                rig.adapter,
                random.Random(1),
                lambda data: seen.append(adapter.decode(data).version),
            )
            task = asyncio.create_task(follower.run())
            rig.store.configure(record(1))
            await helper.until(lambda: seen == [1])
            rig.store.go_away()
            calls = rig.store.calls
            await helper.until(lambda: rig.store.calls > calls)
            rig.store.configure(record(2))
            rig.store.forget()
            rig.store.away = False
            await helper.until(lambda: seen[-1] == 2)
            task.cancel()

    helper.run(work())


class Hanging:
    """A store whose reads are never answered; see `interfaces.Registry`."""

    def __init__(self):
        self.waits: list[float] = []
        # Reads of what is there, without waiting.
        self.first_reads = 0

    async def configuration(self) -> interfaces.ConfigurationRead:
        self.first_reads += 1
        return interfaces.ConfigurationRead(None, 0)

    async def next_configuration(
        self, position: int, wait: float
    ) -> interfaces.ConfigurationRead:
        self.waits.append(wait)
        return await asyncio.Future()


def test_a_read_that_a_peer_overtook_is_begun_anew(monkeypatch):
    """It hung on a connection that had fallen silent for up to 14 s, while
    peers had the version that it waited for."""
    monkeypatch.setattr(registry, "PAUSE_FIRST", 0.0)

    async def work():
        store = Hanging()
        follower = registry.Follower(store, random.Random(1), [].append)
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: len(store.waits) == 1)
        follower.overtaken(100.0)
        await helper.until(lambda: len(store.waits) == 2)
        assert follower.away
        follower.overtaken(100.0 + registry.RENEW_EVERY / 2)
        for _ in range(100):
            await asyncio.sleep(0)
        assert len(store.waits) == 2
        follower.overtaken(100.0 + registry.RENEW_EVERY)
        await helper.until(lambda: len(store.waits) == 3)
        task.cancel()

    helper.run(work())


@pytest.mark.parametrize("processes", [1, 5, 21, 31, 300])
def test_one_of_all_processes_always_begins_a_read_soon(processes):
    """Where all connections to the store fall silent at once, only a read
    that begins anew has the next version; five processes began one each 2 s."""

    async def wait_of(count: int) -> float:
        store = Hanging()
        follower = registry.Follower(
            store, random.Random(count), [].append, lambda: processes
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: store.waits)
        task.cancel()
        return store.waits[0]

    waits = [helper.run(wait_of(count)) for count in range(20)]
    longest = registry.WAIT * (1 + registry.WAIT_SPREAD)
    assert max(waits) <= longest
    mean = sum(waits) / len(waits)
    assert mean / processes <= 1.1 * max(
        registry.WAIT_A_PROCESS, registry.WAIT_LEAST / processes
    )


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("as-of=0", 200),
        ("as-of=1", 412),
        ("producer=p&epoch=1&sequence=1", 200),
    ],
)
def test_the_stand_in_appends_under_a_condition(query, status):
    async def work():
        store = standin.Store()
        assert (await append(store, query)).status == status

    helper.run(work())


def test_the_stand_in_fences_producers_and_repeats_answers():
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


def test_a_read_that_hung_is_begun_anew_over_a_new_connection():
    """Those that are kept fell silent with it: all that were open did."""

    async def work():
        opened = []

        def accept(connection):
            opened.append(connection)
            rig.server._accept(connection)

        async with Rig() as rig:
            listening = await wire.listen("127.0.0.1:0", accept)
            store = adapter.Store(wire.bound_address(listening))
            # As at a start: the one is read and the other announced.
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
            rig.store.configure(record(2))
            found = None
            with contextlib.suppress(errors.RegistryUnavailable):
                found = await store.next_configuration(0, 0.0)
            assert found is not None, "it went over one that was kept"
            assert len(opened) == 3
            store.close()
            listening.close()

    helper.run(work())


class Told(Hanging):
    """A store that tells all one version, and then falls silent."""

    def __init__(self):
        super().__init__()
        self.told = asyncio.Event()

    async def next_configuration(
        self, position: int, wait: float
    ) -> interfaces.ConfigurationRead:
        self.waits.append(wait)
        if position == 0:
            await self.told.wait()
            return interfaces.ConfigurationRead(b"record", 1)
        return await asyncio.Future()


def test_a_read_ends_soon_though_a_version_has_just_begun_all_anew():
    """All reads are answered by a version at once, and begin in one moment;
    where all connections fall silent then, none ends within the bound."""

    async def work():
        store = Told()
        tasks = []
        for number in range(31):
            follower = registry.Follower(
                store, random.Random(number), [].append, lambda: 31
            )
            tasks.append(asyncio.create_task(follower.run()))
        await helper.until(lambda: len(store.waits) == 31)
        store.told.set()
        await helper.until(lambda: len(store.waits) == 62)
        for task in tasks:
            task.cancel()
        assert min(store.waits[31:]) + adapter.LONG_POLL_MARGIN < 2.0

    helper.run(work())
