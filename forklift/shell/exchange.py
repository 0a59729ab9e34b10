"""A request and the place its answer goes to, whatever carries them."""

import asyncio
import dataclasses
import math
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Protocol

from forklift import errors
from forklift import messages
from forklift.shell import http

# A body up to this size travels with its request and can be sent again.
INLINE_BYTES = 16_384


class IncompleteBody(errors.ForkliftError):
    """A body ended before it was complete."""

    def __init__(self, detail: str):
        super().__init__(f"the body broke off ({detail}); send it again")


class Body:
    """A request's body: its first bytes, and a source of the rest."""

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
        """Whether `prefix` is all of it."""
        return self._rest is None

    @property
    def replayable(self) -> bool:
        """Whether it can be sent again from its start."""
        return self.complete or not self.consumed

    async def chunks(self) -> AsyncIterator[bytes]:
        """The whole body in pieces.

        Raises:
            IncompleteBody: It ended early.
        """
        if self.prefix:
            yield self.prefix
        if self._rest is not None:
            self.consumed = True
            async for piece in self._rest:
                yield piece


@dataclasses.dataclass(frozen=True)
class Request:
    """A request on its way through this process.

    Attributes:
        id: Identity that logs and answers carry.
        seq: Identity that fences know it by.
        service: Name of the service.
        route: Name of the route.
        method: HTTP method.
        path: Request target as the caller sent it.
        headers: End-to-end headers.
        length: Length of the body, -1 when chunked.
        body: The body.
        deadline: Monotonic seconds.
        idempotent: Whether a second run does no harm.
        origin: Service on the instance where it began.
        priority: Rank; 0 is the most urgent.
        soft_deadline: Monotonic seconds up to which an answer has its full
            worth.
        attempts: Targets that it may be sent to.
        fingerprint: Tells it from all others; the same when it comes again.
        organisation: Name of the organisation that calls; empty where the
            route is open and nobody said.
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
    attempts: int = 3
    fingerprint: bytes = b""
    organisation: str = ""


@dataclasses.dataclass(frozen=True)
class Head:
    """Head of an answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        length: Declared length of the body, -1 when chunked.
        target: Name of the target, empty for an answer of ours.
        load: Its load, where it is known.
    """

    status: int
    headers: http.Headers
    length: int
    target: str = ""
    load: messages.Load | None = None


class Sink(Protocol):
    """Where an answer goes: a caller, or a peer that asked."""

    @property
    def has_started(self) -> bool:
        """Whether the head was passed on, so that no other may be."""

    async def start(self, head: Head) -> None:
        """Passes the head on."""

    async def data(self, piece: bytes) -> None:
        """Passes a piece of the body on."""

    async def end(self) -> None:
        """The answer is whole."""


@dataclasses.dataclass(frozen=True)
class Ending:
    """How one attempt ended.

    Attributes:
        outcome: What became of it.
        reason: Why, where it was not answered.
        status: HTTP status, 0 where it was not answered.
        retry_after: Hint of the guard, seconds.
    """

    outcome: messages.Outcome
    reason: messages.Reason | None = None
    status: int = 0
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """How an attempt ended, and what the guard said of the target.

    Attributes:
        ending: How it ended.
        load: Load of the target, where it is known.
        target: Name of the target, empty where none was reached.
    """

    ending: Ending
    load: messages.Load | None = None
    target: str = ""


def not_run(
    reason: messages.Reason,
    retry_after: float = 0.0,
    load: messages.Load | None = None,
) -> Result:
    """A result that is proven not to have run."""
    outcome = messages.Outcome.NOT_RUN
    ending = Ending(outcome, reason, retry_after=retry_after)
    return Result(ending, load)


def unknown(
    reason: messages.Reason, load: messages.Load | None = None
) -> Result:
    """A result that may have run."""
    ending = Ending(messages.Outcome.UNKNOWN, reason)
    return Result(ending, load)


def answered(
    status: int, target: str, load: messages.Load | None = None
) -> Result:
    """A result that was answered whole."""
    ending = Ending(messages.Outcome.ANSWERED, None, status)
    return Result(ending, load, target)


class BodyStream:
    """A stream of body pieces between a producer and one consumer.

    The producer is bounded by the credit that `on_consumed` gives back.
    """

    def __init__(self, on_consumed: Callable[[int], None]):
        self._on_consumed = on_consumed
        self._pieces: list[bytes] = []
        self._ended = False
        self._broken = ""
        self._news = asyncio.Event()
        self.held = 0

    def feed(self, piece: bytes, end: bool) -> None:
        """The producer has a piece."""
        if piece:
            self._pieces.append(piece)
            self.held += len(piece)
        self._ended = self._ended or end
        self._news.set()

    def fail(self, detail: str) -> None:
        """The producer broke off."""
        if not self._ended:
            self._broken = detail
        self._news.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the pieces in order.

        Raises:
            IncompleteBody: The producer broke off.
        """
        while True:
            while self._pieces:
                piece = self._pieces.pop(0)
                self.held -= len(piece)
                yield piece
                self._on_consumed(len(piece))
            if self._ended:
                return
            if self._broken:
                raise IncompleteBody(self._broken)
            self._news.clear()
            await self._news.wait()
