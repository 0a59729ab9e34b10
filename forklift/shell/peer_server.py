"""The side of a connection between processes that answers."""

import asyncio
import contextlib
import hmac
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from forklift import messages
from forklift.shell import exchange
from forklift.shell import framing
from forklift.shell import tcp_stream

Handler = Callable[
    ["ServerConnection", messages.RequestStart, exchange.Body, "ResponseSink"],
    Awaitable[exchange.Result],
]


class ResponseSink:
    """The sink of an answer that goes back to the peer that asked."""

    def __init__(
        self, frames: framing.FrameConnection, stream: int, request_id: str
    ):
        self._frames = frames
        self._stream = stream
        self._request_id = request_id
        self.window = framing.SendWindow(framing.FLOW_CONTROL_WINDOW)
        self.has_started = False

    async def start(self, head: exchange.Head) -> None:
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
        with _as_sink():
            self._frames.send(start)

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        with _as_sink():
            await framing.send_chunks(
                self._frames, self.window, self._stream, piece
            )

    async def end(self) -> None:
        """See `exchange.Sink`."""
        with _as_sink():
            self._frames.send(messages.BodyChunk(self._stream, b"", True))


@contextlib.contextmanager
def _as_sink() -> Iterator[None]:
    """To the side that answers, the peer that asked is the caller."""
    try:
        yield
    except framing.PeerConnectionLost as error:
        raise tcp_stream.ConnectionLost(str(error)) from error


