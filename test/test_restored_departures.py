"""Departures that the store has lost are not forgotten by a restart.

A store that was restored from a backup may lack departures that processes have
acknowledged. A process that starts then must not take what it reads for
complete.
"""

import asyncio

import pytest

from forklift import departures
from forklift import messages
from forklift import stored_records
from forklift.shell import departure_store
from forklift.shell import store_follower
from forklift.shell import target_registry
from test import helper
from test import processes
from test import test_departures

CHECKED = test_departures.record_with_health_checks()


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(store_follower, "REANNOUNCE_WINDOW", 0.02)


async def kill_as_the_store_is_away(fleet, backup, *numbers):
    await close(fleet, *numbers)
    fleet.store.go_back(backup)
    await start(fleet, *numbers)


async def kill_before_records_are_written_again(fleet, backup, *numbers):
    fleet.store.go_back(backup)
    await close(fleet, *numbers)
    await start(fleet, *numbers)


async def kill_before_and_after_the_restore(fleet, backup, *numbers):
    await close(fleet, *numbers)
    await start(fleet, *numbers)
    await test_departures.wait_until_joined(fleet)
    await kill_before_records_are_written_again(fleet, backup, *numbers)


async def kill_twice_after_the_restore(fleet, backup, *numbers):
    await kill_as_the_store_is_away(fleet, backup, *numbers)
    await test_departures.wait_until_joined(fleet)
    await close(fleet, *numbers)
    await start(fleet, *numbers)


async def kill_between_two_restores(fleet, backup, *numbers):
    await kill_as_the_store_is_away(fleet, backup, *numbers)
    await test_departures.wait_until_joined(fleet)
    await kill_as_the_store_is_away(fleet, backup, *numbers)


async def close(fleet, *numbers) -> None:
    for number in numbers:
        await fleet.proxies[number].close()


async def start(fleet, *numbers) -> None:
    for number in numbers:
        await fleet.start(number)
        fleet.proxies[number] = fleet.proxies.pop()


def local_targets(fleet) -> dict:
    return fleet.proxies[0].local_targets.by_name


SEQUENCES_OF_FAILURES = [
    kill_as_the_store_is_away,
    kill_before_records_are_written_again,
    kill_before_and_after_the_restore,
    kill_twice_after_the_restore,
    kill_between_two_restores,
]


@pytest.mark.parametrize("killed", [(0,), (0, 1)])
@pytest.mark.parametrize("fail", SEQUENCES_OF_FAILURES)
@pytest.mark.parametrize(
    "announce_departure",
    [test_departures.deregister, test_departures.say_draining],
)
def test_late_heartbeat_brings_no_target_back_whose_departure_the_store_lost(
    announce_departure, fail, killed
):
    async def work(fleet):
        backup = fleet.store.copied()
        assert await announce_departure(fleet) == 200
        fleet.targets[0].leaving = True
        await fail(fleet, backup, *killed)
        await test_departures.wait_until_joined(fleet)
        checks = fleet.targets[0].connections
        for sequence in (2, 3):
            fleet.announce(fleet.proxies[0], 0, sequence=sequence)
            assert local_targets(fleet) == {}
        await helper.until(lambda: fleet.targets[0].connections > checks)
        assert local_targets(fleet) == {}

    processes.play(work, [[], []], first=CHECKED)


def test_sound_target_is_accepted_on_its_health_check_after_a_restore():
    async def work(fleet):
        await kill_as_the_store_is_away(fleet, fleet.store.copied(), 0)
        await helper.until(lambda: "t0" in local_targets(fleet))
        await test_departures.wait_until_joined(fleet)
        assert (await fleet.ask()).status == 200

    processes.play(work, [[]], first=CHECKED)


def test_target_that_stays_with_a_bad_health_check_is_accepted_after_a_restore(
    monkeypatch,
):
    monkeypatch.setattr(target_registry, "HEARTBEAT_TOLERANCE", 0.0)

    async def work(fleet):
        fleet.targets[0].leaving = True
        await kill_as_the_store_is_away(fleet, fleet.store.copied(), 0)
        await test_departures.wait_until_joined(fleet)
        evidence = fleet.proxies[0].target_registry.acceptance.evidence
        evidence.heartbeat_interval = 0.02
        sequence = 2
        async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
            while "t0" not in local_targets(fleet):
                fleet.announce(fleet.proxies[0], 0, sequence=sequence)
                sequence += 1
                await asyncio.sleep(0.02)
        assert (await fleet.ask()).status == 200

    processes.play(work, [[]], first=CHECKED)


