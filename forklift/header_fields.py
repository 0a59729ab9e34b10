"""Names of the header fields exchanged with callers and targets.

Other modules use the attributes of `HeaderNames`, so that a deployment can use
names of its own.
"""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of header fields, in lower case.

    Attributes:
        request_id: ID of a request; targets echo it. Empty if they don't.
        deadline: Milliseconds for which the sender waits for the response.
        origin: Service on the instance where the request originated.
        expected: Name of the only target that may run the request.
        not_run: Present on a rejection by a target if the request did not run.
        signature: Present on every response that a target itself produced.
            Empty if targets don't sign responses.
        target: Name of the target, in responses to health checks.
        load: Running requests, waiting requests and slots of a target, joined
            by commas.
        rate_limit: Requests per second that a target takes from all processes
            together, in its responses for as long as the limit lasts.
        leaving: "1" in all responses of a target that is leaving.
        key: Key of the calling organisation; removed before a request is
            forwarded.
        organisation: Name of the organisation, as passed to the target.
        credentials: Fields that distinguish one caller from another.
    """

    request_id: bytes
    deadline: bytes
    origin: bytes
    expected: bytes
    not_run: bytes
    signature: bytes
    target: bytes
    load: bytes
    rate_limit: bytes
    leaving: bytes
    key: bytes
    organisation: bytes
    credentials: tuple[bytes, ...] = (
        b"authorization",
        b"x-api-key",
        b"cookie",
    )

    @functools.cached_property
    def reserved(self) -> frozenset[bytes]:
        """Request fields that are removed if the sender has set them."""
        return frozenset(
            (
                self.deadline,
                self.origin,
                self.expected,
                self.key,
                self.organisation,
            )
        )


DEFAULT = HeaderNames(
    request_id=b"x-request-id",
    deadline=b"x-request-timeout-ms",
    origin=b"x-origin-service",
    expected=b"x-expected-target",
    not_run=b"x-not-run",
    signature=b"x-answer-signature",
    target=b"x-target",
    load=b"x-target-load",
    rate_limit=b"x-target-limit",
    leaving=b"x-target-leaving",
    key=b"x-organisation-key",
    organisation=b"x-organisation",
)
