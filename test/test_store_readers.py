"""Who waits at the store, and how the others have each version in time."""

import asyncio
import random

import pytest

from forklift import membership
from forklift import messages
from forklift import store_readers
from forklift.shell import registry
from test import fleet
from test import helper
from test import test_dissemination
from test import test_store

MANY = 120


def directory(count: int, own: str = "p0") -> membership.Directory:
    """A process that knows others, in five failure domains."""
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
def test_a_small_fleet_reads_as_a_whole(count):
    found = store_readers.StoreReaders(directory(count))
    assert found.count == count
    assert found.includes_self


def test_in_a_large_fleet_some_of_each_failure_domain_read():
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


def test_all_find_the_same_readers():
    chosen = [
        store_readers.StoreReaders(directory(90, own))._choose()
        for own in ("p0", "p77")
    ]
    assert chosen[0] == chosen[1]


def test_others_take_the_place_of_readers_that_are_gone():
    known = directory(90)
    found = store_readers.StoreReaders(known)
    before = found._choose()
    for name in before - {"p0"}:
        known.mark(name, messages.Liveness.DEAD, 1.0)
    assert found.count >= store_readers.MIN_READERS
    assert not before & {n for n in found._choose() if n != "p0"}


def test_a_failure_domain_that_is_cut_off_has_readers_of_its_own():
    known = directory(90)
    found = store_readers.StoreReaders(known)
    for number in range(90):
        if number % 5:
            known.mark(f"p{number}", messages.Liveness.DEAD, 1.0)
    assert found.count == 18
    assert found.includes_self


# How the others have each version.


def settled(seed: int) -> fleet.Fleet:
    found = fleet.Fleet(MANY, seed)
    found.publish(1)
    found.run(3.0)
    return found


def worst(found: fleet.Fleet) -> float:
    return max(found.lags().values())


def test_most_of_a_large_fleet_does_not_read():
    found = settled(1)
    nodes = found.node_by_name.values()
    assert sum(one.neighbours.readers.includes_self for one in nodes) < MANY / 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("share", [0.0, 0.5, 0.9])
def test_who_does_not_read_has_each_version_in_time(seed, share):
    found = settled(seed)
    test_dissemination.deafen(found, share)
    for version in range(2, 6):
        found.publish(version)
        found.run(2.1)
    assert worst(found) <= test_dissemination.IN_FORCE_WITHIN


@pytest.mark.parametrize("seed", range(3))
def test_lost_messages_leave_nobody_behind(seed):
    """One of ten datagrams is lost."""
    found = settled(seed)
    found.loses = 0.1
    for version in range(2, 6):
        found.publish(version)
        found.run(2.1)
    assert worst(found) <= test_dissemination.AT_THAT_MOMENT


def test_readers_that_end_as_a_version_comes_leave_nobody_behind():
    found = settled(2)
    reading = [
        name
        for name, node in found.node_by_name.items()
        if node.neighbours.readers.includes_self
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
    assert max(lags) <= test_dissemination.AT_THAT_MOMENT


# The one that reads.


def test_who_is_no_reader_waits_at_the_store_no_more_until_it_is_one():
    async def work():
        store = test_store.HangingStore()
        reads = [False]
        follower = registry.Follower(
            store, random.Random(1), [].append, lambda: 40, lambda: reads[0]
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: store.first_reads == 1)
        for _ in range(50):
            follower.look()
            await asyncio.sleep(0)
        assert store.waits == []
        reads[0] = True
        follower.look()
        await helper.until(lambda: len(store.waits) == 1)
        # What came while it did not wait is read first.
        assert store.first_reads == 2
        task.cancel()

    helper.run(work())


def test_who_is_no_reader_looks_now_and_then(monkeypatch):
    monkeypatch.setattr(registry, "LOOK_EVERY", 0.01)

    async def work():
        store = test_store.HangingStore()
        follower = registry.Follower(
            store, random.Random(1), [].append, lambda: 40, lambda: False
        )
        task = asyncio.create_task(follower.run())
        await helper.until(lambda: store.first_reads >= 3)
        assert store.waits == []
        task.cancel()

    helper.run(work())
