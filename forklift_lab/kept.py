"""A caller that keeps one connection, and tells how it ended.

It looks at its socket itself, for only there an end tells from a reset. A
process that ends a connection while bytes lie unread in its socket resets it;
one that ends it in good order, after an answer that says so, reads on for a
while and drops what crosses the end. So a plain end after a whole request says
that it had been read, unless such an answer came just before.
"""

import asyncio
import errno
import re
import socket

from forklift.platform import platform_headers
from forklift.shell import tcp_stream
from forklift_lab import scripted

_CHUNK = 65_536
_END = b"\r\n\r\n"
_CLOSES = b"connection: close"
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
# What the platform's callers allow, milliseconds.
DEADLINE_MS = 2000


class Ended(ConnectionError):
    """The connection ended without a whole answer.

    Attributes:
        after: Seconds from the last byte of the request to a plain end; 0
            where the connection was reset.
        told: Whether an answer before had said that the connection closes.
    """

    def __init__(self, after: float = 0.0, told: bool = False):
        self.after = after
        self.told = told
        super().__init__("ended without an answer")


class Kept:
    """One connection of a caller to one process."""

    def __init__(self, address: str):
        self._address = address
        self._end: socket.socket | None = None
        # Loop seconds at which something was sent last.
        self._sent_at = 0.0
        # Whether an answer said that the connection closes.
        self._told = False

    async def open(self) -> None:
        """Connects.

        Raises:
            OSError: Nobody listens.
        """
        self._end = socket.socket()
        self._end.setblocking(False)
        self._end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        place = tcp_stream.split_address(self._address)
        await asyncio.get_running_loop().sock_connect(self._end, place)

    def close(self) -> None:
        """Ends the connection."""
        if self._end is not None:
            self._end.close()

    async def ask(
        self, method: str, path: str, request_id: str, gap: float = 0.0
    ) -> tuple[int, bool]:
        """Sends one request; returns its status and whether it is its own.

        Args:
            method: Its method.
            path: Its path.
            request_id: Its identity.
            gap: Seconds between its first line and the rest.

        Raises:
            Ended: No whole answer came.
        """
        head = _head(method, path, request_id)
        if gap:
            cut = head.index(b"\r\n") + 2
            self._send(head[:cut])
            head = head[cut:]
            await asyncio.sleep(gap)
        self._send(head)
        answer = await self._answer()
        own = platform_headers.PLATFORM.request_id + b": " + request_id.encode()
        status = int(answer.split(b" ", 2)[1])
        whole = own.lower() in answer.lower() and answer.endswith(scripted.BODY)
        return status, status != 200 or whole

    def _send(self, data: bytes) -> None:
        """Sends bytes; where the other side has ended, a reset follows."""
        try:
            self._end.send(data)
        except OSError as error:
            raise Ended() from error
        self._sent_at = asyncio.get_running_loop().time()

    async def _answer(self) -> bytes:
        answer = b""
        while not _whole(answer):
            try:
                loop = asyncio.get_running_loop()
                piece = await loop.sock_recv(self._end, _CHUNK)
            except OSError as error:
                raise Ended() from error
            if not piece:
                raise Ended(self._plainly_after(), self._told)
            answer += piece
        head = answer.partition(_END)[0]
        self._told = self._told or _CLOSES in head.lower()
        return answer

    def _plainly_after(self) -> float:
        """Seconds since the request; 0 where a reset followed the end."""
        error = self._end.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error in (errno.EPIPE, errno.ECONNRESET):
            return 0.0
        return asyncio.get_running_loop().time() - self._sent_at


def _head(method: str, path: str, request_id: str) -> bytes:
    lines = (
        f"{method} {path} HTTP/1.1",
        "host: h",
        "content-length: 0",
        f"{platform_headers.PLATFORM.request_id.decode()}: {request_id}",
        f"{platform_headers.PLATFORM.deadline.decode()}: {DEADLINE_MS}",
    )
    return "\r\n".join(lines).encode() + _END


def _whole(answer: bytes) -> bool:
    head, end, body = answer.partition(_END)
    found = _LENGTH.search(head)
    return bool(end) and len(body) >= (int(found[1]) if found else 0)
