"""Heads of targets' responses, and how complete responses are forwarded."""

import dataclasses
import re
from collections.abc import Callable

import h11

from forklift import header_fields
from forklift import messages
from forklift.shell import exchange
from forklift.shell import http

# Maximum idle time of a connection if the target sends no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_SECONDS = 0.8
# Fraction of the Keep-Alive timeout for which a connection may be idle, so that
# it is not reused just as the target closes it.
KEEP_ALIVE_FRACTION = 0.7
# Responses of at most this size are buffered until they are complete.
MAX_BUFFERED_BYTES = 262_144
_BODILESS_STATUSES = (204, 304)
# Values of more than nine digits are invalid.
_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(
    rb"timeout\s*=\s*(\d{1,9})\b", re.IGNORECASE
)


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Head of a target's response.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        length: Declared length of the body; -1 if none is declared.
        closes: Whether the target closes the connection after the response.
        keep_alive: Seconds for which the connection may be idle.
    """

    status: int
    headers: http.Headers
    length: int
    closes: bool
    keep_alive: float


def parse_head(
    response: h11.Response, method: bytes, names: header_fields.HeaderNames
) -> ResponseHead:
    """Returns the head of a response.

    Args:
        response: The response.
        method: HTTP method of the request.
        names: Names of header fields.
    """
    headers = http.fields(response)
    chunked = http.value(headers, b"transfer-encoding") is not None
    declared = http.value(headers, b"content-length")
    status = response.status_code
    bodiless = method == b"HEAD" or status in _BODILESS_STATUSES
    length = int(declared) if declared and not chunked else -1
    if bodiless and declared is None:
        length = 0
    connection_options = http.value(headers, b"connection") or b""
    is_delimited = chunked or declared is not None or bodiless
    closes = b"close" in connection_options.lower() or not is_delimited
    end_to_end = tuple(
        header for header in http.end_to_end(headers) if header[0] != names.load
    )
    return ResponseHead(
        status, end_to_end, length, closes, _keep_alive_seconds(headers)
    )


def _keep_alive_seconds(headers: http.Headers) -> float:
    """Returns the seconds for which the connection may be idle."""
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(
        http.value(headers, b"keep-alive") or b""
    )
    if match is None:
        return DEFAULT_KEEP_ALIVE_SECONDS
    return int(match[1]) * KEEP_ALIVE_FRACTION


class ResponseForwarder:
    """Forwards a response; buffers small responses until they are complete.

    If a small response turns out to be incomplete, nothing of it was forwarded,
    so the request can still be retried.
    """

    def __init__(
        self,
        sink: exchange.Sink,
        head: ResponseHead,
        incarnation: str,
        load: Callable[[], messages.Load],
    ):
        self._sink = sink
        self._head = head
        self._incarnation = incarnation
        self._load = load
        self._buffer = bytearray()
        self._has_started = False

    async def data(self, chunk: bytes) -> None:
        """Forwards or buffers a chunk of the body."""
        if self._has_started:
            await self._sink.data(chunk)
            return
        self._buffer += chunk
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            await self._start(self._head.length)

    async def end(self) -> None:
        """Handles the end of a complete response."""
        if not self._has_started:
            await self._start(len(self._buffer))
        await self._sink.end()

    async def _start(self, length: int) -> None:
        self._has_started = True
        head = exchange.ResponseHead(
            self._head.status,
            self._head.headers,
            length,
            self._incarnation,
            self._load(),
        )
        await self._sink.start(head)
        if self._buffer:
            await self._sink.data(bytes(self._buffer))
            self._buffer.clear()
