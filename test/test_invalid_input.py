"""What other writers send names nothing to use, and the rest holds.

Each document is a valid one with one thing wrong, or any bytes at all: nothing
is raised past the boundary, and what was known before is neither forgotten nor
changed.
"""

import asyncio
import base64
import copy
import json

import h11
import hypothesis
import pytest
from hypothesis import strategies

from forklift import announcement
from forklift import errors
from forklift import header_fields
from forklift import invalid_input
from forklift import messages
from forklift.platform import configuration
from forklift.platform import endpoints
from forklift.platform import store as adapter
from forklift.shell import client
from forklift.shell import probe
from forklift.shell import server
from forklift.shell import upstream
from test import helper

few = hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
DEEP = b"[" * 100_000

# Values that no field of a document takes.
WRONG = (
    None,
    True,
    -1,
    2**63,
    2**70,
    1.5,
    "",
    "unheard-of",
    "9" * 5000,
    [],
    {},
    [[[]]],
    float("inf"),
)

HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 1764720000123,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "cold-remaining-ms": 0},
}
RECORD = {
    "version": 7,
    "routes": {
        "r": {
            "host": "h",
            "path-prefix": "/a/",
            "kind": "idempotent",
            "timeout-ms": 2500,
            "target-latency-ms": 800,
            "priority": 0,
            "weighted-clusters": [{"service": "s", "weight": 1}],
            "retry-attempts": 2,
        }
    },
    "services": {"s": {"health-check": "/health", "max-connections": 330}},
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 100,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


def _paths(document, path=()) -> list[tuple]:
    """Every place of a document, the whole one too."""
    found = [path]
    if isinstance(document, dict):
        for key, value in document.items():
            found += _paths(value, (*path, key))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            found += _paths(value, (*path, index))
    return found


def _changed(document, path: tuple, value: object, drop: bool):
    if not path:
        return value
    document = copy.deepcopy(document)
    place = document
    for part in path[:-1]:
        place = place[part]
    if drop:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return document


def one_thing_wrong(document):
    """Documents in which one place is missing or holds something else."""
    return strategies.builds(
        lambda path, value, drop: json.dumps(
            _changed(document, path, value, drop)
        ).encode(),
        strategies.sampled_from(_paths(document)),
        strategies.sampled_from(WRONG),
        strategies.booleans(),
    )


ANY_BYTES = strategies.binary(max_size=300) | strategies.just(DEEP)


# Targets.


class Doors:
    """The doors of a process, and what came through them."""

    def __init__(self):
        self.seen: list[announcement.Heartbeat] = []
        self.left: list[announcement.TargetIncarnation] = []
        self._doors = endpoints.Endpoints(
            self.seen.append, self.left.append, lambda: True
        )

    def call(self, path: str, body: bytes) -> int:
        request = server.Request("POST", path, (), body)
        return helper.run(self._doors.heartbeat(request)).status


@hypothesis.given(one_thing_wrong(HEARTBEAT) | ANY_BYTES)
@few
def test_heartbeats(body):
    one = Doors()
    status = one.call("/Instances.Heartbeat/i-1", body)
    assert status == (200 if one.seen else 400)
    for said in one.seen:
        # Only what is optional was missing, or a text was another one.
        assert said.incarnation.target == "i-1"
        assert 1 <= said.slots <= endpoints.MAX_SLOTS
        assert 0 <= said.sequence <= endpoints.MAX_SAFE_INTEGER
        assert 0 <= said.cold <= endpoints.MAX_WARMUP_MS


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("status", "state"), "unheard-of"),
        (("status", "state"), 1),
        (("status", "sequence"), "4"),
        (("status", "sequence"), -1),
        (("info", "slots"), 0),
        (("info", "slots"), 2**40),
        (("info", "service"), ""),
        (("born",), 0),
        (("born",), 1764720000123.5),
        (("born",), "1764720000123"),
        (("born",), None),
        (("address",), "t.example:80"),
        (("address",), "10.0.0.1:0"),
    ],
)
def test_a_heartbeat_of_another_writer_is_refused(path, value):
    """An unknown state once counted as ready."""
    one = Doors()
    body = json.dumps(_changed(HEARTBEAT, path, value, False)).encode()
    assert one.call("/Instances.Heartbeat/i-1", body) == 400
    assert one.seen == []


@hypothesis.given(
    strategies.text(max_size=300), one_thing_wrong({"born": 5}) | ANY_BYTES
)
@few
def test_last_words(target, body):
    one = Doors()
    status = one.call(f"/Instances.Deregister/{target}", body)
    assert status == (200 if one.left else 400)


@hypothesis.given(
    strategies.binary(max_size=60).filter(lambda v: b"\n" not in v),
    strategies.binary(max_size=60).filter(lambda v: b"\n" not in v)
    | strategies.just(b"1,1," + b"9" * 5000),
)
@few
def test_health_answers(name, load):
    try:
        response = h11.Response(
            status_code=200,
            headers=[
                (header_fields.DEFAULT.target, name),
                (header_fields.DEFAULT.load, load),
            ],
        )
    except h11.LocalProtocolError:
        return
    found = probe._health(response, header_fields.DEFAULT)
    assert found.target.isprintable()
    assert 0 <= found.slots < 10**6


