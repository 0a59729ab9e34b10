"""Requests between processes: many at once over one connection each way.

Frames are length-prefixed messages. A stream's number is never used again on
its connection. A large body or answer moves only as far as the other side
gave credit, so that memory stays bounded. While an answer is owed, beats ask
for a sign of life, which shows a one-way cut long before a deadline does.
"""

import asyncio
import hmac
import itertools
import secrets
import struct
from collections.abc import Awaitable
from collections.abc import Callable

import h11
import structlog

from forklift import errors
from forklift import messages
from forklift.shell import exchange
from forklift.shell import http
from forklift.shell import wire

_log = structlog.get_logger(__name__)
_PREFIX = struct.Struct("!I")
WINDOW = 262_144
HELLO_TIMEOUT = 2.0
FENCE_TIMEOUT = 0.5
BEAT_PERIOD = 0.2
NONCE_BYTES = 16

Handler = Callable[
    ["Served", messages.RequestStart, exchange.Body, "Answerer"],
    Awaitable[exchange.Result],
]


class Refused(errors.ForkliftError):
    """The other side did not show that it knows the shared key."""

    def __init__(self, peer: str):
        super().__init__(
            f"{peer} does not know the shared key; set the same "
            "[process] key on all processes"
        )


class Frames(asyncio.Protocol):
    """Splits bytes into frames; hands each on at once."""

    def __init__(self, on_made: Callable[["Frames"], None] | None = None):
        self._on_made = on_made
        self._buffer = bytearray()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.transport: asyncio.Transport | None = None
        self.on_frame: Callable[[messages.Frame], None] = lambda frame: None
        self.on_batch: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None
        self.lost = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else ""
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._buffer += data
        self.on_batch()
        try:
            self._split()
        except messages.Malformed as error:
            _log.warning("peer_malformed", peer=self.peer, detail=str(error))
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self.lost = True
        self._can_write.set()
        self.on_lost()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.set()

    def send(self, frame: messages.Frame) -> None:
        """Queues a frame.

        Raises:
            wire.Lost: The connection is gone.
        """
        if self.lost or self.transport is None:
            raise wire.Lost("peer connection lost")
        data = messages.encode(frame)
        self.transport.write(_PREFIX.pack(len(data)) + data)

    async def drain(self) -> None:
        """Waits until the other side takes bytes again.

        Raises:
            wire.Lost: The connection is gone.
        """
        await self._can_write.wait()
        if self.lost:
            raise wire.Lost("peer connection lost")

    def _split(self) -> None:
        start = 0
        while len(self._buffer) - start >= _PREFIX.size:
            (size,) = _PREFIX.unpack_from(self._buffer, start)
            if size > messages.MAX_FRAME_BYTES:
                raise messages.Malformed(f"a frame of {size} bytes")
            end = start + _PREFIX.size + size
            if len(self._buffer) < end:
                break
            data = bytes(self._buffer[start + _PREFIX.size : end])
            start = end
            self.on_frame(messages.decode_frame(data))
        del self._buffer[:start]


class Sending:
    """The credit of one stream's body on its way out."""

    def __init__(self, credit: int):
        self._credit = credit
        self._news = asyncio.Event()
        self.lost = False

    def give(self, size: int) -> None:
        """The other side took some."""
        self._credit += size
        self._news.set()

    def fail(self) -> None:
        """The stream is gone."""
        self.lost = True
        self._news.set()

    async def take(self, most: int) -> int:
        """Waits for credit and takes up to `most` of it.

        Raises:
            wire.Lost: The stream is gone.
        """
        while self._credit <= 0 and not self.lost:
            self._news.clear()
            await self._news.wait()
        if self.lost:
            raise wire.Lost("stream lost")
        size = min(most, self._credit)
        self._credit -= size
        return size


async def send_pieces(
    frames: Frames, sending: Sending, stream: int, piece: bytes
) -> None:
    """Sends bytes of a body within the credit of its stream."""
    start = 0
    while start < len(piece):
        size = await sending.take(min(len(piece) - start, WINDOW))
        part = piece[start : start + size]
        frames.send(messages.Body(stream, part, False))
        await frames.drain()
        start += size


class Answerer:
    """The sink of an answer that goes back to the peer that asked."""

    def __init__(self, frames: Frames, stream: int, request_id: str):
        self._frames = frames
        self._stream = stream
        self._request_id = request_id
        self.sending = Sending(WINDOW)
        self.begun = False

    async def start(
        self,
        status: int,
        headers: http.Headers,
        length: int,
        target: str,
        load: messages.Load | None,
    ) -> None:
        """See `exchange.Sink`."""
        self.begun = True
        head = messages.AnswerStart(
            self._stream,
            self._request_id,
            status,
            headers,
            length,
            target,
            load,
        )
        self._frames.send(head)

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        await send_pieces(self._frames, self.sending, self._stream, piece)

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._frames.send(messages.Body(self._stream, b"", True))


