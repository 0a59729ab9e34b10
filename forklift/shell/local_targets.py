"""Runs requests on the targets of this instance, after admission control."""

import asyncio
import dataclasses
import random
import secrets
from collections.abc import Callable

import msgspec
import structlog

from forklift import admission
from forklift import call_reserve
from forklift import crash_candidates
from forklift import fences
from forklift import header_fields
from forklift import health
from forklift import messages
from forklift import notice_memory
from forklift import policy
from forklift import quarantine as quarantines
from forklift import run_calls
from forklift import target_notices
from forklift.shell import connection_pool
from forklift.shell import exchange
from forklift.shell import tcp_stream
from forklift.shell import upstream

_log = structlog.get_logger(__name__)
Reason = messages.Reason
Signal = health.Signal

# Size of a random crash ID, in bits; IDs are unique in the fleet.
_CRASH_ID_BITS = 63
# Maximum number of bytes of a response that are read after its sender is gone.
MAX_DISCARDED_BYTES = 1 << 20
_SIGNAL_BY_REASON = {
    Reason.CONNECT_FAILED: Signal.UNREACHABLE,
    Reason.SHED: Signal.SHED,
}


@dataclasses.dataclass(frozen=True)
class LocalTarget:
    """One incarnation of a target of this instance.

    Attributes:
        reported_name: Name that the target reports. The name of the incarnation
            is `controller.name`.
        controller: Admission controller of the target.
        pool: Connections to the target.
        candidates: Requests that may have caused a crash of the target.
    """

    reported_name: str
    controller: admission.Controller
    pool: connection_pool.Pool
    candidates: crash_candidates.CrashCandidates = dataclasses.field(
        default_factory=crash_candidates.CrashCandidates
    )