def checkpoint_epochs(fleet) -> list[int]:
    place = ("keyed.forklift-members", "0")
    partition = fleet.store.partition_by_place.get(place)
    if partition is None:
        return []
    return [
        record.epoch
        for name, (_, data) in partition.newest_by_key.items()
        if name.startswith(stored_records.DEPARTURE_PREFIX)
        and isinstance(record := departures.decode(data), departures.Checkpoint)
    ]


def test_departures_are_complete_again_once_a_checkpoint_is_stored():
    """A target with a bad health check then need not wait for evidence."""

    async def work(fleet):
        backup = fleet.store.copied()
        assert await test_departures.deregister(fleet) == 200
        fleet.store.go_back(backup)
        fleet.store.configure(CHECKED | {"version": 2})
        await helper.until(lambda: checkpoint_epochs(fleet) == [1, 1])
        fleet.targets[0].leaving = fleet.targets[1].leaving = True
        await close(fleet, 0, 1)
        await start(fleet, 0, 1)
        await helper.until(
            lambda: "t1" in fleet.proxies[1].local_targets.by_name
        )
        await test_departures.wait_until_joined(fleet)
        assert local_targets(fleet) == {}

    processes.play(work, [[], []], first=CHECKED)


def test_process_without_complete_departures_stores_no_checkpoint():
    async def work(fleet):
        await kill_as_the_store_is_away(fleet, fleet.store.copied(), 0, 1)
        await test_departures.wait_until_joined(fleet)
        fleet.store.go_back(fleet.store.copied())
        fleet.store.configure(CHECKED | {"version": 2})
        await helper.until(
            lambda: all(one.store.epoch == 2 for one in fleet.proxies)
        )
        await asyncio.gather(
            *(one.departure_store._write_checkpoint() for one in fleet.proxies)
        )
        assert checkpoint_epochs(fleet) == []

    processes.play(work, [[], []], first=CHECKED)


# One process and its store.


class CompletenessRig(test_departures.Rig):
    """Counts how often all departures became known."""

    def start(self, name: str) -> departure_store.DepartureStore:
        started = super().start(name)
        self.completed = []
        started._on_complete = lambda: self.completed.append(name)
        return started

    def read(self, process: departure_store.DepartureStore) -> bool:
        """Reads all records; returns whether they are complete."""
        self.load(process)
        process.finish_loading(self.store.epoch)
        return bool(self.completed)


def play(work) -> None:
    async def run():
        rig = CompletenessRig()
        await work(rig)
        for task in rig.tasks:
            task.cancel()

    helper.run(run())


def test_records_of_a_store_that_was_never_restored_are_complete():
    async def work(rig):
        assert rig.read(rig.start("p0"))

    play(work)


@pytest.mark.parametrize("departed", [False, True])
def test_records_without_a_checkpoint_are_incomplete_after_a_restore(departed):
    """The process of the version before has written them, or there are none."""

    async def work(rig):
        if departed:
            await rig.one.record("i-7")
        rig.restore(rig.store.data_by_name)
        assert not rig.read(rig.start("p0"))

    play(work)


def test_checkpoint_of_another_process_proves_nothing():
    async def work(rig):
        assert rig.read(rig.one)
        rig.restore({})
        rig.one.handle_loss()
        await helper.until(lambda: rig.store.data_by_name)
        assert rig.read(rig.start("p0"))
        assert not rig.read(rig.start("p1"))

    play(work)


def test_checkpoint_of_an_earlier_epoch_proves_nothing():
    async def work(rig):
        assert rig.read(rig.one)
        rig.restore({})
        rig.one.handle_loss()
        await helper.until(lambda: rig.store.data_by_name)
        rig.restore(rig.store.data_by_name)
        assert not rig.read(rig.start("p0"))

    play(work)


