"""Requests, bodies and responses while a process handles them.

The same types serve for callers, peers and targets.
"""

import asyncio
import dataclasses
import math
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Protocol

from forklift import errors
from forklift import messages
from forklift import run_calls
from forklift.shell import http

# Maximum size in bytes of a body that is read completely before its request is
# forwarded. Such a body can be sent more than once.
MAX_INLINE_BYTES = 16_384


class IncompleteBody(errors.ForkliftError):
    """A body ended before it was complete."""

    def __init__(self, detail: str, remedy: str = "send it again"):
        super().__init__(f"the body is incomplete ({detail}); {remedy}")


class BodyTooLarge(IncompleteBody):
    """A body is longer than permitted; the rest of it is not read."""

    def __init__(self):
        super().__init__("it exceeds the size limit", "send a smaller one")


class BodyAlreadyRead(IncompleteBody):
    """A streamed body was read before, so its start is gone."""

    def __init__(self):
        super().__init__("another attempt has read it")


class Body:
    """The body of a request: a prefix and a stream of the rest.

    A body with a rest can be read only once.

    Attributes:
        prefix: The first bytes of the body, or the whole body.
        consumed: Whether a body with a rest was read, at least in part.
    """

    def __init__(
        self,
        prefix: bytes = b"",
        rest: AsyncIterator[bytes] | None = None,
    ):
        self.prefix = prefix
        self._rest = rest
        self.consumed = False
        # Why the rest is not read to its end; empty if it is.
        self._early_end = ""
        self._read_timeout: asyncio.Timeout | None = None

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
            BodyAlreadyRead: The body has a rest, and was or is being read.
            IncompleteBody: The body ended early.
        """
        if self.consumed:
            raise BodyAlreadyRead()
        self.consumed = self._rest is not None
        if self.prefix:
            yield self.prefix
        if self._rest is not None:
            while (chunk := await self._next_chunk()) is not None:
                yield chunk

    def end_early(self, detail: str) -> None:
        """Fails the current or next read of the rest that has to wait.

        Args:
            detail: Why the rest is not read to its end.
        """
        self._early_end = detail
        timeout = self._read_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    async def _next_chunk(self) -> bytes | None:
        """Returns the next chunk of the rest; None at its end."""
        # What has arrived is read even then: the end of the body may be part of
        # it, and the receiver may have the whole body already.
        timeout = 0.0 if self._early_end else None
        try:
            async with asyncio.timeout(timeout) as self._read_timeout:
                return await anext(self._rest, None)
        except TimeoutError:
            if not self._early_end:
                raise
            raise IncompleteBody(self._early_end) from None
        finally:
            self._read_timeout = None


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
        deadline: Monotonic time at which the request times out, seconds.
        idempotent: Whether the request may safely run more than once.
        origin: Service on the instance that received the request.
        priority: Priority; 0 is the most urgent.
        soft_deadline: Monotonic time until which a response meets the latency
            objective of the route, seconds.
        max_attempts: Maximum number of targets that the request is sent to.
        fingerprint: Hash by which repetitions of the same request are
            recognized.
        organisation: Name of the calling organisation; empty if the route
            allows anonymous callers and the request has no key.
        bulk: Whether the response is large.
        call: The run of a local target that makes the request, and what the
            request takes from it; None if it is not known to be a call.
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
    bulk: bool = False
    call: run_calls.Call | None = None

    @property
    def route_soft_deadline(self) -> float:
        """Soft deadline by the route alone, also of the call of a run."""
        if self.call is None:
            return self.soft_deadline
        return self.call.route_soft_deadline


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Head of a response: status and header fields.

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
    """Receiver of a response: a caller, or the peer that sent the request."""

    @property
    def has_started(self) -> bool:
        """Whether a head was passed on; no other response can follow it."""

    async def start(self, head: ResponseHead) -> None:
        """Passes the head on."""

    async def data(self, chunk: bytes) -> None:
        """Passes a chunk of the body on."""

    async def end(self) -> None:
        """Completes the response."""


@dataclasses.dataclass(frozen=True)
class Ending:
    """How a request, or one attempt of it, ended.

    Attributes:
        outcome: Whether the request was answered, did not run, or may have run.
        reason: Why there is no response; None if there is one.
        status: HTTP status; 0 if there is no response.
        retry_after: Seconds until a retry may succeed; 0 if there is no
            estimate.
    """

    outcome: messages.Outcome
    reason: messages.Reason | None = None
    status: int = 0
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """How a request, or one attempt of it, ended and which target responded.

    Attributes:
        ending: Outcome, reason and status.
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

    Flow control bounds the buffer: the producer sends more only after the
    consumer has read what was sent.

    Attributes:
        buffered_bytes: Number of bytes that the consumer has not read yet.
    """

    def __init__(self, on_consumed: Callable[[int], None]):
        """Creates an empty stream.

        Args:
            on_consumed: Called with the number of bytes of each chunk that was
                consumed, to grant the producer as much credit.
        """
        self._on_consumed = on_consumed
        self._chunks: list[bytes] = []
        self._ended = False
        self._failure_detail = ""
        self._changed = asyncio.Event()
        self._is_read = False
        self.buffered_bytes = 0

    def feed(self, chunk: bytes, end: bool) -> None:
        """Appends a chunk, which may be empty; `end` marks the last one."""
        if chunk:
            self._chunks.append(chunk)
            self.buffered_bytes += len(chunk)
        self._ended = self._ended or end
        self._changed.set()

    def fail(self, detail: str) -> None:
        """Ends the stream with an error, unless it has ended already."""
        if not self._ended:
            self._failure_detail = detail
        self._changed.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the chunks in order.

        Raises:
            BodyAlreadyRead: The stream was or is being read.
            IncompleteBody: The producer failed before the end.
        """
        if self._is_read:
            raise BodyAlreadyRead()
        self._is_read = True
        while True:
            while self._chunks:
                chunk = self._chunks.pop(0)
                self.buffered_bytes -= len(chunk)
                yield chunk
                self._on_consumed(len(chunk))
            if self._ended:
                return
            if self._failure_detail:
                raise IncompleteBody(self._failure_detail)
            self._changed.clear()
            await self._changed.wait()
