"""Client side of the connections between processes.

Requests are multiplexed over one connection; stream ids are never reused.
While a response is pending, keep-alive frames detect a peer that does not
reply, or a connection that fails in one direction, long before the deadline
of the request.
"""

import asyncio
import hmac
import itertools
from collections.abc import Callable

import h11

from forklift import errors
from forklift import messages
from forklift.shell import exchange
from forklift.shell import flow_control
from forklift.shell import framing
from forklift.shell import pending_request
from forklift.shell import tcp_stream

# Timeout of connection setup and handshake, in seconds.
HANDSHAKE_TIMEOUT = 2.0
# Timeout of a fence request, in seconds.
FENCE_TIMEOUT = 0.5


class AuthenticationFailed(errors.ForkliftError):
    """The peer did not prove that it knows the shared key."""

    def __init__(self, peer: str):
        super().__init__(
            f"{peer} does not know the shared key; set the same "
            "[process] key on all processes"
        )


class ClientConnection:
    """A multiplexed connection to a peer over which requests are sent.

    The peer opens a connection of its own for requests in the other direction.

    Attributes:
        peer_hello: Hello frame of the peer; None until it arrives.
        authenticated: Whether the peer has proved that it knows the key.
        handshake_done: Future that completes once the handshake is done.
        on_reply: Called when bytes arrive after the handshake. Bytes of an
            incomplete frame count, as a large frame may take long to arrive.
        on_lost: Called when the connection closes.
        on_load_update: Called with load updates of the peer's targets.
        unresponsive: Event that is set while the peer does not reply in time.
        incarnation: Latest known incarnation of the peer.
        pending_count: Number of requests in progress.
    """

    def __init__(
        self,
        frames: framing.FrameConnection,
        own_hello: messages.Hello,
        key: bytes,
    ):
        self._frames = frames
        self._own_hello = own_hello
        self._key = key
        self._stream_ids = itertools.count(1)
        self._pending_by_id: dict[int, pending_request.PendingRequest] = {}
        self._fence_reply_by_id: dict[int, asyncio.Future] = {}
        self._keepalive_number = 0
        self.peer_hello: messages.Hello | None = None
        self.authenticated = False
        self.handshake_done = asyncio.get_running_loop().create_future()
        self.on_reply: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None
        self.on_load_update: Callable[[messages.LoadUpdate], None] = (
            lambda load_update: None
        )
        self.unresponsive = asyncio.Event()
        self.incarnation = 0
        self.pending_count = 0
        # Loop time in seconds of the last bytes and the last whole frame.
        self._last_bytes_at = self._last_frame_at = _loop_time()
        frames.on_bytes = self._handle_bytes
        frames.on_frame = self._handle_frame
        frames.on_lost = self._handle_lost

    @property
    def lost(self) -> bool:
        """Whether the connection is closed."""
        return self._frames.lost

    def send_hello(self) -> None:
        """Sends the hello frame, which starts the handshake."""
        self._frames.send(self._own_hello)

    async def send_request(
        self,
        start: messages.RequestStart,
        request: exchange.Request,
        sink: exchange.Sink,
        prepare_resend: Callable[[], bool] = lambda: False,
    ) -> exchange.Result:
        """Sends a request and relays the response to the sink.

        Args:
            start: First frame of the request.
            request: The request; its body is sent if `start` is incomplete.
            sink: Receives the response.
            prepare_resend: Called repeatedly while the peer is silent. Reserves
                a retry at another target and returns True, or returns False if
                only the peer can serve the request.

        Raises:
            errors.PeerUnreachable: The connection was closed before anything
                was sent.
            tcp_stream.ConnectionLost: The sink is closed.
            asyncio.CancelledError: The request was cancelled.
        """
        if self.lost:
            # Nothing was sent, so the request has not run.
            raise errors.PeerUnreachable(self.peer_hello.name, "lost")
        pending = pending_request.PendingRequest(prepare_resend)
        self._pending_by_id[start.id] = pending
        self.pending_count += 1
        upload = None
        finished = False
        try:
            self._frames.send(start)
            if not start.complete:
                upload = asyncio.create_task(
                    self._send_body(start.id, pending, request)
                )
            result = await self._receive_response(start, pending, sink)
            finished = True
            return result
        finally:
            self.pending_count -= 1
            del self._pending_by_id[start.id]
            pending.window.fail()
            if upload is not None:
                upload.cancel()
            if (not finished or pending.is_given_up) and not self.lost:
                self._frames.send(messages.Cancel(start.id))

    def next_stream_id(self) -> int:
        """Returns a stream id not yet used on this connection."""
        return next(self._stream_ids)

    async def fence(
        self, boot: int, seq: int, to_boot: int, forward_to: str = ""
    ) -> bool:
        """Asks a process never to start a request that was sent to it.

        Args:
            boot: Boot id of the process that sent the request.
            seq: Sequence number of the request in that process.
            to_boot: Boot id of the process that the request was sent to.
            forward_to: Name of that process if the peer has to forward the
                fence to it.

        Returns:
            Whether the request has not run and never will. False if it may
            have run, or if no reply arrived in time.
        """
        stream = self.next_stream_id()
        future = asyncio.get_running_loop().create_future()
        self._fence_reply_by_id[stream] = future
        try:
            self._frames.send(
                messages.FenceRequest(stream, boot, seq, to_boot, forward_to)
            )
            async with asyncio.timeout(FENCE_TIMEOUT):
                return await future
        except (TimeoutError, framing.PeerConnectionLost):
            return False
        finally:
            del self._fence_reply_by_id[stream]

    def end_fenced(
        self, start: messages.RequestStart, retry_after: float
    ) -> None:
        """Ends a request that the peer was asked never to start.

        Args:
            start: First frame of the request.
            retry_after: Seconds until a retry may succeed.
        """
        pending = self._pending_by_id.get(start.id)
        if pending is None or pending.has_response:
            return
        # The peer is told, so that it does not keep the request in its queue.
        pending.is_given_up = True
        pending.end_by_peer(
            messages.Failure(
                start.id,
                messages.Outcome.NOT_RUN,
                messages.Reason.FENCED,
                retry_after,
                self.incarnation,
                start.target,
                None,
            )
        )

    def send_keepalive(self) -> None:
        """Sends a keep-alive frame, to which the peer replies."""
        self._keepalive_number += 1
        self._frames.send(messages.KeepAlive(self._keepalive_number, False))

    def fail_resendable(self) -> None:
        """Gives requests up for other targets, as the peer is unresponsive.

        All others stay pending, as only this peer can complete them: requests
        that may run once only, that can't be read again from their start, that
        have no retry or no other target left, and responses that have begun.
        """
        self.unresponsive.set()
        for pending in self._pending_by_id.values():
            pending.give_up_if_resendable()

    def silence_log_fields(self) -> dict[str, object]:
        """Returns what shows why no frame has arrived, for a log line."""
        now = _loop_time()
        started = sum(
            pending.has_response for pending in self._pending_by_id.values()
        )
        return {
            "since_bytes": round(now - self._last_bytes_at, 3),
            "since_frame": round(now - self._last_frame_at, 3),
            "incomplete_frame": self._frames.incomplete_frame_bytes,
            "pending": len(self._pending_by_id),
            "responses_begun": started,
        }

    def close(self) -> None:
        """Closes the connection and discards unsent data."""
        self._frames.transport.abort()

    async def _receive_response(
        self,
        start: messages.RequestStart,
        pending: pending_request.PendingRequest,
        sink: exchange.Sink,
    ) -> exchange.Result:
        head = await pending.head
        if isinstance(head, messages.Failure):
            return pending_request.to_result(head)
        if head is None:
            return exchange.unknown(messages.Reason.PEER_LOST)
        if head.request_id != start.request_id:
            self.close()
            return exchange.unknown(messages.Reason.WRONG_ANSWER)
        response_head = exchange.ResponseHead(
            head.status, head.headers, head.length, head.target, head.load
        )
        await sink.start(response_head)
        try:
            async for chunk in pending.response_body:
                await sink.data(chunk)
        except exchange.IncompleteBody:
            return pending.failure_result()
        await sink.end()
        return exchange.answered(head.status, head.target, head.load)

    async def _send_body(
        self,
        stream: int,
        pending: pending_request.PendingRequest,
        request: exchange.Request,
    ) -> None:
        try:
            # Waits for credit before reading the body.
            await pending.window.acquire(0)
            async for chunk in request.body.chunks():
                await flow_control.send_chunks(
                    self._frames, pending.window, stream, chunk
                )
            self._frames.send(messages.BodyChunk(stream, b"", True))
        except (
            exchange.IncompleteBody,
            h11.ProtocolError,
            framing.PeerConnectionLost,
            tcp_stream.ConnectionLost,
            TimeoutError,
        ):
            if not self.lost:
                self._frames.send(messages.Cancel(stream))

    def _handle_bytes(self) -> None:
        self._last_bytes_at = _loop_time()
        if self.authenticated:
            self.unresponsive.clear()
            self.on_reply()

    def _handle_frame(self, frame: messages.Frame) -> None:
        self._last_frame_at = self._last_bytes_at
        if isinstance(frame, messages.Hello):
            self._handle_hello(frame)
            return
        if isinstance(frame, messages.Proof):
            self._handle_proof(frame)
            return
        if not self.authenticated:
            raise messages.MalformedMessage(
                "frame received before the peer was authenticated"
            )
        if isinstance(frame, messages.ResponseStart):
            self._handle_response_start(frame)
        elif isinstance(frame, messages.BodyChunk):
            pending = self._pending_by_id.get(frame.id)
            if pending is not None:
                pending.feed(frame)
        elif isinstance(frame, messages.Credit):
            pending = self._pending_by_id.get(frame.id)
            if pending is not None:
                pending.window.add_credit(frame.size)
        elif isinstance(frame, messages.Failure):
            self._handle_failure(frame)
        elif isinstance(frame, messages.LoadUpdate):
            self.on_load_update(frame)
        elif isinstance(frame, messages.FenceReply):
            future = self._fence_reply_by_id.get(frame.id)
            if future is not None and not future.done():
                future.set_result(frame.not_run)

    def _handle_hello(self, hello: messages.Hello) -> None:
        self.peer_hello = hello
        self.incarnation = hello.incarnation
        # Older versions, which can't compress, leave the field unset.
        self._frames.compress = self._own_hello.compress and hello.compress
        digest = framing.compute_proof(
            self._key, self._own_hello.nonce, hello.nonce
        )
        self._frames.send(messages.Proof(digest))

    def _handle_proof(self, proof: messages.Proof) -> None:
        if self.peer_hello is None:
            raise messages.MalformedMessage("proof received before the hello")
        expected = framing.compute_proof(
            self._key, self.peer_hello.nonce, self._own_hello.nonce
        )
        if not hmac.compare_digest(expected, proof.digest):
            if not self.handshake_done.done():
                self.handshake_done.set_exception(
                    AuthenticationFailed(self._frames.peer_address)
                )
            self._frames.transport.abort()
            return
        self.authenticated = True
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)

    def _handle_response_start(self, head: messages.ResponseStart) -> None:
        pending = self._pending_by_id.get(head.id)
        if pending is not None:
            pending.start_response(
                head, lambda size: self._send_credit(head.id, size)
            )

    def _handle_failure(self, failure: messages.Failure) -> None:
        self.incarnation = max(self.incarnation, failure.incarnation)
        pending = self._pending_by_id.get(failure.id)
        if pending is not None:
            pending.end_by_peer(failure)

    def _send_credit(self, stream: int, size: int) -> None:
        if not self.lost:
            self._frames.send(messages.Credit(stream, size))

    def _handle_lost(self) -> None:
        for pending in self._pending_by_id.values():
            pending.end_by_loss()
        if not self.handshake_done.done():
            self.handshake_done.set_exception(
                framing.PeerConnectionLost("peer closed the connection")
            )
        # Marks the exception as retrieved if nothing awaits the future.
        self.handshake_done.exception()
        self.on_lost()


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


async def connect(
    address: str, own_hello: messages.Hello, key: bytes
) -> ClientConnection:
    """Connects to a peer and completes the handshake.

    Args:
        address: Peer address, "ip:port".
        own_hello: Hello frame of this process.
        key: Shared key.

    Raises:
        OSError: The peer is unreachable.
        TimeoutError: The handshake took longer than HANDSHAKE_TIMEOUT.
        AuthenticationFailed: The peer does not know the key.
    """
    host, port = tcp_stream.split_address(address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(HANDSHAKE_TIMEOUT):
        _, frames = await loop.create_connection(
            framing.FrameConnection, host, port
        )
        tcp_stream.set_user_timeout(frames.transport)
        connection = ClientConnection(frames, own_hello, key)
        connection.send_hello()
        await connection.handshake_done
    return connection
