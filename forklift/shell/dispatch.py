"""Sends a request to the guard of a target, and finds out what became of it.

Work that must not repeat is fenced where its path falls silent: the guard's
word that it never starts, over whatever path, lets it go elsewhere.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
import structlog

from forklift import admission
from forklift import errors
from forklift import load_balancer
from forklift import messages
from forklift.shell import exchange
from forklift.shell import local_targets
from forklift.shell import peer_client
from forklift.shell import peer_connections

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason

# The guard's own word on a deadline gets this long to arrive, seconds.
DEADLINE_GRACE = 0.05
# Bodies from this size on follow only once the gate lets the request start:
# a refusal then costs the head alone, bytes.
MIN_DEFERRED_BODY_BYTES = 1024
# Other processes that are asked to reach a guard when the own path is silent.
MAX_RELAYS = 2
# Seconds after which to come back when the process of a target was lost.
RETRY_AFTER = 0.5


class Dispatcher:
    """Sends requests of one entry to guards of other processes."""

    def __init__(
        self,
        name: str,
        boot: int,
        links: peer_connections.PeerConnections,
        targets: local_targets.LocalTargets,
        next_seq: Callable[[], int],
        clock,
        rng: random.Random,
    ):
        self._name = name
        self._boot = boot
        self._links = links
        self._local_targets = targets
        self._next_seq = next_seq
        self._clock = clock
        self._rng = rng

    async def send(
        self,
        request: exchange.Request,
        selection: load_balancer.Selection,
        sink: exchange.Sink,
        required_health: admission.RequiredHealth,
        wait: bool,
        start_by: float,
        exclusive: bool = False,
    ) -> exchange.Result:
        """Sends a request over the path to a guard.

        Args:
            request: The request.
            selection: The target and the process beside it.
            sink: Where the answer goes.
            required_health: How much doubt about the target it accepts.
            wait: Whether it waits there for a slot.
            start_by: Monotonic seconds by which it must have started there.
            exclusive: Whether it runs only while nothing else does.

        Raises:
            tcp_stream.ConnectionLost: The sink is gone.
            asyncio.CancelledError: The caller gave up.
        """
        try:
            link = await self._links.get(selection.process)
            return await self._send_over(
                link,
                request,
                selection,
                sink,
                required_health,
                wait,
                start_by,
                exclusive,
            )
        except errors.PeerUnreachable:
            return exchange.not_run(Reason.PEER_LOST, RETRY_AFTER)

    async def _send_over(
        self,
        link: peer_client.ClientConnection,
        request: exchange.Request,
        selection: load_balancer.Selection,
        sink: exchange.Sink,
        required_health: admission.RequiredHealth,
        wait: bool,
        start_by: float,
        exclusive: bool = False,
    ) -> exchange.Result:
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= 0:
            return exchange.not_run(Reason.DEADLINE)
        seq = self._next_seq()
        start = _start(
            link, seq, selection.target, request, remaining, required_health
        )
        now = self._clock.monotonic()
        start = msgspec.structs.replace(
            start,
            objective_remaining=round(request.soft_deadline - now, 3),
            wait=wait,
            start_within=start_by - now,
            exclusive=exclusive,
        )
        to_boot = link.peer.boot
        try:
            async with asyncio.timeout(remaining + DEADLINE_GRACE):
                if request.idempotent:
                    return await link.send_request(start, request, sink)
                return await self._ask_once(link, start, request, sink)
        except TimeoutError:
            result = exchange.unknown(Reason.TIMEOUT)
        if request.idempotent or sink.has_started:
            return result
        if await self._fence(selection.process, seq, to_boot):
            return exchange.not_run(Reason.FENCED, 0.0, result.load)
        return result

    async def _ask_once(
        self,
        link: peer_client.ClientConnection,
        start: messages.RequestStart,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Sends what must not repeat; asks around where its path is silent.

        Another process may still reach the guard, and the guard's word that
        the request never starts lets it go elsewhere in time.
        """
        process = link.peer.name
        answer = asyncio.create_task(link.send_request(start, request, sink))
        silence = asyncio.create_task(link.unresponsive.wait())
        try:
            await asyncio.wait(
                (answer, silence), return_when=asyncio.FIRST_COMPLETED
            )
            if not answer.done() and not sink.has_started:
                around = self._fence_around(process, start.seq, link.peer.boot)
                if await around and not sink.has_started:
                    return exchange.not_run(Reason.FENCED)
            result = await answer
        finally:
            silence.cancel()
            answer.cancel()
        lost = result.ending.reason is Reason.PEER_LOST
        unknown = result.ending.outcome is Outcome.UNKNOWN
        if not (lost and unknown) or sink.has_started:
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
        names = self._links.connected_except(process)
        chosen = self._rng.sample(names, min(MAX_RELAYS, len(names)))
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

    async def relay_fence(self, fence: messages.FenceRequest) -> bool:
        """Passes another entry's question on to a guard."""
        if fence.forward_to == self._name:
            own = fence.to_boot == self._boot
            return own and self._local_targets.fence((fence.boot, fence.seq))
        try:
            link = await self._links.get(fence.forward_to)
        except errors.PeerUnreachable:
            return False
        return await link.fence(fence.boot, fence.seq, fence.to_boot)


def _start(
    link: peer_client.ClientConnection,
    seq: int,
    target: str,
    request: exchange.Request,
    remaining: float,
    required_health: admission.RequiredHealth,
) -> messages.RequestStart:
    small = len(request.body.prefix) < MIN_DEFERRED_BODY_BYTES
    complete = request.body.complete and small
    return messages.RequestStart(
        id=link.next_stream_id(),
        seq=seq,
        service=request.service,
        target=target,
        method=request.method,
        path=request.path,
        headers=request.headers,
        request_id=request.id,
        remaining=round(remaining, 4),
        idempotent=request.idempotent,
        incarnation=link.incarnation,
        length=request.length,
        body=request.body.prefix if complete else b"",
        complete=complete,
        route=request.route,
        origin=request.origin,
        priority=request.priority,
        required_health=required_health,
        fingerprint=request.fingerprint,
        organisation=request.organisation,
    )
