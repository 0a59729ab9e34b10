"""A store that was restored from a backup lacks acknowledged writes.

It assigns offsets a second time, so an offset alone does not show the loss: a
reader would skip records, and lost announcements would not be repeated.
"""

import asyncio
import random

import msgspec
import pytest

from forklift import errors
from forklift import interfaces
from forklift import stored_records
from forklift.platform import store as platform_store
from forklift.shell import server
from forklift.shell import store_follower
from forklift_lab import store as fake_store
from test import helper
from test import processes
from test import test_query_of_death

MEMBERS_TOPIC = "keyed.forklift-members"
PARTITION = (fake_store.OPERATOR, "0")


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.02)
    monkeypatch.setattr(store_follower, "REANNOUNCE_WINDOW", 0.02)


def play(work):
    async def run():
        store = fake_store.Store()
        listener = server.Server(store.handle)
        await listener.open("127.0.0.1:0")
        client = platform_store.Store(listener.address)
        try:
            await work(store, client)
        finally:
            client.close()
            listener.abort()

    helper.run(run())


def append(store: fake_store.Store, *values: bytes) -> None:
    for value in values:
        store.put(fake_store.OPERATOR, fake_store.CONFIGURATION, value)


def test_records_at_reassigned_offsets_are_not_skipped():
    async def work(store, client):
        append(store, b"1")
        backup = store.copied()
        append(store, b"2", b"3")
        found = await client.configuration()
        assert found.record == b"3"
        store.go_back(backup)
        # The log grows past the position before the next read.
        append(store, b"4", b"5", b"6")
        with pytest.raises(errors.RegistryGap):
            await client.next_configuration(found.position, 0.0)
        assert (await client.configuration()).record == b"6"

    play(work)


def test_restore_ends_a_waiting_read():
    async def work(store, client):
        append(store, b"1")
        backup = store.copied()
        append(store, b"2")
        found = await client.configuration()
        read = asyncio.create_task(
            client.next_configuration(found.position, 20.0)
        )
        await helper.until(lambda: store.calls == 2)
        store.go_back(backup)
        append(store, b"7", b"8", b"9")
        with pytest.raises(errors.RegistryGap):
            await read

    play(work)


def test_any_response_shows_that_the_store_was_restored():
    async def work(store, client):
        epochs = []
        client.on_lost = lambda: epochs.append(client.epoch)
        append(store, b"1")
        found = await client.configuration()
        backup = store.copied()
        store.go_back(backup)
        await client.members()
        assert epochs == [1]
        with pytest.raises(errors.RegistryGap):
            await client.next_configuration(found.position, 0.0)
        # The loss is reported once.
        await client.configuration()
        assert epochs == [1]

    play(work)


def test_response_of_an_earlier_epoch_is_an_error():
    """A delayed response may contain records that the store has lost since."""

    async def work(store, client):
        append(store, b"1")
        store.era = 4
        await client.configuration()
        store.era = 3
        with pytest.raises(errors.RegistryUnavailable):
            await client.configuration()
        assert client.epoch == 4

    play(work)


@pytest.mark.parametrize("value", [b"x", b"-1", b"", b"9" * 40])
def test_malformed_epoch_is_an_error(value, monkeypatch):
    async def work(store, client):
        append(store, b"1")
        handle = store.handle

        async def replace_epoch(request):
            response = await handle(request)
            fields = ((fake_store.ERA, value),)
            return server.Response(200, response.body, headers=fields)

        listener = server.Server(replace_epoch)
        await listener.open("127.0.0.1:0")
        other = platform_store.Store(listener.address)
        if value:
            with pytest.raises(errors.RegistryUnavailable):
                await other.configuration()
        else:
            assert (await other.configuration()).record == b"1"
        other.close()
        listener.abort()

    play(work)


def test_publish_at_an_offset_of_an_earlier_epoch_is_rejected():
    async def work(store, client):
        append(store, b"1")
        backup = store.copied()
        found = await client.configuration()
        store.go_back(backup)
        await client.members()
        # The topic ends at the same offset, but with other records.
        assert store.partition_by_place[PARTITION].end == found.position
        assert not await client.publish(b"2", found.position)
        found = await client.configuration()
        assert await client.publish(b"2", found.position)

    play(work)


def test_publish_while_the_store_is_restored_has_no_known_result():
    async def work(store, client):
        append(store, b"1")
        backup = store.copied()
        found = await client.configuration()
        store.go_back(backup)
        with pytest.raises(errors.RegistryUnavailable):
            await client.publish(b"2", found.position)

    play(work)


# Whole processes.


def test_active_version_stays_when_the_store_returns_an_older_one():
    async def work(fleet):
        backup = fleet.store.copied()
        fleet.store.configure(processes.record(2))
        await helper.until(lambda: versions(fleet) == {2})
        fleet.store.go_back(backup)
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


