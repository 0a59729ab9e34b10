"""One request on a target that may answer in any way."""

import asyncio

import pytest

from forklift import header_fields
from forklift import messages
from forklift.shell import clock
from forklift.shell import connection_pool
from forklift.shell import exchange
from forklift.shell import upstream
from forklift_lab import scripted
from test import helper

Reason = messages.Reason
NOW = clock.SystemClock().monotonic


class Sink:
    """Keeps what is passed on."""

    def __init__(self):
        self.has_started = False
        self.head = None
        self.body = b""
        self.whole = False

    async def start(self, head: exchange.Head) -> None:
        self.has_started = True
        self.head = head

    async def data(self, piece: bytes) -> None:
        self.body += piece

    async def end(self) -> None:
        self.whole = True


def request(number: int = 1, **changes) -> exchange.Request:
    fields = {
        "id": f"id-{number}",
        "seq": number,
        "service": "s",
        "route": "r",
        "method": b"POST",
        "path": b"/a/b?c=%20d",
        "headers": (
            (b"host", b"h"),
            (header_fields.DEFAULT.request_id, f"id-{number}".encode()),
            (b"x-other", b"kept"),
            (header_fields.DEFAULT.expected, b"forged"),
        ),
        "length": 4,
        "body": exchange.Body(b"body"),
        "deadline": NOW() + 20.0,
        "idempotent": True,
        "origin": "beside",
    }
    fields.update(changes)
    return exchange.Request(**fields)


async def go(
    pool: connection_pool.Pool, sent: exchange.Request, sink: Sink
) -> int:
    run = upstream.UpstreamRequest(
        pool, sent, "t-1", "t-1", header_fields.DEFAULT, NOW
    )
    return await run.execute(lambda: None, lambda: None, sink)


def pool_of(target: scripted.ScriptedTarget) -> connection_pool.Pool:
    return connection_pool.Pool(target.address, 10, NOW)


def play(*script: str, requests: int = 1, **changes):
    """Sends requests in turn; returns target, pool, sinks and outcomes."""

    async def work():
        async with scripted.ScriptedTarget(*script) as target:
            pool = pool_of(target)
            sinks, outcomes = [], []
            for number in range(1, requests + 1):
                sink = Sink()
                sinks.append(sink)
                try:
                    sent = request(number, **changes)
                    outcomes.append(await go(pool, sent, sink))
                except (
                    connection_pool.NotRun,
                    upstream.IncompleteResponse,
                ) as error:
                    outcomes.append((type(error), error.reason))
            pool.close_idle()
            return target, pool, sinks, outcomes

    return helper.run(work())


def test_passes_request_and_answer_on():
    target, _, sinks, outcomes = play("well")
    received = target.received[0]
    assert outcomes == [200]
    assert sinks[0].body == scripted.BODY
    assert sinks[0].whole
    assert received.head.startswith(b"POST /a/b?c=%20d HTTP/1.1\r\n")
    assert received.body == b"body"
    assert received.field(b"x-other") == b"kept"
    assert received.field(header_fields.DEFAULT.expected) == b"t-1"
    assert received.field(header_fields.DEFAULT.origin) == b"beside"
    assert 0 < int(received.field(header_fields.DEFAULT.deadline)) <= 20_000
    assert received.head.count(header_fields.DEFAULT.expected) == 1


@pytest.mark.parametrize(
    "fault", ["reset", "close", "garbage", "short", "unframed-reset"]
)
def test_a_broken_answer_never_begins(fault):
    _, pool, sinks, outcomes = play(fault)
    assert outcomes == [(upstream.IncompleteResponse, Reason.TARGET_BROKE)]
    assert not sinks[0].has_started
    assert pool.open_count == 0


def test_an_answer_that_ends_with_its_connection_is_whole():
    _, pool, sinks, outcomes = play("unframed")
    assert outcomes == [200]
    assert sinks[0].body == scripted.BODY
    assert sinks[0].head.length == len(scripted.BODY)
    assert pool.open_count == 0


def test_a_stray_answer_is_dropped_and_ours_awaited():
    _, _, sinks, outcomes = play("stray-before")
    assert outcomes == [200]
    assert sinks[0].body == scripted.BODY


