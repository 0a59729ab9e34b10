"""A store that comes back from a copy has lost what it acknowledged since.

Offsets go back and are given out again. A reader that kept only an offset saw
nothing of it once the log had grown past that: the records in between were
passed over in silence, and no record of ours was written again.
"""

import asyncio
import random

import msgspec
import pytest

from forklift import errors
from forklift.platform import store as adapter
from forklift.shell import quarantine_store
from forklift.shell import server
from forklift.shell import store_follower
from forklift_lab import store as standin
from test import helper
from test import processes
from test import test_query_of_death as deadly

MEMBERS = "keyed.forklift-members"
PLACE = (standin.OPERATOR, "0")


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    """Pauses that only tests need shorter."""
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.02)
    monkeypatch.setattr(store_follower, "REANNOUNCE_WINDOW", 0.02)


def play(work):
    async def run():
        store = standin.Store()
        listening = server.Server(store.handle)
        await listening.open("127.0.0.1:0")
        asked = adapter.Store(listening.address)
        try:
            await work(store, asked)
        finally:
            asked.close()
            listening.abort()

    helper.run(run())


def put(store: standin.Store, *values: bytes) -> None:
    for value in values:
        store.put(standin.OPERATOR, standin.CONFIGURATION, value)


def test_records_after_an_offset_that_was_given_out_again_are_not_passed_over():
    async def work(store, asked):
        put(store, b"1")
        copied = store.copied()
        put(store, b"2", b"3")
        found = await asked.configuration()
        assert found.record == b"3"
        store.go_back(copied)
        # The log has grown past the position before anybody reads on.
        put(store, b"4", b"5", b"6")
        with pytest.raises(errors.RegistryGap):
            await asked.next_configuration(found.position, 0.0)
        assert (await asked.configuration()).record == b"6"

    play(work)


def test_a_read_that_waits_as_the_store_goes_back_is_begun_anew():
    async def work(store, asked):
        put(store, b"1")
        copied = store.copied()
        put(store, b"2")
        found = await asked.configuration()
        reading = asyncio.create_task(
            asked.next_configuration(found.position, 20.0)
        )
        await helper.until(lambda: store.calls == 2)
        store.go_back(copied)
        put(store, b"7", b"8", b"9")
        with pytest.raises(errors.RegistryGap):
            await reading

    play(work)


def test_any_answer_tells_that_the_store_went_back():
    async def work(store, asked):
        lost = []
        asked.on_lost = lambda: lost.append(asked.epoch)
        put(store, b"1")
        found = await asked.configuration()
        copied = store.copied()
        store.go_back(copied)
        await asked.members()
        assert lost == [1]
        with pytest.raises(errors.RegistryGap):
            await asked.next_configuration(found.position, 0.0)
        # Nothing is told twice.
        await asked.configuration()
        assert lost == [1]

    play(work)


def test_an_answer_of_before_is_of_no_use():
    """It may have been on its way, and what it tells is gone."""

    async def work(store, asked):
        put(store, b"1")
        store.era = 4
        await asked.configuration()
        store.era = 3
        with pytest.raises(errors.RegistryUnavailable):
            await asked.configuration()
        assert asked.epoch == 4

    play(work)


@pytest.mark.parametrize("told", [b"x", b"-1", b"", b"9" * 40])
def test_an_era_that_is_no_number_is_refused(told, monkeypatch):
    async def work(store, asked):
        put(store, b"1")
        handle = store.handle

        async def spoiled(request):
            answer = await handle(request)
            fields = ((standin.ERA, told),)
            return server.Response(200, answer.body, headers=fields)

        listening = server.Server(spoiled)
        await listening.open("127.0.0.1:0")
        other = adapter.Store(listening.address)
        if told:
            with pytest.raises(errors.RegistryUnavailable):
                await other.configuration()
        else:
            assert (await other.configuration()).record == b"1"
        other.close()
        listening.abort()

    play(work)


def test_nothing_is_published_by_an_offset_of_before():
    async def work(store, asked):
        put(store, b"1")
        copied = store.copied()
        found = await asked.configuration()
        store.go_back(copied)
        await asked.members()
        # The topic ends where it did, with other records.
        assert store.partition_by_place[PLACE].end == found.position
        assert not await asked.publish(b"2", found.position)
        found = await asked.configuration()
        assert await asked.publish(b"2", found.position)

    play(work)


def test_what_was_published_as_the_store_went_back_is_not_known():
    async def work(store, asked):
        put(store, b"1")
        copied = store.copied()
        found = await asked.configuration()
        store.go_back(copied)
        with pytest.raises(errors.RegistryUnavailable):
            await asked.publish(b"2", found.position)

    play(work)


