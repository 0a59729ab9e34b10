"""Holds a small answer back until it is known to be whole."""

from forklift.shell import exchange

# Answers up to this size are held until whole, bytes.
MAX_BUFFERED_BYTES = 262_144


class ResponseClaim:
    """The right to answer, which one of several attempts takes."""

    def __init__(self):
        self.owner: BufferedResponse | None = None

    def try_acquire(self, response: "BufferedResponse") -> bool:
        """Takes it, if it is free; True when this attempt has it."""
        if self.owner is None:
            self.owner = response
        return self.owner is response

    def release(self, response: "BufferedResponse") -> None:
        """An attempt that passed nothing on is over."""
        if self.owner is response:
            self.owner = None


class BufferedResponse:
    """Holds a small answer back until it is whole.

    One that breaks off never begins, so the caller sees a clear failure, and
    one that failed can be replaced by another target's. Of attempts that run
    beside each other one answers; what the others bring is dropped.
    """

    def __init__(self, sink: exchange.Sink, is_failure, claim: ResponseClaim):
        self._sink = sink
        self._claim = claim
        self._is_failure = is_failure
        self._head: exchange.Head | None = None
        self._body = bytearray()
        self._whole = False

    @property
    def has_started(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.has_started

    @property
    def is_withheld(self) -> bool:
        """Whether a whole answer is held back."""
        return self._head is not None and self._whole and not self.has_started

    @property
    def length(self) -> int:
        """Size of the answer that is held; 0 where there is none."""
        return self._head.length if self._head is not None else 0

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        if 0 <= head.length <= MAX_BUFFERED_BYTES:
            self._head = head
        elif self._claim.try_acquire(self):
            await self._sink.start(head)

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        if self._head is not None:
            self._body += piece
        elif self._claim.try_acquire(self):
            await self._sink.data(piece)

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._whole = True
        if self._head is None:
            if self._claim.try_acquire(self):
                await self._sink.end()
            return
        failed = self._is_failure is not None
        failed = failed and self._is_failure(self._head.status)
        if not failed and self._claim.try_acquire(self):
            await self.flush()

    async def flush(self) -> exchange.Result:
        """Passes the held answer on."""
        head = self._head
        await self._sink.start(head)
        if self._body:
            await self._sink.data(bytes(self._body))
        await self._sink.end()
        return exchange.answered(head.status, head.target, head.load)
