"""Checks responses that peers relay before they are passed on.

A peer of an earlier version relays whatever its target sends.
"""

from forklift import errors
from forklift import header_fields
from forklift import response_evidence
from forklift.shell import exchange
from forklift.shell import http


class InvalidResponse(errors.ForkliftError):
    """A relayed response may not be passed on."""

    def __init__(self, detail: str):
        super().__init__(
            f"a peer relayed an invalid response ({detail}); "
            "check the log of its target"
        )


class CheckedSink:
    """Passes on a response whose head is valid; implements `exchange.Sink`."""

    def __init__(
        self,
        sink: exchange.Sink,
        header_names: header_fields.HeaderNames,
        idempotent: bool,
    ):
        """Creates a sink.

        Args:
            sink: Receives the response.
            header_names: Names of header fields.
            idempotent: Whether the request is idempotent.
        """
        self._sink = sink
        self._idempotent = idempotent
        self._header_names = header_names

    @property
    def has_started(self) -> bool:
        """See `exchange.Sink`."""
        return self._sink.has_started

    async def start(self, head: exchange.ResponseHead) -> None:
        """See `exchange.Sink`.

        Raises:
            InvalidResponse: The head is not that of a target's own response,
                or promises without proof that the request was not run.
        """
        names = self._header_names
        fields = response_evidence.ResponseFields(
            head.status,
            http.value(head.headers, names.request_id),
            http.value(head.headers, names.signature),
        )
        if response_evidence.is_unsigned_success(fields, names):
            raise InvalidResponse("a success without a signature")
        if response_evidence.is_unproven_promise(head.status, self._idempotent):
            raise InvalidResponse(
                f"status {head.status} does not prove that it was not run"
            )
        await self._sink.start(head)

    async def data(self, chunk: bytes) -> None:
        """See `exchange.Sink`."""
        await self._sink.data(chunk)

    async def end(self) -> None:
        """See `exchange.Sink`."""
        await self._sink.end()