def test_checkpoint_follows_the_departures_that_are_written_again():
    async def work(rig):
        assert rig.read(rig.one)
        await rig.one.record("i-7")
        rig.restore({})
        rig.store.failures = 3
        rig.one.handle_loss()
        await helper.until(lambda: len(rig.store.data_by_name) == 2)
        kinds = [
            type(departures.decode(data))
            for data in rig.store.data_by_name.values()
        ]
        assert kinds == [departures.StoredDeparture, departures.Checkpoint]

    play(work)


def test_departure_that_is_stored_as_the_store_is_restored_is_written_again():
    async def work(rig):
        assert rig.read(rig.one)
        announce = rig.store.announce

        async def restore_after_the_write(name, data):
            epoch = await announce(name, data)
            rig.store.announce = announce
            rig.restore({})
            rig.one.handle_loss()
            return epoch

        rig.store.announce = restore_after_the_write
        await rig.one.record("i-7")
        await helper.until(lambda: len(rig.store.data_by_name) == 2)
        assert rig.read(rig.start("p0"))
        assert rig.loaded == ["i-7"]

    play(work)


def test_departure_that_was_read_before_a_restore_is_written_again():
    async def work(rig):
        await rig.one.record("i-7")
        restarted = rig.start("p0")
        rig.load(restarted)
        rig.restore({})
        restarted.handle_loss()
        restarted.finish_loading(0)
        await helper.until(lambda: len(rig.store.data_by_name) == 2)
        assert rig.read(rig.start("p0"))
        assert rig.loaded == ["i-7"]

    play(work)


def test_departures_count_as_complete_after_their_retention(monkeypatch):
    monkeypatch.setattr(departure_store, "RETENTION_SECONDS", 0.01)

    async def work(rig):
        rig.restore({})
        restarted = rig.start("p0")
        assert not rig.read(restarted)
        await helper.until(lambda: rig.completed == ["p0"])
        await helper.until(lambda: rig.store.data_by_name)
        assert rig.read(rig.start("p0"))

    play(work)


# Targets that report wrongly that they are healthy.


def test_target_that_leaves_but_reports_to_be_healthy_keeps_no_room():
    """No heartbeat follows, so the lease of the restarted process ends."""

    async def work(fleet):
        backup = fleet.store.copied()
        assert await test_departures.deregister(fleet) == 200
        await kill_as_the_store_is_away(fleet, backup, 0)
        await helper.until(lambda: "t0" in local_targets(fleet))
        registry = fleet.proxies[0].target_registry
        now = fleet.proxies[0].clock.monotonic()
        registry.expire(now + 1.0)
        assert "t0" in local_targets(fleet)
        registry.expire(now + 2.5)
        assert local_targets(fleet) == {}

    processes.play(work, [[]], first=CHECKED)


def test_heartbeats_renew_the_lease_of_a_target_until_it_is_confirmed():
    evidence = test_departures.evidence()
    evidence.begin_lease("i-7", 1.0)
    ends = []
    for now in (2.0, 3.5, 5.0):
        evidence.record_heartbeat("i-7", now)
        ends += evidence.end_expired_leases(now + 1.4)
    ends += evidence.end_expired_leases(1000.0)
    assert ends == []


def test_lease_ends_without_heartbeats():
    evidence = test_departures.evidence()
    evidence.begin_lease("i-7", 1.0)
    evidence.record_heartbeat("i-7", 2.0)
    assert evidence.end_expired_leases(4.2) == []
    assert evidence.end_expired_leases(4.3) == ["i-7"]
    assert evidence.end_expired_leases(9.0) == []


def test_target_that_late_heartbeats_have_brought_back_is_removed():
    evidence = test_departures.evidence()
    for sequence, now in ((1, 1.0), (2, 2.5), (3, 4.0)):
        evidence.holds(test_departures.heartbeat(sequence), now)
    assert evidence.end_expired_leases(6.2) == []
    assert evidence.end_expired_leases(6.3) == ["t0"]


def test_all_known_departures_end_the_leases():
    evidence = test_departures.evidence()
    evidence.begin_lease("i-7", 1.0)
    evidence.release(0.0)
    assert evidence.end_expired_leases(1000.0) == []


def test_record_of_a_later_version_is_ignored():
    with pytest.raises(messages.MalformedMessage):
        departures.decode(b"\x92\x1a\xa1p")