class _Asked:
    """A request that this side sent and that is not over."""

    def __init__(self, repeatable: bool):
        self.repeatable = repeatable
        self.head: asyncio.Future = asyncio.get_running_loop().create_future()
        self.pieces: exchange.Pieces | None = None
        self.sending = Sending(0)
        self.failure: messages.Failure | None = None


class Link:
    """One connection to a peer; both sides may ask over their own."""

    def __init__(self, frames: Frames, own: messages.Hello, key: bytes):
        self._frames = frames
        self._own = own
        self._key = key
        self._ids = itertools.count(1)
        self._asked_by_id: dict[int, _Asked] = {}
        self._fence_by_id: dict[int, asyncio.Future] = {}
        self._beat = 0
        self.peer: messages.Hello | None = None
        self.proven = False
        self.ready = asyncio.get_running_loop().create_future()
        self.on_sign: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None
        self.incarnation = 0
        self.waiting = 0
        frames.on_frame = self._frame
        frames.on_lost = self._lost

    @property
    def lost(self) -> bool:
        """Whether the connection is gone."""
        return self._frames.lost

    def open(self) -> None:
        """Says hello."""
        self._frames.send(self._own)

    async def ask(
        self,
        start: messages.RequestStart,
        request: exchange.Request,
        sink: exchange.Sink,
    ) -> exchange.Result:
        """Sends a request and passes its answer on.

        Raises:
            wire.Lost: The sink is gone.
            asyncio.CancelledError: The caller gave up.
        """
        asked = _Asked(start.repeatable)
        self._asked_by_id[start.id] = asked
        self.waiting += 1
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
            self.waiting -= 1
            del self._asked_by_id[start.id]
            asked.sending.fail()
            if upload is not None:
                upload.cancel()
            if not over and not self.lost:
                self._frames.send(messages.Cancel(start.id))

    def next_id(self) -> int:
        """A stream number never used before on this connection."""
        return next(self._ids)

    async def fence(self, boot: int, seq: int, to_boot: int) -> bool:
        """Asks that a request never starts; True when that is certain."""
        stream = self.next_id()
        future = asyncio.get_running_loop().create_future()
        self._fence_by_id[stream] = future
        try:
            self._frames.send(messages.Fence(stream, boot, seq, to_boot))
            async with asyncio.timeout(FENCE_TIMEOUT):
                return await future
        except (TimeoutError, wire.Lost):
            return False
        finally:
            del self._fence_by_id[stream]

    def beat(self) -> None:
        """Asks for a sign of life."""
        self._beat += 1
        self._frames.send(messages.Beat(self._beat, False))

    def give_up_repeatable(self) -> None:
        """The path is condemned: what may run twice goes elsewhere.

        What may not is left where it is; its answer can still come.
        """
        for asked in self._asked_by_id.values():
            if asked.repeatable:
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
        await sink.start(
            head.status, head.headers, head.length, head.target, head.load
        )
        try:
            async for piece in asked.pieces:
                await sink.data(piece)
        except exchange.BodyBroken:
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
            await asked.sending.take(0)
            async for piece in request.body.pieces():
                await send_pieces(self._frames, asked.sending, stream, piece)
            self._frames.send(messages.Body(stream, b"", True))
        except (
            exchange.BodyBroken,
            h11.ProtocolError,
            wire.Lost,
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
        if not self.proven:
            raise messages.Malformed("a frame before the proof of the key")
        self.on_sign()
        if isinstance(frame, messages.AnswerStart):
            self._head(frame)
        elif isinstance(frame, messages.Body):
            asked = self._asked_by_id.get(frame.id)
            if asked is not None and asked.pieces is not None:
                asked.pieces.feed(frame.data, frame.end)
        elif isinstance(frame, messages.Credit):
            asked = self._asked_by_id.get(frame.id)
            if asked is not None:
                asked.sending.give(frame.size)
        elif isinstance(frame, messages.Failure):
            self._failure(frame)
        elif isinstance(frame, messages.Fenced):
            future = self._fence_by_id.get(frame.id)
            if future is not None and not future.done():
                future.set_result(frame.not_run)

    def _hello(self, hello: messages.Hello) -> None:
        self.peer = hello
        self.incarnation = hello.incarnation
        digest = prove(self._key, self._own.nonce, hello.nonce)
        self._frames.send(messages.Proof(digest))

    def _proof(self, proof: messages.Proof) -> None:
        wanted = prove(self._key, self.peer.nonce, self._own.nonce)
        if not hmac.compare_digest(wanted, proof.digest):
            if not self.ready.done():
                self.ready.set_exception(Refused(self._frames.peer))
            self._frames.transport.abort()
            return
        self.proven = True
        if not self.ready.done():
            self.ready.set_result(None)

    def _head(self, head: messages.AnswerStart) -> None:
        asked = self._asked_by_id.get(head.id)
        if asked is None or asked.head.done():
            return
        asked.pieces = exchange.Pieces(lambda size: self._credit(head.id, size))
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
            self.ready.set_exception(wire.Lost("peer closed"))
        # Nobody may be waiting for it.
        self.ready.exception()
        self.on_lost()

    def _break(self, asked: _Asked) -> None:
        asked.sending.fail()
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


def prove(key: bytes, nonce: bytes, other: bytes) -> bytes:
    """Proof of the key for a pair of nonces, ours and the other side's."""
    return hmac.digest(key, b"forklift" + nonce + other, "sha256")


async def open_link(address: str, own: messages.Hello, key: bytes) -> Link:
    """Connects to a peer and proves the shared key.

    Raises:
        OSError: Unreachable.
        Refused: The peer does not know the key.
    """
    host, port = wire.split_address(address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(HELLO_TIMEOUT):
        _, frames = await loop.create_connection(Frames, host, port)
        link = Link(frames, own, key)
        link.open()
        await link.ready
    return link


def new_nonce() -> bytes:
    """Random bytes for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


class Served:
    """One connection of a peer that asks us."""

    def __init__(
        self,
        frames: Frames,
        own: Callable[[], messages.Hello],
        key: bytes,
        handler: Handler,
        fence: Callable[[messages.Fence], bool],
        on_refused: Callable[[], None],
    ):
        self._frames = frames
        self._own = own()
        self._current = own
        self._key = key
        self._handler = handler
        self._fence = fence
        self._on_refused = on_refused
        self._task_by_id: dict[int, asyncio.Task] = {}
        self._answerer_by_id: dict[int, Answerer] = {}
        self._pieces_by_id: dict[int, exchange.Pieces] = {}
        self.peer: messages.Hello | None = None
        self.proven = False
        frames.on_frame = self._frame
        frames.on_lost = self._lost

    @property
    def busy(self) -> bool:
        """Whether a request of the peer is in flight."""
        return bool(self._task_by_id)

    def close(self) -> None:
        """Closes the connection."""
        self._frames.transport.abort()

    def _frame(self, frame: messages.Frame) -> None:
        if isinstance(frame, messages.Hello):
            self.peer = frame
            self._frames.send(self._own)
            digest = prove(self._key, self._own.nonce, frame.nonce)
            self._frames.send(messages.Proof(digest))
        elif isinstance(frame, messages.Proof):
            self._proof(frame)
        elif not self.proven:
            self._on_refused()
            raise messages.Malformed("a frame before the proof of the key")
        elif isinstance(frame, messages.RequestStart):
            self._start(frame)
        elif isinstance(frame, messages.Body):
            pieces = self._pieces_by_id.get(frame.id)
            if pieces is not None:
                pieces.feed(frame.data, frame.end)
        elif isinstance(frame, messages.Credit):
            answerer = self._answerer_by_id.get(frame.id)
            if answerer is not None:
                answerer.sending.give(frame.size)
        elif isinstance(frame, messages.Cancel):
            task = self._task_by_id.get(frame.id)
            if task is not None:
                task.cancel()
        elif isinstance(frame, messages.Beat) and not frame.echo:
            self._frames.send(messages.Beat(frame.number, True))
        elif isinstance(frame, messages.Fence):
            not_run = self._fence(frame)
            self._frames.send(messages.Fenced(frame.id, not_run))

    def _proof(self, proof: messages.Proof) -> None:
        if self.peer is None:
            raise messages.Malformed("a proof before the hello")
        wanted = prove(self._key, self.peer.nonce, self._own.nonce)
        if not hmac.compare_digest(wanted, proof.digest):
            self._on_refused()
            raise messages.Malformed("the shared key differs")
        self.proven = True

    def _start(self, start: messages.RequestStart) -> None:
        if start.id in self._task_by_id:
            raise messages.Malformed("a stream number was used again")
        body = exchange.Body(start.body)
        if not start.complete:
            body = exchange.Body(b"", self._rest(start))
        answerer = Answerer(self._frames, start.id, start.request_id)
        self._answerer_by_id[start.id] = answerer
        task = asyncio.get_running_loop().create_task(
            self._serve(start, body, answerer)
        )
        self._task_by_id[start.id] = task

    async def _rest(self, start: messages.RequestStart):
        pieces = exchange.Pieces(lambda size: self._credit(start.id, size))
        self._pieces_by_id[start.id] = pieces
        self._credit(start.id, WINDOW)
        async for piece in pieces:
            yield piece

    async def _serve(
        self,
        start: messages.RequestStart,
        body: exchange.Body,
        answerer: Answerer,
    ) -> None:
        try:
            result = await self._handler(self, start, body, answerer)
            if result.ending.outcome is not messages.Outcome.ANSWERED:
                self._fail(start, result)
        except asyncio.CancelledError:
            result = exchange.unknown(messages.Reason.CANCELLED)
            self._fail(start, result)
        except wire.Lost:
            pass
        finally:
            answerer.sending.fail()
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