# Whole processes.


def test_a_version_in_force_stays_though_the_store_shows_an_older_one():
    async def work(fleet):
        copied = fleet.store.copied()
        fleet.store.configure(processes.record(2))
        await helper.until(lambda: versions(fleet) == {2})
        fleet.store.go_back(copied)
        await helper.until(
            lambda: all(one.store.epoch == 1 for one in fleet.proxies)
        )
        await asyncio.sleep(0)
        assert versions(fleet) == {2}
        fleet.store.configure(processes.record(3))
        await helper.until(lambda: versions(fleet) == {3})

    processes.play(work, [[], [], []])


def versions(fleet) -> set[int]:
    return {one.active_catalog.catalog.version for one in fleet.proxies}


def test_who_starts_meanwhile_has_the_newest_version_from_peers_first():
    async def work(fleet):
        copied = fleet.store.copied()
        fleet.store.configure(processes.record(2))
        await helper.until(lambda: versions(fleet) == {2})
        fleet.store.go_back(copied)
        fleet.scripts.append([])
        target = fleet.targets[0]
        fleet.targets.append(target)
        late = await fleet.start(2)
        taken = []
        offer = late.active_catalog.offer

        def note(found, source, now):
            taken.append((found.version, source))
            return offer(found, source, now)

        late.active_catalog.offer = note
        await helper.until(lambda: late.active_catalog.loaded)
        assert taken[0] == (2, "peer")

    processes.play(work, [[], []])


def test_who_starts_alone_takes_what_the_store_tells():
    async def work(fleet):
        assert versions(fleet) == {1}

    processes.play(work, [[]])


def test_processes_make_themselves_known_again():
    async def work(fleet):
        await helper.until(lambda: len(known(fleet)) == 3)
        fleet.store.go_back({})
        fleet.store.configure(processes.record(2))
        assert not known(fleet)
        await helper.until(lambda: len(known(fleet)) == 3)

    processes.play(work, [[], [], []])


def known(fleet) -> set[str]:
    partition = fleet.store.partition_by_place.get((MEMBERS, "0"))
    return set(partition.newest_by_key) if partition else set()


def test_who_does_not_look_at_the_store_hears_of_it_from_peers():
    """In a large fleet few wait at the store."""

    async def work(fleet):
        late = fleet.proxies[2]
        late.follower._is_reader = lambda: False
        late.follower.restart_read()
        await helper.until(lambda: not late.follower._waiting.is_set())
        fleet.store.go_back(fleet.store.copied())
        await helper.until(lambda: late.store.epoch == 1)

    processes.play(work, [[], [], []])


def test_a_request_that_is_held_back_is_written_down_again():
    async def work(fleet):
        deadly.quarantine_locally(fleet.proxies[0])
        fleet.proxies[0].quarantine_store.save()
        await helper.until(lambda: held(fleet))
        fleet.store.go_back({})
        fleet.store.configure(processes.record(2))
        assert not held(fleet)
        await helper.until(lambda: held(fleet))

    processes.play(work, [[], []])


def held(fleet) -> list[str]:
    return [
        name
        for name in known(fleet)
        if name.startswith(quarantine_store.RECORD_PREFIX)
    ]


def test_all_do_not_write_again_in_one_moment(monkeypatch):
    async def work():
        announced, pauses = [], []
        sleep = asyncio.sleep

        class Registry:
            async def announce(self, name, data):
                announced.append(name)

            async def members(self):
                return {}

        async def note(seconds):
            pauses.append(seconds)
            await sleep(0)

        monkeypatch.setattr(store_follower.asyncio, "sleep", note)
        lost = [asyncio.Event() for _ in range(20)]
        tasks = [
            asyncio.create_task(
                store_follower.join_fleet(
                    Registry(),
                    random.Random(number),
                    f"p{number}",
                    b"",
                    lambda data: None,
                    event,
                    lambda: 3400,
                )
            )
            for number, event in enumerate(lost)
        ]
        while len(announced) < 20:
            await sleep(0)
        for event in lost:
            event.set()
        while len(announced) < 40:
            await sleep(0)
        for task in tasks:
            task.cancel()
        assert max(pauses) - min(pauses) > 17.0
        assert len(set(pauses)) == 20

    helper.run(work())


def test_a_version_that_only_few_have_is_told_in_a_message_that_old_ones_read():
    """A process of an older version does not know the era."""
    own = helper.info("p", store_epoch=3)
    shorter = msgspec.msgpack.decode(msgspec.msgpack.encode(own))[:-1]
    assert msgspec.convert(shorter, type(own)).store_epoch == 0
