"""The side of a connection between processes that asks.

Many requests share one connection; a stream's number is never used again on
it. While an answer is owed, beats ask for a sign of life, which shows a
one-way cut long before a deadline does.
"""

import asyncio
import hmac
import itertools
from collections.abc import Callable

import h11

from forklift import errors
from forklift import messages
from forklift.shell import exchange
from forklift.shell import framing
from forklift.shell import tcp_stream

HELLO_TIMEOUT = 2.0
FENCE_TIMEOUT = 0.5


class AuthenticationFailed(errors.ForkliftError):
    """The other side did not show that it knows the shared key."""

    def __init__(self, peer: str):
        super().__init__(
            f"{peer} does not know the shared key; set the same "
            "[process] key on all processes"
        )


class _Asked:
    """A request that this side sent and that is not over."""

    def __init__(self, idempotent: bool):
        self.idempotent = idempotent
        self.head: asyncio.Future = asyncio.get_running_loop().create_future()
        self.pieces: exchange.BodyStream | None = None
        self.window = framing.SendWindow(0)
        self.failure: messages.Failure | None = None


class ClientConnection:
    """One connection to a peer; both sides may ask over their own."""

    def __init__(
        self, frames: framing.FrameConnection, own: messages.Hello, key: bytes
    ):
        self._frames = frames
        self._own = own
        self._key = key
        self._ids = itertools.count(1)
        self._asked_by_id: dict[int, _Asked] = {}
        self._fence_by_id: dict[int, asyncio.Future] = {}
        self._keepalive_number = 0
        self.peer: messages.Hello | None = None
        self.authenticated = False
        self.ready = asyncio.get_running_loop().create_future()
        self.on_reply: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None
        self.on_load_update: Callable[[messages.LoadUpdate], None] = (
            lambda standing: None
        )
        # Set while the path is condemned.
        self.unresponsive = asyncio.Event()
        self.incarnation = 0
        self.pending_count = 0
        frames.on_frame = self._frame
        frames.on_lost = self._lost

    @property
    def lost(self) -> bool:
        """Whether the connection is gone."""
        return self._frames.lost

    def send_hello(self) -> None:
        """Says hello."""
        self._frames.send(self._own)

    async def send_request(
        self,
        start: messages.RequestStart,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Sends a request and passes its answer on.

        Raises:
            errors.PeerUnreachable: Nothing was sent.
            tcp_stream.ConnectionLost: The sink is gone.
            asyncio.CancelledError: The caller gave up.
        """
        if self.lost:
            # Its first frame goes nowhere, so it has not run.
            raise errors.PeerUnreachable(self.peer.name, "lost")
        asked = _Asked(start.idempotent)
        self._asked_by_id[start.id] = asked
        self.pending_count += 1
        upload = None
        over = False
        try:
            self._frames.send(start)
            if not start.complete:
                upload = asyncio.create_task(
                    self._upload(start.id, asked, request)
                )
            result = await self._answer(start, asked, sink)
            over = True
            return result
        finally:
            self.pending_count -= 1
            del self._asked_by_id[start.id]
            asked.window.fail()
            if upload is not None:
                upload.cancel()
            if not over and not self.lost:
                self._frames.send(messages.Cancel(start.id))

    def next_stream_id(self) -> int:
        """A stream number never used before on this connection."""
        return next(self._ids)

    async def fence(
        self, boot: int, seq: int, to_boot: int, to: str = ""
    ) -> bool:
        """Asks that a request never starts; True when that is certain.

        Args:
            boot: Boot of the sender of the request.
            seq: Its number there.
            to_boot: Boot of the guard that the request was sent to.
            to: Process of that guard where it is not this peer.
        """
        stream = self.next_stream_id()
        future = asyncio.get_running_loop().create_future()
        self._fence_by_id[stream] = future
        try:
            self._frames.send(
                messages.FenceRequest(stream, boot, seq, to_boot, to)
            )
            async with asyncio.timeout(FENCE_TIMEOUT):
                return await future
        except (TimeoutError, framing.PeerConnectionLost):
            return False
        finally:
            del self._fence_by_id[stream]

    def send_keepalive(self) -> None:
        """Asks for a sign of life."""
        self._keepalive_number += 1
        self._frames.send(messages.KeepAlive(self._keepalive_number, False))

    def fail_idempotent(self) -> None:
        """The path is condemned: what may run twice goes elsewhere.

        What may not is left where it is; its answer can still come.
        """
        self.unresponsive.set()
        for asked in self._asked_by_id.values():
            if asked.idempotent:
                self._break(asked)
        if not self._asked_by_id:
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._frames.transport.abort()

    async def _answer(
        self,
        start: messages.RequestStart,
        asked: _Asked,
        sink: exchange.Sink,
    ) -> exchange.Result:
        head = await asked.head
        if isinstance(head, messages.Failure):
            return _failed(head)
        if head is None:
            return exchange.unknown(messages.Reason.PEER_LOST)
        if head.request_id != start.request_id:
            self.close()
            return exchange.unknown(messages.Reason.WRONG_ANSWER)
        passed = exchange.Head(
            head.status, head.headers, head.length, head.target, head.load
        )
        await sink.start(passed)
        try:
            async for piece in asked.pieces:
                await sink.data(piece)
        except exchange.IncompleteBody:
            if asked.failure is not None:
                return _failed(asked.failure)
            return exchange.unknown(messages.Reason.PEER_LOST)
        await sink.end()
        return exchange.answered(head.status, head.target, head.load)

    async def _upload(
        self, stream: int, asked: _Asked, request: exchange.Request
    ) -> None:
        try:
            # Nothing is taken of the body before the guard asks for it.
            await asked.window.acquire(0)
            async for piece in request.body.chunks():
                await framing.send_chunks(
                    self._frames, asked.window, stream, piece
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

    def _frame(self, frame: messages.Frame) -> None:
        if isinstance(frame, messages.Hello):
            self._hello(frame)
            return
        if isinstance(frame, messages.Proof):
            self._proof(frame)
            return
        if not self.authenticated:
            raise messages.MalformedMessage(
                "a frame before the proof of the key"
            )
        self.unresponsive.clear()
        self.on_reply()
        if isinstance(frame, messages.ResponseStart):
            self._head(frame)
        elif isinstance(frame, messages.BodyChunk):
            asked = self._asked_by_id.get(frame.id)
            if asked is not None and asked.pieces is not None:
                asked.pieces.feed(frame.data, frame.is_last)
        elif isinstance(frame, messages.Credit):
            asked = self._asked_by_id.get(frame.id)
            if asked is not None:
                asked.window.add_credit(frame.size)
        elif isinstance(frame, messages.Failure):
            self._failure(frame)
        elif isinstance(frame, messages.LoadUpdate):
            self.on_load_update(frame)
        elif isinstance(frame, messages.FenceReply):
            future = self._fence_by_id.get(frame.id)
            if future is not None and not future.done():
                future.set_result(frame.not_run)

    def _hello(self, hello: messages.Hello) -> None:
        self.peer = hello
        self.incarnation = hello.incarnation
        # One that does not know of compression does not say that it will.
        self._frames.compress = self._own.compress and hello.compress
        digest = framing.compute_proof(self._key, self._own.nonce, hello.nonce)
        self._frames.send(messages.Proof(digest))

    def _proof(self, proof: messages.Proof) -> None:
        wanted = framing.compute_proof(
            self._key, self.peer.nonce, self._own.nonce
        )
        if not hmac.compare_digest(wanted, proof.digest):
            if not self.ready.done():
                self.ready.set_exception(
                    AuthenticationFailed(self._frames.peer)
                )
            self._frames.transport.abort()
            return
        self.authenticated = True
        if not self.ready.done():
            self.ready.set_result(None)

    def _head(self, head: messages.ResponseStart) -> None:
        asked = self._asked_by_id.get(head.id)
        if asked is None or asked.head.done():
            return
        asked.pieces = exchange.BodyStream(
            lambda size: self._credit(head.id, size)
        )
        asked.head.set_result(head)

    def _failure(self, failure: messages.Failure) -> None:
        self.incarnation = max(self.incarnation, failure.incarnation)
        asked = self._asked_by_id.get(failure.id)
        if asked is None:
            return
        asked.failure = failure
        if not asked.head.done():
            asked.head.set_result(failure)
        elif asked.pieces is not None:
            asked.pieces.fail("the answer broke off")

    def _credit(self, stream: int, size: int) -> None:
        if not self.lost:
            self._frames.send(messages.Credit(stream, size))

    def _lost(self) -> None:
        for asked in self._asked_by_id.values():
            self._break(asked)
        if not self.ready.done():
            self.ready.set_exception(framing.PeerConnectionLost("peer closed"))
        # Nobody may be waiting for it.
        self.ready.exception()
        self.on_lost()

    def _break(self, asked: _Asked) -> None:
        asked.window.fail()
        if not asked.head.done():
            asked.head.set_result(None)
        elif asked.pieces is not None:
            asked.pieces.fail("peer lost")


def _failed(failure: messages.Failure) -> exchange.Result:
    if failure.outcome is messages.Outcome.NOT_RUN:
        return exchange.not_run(
            failure.reason, failure.retry_after, failure.load
        )
    return exchange.unknown(failure.reason, failure.load)


async def connect(
    address: str, own: messages.Hello, key: bytes
) -> ClientConnection:
    """Connects to a peer and proves the shared key.

    Raises:
        OSError: Unreachable.
        Refused: The peer does not know the key.
    """
    host, port = tcp_stream.split_address(address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(HELLO_TIMEOUT):
        _, frames = await loop.create_connection(
            framing.FrameConnection, host, port
        )
        tcp_stream.set_user_timeout(frames.transport)
        link = ClientConnection(frames, own, key)
        link.send_hello()
        await link.ready
    return link
