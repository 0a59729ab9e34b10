"""The side of callers: a table of malformed, slow and hanging callers."""

import asyncio

import pytest

from forklift import effective
from forklift.shell import wire
from forklift_lab import loading
from test import helper

GET = b"GET /x HTTP/1.1\r\nhost: s\r\nx-token: t\r\n"
POST = b"POST /c HTTP/1.1\r\nhost: s\r\nx-token: t\r\n"

MALFORMED = {
    "both lengths": (
        POST + b"content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n{}",
        400,
    ),
    "two lengths": (
        POST + b"content-length: 2\r\ncontent-length: 3\r\n\r\n{}",
        400,
    ),
    "length not a number": (POST + b"content-length: +2\r\n\r\n{}", 400),
    "bad chunk": (
        POST + b"transfer-encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
        400,
    ),
    "unknown coding": (
        POST + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        501,
    ),
    "folded header": (GET + b"a: b\r\n c\r\n\r\n", 400),
    "bare line feed": (GET + b"a: b\nx: y\r\n\r\n", 400),
    "nul byte": (GET + b"a: \0\r\n\r\n", 400),
    "two hosts": (GET + b"host: other\r\n\r\n", 400),
    "no host": (b"GET /x HTTP/1.1\r\n\r\n", 400),
    "space in name": (GET + b"a b: c\r\n\r\n", 400),
    "old version": (b"GET /x HTTP/1.0\r\nhost: s\r\n\r\n", 505),
    "absolute target": (b"GET http://a/x HTTP/1.1\r\nhost: s\r\n\r\n", 400),
    "connect": (b"CONNECT a:1 HTTP/1.1\r\nhost: s\r\n\r\n", 400),
    "no http": (b"hello there\r\n\r\n", 400),
    "head too large": (GET + b"a: " + b"x" * 70_000 + b"\r\n\r\n", 431),
    "timeout no number": (GET + b"x-request-timeout-ms: soon\r\n\r\n", 400),
    "key too long": (
        POST + b"idempotency-key: " + b"k" * 300 + b"\r\n\r\n",
        422,
    ),
    "body too large": (
        POST + b"content-length: 99999999999999\r\n\r\n",
        413,
    ),
}


async def send(address: str, data: bytes) -> bytes:
    connection = await wire.connect(address)
    connection.write(data)
    answer = b""
    try:
        while piece := await connection.read():
            answer += piece
    finally:
        connection.abort()
    return answer


@pytest.fixture(scope="module")
def fleet_and_runner():
    with asyncio.Runner() as runner:
        fleet = helper.Fleet(1)
        runner.run(fleet.__aenter__())
        yield fleet, runner
        runner.run(fleet.__aexit__())


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_is_refused_closed_and_never_forwarded(
    name, fleet_and_runner
):
    fleet, runner = fleet_and_runner
    data, status = MALFORMED[name]
    begun = fleet.targets[0].begun
    answer = runner.run(send(fleet.places[0].caller, data))
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    assert b"application/problem+json" in answer
    assert b'"outcome":"not-run"' in answer
    assert fleet.targets[0].begun == begun


def test_pipelined_requests_are_answered_in_order(fleet_and_runner):
    fleet, runner = fleet_and_runner
    parts = [
        b"GET /x HTTP/1.1\r\nhost: s\r\nx-token: t%d\r\n\r\n" % n
        for n in range(3)
    ]
    last = parts[2].replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
    data = parts[0] + parts[1] + last
    answer = runner.run(send(fleet.places[0].caller, data))
    places = [answer.index(b'"t%d"' % n) for n in range(3)]
    assert places == sorted(places)


