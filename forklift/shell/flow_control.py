"""Credit-based flow control of bodies on connections between processes.

Each stream has its own credit, which bounds the memory of the receiver.
"""

import asyncio

from forklift import messages
from forklift.shell import framing

# Initial credit of a stream in bytes.
FLOW_CONTROL_WINDOW = 262_144


class SendWindow:
    """Flow-control credit for sending the body of one stream.

    Attributes:
        lost: Whether the stream is closed.
    """

    def __init__(self, credit: int):
        self._credit = credit
        self._changed = asyncio.Event()
        self.lost = False

    def add_credit(self, size: int) -> None:
        """Adds credit in bytes granted by the receiver."""
        self._credit += size
        self._changed.set()

    def fail(self) -> None:
        """Fails all waits for credit, as the stream is closed."""
        self.lost = True
        self._changed.set()

    async def acquire(self, limit: int) -> int:
        """Waits for credit and consumes up to `limit` bytes of it.

        Returns:
            Number of bytes that may be sent.

        Raises:
            framing.PeerConnectionLost: The stream is closed.
        """
        while self._credit <= 0 and not self.lost:
            self._changed.clear()
            await self._changed.wait()
        if self.lost:
            raise framing.PeerConnectionLost("stream closed")
        size = min(limit, self._credit)
        self._credit -= size
        return size


async def send_chunks(
    frames: framing.FrameConnection,
    window: SendWindow,
    stream: int,
    chunk: bytes,
) -> None:
    """Sends part of a body as the credit of its stream allows.

    Raises:
        framing.PeerConnectionLost: The connection or the stream is closed.
    """
    start = 0
    while start < len(chunk):
        size = await window.acquire(
            min(len(chunk) - start, FLOW_CONTROL_WINDOW)
        )
        data = chunk[start : start + size]
        frames.send(messages.BodyChunk(stream, data, False))
        await frames.drain()
        start += size