class ServerConnection:
    """One connection of a peer that asks us."""

    def __init__(
        self,
        frames: framing.FrameConnection,
        own: Callable[[], messages.Hello],
        key: bytes,
        handler: Handler,
        fence: Callable[[messages.FenceRequest], bool],
        on_refused: Callable[[], None],
        relay: Callable[[messages.FenceRequest], Awaitable[bool]] | None = None,
    ):
        self._relay = relay
        self._frames = frames
        self._own = own()
        self._current = own
        self._key = key
        self._handler = handler
        self._fence = fence
        self._on_refused = on_refused
        self._task_by_id: dict[int, asyncio.Task] = {}
        self._answerer_by_id: dict[int, ResponseSink] = {}
        self._pieces_by_id: dict[int, exchange.BodyStream] = {}
        self._relays: set[asyncio.Task] = set()
        self.last_request_at = float("-inf")
        self.peer: messages.Hello | None = None
        self.authenticated = False
        frames.on_frame = self._frame
        frames.on_lost = self._lost

    @property
    def busy(self) -> bool:
        """Whether a request of the peer is in flight."""
        return bool(self._task_by_id)

    @property
    def unsent(self) -> int:
        """Bytes for the peer that the system has not taken."""
        return self._frames.unsent

    def send_keepalive(self) -> None:
        """Gives a sign of life to a peer that is owed an answer.

        Unasked: to be asked would wake both sides once more for each sign.
        """
        if self.busy and self.authenticated and not self._frames.lost:
            self._frames.send(messages.KeepAlive(0, True))

    def half_close(self) -> None:
        """Ends what is sent; the peer closes once it has taken all.

        A connection that is closed answers the peer's next beat with a reset,
        and what the system holds for the peer is lost.
        """
        if not self._frames.lost:
            self._frames.transport.write_eof()

    def close(self) -> None:
        """Closes the connection."""
        self._frames.transport.abort()

    def send_load_update(
        self, standing: messages.LoadUpdate, since: float
    ) -> None:
        """Tells the peer unasked how a target stands.

        Args:
            standing: The news.
            since: Only a peer that asked for something since then is told;
                loop seconds.
        """
        if (
            self.last_request_at < since
            or not self.authenticated
            or self._frames.lost
        ):
            return
        self._frames.send(standing)

    def _frame(self, frame: messages.Frame) -> None:
        if isinstance(frame, messages.Hello):
            self.peer = frame
            self._frames.send(
                msgspec.structs.replace(self._own, compress=frame.compress)
            )
            self._frames.compress = frame.compress
            digest = framing.compute_proof(
                self._key, self._own.nonce, frame.nonce
            )
            self._frames.send(messages.Proof(digest))
        elif isinstance(frame, messages.Proof):
            self._proof(frame)
        elif not self.authenticated:
            self._on_refused()
            raise messages.MalformedMessage(
                "a frame before the proof of the key"
            )
        elif isinstance(frame, messages.RequestStart):
            self._start(frame)
        elif isinstance(frame, messages.BodyChunk):
            pieces = self._pieces_by_id.get(frame.id)
            if pieces is not None:
                pieces.feed(frame.data, frame.is_last)
        elif isinstance(frame, messages.Credit):
            answerer = self._answerer_by_id.get(frame.id)
            if answerer is not None:
                answerer.window.add_credit(frame.size)
        elif isinstance(frame, messages.Cancel):
            task = self._task_by_id.get(frame.id)
            if task is not None:
                task.cancel()
        elif isinstance(frame, messages.KeepAlive) and not frame.is_reply:
            self._frames.send(messages.KeepAlive(frame.number, True))
        elif isinstance(frame, messages.FenceRequest):
            self._answer_fence(frame)

    def _answer_fence(self, fence: messages.FenceRequest) -> None:
        if not fence.forward_to:
            not_run = self._fence(fence)
            self._frames.send(messages.FenceReply(fence.id, not_run))
        elif self._relay is not None:
            task = asyncio.get_running_loop().create_task(
                self._relay_fence(fence)
            )
            self._relays.add(task)
            task.add_done_callback(self._relays.discard)

    async def _relay_fence(self, fence: messages.FenceRequest) -> None:
        not_run = await self._relay(fence)
        if not self._frames.lost:
            self._frames.send(messages.FenceReply(fence.id, not_run))

    def _proof(self, proof: messages.Proof) -> None:
        if self.peer is None:
            raise messages.MalformedMessage("a proof before the hello")
        wanted = framing.compute_proof(
            self._key, self.peer.nonce, self._own.nonce
        )
        if not hmac.compare_digest(wanted, proof.digest):
            self._on_refused()
            raise messages.MalformedMessage("the shared key differs")
        self.authenticated = True

    def _start(self, start: messages.RequestStart) -> None:
        if start.id in self._task_by_id:
            raise messages.MalformedMessage("a stream number was used again")
        self.last_request_at = asyncio.get_running_loop().time()
        body = exchange.Body(start.body)
        if not start.complete:
            body = exchange.Body(b"", self._rest(start))
        answerer = ResponseSink(self._frames, start.id, start.request_id)
        self._answerer_by_id[start.id] = answerer
        task = asyncio.get_running_loop().create_task(
            self._serve(start, body, answerer)
        )
        self._task_by_id[start.id] = task

    async def _rest(self, start: messages.RequestStart):
        pieces = exchange.BodyStream(lambda size: self._credit(start.id, size))
        self._pieces_by_id[start.id] = pieces
        self._credit(start.id, framing.FLOW_CONTROL_WINDOW)
        async for piece in pieces:
            yield piece

    async def _serve(
        self,
        start: messages.RequestStart,
        body: exchange.Body,
        answerer: ResponseSink,
    ) -> None:
        try:
            result = await self._handler(self, start, body, answerer)
            if result.ending.outcome is not messages.Outcome.ANSWERED:
                self._fail(start, result)
        except asyncio.CancelledError:
            result = exchange.unknown(messages.Reason.CANCELLED)
            self._fail(start, result)
        except tcp_stream.ConnectionLost:
            pass
        finally:
            answerer.window.fail()
            self._task_by_id.pop(start.id, None)
            self._answerer_by_id.pop(start.id, None)
            self._pieces_by_id.pop(start.id, None)

    def _fail(
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
            self._current().incarnation,
            start.target,
            result.load,
        )
        self._frames.send(failure)

    def _credit(self, stream: int, size: int) -> None:
        if not self._frames.lost:
            self._frames.send(messages.Credit(stream, size))

    def _lost(self) -> None:
        for pieces in self._pieces_by_id.values():
            pieces.fail("peer lost")
        for task in list(self._task_by_id.values()):
            task.cancel()
