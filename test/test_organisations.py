"""Tests authentication by key, organisation names and rate limits."""

import asyncio
import dataclasses

import msgspec
import pytest
import structlog

from forklift import header_fields
from forklift import limit_refusals
from forklift import organisations
from forklift import overload
from forklift.platform import configuration
from forklift.shell import admin
from forklift.shell import client
from forklift.shell import framing
from forklift.shell import http
from forklift.shell import reports
from forklift.shell import telemetry
from forklift_lab import scripted
from test import helper
from test import processes

KEY = "k-secret-of-the-fund"
SECOND = "k-second-of-the-fund"
OTHER = "k-secret-of-the-clerks"
UNKNOWN_KEY = "k-secret-of-nobody"
KEYS = (KEY, SECOND, OTHER, UNKNOWN_KEY)
FIELD = header_fields.DEFAULT.key.decode()
NAME = header_fields.DEFAULT.organisation


def record(version: int = 1, **changes) -> dict:
    return {
        **processes.record(
            version,
            r=processes.route(),
            inner=processes.route(**{"path-prefix": "/open/", "public": True}),
            once=processes.route(
                "non_idempotent", **{"path-prefix": "/once/", "priority": 2}
            ),
        ),
        "tenants": {
            "fund": {"api-keys": [KEY, SECOND], "priority": 0},
            "clerks": {"api-keys": [OTHER]},
        },
        **changes,
    }


async def ask(fleet, *fields: tuple[str, str], path="/a/", number=0):
    asker = client.Client(fleet.proxies[number].caller_address)
    try:
        return await asker.request("GET", path, b"", fields, 30.0, host="h")
    finally:
        asker.close()


def last(fleet):
    received = [one for target in fleet.targets for one in target.received]
    return max(received, key=lambda one: one.at)


@pytest.mark.parametrize(
    ("key", "name"), [(KEY, b"fund"), (SECOND, b"fund"), (OTHER, b"clerks")]
)
def test_target_receives_the_name_of_the_organisation(key, name):
    async def work(fleet):
        for number in range(2):
            forged = (NAME.decode(), "somebody")
            answer = await ask(fleet, (FIELD, key), forged, number=number)
            assert answer.status == 200
            assert last(fleet).head.lower().count(NAME + b":") == 1
            assert last(fleet).field(NAME) == name
            assert FIELD.encode() not in last(fleet).head.lower()

    processes.play(work, [[], []], first=record())


@pytest.mark.parametrize(
    "fields",
    [
        (),
        ((FIELD, UNKNOWN_KEY),),
        ((FIELD, ""),),
        ((FIELD, KEY.upper()),),
        ((FIELD, f"{KEY} {OTHER}"),),
        ((FIELD, f"{KEY},{KEY}"),),
        ((FIELD, KEY), (FIELD, KEY)),
        ((FIELD, UNKNOWN_KEY), (FIELD, KEY)),
        ((NAME.decode(), "fund"),),
    ],
    ids=lambda fields: str(len(fields)),
)
def test_request_without_exactly_one_known_key_is_rejected(fields):
    async def work(fleet):
        answer = await ask(fleet, *fields)
        assert answer.status == 401
        assert fleet.runs() == 0
        counted = reports.build_state_dump(fleet.proxies[0]).requests
        assert counted == {"not-run/unknown-caller": 1}
        for key in KEYS:
            assert key.encode() not in answer.body

    processes.play(work, [[]], first=record())


def test_white_space_around_a_key_is_ignored():
    async def work(fleet):
        answer = await raw(fleet, f"{FIELD}:  {KEY}\t ")
        assert answer.startswith(b"HTTP/1.1 200")

    processes.play(work, [[]], first=record())


