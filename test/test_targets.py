"""A table of what targets may answer, and what becomes of it."""

import asyncio

import pytest

from forklift import messages
from forklift.shell import exchange
from forklift.shell import targets
from forklift.shell import wire
from forklift_lab import fleet
from test import helper

Reason = messages.Reason
OK = b"HTTP/1.1 200 OK\r\n"
ECHO = b"x-request-id: id\r\n"
WHOLE = OK + ECHO + b"content-length: 2\r\n\r\nok"


class Sink:
    def __init__(self):
        self.begun = False
        self.ended = False
        self.body = b""

    async def start(self, head):
        self.begun = True

    async def data(self, piece):
        self.body += piece

    async def end(self):
        self.ended = True


def request(repeatable=True, method=b"GET"):
    return exchange.Request(
        "id", 1, "s", "r", method, b"/", ((b"host", b"s"),), 0,
        exchange.Body(), 1e12, repeatable, "", b"", 0,
    )  # fmt: skip


async def run(answer, echo=True, repeatable=True, method=b"GET", times=1):
    """Runs requests against a target that sends fixed bytes."""
    address = fleet.free_addresses(1)[0]

    def serve(connection):
        async def work():
            while data := await connection.read():
                if b"\r\n\r\n" in data:
                    connection.write(answer)
                    if answer.endswith(b"<close>"):
                        connection.close()

        serve.tasks.append(asyncio.create_task(work()))

    serve.tasks = []
    server = await wire.listen(address, serve)
    pool = targets.Pool(address, 10, lambda: 0.0)
    sinks = []
    try:
        for _ in range(times):
            sink = Sink()
            sinks.append(sink)
            made = targets.Run(
                pool, request(repeatable, method), "t", echo, lambda: 0.0
            )
            await made.go(lambda: None, lambda: None, sink)
    finally:
        pool.close()
        server.close()
        for task in serve.tasks:
            task.cancel()
    return pool, sinks


WHOLE_ANSWERS = {
    "length": (WHOLE, b"GET", b"ok"),
    "chunks": (
        OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"GET",
        b"ok",
    ),
    "no content": (b"HTTP/1.1 204 No\r\n\r\n", b"GET", b""),
    "head": (OK + b"content-length: 9\r\n\r\n", b"HEAD", b""),
    "hint first": (b"HTTP/1.1 103 Early\r\n\r\n" + WHOLE, b"GET", b"ok"),
}


@pytest.mark.parametrize("name", WHOLE_ANSWERS)
def test_whole_answers_are_passed_on(name):
    answer, method, body = WHOLE_ANSWERS[name]
    _, sinks = helper.run(run(answer, method=method))
    assert sinks[0].ended
    assert sinks[0].body == body


BROKEN_ANSWERS = {
    "short": (OK + b"content-length: 99\r\n\r\n<close>", Reason.TARGET_BROKE),
    "short chunk": (
        OK + b"transfer-encoding: chunked\r\n\r\n9\r\n<close>",
        Reason.TARGET_BROKE,
    ),
    "nothing": (b"<close>", Reason.TARGET_BROKE),
    "no http": (b"220 mail\r\n\r\n<close>", Reason.TARGET_BROKE),
    "no end": (OK + b"\r\nsome<close>", Reason.UNFRAMED),
    "of another": (
        OK + b"x-request-id: no\r\ncontent-length: 2\r\n\r\nok",
        Reason.WRONG_ANSWER,
    ),
}


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_broken_answers_never_look_whole(name):
    answer, reason = BROKEN_ANSWERS[name]

    async def work():
        with pytest.raises(targets.AnswerBroken) as raised:
            await run(answer)
        return raised.value.reason

    assert helper.run(work()) is reason


REUSE = {
    "echoed": (WHOLE, True, True, 1),
    "not echoed": (OK + b"content-length: 2\r\n\r\nok", True, True, 3),
    "does not promise to echo": (WHOLE, False, True, 3),
    "not repeatable": (WHOLE, True, False, 3),
    "bytes left over": (WHOLE + b"HTTP/1.1 200 OK\r\n", True, True, 3),
    "answered twice": (WHOLE + WHOLE, True, True, 3),
    "told to close": (
        OK + ECHO + b"connection: close\r\ncontent-length: 2\r\n\r\nok",
        True,
        True,
        3,
    ),
}


@pytest.mark.parametrize("name", REUSE)
def test_connections_are_reused_only_where_answers_can_be_told_apart(name):
    answer, echo, repeatable, made = REUSE[name]
    pool, sinks = helper.run(run(answer, echo, repeatable, times=3))
    assert pool.made == made
    assert all(sink.body == b"ok" for sink in sinks)


def test_refused_connection_is_not_run():
    async def work():
        address = fleet.free_addresses(1)[0]
        pool = targets.Pool(address, 1, lambda: 0.0)
        made = targets.Run(pool, request(), "t", True, lambda: 0.0)
        with pytest.raises(targets.NotSent) as raised:
            await made.go(lambda: None, lambda: None, Sink())
        assert raised.value.reason is Reason.CONNECT_FAILED
        assert pool.open == 0

    helper.run(work())


def test_fence_between_connect_and_first_byte_sends_nothing():
    async def work():
        seen = []
        address = fleet.free_addresses(1)[0]
        server = await wire.listen(address, seen.append)
        pool = targets.Pool(address, 1, lambda: 0.0)
        made = targets.Run(pool, request(), "t", True, lambda: 0.0)
        with pytest.raises(targets.NotSent):
            await made.go(lambda: Reason.FENCED, lambda: None, Sink())
        await helper.until(lambda: bool(seen))
        assert await seen[0].read() == b""
        server.close()

    helper.run(work())
