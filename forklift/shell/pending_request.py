"""A request that was sent to a peer, until its response is complete."""

import asyncio
from collections.abc import Callable

from forklift import messages
from forklift.shell import exchange
from forklift.shell import flow_control


class PendingRequest:
    """A request sent to a peer that is still in progress.

    Attributes:
        is_given_up: Whether the request was ended though the peer, which is
            silent, may still run it.
        head: Future of the start of the response; a `Failure` if there is no
            response, None if the peer is lost or the request was given up.
        response_body: Body of the response; None before the response starts.
        window: Credit for sending the body of the request.
        failure: Failure that ended the request; None if there was none.
    """

    def __init__(self, prepare_resend: Callable[[], bool]):
        """Creates a request without a response.

        Args:
            prepare_resend: See `ClientConnection.send_request`.
        """
        self._prepare_resend = prepare_resend
        self.is_given_up = False
        self.head: asyncio.Future = asyncio.get_running_loop().create_future()
        self.response_body: exchange.BodyStream | None = None
        self.window = flow_control.SendWindow(0)
        self.failure: messages.Failure | None = None

    @property
    def has_response(self) -> bool:
        """Whether a response has begun to arrive."""
        return self.response_body is not None

    def start_response(
        self, head: messages.ResponseStart, on_consumed: Callable[[int], None]
    ) -> None:
        """Records the start of the response, unless the request has ended.

        Args:
            head: Start of the response.
            on_consumed: Called with the size of each part of the body that was
                read, to grant the peer as much credit.
        """
        if self.head.done():
            return
        self.response_body = exchange.BodyStream(on_consumed)
        self.head.set_result(head)

    def feed(self, chunk: messages.BodyChunk) -> None:
        """Appends a part of the body of the response."""
        if self.response_body is not None:
            self.response_body.feed(chunk.data, chunk.is_last)

    def end_by_peer(self, failure: messages.Failure) -> None:
        """Ends the request with a failure that the peer reports."""
        self.failure = failure
        self._end(failure, "the response ended early")

    def give_up_if_resendable(self) -> None:
        """Ends the request if another target can serve it."""
        if not self.is_given_up and self._prepare_resend():
            self.is_given_up = True
            self.end_by_loss()

    def end_by_loss(self) -> None:
        """Ends the request, as no response is expected any more."""
        self.window.fail()
        self._end(None, "connection to the peer lost")

    def failure_result(self) -> exchange.Result:
        """Returns the result of a request whose response broke off."""
        if self.failure is not None:
            return to_result(self.failure)
        return exchange.unknown(messages.Reason.PEER_LOST)

    def _end(self, failure: messages.Failure | None, detail: str) -> None:
        if not self.head.done():
            self.head.set_result(failure)
        elif self.response_body is not None:
            self.response_body.fail(detail)


def to_result(failure: messages.Failure) -> exchange.Result:
    """Returns the result of a request that the peer reports as failed."""
    if failure.outcome is messages.Outcome.NOT_RUN:
        return exchange.not_run(
            failure.reason, failure.retry_after, failure.load
        )
    return exchange.unknown(failure.reason, failure.load)
