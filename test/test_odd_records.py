"""Records of another writer, next to those that processes store.

A record with a number out of range ended the task that reads the records, so
the process did not follow them any more. Many old records used up the
descriptors.
"""

import asyncio
import base64
import time

import msgspec
import pytest

from forklift import departures
from forklift import messages
from forklift import quarantine as quarantines
from forklift import stored_records
from forklift.platform import configuration
from forklift.platform import store as platform_store
from forklift.shell import client
from forklift.shell import departure_store
from forklift.shell import store_follower
from forklift_lab import store as lab_store
from test import helper
from test import processes

TOPIC = {"topic": platform_store._MEMBERS_TOPIC, "part": "0"}
FINGERPRINT = b"f" * 16
NESTED = b"\x91" * 100_000
# Descriptors that writes to the store may take.
MAX_CONNECTIONS = 16
# The longest key that the store takes, and one whose invalid bytes the store
# replaces, so that it is longer than the store takes.
LONGEST = "k" * 255
REPLACED = "\ufffd" * 255


def evidence(crash_id: int, fingerprint: bytes = FINGERPRINT) -> bytes:
    """Stored evidence whose crash has any number, encoded without checks."""
    crash = messages.Crash(crash_id, 1.0, True, False)
    return messages.encode(
        messages.StoredEvidence(
            time.time(), messages.Evidence(fingerprint, (crash,))
        )
    )


def departure(number: int, at: float = 1.0) -> tuple[str, bytes]:
    """A valid departure of a process that is gone."""
    stored = departures.StoredDeparture("gone", f"i-{number}", at)
    name = stored_records.departure_name(stored.process, stored.target)
    return name, departures.encode(stored)


EVIDENCE_NAME = stored_records.evidence_name(FINGERPRINT)
DEPARTURE_NAME, DEPARTURE = departure(1)
ODD = {
    "a crash with a negative number": (EVIDENCE_NAME, evidence(-1)),
    "evidence under another name": ("held/x", evidence(1)),
    "evidence under a name that is too long": (
        stored_records.evidence_name(b"f" * 200),
        evidence(1),
    ),
    "nested evidence": (EVIDENCE_NAME, NESTED),
    "a departure under another name": ("left/x", DEPARTURE),
    "a departure under a name that is too long": (
        stored_records.DEPARTURE_PREFIX + REPLACED,
        DEPARTURE,
    ),
    "a departure at no time": (
        DEPARTURE_NAME,
        departure(1, float("nan"))[1],
    ),
    "a checkpoint under the name of a departure": (
        DEPARTURE_NAME,
        departures.encode(departures.Checkpoint("gone", 1)),
    ),
    "a nested departure": (DEPARTURE_NAME, NESTED),
    "a nested member": ("m", NESTED),
    "a long name": (LONGEST, b"x"),
    "a name that is too long": (REPLACED, b"x"),
    "no name": ("", b"x"),
    "a large record": ("large", b"x" * 262_000),
}


@pytest.mark.parametrize("what", ODD)
def test_odd_record_is_invalid(what):
    name, data = ODD[what]
    with pytest.raises(messages.MalformedMessage):
        stored_records.decode(name, data)


def put(fleet: processes.Fleet, name: str, data: bytes) -> None:
    """Stores a record, without the checks of the store."""
    partition = fleet.store._partition(TOPIC)
    partition.newest_by_key[name] = (partition.end, data)


def has_found(process, name: str) -> bool:
    return name in process.directory.member_by_name


async def follow_members(odd: dict[str, bytes]) -> None:
    """Stores odd records, and looks whether processes go on."""
    escaped = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: escaped.append(context)
    )
    async with processes.Fleet([[], []]) as fleet:
        for name, data in odd.items():
            put(fleet, name, data)
        for one in fleet.proxies:
            one.control_protocols.store_data_lost.set()
        # One that starts reads them first of all.
        fleet.scripts.append([])
        fleet.targets.append(fleet.targets[0])
        await fleet.start(2)
        await helper.until(
            lambda: all(has_found(one, "p2") for one in fleet.proxies[:2])
        )
        await helper.until(lambda: has_found(fleet.proxies[2], "p0"))
        # They read the records again.
        calls = fleet.store.calls
        for one in fleet.proxies:
            one.control_protocols.store_data_lost.set()
        await helper.until(lambda: fleet.store.calls >= calls + 6)
        for one in fleet.proxies:
            assert isinstance(one.quarantine.digest(), int)
            assert not any(task.done() for task in one._tasks)
        assert (await fleet.ask()).status == 200
    assert escaped == []


@pytest.mark.parametrize("what", ODD)
def test_processes_follow_their_members_beside_an_odd_record(what, monkeypatch):
    monkeypatch.setattr(store_follower, "REANNOUNCE_WINDOW", 0.01)
    name, data = ODD[what]
    helper.run(follow_members({name: data}))