def test_public_route_needs_no_key_but_rejects_an_unknown_one():
    """Calls between targets carry no key and use public routes.

    Other routes reject requests without a key.
    """

    async def work(fleet):
        assert (await ask(fleet, path="/open/")).status == 200
        assert last(fleet).field(NAME) == b""
        known = await ask(fleet, (FIELD, KEY), path="/open/")
        assert known.status == 200
        assert last(fleet).field(NAME) == b"fund"
        unknown = await ask(fleet, (FIELD, UNKNOWN_KEY), path="/open/")
        assert unknown.status == 401
        assert (await ask(fleet, path="/a/")).status == 401

    processes.play(work, [[]], first=record())


def test_configuration_without_organisations_needs_no_keys():
    async def work(fleet):
        assert (await ask(fleet)).status == 200
        assert (await ask(fleet, (FIELD, UNKNOWN_KEY))).status == 200
        assert UNKNOWN_KEY.encode() not in last(fleet).head
        assert last(fleet).field(NAME) == b""

    processes.play(work, [[]])


def test_keys_change_with_the_configuration():
    async def work(fleet):
        one = fleet.proxies[0]
        changed = record(2)
        changed["tenants"]["fund"]["api-keys"] = [UNKNOWN_KEY]
        fleet.store.configure(changed)
        await helper.until(lambda: one.active_catalog.catalog.version == 2)
        for key, status in ((KEY, 401), (SECOND, 401), (UNKNOWN_KEY, 200)):
            assert (await ask(fleet, (FIELD, key))).status == status

    processes.play(work, [[]], first=record())


def test_priority_of_organisation_overrides_that_of_route():
    async def work(fleet):
        seen = []
        one = fleet.proxies[0]
        run = one.local_targets.run

        async def note(target, ticket, *rest):
            seen.append(ticket.priority)
            return await run(target, ticket, *rest)

        one.local_targets.run = note
        for key in (KEY, OTHER):
            await ask(fleet, (FIELD, key), path="/once/")
        assert seen == [0, 2]

    processes.play(work, [[]], first=record())


def test_all_keys_of_an_organisation_give_the_same_fingerprint():
    """Otherwise another key of the organisation evades a quarantine."""

    async def work(fleet):
        seen = []
        one = fleet.proxies[0]
        run = one.forwarder.run

        async def note(request, sink):
            seen.append(request.fingerprint)
            return await run(request, sink)

        one.forwarder.run = note
        for key in (KEY, SECOND, OTHER):
            await ask(fleet, (FIELD, key))
        assert seen[0] == seen[1] != seen[2]

    processes.play(work, [[]], first=record())


def test_no_key_is_in_any_byte_that_leaves(monkeypatch):
    """Guards against keys in requests to targets, messages, logs or the store.

    Covers served, rejected, retried, aborted and malformed requests, and a
    configuration sent from peer to peer.
    """
    left: list[bytes] = []
    send_frame = framing.FrameConnection.send

    def note_frame(self, frame):
        left.append(msgspec.msgpack.encode(frame))
        return send_frame(self, frame)

    monkeypatch.setattr(framing.FrameConnection, "send", note_frame)

    async def work(fleet):
        first = fleet.proxies[0]
        for one in fleet.proxies:
            send = one.control_channel.send

            def note(address, message, renew=False, send=send):
                left.append(msgspec.msgpack.encode(message))
                return send(address, message, renew)

            one.control_protocols._send_to = note
        with structlog.testing.capture_logs() as logs:
            for key in KEYS:
                for path in ("/a/", "/once/", "/open/", "/none/"):
                    for target in fleet.targets:
                        target.script += ["reset"]
                    await ask(fleet, (FIELD, key), path=path)
                await malformed(fleet, key)
            left.append(str(logs).encode())
        left.append(first.active_catalog.catalog.record)
        left.extend(one.head for t in fleet.targets for one in t.received)
        for one in fleet.proxies:
            left.append(msgspec.json.encode(reports.build_state_dump(one)))
            left.append(repr(vars(one.active_catalog.catalog.callers)).encode())
        left.append(await metrics(first))
        for (topic, _), partition in fleet.store.partition_by_place.items():
            if topic != "keyed.op":
                left.extend(partition.records)

    processes.play(work, [[], []], first=record())
    assert len(left) > 10
    for key in KEYS:
        assert not [data for data in left if key.encode() in data]


