"""Runs requests on the targets beside this process, as the guard decides."""

import asyncio
import dataclasses

import structlog

from forklift import guard
from forklift import localtarget
from forklift import messages
from forklift.shell import exchange
from forklift.shell import targets

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """How a local target is reached.

    Attributes:
        pool: Its connections.
        health: Path of its health endpoint, empty where it has none.
        load: Path of its load endpoint, empty where it has none.
        echo: Whether it echoes the request id.
        domain: Its failure domain.
    """

    pool: targets.Pool
    health: str
    load: str
    echo: bool
    domain: str


class Local:
    """The asyncio side of the guard."""

    def __init__(self, decisions: guard.Guard, clock):
        self.guard = decisions
        self._clock = clock
        self.endpoint_by_target: dict[str, Endpoint] = {}
        self._decision_by_id: dict[object, asyncio.Future] = {}
        self._limit_by_id: dict[object, asyncio.Timeout] = {}
        self._given_up: set[object] = set()
        self.on_actions = lambda actions: None
        self.running = 0

    async def run(
        self,
        ticket: localtarget.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Runs a request if the guard lets it, and passes its answer on.

        Raises:
            asyncio.CancelledError: The caller gave up.
            wire.Lost: The sink is gone.
        """
        self.running += 1
        try:
            decision = self.guard.arrive(ticket, self._clock.monotonic())
            if isinstance(decision, guard.Wait):
                decision = await self._wait(ticket)
            if isinstance(decision, guard.Refuse):
                return self._refused(decision)
            return await self._started(ticket, request, sink)
        finally:
            self.running -= 1

    def settle(self, decisions: tuple[guard.Decision, ...]) -> None:
        """Wakes the requests that the guard has decided on."""
        for decision in decisions:
            if isinstance(decision, guard.GiveUp):
                self._give_up(decision.ticket)
                continue
            future = self._decision_by_id.pop(decision.ticket.id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, guard.Start):
                # The waiter is gone; its slot goes to the next.
                now = self._clock.monotonic()
                self.settle(self.guard.finish(decision.ticket, None, now))

    def _give_up(self, ticket: localtarget.Ticket) -> None:
        limit = self._limit_by_id.get(ticket.id)
        if limit is not None:
            self._given_up.add(ticket.id)
            limit.reschedule(asyncio.get_running_loop().time())

    async def _wait(self, ticket: localtarget.Ticket) -> guard.Decision:
        future = asyncio.get_running_loop().create_future()
        self._decision_by_id[ticket.id] = future
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                decision = future.result()
                if isinstance(decision, guard.Start):
                    now = self._clock.monotonic()
                    self.settle(self.guard.finish(ticket, None, now))
            self.guard.cancel(ticket)
            raise
        finally:
            self._decision_by_id.pop(ticket.id, None)

    async def _started(
        self,
        ticket: localtarget.Ticket,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        endpoint = self.endpoint_by_target[ticket.target]
        run = targets.Run(
            endpoint.pool,
            request,
            ticket.target,
            endpoint.echo,
            self._clock.monotonic,
        )
        failed: bool | None = None
        result = exchange.unknown(messages.Reason.CANCELLED)
        try:
            remaining = ticket.deadline - self._clock.monotonic()
            async with asyncio.timeout(max(0.0, remaining)) as limit:
                self._limit_by_id[ticket.id] = limit
                status = await run.go(
                    lambda: self._launch(ticket),
                    lambda: self._load(ticket.target),
                    sink,
                )
            target = self.guard.target_by_name[ticket.target]
            failed = target.program.is_failure(status)
            result = exchange.answered(status, ticket.target)
        except targets.NotSent as error:
            # A refused connection tells of the target; a fence does not.
            if error.reason is messages.Reason.CONNECT_FAILED:
                failed = True
            result = exchange.not_run(error.reason)
        except targets.AnswerBroken as error:
            failed = True
            result = exchange.unknown(error.reason)
            _log.warning(
                "answer_broken",
                request=request.id,
                target=ticket.target,
                reason=str(error.reason),
                detail=str(error),
            )
        except TimeoutError:
            failed = None if ticket.id in self._given_up else True
            result = self._timed_out(ticket)
        except asyncio.CancelledError:
            failed = self._seen_failing(ticket, run)
            raise
        finally:
            self._limit_by_id.pop(ticket.id, None)
            self._given_up.discard(ticket.id)
            self._finish(ticket, failed)
        return dataclasses.replace(result, load=self._load(ticket.target))

    def _launch(self, ticket: localtarget.Ticket) -> messages.Reason | None:
        now = self._clock.monotonic()
        # A pause between the decision and the first byte makes it stale.
        self.settle(self.guard.observe(now))
        return self.guard.launch(ticket, now)

    def _seen_failing(
        self, ticket: localtarget.Ticket, run: targets.Run
    ) -> bool | None:
        """A cancel hides nothing: a failed head counts all the same."""
        if run.head is None:
            return None
        target = self.guard.target_by_name[ticket.target]
        return target.program.is_failure(run.head.status) or None

    def _timed_out(self, ticket: localtarget.Ticket) -> exchange.Result:
        if ticket.id in self._given_up:
            return exchange.unknown(messages.Reason.EJECTED)
        if self.guard.fences.started(ticket.id):
            return exchange.unknown(messages.Reason.TIMEOUT)
        return exchange.not_run(messages.Reason.DEADLINE)

    def _finish(self, ticket: localtarget.Ticket, failed: bool | None) -> None:
        now = self._clock.monotonic()
        waiting = self.guard.finish(ticket, failed, now)
        if failed is not None:
            self.on_actions(self.guard.tried(ticket, failed, now))
        if failed:
            self.on_actions(self.guard.check(ticket.target, now))
        self.settle(waiting)

    def _load(self, name: str) -> messages.Load | None:
        target = self.guard.target_by_name.get(name)
        return target.load(self._clock.monotonic()) if target else None

    def _refused(self, refusal: guard.Refuse) -> exchange.Result:
        load = self._load(refusal.ticket.target)
        if refusal.outcome is messages.Outcome.UNKNOWN:
            return exchange.unknown(refusal.reason, load)
        return exchange.not_run(refusal.reason, refusal.retry_after, load)
