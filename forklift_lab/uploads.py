"""A caller that sends long bodies, in parts, and may leave before their end."""

import asyncio
import contextlib
import dataclasses
import fcntl
import hashlib
import random
import sys
import termios

from forklift.platform import platform_headers
from forklift.shell import tcp_stream
from forklift_lab import scripted

# Sizes of the bodies in bytes, most of them beyond what a process reads before
# it sends a request on.
SIZES = (2_000, 17_000, 24_000, 60_000)
PART_BYTES = 4_000
# Size of the body of a caller that sends it whole and leaves while it waits:
# more than a process reads before it sends the request on.
WAITING_BYTES = 300_000
# Seconds for which such a caller waits.
WAITS = (0.2, 0.6)
# Seconds between two parts: one upload in three is slow.
PAUSES = (0.0, 0.0, 0.02)
# Milliseconds that a caller allows.
DEADLINE_MS = 3_000
HANGS_AFTER = 30.0
_END = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Upload:
    """A request with a body.

    Attributes:
        id: Its identity.
        path: Its path.
        body: The whole body.
        is_chunked: Whether it is sent in chunks, else with its length.
        parts_sent: Number of parts after which the caller leaves; None if it
            stays.
        pause: Seconds between two parts.
        waits: Seconds after the whole body at which the caller leaves without
            an answer; None if it stays, or leaves before.
    """

    id: str
    path: str
    body: bytes
    is_chunked: bool
    parts_sent: int | None
    pause: float
    waits: float | None = None

    @property
    def is_left(self) -> bool:
        """Whether the caller leaves before it has an answer."""
        return self.parts_sent is not None or self.waits is not None

    @property
    def digest(self) -> bytes:
        """Hash of the whole body."""
        return digest(self.body)


def digest(body: bytes) -> bytes:
    """Hash of a body."""
    return hashlib.sha256(body).digest()


def draw(rng: random.Random, request_id: str, path: str) -> Upload:
    """Draws an upload; callers leave some before and some after their end."""
    if rng.random() < 0.2:
        body = rng.randbytes(WAITING_BYTES)
        waits = rng.uniform(*WAITS)
        return Upload(
            request_id, path, body, rng.random() < 0.5, None, 0.0, waits
        )
    body = rng.randbytes(rng.choice(SIZES))
    count = -(-len(body) // PART_BYTES)
    parts_sent = rng.randrange(count) if rng.random() < 0.25 else None
    return Upload(
        request_id,
        path,
        body,
        rng.random() < 0.5,
        parts_sent,
        rng.choice(PAUSES),
    )


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller saw of its upload.

    Attributes:
        status: Status of the response; 0 if there was no whole head, or if the
            caller has left.
        own: Whether the response is that of the request.
        close_arrived: Whether the caller has left and all bytes before the end
            of its connection had arrived. Else the end waits for room, too.
    """

    status: int
    own: bool = True
    close_arrived: bool = False


async def send(address: str, upload: Upload) -> Outcome:
    """Sends a request, and leaves if the upload is to be left."""
    writer = None
    try:
        async with asyncio.timeout(HANGS_AFTER):
            host, port = tcp_stream.split_address(address)
            reader, writer = await asyncio.open_connection(host, port)
            answer = asyncio.create_task(reader.readuntil(_END))
            try:
                await _write(writer, upload, answer)
                if upload.waits is not None:
                    await asyncio.wait((answer,), timeout=upload.waits)
                if upload.is_left:
                    is_open = not writer.transport.is_closing()
                    arrived = is_open and not unacknowledged(writer)
                    return Outcome(0, close_arrived=arrived)
                head = await answer
                status = int(head.split(b" ", 2)[1])
                if status != 200:
                    return Outcome(status)
                body = await reader.readexactly(len(scripted.BODY))
            finally:
                answer.cancel()
                await asyncio.gather(answer, return_exceptions=True)
    except (OSError, EOFError, TimeoutError):
        return Outcome(0)
    finally:
        if writer is not None:
            writer.close()
    name = platform_headers.PLATFORM.request_id
    own = name + b": " + upload.id.encode()
    return Outcome(
        status, own.lower() in head.lower() and body == scripted.BODY
    )


def unacknowledged(writer: asyncio.StreamWriter) -> int:
    """Number of written bytes that the other side has not acknowledged."""
    sock = writer.get_extra_info("socket")
    raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
    queued = writer.transport.get_write_buffer_size()
    return queued + int.from_bytes(raw, sys.byteorder)


async def _write(
    writer: asyncio.StreamWriter, upload: Upload, answer: asyncio.Task
) -> None:
    """Writes the parts until the caller leaves or has its answer."""
    framing = f"content-length: {len(upload.body)}"
    if upload.is_chunked:
        framing = "transfer-encoding: chunked"
    lines = (
        f"POST {upload.path} HTTP/1.1",
        "host: h",
        framing,
        f"{platform_headers.PLATFORM.request_id.decode()}: {upload.id}",
        f"{platform_headers.PLATFORM.deadline.decode()}: {DEADLINE_MS}",
    )
    writer.write("\r\n".join(lines).encode() + _END)
    starts = range(0, len(upload.body), PART_BYTES)
    for number, start in enumerate(starts):
        if number == upload.parts_sent or answer.done():
            return
        part = upload.body[start : start + PART_BYTES]
        if upload.is_chunked:
            part = b"%x\r\n%s\r\n" % (len(part), part)
        writer.write(part)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        if upload.pause:
            await asyncio.sleep(upload.pause)
    if upload.is_chunked and upload.parts_sent is None:
        writer.write(b"0\r\n\r\n")