async def raw(fleet, line: str) -> bytes:
    """Sends a request with an arbitrary header line; returns the response."""
    host, _, port = fleet.proxies[0].caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"GET /a/ HTTP/1.1\r\nhost: h\r\n{line}\r\n\r\n"
    writer.write(head.encode("latin-1"))
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return answer


async def malformed(fleet, key: str) -> None:
    """Sends malformed requests that contain a key."""
    for line in (f"{FIELD} : {key}", f"{key}", f"{FIELD}: {key}\x01"):
        answer = await raw(fleet, line)
        assert answer.startswith(b"HTTP/1.1 4")
        assert key.encode() not in answer


async def metrics(one) -> bytes:
    call = admin.AdminRequest("", {}, b"")
    return (await admin.metrics(admin.AdminServer(one), call)).body


# Rate limits of whole processes.


def limited(rate: float) -> dict:
    data = record()
    data["tenants"]["fund"] |= {"rate-per-s": rate, "burst": rate}
    return data


def set_overload_mode(fleet, mode: overload.Mode) -> None:
    for process in fleet.proxies:
        changed = dataclasses.replace(process.settings.overload, mode=mode)
        process.reload(dataclasses.replace(process.settings, overload=changed))


def test_rate_limiter_follows_the_mode_of_overload_control():
    """Guards against decisions by the mode that a process started with."""

    async def work(fleet):
        limiter = fleet.proxies[0].rate_limiter
        for mode in (overload.Mode.ON, overload.Mode.OFF, overload.Mode.ON):
            set_overload_mode(fleet, mode)
            expected = mode is overload.Mode.ON
            assert limiter._overload_control() is expected
            assert limiter.limiter._overload_control() is expected
            assert limiter.limiter.quota._overload_control() is expected

    processes.play(work, [[]], first=limited(5))


MODES = pytest.mark.parametrize("mode", [overload.Mode.AUTO, overload.Mode.ON])


async def request_until_admitted(fleet, *fields):
    """Sends requests until one is not rejected by the rate limit.

    Buckets start empty, as an earlier fleet may have spent the tokens.
    """
    while True:
        answer = await ask(fleet, (FIELD, KEY), *fields)
        if answer.status != 429:
            return answer


@MODES
def test_requests_beyond_the_limit_get_429_with_retry_after(mode):
    async def work(fleet):
        set_overload_mode(fleet, mode)
        assert (await request_until_admitted(fleet)).status == 200
        with structlog.testing.capture_logs() as logs:
            answers = await asyncio.gather(
                *(
                    ask(fleet, (FIELD, KEY), number=number % 3)
                    for number in range(120)
                )
            )
        statuses = [answer.status for answer in answers]
        assert set(statuses) <= {200, 429}
        # The permitted number of requests in one window.
        assert statuses.count(200) <= 53
        refused = [one for one in answers if one.status == 429]
        waits = {http.value(one.headers, b"retry-after") for one in refused}
        assert all(float(wait) > 0 for wait in waits)
        assert len(waits) > 1
        assert b"limited" in refused[0].body
        other = await ask(fleet, (FIELD, OTHER))
        assert other.status == 200
        told = [one for one in logs if one["event"] == "limited"]
        assert told[0]["organisation"] == "fund"
        assert told[0]["rate"] == 5
        assert told[0]["cause"] in set(limit_refusals.Cause)
        use = reports.build_state_dump(fleet.proxies[0]).organisations[0]
        assert (use.name, use.rate) == ("fund", 5)
        assert use.refused > 0
        dump = reports.build_state_dump(fleet.proxies[0])
        counted = dump.limit_refusals[0]
        assert counted.name == "fund"
        assert sum(counted.refused.values()) == use.refused
        metrics = telemetry.Telemetry(fleet.proxies[0]).render().decode()
        assert 'forklift_limits_refused_total{cause="' in metrics
        assert "forklift_limits_refused_within_total{" in metrics

    processes.play(work, [[], [], []], first=limited(5))