@pytest.mark.parametrize("value", [b"timeout=" + b"9" * 5000, b"timeout=x"])
def test_a_time_to_keep_a_connection_that_is_no_time(value):
    """A target's answer failed for the digits of its own header."""
    headers = ((b"keep-alive", value),)
    assert upstream._idle_time(headers) == upstream.IDLE_FOR


# The operator.


@hypothesis.given(one_thing_wrong(RECORD) | ANY_BYTES)
@few
def test_the_operators_record(data):
    try:
        found = configuration.decode(data)
    except configuration.InvalidRecord:
        return
    assert 1 <= found.version <= endpoints.MAX_SAFE_INTEGER
    for route in found.routes:
        assert route.timeout > 0
        assert all(share.weight >= 0 for share in route.weighted_services)


# The store, and what others wrote to it.


class Answers:
    """A client of the store that is answered as a test says."""

    def __init__(self, *bodies: bytes):
        self._bodies = list(bodies)

    async def request(self, *args, **kwargs) -> client.Response:
        return client.Response(200, (), self._bodies.pop(0))

    def close(self) -> None:
        """Nothing is open."""


def store_with(*bodies: bytes) -> adapter.Store:
    store = adapter.Store("127.0.0.1:9")
    store._client = Answers(*bodies)
    return store


def item(key: object, **changes: object) -> dict:
    encoded = base64.b64encode(b"x").decode()
    return {"key": key, "value": encoded, "offset": 1, **changes}


def page(*items: dict, **changes: object) -> bytes:
    return json.dumps({"items": items, "end": 9, **changes}).encode()


PAGE = {"items": [item("config"), item("b")], "end": 9, "has-more": False}


@hypothesis.given(one_thing_wrong(PAGE) | ANY_BYTES)
@few
def test_answers_with_the_newest_of_each_key(body):
    for ask in (adapter.Store.members, adapter.Store.configuration):
        try:
            helper.run(ask(store_with(body, page())))
        except errors.RegistryUnavailable:
            continue


@hypothesis.given(ANY_BYTES)
@few
def test_answers_to_a_read(body):
    try:
        helper.run(store_with(body).next_configuration(0, 0.0))
    except errors.RegistryUnavailable:
        return


@pytest.mark.parametrize(
    "other",
    [
        item("b", offset="x"),
        item("b", value=5),
        item("b", value="no base64!"),
        item(7),
        {},
    ],
)
def test_one_entry_that_can_not_be_read_takes_none_of_the_others(other):
    found = helper.run(store_with(page(item("a"), other, item("c"))).members())
    assert found == {"a": b"x", "c": b"x"}


def test_an_entry_that_can_not_be_read_ends_no_list_of_pages():
    bodies = (
        page(item("a"), item("b", value="no base64!"), **{"has-more": True}),
        page(item("c")),
    )
    found = helper.run(store_with(*bodies).members())
    assert found == {"a": b"x", "c": b"x"}


def test_a_record_without_a_whole_key_does_not_hide_the_one_behind_it():
    """The read began at the same place again, for ever."""
    records = (b"\xffbroken", b"", b"\x06configthe record")
    body = adapter._BOUNDS.pack(3, 0) + b"".join(
        adapter._LENGTH.pack(len(record)) + record for record in records
    )
    found = helper.run(store_with(body).next_configuration(0, 0.0))
    assert (found.record, found.position) == (b"the record", 3)


# Members.


def _member(**changes: object) -> bytes:
    fields = {"peer": "10.0.0.1:1", "control": "10.0.0.1:2", **changes}
    info = helper.info(fields.pop("name", "p"), **fields)
    return messages.encode(messages.Announcement(info))


def test_a_member_is_what_its_process_wrote():
    assert messages.decode_announcement("p", _member()).info.name == "p"


@pytest.mark.parametrize(
    "changes",
    [
        {"peer": ""},
        {"peer": "10.0.0.1:0"},
        {"control": "h.example:1"},
        {"started": float("nan")},
        {"started": float("inf")},
        {"config": -1},
        {"targets": (helper.target_info("t"),)},
        {"name": "q"},
    ],
)
def test_a_member_that_no_process_wrote_is_refused(changes):
    with pytest.raises(messages.MalformedMessage):
        messages.decode_announcement("p", _member(**changes))


def test_one_line_a_cause_however_often_it_comes(monkeypatch):
    lines = []
    monkeypatch.setattr(
        invalid_input._log, "warning", lambda *_, **fields: lines.append(fields)
    )
    before = invalid_input.count_by_source.copy()
    invalid_input.count_by_source.clear()
    try:
        for _ in range(1000):
            invalid_input.record(invalid_input.Source.STORE, "no base64")
        count = invalid_input.count_by_source[invalid_input.Source.STORE]
    finally:
        invalid_input.count_by_source.clear()
        invalid_input.count_by_source.update(before)
    assert count == 1000
    assert [line["count"] for line in lines] == [2**n for n in range(10)]


def test_what_can_not_be_read_ends_no_reading_of_the_store():
    """An entry of another writer once ended the task that follows the store."""
    bad = page(item("config", value="no base64!"))
    found = asyncio.run(store_with(bad).configuration())
    assert found.record is None
