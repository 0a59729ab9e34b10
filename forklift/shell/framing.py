"""Frames between two processes: cut out of bytes, bounded by credit.

A frame is a length-prefixed message. A large body moves only as far as the
other side gave credit, so that memory stays bounded.
"""

import asyncio
import hmac
import secrets
import struct
import zlib
from collections.abc import Callable

import structlog

from forklift import messages

_log = structlog.get_logger(__name__)
_PREFIX = struct.Struct("!I")
FLOW_CONTROL_WINDOW = 262_144
NONCE_BYTES = 16
# Marks a compressed frame in its length.
_COMPRESSED = 1 << 31
# Smaller frames gain nothing, bytes.
MIN_COMPRESS_BYTES = 64
# A window of 4 KB holds the last ten heads or so, which is where a head
# repeats; both ways cost 35 KB of memory a connection.
_WINDOW_BITS = -12
_MEMORY_LEVEL = 4
# What ends each flushed piece of a deflate stream; it is not sent (RFC 7692).
_FLUSHED = b"\0\0\xff\xff"


class PeerConnectionLost(ConnectionError):
    """The connection to another process is gone.

    It is not `tcp_stream.ConnectionLost`: a request may go over another one,
    and its caller still waits.
    """


class _FrameCompressor:
    """Compresses the frames of one connection, each against those before."""

    def __init__(self):
        self._stream = zlib.compressobj(
            wbits=_WINDOW_BITS, memLevel=_MEMORY_LEVEL
        )

    def pack(self, data: bytes) -> bytes:
        """Compresses one frame."""
        packed = self._stream.compress(data)
        packed += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(_FLUSHED)


class _FrameDecompressor:
    """Expands the compressed frames of one connection, in their order."""

    def __init__(self):
        self._stream = zlib.decompressobj(wbits=_WINDOW_BITS)

    def expand(self, packed: bytes) -> bytes:
        """Expands one frame.

        Raises:
            messages.MalformedMessage: It is damaged, or larger than a frame may
                be.
        """
        most = messages.MAX_FRAME_BYTES
        try:
            data = self._stream.decompress(packed + _FLUSHED, most)
        except zlib.error as error:
            raise messages.MalformedMessage(str(error)) from error
        if self._stream.unconsumed_tail:
            raise messages.MalformedMessage(f"expands to over {most} bytes")
        return data


class FrameConnection(asyncio.Protocol):
    """Splits bytes into frames; hands each on at once."""

    def __init__(
        self, on_connect: Callable[["FrameConnection"], None] | None = None
    ):
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.transport: asyncio.Transport | None = None
        self.on_frame: Callable[[messages.Frame], None] = lambda frame: None
        self.on_batch: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None
        self._lost = False
        self.peer = ""
        # Whether what is sent from now on is compressed, other than bodies,
        # which mostly are already.
        self.compress = False
        self._deflate: _FrameCompressor | None = None
        self._inflate: _FrameDecompressor | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else ""
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._buffer += data
        self.on_batch()
        try:
            self._split()
        except messages.MalformedMessage as error:
            _log.warning("peer_malformed", peer=self.peer, detail=str(error))
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._lost = True
        self._can_write.set()
        self.on_lost()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self._can_write.set()

    @property
    def lost(self) -> bool:
        """Whether what is sent goes nowhere."""
        if self._lost or self.transport is None:
            return True
        # A transport that closes drops what is written, and tells of it only
        # in a later turn of the loop.
        return self.transport.is_closing()

    @property
    def unsent(self) -> int:
        """Bytes of frames that the system has not taken."""
        return 0 if self.lost else self.transport.get_write_buffer_size()

    def send(self, frame: messages.Frame) -> None:
        """Queues a frame.

        Raises:
            PeerConnectionLost: The connection is gone; nothing was sent.
        """
        if self.lost:
            raise PeerConnectionLost("peer connection lost")
        data = messages.encode(frame)
        mark = 0
        if self._gains(frame, data):
            self._deflate = self._deflate or _FrameCompressor()
            data = self._deflate.pack(data)
            mark = _COMPRESSED
        self.transport.write(_PREFIX.pack(mark | len(data)) + data)

    def _gains(self, frame: messages.Frame, data: bytes) -> bool:
        large = len(data) >= MIN_COMPRESS_BYTES
        return (
            self.compress
            and large
            and not isinstance(frame, messages.BodyChunk)
        )

    async def drain(self) -> None:
        """Waits until the other side takes bytes again.

        Raises:
            PeerConnectionLost: The connection is gone.
        """
        await self._can_write.wait()
        if self.lost:
            raise PeerConnectionLost("peer connection lost")

    def _split(self) -> None:
        start = 0
        while len(self._buffer) - start >= _PREFIX.size:
            (prefix,) = _PREFIX.unpack_from(self._buffer, start)
            size = prefix & ~_COMPRESSED
            if size > messages.MAX_FRAME_BYTES:
                raise messages.MalformedMessage(f"a frame of {size} bytes")
            end = start + _PREFIX.size + size
            if len(self._buffer) < end:
                break
            data = bytes(self._buffer[start + _PREFIX.size : end])
            start = end
            if prefix & _COMPRESSED:
                self._inflate = self._inflate or _FrameDecompressor()
                data = self._inflate.expand(data)
            self.on_frame(messages.decode_frame(data))
        del self._buffer[:start]


class SendWindow:
    """The credit of one stream's body on its way out."""

    def __init__(self, credit: int):
        self._credit = credit
        self._news = asyncio.Event()
        self.lost = False

    def add_credit(self, size: int) -> None:
        """The other side took some."""
        self._credit += size
        self._news.set()

    def fail(self) -> None:
        """The stream is gone."""
        self.lost = True
        self._news.set()

    async def acquire(self, most: int) -> int:
        """Waits for credit and takes up to `most` of it.

        Raises:
            PeerConnectionLost: The stream is gone.
        """
        while self._credit <= 0 and not self.lost:
            self._news.clear()
            await self._news.wait()
        if self.lost:
            raise PeerConnectionLost("stream lost")
        size = min(most, self._credit)
        self._credit -= size
        return size


async def send_chunks(
    frames: FrameConnection, window: SendWindow, stream: int, piece: bytes
) -> None:
    """Sends bytes of a body within the credit of its stream."""
    start = 0
    while start < len(piece):
        size = await window.acquire(
            min(len(piece) - start, FLOW_CONTROL_WINDOW)
        )
        part = piece[start : start + size]
        frames.send(messages.BodyChunk(stream, part, False))
        await frames.drain()
        start += size


def compute_proof(key: bytes, nonce: bytes, other: bytes) -> bytes:
    """Proof of the key for a pair of nonces, ours and the other side's."""
    return hmac.digest(key, b"forklift" + nonce + other, "sha256")


def new_nonce() -> bytes:
    """Random bytes for one connection."""
    return secrets.token_bytes(NONCE_BYTES)
