"""Tests how requests of a process wait for tokens of another process."""

import asyncio
import random
import types

import pytest

from forklift import limit_messages
from forklift import local_quota
from forklift import membership
from forklift import messages
from forklift import organisations
from forklift import rate_limits
from forklift.shell import clock
from forklift.shell import rate_limiting
from test import helper

LIMITS = {"fund": organisations.Organisation("fund", (), None, 100, 100)}


def process(name: str) -> messages.ProcessInfo:
    return messages.ProcessInfo(
        name, 1, 1, "d", name, name, name, 1, 1.0, (), 0
    )


class Peer:
    """The allocator of `fund`, as the tested process sees it."""

    def __init__(self, monotonic_clock=None, controlled=False):
        self.delegations: list[limit_messages.Delegation] = []
        directory = membership.Directory(process("own"), 16)
        directory.apply_direct(process("peer"), 0.0)
        catalog = types.SimpleNamespace(
            organisation=LIMITS.get, has_rate_limits=True, version=1
        )
        self.limiter = rate_limiting.AsyncLimiter(
            directory,
            rate_limits.Bounds(),
            types.SimpleNamespace(catalog=catalog),
            lambda: True,
            self._receive,
            monotonic_clock or clock.SystemClock(),
            random.Random(1),
            lambda: controlled,
        )
        self.limiter.limiter._allocator_names = ["peer"]

    def _receive(self, address: str, message: messages.Control) -> None:
        assert address == "peer"
        self.delegations.append(message)

    def requests(self) -> list[int]:
        """Numbers of tokens that the delegations asked for."""
        return [
            demand.tokens_wanted
            for delegation in self.delegations
            for demand in delegation.demands
            if demand.tokens_wanted
        ]

    def answer(self, grant: limit_messages.TokenGrant) -> None:
        """Answers the last delegation."""
        last = self.delegations[-1]
        self.limiter.receive(
            limit_messages.Allocation(
                limit_messages.ProcessRun("peer", "peer", 1),
                local_quota.shard_of("fund"),
                len(self.delegations),
                last.sequence,
                2.5,
                (),
                (grant,),
                (),
            )
        )


def test_rejected_request_asks_for_no_further_token():
    """Guards against tokens that are granted to a request that gave up."""

    async def work():
        peer = Peer()
        assert await peer.limiter.admit("fund") > 0
        assert peer.requests() == [1] * len(rate_limiting.TOKEN_WAITS_SECONDS)

    helper.run(work())


@pytest.mark.parametrize(("controlled", "requests"), [(False, 5), (True, 3)])
def test_one_request_asks_again_for_all_that_wait(controlled, requests):
    """Guards against more messages to an allocator that is slow as it is busy.

    Without overload control each of two requests asks again twice.
    """

    async def work():
        peer = Peer(controlled=controlled)
        waits = await asyncio.gather(
            peer.limiter.admit("fund"), peer.limiter.admit("fund")
        )
        assert all(wait > 0 for wait in waits)
        assert len(peer.requests()) == requests
        assert peer.requests()[0] == 2

    helper.run(work())


# A time that no test reaches, seconds.
NEVER = 60.0


@pytest.mark.parametrize("answered", [1, 2])
def test_request_is_admitted_once_its_token_may_be_used(answered, monkeypatch):
    waits = (NEVER,) if answered == 1 else (0.01, NEVER)
    monkeypatch.setattr(rate_limiting, "TOKEN_WAITS_SECONDS", waits)

    async def work():
        peer = Peer()
        admitted = asyncio.ensure_future(peer.limiter.admit("fund"))
        await helper.until(lambda: len(peer.requests()) == answered)
        before = clock.SystemClock().monotonic()
        peer.answer(limit_messages.TokenGrant("fund", 1, 0.0, 0.05))
        assert await admitted is None
        assert clock.SystemClock().monotonic() - before >= 0.05
        assert len(peer.requests()) == answered

    helper.run(work())


def test_requests_of_a_shard_ask_its_new_allocator(monkeypatch):
    """Guards against waiting for an allocator that handed over the shard."""
    monkeypatch.setattr(rate_limiting, "TOKEN_WAITS_SECONDS", (NEVER,))

    async def work():
        peer = Peer()
        admitted = asyncio.ensure_future(peer.limiter.admit("fund"))
        await helper.until(lambda: peer.requests())
        peer.limiter.receive(
            limit_messages.AllocatorMoved(
                limit_messages.ProcessRun("peer", "peer", 1),
                local_quota.shard_of("fund"),
                limit_messages.ProcessRun("new", "peer", 2),
            )
        )
        assert peer.requests() == [1, 1]
        assert peer.limiter.limiter.allocator_of("fund") == "new"
        admitted.cancel()

    helper.run(work())


def test_request_waits_longer_for_an_allocator_that_answers():
    """Guards against a 429 for an answer that takes longer than 80 ms."""
    monotonic_clock = helper.FakeClock()
    peer = Peer(monotonic_clock)
    patient = rate_limiting.TOKEN_WAITS_SECONDS
    for _ in range(3):
        limiter = peer.limiter.limiter
        (send,) = limiter.request_tokens("fund", 1, monotonic_clock.monotonic())
        peer.delegations.append(send.message)
        assert peer.limiter._token_waits("fund") == patient
        monotonic_clock.now += rate_limiting.SILENCE_SECONDS + 0.01
        assert (
            peer.limiter._token_waits("fund")
            == rate_limiting.SILENT_ALLOCATOR_WAITS_SECONDS
        )
        peer.answer(limit_messages.TokenGrant("fund", 1, 0.0))
        assert peer.limiter._token_waits("fund") == patient


def test_requests_are_admitted_if_this_process_is_the_new_allocator(
    monkeypatch,
):
    """Guards against an error when tokens are granted during the redirect."""
    monkeypatch.setattr(rate_limiting, "TOKEN_WAITS_SECONDS", (NEVER,))

    async def work():
        peer = Peer()
        admitted = asyncio.ensure_future(peer.limiter.admit("fund"))
        await helper.until(lambda: peer.requests())
        peer.limiter.receive(
            limit_messages.AllocatorMoved(
                limit_messages.ProcessRun("peer", "peer", 1),
                local_quota.shard_of("fund"),
                limit_messages.ProcessRun("own", "own", 1),
            )
        )
        assert await admitted is None

    helper.run(work())