def test_odd_evidence_of_a_peer_is_malformed():
    """Guards against a number that can't be hashed, told by a peer."""
    crash = messages.Crash(-1, 1.0, True, False)
    message = messages.SuspectedRequests(
        messages.Sender("p", "127.0.0.1:1"),
        (messages.Evidence(FINGERPRINT, (crash,)),),
        False,
    )
    with pytest.raises(messages.MalformedMessage):
        messages.decode_control(messages.encode(message))


def test_largest_crash_number_can_be_hashed():
    quarantine = quarantines.Quarantine()
    stored = messages.decode_evidence(evidence(2**64 - 1))
    quarantine.merge([stored.evidence], 1.0)
    assert quarantine.digest()


# Many records.


def test_many_old_records_are_deleted_one_at_a_time(monkeypatch):
    """All of them were deleted at once, each over a connection of its own."""
    count = 10 * departure_store.MAX_DELETIONS_PER_READ
    running, most, deletions = 0, 0, 0

    async def work():
        nonlocal running, most, deletions
        async with processes.Fleet([[], []]) as fleet:
            for number in range(count):
                put(fleet, *departure(number))
            append = fleet.store._append

            async def count_appends(query, body):
                nonlocal running, most, deletions
                running += 1
                most = max(most, running)
                deletions += b"left/" in body
                await asyncio.sleep(0)
                running -= 1
                return await append(query, body)

            monkeypatch.setitem(
                lab_store._HANDLERS,
                ("POST", "/log-append"),
                lambda store, query, body: count_appends(query, body),
            )
            for one in fleet.proxies:
                one.control_protocols.store_data_lost.set()
            await helper.until(lambda: deletions)
            # All deletions of a process have one task.
            assert max(len(one._tasks) for one in fleet.proxies) < 20
            await helper.until(
                lambda: (
                    not any(
                        one.departure_store._deletions for one in fleet.proxies
                    )
                )
            )
            # A deletion of each process, and its announcement.
            assert most <= 2 * len(fleet.proxies)
            limit = departure_store.MAX_DELETIONS_PER_READ
            assert deletions <= limit * len(fleet.proxies)

    monkeypatch.setattr(store_follower, "REANNOUNCE_WINDOW", 0.01)
    helper.run(work())


def test_read_keeps_no_record_that_is_not_accepted():
    """Another writer may have filled the store."""
    sizes = []

    def pages():
        for page in range(20):
            key = f"k{page:02d}"
            value = base64.b64encode(b"x" * 100_000).decode()
            item = {"key": key, "value": value, "offset": page}
            yield {"items": [item], "end": 20, "has-more": page < 19}

    answers = pages()

    class Client:
        address = ""

        async def request(self, *args, **kwargs):
            body = msgspec.json.encode(next(answers))
            return client.Response(200, (), body)

    def accepts(name, data):
        sizes.append(len(data))
        return name == "k07"

    store = platform_store.Store("127.0.0.1:1")
    store._client = Client()
    read = helper.run(store.members(accepts))
    assert list(read.data_by_name) == ["k07"]
    assert sizes == [100_000] * 20


def test_announcements_use_few_connections():
    most, running = 0, 0

    class Client:
        async def request(self, *args, **kwargs):
            nonlocal most, running
            running += 1
            most = max(most, running)
            await asyncio.sleep(0)
            running -= 1
            return client.Response(200, (), b"")

    async def work():
        store = platform_store.Store("127.0.0.1:1")
        store._client = Client()
        await asyncio.gather(*(store.announce(f"n{i}", b"") for i in range(99)))

    helper.run(work())
    assert most <= MAX_CONNECTIONS


def test_much_old_evidence_is_deleted_a_few_records_at_a_time():
    """All of it was deleted at once, each record by a task of its own."""
    count = 2 * quarantines.MAX_CASES

    async def work():
        async with processes.Fleet([[]]) as fleet:
            (one,) = fleet.proxies
            store = one.quarantine_store
            for number in range(count):
                fingerprint = number.to_bytes(16, "big")
                name = stored_records.evidence_name(fingerprint)
                store.load(name, evidence(1, fingerprint))
            tasks = len(one._tasks)
            store.tick()
            assert len(one._tasks) - tasks <= MAX_CONNECTIONS
            # The others are deleted later.
            left = len(store._crash_ids_by_fingerprint)
            store.tick()
            assert 0 < len(store._crash_ids_by_fingerprint) < left < count

    helper.run(work())


# The configuration.


@pytest.mark.parametrize("number", [10**30, -(10**30), 2**63])
def test_priority_out_of_range_is_rejected(number):
    """Requests of the route could not be sent to peers."""
    route = processes.route(priority=number)
    for record in (
        processes.record(1, r=route),
        processes.record(1) | {"tenants": {"o": {"priority": number}}},
    ):
        with pytest.raises(configuration.InvalidRecord):
            configuration.decode(msgspec.json.encode(record))


def test_nested_configuration_is_rejected():
    nested = b"[" * 100_000 + b"]" * 100_000
    data = b'{"version": 1, "routes": {}, "services": {}, "x": ' + nested + b"}"
    with pytest.raises(configuration.InvalidRecord):
        configuration.decode(data)