@MODES
def test_organisation_within_its_limit_is_served_by_all_processes(mode):
    async def work(fleet):
        set_overload_mode(fleet, mode)
        await request_until_admitted(fleet)
        for number in range(30):
            answer = await ask(fleet, (FIELD, KEY), number=number % 3)
            assert answer.status == 200

    processes.play(work, [[], [], []], first=limited(1000))


def test_admitted_request_that_did_not_run_is_refunded():
    async def work(fleet):
        one = fleet.proxies[0]
        back = []
        one.rate_limiter.refund = back.append
        one.local_targets.by_name["t0"].controller.mark_draining()
        answer = await request_until_admitted(
            fleet, ("x-request-timeout-ms", "200")
        )
        assert answer.status == 503
        assert back == ["fund"]

    processes.play(work, [[]], first=limited(50))


# Organisations in the configuration record.


def test_organisations_of_a_record_are_decoded():
    data = record()
    data["tenants"]["fund"] |= {"rate-per-s": 8, "burst": 4}
    found = configuration.decode(msgspec.json.encode(data))
    fund = found.organisation("fund")
    assert (fund.rate, fund.burst, fund.priority) == (8, 4, 0)
    assert fund.limited and not found.organisation("clerks").limited
    assert found.organisation("nobody") is None


@pytest.mark.parametrize(
    "wrong",
    [
        {"fund": {"api-keys": [KEY]}, "clerks": {"api-keys": [KEY]}},
        {"fund": {"api-keys": [KEY], "rate-per-s": -1}},
        {"fund": {"api-keys": [KEY], "burst": -1}},
        {"fund": {"api-keys": [f"{KEY} "]}},
        {"fund": {"api-keys": [""]}},
        {"fund": {"api-keys": ["a\r\nb"]}},
        {"fund": {"api-keys": KEY}},
        {"fund": {"api-keys": [7]}},
        {"fund": None},
        {"a b": {"api-keys": [KEY]}},
        {"": {"api-keys": [KEY]}},
        [],
        None,
    ],
    ids=str,
)
def test_invalid_organisations_are_rejected_with_a_one_line_error(wrong):
    data = msgspec.json.encode(record(tenants=wrong))
    with pytest.raises(configuration.InvalidRecord) as found:
        configuration.decode(data)
    assert "\n" not in str(found.value)
    for key in KEYS:
        assert key not in str(found.value)


def test_configuration_from_a_peer_identifies_callers():
    handed = configuration.with_key_digests(msgspec.json.encode(record()))
    found = configuration.decode(handed)
    for key in (KEY, SECOND):
        assert found.callers.identify([key.encode()], False).name == "fund"
    for known in found.callers.by_name.values():
        digests = [digest.hex() for digest in known.digests]
        for digest in digests:
            with pytest.raises(organisations.UnknownCaller):
                found.callers.identify([digest.encode()], False)
    assert found.record == handed


def test_record_for_peers_keeps_unknown_fields():
    data = record(**{"of-tomorrow": {"a": [1, None]}})
    data["tenants"]["fund"]["of-tomorrow"] = True
    handed = configuration.with_key_digests(msgspec.json.encode(data))
    read = msgspec.json.decode(handed)
    assert read["of-tomorrow"] == data["of-tomorrow"]
    assert read["tenants"]["fund"]["of-tomorrow"] is True
    assert configuration.with_key_digests(handed) == handed


def test_key_is_unknown_without_organisations():
    known = organisations.Organisations([])
    with pytest.raises(organisations.UnknownCaller):
        known.identify([KEY.encode()], True)


def test_unknown_caller_gets_401_with_an_explanation():
    problem = http.problem(
        http.messages.Outcome.NOT_RUN,
        http.messages.Reason.UNKNOWN_CALLER,
        "r",
    )
    assert problem.status == 401
    assert scripted.BODY not in http.encode_problem(problem)
