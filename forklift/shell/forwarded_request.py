"""One request on its way to a target: selection, retries, hedges, deadlines.

If no target is available, the process that received the request polls until
one is, as it can send requests to the targets of all processes. The request
fails once no target can serve it in time.
"""

import asyncio
import dataclasses

import structlog

from forklift import admission
from forklift import invariants
from forklift import latency
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import request_retries
from forklift import retry_allocation
from forklift.shell import exchange
from forklift.shell import hedging
from forklift.shell import response_buffer
from forklift.shell import stop_timeout
from forklift.shell import targets_in_flight

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason

# Retry-After of requests for which no target was available.
RETRY_AFTER_SECONDS = 0.5


class ForwardedRequest:
    """One request, from its arrival to its final result."""

    def __init__(
        self, forwarder, request: exchange.Request, sink: exchange.Sink
    ):
        """Creates a request that was not sent yet.

        Args:
            forwarder: The `forwarding.Forwarder` of this process.
            request: The request.
            sink: Receives the response.
        """
        self._forwarder = forwarder
        self._balancer = forwarder.balancer
        self._request = request
        self._sink = sink
        self._retry_state = forwarder.new_retry_state(request)
        self._stop_timeout = stop_timeout.StopTimeout(self._now)
        self.apply_stop_deadlines()
        # The complete response of a failed attempt; a retry may replace it.
        self._withheld: response_buffer.BufferedResponse | None = None
        self._claim = response_buffer.ResponseClaim()
        self._targets_in_flight = targets_in_flight.TargetsInFlight(
            forwarder.balancer, request
        )
        self._retries = request_retries.RequestRetries(
            forwarder.retry_allocation,
            retry_allocation.Request(
                request.service,
                request.priority,
                request.idempotent,
                request.max_attempts,
                self._objective,
            ),
            self._retry_state,
            request.soft_deadline,
            forwarder.rng.random,
        )

    async def run(self) -> exchange.Result:
        """Returns the final result, after retries if necessary."""
        self._balancer.record_request(self._request.service, self._now())
        result = await self._run_with_stop_deadline()
        if self._withheld is not None and not self._sink.has_started:
            return await self._withheld.flush()
        if result.ending.outcome is not Outcome.ANSWERED:
            self._log_failure()
        if (
            self._retry_state.possible_runs
            and result.ending.outcome is Outcome.NOT_RUN
        ):
            # The last target rejected the request, but an earlier one may have
            # run it.
            return exchange.unknown(result.ending.reason)
        return self._add_jitter(result)

    @property
    def arrived_at(self) -> float:
        """Monotonic seconds at which the request arrived."""
        return self._retry_state.started

    @property
    def has_waited(self) -> bool:
        """Whether it was sent to targets without a free slot."""
        return self._retry_state.wait

    def _add_jitter(self, result: exchange.Result) -> exchange.Result:
        """Adds jitter to Retry-After, so that callers do not retry together."""
        retry_after = result.ending.retry_after
        if not retry_after:
            return result
        jittered = self._retry_state.retry_after(
            retry_after, self._forwarder.rng.random()
        )
        ending = dataclasses.replace(result.ending, retry_after=jittered)
        return dataclasses.replace(result, ending=ending)

    def apply_stop_deadlines(self) -> None:
        """Applies the deadlines of the forwarder, as the process stops."""
        latest_start = self._forwarder.latest_start(self._request)
        self._retry_state.latest_start = latest_start
        self._stop_timeout.set_deadlines(
            latest_start, self._forwarder.stop_deadlines.abandon_at
        )

    async def _run_with_stop_deadline(self) -> exchange.Result:
        """Runs attempts until one has a final result or the stop deadline."""
        try:
            return await self._stop_timeout.run(self._run_attempts())
        except TimeoutError:
            if (
                self._stop_timeout.is_dispatched
                or self._retry_state.possible_runs
            ):
                return exchange.unknown(Reason.DRAINING)
            return exchange.not_run(Reason.DRAINING, RETRY_AFTER_SECONDS)

    def _log_failure(self) -> None:
        """Logs why the request failed."""
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
            repeats_refused=self._balancer.retry_budgets.refused(service),
            **self._retries.log_fields(),
        )

    def _now(self) -> float:
        return self._forwarder.clock.monotonic()

    @property
    def _policy(self) -> policy.ServicePolicy:
        return self._forwarder.find_policy(self._request.service)

    @property
    def _distribution(self) -> latency.Distribution:
        """Latency distribution of the route."""
        route = self._request.route
        return self._balancer.latencies.for_route(route, self._objective)

    @property
    def _objective(self) -> float:
        """Latency objective of the route, in seconds."""
        return self._request.route_soft_deadline - self._retry_state.started

    @property
    def _start_by(self) -> float:
        """Monotonic seconds by which an attempt must have started."""
        return self._retry_state.start_by(
            self._distribution, self._request.soft_deadline
        )

    @property
    def _may_start(self) -> bool:
        """Whether another attempt can end before this process exits."""
        return self._now() < self._retry_state.latest_start

    @property
    def _kilobytes(self) -> float:
        """Expected size of the request and its response, in kilobytes."""
        request = self._request
        sent = max(request.length, len(request.body.prefix))
        return (
            sent + self._balancer.response_sizes.mean_bytes(request.route)
        ) / 1024

    def _quarantined_for(self) -> float:
        """Returns the remaining seconds of the quarantine; 0 if none."""
        fingerprint = self._request.fingerprint
        return self._forwarder.quarantine.quarantined_for(
            fingerprint, self._now()
        )

    @property
    def _exclusive(self) -> bool:
        """Whether the request may only run while its target runs no other."""
        fingerprint = self._request.fingerprint
        quarantine = self._forwarder.quarantine
        suspect = quarantine.is_suspected(fingerprint, self._now())
        return suspect or self._retry_state.exclusive

    @property
    def _can_resend(self) -> bool:
        """Whether the request can be sent again from its start."""
        return self._request.body.replayable and not self._sink.has_started

    def _prepare_resend(self) -> bool:
        """Reserves a retry for an attempt that is to be given up.

        Called while the peer of the attempt is silent.

        Returns:
            Whether another target would serve the request.
        """
        return (
            self._can_resend
            and self._claim.owner is None
            and not self._quarantined_for()
            and self._policy_allows_retry(
                exchange.unknown(Reason.PEER_LOST).ending,
                self._retry_state.attempts + 1,
            )
            and self._targets_in_flight.has_alternative(
                self._retry_state, self._kilobytes, self._now()
            )
            and self._retries.reserve(
                self._distribution, self._now(), len(self._targets_in_flight)
            )
        )

    async def _run_attempts(self) -> exchange.Result:
        result = exchange.not_run(Reason.NO_TARGET, RETRY_AFTER_SECONDS)
        soft_deadline = self._request.soft_deadline
        while not self._retry_state.should_give_up(
            self._distribution, soft_deadline, self._now()
        ):
            quarantined_for = self._quarantined_for()
            if quarantined_for:
                return exchange.not_run(Reason.QUARANTINED, quarantined_for)
            if self._retries.is_refused(self._distribution, self._now()):
                return self._add_retry_after(result)
            selection = self._select()
            if selection is None:
                if self._withheld is not None:
                    # No target is available for the retry, so the caller
                    # receives the withheld response.
                    return result
                if not self._retry_state.relax_requirements():
                    await asyncio.sleep(self._retry_state.next_poll_delay())
                continue
            if not self._retries.charge(self._distribution, self._now()):
                service = self._request.service
                self._balancer.finish_attempt(
                    service, selection, None, self._now()
                )
                return result
            self._stop_timeout.set_dispatched(True)
            attempt = await self._run_with_hedge(selection)
            self._stop_timeout.set_dispatched(False)
            result = attempt.result
            if not self._should_retry(attempt):
                return result
        return result

    def _select(self) -> load_balancer.Selection | None:
        retry_state, now = self._retry_state, self._now()
        requirements = load_balancer.Requirements(
            self._request.service,
            self._request.idempotent,
            retry_state.required_health(now),
            allows_trial=retry_state.attempts == 0,
            wait=retry_state.wait,
            kilobytes=self._kilobytes,
            bulk=self._request.bulk,
        )
        tried, refused = (
            frozenset(retry_state.tried),
            frozenset(retry_state.refused),
        )
        return self._balancer.select(requirements, tried, now, refused)

    def _add_retry_after(self, result: exchange.Result) -> exchange.Result:
        """Adds Retry-After to the result of a request without a retry."""
        ending = result.ending
        if ending.outcome is not Outcome.NOT_RUN or ending.retry_after:
            return result
        retry_after = self._retries.retry_after(self._now())
        ending = dataclasses.replace(ending, retry_after=retry_after)
        return dataclasses.replace(result, ending=ending)

    # Results of attempts.

    def _should_retry(self, attempt: hedging.AttemptResult) -> bool:
        """Records the result of an attempt, and decides whether to retry it.

        Returns:
            Whether to send the request to another target.
        """
        ending, target = attempt.result.ending, attempt.selection.target
        self._retries.record_result(ending.outcome, ending.reason, self._now())
        if ending.outcome is Outcome.NOT_RUN:
            self._balancer.record_not_run(
                self._request.service, attempt.selection, self._now()
            )
            self._retry_state.record_not_run(target, ending.reason)
            return self._can_resend and not self._retry_state.exhausted
        self._retry_state.record_run(target, ending.reason)
        self._record_failure(ending)
        if not self._request.idempotent:
            invariants.at_most_once(
                self._retry_state.possible_runs, self._request.id
            )
            return False
        if not self._can_resend or not self._policy_allows_retry(
            ending, self._retry_state.attempts
        ):
            return False
        self._retries.record_failure(self._now())
        self._forwarder.retries += 1
        _log.info(
            "retry",
            request=self._request.id,
            target=target,
            reason=str(ending.reason or ending.status),
            sends=self._retry_state.attempts,
        )
        return True

    def _record_failure(self, ending: exchange.Ending) -> None:
        is_response = ending.outcome is Outcome.ANSWERED
        if not is_response or self._policy.is_failure(ending.status):
            self._balancer.record_failure(self._request.service, self._now())

    def _policy_allows_retry(
        self, ending: exchange.Ending, attempts: int
    ) -> bool:
        request = self._request
        return bool(
            self._policy.retry.evaluate(
                attempt=attempts,
                status=ending.status,
                outcome=str(ending.outcome),
                reason=str(ending.reason or ""),
                repeatable=request.idempotent,
                method=request.method.decode("latin-1"),
                remaining=request.deadline - self._now(),
            )
        )

    # Attempts and hedging.

    async def _run_with_hedge(
        self, first: load_balancer.Selection
    ) -> hedging.AttemptResult:
        """Runs an attempt, and hedges it if it is slow."""
        hedged_request = hedging.HedgedRequest(
            self._claim,
            self._start_attempt,
            self._select_hedge,
            self._should_retry,
        )
        return await hedged_request.run(first, self._hedge_delay())

    def _start_attempt(
        self, selection: load_balancer.Selection, is_hedge: bool
    ) -> hedging.Attempt:
        # Failed responses are withheld from the caller if the request can be
        # retried.
        is_failure = None
        if self._request.idempotent and self._request.body.replayable:
            is_failure = self._policy.is_failure
        sent_at = self._now()
        buffered = response_buffer.BufferedResponse(
            self._sink,
            is_failure,
            self._claim,
            lambda head: self._forwarder.record_notice(
                self._request.service, head, sent_at
            ),
        )
        task = asyncio.create_task(
            self._run_attempt(selection, buffered, is_hedge)
        )
        return hedging.Attempt(selection, buffered, task)

    def _hedge_delay(self) -> float | None:
        """Returns the seconds until the hedged request; None for no hedge."""
        request = self._request
        # Only one attempt can read a body that is streamed.
        can_run_twice = request.idempotent and request.body.complete
        if (
            not can_run_twice
            or self._retry_state.attempts + 2 > request.max_attempts
        ):
            return None
        if self._exclusive:
            # A suspected request might crash the second target, too.
            return None
        return self._retry_state.hedge_delay(
            self._distribution, request.soft_deadline, self._now()
        )

    def _select_hedge(
        self, first: load_balancer.Selection, in_flight: int
    ) -> load_balancer.Selection | None:
        """Selects a target for a hedged request.

        Args:
            first: Target of the first attempt.
            in_flight: Number of attempts in flight.

        Returns:
            The target; None if no healthy target is free, or if the limit of
            attempts or the retry budget is reached.
        """
        if (
            self._exclusive
            or not self._may_start
            or self._retry_state.attempts + in_flight
            >= self._request.max_attempts
        ):
            return None
        service, now = self._request.service, self._now()
        requirements = load_balancer.Requirements(
            service,
            True,
            allows_trial=False,
            kilobytes=self._kilobytes,
            bulk=self._request.bulk,
        )
        excluded = frozenset(self._retry_state.tried | {first.target})
        refused = frozenset(self._retry_state.refused)
        hedge = self._balancer.select(requirements, excluded, now, refused)
        if hedge is None:
            return None
        if not self._retries.charge_hedge(self._distribution, now):
            self._balancer.finish_attempt(service, hedge, None, now)
            return None
        self._forwarder.hedges += 1
        _log.info(
            "hedge",
            request=self._request.id,
            target=first.target,
            second=hedge.target,
            seconds=round(now - self._retry_state.started, 3),
            usual=round(self._distribution.median, 4),
        )
        return hedge

    async def _run_attempt(
        self,
        selection: load_balancer.Selection,
        buffered: response_buffer.BufferedResponse,
        is_hedge: bool,
    ) -> exchange.Result:
        self._forwarder.attempts += 1
        self._targets_in_flight.add(selection.target)
        required_health = max(
            self._retry_state.required_health(self._now()),
            selection.required_health,
        )
        start_by = self._start_by
        if is_hedge:
            # It may start late, as the first attempt still runs.
            start_by = self._retry_state.latest_start
        result = None
        try:
            if selection.process == self._forwarder.name:
                result = await self._run_locally(
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
                    self._exclusive,
                    self._prepare_resend,
                )
            if (
                buffered.is_superseded
                and self._claim.owner is None
                and _is_answered(result)
            ):
                # The attempt whose response was preferred has failed.
                result = exchange.unknown(Reason.CANCELLED)
            return result
        finally:
            # The attempt may also be cancelled, e.g. as the process stops.
            self._targets_in_flight.discard(selection.target)
            if buffered.is_withheld:
                self._withheld = buffered
            if not buffered.has_started:
                self._claim.release(buffered)
            load = result.load if result is not None else None
            if buffered.length > 0:
                self._balancer.response_sizes.record(
                    self._request.route, buffered.length
                )
            service = self._request.service
            self._balancer.finish_attempt(
                service, selection, load, self._now(), self._distribution
            )

    async def _run_locally(
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
            self._exclusive,
            request.organisation,
            request.call is not None,
        )
        return await self._forwarder.local_targets.run(
            selection.target, ticket, request, sink
        )


def _is_answered(result: exchange.Result) -> bool:
    return result.ending.outcome is Outcome.ANSWERED