class _DetachableSink:
    """Sink of a request that may outlive its sender.

    Once the sender is gone, the response is read to its end and discarded, so
    that its result is recorded and the connection can be reused. A long one is
    broken off.
    """

    def __init__(self, sink: exchange.Sink):
        self._sink = sink
        self._discarded_bytes = 0
        self.is_detached = False

    @property
    def has_started(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.has_started

    async def start(self, head: exchange.ResponseHead) -> None:
        """See `exchange.Sink`."""
        if not self.is_detached:
            await self._sink.start(head)

    async def data(self, chunk: bytes) -> None:
        """See `exchange.Sink`."""
        if not self.is_detached:
            await self._sink.data(chunk)
            return
        self._discarded_bytes += len(chunk)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise tcp_stream.ConnectionLost("the sender is gone")

    async def end(self) -> None:
        """See `exchange.Sink`."""
        if not self.is_detached:
            await self._sink.end()


class LocalTargets:
    """Admits requests to the targets of this instance and runs them.

    Attributes:
        by_name: Targets, by the name of the incarnation.
        fences: Which requests have started or must never start.
        running: Number of requests that run or wait for a slot.
    """

    def __init__(
        self,
        header_names: header_fields.HeaderNames,
        find_policy,
        clock,
        on_change,
        failure_percent=lambda service, now: 0,
        quarantine: quarantines.Quarantine | None = None,
        on_evidence=lambda: None,
        notices: notice_memory.NoticeMemory | None = None,
        calls: run_calls.RunCalls | None = None,
        draw: Callable[[], float] = random.random,
    ):
        self._header_names = header_names
        self._find_policy = find_policy
        self._clock = clock
        self._on_change = on_change
        self._failure_percent = failure_percent
        self._quarantine = quarantine or quarantines.Quarantine()
        self._on_evidence = on_evidence
        self._notices = notices or notice_memory.NoticeMemory(clock.wall)
        self._calls = calls or run_calls.RunCalls()
        self._draw = draw
        self.by_name: dict[str, LocalTarget] = {}
        self.fences = fences.Fences()
        # Current names of targets, by the names that were used before their
        # start times were known.
        self._name_by_previous: dict[str, str] = {}
        self._decision_future_by_id: dict[object, asyncio.Future] = {}
        self._detached: set[asyncio.Task] = set()
        self._start_timer_by_controller: dict[
            admission.Controller, asyncio.TimerHandle
        ] = {}
        self.running = 0

    # Targets.

    def add(self, name: str, local_target: LocalTarget) -> None:
        """Adds a target."""
        self.by_name[name] = local_target
        local_target.controller.call_reserve = call_reserve.CallReserve(
            self._calls.reserved_share, self._calls.makes_calls
        )

    def rename(self, previous: str, name: str) -> None:
        """Renames a target once the name of its incarnation is known.

        Peers use the previous name until they are informed.
        """
        local_target = self.by_name.pop(previous)
        local_target.controller.name = name
        self.by_name[name] = local_target
        renamed = self._name_by_previous | {previous: name}
        self._name_by_previous = {
            earlier: name if current == previous else current
            for earlier, current in renamed.items()
            if current in self.by_name or current == previous
        }

    def drain(self, name: str) -> None:
        """Stops sending new requests to a target."""
        local_target = self.by_name[name]
        self._apply_decisions(
            local_target, local_target.controller.mark_draining()
        )

    def pause(self, name: str) -> None:
        """Stops sending new requests to a target, as this process stops."""
        local_target = self.by_name[name]
        self._apply_decisions(
            local_target, local_target.controller.mark_paused()
        )

    def leave(self, name: str) -> None:
        """Marks a target as gone."""
        local_target = self.by_name[name]
        self._apply_decisions(local_target, local_target.controller.mark_left())

    def tick(self, now: float) -> None:
        """Runs the periodic work of all admission controllers."""
        for local_target in self.by_name.values():
            version = local_target.controller.version
            self._apply_decisions(
                local_target, local_target.controller.tick(now), version
            )

    # Requests.

    async def run(
        self,
        target: str,
        ticket: admission.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Runs a request if it is admitted, and forwards the response.

        A non-idempotent request that has started runs to its end even if its
        sender is gone, as cancelling it would not undo its effects.

        Raises:
            asyncio.CancelledError: The sender gave up.
            tcp_stream.ConnectionLost: The sink's connection is lost.
        """
        name = self._name_by_previous.get(target, target)
        local_target = self.by_name.get(name)
        if local_target is None:
            return exchange.not_run(Reason.UNKNOWN_TARGET)
        if not self.fences.may_start(ticket.id):
            return self._fenced_result(ticket)
        now = self._clock.monotonic()
        fingerprint = request.fingerprint
        quarantined_for = self._quarantine.quarantined_for(fingerprint, now)
        if quarantined_for:
            return exchange.not_run(Reason.QUARANTINED, quarantined_for)
        if self._quarantine.is_suspected(fingerprint, now):
            ticket = dataclasses.replace(ticket, exclusive=True)
        if ticket.idempotent:
            return await self._admit_and_run(
                local_target, ticket, request, sink
            )
        detachable = _DetachableSink(sink)
        task = asyncio.create_task(
            self._admit_and_run(local_target, ticket, request, detachable)
        )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if self.fences.has_started(ticket.id):
                detachable.is_detached = True
                self._detached.add(task)
                task.add_done_callback(self._on_detached_done)
            else:
                task.cancel()
            raise

    def fence(self, key: fences.RequestKey) -> bool:
        """Prevents a request from starting.

        Returns:
            Whether it is certain that the request never starts.
        """
        return self.fences.fence(key, self._clock.monotonic())

    def _on_detached_done(self, task: asyncio.Task) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.info("detached_request_failed", detail=repr(task.exception()))

    def _fenced_result(self, ticket: admission.Ticket) -> exchange.Result:
        if self.fences.has_started(ticket.id):
            return exchange.unknown(Reason.FENCED)
        return exchange.not_run(Reason.FENCED)

    async def _admit_and_run(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        now = self._clock.monotonic()
        draw = self._draw() if self._calls.is_enabled() else 0.0
        held_back_for = self._calls.held_back_for(ticket, draw, now)
        if held_back_for and not local_target.controller.closed:
            load = self._current_load(local_target, request.route)
            return exchange.not_run(Reason.BUSY, held_back_for, load)
        self.running += 1
        try:
            version = local_target.controller.version
            decision = local_target.controller.admit(ticket, now)
            if isinstance(decision, admission.Queued):
                self._apply_decisions(
                    local_target, list(decision.displaced), version
                )
                decision = await self._wait_for_slot(local_target, ticket)
            if isinstance(decision, admission.Refused):
                self.fences.check_not_started(ticket.id)
                load = self._current_load(local_target, request.route)
                return exchange.not_run(
                    decision.reason, decision.retry_after, load
                )
            return await self._run_admitted(local_target, ticket, request, sink)
        finally:
            self.running -= 1

    async def _wait_for_slot(
        self, local_target: LocalTarget, ticket: admission.Ticket
    ) -> admission.Decision:
        future = asyncio.get_running_loop().create_future()
        self._decision_future_by_id[ticket.id] = future
        self._schedule_start(local_target)
        try:
            return await future
        except asyncio.CancelledError:
            is_decided = future.done() and not future.cancelled()
            if is_decided and isinstance(future.result(), admission.Started):
                self._finish(local_target, ticket, None)
            local_target.controller.cancel(ticket)
            raise
        finally:
            self._decision_future_by_id.pop(ticket.id, None)

    def _schedule_start(self, local_target: LocalTarget) -> None:
        """Starts the first queued request as soon as the rate limit allows."""
        controller = local_target.controller
        delay = controller.seconds_until_start(self._clock.monotonic())
        is_scheduled = controller in self._start_timer_by_controller
        if not delay or is_scheduled:
            # Without a delay, the end of a request or a tick starts it.
            return
        timer = asyncio.get_running_loop().call_later(
            delay, self._start_waiting, local_target
        )
        self._start_timer_by_controller[controller] = timer

    def _start_waiting(self, local_target: LocalTarget) -> None:
        controller = local_target.controller
        del self._start_timer_by_controller[controller]
        version = controller.version
        decisions = controller.start_waiting(self._clock.monotonic())
        self._apply_decisions(local_target, decisions, version)
        self._schedule_start(local_target)

    async def _run_admitted(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        upstream_request = upstream.UpstreamRequest(
            local_target.pool,
            request,
            local_target.reported_name,
            local_target.controller.name,
            self._header_names,
            self._clock.monotonic,
            lambda notice, sent_at: self._handle_notice(
                local_target, notice, sent_at
            ),
        )
        signal: Signal | None = None
        candidates = local_target.candidates
        try:
            remaining = ticket.deadline - self._clock.monotonic()
            async with asyncio.timeout(max(0.0, remaining)):
                status = await upstream_request.execute(
                    lambda: self._try_start(
                        local_target, ticket, request.fingerprint
                    ),
                    lambda: self._current_load(local_target, request.route),
                    sink,
                )
            candidates.discard(ticket.id)
            signal = self._health_signal(
                local_target.controller.service, status
            )
            if signal is Signal.SUCCESS:
                # An error response is no evidence that a request is harmless:
                # an unhealthy target may reject a request that would crash it
                # otherwise.
                self._record_success(request.fingerprint)
            result = exchange.answered(status, local_target.controller.name)
        except connection_pool.NotRun as error:
            candidates.discard(ticket.id)
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.handle_crash(local_target)
            signal = _SIGNAL_BY_REASON.get(error.reason)
            now = self._clock.monotonic()
            quarantined_for = self._quarantine.quarantined_for(
                request.fingerprint, now
            )
            result = exchange.not_run(error.reason, quarantined_for)
        except upstream.IncompleteResponse as error:
            reason = error.reason
            signal = None if reason is Reason.CANCELLED else Signal.BROKEN
            candidates.mark_ended(ticket.id, self._clock.monotonic())
            if reason is Reason.TARGET_BROKE and await self._has_crashed(
                local_target, ticket
            ):
                reason = Reason.TARGET_CRASHED
            result = exchange.unknown(reason)
            _log.warning(
                "response_incomplete",
                request=request.id,
                target=local_target.controller.name,
                reason=str(reason),
                detail=str(error),
            )
        except TimeoutError:
            # The health of the target already reflects the overdue request.
            result = self._timeout_result(ticket)
        finally:
            candidates.mark_ended(ticket.id, self._clock.monotonic())
            self._calls.end_run(ticket, self._clock.monotonic())
            self._finish(local_target, ticket, signal)
        return dataclasses.replace(
            result, load=self._current_load(local_target, request.route)
        )

    def _handle_notice(
        self,
        local_target: LocalTarget,
        notice: target_notices.TargetNotice,
        sent_at: float,
    ) -> None:
        """Handles the notices in a response of a target.

        Args:
            local_target: The target.
            notice: The notices.
            sent_at: Monotonic seconds at which the request was sent.
        """
        controller = local_target.controller
        if notice.rate_limit is not None:
            self._record_rate_limit(local_target, notice.rate_limit, sent_at)
        if notice.leaving and not controller.target_leaving:
            _log.info("target_leaving", target=controller.name)
            self._notices.record_leaving(
                controller.name, self._clock.monotonic() - sent_at
            )
            self._apply_decisions(local_target, controller.mark_draining())

    def _record_rate_limit(
        self, local_target: LocalTarget, rate: float, sent_at: float
    ) -> None:
        controller = local_target.controller
        before = controller.rate_limit.finite_rate
        version = controller.version
        decisions = controller.record_rate_limit(
            rate, sent_at, self._clock.monotonic()
        )
        if version != controller.version:
            _log_rate_limit(controller, before, "response")
        self._apply_decisions(local_target, decisions, version)

    def adopt_rate_limit(self, target: str, rate: float) -> None:
        """Adopts a rate limit until the target names one in a response.

        A peer remembers it, or the health endpoint of the target names it.

        Args:
            target: Name of the target.
            rate: Requests per second.
        """
        name = self._name_by_previous.get(target, target)
        local_target = self.by_name.get(name)
        if local_target is None or not rate >= 0:
            return
        controller = local_target.controller
        version = controller.version
        controller.adopt_rate_limit(rate, self._clock.monotonic())
        if version != controller.version:
            _log_rate_limit(controller, None, "hint")
            self._on_change(controller)

    async def _has_crashed(
        self, local_target: LocalTarget, ticket: admission.Ticket
    ) -> bool:
        """Returns whether an incomplete response was due to a crash.

        Most targets keep running after an incomplete response.
        """
        if not local_target.candidates.contains(ticket.id):
            # Another request has already detected the crash.
            return True
        if (
            await local_target.pool.is_refusing()
            and local_target.candidates.contains(ticket.id)
        ):
            self.handle_crash(local_target)
        return not local_target.candidates.contains(ticket.id)

    def handle_crash(self, local_target: LocalTarget) -> None:
        """Records a crash if a target exited unexpectedly.

        The crash is evidence against the requests that the target ran. No
        crash is recorded if the target ran no requests or had announced that it
        was leaving.
        """
        now = self._clock.monotonic()
        fingerprints = local_target.candidates.take_fingerprints(now)
        if not fingerprints or local_target.controller.target_leaving:
            return
        crash_id = secrets.randbits(_CRASH_ID_BITS)
        self._quarantine.record_crash(fingerprints, crash_id, now)
        _log.warning(
            "target_crashed",
            target=local_target.controller.name,
            running=[fingerprint.hex() for fingerprint in fingerprints],
            held=[
                fingerprint.hex()
                for fingerprint in fingerprints
                if self._quarantine.quarantined_for(fingerprint, now)
            ],
        )
        self._on_evidence()

    def _record_success(self, fingerprint: bytes) -> None:
        """Records a success, as evidence that a request is harmless."""
        self._quarantine.record_success(fingerprint, self._clock.monotonic())
        if self._quarantine.has_changes:
            self._on_evidence()

    def _try_start(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        fingerprint: bytes,
    ) -> Reason | None:
        """Marks a request as started, right before it is sent.

        Returns:
            Why it must not start; None if it has started.
        """
        now = self._clock.monotonic()
        if local_target.controller.closed:
            return Reason.DRAINING
        if ticket.deadline <= now:
            return Reason.DEADLINE
        if self._quarantine.quarantined_for(fingerprint, now):
            # The request crashed other targets while it was queued.
            return Reason.QUARANTINED
        if not self.fences.try_start(ticket.id, now):
            return Reason.FENCED
        local_target.candidates.add(ticket.id, fingerprint, now)
        self._calls.start_run(ticket, now)
        return None

    def _current_load(
        self, local_target: LocalTarget, route: str
    ) -> messages.Load:
        now = self._clock.monotonic()
        failure_percent = self._failure_percent(
            local_target.controller.service, now
        )
        return msgspec.structs.replace(
            local_target.controller.load(now, route),
            failure_percent=failure_percent,
        )

    def _health_signal(self, service: str, status: int) -> Signal:
        service_policy: policy.ServicePolicy = self._find_policy(service)
        return (
            Signal.ERROR
            if service_policy.is_failure(status)
            else Signal.SUCCESS
        )

    def _timeout_result(self, ticket: admission.Ticket) -> exchange.Result:
        if self.fences.has_started(ticket.id):
            return exchange.unknown(Reason.TIMEOUT)
        return exchange.not_run(Reason.DEADLINE)

    def _finish(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        signal: Signal | None,
    ) -> None:
        version = local_target.controller.version
        now = self._clock.monotonic()
        if not self.fences.has_started(ticket.id):
            # Nothing was sent, so the request does not count.
            local_target.controller.rate_limit.give_back()
        self._apply_decisions(
            local_target,
            local_target.controller.finish(ticket, signal, now),
            version,
        )

    def _apply_decisions(
        self,
        local_target: LocalTarget,
        decisions: list[admission.Decision],
        version: int = -1,
    ) -> None:
        """Passes the decisions of a controller to the queued requests.

        Args:
            local_target: The target of the controller.
            decisions: The decisions.
            version: Version of the controller before it decided. If it has
                changed, observers are notified; by default, they always are.
        """
        for decision in decisions:
            future = self._decision_future_by_id.pop(decision.ticket.id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, admission.Started):
                # The sender is gone, so the slot is released.
                self._finish(local_target, decision.ticket, None)
        if version != local_target.controller.version:
            self._on_change(local_target.controller)


def _log_rate_limit(
    controller: admission.Controller, before: float | None, source: str
) -> None:
    """Logs a changed rate limit of a target.

    Args:
        controller: Admission controller of the target.
        before: The limit before, in requests per second; None if there was
            none.
        source: Whether a response names the limit, or only a hint.
    """
    _log.warning(
        "target_rate_limit",
        target=controller.name,
        rate=controller.rate_limit.finite_rate,
        before=before,
        source=source,
        running=controller.running,
        waiting=controller.waiting,
    )
