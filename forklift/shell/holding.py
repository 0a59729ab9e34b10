"""Holds a small answer back until it is known to be whole."""

from forklift.shell import exchange

# Answers up to this size are held until whole, bytes.
HOLD_BYTES = 262_144


class Holding:
    """Holds a small answer back until it is whole.

    One that breaks off never begins, so the caller sees a clear failure, and
    one that failed can be replaced by another target's.
    """

    def __init__(self, sink: exchange.Sink, is_failure):
        self._sink = sink
        self._is_failure = is_failure
        self._head: exchange.Head | None = None
        self._body = bytearray()
        self._whole = False

    @property
    def begun(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.begun

    @property
    def holds(self) -> bool:
        """Whether a whole answer is held back."""
        return self._head is not None and self._whole and not self.begun

    async def start(self, head: exchange.Head) -> None:
        """See `exchange.Sink`."""
        if 0 <= head.length <= HOLD_BYTES:
            self._head = head
            return
        await self._sink.start(head)

    async def data(self, piece: bytes) -> None:
        """See `exchange.Sink`."""
        if self._head is None:
            await self._sink.data(piece)
        else:
            self._body += piece

    async def end(self) -> None:
        """See `exchange.Sink`."""
        self._whole = True
        if self._head is None:
            await self._sink.end()
            return
        failed = self._is_failure is not None
        failed = failed and self._is_failure(self._head.status)
        if not failed:
            await self.flush()

    async def flush(self) -> exchange.Result:
        """Passes the held answer on."""
        head = self._head
        await self._sink.start(head)
        if self._body:
            await self._sink.data(bytes(self._body))
        await self._sink.end()
        return exchange.answered(head.status, head.target, head.load)
