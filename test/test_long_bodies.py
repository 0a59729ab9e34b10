"""A target gets the whole body of a request, or a visibly broken one."""

import asyncio

import pytest

from forklift.shell import exchange
from forklift.shell import tcp_stream
from test import helper
from test import processes

BODY = b"".join(b"%07d," % number for number in range(3000))
CHUNK_BYTES = 4000


async def send_all(stream: exchange.Body | exchange.BodyStream) -> bytes:
    chunks = stream.chunks() if isinstance(stream, exchange.Body) else stream
    return b"".join([chunk async for chunk in chunks])


async def _chunks(*chunks: bytes):
    for chunk in chunks:
        yield chunk


def test_second_read_of_a_streamed_body_raises():
    """Guards against a second target that takes the prefix for the body."""

    async def work():
        body = exchange.Body(b"start ", _chunks(b"and ", b"rest"))
        assert body.replayable
        assert await send_all(body) == b"start and rest"
        assert not body.replayable
        with pytest.raises(exchange.BodyAlreadyRead):
            await send_all(body)

    helper.run(work())


def test_concurrent_read_of_a_streamed_body_raises():
    """Guards against two attempts that each get a part of the body."""

    async def work():
        body = exchange.Body(b"start ", _chunks(b"rest"))
        first = body.chunks()
        assert await anext(first) == b"start "
        assert not body.replayable
        with pytest.raises(exchange.BodyAlreadyRead):
            await send_all(body)
        assert await anext(first) == b"rest"

    helper.run(work())


def test_complete_body_can_be_read_again():
    async def work():
        body = exchange.Body(b"whole")
        assert [await send_all(body) for _ in range(2)] == [b"whole"] * 2

    helper.run(work())


def test_stream_that_has_failed_never_ends_as_complete():
    async def work():
        stream = exchange.BodyStream(lambda size: None)
        stream.feed(b"start", False)
        stream.fail("connection lost")
        with pytest.raises(exchange.IncompleteBody):
            await send_all(stream)
        with pytest.raises(exchange.BodyAlreadyRead):
            await send_all(stream)

    helper.run(work())


def _framed(is_chunked: bool) -> tuple[bytes, list[bytes]]:
    """Returns the header field that frames the body, and its parts."""
    parts = [
        BODY[start : start + CHUNK_BYTES]
        for start in range(0, len(BODY), CHUNK_BYTES)
    ]
    if not is_chunked:
        return b"content-length: %d" % len(BODY), parts
    framed = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"transfer-encoding: chunked", [*framed, b"0\r\n\r\n"]


async def upload(
    address: str, is_chunked: bool, parts_sent: int | None = None
) -> int | None:
    """Sends a request; returns the status, None if it sent only some parts."""
    field, parts = _framed(is_chunked)
    reader, writer = await asyncio.open_connection(
        *tcp_stream.split_address(address)
    )
    writer.write(b"PUT /a/ HTTP/1.1\r\nhost: h\r\n%s\r\n\r\n" % field)
    for part in parts[:parts_sent]:
        writer.write(part)
        await writer.drain()
    if parts_sent is not None:
        writer.close()
        return None
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1])


def play_upload(work, kind: str, scripts, **changes) -> None:
    first = processes.record(1, r=processes.route(kind, **changes))
    processes.play(work, scripts, first=first)


@pytest.mark.parametrize("is_chunked", [True, False])
@pytest.mark.parametrize("is_remote", [True, False])
def test_request_with_a_long_body_is_not_hedged_with_a_part_of_it(
    is_chunked, is_remote
):
    """Guards against a hedge after the first attempt has read the body."""

    async def work(fleet):
        if is_remote:
            fleet.proxies[0].local_targets.drain("t0")
        script = ["hold"]
        for target in fleet.targets:
            target.script = script
        assert await upload(fleet.proxies[0].caller_address, is_chunked) == 504
        received = [one for target in fleet.targets for one in target.received]
        assert [one.body for one in received] == [BODY]
        assert fleet.proxies[0].forwarder.attempts == 1

    # Long after the hedge delay.
    changes = {"timeout-ms": 1500}
    play_upload(work, "idempotent", [[], [], []], **changes)


@pytest.mark.parametrize("is_chunked", [True, False])
def test_request_with_a_long_body_that_was_read_is_not_sent_again(is_chunked):
    """Guards against a retry with a part of the body."""

    async def work(fleet):
        script = ["reset"]
        for target in fleet.targets:
            target.script = script
        assert await upload(fleet.proxies[0].caller_address, is_chunked) == 502
        received = [one for target in fleet.targets for one in target.received]
        assert [one.body for one in received] == [BODY]

    play_upload(work, "idempotent", [[], [], []])


@pytest.mark.parametrize("is_chunked", [True, False])
@pytest.mark.parametrize("is_remote", [True, False])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_caller_that_leaves_in_mid_upload_completes_no_body(
    kind, is_remote, is_chunked
):
    """Guards against a target that runs a request with a part of its body."""

    async def work(fleet):
        if is_remote:
            fleet.proxies[0].local_targets.drain("t0")
        address = fleet.proxies[0].caller_address
        await upload(address, is_chunked, parts_sent=5)
        await helper.until(
            lambda: not any(one.running() for one in fleet.proxies)
        )
        assert [
            one for target in fleet.targets for one in target.received
        ] == []
        assert await upload(address, is_chunked) == 200

    play_upload(work, kind, [[], []])
