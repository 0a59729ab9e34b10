"""Runs requests on the targets beside this process, as their gates decide."""

import asyncio
import dataclasses
import secrets

import msgspec
import structlog

from forklift import admission
from forklift import crash_candidates
from forklift import fences
from forklift import header_fields
from forklift import health
from forklift import messages
from forklift import policy
from forklift import quarantine as quarantines
from forklift.shell import connection_pool
from forklift.shell import exchange
from forklift.shell import upstream

_log = structlog.get_logger(__name__)
Reason = messages.Reason
Signal = health.Signal

# Of the identity of a crash: two are never the same in a fleet.
_CRASH_BITS = 63
_SIGN_BY_REASON = {
    Reason.CONNECT_FAILED: Signal.UNREACHABLE,
    Reason.SHED: Signal.SHED,
}


@dataclasses.dataclass(frozen=True)
class LocalTarget:
    """One life of a target beside this process, and the way to it.

    Attributes:
        target: The name that the target gives itself; its gate has that of
            its life.
        controller: Admits its requests.
        pool: Its connections.
        candidates: What it was given and did not answer.
    """

    target: str
    controller: admission.Controller
    pool: connection_pool.Pool
    candidates: crash_candidates.CrashCandidates = dataclasses.field(
        default_factory=crash_candidates.CrashCandidates
    )


