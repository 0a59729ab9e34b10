"""Carries a request from its entry to a target: picks, sends, repeats, waits.

A request that no target may take now waits here, where every target is in
reach, until one may or its time is up; then it gets its final answer at once.
"""

import asyncio
import dataclasses
import itertools
import math
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
# Part of its time within which a request must have left the queue of a gate,
# the first time: one that waited so long in an overload mostly ends unserved,
# and its caller is better told to come back while there is time for that.
START_SHARE = 0.45
# Gates that are asked for a free slot before a request waits at one.
MAX_REFUSALS = 4
# Gates, the least filled ones, that may say that waiting takes too long before
# the request is given up: it then has its final answer at once.
MAX_TOO_LONG = 3
# Seconds after which to come back when no target was free.
RETRY_AFTER = 0.5
# Times the usual latency of a service after which a request that may repeat
# is also sent to a second target, and the least such time. One request in a
# hundred takes three times as long with nothing wrong; where an answer of full
# worth could still come from a second target, less than that is waited.
HEDGE_FACTOR = 3.0
HEDGE_LEAST = 2.0
# Part of the budget of repeats up to which second sends are made: the rest is
# left to requests that failed.
HEDGE_SHARE = 0.5
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
    # When it must have started for the first time.
    start_by: float = math.inf
    tried: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    paid: bool = False
    # Targets that refused for want of a proof, and whether none is asked for
    # any more.
    unproven: set[str] = dataclasses.field(default_factory=set)
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
    turn: holdings.Turn = dataclasses.field(default_factory=holdings.Turn)


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One target that a request is sent to, and what holds its answer."""

    choice: choosers.Choice
    holding: holdings.Holding


@dataclasses.dataclass(frozen=True)
class _Tried:
    """An attempt that is over."""

    choice: choosers.Choice
    result: exchange.Result


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
        self.hedges = 0

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
        walk = _Walk(now, now + INSIST_SHARE * whole, now + START_SHARE * whole)
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
            tried = await self._hedged(request, walk, choice, sink)
            result = tried.result
            if not self._go_on(request, walk, tried.choice, result, sink):
                return result

    def _accept_more(self, walk: _Walk) -> bool:
        """Accepts a worse target, where that is left; True when it is.

        First one with a slot free that was proven of late; then an idle one
        that nothing proved; at last, to wait. While idle ones are left,
        waiting at the others would waste them.
        """
        if walk.unproven and not walk.sound:
            walk.sound = True
            # Those that are busy stay so; the idle ones are next.
            walk.refused -= walk.unproven
        elif not walk.wait:
            walk.wait = True
            walk.refused.clear()
        else:
            return False
        walk.refusals = 0
        walk.too_long = 0
        return True

    def _too_late(
        self, request: exchange.Request, walk: _Walk, now: float
    ) -> bool:
        """Whether no answer can come in time any more."""
        if now >= request.deadline:
            return True
        if walk.sends == 0:
            # The first attempt is made whatever the time that is left.
            return False
        usual = self._chooser.usual_latency(request.service)
        return now + usual / 2 > request.deadline

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
                    walk.unproven.add(choice.target)
                if walk.refusals >= MAX_REFUSALS:
                    self._accept_more(walk)
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

    async def _hedged(
        self,
        request: exchange.Request,
        walk: _Walk,
        first: choosers.Choice,
        sink: exchange.Sink,
    ) -> _Tried:
        """Makes an attempt, and a second beside it where it takes long.

        A target may be slow, or silent, and the request is late or lost if it
        waits for it. The first good answer counts; the other is cancelled.
        """
        patience = self._patience(request, walk)
        attempt = self._prepare(request, walk, first, sink)
        if patience is None:
            result = await self._attempt(request, walk, attempt)
            return _Tried(first, result)
        task = asyncio.create_task(self._attempt(request, walk, attempt))
        attempt_by_task = {task: attempt}
        try:
            await asyncio.wait(attempt_by_task, timeout=patience)
            second = None
            if not task.done() and walk.turn.taken_by is None:
                second = self._second(request, walk, first)
            if second is not None:
                attempt = self._prepare(request, walk, second, sink)
                task = asyncio.create_task(
                    self._attempt(request, walk, attempt)
                )
                attempt_by_task[task] = attempt
            return await self._first_good(request, walk, attempt_by_task, sink)
        finally:
            for task in attempt_by_task:
                task.cancel()
            await asyncio.gather(*attempt_by_task, return_exceptions=True)

    async def _first_good(
        self,
        request: exchange.Request,
        walk: _Walk,
        attempt_by_task: dict[asyncio.Task[exchange.Result], _Attempt],
        sink: exchange.Sink,
    ) -> _Tried:
        """Waits for the attempt that answers, or for the last to fail."""
        while True:
            done, _ = await asyncio.wait(
                attempt_by_task, return_when=asyncio.FIRST_COMPLETED
            )
            task = done.pop()
            attempt = attempt_by_task.pop(task)
            tried = _Tried(attempt.choice, task.result())
            answers = walk.turn.taken_by is attempt.holding
            if answers or not attempt_by_task:
                return tried
            self._go_on(request, walk, tried.choice, tried.result, sink)

    def _patience(self, request: exchange.Request, walk: _Walk) -> float | None:
        """Seconds until a second attempt; None where there is none."""
        usual = self._chooser.usual_latency(request.service)
        once = not request.repeatable or not request.body.again
        if once or usual <= 0 or walk.sends + 2 > request.attempts:
            return None
        now = self._clock.monotonic()
        in_time = request.aim - now - usual
        patience = max(HEDGE_LEAST * usual, min(HEDGE_FACTOR * usual, in_time))
        return patience if now + patience + usual < request.deadline else None

    def _second(
        self,
        request: exchange.Request,
        walk: _Walk,
        first: choosers.Choice,
    ) -> choosers.Choice | None:
        """A free, sound target for a second attempt, if one may be made."""
        now = self._clock.monotonic()
        wish = choosers.Wish(request.service, True, scout=False)
        passed = frozenset(walk.tried | {first.target})
        refused = frozenset(walk.refused)
        second = self._chooser.choose(wish, passed, now, refused)
        if second is None:
            return None
        if not self._chooser.spend(request.service, now, HEDGE_SHARE):
            self._chooser.ended(request.service, second, None, now)
            return None
        walk.paid = True
        self.hedges += 1
        _log.info(
            "hedge",
            request=request.id,
            target=first.target,
            second=second.target,
            seconds=round(now - walk.started, 3),
        )
        return second

    def _prepare(
        self,
        request: exchange.Request,
        walk: _Walk,
        choice: choosers.Choice,
        sink: exchange.Sink,
    ) -> _Attempt:
        is_failure = self._is_failure(request)
        holding = holdings.Holding(sink, is_failure, walk.turn)
        return _Attempt(choice, holding)

    async def _attempt(
        self, request: exchange.Request, walk: _Walk, attempt: _Attempt
    ) -> exchange.Result:
        self.sends += 1
        result = None
        choice, holding = attempt.choice, attempt.holding
        insist = self._insist(walk, self._clock.monotonic())
        insist = max(insist, choice.insist)
        # What ran once already is worth an answer as long as there is time.
        start_by = math.inf if walk.sends else walk.start_by
        try:
            if choice.process == self._name:
                result = await self._run_here(
                    request, walk, choice, holding, insist, start_by
                )
            else:
                result = await self.sender.send(
                    request, choice, holding, insist, walk.wait, start_by
                )
            if holding.holds:
                walk.held = holding
            return result
        finally:
            if not holding.begun:
                walk.turn.give_back(holding)
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
        start_by: float,
    ) -> exchange.Result:
        ticket = gate.Ticket(
            (self._boot, self.next_seq()),
            request.repeatable,
            request.priority,
            request.deadline,
            insist,
            request.aim,
            walk.wait,
            start_by,
        )
        return await self._beside.run(choice.target, ticket, request, sink)
