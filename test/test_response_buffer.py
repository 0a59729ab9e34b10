"""Responses are buffered, and only one of several concurrent ones is sent."""

import pytest

from forklift.shell import exchange
from forklift.shell import response_buffer
from test import helper


def head(length: int, status: int = 200) -> exchange.ResponseHead:
    return exchange.ResponseHead(status, (), length)


async def write_response(
    response: response_buffer.BufferedResponse, body: bytes, length: int
) -> None:
    await response.start(head(length))
    await response.data(body)
    await response.end()


@pytest.mark.parametrize("lengths", [(3, 3), (-1, 3), (3, -1), (-1, -1)])
def test_only_one_of_two_concurrent_responses_is_sent(lengths):
    async def work():
        sink, claim = helper.Sink(), response_buffer.ResponseClaim()
        first = response_buffer.BufferedResponse(sink, None, claim)
        second = response_buffer.BufferedResponse(sink, None, claim)
        await first.start(head(lengths[0]))
        await first.data(b"o")
        await write_response(second, b"two", lengths[1])
        await first.data(b"ne")
        await first.end()
        assert sink.body in (b"one", b"two")
        assert (len(sink.heads), sink.ended) == (1, 1)

    helper.run(work())


def test_an_attempt_that_sent_nothing_releases_the_claim():
    async def work():
        sink, claim = helper.Sink(), response_buffer.ResponseClaim()
        first = response_buffer.BufferedResponse(sink, None, claim)
        second = response_buffer.BufferedResponse(sink, None, claim)
        assert claim.try_acquire(first)
        claim.release(second)
        assert not claim.try_acquire(second)
        claim.release(first)
        await write_response(second, b"two", 3)
        assert sink.body == b"two"

    helper.run(work())


def test_a_failure_is_withheld_until_it_is_flushed():
    async def work():
        sink, claim = helper.Sink(), response_buffer.ResponseClaim()
        failed = response_buffer.BufferedResponse(
            sink, lambda status: status >= 500, claim
        )
        await failed.start(head(0, 500))
        await failed.end()
        assert failed.is_withheld
        assert not sink.has_started
        assert (await failed.flush()).ending.status == 500
        assert sink.ended == 1

    helper.run(work())


def test_head_of_a_large_response_waits_for_its_first_bytes():
    """Guards against a response that can't be replaced but has sent nothing."""

    async def work():
        sink, claim = helper.Sink(), response_buffer.ResponseClaim()
        first = response_buffer.BufferedResponse(sink, None, claim)
        second = response_buffer.BufferedResponse(sink, None, claim)
        await first.start(head(-1))
        assert not sink.has_started
        await write_response(second, b"two", -1)
        assert (sink.body, sink.ended) == (b"two", 1)

    helper.run(work())


def test_superseded_response_never_continues_in_the_middle():
    """Guards against the end of one response behind the head of another."""

    async def work():
        sink, claim = helper.Sink(), response_buffer.ResponseClaim()
        first = response_buffer.BufferedResponse(sink, None, claim)
        second = response_buffer.BufferedResponse(sink, None, claim)
        assert claim.try_acquire(first)
        await second.start(head(-1))
        await second.data(b"tw")
        claim.release(first)
        await second.data(b"o")
        await second.end()
        assert second.is_superseded
        assert not sink.has_started
        assert not sink.ended

    helper.run(work())


def test_large_response_to_head_has_a_head_without_bytes():
    async def work():
        sink, claim = helper.Sink(), response_buffer.ResponseClaim()
        response = response_buffer.BufferedResponse(sink, None, claim)
        await response.start(head(response_buffer.MAX_BUFFERED_BYTES + 1))
        await response.end()
        assert (len(sink.heads), sink.ended) == (1, 1)

    helper.run(work())
