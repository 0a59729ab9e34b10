"""Carries a request from its entry to a target, as the decisions say."""

import asyncio
import dataclasses
import itertools

import structlog

from forklift import entry
from forklift import errors
from forklift import invariants
from forklift import localtarget
from forklift import membership
from forklift import messages
from forklift import overlay
from forklift import ownership
from forklift.shell import exchange
from forklift.shell import links
from forklift.shell import local
from forklift.shell import peers

_log = structlog.get_logger(__name__)
MAX_HOPS = 2
# The guard's own word on a deadline gets this long to arrive.
DEADLINE_GRACE = 0.05
FAILED_STATUS = 500
Outcome = messages.Outcome
Reason = messages.Reason


class Dispatcher:
    """Picks, sends, retries, hands on."""

    def __init__(
        self,
        directory: membership.Directory,
        decisions: entry.Entry,
        runner: local.Local,
        connections: links.Links,
        clock,
    ):
        self._directory = directory
        self._entry = decisions
        self._local = runner
        self._links = connections
        self._clock = clock
        self._seqs = itertools.count(1)
        self.attempts = 0
        self.retries = 0
        self.retries_by_service: dict[str, int] = {}

    def next_seq(self) -> int:
        """A request number never used before in this boot."""
        return next(self._seqs)

    async def run(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        """Runs a request on a target of its service.

        Raises:
            wire.Lost: The sink is gone.
            asyncio.CancelledError: The caller gave up.
        """
        if not self._entry.knows(request.service):
            return await self.hand_on(request, sink)
        wish = entry.Wish(
            request.service,
            request.method.decode("ascii"),
            request.repeatable,
            request.deadline,
        )
        self._entry.first(wish)
        return await self._attempts(request, wish, sink)

    async def hand_on(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        """Hands a request to a process beside a target of its service."""
        gateways = [
            info.name
            for info in self._directory.usable()
            if info.name != self._directory.own.name
            and ownership.serves(info, request.service)
        ]
        if not gateways:
            return exchange.not_run(Reason.NO_TARGET, 1.0)
        ranked = overlay.rank(request.id, gateways)
        result = exchange.not_run(Reason.NO_TARGET, 1.0)
        for name in ranked[:2]:
            result = await self.hand_to(name, request, sink)
            if result.ending.reason is not Reason.PEER_LOST:
                break
            if result.ending.outcome is not Outcome.NOT_RUN:
                break
        return result

    async def hand_to(
        self, process: str, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        """Hands a request to one process, which picks the target."""
        if request.hops >= MAX_HOPS:
            return exchange.not_run(Reason.HOPS, 1.0)
        request = dataclasses.replace(request, hops=request.hops + 1)
        return await self._send(process, "", request, sink)

    async def _attempts(
        self, request: exchange.Request, wish: entry.Wish, sink: exchange.Sink
    ) -> exchange.Result:
        tried: set[str] = set()
        result = exchange.not_run(Reason.NO_TARGET, 1.0)
        held: _Holding | None = None
        attempt = 0
        refusals = 0
        while True:
            now = self._clock.monotonic()
            choice = self._entry.choose(wish, frozenset(tried), now)
            if choice is None:
                break
            tried.add(choice.target)
            self.attempts += 1
            holding = _Holding(sink, request.repeatable and request.body.again)
            result = await self._attempt(request, wish, choice, holding)
            if result.ending.outcome is Outcome.NOT_RUN:
                refusals += 1
            else:
                attempt += 1
                held = holding if holding.holds else None
            if not request.repeatable:
                invariants.at_most_once(attempt, request.id)
            if sink.begun or not request.body.again:
                break
            if not self._retry(wish, result.ending, attempt, refusals):
                break
            self._count_retry(request.service)
            self._log_retry(request, choice, result)
        if held is not None and not sink.begun:
            return await held.flush()
        return result

    def _count_retry(self, service: str) -> None:
        self.retries += 1
        count = self.retries_by_service.get(service, 0)
        self.retries_by_service[service] = count + 1

    def _log_retry(
        self,
        request: exchange.Request,
        choice: entry.Choice,
        result: exchange.Result,
    ) -> None:
        _log.info(
            "retry",
            request=request.id,
            target=choice.target,
            reason=str(result.ending.reason or result.ending.status),
            outcome=str(result.ending.outcome),
        )

    def _retry(
        self,
        wish: entry.Wish,
        ending: entry.Ending,
        attempt: int,
        refusals: int,
    ) -> bool:
        now = self._clock.monotonic()
        return self._entry.retry(wish, ending, attempt, refusals, now)

    async def _attempt(
        self,
        request: exchange.Request,
        wish: entry.Wish,
        choice: entry.Choice,
        sink: exchange.Sink,
    ) -> exchange.Result:
        result = None
        try:
            if choice.process == self._directory.own.name:
                result = await self._run_here(request, choice, sink)
            else:
                result = await self._send(
                    choice.process, choice.target, request, sink
                )
            return result
        finally:
            now = self._clock.monotonic()
            load = result.load if result is not None else None
            self._entry.ended(wish, choice, load, now)
            if result is not None and _refuses_route(result):
                self._entry.refused_route(wish, choice, now)

    async def _run_here(
        self,
        request: exchange.Request,
        choice: entry.Choice,
        sink: exchange.Sink,
    ) -> exchange.Result:
        own = self._directory.own
        seq = self.next_seq()
        ticket = localtarget.Ticket(
            (own.boot, seq),
            choice.target,
            request.service,
            request.route,
            request.repeatable,
            request.deadline,
            self._local.guard.incarnation,
        )
        return await self._local.run(ticket, request, sink)

    async def _send(
        self,
        process: str,
        target: str,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        seq = self.next_seq()
        try:
            link = await self._links.get(process)
        except errors.PeerUnreachable:
            return exchange.not_run(Reason.PEER_LOST, 1.0)
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= 0:
            return exchange.not_run(Reason.DEADLINE)
        start = self._start(link, seq, target, request, remaining)
        to_boot = link.peer.boot
        try:
            async with asyncio.timeout(remaining + DEADLINE_GRACE):
                result = await link.ask(start, request, sink)
        except TimeoutError:
            result = exchange.unknown(Reason.TIMEOUT)
        worth = self._worth_fencing(request, result, sink)
        if worth and await self._fence(process, seq, to_boot):
            return exchange.not_run(Reason.FENCED, 0.0, result.load)
        return result

    def _start(
        self,
        link: peers.Link,
        seq: int,
        target: str,
        request: exchange.Request,
        remaining: float,
    ) -> messages.RequestStart:
        return messages.RequestStart(
            link.next_id(),
            seq,
            request.service,
            target,
            request.method,
            request.path,
            request.headers,
            request.id,
            remaining,
            request.repeatable,
            request.key,
            link.incarnation,
            request.hops,
            request.length,
            request.body.first if request.body.complete else b"",
            request.body.complete,
            request.route,
            request.caller,
        )

    def _worth_fencing(
        self,
        request: exchange.Request,
        result: exchange.Result,
        sink: exchange.Sink,
    ) -> bool:
        if request.repeatable or sink.begun:
            return False
        reasons = (Reason.PEER_LOST, Reason.TIMEOUT)
        return result.ending.reason in reasons

    async def _fence(self, process: str, seq: int, to_boot: int) -> bool:
        """Asks the guard for proof that a request never starts."""
        try:
            link = await self._links.get(process)
        except errors.PeerUnreachable:
            return False
        boot = self._directory.own.boot
        return await link.fence(boot, seq, to_boot)


class _Holding:
    """Holds a small answer back until it is whole.

    One that breaks off, or that failed, can then be replaced by another
    target's without the caller seeing it.
    """

    def __init__(self, sink: exchange.Sink, retriable: bool):
        self._sink = sink
        self._retriable = retriable
        self._head: exchange.Head | None = None
        self._body = bytearray()
        self._whole = False

    @property
    def begun(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.begun

    @property
    def holds(self) -> bool:
        """Whether a whole answer is held back."""
        return self._head is not None and self._whole

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        if self._retriable and 0 <= head.length <= exchange.INLINE_BYTES:
            self._head = head
            return
        await self._sink.start(head)

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        if self._head is None:
            await self._sink.data(piece)
        else:
            self._body += piece

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._whole = True
        if self._head is None:
            await self._sink.end()
        elif self._head.status < FAILED_STATUS:
            await self.flush()

    async def flush(self) -> exchange.Result:
        """Passes the held answer on after all."""
        await self._sink.start(self._head)
        if self._body:
            await self._sink.data(bytes(self._body))
        await self._sink.end()
        head = self._head
        return exchange.answered(head.status, head.target, head.load)


def _refuses_route(result: exchange.Result) -> bool:
    """Whether a target in service refused: it fails this route only."""
    if result.ending.reason is not Reason.EJECTED or result.load is None:
        return False
    return result.load.state not in (
        messages.TargetState.EJECTED,
        messages.TargetState.TRIAL,
    )
