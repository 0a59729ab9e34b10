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

from forklift import admission
from forklift import invariants
from forklift import latency
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import quarantine as quarantines
from forklift import retries
from forklift.shell import dispatch
from forklift.shell import exchange
from forklift.shell import hedging
from forklift.shell import local_targets
from forklift.shell import peer_connections
from forklift.shell import response_buffer
from forklift.shell import shutdown

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason

# Seconds after which to come back when no target was free.
RETRY_AFTER = 0.5
# Part of the budget of repeats up to which second sends are made: the rest is
# left to requests that failed.
HEDGE_BUDGET_FRACTION = 0.85
_ENDLESS = shutdown.Deadlines(math.inf, math.inf, math.inf)


class Forwarder:
    """Sends the requests of one entry."""

    def __init__(
        self,
        name: str,
        boot: int,
        balancer: load_balancer.LoadBalancer,
        targets: local_targets.LocalTargets,
        links: peer_connections.PeerConnections,
        program,
        clock,
        rng: random.Random,
        quarantine: quarantines.Quarantine | None = None,
    ):
        self.name = name
        self.quarantine = quarantine or quarantines.Quarantine()
        self.boot = boot
        self.balancer = balancer
        self.local_targets = targets
        self.program = program
        self.clock = clock
        self.rng = rng
        self._seqs = itertools.count(1)
        self.dispatcher = dispatch.Dispatcher(
            name, boot, links, targets, self.next_seq, clock, rng
        )
        self.attempts = 0
        self.retries = 0
        self.hedges = 0
        self.stop_deadlines = _ENDLESS
        self._in_flight: set[_ForwardedRequest] = set()

    def next_seq(self) -> int:
        """A request number never used before in this boot."""
        return next(self._seqs)

    async def run(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        """Runs a request on a target of its service.

        Raises:
            tcp_stream.ConnectionLost: The sink is gone.
            asyncio.CancelledError: The caller gave up.
        """
        passage = _ForwardedRequest(self, request, sink)
        self._in_flight.add(passage)
        try:
            return await passage.run()
        finally:
            self._in_flight.discard(passage)

    def set_stop_deadlines(self, bounds: shutdown.Deadlines) -> None:
        """This process ends: every request has its answer before.

        What no target has by then is refused, which is true; what one has is
        answered as unknown. Otherwise its caller would see a closed
        connection.

        Args:
            bounds: Until when each has its answer.
        """
        self.stop_deadlines = bounds
        for passage in self._in_flight:
            passage.set_stop_deadlines(bounds)


class _ForwardedRequest:
    """One request, from its entry until its final result."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: exchange.Request,
        sink: exchange.Sink,
    ):
        self._forwarder = forwarder
        self._balancer = forwarder.balancer
        self._request = request
        self._sink = sink
        self._retry_state = retries.RetryState(
            self._now(),
            request.deadline,
            process_exits_at=forwarder.stop_deadlines.reject_at,
        )
        self._bounds = forwarder.stop_deadlines
        self._until: asyncio.Timeout | None = None
        # Whether a target may have it.
        self._asking = False
        # A whole answer that another target's may replace.
        self._held: response_buffer.BufferedResponse | None = None
        self._claim = response_buffer.ResponseClaim()

    async def run(self) -> exchange.Result:
        """Sends the request until it is answered or given up."""
        self._balancer.record_request(self._request.service, self._now())
        result = await self._go_in_time()
        if self._held is not None and not self._sink.has_started:
            return await self._held.flush()
        if result.ending.outcome is not Outcome.ANSWERED:
            self._tell_why()
        if (
            self._retry_state.possible_runs
            and result.ending.outcome is Outcome.NOT_RUN
        ):
            # The last target refused it, but an earlier one may have run it.
            return exchange.unknown(result.ending.reason)
        return self._spread(result)

    def _spread(self, result: exchange.Result) -> exchange.Result:
        """Has callers that were refused together return one by one."""
        expected = result.ending.retry_after
        if not expected:
            return result
        after = self._retry_state.retry_after(
            expected, self._forwarder.rng.random()
        )
        ending = dataclasses.replace(result.ending, retry_after=after)
        return dataclasses.replace(result, ending=ending)

    def set_stop_deadlines(self, bounds: shutdown.Deadlines) -> None:
        """The process ends: this request must be over by then."""
        self._bounds = bounds
        self._retry_state.process_exits_at = bounds.reject_at
        self._bound()

    def _ask(self, asking: bool) -> None:
        """Notes whether a target may have it: its bound is a later one."""
        self._asking = asking
        self._bound()

    def _bound(self) -> None:
        """Bounds the request by the end of this process, if that is known."""
        bounds = self._bounds
        by = bounds.resolve_at if self._asking else bounds.reject_at
        if self._until is None or self._until.expired() or math.isinf(by):
            return
        self._until.reschedule(self._loop_time(by))

    async def _go_in_time(self) -> exchange.Result:
        """Goes over targets, at most until this process ends."""
        try:
            async with asyncio.timeout_at(None) as self._until:
                self._bound()
                return await self._go()
        except TimeoutError:
            if self._asking or self._retry_state.possible_runs:
                return exchange.unknown(Reason.DRAINING)
            return exchange.not_run(Reason.DRAINING, RETRY_AFTER)
        finally:
            self._until = None

    def _loop_time(self, when: float) -> float:
        """A time of the clock as the loop counts it."""
        return asyncio.get_running_loop().time() + when - self._now()

    def _tell_why(self) -> None:
        """Logs what a request met on its way before it was given up."""
        retry_state, service = self._retry_state, self._request.service
        _log.info(
            "given_up",
            request=self._request.id,
            service=service,
            refusals=dict(retry_state.refusals_by_reason),
            sends=retry_state.attempts,
            waits=retry_state.wait,
            insist=retry_state.required_health(self._now()).name.lower(),
            targets=self._balancer.count_by_state(service, self._now()),
            repeats_refused=self._balancer.retries_refused(service),
        )

    def _now(self) -> float:
        return self._forwarder.clock.monotonic()

    @property
    def _program(self) -> policy.ServicePolicy:
        return self._forwarder.program(self._request.service)

    @property
    def _usual(self) -> latency.Distribution:
        """How long requests of its route take."""
        route = self._request.route
        return self._balancer.latencies.for_route(route, self._objective)

    @property
    def _objective(self) -> float:
        """Seconds within which an answer has its full worth."""
        return self._request.soft_deadline - self._retry_state.started

    @property
    def _start_by(self) -> float:
        return self._retry_state.start_by(
            self._usual, self._request.soft_deadline
        )

    @property
    def _kilobytes(self) -> float:
        """Size of the request and of its answer, as far as known."""
        request = self._request
        sent = max(request.length, len(request.body.prefix))
        return (
            sent + self._balancer.response_sizes.mean_bytes(request.route)
        ) / 1024

    def _held_for(self) -> float:
        """Seconds for which it is held back, as it crashes targets."""
        fingerprint = self._request.fingerprint
        return self._forwarder.quarantine.quarantined_for(
            fingerprint, self._now()
        )

    @property
    def _alone(self) -> bool:
        """Whether it runs only where nothing else does."""
        fingerprint = self._request.fingerprint
        quarantine = self._forwarder.quarantine
        suspect = quarantine.is_suspected(fingerprint, self._now())
        return suspect or self._retry_state.exclusive

    @property
    def _again(self) -> bool:
        """Whether the request can still be sent from its start."""
        return self._request.body.replayable and not self._sink.has_started

    async def _go(self) -> exchange.Result:
        result = exchange.not_run(Reason.NO_TARGET, RETRY_AFTER)
        aim = self._request.soft_deadline
        while not self._retry_state.should_give_up(
            self._usual, aim, self._now()
        ):
            held = self._held_for()
            if held:
                return exchange.not_run(Reason.QUARANTINED, held)
            selection = self._choose()
            if selection is None:
                if self._held is not None:
                    # A repeat that no target takes now has an answer already.
                    return result
                if not self._retry_state.relax_requirements():
                    await asyncio.sleep(self._retry_state.next_poll_delay())
                continue
            if not self._pay():
                service = self._request.service
                self._balancer.finish_attempt(
                    service, selection, None, self._now()
                )
                return result
            self._ask(True)
            tried = await self._send(selection)
            self._ask(False)
            result = tried.result
            if not self._goes_on(tried):
                return result
        return result

    def _choose(self) -> load_balancer.Selection | None:
        retry_state, now = self._retry_state, self._now()
        requirements = load_balancer.Requirements(
            self._request.service,
            self._request.idempotent,
            retry_state.required_health(now),
            allows_trial=retry_state.attempts == 0,
            wait=retry_state.wait,
            kilobytes=self._kilobytes,
        )
        tried, refused = (
            frozenset(retry_state.tried),
            frozenset(retry_state.refused),
        )
        return self._balancer.select(requirements, tried, now, refused)

    def _pay(self) -> bool:
        """Whether it may be sent: the first time free, then by the budget."""
        retry_state = self._retry_state
        if retry_state.attempts == 0 or retry_state.budget_charged:
            return True
        if retry_state.attempts >= self._request.attempts:
            return False
        retry_state.budget_charged = self._balancer.spend_retry(
            self._request.service, self._now(), objective=self._objective
        )
        return retry_state.budget_charged

    # What became of an attempt.

    def _goes_on(self, tried: hedging.AttemptResult) -> bool:
        """Takes note of an attempt; whether another target is tried."""
        ending, target = tried.result.ending, tried.selection.target
        if ending.outcome is Outcome.NOT_RUN:
            self._retry_state.record_not_run(target, ending.reason)
            return self._again and not self._retry_state.exhausted
        self._retry_state.record_run(target, ending.reason)
        self._note_failure(ending)
        if not self._request.idempotent:
            invariants.at_most_once(
                self._retry_state.possible_runs, self._request.id
            )
            return False
        if not self._again or not self._worth_repeating(ending):
            return False
        self._forwarder.retries += 1
        _log.info(
            "repeat",
            request=self._request.id,
            target=target,
            reason=str(ending.reason or ending.status),
            sends=self._retry_state.attempts,
        )
        return True

    def _note_failure(self, ending: exchange.Ending) -> None:
        answered = ending.outcome is Outcome.ANSWERED
        if not answered or self._program.is_failure(ending.status):
            self._balancer.record_failure(self._request.service, self._now())

    def _worth_repeating(self, ending: exchange.Ending) -> bool:
        request = self._request
        return bool(
            self._program.retry.evaluate(
                attempt=self._retry_state.attempts,
                status=ending.status,
                outcome=str(ending.outcome),
                reason=str(ending.reason or ""),
                repeatable=request.idempotent,
                method=request.method.decode("latin-1"),
                remaining=request.deadline - self._now(),
            )
        )

    # One attempt, or two beside each other.

    async def _send(
        self, first: load_balancer.Selection
    ) -> hedging.AttemptResult:
        """Makes an attempt, and a second beside it where it takes long."""
        race = hedging.HedgedRequest(
            self._claim, self._begin, self._second, self._goes_on
        )
        return await race.run(first, self._patience())

    def _begin(
        self, selection: load_balancer.Selection, second: bool
    ) -> hedging.Attempt:
        # Tells answers that another target may replace.
        is_failure = None
        if self._request.idempotent and self._request.body.replayable:
            is_failure = self._program.is_failure
        buffered = response_buffer.BufferedResponse(
            self._sink, is_failure, self._claim
        )
        task = asyncio.create_task(self._attempt(selection, buffered, second))
        return hedging.Attempt(selection, buffered, task)

    def _patience(self) -> float | None:
        """Seconds until a second attempt; None where there is none."""
        request = self._request
        once = not request.idempotent or not request.body.replayable
        if once or self._retry_state.attempts + 2 > request.attempts:
            return None
        if self._alone:
            # A second target is not put at risk beside the first.
            return None
        return self._retry_state.hedge_delay(
            self._usual, request.soft_deadline, self._now()
        )

    def _second(
        self, first: load_balancer.Selection, under_way: int
    ) -> load_balancer.Selection | None:
        """A free, sound target for a second attempt, if one may be made."""
        if (
            self._alone
            or self._retry_state.attempts + under_way >= self._request.attempts
        ):
            return None
        service, now = self._request.service, self._now()
        requirements = load_balancer.Requirements(
            service, True, allows_trial=False, kilobytes=self._kilobytes
        )
        passed = frozenset(self._retry_state.tried | {first.target})
        refused = frozenset(self._retry_state.refused)
        second = self._balancer.select(requirements, passed, now, refused)
        if second is None:
            return None
        if not self._retry_state.budget_charged:
            self._retry_state.budget_charged = self._balancer.spend_retry(
                service, now, HEDGE_BUDGET_FRACTION, self._objective
            )
        if not self._retry_state.budget_charged:
            self._balancer.finish_attempt(service, second, None, now)
            return None
        self._forwarder.hedges += 1
        _log.info(
            "hedge",
            request=self._request.id,
            target=first.target,
            second=second.target,
            seconds=round(now - self._retry_state.started, 3),
            usual=round(self._usual.median, 4),
        )
        return second

    async def _attempt(
        self,
        selection: load_balancer.Selection,
        buffered: response_buffer.BufferedResponse,
        second: bool,
    ) -> exchange.Result:
        self._forwarder.attempts += 1
        required_health = max(
            self._retry_state.required_health(self._now()),
            selection.required_health,
        )
        # One that goes beside another need not start as soon.
        start_by = math.inf if second else self._start_by
        result = None
        try:
            if selection.process == self._forwarder.name:
                result = await self._run_here(
                    selection, buffered, required_health, start_by
                )
            else:
                result = await self._forwarder.dispatcher.send(
                    self._request,
                    selection,
                    buffered,
                    required_health,
                    self._retry_state.wait,
                    start_by,
                    self._alone,
                )
            return result
        finally:
            # Also where this process ends while it waits for its turn.
            if buffered.is_withheld:
                self._held = buffered
            if not buffered.has_started:
                self._claim.release(buffered)
            load = result.load if result is not None else None
            if buffered.length > 0:
                self._balancer.response_sizes.record(
                    self._request.route, buffered.length
                )
            service = self._request.service
            self._balancer.finish_attempt(
                service, selection, load, self._now(), self._usual
            )

    async def _run_here(
        self,
        selection: load_balancer.Selection,
        sink: exchange.Sink,
        required_health: admission.RequiredHealth,
        start_by: float,
    ) -> exchange.Result:
        request = self._request
        ticket = admission.Ticket(
            (self._forwarder.boot, self._forwarder.next_seq()),
            request.idempotent,
            request.priority,
            request.deadline,
            required_health,
            request.soft_deadline,
            request.route,
            self._retry_state.wait,
            start_by,
            self._alone,
        )
        return await self._forwarder.local_targets.run(
            selection.target, ticket, request, sink
        )