@pytest.mark.parametrize("size", [0, 5, 16_384, 16_385, 200_000])
@pytest.mark.parametrize("chunked", [True, False])
def test_bodies_of_all_sizes(size, chunked, fleet_and_runner):
    fleet, runner = fleet_and_runner
    token = f"{size}{chunked}"
    head = POST.replace(b"x-token: t", b"x-token: " + token.encode())
    head += b"connection: close\r\n"
    body = b"x" * size
    if chunked:
        head += b"transfer-encoding: chunked\r\n\r\n"
        parts = [body[i : i + 1000] for i in range(0, size, 1000)]
        body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
        body += b"0\r\n\r\n"
    else:
        head += b"content-length: %d\r\n\r\n" % size
    answer = runner.run(send(fleet.places[0].caller, head + body))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert fleet.targets[0].runs_by_token[token] == 1


def test_expect_100_is_answered_before_the_body(fleet_and_runner):
    fleet, runner = fleet_and_runner

    async def work():
        connection = await wire.connect(fleet.places[0].caller)
        connection.write(
            POST + b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n"
        )
        assert (await connection.read()).startswith(b"HTTP/1.1 100 ")
        connection.write(b"{}")
        answer = await connection.read()
        connection.abort()
        return answer

    assert runner.run(work()).startswith(b"HTTP/1.1 200 ")


def test_head_has_no_body(fleet_and_runner):
    fleet, runner = fleet_and_runner
    data = GET.replace(b"GET", b"HEAD") + b"connection: close\r\n\r\n"
    answer = runner.run(send(fleet.places[0].caller, data))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"\r\n\r\n")
    assert b"content-length: 5" in answer.lower()


@pytest.mark.parametrize(
    "data",
    [GET, POST + b"content-length: 5\r\n\r\nab", b""],
    ids=["head", "body", "nothing"],
)
def test_slow_callers_are_let_go(data):
    async def work():
        async with helper.Fleet(1) as fleet:
            node = fleet.nodes[0]
            limits = helper.settings.Limits(idle=0.2, head=0.2, stall=0.2)
            node.callers._limits = limits
            await send(fleet.places[0].caller, data)
            await helper.until(lambda: node.callers.connections == 0)
            assert fleet.targets[0].begun == 0

    helper.run(work())


def test_hop_by_hop_headers_go_and_via_stays(fleet_and_runner):
    fleet, runner = fleet_and_runner
    seen = {}
    target = fleet.targets[0]
    answer_of = target._answer

    def spy(request, effect):
        seen.update(dict(request.headers))
        return answer_of(request, effect)

    target._answer = spy
    data = GET + (
        b"connection: close, x-hop\r\nx-hop: 1\r\nte: trailers\r\n"
        b"via: 1.0 before\r\nx-request-timeout-ms: 700\r\n\r\n"
    )
    runner.run(send(fleet.places[0].caller, data))
    target._answer = answer_of
    assert b"x-hop" not in seen
    assert b"te" not in seen
    assert seen[b"via"] == b"1.0 before, 1.1 forklift"
    assert b'host="s"' in seen[b"forwarded"]
    assert 0 < int(seen[b"x-request-timeout-ms"]) <= 700


def test_no_route_is_a_404_and_the_connection_lives(fleet_and_runner):
    fleet, runner = fleet_and_runner
    node = fleet.nodes[0]
    kept = node.decisions.effective
    node.decisions.effective = effective.NOTHING
    data = GET + b"\r\n" + GET + b"connection: close\r\n\r\n"
    answer = runner.run(send(fleet.places[0].caller, data))
    node.decisions.effective = kept
    assert answer.count(b"HTTP/1.1 404 ") == 2


def test_answer_that_breaks_off_is_visibly_broken(fleet_and_runner):
    fleet, runner = fleet_and_runner
    fleet.targets[0].fault = "short"
    data = POST + b"content-length: 0\r\nconnection: close\r\n\r\n"
    answer = runner.run(send(fleet.places[0].caller, data))
    fleet.targets[0].fault = "none"
    head, _, body = answer.partition(b"\r\n\r\n")
    declared = int(head.lower().partition(b"content-length: ")[2].split()[0])
    assert len(body) < declared


def test_uuid7_of_the_load_is_time_ordered():
    first, second = loading.uuid7(), loading.uuid7()
    issued = helper.keys.issued_at(first)
    assert issued <= helper.keys.issued_at(second)
    assert issued > 1.6e9
