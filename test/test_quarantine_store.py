"""Requests that are held back, past the end of all processes."""

import asyncio
import random

from forklift import errors
from forklift import invalid_input
from forklift import messages
from forklift import quarantine as quarantines
from forklift.shell import quarantine_store
from forklift.shell import store_follower
from test import helper

DEADLY = b"deadly"
NAMES = ("p0", "p1", "p2")


class Store:
    """A store that fails a few times, then keeps the newest of each name."""

    def __init__(self, failures: int = 0):
        self.failures = failures
        self.data_by_name: dict[str, bytes] = {}
        self.writes = 0

    async def announce(self, name: str, data: bytes) -> None:
        if self.failures:
            self.failures -= 1
            raise errors.RegistryUnavailable("no answer")
        self.writes += 1
        self.data_by_name[name] = data


class Process:
    """The part of a process that keeps requests."""

    def __init__(self, name: str, store: Store, clock: helper.FakeClock):
        self.clock = clock
        self.quarantine = quarantines.Quarantine()
        self.tasks: list[asyncio.Task] = []
        others = [other for other in NAMES if other != name]
        self.quarantine_store = quarantine_store.QuarantineStore(
            name,
            self.quarantine,
            store,
            clock,
            random.Random(1),
            lambda work: self.tasks.append(asyncio.create_task(work)),
            lambda: others,
        )

    def hold(self) -> None:
        """Two targets crash that ran nothing but the request."""
        for number in (1, 2):
            self.quarantine.record_crash({DEADLY}, number, self.clock.now)

    async def done(self) -> None:
        await asyncio.gather(*self.tasks)


def held(process: Process) -> float:
    return process.quarantine.quarantined_for(DEADLY, process.clock.now)


def play(work, monkeypatch, failures: int = 0) -> None:
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.01)

    async def run():
        store, clock = Store(failures), helper.FakeClock()
        await work(store, [Process(name, store, clock) for name in NAMES])

    helper.run(run())


def test_who_saw_the_crash_writes_until_the_store_has_it(monkeypatch):
    async def work(store, processes):
        first, later = processes[:2]
        first.hold()
        first.quarantine_store.save()
        await first.done()
        ((name, data),) = store.data_by_name.items()
        later.clock.now += 100.0
        later.quarantine_store.load(name, data)
        assert (
            held(later) == held(first) == quarantines.QUARANTINE_SECONDS - 100.0
        )

    play(work, monkeypatch, failures=3)


def test_one_process_writes_what_its_finder_could_not(monkeypatch):
    """It ended before; the others had heard of it."""

    async def work(store, processes):
        for one in processes:
            one.hold()
            for _ in range(5):
                one.quarantine_store.tick()
            await one.done()
        assert store.writes == 1

    play(work, monkeypatch)


def test_what_was_read_is_not_written_again(monkeypatch):
    async def work(store, processes):
        processes[0].hold()
        processes[0].quarantine_store.save()
        await processes[0].done()
        ((name, data),) = store.data_by_name.items()
        for one in processes[1:]:
            one.quarantine_store.load(name, data)
            one.quarantine_store.tick()
            await one.done()
        assert store.writes == 1

    play(work, monkeypatch)


def test_the_record_of_one_that_is_released_is_dropped(monkeypatch):
    async def work(store, processes):
        for one in processes:
            one.hold()
            one.quarantine_store.tick()
        for one in processes:
            one.clock.now += quarantines.QUARANTINE_SECONDS / len(processes)
        for one in processes:
            one.quarantine_store.tick()
            await one.done()
        assert list(store.data_by_name.values()) == [b""]

    play(work, monkeypatch)


def test_a_record_of_another_writer_holds_nothing_back(monkeypatch):
    async def work(store, processes):
        one = processes[0]
        before = invalid_input.count_by_source[invalid_input.Source.MEMBER]
        far = messages.Evidence(
            DEADLY, (messages.Crash(1, float("nan"), True, False),)
        )
        strange = messages.encode(messages.StoredEvidence(float("inf"), far))
        for data in (b"", b"\xff", b"{}", strange):
            one.quarantine_store.load(
                quarantine_store.RECORD_PREFIX + "x", data
            )
        assert not held(one)
        after = invalid_input.count_by_source[invalid_input.Source.MEMBER]
        assert after == before + 4

    play(work, monkeypatch)
