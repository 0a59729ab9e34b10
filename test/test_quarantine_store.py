"""Evidence on quarantined requests survives the end of all processes."""

import asyncio
import random

from forklift import errors
from forklift import invalid_input
from forklift import messages
from forklift import quarantine as quarantines
from forklift import stored_records
from forklift.shell import quarantine_store
from forklift.shell import store_follower
from test import helper

CRASHING = b"deadly"
NAMES = ("p0", "p1", "p2")


class Store:
    """Fails a few writes, then keeps the newest record of each name."""

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
    """A process reduced to its quarantine and quarantine store."""

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

    def quarantine_request(self) -> None:
        """Records crashes of two targets that ran only the request."""
        for number in (1, 2):
            self.quarantine.record_crash({CRASHING}, number, self.clock.now)

    async def wait_for_writes(self) -> None:
        await asyncio.gather(*self.tasks)


def quarantined_for(process: Process) -> float:
    return process.quarantine.quarantined_for(CRASHING, process.clock.now)


def play(work, monkeypatch, failures: int = 0) -> None:
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.01)

    async def run():
        store, clock = Store(failures), helper.FakeClock()
        await work(store, [Process(name, store, clock) for name in NAMES])

    helper.run(run())


def test_write_after_a_crash_is_retried_until_the_store_answers(monkeypatch):
    async def work(store, processes):
        first, second = processes[:2]
        first.quarantine_request()
        first.quarantine_store.save()
        await first.wait_for_writes()
        ((name, data),) = store.data_by_name.items()
        second.clock.now += 100.0
        second.quarantine_store.load(name, data)
        assert (
            quarantined_for(second)
            == quarantined_for(first)
            == quarantines.QUARANTINE_SECONDS - 100.0
        )

    play(work, monkeypatch, failures=3)


def test_exactly_one_process_writes_evidence_that_has_no_record(monkeypatch):
    """The process that saw the crash may end before it writes the record."""

    async def work(store, processes):
        for one in processes:
            one.quarantine_request()
            for _ in range(5):
                one.quarantine_store.tick()
            await one.wait_for_writes()
        assert store.writes == 1

    play(work, monkeypatch)


def test_loaded_record_is_not_written_again(monkeypatch):
    async def work(store, processes):
        processes[0].quarantine_request()
        processes[0].quarantine_store.save()
        await processes[0].wait_for_writes()
        ((name, data),) = store.data_by_name.items()
        for one in processes[1:]:
            one.quarantine_store.load(name, data)
            one.quarantine_store.tick()
            await one.wait_for_writes()
        assert store.writes == 1

    play(work, monkeypatch)


def test_record_is_deleted_when_the_quarantine_ends(monkeypatch):
    async def work(store, processes):
        for one in processes:
            one.quarantine_request()
            one.quarantine_store.tick()
        for one in processes:
            one.clock.now += quarantines.QUARANTINE_SECONDS / len(processes)
        for one in processes:
            one.quarantine_store.tick()
            await one.wait_for_writes()
        assert list(store.data_by_name.values()) == [b""]

    play(work, monkeypatch)


def test_malformed_record_is_counted_and_ignored(monkeypatch):
    async def work(store, processes):
        one = processes[0]
        before = invalid_input.count_by_source[invalid_input.Source.MEMBER]
        evidence = messages.Evidence(
            CRASHING, (messages.Crash(1, float("nan"), True, False),)
        )
        not_finite = messages.encode(
            messages.StoredEvidence(float("inf"), evidence)
        )
        for data in (b"", b"\xff", b"{}", not_finite):
            one.quarantine_store.load(
                stored_records.EVIDENCE_PREFIX + "x", data
            )
        assert not quarantined_for(one)
        after = invalid_input.count_by_source[invalid_input.Source.MEMBER]
        assert after == before + 4

    play(work, monkeypatch)