def test_nothing_left_behind_reaches_the_next_request():
    target, _, sinks, outcomes = play("extra-after", requests=2)
    assert outcomes == [200, 200]
    assert [sink.body for sink in sinks] == [scripted.BODY] * 2
    assert target.connections == 2


@pytest.mark.parametrize(
    ("fault", "reason"),
    [("refuse", Reason.SHED), ("misdirected", Reason.MISDIRECTED)],
)
def test_a_refusal_is_not_run(fault, reason):
    _, _, sinks, outcomes = play(fault)
    assert outcomes == [(connection_pool.NotRun, reason)]
    assert not sinks[0].has_started


def test_a_failure_of_its_own_is_passed_on_as_it_is():
    _, _, sinks, outcomes = play("error")
    assert outcomes == [500]
    assert sinks[0].head.status == 500
    fields = dict(sinks[0].head.headers)
    assert fields[header_fields.DEFAULT.signature] == b"signed"


@pytest.mark.parametrize("idempotent", [True, False])
def test_connections_are_kept(idempotent):
    target, pool, _, _ = play(requests=3, idempotent=idempotent)
    assert target.connections == 1
    assert pool.reused == 2


def test_a_closing_answer_ends_its_connection():
    target, _, _, outcomes = play("closing", requests=2)
    assert outcomes == [200, 200]
    assert target.connections == 2


def test_a_refused_connection_is_not_run():
    async def work():
        async with scripted.ScriptedTarget() as target:
            pool = pool_of(target)
        with pytest.raises(connection_pool.NotRun) as caught:
            await go(pool, request(), Sink())
        assert caught.value.reason is Reason.CONNECT_FAILED
        assert pool.open_count == 0

    helper.run(work())


def test_a_launch_that_is_forbidden_sends_nothing():
    async def work():
        async with scripted.ScriptedTarget() as target:
            run = upstream.UpstreamRequest(
                pool_of(target),
                request(),
                "t-1",
                "t-1",
                header_fields.DEFAULT,
                NOW,
            )
            with pytest.raises(connection_pool.NotRun) as caught:
                await run.execute(lambda: Reason.FENCED, lambda: None, Sink())
            assert caught.value.reason is Reason.FENCED
            assert target.received == []

    helper.run(work())


def test_an_early_answer_to_a_long_body_ends_its_connection():
    async def work():
        more = asyncio.Event()

        async def rest():
            yield b"first"
            await more.wait()
            yield b"never"

        async with scripted.ScriptedTarget() as target:
            pool = pool_of(target)
            sink = Sink()
            # The stand-in reads bodies by their length and answers at once
            # where it finds none.
            long = exchange.Body(b"", rest())
            sent = request(1, length=-1, body=long)
            assert await go(pool, sent, sink) == 200
            assert sink.body == scripted.BODY
            assert pool.open_count == 0
            assert await go(pool, request(2), Sink()) == 200
            assert target.connections == 2
            pool.close_idle()

    helper.run(work())


def test_a_cancelled_request_closes_its_connection():
    async def work():
        async with scripted.ScriptedTarget("hang") as target:
            pool = pool_of(target)
            task = asyncio.create_task(go(pool, request(), Sink()))
            await helper.until(lambda: target.received)
            task.cancel()
            await helper.until(lambda: target.hung_up == 1)
            assert pool.open_count == 0

    helper.run(work())


@pytest.mark.parametrize(
    ("fields", "seconds"),
    [
        ((), upstream.DEFAULT_KEEP_ALIVE),
        (((b"keep-alive", b"timeout=10"),), 10 * upstream.KEEP_ALIVE_FRACTION),
        (
            ((b"keep-alive", b"max=5, timeout=2"),),
            2 * upstream.KEEP_ALIVE_FRACTION,
        ),
        (((b"keep-alive", b"nonsense"),), upstream.DEFAULT_KEEP_ALIVE),
    ],
)
def test_heeds_the_idle_time_of_targets(fields, seconds):
    assert upstream._keep_alive_seconds(fields) == seconds
