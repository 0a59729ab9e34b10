"""Server side of the connections between processes."""

import asyncio
import contextlib
import hmac
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from forklift import messages
from forklift.shell import exchange
from forklift.shell import flow_control
from forklift.shell import framing
from forklift.shell import tcp_stream

# Runs a request of a peer and writes the response to the sink.
Handler = Callable[
    ["ServerConnection", messages.RequestStart, exchange.Body, "ResponseSink"],
    Awaitable[exchange.Result],
]


class ResponseSink:
    """An `exchange.Sink` that sends the response to the peer.

    Attributes:
        window: Credit for sending the body of the response.
        has_started: Whether the start of the response was sent.
    """

    def __init__(
        self, frames: framing.FrameConnection, stream: int, request_id: str
    ):
        self._frames = frames
        self._stream = stream
        self._request_id = request_id
        self.window = flow_control.SendWindow(flow_control.FLOW_CONTROL_WINDOW)
        self.has_started = False

    async def start(self, head: exchange.ResponseHead) -> None:
        """See `exchange.Sink`."""
        self.has_started = True
        start = messages.ResponseStart(
            self._stream,
            self._request_id,
            head.status,
            head.headers,
            head.length,
            head.target,
            head.load,
        )
        with _translate_connection_lost():
            self._frames.send(start)

    async def data(self, chunk: bytes) -> None:
        """See `exchange.Sink`."""
        with _translate_connection_lost():
            await flow_control.send_chunks(
                self._frames, self.window, self._stream, chunk
            )

    async def end(self) -> None:
        """See `exchange.Sink`."""
        with _translate_connection_lost():
            self._frames.send(messages.BodyChunk(self._stream, b"", True))


@contextlib.contextmanager
def _translate_connection_lost() -> Iterator[None]:
    """Raises `tcp_stream.ConnectionLost` if the peer connection is lost.

    The handler of a request treats the peer like any other caller.
    """
    try:
        yield
    except framing.PeerConnectionLost as error:
        raise tcp_stream.ConnectionLost(str(error)) from error


