"""Choice of store readers, and delivery of versions to all other processes."""

import asyncio
import random

import pytest

from forklift import membership
from forklift import messages
from forklift import store_readers
from forklift.shell import store_follower
from test import fleet
from test import helper
from test import test_dissemination
from test import test_store

PROCESSES = 120


def directory(count: int, own: str = "p0") -> membership.Directory:
    """Creates the directory of one process in a fleet of five domains."""
    infos = [
        helper.info(f"p{number}", domain=f"d{number % 5}")
        for number in range(count)
    ]
    found = membership.Directory(
        next(info for info in infos if info.name == own),
        membership.FULL_MEMBERSHIP_LIMIT,
    )
    for info in infos:
        if info.name != own:
            found.apply_direct(info, 0.0)
    return found


@pytest.mark.parametrize("count", [1, 2, 21, 31])
def test_all_processes_of_a_small_fleet_are_readers(count):
    found = store_readers.StoreReaders(directory(count))
    assert found.count == count
    assert found.includes_self


def test_large_fleet_has_readers_in_each_failure_domain():
    found = store_readers.StoreReaders(directory(235))
    assert (
        store_readers.MIN_READERS
        <= found.count
        <= store_readers.MIN_READERS + 10
    )
    for domain in range(5):
        reading = [
            number
            for number in range(domain, 235, 5)
            if found.includes(f"p{number}")
        ]
        assert len(reading) >= store_readers.READERS_PER_DOMAIN


def test_all_processes_choose_the_same_readers():
    chosen = [
        store_readers.StoreReaders(directory(90, own))._choose()
        for own in ("p0", "p77")
    ]
    assert chosen[0] == chosen[1]


def test_dead_readers_are_replaced():
    known = directory(90)
    found = store_readers.StoreReaders(known)
    before = found._choose()
    for name in before - {"p0"}:
        known.mark(name, messages.Liveness.DEAD, 1.0)
    assert found.count >= store_readers.MIN_READERS
    assert not before & {n for n in found._choose() if n != "p0"}


def test_partitioned_failure_domain_has_its_own_readers():
    known = directory(90)
    found = store_readers.StoreReaders(known)
    for number in range(90):
        if number % 5:
            known.mark(f"p{number}", messages.Liveness.DEAD, 1.0)
    assert found.count == 18
    assert found.includes_self


# Delivery of versions to processes that do not read.


def settled(seed: int) -> fleet.SimulatedFleet:
    found = fleet.SimulatedFleet(PROCESSES, seed)
    found.publish(1)
    found.run(3.0)
    return found


def worst(found: fleet.SimulatedFleet) -> float:
    return max(found.lags().values())


def test_most_processes_of_a_large_fleet_are_not_readers():
    found = settled(1)
    nodes = found.node_by_name.values()
    assert (
        sum(one.control_protocols.readers.includes_self for one in nodes)
        < PROCESSES / 3
    )


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("share", [0.0, 0.5, 0.9])
def test_processes_that_do_not_read_get_versions_in_time(seed, share):
    found = settled(seed)
    test_dissemination.deafen(found, share)
    for version in range(2, 6):
        found.publish(version)
        found.run(2.1)
    assert worst(found) <= test_dissemination.ACTIVE_WITHIN


@pytest.mark.parametrize("seed", range(3))
def test_versions_spread_in_time_despite_lost_messages(seed):
    """A tenth of the datagrams is lost."""
    found = settled(seed)
    found.loss_rate = 0.1
    for version in range(2, 6):
        found.publish(version)
        found.run(2.1)
    assert worst(found) <= test_dissemination.ACTIVE_WITHIN_AFTER_BREAK


def test_versions_spread_in_time_when_readers_stop():
    found = settled(2)
    reading = [
        name
        for name, node in found.node_by_name.items()
        if node.control_protocols.readers.includes_self
    ]
    for name in found.rng.sample(reading, len(reading) * 3 // 4):
        del found.node_by_name[name]
    found.publish(2)
    found.run(2.1)
    lags = [
        lag
        for (name, version), lag in found.lags().items()
        if name in found.node_by_name
    ]
    assert max(lags) <= test_dissemination.ACTIVE_WITHIN_AFTER_BREAK


# The store follower.


def test_follower_long_polls_only_while_it_is_a_reader():
    async def work():
        store = test_store.HangingStore()
        reads = [False]
        follower = store_follower.StoreFollower(
            store, random.Random(1), [].append, lambda: 40, lambda: reads[0]
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: store.first_reads == 1)
        for _ in range(50):
            follower.update_role()
            await asyncio.sleep(0)
        assert store.waits == []
        reads[0] = True
        follower.update_role()
        await helper.until(lambda: len(store.waits) == 1)
        # Changes made between its long polls are read first.
        assert store.first_reads == 2
        task.cancel()

    helper.run(work())


def test_follower_that_is_not_a_reader_polls_the_store(monkeypatch):
    monkeypatch.setattr(store_follower, "REFRESH_INTERVAL", 0.01)

    async def work():
        store = test_store.HangingStore()
        follower = store_follower.StoreFollower(
            store, random.Random(1), [].append, lambda: 40, lambda: False
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: store.first_reads >= 3)
        assert store.waits == []
        task.cancel()

    helper.run(work())