def test_new_process_activates_a_version_of_peers_newer_than_the_store():
    async def work(fleet):
        backup = fleet.store.copied()
        fleet.store.configure(processes.record(2))
        await helper.until(lambda: versions(fleet) == {2})
        fleet.store.go_back(backup)
        fleet.scripts.append([])
        target = fleet.targets[0]
        fleet.targets.append(target)
        started = await fleet.start(2)
        offered = []
        offer = started.active_catalog.offer

        def record_offer(loaded, source, now):
            offered.append((loaded.version, source))
            return offer(loaded, source, now)

        started.active_catalog.offer = record_offer
        await helper.until(lambda: started.active_catalog.loaded)
        assert offered[0] == (2, "peer")

    processes.play(work, [[], []])


def test_new_process_does_not_take_itself_for_alone_after_a_restore(
    monkeypatch,
):
    """It would use an older version, and all of each limit and budget."""
    monkeypatch.setattr(store_follower, "REANNOUNCE_WINDOW", 1.0)

    async def work(fleet):
        await helper.until(lambda: len(announced_processes(fleet)) == 2)
        backup = {PARTITION: fleet.store.copied()[PARTITION]}
        fleet.store.configure(processes.record(2))
        await helper.until(lambda: versions(fleet) == {2})
        fleet.store.go_back(backup)
        fleet.scripts.append([])
        fleet.targets.append(fleet.targets[0])
        started = await fleet.start(2)
        await helper.until(lambda: started.control_protocols.has_joined)
        assert started.balancer.process_count == 0
        assert not started.control_protocols.size_known
        assert not started.active_catalog.loaded
        await helper.until(lambda: started.balancer.process_count == 3)
        await helper.until(lambda: started.active_catalog.catalog.version == 2)

    processes.play(work, [[], []])


def test_process_that_starts_after_a_restore_tells_peers_the_epoch():
    """Only some processes poll the store; all of them may restart."""

    async def work(fleet):
        survivor = fleet.proxies[0]
        survivor.follower._is_reader = lambda: False
        survivor.follower.restart_read()
        await helper.until(lambda: not survivor.follower._read_now.is_set())
        await fleet.proxies[1].close()
        fleet.store.go_back(fleet.store.copied())
        await fleet.start(1)
        await helper.until(lambda: survivor.store.epoch == 1)

    processes.play(work, [[], []])


def test_process_without_peers_activates_the_version_of_the_store():
    async def work(fleet):
        assert versions(fleet) == {1}

    processes.play(work, [[]])


def test_processes_announce_themselves_again_after_a_loss():
    async def work(fleet):
        await helper.until(lambda: len(announced_processes(fleet)) == 3)
        fleet.store.go_back({})
        fleet.store.configure(processes.record(2))
        assert not announced_processes(fleet)
        await helper.until(lambda: len(announced_processes(fleet)) == 3)

    processes.play(work, [[], [], []])


def announced_processes(fleet) -> set[str]:
    prefixes = (stored_records.DEPARTURE_PREFIX, stored_records.EVIDENCE_PREFIX)
    return {
        name for name in announced_names(fleet) if not name.startswith(prefixes)
    }


def announced_names(fleet) -> set[str]:
    partition = fleet.store.partition_by_place.get((MEMBERS_TOPIC, "0"))
    return set(partition.newest_by_key) if partition else set()


def test_process_that_is_not_a_reader_learns_of_the_loss_from_peers():
    """In a large fleet only some processes poll the store."""

    async def work(fleet):
        other = fleet.proxies[2]
        other.follower._is_reader = lambda: False
        other.follower.restart_read()
        await helper.until(lambda: not other.follower._read_now.is_set())
        fleet.store.go_back(fleet.store.copied())
        await helper.until(lambda: other.store.epoch == 1)

    processes.play(work, [[], [], []])


def test_evidence_on_quarantined_requests_is_written_again():
    async def work(fleet):
        test_query_of_death.quarantine_locally(fleet.proxies[0])
        fleet.proxies[0].quarantine_store.save()
        await helper.until(lambda: quarantine_records(fleet))
        fleet.store.go_back({})
        fleet.store.configure(processes.record(2))
        assert not quarantine_records(fleet)
        await helper.until(lambda: quarantine_records(fleet))

    processes.play(work, [[], []])


def quarantine_records(fleet) -> list[str]:
    return [
        name
        for name in announced_names(fleet)
        if name.startswith(stored_records.EVIDENCE_PREFIX)
    ]


def test_announcements_after_a_loss_are_spread_over_time(monkeypatch):
    async def work():
        announced, pauses = [], []
        sleep = asyncio.sleep

        class Registry:
            async def announce(self, name, data):
                announced.append(name)

            async def members(self, accepts):
                return interfaces.MembersRead({}, 0)

        async def record_sleep(seconds):
            pauses.append(seconds)
            await sleep(0)

        monkeypatch.setattr(store_follower.asyncio, "sleep", record_sleep)
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


def test_process_info_without_an_epoch_decodes():
    """Processes of earlier releases send no epoch of the store."""
    own = helper.info("p", store_epoch=3)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(own))[:-1]
    assert msgspec.convert(fields, type(own)).store_epoch == 0
