"""Requests and responses on their way through a process.

They look the same whether they come from a caller, a peer or a target.
"""

import asyncio
import dataclasses
import math
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Protocol

from forklift import errors
from forklift import messages
from forklift.shell import http

# Bodies of up to this size are read completely before the request is forwarded
# and can be sent more than once, bytes.
MAX_INLINE_BYTES = 16_384


class IncompleteBody(errors.ForkliftError):
    """A body ended before it was complete."""

    def __init__(self, detail: str):
        super().__init__(f"the body is incomplete ({detail}); send it again")


class Body:
    """The body of a request: a prefix and a stream of the rest."""

    def __init__(
        self,
        prefix: bytes = b"",
        rest: AsyncIterator[bytes] | None = None,
    ):
        self.prefix = prefix
        self._rest = rest
        self.consumed = False

    @property
    def complete(self) -> bool:
        """Whether `prefix` is the whole body."""
        return self._rest is None

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self.complete or not self.consumed

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the whole body in chunks.

        Raises:
            IncompleteBody: The body ended early.
        """
        if self.prefix:
            yield self.prefix
        if self._rest is not None:
            self.consumed = True
            async for chunk in self._rest:
                yield chunk


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as this process handles it.

    Attributes:
        id: Request ID for logs and responses.
        seq: Sequence number in this process; fences refer to it.
        service: Name of the service.
        route: Name of the route.
        method: HTTP method.
        path: Request target as the caller sent it.
        headers: End-to-end header fields.
        length: Length of the body, bytes; -1 if it is chunked.
        body: The body.
        deadline: Monotonic seconds.
        idempotent: Whether the request may safely run more than once.
        origin: Service on the instance that received the request.
        priority: Priority; 0 is the most urgent.
        soft_deadline: Monotonic seconds until which the latency objective of
            the route is met.
        max_attempts: Maximum number of targets that the request is sent to.
        fingerprint: Fingerprint of the request; equal if it is sent again.
        organisation: Name of the calling organisation; empty if the route
            allows anonymous callers and the request has no key.
    """

    id: str
    seq: int
    service: str
    route: str
    method: bytes
    path: bytes
    headers: http.Headers
    length: int
    body: Body
    deadline: float
    idempotent: bool
    origin: str = ""
    priority: int = 0
    soft_deadline: float = math.inf
    max_attempts: int = 3
    fingerprint: bytes = b""
    organisation: str = ""


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and header fields of a response.

    Attributes:
        status: HTTP status.
        headers: End-to-end header fields.
        length: Declared length of the body, bytes; -1 if it is chunked.
        target: Name of the target; empty if forklift itself responds.
        load: Load of the target, if known.
    """

    status: int
    headers: http.Headers
    length: int
    target: str = ""
    load: messages.Load | None = None


class Sink(Protocol):
    """Receives a response: a caller or the peer that sent the request."""

    @property
    def has_started(self) -> bool:
        """Whether a head was passed on; no other response can follow then."""

    async def start(self, head: Head) -> None:
        """Passes the head on."""

    async def data(self, chunk: bytes) -> None:
        """Passes a chunk of the body on."""

    async def end(self) -> None:
        """Completes the response."""


@dataclasses.dataclass(frozen=True)
class Ending:
    """How one attempt ended.

    Attributes:
        outcome: Whether the request was answered, did not run, or may have run.
        reason: Why there is no response; None if there is one.
        status: HTTP status; 0 if there is no response.
        retry_after: Seconds until a retry may succeed, as the target's process
            suggests.
    """

    outcome: messages.Outcome
    reason: messages.Reason | None = None
    status: int = 0
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """How one attempt ended, and the target that it was sent to.

    Attributes:
        ending: How it ended.
        load: Load of the target, if known.
        target: Name of the target; empty if none responded.
    """

    ending: Ending
    load: messages.Load | None = None
    target: str = ""


def not_run(
    reason: messages.Reason,
    retry_after: float = 0.0,
    load: messages.Load | None = None,
) -> Result:
    """Returns the result of a request that provably did not run."""
    outcome = messages.Outcome.NOT_RUN
    ending = Ending(outcome, reason, retry_after=retry_after)
    return Result(ending, load)


def unknown(
    reason: messages.Reason, load: messages.Load | None = None
) -> Result:
    """Returns the result of a request that may have run."""
    ending = Ending(messages.Outcome.UNKNOWN, reason)
    return Result(ending, load)


def answered(
    status: int, target: str, load: messages.Load | None = None
) -> Result:
    """Returns the result of a request with a complete response."""
    ending = Ending(messages.Outcome.ANSWERED, None, status)
    return Result(ending, load, target)


class BodyStream:
    """A stream of body chunks from a producer to one consumer.

    Flow control bounds the buffer: `on_consumed` grants the producer credit for
    the bytes that the consumer took.
    """

    def __init__(self, on_consumed: Callable[[int], None]):
        self._on_consumed = on_consumed
        self._chunks: list[bytes] = []
        self._ended = False
        self._failure = ""
        self._changed = asyncio.Event()
        self.buffered_bytes = 0

    def feed(self, chunk: bytes, end: bool) -> None:
        """Appends a chunk; `end` marks the last one."""
        if chunk:
            self._chunks.append(chunk)
            self.buffered_bytes += len(chunk)
        self._ended = self._ended or end
        self._changed.set()

    def fail(self, detail: str) -> None:
        """Marks the stream as broken, unless it has ended."""
        if not self._ended:
            self._failure = detail
        self._changed.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the chunks in order.

        Raises:
            IncompleteBody: The producer failed before the end.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.pop(0)
                self.buffered_bytes -= len(chunk)
                yield chunk
                self._on_consumed(len(chunk))
            if self._ended:
                return
            if self._failure:
                raise IncompleteBody(self._failure)
            self._changed.clear()
            await self._changed.wait()
