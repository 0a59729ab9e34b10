"""Carries a request from its entry to a target: picks, sends, repeats, waits.

A request that no target may take now waits here, where every target is in
reach, until one may or its time is up; then it gets its final answer at once.
"""

import asyncio
import dataclasses
import itertools
import random

import structlog

from forklift import chooser as choosers
from forklift import gate
from forklift import invariants
from forklift import messages
from forklift import policy
from forklift.shell import beside as besides
from forklift.shell import exchange
from forklift.shell import holding as holdings
from forklift.shell import links as linking
from forklift.shell import sending

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason

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
# Seconds after which to come back when no target was free.
RETRY_AFTER = 0.5
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
    held: holdings.Holding | None = None


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
        self._name = name
        self._boot = boot
        self._chooser = chooser
        self._beside = beside
        self._program = program
        self._clock = clock
        self._seqs = itertools.count(1)
        self.sender = sending.Sender(
            name, boot, links, beside, self.next_seq, clock, rng
        )
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
        holding = holdings.Holding(sink, self._is_failure(request))
        insist = self._insist(walk, self._clock.monotonic())
        insist = max(insist, choice.insist)
        try:
            if choice.process == self._name:
                result = await self._run_here(
                    request, walk, choice, holding, insist
                )
            else:
                result = await self.sender.send(
                    request, choice, holding, insist, walk.wait
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
