"""Framing and compression on connections between processes.

A frame is a length-prefixed message.
"""

import asyncio
import hmac
import secrets
import struct
import zlib
from collections.abc import Callable

import structlog

from forklift import messages
from forklift.shell import half_close

_log = structlog.get_logger(__name__)
_LENGTH_PREFIX = struct.Struct("!I")
NONCE_BYTES = 16
# Bit of the length prefix that marks a compressed frame.
_COMPRESSED_FLAG = 1 << 31
# Minimum size in bytes of a frame that is compressed.
MIN_COMPRESS_BYTES = 64
# Base-2 logarithm of the deflate window in bytes; negative for raw deflate. 4
# KB hold about the last ten heads, which is where a head repeats; both
# directions cost 35 KB of memory a connection.
_WINDOW_BITS = -12
# Memory level of the compressor, from 1 to 9.
_MEMORY_LEVEL = 4
# Trailer of each Z_SYNC_FLUSH block; removed before sending as in RFC 7692.
_SYNC_FLUSH_MARKER = b"\0\0\xff\xff"


class PeerConnectionLost(ConnectionError):
    """The connection to another process is closed.

    Unlike `tcp_stream.ConnectionLost`, which means that the caller is gone,
    the request can still be sent over another connection.
    """


class _FrameCompressor:
    """Compresses the frames of one connection with one deflate stream."""

    def __init__(self):
        self._stream = zlib.compressobj(
            wbits=_WINDOW_BITS, memLevel=_MEMORY_LEVEL
        )

    def compress(self, data: bytes) -> bytes:
        """Returns one frame compressed."""
        compressed = self._stream.compress(data)
        compressed += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return compressed.removesuffix(_SYNC_FLUSH_MARKER)


class _FrameDecompressor:
    """Decompresses the frames of one connection in order of arrival."""

    def __init__(self):
        self._stream = zlib.decompressobj(wbits=_WINDOW_BITS)

    def decompress(self, compressed: bytes) -> bytes:
        """Returns one frame decompressed.

        Raises:
            messages.MalformedMessage: The data is corrupt or exceeds the
                maximum size of a frame.
        """
        limit = messages.MAX_FRAME_BYTES
        try:
            data = self._stream.decompress(
                compressed + _SYNC_FLUSH_MARKER, limit
            )
        except zlib.error as error:
            raise messages.MalformedMessage(str(error)) from error
        if self._stream.unconsumed_tail:
            raise messages.MalformedMessage(
                f"frame expands to over {limit} bytes"
            )
        return data


class FrameConnection(asyncio.Protocol):
    """Sends and receives frames on a TCP connection.

    Attributes:
        on_bytes: Called when bytes arrive, before the frames they complete.
        on_frame: Called with each frame received.
        on_lost: Called when the connection closes.
        peer_address: Address of the peer, "ip:port".
        compress: Whether frames sent from now on are compressed. Body chunks
            never are, as most bodies already are compressed.
    """

    def __init__(
        self, on_connect: Callable[["FrameConnection"], None] | None = None
    ):
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.transport: asyncio.Transport | None = None
        self.on_frame: Callable[[messages.Frame], None] = lambda frame: None
        self.on_lost: Callable[[], None] = lambda: None
        self._lost = False
        self._half_close = half_close.HalfClose()
        self.peer_address = ""
        self.on_bytes: Callable[[], None] = lambda: None
        self.compress = False
        self._compressor: _FrameCompressor | None = None
        self._decompressor: _FrameDecompressor | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer_address = f"{name[0]}:{name[1]}" if name else ""
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._buffer += data
        self.on_bytes()
        try:
            self._process_buffer()
        except messages.MalformedMessage as error:
            _log.warning(
                "peer_frame_malformed",
                peer=self.peer_address,
                detail=str(error),
            )
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
        self._half_close.resume_writing(self.transport)

    @property
    def lost(self) -> bool:
        """Whether the connection is closed or closing."""
        if self._lost or self.transport is None:
            return True
        # A closing transport discards writes; connection_lost is called in a
        # later iteration of the loop.
        return self.transport.is_closing()

    @property
    def incomplete_frame_bytes(self) -> int:
        """Bytes received of a frame that is not yet complete."""
        return len(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that are not yet in the kernel send buffer."""
        return 0 if self.lost else self.transport.get_write_buffer_size()

    def send(self, frame: messages.Frame) -> None:
        """Queues a frame; drops it after `half_close`.

        Raises:
            PeerConnectionLost: The connection is closed; nothing was sent.
        """
        if self.lost:
            raise PeerConnectionLost("connection to the peer lost")
        if self._half_close.requested:
            return
        data = messages.encode(frame)
        flag = 0
        if self._should_compress(frame, data):
            self._compressor = self._compressor or _FrameCompressor()
            data = self._compressor.compress(data)
            flag = _COMPRESSED_FLAG
        self.transport.write(_LENGTH_PREFIX.pack(flag | len(data)) + data)

    def _should_compress(self, frame: messages.Frame, data: bytes) -> bool:
        large = len(data) >= MIN_COMPRESS_BYTES
        return (
            self.compress
            and large
            and not isinstance(frame, messages.BodyChunk)
        )

    def half_close(self) -> None:
        """Closes the sending side once all queued frames are sent."""
        if not self.lost:
            self._half_close.request(self.transport)

    async def drain(self) -> None:
        """Waits until the write buffer is below its high-water mark.

        Raises:
            PeerConnectionLost: The connection is closed.
        """
        await self._can_write.wait()
        if self.lost:
            raise PeerConnectionLost("connection to the peer lost")

    def _process_buffer(self) -> None:
        start = 0
        while len(self._buffer) - start >= _LENGTH_PREFIX.size:
            (prefix,) = _LENGTH_PREFIX.unpack_from(self._buffer, start)
            size = prefix & ~_COMPRESSED_FLAG
            if size > messages.MAX_FRAME_BYTES:
                raise messages.MalformedMessage(
                    f"frame of {size} bytes is too large"
                )
            end = start + _LENGTH_PREFIX.size + size
            if len(self._buffer) < end:
                break
            data = bytes(self._buffer[start + _LENGTH_PREFIX.size : end])
            start = end
            if prefix & _COMPRESSED_FLAG:
                self._decompressor = self._decompressor or _FrameDecompressor()
                data = self._decompressor.decompress(data)
            self.on_frame(messages.decode_frame(data))
        del self._buffer[:start]


def compute_proof(key: bytes, nonce: bytes, peer_nonce: bytes) -> bytes:
    """Returns the proof that one side of a connection knows the key.

    Args:
        key: Shared key.
        nonce: Nonce of the side that proves it.
        peer_nonce: Nonce of the other side.
    """
    return hmac.digest(key, b"forklift" + nonce + peer_nonce, "sha256")


def new_nonce() -> bytes:
    """Returns the random nonce of one side of a connection."""
    return secrets.token_bytes(NONCE_BYTES)
