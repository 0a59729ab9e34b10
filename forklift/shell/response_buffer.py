"""Buffers small responses until they are complete."""

from collections.abc import Callable

from forklift.shell import exchange

# Maximum size of a response body that is buffered until it is complete, bytes.
MAX_BUFFERED_BYTES = 262_144


class ResponseClaim:
    """The exclusive right to respond, shared by attempts of one request.

    Attributes:
        owner: The response that owns the claim; None if it is free.
    """

    def __init__(self):
        self.owner: BufferedResponse | None = None

    def try_acquire(self, response: "BufferedResponse") -> bool:
        """Acquires the claim if it is free; returns whether `response` owns it.

        The owner may call this repeatedly.
        """
        if self.owner is None:
            self.owner = response
        return self.owner is response

    def release(self, response: "BufferedResponse") -> None:
        """Releases the claim if `response` owns it."""
        if self.owner is response:
            self.owner = None


class BufferedResponse:
    """A sink that buffers a small response until it is complete.

    An incomplete response is not passed on, so that the caller gets an error
    response instead. The head of a large one is passed on with its first bytes,
    so that another target can respond until then. A complete response that
    counts as a failure is withheld, so that a response of another target can
    replace it. Of several concurrent attempts only one responds; the responses
    of the others are dropped.

    Attributes:
        is_superseded: Whether a large response was dropped, as another attempt
            had responded.
    """

    def __init__(
        self,
        sink: exchange.Sink,
        is_failure,
        claim: ResponseClaim,
        on_head: Callable[[exchange.ResponseHead], None] = lambda head: None,
    ):
        """Creates an empty buffer.

        Args:
            sink: Receives the response.
            is_failure: Returns whether a response with the given status is
                withheld; None if none is.
            claim: The claim that the attempts of the request share.
            on_head: Called with the head of the response.
        """
        self._sink = sink
        self._claim = claim
        self._is_failure = is_failure
        self._on_head = on_head
        self._head: exchange.ResponseHead | None = None
        self._body = bytearray()
        self._is_complete = False
        self._is_streaming = False
        self.is_superseded = False

    @property
    def has_started(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.has_started

    @property
    def is_withheld(self) -> bool:
        """Whether a complete response is buffered and not passed on."""
        return self._is_small and self._is_complete and not self.has_started

    @property
    def length(self) -> int:
        """Length of the buffered body, bytes; 0 if no response is buffered."""
        return self._head.length if self._is_small else 0

    async def start(self, head: exchange.ResponseHead) -> None:
        """See `exchange.Sink`."""
        self._on_head(head)
        self._head = head

    async def data(self, chunk: bytes) -> None:
        """See `exchange.Sink`."""
        if self._is_small:
            self._body += chunk
        elif await self._try_stream():
            await self._sink.data(chunk)

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._is_complete = True
        if not self._is_small:
            if await self._try_stream():
                await self._sink.end()
            return
        failed = self._is_failure is not None
        failed = failed and self._is_failure(self._head.status)
        if not failed and self._claim.try_acquire(self):
            await self.flush()

    @property
    def is_large(self) -> bool:
        """Whether a large response has begun to arrive."""
        return self._head is not None and not self._is_small

    @property
    def _is_small(self) -> bool:
        """Whether a response has begun that is buffered until its end."""
        if self._head is None:
            return False
        return 0 <= self._head.length <= MAX_BUFFERED_BYTES

    async def _try_stream(self) -> bool:
        """Passes the head on, unless it was or another attempt has responded.

        Returns:
            Whether this response is the one that is passed on.
        """
        if self._is_streaming:
            return True
        if self.is_superseded or not self._claim.try_acquire(self):
            self.is_superseded = True
            return False
        self._is_streaming = True
        await self._sink.start(self._head)
        return True

    async def flush(self) -> exchange.Result:
        """Passes the buffered response on to the sink."""
        head = self._head
        await self._sink.start(head)
        if self._body:
            await self._sink.data(bytes(self._body))
        await self._sink.end()
        return exchange.answered(head.status, head.target, head.load)
