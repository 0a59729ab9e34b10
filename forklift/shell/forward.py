"""Carries a request from its entry to a target: picks, sends, repeats, waits.

A request that no target may take now waits here, where every target is in
reach, until one may or its time is up; then it gets its final answer at once.
"""

import asyncio
import dataclasses
import itertools
import random

import msgspec
import structlog

from forklift import chooser as choosers
from forklift import errors
from forklift import gate
from forklift import invariants
from forklift import messages
from forklift import policy
from forklift.shell import beside as besides
from forklift.shell import exchange
from forklift.shell import links as linking
from forklift.shell import peers

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason

# The guard's own word on a deadline gets this long to arrive, seconds.
DEADLINE_GRACE = 0.05
# Seconds until the next look for a target when none may be sent to; it doubles
# up to the second figure, as each look may cost a message to each gate.
POLL = 0.02
POLL_MOST = 0.16
# Part of its time after which a request takes a doubted target where no sound
# one is known: waiting longer leaves no time for an answer.
INSIST_SHARE = 0.25
# Gates that are asked for a free slot before a request waits at one.
MAX_REFUSALS = 4
# Gates, the least filled ones, that may say that waiting takes too long before
# the request is given up: it then has its final answer at once.
MAX_TOO_LONG = 3
# Bodies from this size on follow only once the gate lets the request start:
# a refusal then costs the head alone, bytes.
FOLLOWING_BYTES = 1024
# Other processes that are asked to reach a guard when the own path is silent.
RELAYS = 2
# Seconds after which to come back when no target was free.
RETRY_AFTER = 0.5
# Answers up to this size are held until whole, bytes.
HOLD_BYTES = 262_144
# What arrived at a target though it did not run.
_ARRIVED = (Reason.SHED,)
# A refusal of this kind says nothing that the view of the target tells too.
_PASSING_BY = (
    Reason.BUSY,
    Reason.STALE,
    Reason.CONNECT_FAILED,
    Reason.PEER_LOST,
    Reason.UNKNOWN_TARGET,
    Reason.DOUBTED,
    Reason.UNPROVEN,
    Reason.MISDIRECTED,
)


@dataclasses.dataclass
class _Walk:
    """One request on its way over targets."""

    started: float
    insist_at: float
    tried: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    paid: bool = False
    # Whether a target refused for want of a proof, and none is asked for now.
    unproven: bool = False
    sound: bool = False
    # Whether it waits where no slot is free.
    wait: bool = False
    refusals: int = 0
    # Gates that could not take it in time although it would wait.
    too_long: int = 0
    polls: int = 0
    # Attempts that may have run.
    runs: int = 0
    held: "Holding | None" = None


