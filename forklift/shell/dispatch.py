"""Sends requests to the processes that own the targets.

If the connection fails while a non-idempotent request is in flight, the request
is fenced. Once the target's process confirms, directly or through a relay, that
the request never starts there, another target can be tried.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import msgspec
import structlog

from forklift import admission
from forklift import errors
from forklift import header_fields
from forklift import load_balancer
from forklift import messages
from forklift.shell import exchange
from forklift.shell import local_targets
from forklift.shell import peer_client
from forklift.shell import peer_connections
from forklift.shell import response_check

_log = structlog.get_logger(__name__)
Outcome = messages.Outcome
Reason = messages.Reason

# Time after the deadline of a request for which the target's process may still
# report the result.
DEADLINE_GRACE_SECONDS = 0.05
# Maximum fraction of the time left at which a request that may run once only is
# fenced before its timeout. Requests start earlier than that or not at all.
MAX_FENCE_LEAD_FRACTION = 0.2
# Bodies of this size or more, in bytes, are sent only after the request is
# admitted, so that a rejection costs only the transfer of the head.
MIN_DEFERRED_BODY_BYTES = 1024
# Maximum number of processes that relay a fence request if the connection to
# the target's process has failed.
MAX_RELAYS = 2
# Retry-After of requests if the target's process is unreachable.
RETRY_AFTER_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, eq=False)
class _InFlight:
    """A request that was sent to a peer.

    Attributes:
        connection: The connection to the peer.
        start: First frame of the request.
        request: The request.
        sink: Receives the response.
    """

    connection: peer_client.ClientConnection
    start: messages.RequestStart
    request: exchange.Request
    sink: exchange.Sink


class Dispatcher:
    """Sends requests to targets of other processes."""

    def __init__(
        self,
        name: str,
        boot: int,
        connections: peer_connections.PeerConnections,
        targets: local_targets.LocalTargets,
        next_seq: Callable[[], int],
        clock,
        rng: random.Random,
        header_names: header_fields.HeaderNames = header_fields.DEFAULT,
    ):
        self._header_names = header_names
        self._name = name
        self._boot = boot
        self._connections = connections
        self._local_targets = targets
        self._next_seq = next_seq
        self._clock = clock
        self._rng = rng
        self._in_flight: set[_InFlight] = set()
        self._withdrawals: set[asyncio.Task] = set()

    def withdraw_waiting(
        self, is_late: Callable[[exchange.Request], bool]
    ) -> None:
        """Withdraws requests that peers have queued, each of them once.

        A request that has started goes on.

        Args:
            is_late: Whether a request must not start any more.
        """
        for in_flight in list(self._in_flight):
            if is_late(in_flight.request):
                self._in_flight.discard(in_flight)
                task = asyncio.create_task(self._withdraw(in_flight))
                self._withdrawals.add(task)
                task.add_done_callback(self._withdrawals.discard)

    async def _withdraw(self, in_flight: "_InFlight") -> None:
        connection, start = in_flight.connection, in_flight.start
        if in_flight.sink.has_started or connection.lost:
            return
        boot = connection.peer_hello.boot
        if await connection.fence(self._boot, start.seq, boot):
            connection.end_fenced(start, RETRY_AFTER_SECONDS)

    async def send(
        self,
        request: exchange.Request,
        selection: load_balancer.Selection,
        sink: exchange.Sink,
        required_health: admission.RequiredHealth,
        wait: bool,
        start_by: float,
        exclusive: bool = False,
        prepare_resend: Callable[[], bool] = lambda: False,
    ) -> exchange.Result:
        """Sends a request to the process that owns a target.

        Args:
            request: The request.
            selection: The target and its process.
            sink: Receives the response.
            required_health: How healthy the target must be.
            wait: Whether the request queues for a slot.
            start_by: Monotonic seconds by which the request must have started.
            exclusive: Whether the request may only run while the target runs
                no other.
            prepare_resend: See `ClientConnection.send_request`.

        Raises:
            tcp_stream.ConnectionLost: The sink's connection is lost.
            asyncio.CancelledError: The caller gave up.
        """
        checked_sink = response_check.CheckedSink(
            sink, self._header_names, request.idempotent
        )
        try:
            connection = await self._connections.get(selection.process)
            return await self._send_over(
                connection,
                request,
                selection,
                checked_sink,
                required_health,
                wait,
                start_by,
                exclusive,
                prepare_resend,
            )
        except errors.PeerUnreachable:
            return exchange.not_run(Reason.PEER_LOST, RETRY_AFTER_SECONDS)
        except response_check.InvalidResponse as error:
            _log.info("response_invalid", request=request.id, detail=str(error))
            return exchange.unknown(Reason.WRONG_ANSWER)

    async def _send_over(
        self,
        connection: peer_client.ClientConnection,
        request: exchange.Request,
        selection: load_balancer.Selection,
        sink: exchange.Sink,
        required_health: admission.RequiredHealth,
        wait: bool,
        start_by: float,
        exclusive: bool,
        prepare_resend: Callable[[], bool],
    ) -> exchange.Result:
        remaining = request.deadline - self._clock.monotonic()
        if remaining <= 0:
            return exchange.not_run(Reason.DEADLINE)
        seq = self._next_seq()
        start = _request_start(
            connection,
            seq,
            selection.target,
            request,
            remaining,
            required_health,
        )
        now = self._clock.monotonic()
        start = msgspec.structs.replace(
            start,
            objective_remaining=round(request.soft_deadline - now, 3),
            wait=wait,
            start_within=start_by - now,
            exclusive=exclusive,
            rate_limit=selection.rate_limit,
        )
        in_flight = _InFlight(connection, start, request, sink)
        self._in_flight.add(in_flight)
        try:
            async with asyncio.timeout(remaining + DEADLINE_GRACE_SECONDS):
                if request.idempotent:
                    return await connection.send_request(
                        start, request, sink, prepare_resend
                    )
                return await self._send_non_idempotent(
                    connection, start, request, sink
                )
        except TimeoutError:
            return exchange.unknown(Reason.TIMEOUT)
        finally:
            self._in_flight.discard(in_flight)

    async def _send_non_idempotent(
        self,
        connection: peer_client.ClientConnection,
        start: messages.RequestStart,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Sends a non-idempotent request and fences it if the connection fails.

        It is also fenced shortly before it times out, so that the caller is
        told in time whether it has run.
        """
        process = connection.peer_hello.name
        response = asyncio.create_task(
            connection.send_request(start, request, sink)
        )
        fencing = asyncio.create_task(self._fence_in_time(connection, start))
        try:
            await asyncio.wait(
                (response, fencing), return_when=asyncio.FIRST_COMPLETED
            )
            is_fenced = not response.done() and fencing.result()
            if is_fenced and not sink.has_started:
                return exchange.not_run(Reason.FENCED)
            result = await response
        finally:
            fencing.cancel()
            response.cancel()
        is_peer_lost = result.ending.reason is Reason.PEER_LOST
        is_unknown = result.ending.outcome is Outcome.UNKNOWN
        if not (is_peer_lost and is_unknown) or sink.has_started:
            return result
        if await self._fence(process, start.seq, connection.peer_hello.boot):
            return exchange.not_run(Reason.FENCED, 0.0, result.load)
        return result

    async def _fence_in_time(
        self,
        connection: peer_client.ClientConnection,
        start: messages.RequestStart,
    ) -> bool:
        """Fences a request once its peer is silent, or before it times out.

        If the peer is silent, other processes relay the fence request, as they
        may still reach the peer.

        Returns:
            Whether it is certain that the request never starts there.
        """
        peer = connection.peer_hello
        lead = min(
            peer_client.FENCE_TIMEOUT, MAX_FENCE_LEAD_FRACTION * start.remaining
        )
        try:
            async with asyncio.timeout(start.remaining - lead):
                await connection.unresponsive.wait()
                if await self._fence_through_relays(
                    peer.name, start.seq, peer.boot
                ):
                    return True
                await asyncio.Event().wait()
        except TimeoutError:
            return await self._fence(peer.name, start.seq, peer.boot)

    async def _fence(self, process: str, seq: int, to_boot: int) -> bool:
        """Fences a request at the target's process.

        Returns:
            Whether it is certain that the request never starts there.
        """
        try:
            connection = await self._connections.get(process)
        except errors.PeerUnreachable:
            return await self._fence_through_relays(process, seq, to_boot)
        return await connection.fence(self._boot, seq, to_boot)

    async def _fence_through_relays(
        self, process: str, seq: int, to_boot: int
    ) -> bool:
        """Fences a request through other processes; see `_fence`."""
        candidates = self._connections.connected_except(process)
        relays = self._rng.sample(candidates, min(MAX_RELAYS, len(candidates)))
        requests = [
            self._fence_through(name, process, seq, to_boot) for name in relays
        ]
        for response in asyncio.as_completed(requests):
            if await response:
                _log.info("fenced_through_relay", process=process, seq=seq)
                return True
        return False

    async def _fence_through(
        self, relay: str, process: str, seq: int, to_boot: int
    ) -> bool:
        """Fences a request through one other process; see `_fence`."""
        try:
            connection = await self._connections.get(relay)
        except errors.PeerUnreachable:
            return False
        return await connection.fence(self._boot, seq, to_boot, process)

    async def relay_fence(self, fence: messages.FenceRequest) -> bool:
        """Handles a fence request of a peer, or forwards it to another process.

        Returns:
            Whether it is certain that the request never starts.
        """
        if fence.forward_to == self._name:
            is_own_boot = fence.to_boot == self._boot
            return is_own_boot and self._local_targets.fence(
                (fence.boot, fence.seq)
            )
        try:
            connection = await self._connections.get(fence.forward_to)
        except errors.PeerUnreachable:
            return False
        return await connection.fence(fence.boot, fence.seq, fence.to_boot)


def _request_start(
    connection: peer_client.ClientConnection,
    seq: int,
    target: str,
    request: exchange.Request,
    remaining: float,
    required_health: admission.RequiredHealth,
) -> messages.RequestStart:
    is_small = len(request.body.prefix) < MIN_DEFERRED_BODY_BYTES
    complete = request.body.complete and is_small
    return messages.RequestStart(
        id=connection.next_stream_id(),
        seq=seq,
        service=request.service,
        target=target,
        method=request.method,
        path=request.path,
        headers=request.headers,
        request_id=request.id,
        remaining=round(remaining, 4),
        idempotent=request.idempotent,
        incarnation=connection.incarnation,
        length=request.length,
        body=request.body.prefix if complete else b"",
        complete=complete,
        route=request.route,
        origin=request.origin,
        priority=request.priority,
        required_health=required_health,
        fingerprint=request.fingerprint,
        organisation=request.organisation,
        is_call=request.call is not None,
    )