class ServerConnection:
    """A connection on which a peer sends requests to this process.

    Attributes:
        last_request_at: Loop time of the last request, in seconds.
        last_response_at: Loop time of the end of the last response, in seconds.
        peer_hello: Hello frame of the peer; None until it arrives.
        authenticated: Whether the peer has proved that it knows the key.
    """

    def __init__(
        self,
        frames: framing.FrameConnection,
        make_hello: Callable[[], messages.Hello],
        key: bytes,
        handler: Handler,
        fence: Callable[[messages.FenceRequest], bool],
        on_rejected: Callable[[], None],
        forward_fence: Callable[[messages.FenceRequest], Awaitable[bool]]
        | None = None,
    ):
        """Creates the server side of a new connection.

        Args:
            frames: The connection.
            make_hello: Returns the current hello frame of this process.
            key: Shared key.
            handler: Handles the requests of the peer.
            fence: Fences a request; returns whether it has not run.
            on_rejected: Called when the peer is not authenticated.
            forward_fence: Forwards a fence request to the process that it
                names; returns whether the request has not run.
        """
        self._forward_fence = forward_fence
        self._frames = frames
        self._own_hello = make_hello()
        self._make_hello = make_hello
        self._key = key
        self._handler = handler
        self._fence = fence
        self._on_rejected = on_rejected
        self._task_by_id: dict[int, asyncio.Task] = {}
        self._sink_by_id: dict[int, ResponseSink] = {}
        self._body_by_id: dict[int, exchange.BodyStream] = {}
        self._fence_tasks: set[asyncio.Task] = set()
        self.last_request_at = float("-inf")
        self.last_response_at = float("-inf")
        self.peer_hello: messages.Hello | None = None
        self.authenticated = False
        frames.on_frame = self._handle_frame
        frames.on_lost = self._handle_lost

    @property
    def busy(self) -> bool:
        """Whether a request of the peer is in progress."""
        return bool(self._task_by_id)

    @property
    def unsent_bytes(self) -> int:
        """Bytes for the peer that are not yet in the kernel send buffer."""
        return self._frames.unsent_bytes

    def send_keepalive(self) -> None:
        """Sends an unsolicited keep-alive if a request is in progress.

        The peer then does not have to ask for one, which would wake both
        processes twice as often.
        """
        if self.busy and self.authenticated and not self._frames.lost:
            self._frames.send(messages.KeepAlive(0, True))

    def half_close(self) -> None:
        """Closes the sending side; the peer closes once it has read all data.

        After a full close, the next keep-alive of the peer would cause a
        reset, which discards data in the kernel send buffer.
        """
        self._frames.half_close()

    def close(self) -> None:
        """Closes the connection and discards unsent data."""
        self._frames.transport.abort()

    def send_load_update(
        self, load_update: messages.LoadUpdate, since: float
    ) -> None:
        """Sends the peer an unsolicited load update about a target.

        Args:
            load_update: The update.
            since: Loop time in seconds; the update is sent only if the peer
                has sent a request since then.
        """
        if (
            self.last_request_at < since
            or not self.authenticated
            or self._frames.lost
        ):
            return
        self._frames.send(load_update)

    def _handle_frame(self, frame: messages.Frame) -> None:
        if isinstance(frame, messages.Hello):
            self.peer_hello = frame
            self._frames.send(
                msgspec.structs.replace(
                    self._own_hello, compress=frame.compress
                )
            )
            self._frames.compress = frame.compress
            digest = framing.compute_proof(
                self._key, self._own_hello.nonce, frame.nonce
            )
            self._frames.send(messages.Proof(digest))
        elif isinstance(frame, messages.Proof):
            self._handle_proof(frame)
        elif not self.authenticated:
            self._on_rejected()
            raise messages.MalformedMessage(
                "frame received before the peer was authenticated"
            )
        elif isinstance(frame, messages.RequestStart):
            self._handle_request(frame)
        elif isinstance(frame, messages.BodyChunk):
            body_stream = self._body_by_id.get(frame.id)
            if body_stream is not None:
                body_stream.feed(frame.data, frame.is_last)
        elif isinstance(frame, messages.Credit):
            sink = self._sink_by_id.get(frame.id)
            if sink is not None:
                sink.window.add_credit(frame.size)
        elif isinstance(frame, messages.Cancel):
            self._cancel(frame.id)
        elif isinstance(frame, messages.KeepAlive) and not frame.is_reply:
            self._frames.send(messages.KeepAlive(frame.number, True))
        elif isinstance(frame, messages.FenceRequest):
            self._handle_fence(frame)

    def _cancel(self, stream: int) -> None:
        """Cancels a request of the peer, which sends no more of its body."""
        body_stream = self._body_by_id.get(stream)
        if body_stream is not None:
            body_stream.fail("the peer cancelled the request")
        task = self._task_by_id.get(stream)
        if task is not None:
            task.cancel()

    def _handle_fence(self, fence: messages.FenceRequest) -> None:
        if not fence.forward_to:
            not_run = self._fence(fence)
            self._frames.send(messages.FenceReply(fence.id, not_run))
        elif self._forward_fence is not None:
            task = asyncio.get_running_loop().create_task(
                self._reply_forwarded_fence(fence)
            )
            self._fence_tasks.add(task)
            task.add_done_callback(self._fence_tasks.discard)

    async def _reply_forwarded_fence(
        self, fence: messages.FenceRequest
    ) -> None:
        not_run = await self._forward_fence(fence)
        if not self._frames.lost:
            self._frames.send(messages.FenceReply(fence.id, not_run))

    def _handle_proof(self, proof: messages.Proof) -> None:
        if self.peer_hello is None:
            raise messages.MalformedMessage(
                "proof received before the hello frame"
            )
        expected = framing.compute_proof(
            self._key, self.peer_hello.nonce, self._own_hello.nonce
        )
        if not hmac.compare_digest(expected, proof.digest):
            self._on_rejected()
            raise messages.MalformedMessage(
                "the peer has a different shared key"
            )
        self.authenticated = True

    def _handle_request(self, start: messages.RequestStart) -> None:
        if start.id in self._task_by_id:
            raise messages.MalformedMessage("stream id reused")
        self.last_request_at = asyncio.get_running_loop().time()
        body = exchange.Body(start.body)
        if not start.complete:
            body = exchange.Body(b"", self._receive_body(start))
        sink = ResponseSink(self._frames, start.id, start.request_id)
        self._sink_by_id[start.id] = sink
        task = asyncio.get_running_loop().create_task(
            self._serve(start, body, sink)
        )
        self._task_by_id[start.id] = task

    async def _receive_body(self, start: messages.RequestStart):
        body_stream = exchange.BodyStream(
            lambda size: self._send_credit(start.id, size)
        )
        self._body_by_id[start.id] = body_stream
        self._send_credit(start.id, flow_control.FLOW_CONTROL_WINDOW)
        async for chunk in body_stream:
            yield chunk

    async def _serve(
        self,
        start: messages.RequestStart,
        body: exchange.Body,
        sink: ResponseSink,
    ) -> None:
        try:
            result = await self._handler(self, start, body, sink)
            if result.ending.outcome is not messages.Outcome.ANSWERED:
                self._send_failure(start, result)
        except asyncio.CancelledError:
            result = exchange.unknown(messages.Reason.CANCELLED)
            self._send_failure(start, result)
        except tcp_stream.ConnectionLost:
            pass
        finally:
            sink.window.fail()
            if sink.has_started:
                self.last_response_at = asyncio.get_running_loop().time()
            self._task_by_id.pop(start.id, None)
            self._sink_by_id.pop(start.id, None)
            self._body_by_id.pop(start.id, None)

    def _send_failure(
        self, start: messages.RequestStart, result: exchange.Result
    ) -> None:
        if self._frames.lost:
            return
        ending = result.ending
        failure = messages.Failure(
            start.id,
            ending.outcome,
            ending.reason or messages.Reason.TARGET_BROKE,
            ending.retry_after,
            self._make_hello().incarnation,
            start.target,
            result.load,
        )
        self._frames.send(failure)

    def _send_credit(self, stream: int, size: int) -> None:
        if not self._frames.lost:
            self._frames.send(messages.Credit(stream, size))

    def _handle_lost(self) -> None:
        for body_stream in self._body_by_id.values():
            body_stream.fail("connection to the peer lost")
        for task in list(self._task_by_id.values()):
            task.cancel()