class Forwarder:
    """Sends the requests of one entry."""

    def __init__(
        self,
        name: str,
        boot: int,
        chooser: choosers.Chooser,
        beside: besides.Beside,
        links: linking.Links,
        program,
        clock,
        rng: random.Random,
    ):
        self._rng = rng
        self._name = name
        self._boot = boot
        self._chooser = chooser
        self._beside = beside
        self._links = links
        self._program = program
        self._clock = clock
        self._seqs = itertools.count(1)
        self.sends = 0
        self.repeats = 0

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
        now = self._clock.monotonic()
        self._chooser.request(request.service, now)
        whole = request.deadline - now
        walk = _Walk(now, now + INSIST_SHARE * whole)
        result = await self._walk(request, walk, sink)
        if walk.held is not None and not sink.begun:
            return await walk.held.flush()
        if walk.runs and result.ending.outcome is Outcome.NOT_RUN:
            # The last target refused it, but an earlier one may have run it.
            return exchange.unknown(result.ending.reason)
        return result

    async def _walk(
        self, request: exchange.Request, walk: _Walk, sink: exchange.Sink
    ) -> exchange.Result:
        result = exchange.not_run(Reason.NO_TARGET, RETRY_AFTER)
        while True:
            now = self._clock.monotonic()
            if self._too_late(request, walk, now):
                return result
            choice = self._choose(request, walk, now)
            if choice is None:
                if not self._worth_waiting(request, walk):
                    return result
                if not self._accept_more(walk):
                    await asyncio.sleep(min(POLL_MOST, POLL * 2**walk.polls))
                    walk.polls += 1
                walk.refused.clear()
                continue
            if not self._pay(request, walk, now):
                self._chooser.ended(request.service, choice, None, now)
                return result
            result = await self._attempt(request, walk, choice, sink)
            if not self._go_on(request, walk, choice, result, sink):
                return result

    def _accept_more(self, walk: _Walk) -> bool:
        """Accepts a worse target, where that is left; True when it is.

        First one with a slot free that was proven of late; then an idle one
        that nothing proved, or to wait. While idle ones are left, waiting
        longer at the others would waste them.
        """
        if walk.wait and walk.sound >= walk.unproven:
            return False
        walk.wait = True
        walk.sound = walk.sound or walk.unproven
        walk.too_long = 0
        return True

    def _too_late(
        self, request: exchange.Request, walk: _Walk, now: float
    ) -> bool:
        """Whether no answer can come in time any more."""
        if now >= request.deadline:
            return True
        usual = self._chooser.usual_latency(request.service)
        # The first attempt is made whatever the time that is left.
        return walk.sends > 0 and now + usual / 2 > request.deadline

    def _worth_waiting(self, request: exchange.Request, walk: _Walk) -> bool:
        # A repeat that no target takes now has an answer or an outcome.
        return walk.held is None

    def _choose(
        self, request: exchange.Request, walk: _Walk, now: float
    ) -> choosers.Choice | None:
        insist = self._insist(walk, now)
        wish = choosers.Wish(
            request.service,
            request.repeatable,
            insist,
            scout=walk.sends == 0,
            wait=walk.wait,
        )
        tried, refused = frozenset(walk.tried), frozenset(walk.refused)
        return self._chooser.choose(wish, tried, now, refused)

    def _pay(self, request: exchange.Request, walk: _Walk, now: float) -> bool:
        """Whether it may be sent: the first time free, then by the budget."""
        if walk.sends == 0 or walk.paid:
            return True
        if walk.sends >= request.attempts:
            return False
        walk.paid = self._chooser.spend(request.service, now)
        return walk.paid

    def _go_on(
        self,
        request: exchange.Request,
        walk: _Walk,
        choice: choosers.Choice,
        result: exchange.Result,
        sink: exchange.Sink,
    ) -> bool:
        """Whether another target is tried after this result."""
        ending = result.ending
        if ending.outcome is Outcome.NOT_RUN:
            if ending.reason in _ARRIVED:
                self._arrived(walk, choice)
            elif ending.reason in _PASSING_BY:
                walk.refused.add(choice.target)
                walk.refusals += 1
                if walk.wait and ending.reason is Reason.BUSY:
                    walk.too_long += 1
                if ending.reason is Reason.UNPROVEN:
                    walk.unproven = True
                if walk.refusals >= MAX_REFUSALS and self._accept_more(walk):
                    walk.refused.clear()
                if walk.too_long >= MAX_TOO_LONG:
                    return False
            return request.body.again and not sink.begun
        self._arrived(walk, choice)
        self._note_failure(request, ending)
        walk.runs += 1
        if not request.repeatable:
            invariants.at_most_once(walk.runs, request.id)
            return False
        if sink.begun or not request.body.again:
            return False
        if not self._worth_repeating(request, walk, ending):
            return False
        self.repeats += 1
        _log.info(
            "repeat",
            request=request.id,
            target=choice.target,
            reason=str(ending.reason or ending.status),
            sends=walk.sends,
        )
        return True

    def _note_failure(
        self, request: exchange.Request, ending: exchange.Ending
    ) -> None:
        program: policy.Service = self._program(request.service)
        answered = ending.outcome is Outcome.ANSWERED
        if not answered or program.is_failure(ending.status):
            now = self._clock.monotonic()
            self._chooser.failed(request.service, now)

    def _arrived(self, walk: _Walk, choice: choosers.Choice) -> None:
        walk.sends += 1
        walk.paid = False
        walk.tried.add(choice.target)

    def _worth_repeating(
        self, request: exchange.Request, walk: _Walk, ending
    ) -> bool:
        program: policy.Service = self._program(request.service)
        return bool(
            program.retry.evaluate(
                attempt=walk.sends,
                status=ending.status,
                outcome=str(ending.outcome),
                reason=str(ending.reason or ""),
                repeatable=request.repeatable,
                method=request.method.decode("latin-1"),
                remaining=request.deadline - self._clock.monotonic(),
            )
        )

    async def _attempt(
        self,
        request: exchange.Request,
        walk: _Walk,
        choice: choosers.Choice,
        sink: exchange.Sink,
    ) -> exchange.Result:
        self.sends += 1
        result = None
        holding = Holding(sink, self._is_failure(request))
        insist = self._insist(walk, self._clock.monotonic())
        insist = max(insist, choice.insist)
        try:
            if choice.process == self._name:
                result = await self._run_here(
                    request, walk, choice, holding, insist
                )
            else:
                result = await self._send(
                    request, walk, choice, holding, insist
                )
            if holding.holds:
                walk.held = holding
            return result
        finally:
            now = self._clock.monotonic()
            load = result.load if result is not None else None
            self._chooser.ended(request.service, choice, load, now)

    def _insist(self, walk: _Walk, now: float) -> gate.Insist:
        """How much doubt about a target the request accepts by now."""
        if now >= walk.insist_at:
            return gate.Insist.ANY
        return gate.Insist.SOUND if walk.sound else gate.Insist.PROVEN

    def _is_failure(self, request: exchange.Request):
        """Tells answers that another target may replace; None for none."""
        if not request.repeatable or not request.body.again:
            return None
        program: policy.Service = self._program(request.service)
        return program.is_failure

    async def _run_here(
        self,
        request: exchange.Request,
        walk: _Walk,
        choice: choosers.Choice,
        sink: exchange.Sink,
        insist: gate.Insist,
    ) -> exchange.Result:
        ticket = gate.Ticket(
            (self._boot, self.next_seq()),
            request.repeatable,
            request.priority,
            request.deadline,
            insist,
            request.aim,
            walk.wait,
        )
        return await self._beside.run(choice.target, ticket, request, sink)

    async def _send(
        self,
        request: exchange.Request,
        walk: _Walk,
        choice: choosers.Choice,
        sink: exchange.Sink,
        insist: gate.Insist,
    ) -> exchange.Result:
        try:
            link = await self._links.get(choice.process)
        except errors.PeerUnreachable:
            return exchange.not_run(Reason.PEER_LOST, RETRY_AFTER)
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= 0:
            return exchange.not_run(Reason.DEADLINE)
        seq = self.next_seq()
        start = _start(link, seq, choice.target, request, remaining, insist)
        left = request.aim - self._clock.monotonic()
        start = msgspec.structs.replace(
            start, aim=round(left, 3), wait=walk.wait
        )
        to_boot = link.peer.boot
        try:
            async with asyncio.timeout(remaining + DEADLINE_GRACE):
                if request.repeatable:
                    return await link.ask(start, request, sink)
                return await self._ask_once(link, start, request, sink)
        except TimeoutError:
            result = exchange.unknown(Reason.TIMEOUT)
        if request.repeatable or sink.begun:
            return result
        if await self._fence(choice.process, seq, to_boot):
            return exchange.not_run(Reason.FENCED, 0.0, result.load)
        return result

    async def _ask_once(
        self,
        link: peers.Link,
        start: messages.RequestStart,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Sends what must not repeat; asks around where its path is silent.

        Another process may still reach the guard, and the guard's word that
        the request never starts lets it go elsewhere in time.
        """
        process = link.peer.name
        answer = asyncio.create_task(link.ask(start, request, sink))
        silence = asyncio.create_task(link.silenced.wait())
        try:
            await asyncio.wait(
                (answer, silence), return_when=asyncio.FIRST_COMPLETED
            )
            if not answer.done() and not sink.begun:
                around = self._fence_around(process, start.seq, link.peer.boot)
                if await around and not sink.begun:
                    return exchange.not_run(Reason.FENCED)
            result = await answer
        finally:
            silence.cancel()
            answer.cancel()
        lost = result.ending.reason is Reason.PEER_LOST
        unknown = result.ending.outcome is Outcome.UNKNOWN
        if not (lost and unknown) or sink.begun:
            return result
        if await self._fence(process, start.seq, link.peer.boot):
            return exchange.not_run(Reason.FENCED, 0.0, result.load)
        return result

    async def _fence(self, process: str, seq: int, to_boot: int) -> bool:
        """Asks the guard for proof that a request never starts."""
        try:
            link = await self._links.get(process)
        except errors.PeerUnreachable:
            return await self._fence_around(process, seq, to_boot)
        return await link.fence(self._boot, seq, to_boot)

    async def _fence_around(self, process: str, seq: int, to_boot: int) -> bool:
        """Asks the guard through others, as the own path is silent."""
        names = self._links.others(process)
        chosen = self._rng.sample(names, min(RELAYS, len(names)))
        asked = [self._relayed(name, process, seq, to_boot) for name in chosen]
        for answer in asyncio.as_completed(asked):
            if await answer:
                _log.info("fenced_around", process=process, seq=seq)
                return True
        return False

    async def _relayed(
        self, relay: str, process: str, seq: int, to_boot: int
    ) -> bool:
        try:
            link = await self._links.get(relay)
        except errors.PeerUnreachable:
            return False
        return await link.fence(self._boot, seq, to_boot, process)

    async def relay(self, fence: messages.Fence) -> bool:
        """Passes another entry's question on to a guard."""
        if fence.to == self._name:
            own = fence.to_boot == self._boot
            return own and self._beside.fence((fence.boot, fence.seq))
        try:
            link = await self._links.get(fence.to)
        except errors.PeerUnreachable:
            return False
        return await link.fence(fence.boot, fence.seq, fence.to_boot)


def _start(
    link: peers.Link,
    seq: int,
    target: str,
    request: exchange.Request,
    remaining: float,
    insist: gate.Insist,
) -> messages.RequestStart:
    small = len(request.body.first) < FOLLOWING_BYTES
    complete = request.body.complete and small
    return messages.RequestStart(
        id=link.next_id(),
        seq=seq,
        service=request.service,
        target=target,
        method=request.method,
        path=request.path,
        headers=request.headers,
        request_id=request.id,
        remaining=round(remaining, 4),
        repeatable=request.repeatable,
        incarnation=link.incarnation,
        length=request.length,
        body=request.body.first if complete else b"",
        complete=complete,
        route="",
        origin=request.origin,
        priority=request.priority,
        insist=insist,
    )


class Holding:
    """Holds a small answer back until it is whole.

    One that breaks off never begins, so the caller sees a clear failure, and
    one that failed can be replaced by another target's.
    """

    def __init__(self, sink: exchange.Sink, is_failure):
        self._sink = sink
        self._is_failure = is_failure
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
        return self._head is not None and self._whole and not self.begun

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        if 0 <= head.length <= HOLD_BYTES:
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
            return
        failed = self._is_failure is not None
        failed = failed and self._is_failure(self._head.status)
        if not failed:
            await self.flush()

    async def flush(self) -> exchange.Result:
        """Passes the held answer on."""
        head = self._head
        await self._sink.start(head)
        if self._body:
            await self._sink.data(bytes(self._body))
        await self._sink.end()
        return exchange.answered(head.status, head.target, head.load)