class _Leaving:
    """The sink of a request that may outlive its sender.

    Once the sender is gone its answer is read to the end and dropped: how it
    ended still tells of the target, and its connection can be used again.
    """

    def __init__(self, sink: exchange.Sink):
        self._sink = sink
        self.gone = False

    @property
    def has_started(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.has_started

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        if not self.gone:
            await self._sink.start(head)

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        if not self.gone:
            await self._sink.data(piece)

    async def end(self) -> None:
        """See `exchange.Sink`."""
        if not self.gone:
            await self._sink.end()


class LocalTargets:
    """The asyncio side of the gates."""

    def __init__(
        self,
        header_names: header_fields.HeaderNames,
        program,
        clock,
        on_change,
        failing=lambda service, now: 0,
        quarantine: quarantines.Quarantine | None = None,
        on_evidence=lambda: None,
    ):
        self._header_names = header_names
        self._program = program
        self._clock = clock
        self._on_change = on_change
        self._failing = failing
        self._quarantine = quarantine or quarantines.Quarantine()
        self._on_evidence = on_evidence
        self.by_name: dict[str, LocalTarget] = {}
        self.fences = fences.Fences()
        # Names that targets had before the time of their birth was told.
        self._name_by_earlier: dict[str, str] = {}
        self._decision_by_id: dict[object, asyncio.Future] = {}
        self._detached: set[asyncio.Task] = set()
        self.running = 0

    # Targets.

    def add(self, name: str, local_target: LocalTarget) -> None:
        """A target is there."""
        self.by_name[name] = local_target

    def rename(self, before: str, name: str) -> None:
        """The name of a target's life is known now; it goes on as it was.

        Others ask for it by the earlier one until they have heard.
        """
        local_target = self.by_name.pop(before)
        local_target.controller.name = name
        self.by_name[name] = local_target
        self._name_by_earlier = {before: name}

    def drain(self, name: str) -> None:
        """A target takes no new request from now on."""
        local_target = self.by_name[name]
        self._settle(local_target, local_target.controller.drain())

    def pause(self, name: str) -> None:
        """This process stops: a target takes no new request through it."""
        local_target = self.by_name[name]
        self._settle(local_target, local_target.controller.pause())

    def leave(self, name: str) -> None:
        """A target is gone."""
        local_target = self.by_name[name]
        self._settle(local_target, local_target.controller.leave())

    def tick(self, now: float) -> None:
        """Lets time pass for every target."""
        for local_target in self.by_name.values():
            version = local_target.controller.version
            self._settle(
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
        """Runs a request if its gate lets it, and passes its answer on.

        A request that must not repeat, once it runs, runs to its end even if
        its sender is gone: breaking it off would save nothing.

        Raises:
            asyncio.CancelledError: The sender gave up.
            tcp_stream.ConnectionLost: The sink is gone.
        """
        name = self._name_by_earlier.get(target, target)
        local_target = self.by_name.get(name)
        if local_target is None:
            return exchange.not_run(Reason.UNKNOWN_TARGET)
        if not self.fences.may_start(ticket.id):
            return self._fenced(ticket)
        now = self._clock.monotonic()
        fingerprint = request.fingerprint
        held = self._quarantine.quarantined_for(fingerprint, now)
        if held:
            return exchange.not_run(Reason.QUARANTINED, held)
        if self._quarantine.is_suspected(fingerprint, now):
            ticket = dataclasses.replace(ticket, exclusive=True)
        if ticket.idempotent:
            return await self._admitted(local_target, ticket, request, sink)
        kept = _Leaving(sink)
        task = asyncio.create_task(
            self._admitted(local_target, ticket, request, kept)
        )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if self.fences.has_started(ticket.id):
                kept.gone = True
                self._detached.add(task)
                task.add_done_callback(self._forget)
            else:
                task.cancel()
            raise

    def fence(self, identity: fences.RequestKey) -> bool:
        """Forbids a start; True when it is proven never to run."""
        return self.fences.fence(identity, self._clock.monotonic())

    def _forget(self, task: asyncio.Task) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.info("detached_ended", detail=repr(task.exception()))

    def _fenced(self, ticket: admission.Ticket) -> exchange.Result:
        if self.fences.has_started(ticket.id):
            return exchange.unknown(Reason.FENCED)
        return exchange.not_run(Reason.FENCED)

    async def _admitted(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        self.running += 1
        try:
            decision = local_target.controller.admit(
                ticket, self._clock.monotonic()
            )
            if isinstance(decision, admission.Wait):
                decision = await self._wait(local_target, ticket)
            if isinstance(decision, admission.Refuse):
                self.fences.check_not_started(ticket.id)
                load = self._load(local_target, request.route)
                return exchange.not_run(
                    decision.reason, decision.retry_after, load
                )
            return await self._started(local_target, ticket, request, sink)
        finally:
            self.running -= 1

    async def _wait(
        self, local_target: LocalTarget, ticket: admission.Ticket
    ) -> admission.Decision:
        future = asyncio.get_running_loop().create_future()
        self._decision_by_id[ticket.id] = future
        try:
            return await future
        except asyncio.CancelledError:
            started = future.done() and not future.cancelled()
            if started and isinstance(future.result(), admission.Start):
                self._finish(local_target, ticket, None)
            local_target.controller.cancel(ticket)
            raise
        finally:
            self._decision_by_id.pop(ticket.id, None)

    async def _started(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        run = upstream.UpstreamRequest(
            local_target.pool,
            request,
            local_target.target,
            local_target.controller.name,
            self._header_names,
            self._clock.monotonic,
        )
        sign: Signal | None = None
        exposed = local_target.candidates
        try:
            remaining = ticket.deadline - self._clock.monotonic()
            async with asyncio.timeout(max(0.0, remaining)):
                status = await run.execute(
                    lambda: self._launch(
                        local_target, ticket, request.fingerprint
                    ),
                    lambda: self._load(local_target, request.route),
                    sink,
                )
            exposed.discard(ticket.id)
            sign = self._sign(local_target.controller.service, status)
            if sign is Signal.WELL:
                # In a bad phase it may fail what would crash it otherwise.
                self._served(request.fingerprint)
            result = exchange.answered(status, local_target.controller.name)
        except connection_pool.NotRun as error:
            exposed.discard(ticket.id)
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.handle_crash(local_target)
            sign = _SIGN_BY_REASON.get(error.reason)
            now = self._clock.monotonic()
            held = self._quarantine.quarantined_for(request.fingerprint, now)
            result = exchange.not_run(error.reason, held)
        except upstream.IncompleteResponse as error:
            sign = Signal.BROKEN
            reason = error.reason
            exposed.mark_ended(ticket.id, self._clock.monotonic())
            if reason is Reason.TARGET_BROKE and await self._ended(
                local_target, ticket
            ):
                reason = Reason.TARGET_CRASHED
            result = exchange.unknown(reason)
            _log.warning(
                "answer_broken",
                request=request.id,
                target=local_target.controller.name,
                reason=str(reason),
                detail=str(error),
            )
        except TimeoutError:
            # That it was late was noted while it ran.
            result = self._timed_out(ticket)
        finally:
            exposed.mark_ended(ticket.id, self._clock.monotonic())
            self._finish(local_target, ticket, sign)
        return dataclasses.replace(
            result, load=self._load(local_target, request.route)
        )

    async def _ended(
        self, local_target: LocalTarget, ticket: admission.Ticket
    ) -> bool:
        """Whether a target whose answer broke off has ended.

        Most that break answers off live on.
        """
        if not local_target.candidates.contains(ticket.id):
            # Another request that it ran found out already.
            return True
        if (
            await local_target.pool.is_refusing()
            and local_target.candidates.contains(ticket.id)
        ):
            self.handle_crash(local_target)
        return not local_target.candidates.contains(ticket.id)

    def handle_crash(self, local_target: LocalTarget) -> None:
        """A target ended; unless it said before that it leaves, it crashed."""
        now = self._clock.monotonic()
        running = local_target.candidates.take_fingerprints(now)
        if not running or local_target.controller.target_leaving:
            return
        crash = secrets.randbits(_CRASH_BITS)
        self._quarantine.record_crash(running, crash, now)
        _log.warning(
            "target_crashed",
            target=local_target.controller.name,
            running=[one.hex() for one in running],
            held=[
                one.hex()
                for one in running
                if self._quarantine.quarantined_for(one, now)
            ],
        )
        self._on_evidence()

    def _served(self, fingerprint: bytes) -> None:
        """A target served a request, so it does not crash each one."""
        self._quarantine.record_success(fingerprint, self._clock.monotonic())
        if self._quarantine.has_changes:
            self._on_evidence()

    def _launch(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        fingerprint: bytes,
    ) -> Reason | None:
        """The first byte is about to be sent: the point of no return."""
        now = self._clock.monotonic()
        if local_target.controller.closed:
            return Reason.DRAINING
        if ticket.deadline <= now:
            return Reason.DEADLINE
        if self._quarantine.quarantined_for(fingerprint, now):
            # It crashed others while it waited here.
            return Reason.QUARANTINED
        if not self.fences.try_start(ticket.id, now):
            return Reason.FENCED
        local_target.candidates.add(ticket.id, fingerprint, now)
        return None

    def _load(self, local_target: LocalTarget, route: str) -> messages.Load:
        now = self._clock.monotonic()
        failing = self._failing(local_target.controller.service, now)
        return msgspec.structs.replace(
            local_target.controller.load(now, route), failure_percent=failing
        )

    def _sign(self, service: str, status: int) -> Signal:
        program: policy.ServicePolicy = self._program(service)
        return Signal.ERROR if program.is_failure(status) else Signal.WELL

    def _timed_out(self, ticket: admission.Ticket) -> exchange.Result:
        if self.fences.has_started(ticket.id):
            return exchange.unknown(Reason.TIMEOUT)
        return exchange.not_run(Reason.DEADLINE)

    def _finish(
        self,
        local_target: LocalTarget,
        ticket: admission.Ticket,
        sign: Signal | None,
    ) -> None:
        version = local_target.controller.version
        now = self._clock.monotonic()
        self._settle(
            local_target,
            local_target.controller.finish(ticket, sign, now),
            version,
        )

    def _settle(
        self,
        local_target: LocalTarget,
        decisions: list[admission.Decision],
        version: int = -1,
    ) -> None:
        """Wakes the requests that a gate has decided on."""
        for decision in decisions:
            future = self._decision_by_id.pop(decision.ticket.id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, admission.Start):
                # The waiter is gone; its slot goes to the next.
                self._finish(local_target, decision.ticket, None)
        if version != local_target.controller.version:
            self._on_change(local_target.controller)
