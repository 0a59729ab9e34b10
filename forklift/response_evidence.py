"""Decides which responses of a target may be taken for those to a request.

A target in trouble may send more bytes after a complete response, or respond
twice. On a connection that is reused, such bytes arrive where the response to
the next request is due. They prove nothing about that request: neither that it
succeeded, nor that it was not run.

A target may also respond with a status that promises callers that the request
was not run, though it was.
"""

import dataclasses
import enum

from forklift import header_fields

# Status with which a target rejects a request that is meant for another one.
MISDIRECTED_STATUS = 421
_SUCCESS_STATUSES = range(200, 300)
# Statuses by which callers know that a request was not run.
_PROMISE_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


@dataclasses.dataclass(frozen=True)
class ResponseFields:
    """What a response shows of itself.

    Attributes:
        status: HTTP status.
        request_id: ID of the request that it names; None if it names none.
        signature: Signature of the target; None if there is none.
        target: Name of the target that it names; None if it names none.
    """

    status: int
    request_id: bytes | None
    signature: bytes | None = None
    target: bytes | None = None


class Owner(enum.Enum):
    """Which request a response belongs to."""

    # The request that waits for it.
    REQUEST = "request"
    # An earlier request on the connection.
    OTHER = "other"
    # No request, as far as the response shows.
    UNKNOWN = "unknown"


def find_owner(
    fields: ResponseFields,
    request_id: bytes,
    expected_target: bytes,
    is_first: bool,
    names: header_fields.HeaderNames,
) -> Owner:
    """Returns which request a response belongs to.

    >>> own = ResponseFields(200, b"r-1", b"signed")
    >>> find_owner(own, b"r-1", b"i-7", False, header_fields.DEFAULT).value
    'request'
    >>> find_owner(own, b"r-2", b"i-7", False, header_fields.DEFAULT).value
    'other'
    >>> bare = ResponseFields(503, None)
    >>> find_owner(bare, b"r-1", b"i-7", False, header_fields.DEFAULT).value
    'unknown'

    Args:
        fields: The response.
        request_id: ID that was sent with the request.
        expected_target: Name of the target that the request was sent to.
        is_first: Whether the connection has carried no response before. A
            target that has the address of another one rejects requests with the
            first response on a connection.
        names: Names of header fields.
    """
    if fields.request_id is not None:
        is_own = fields.request_id == request_id
        return Owner.REQUEST if is_own else Owner.OTHER
    if not names.request_id:
        return Owner.REQUEST
    is_of_another = fields.target not in (None, expected_target)
    is_misdirected = fields.status == MISDIRECTED_STATUS and is_of_another
    return Owner.REQUEST if is_misdirected and is_first else Owner.UNKNOWN


def is_unsigned_success(
    fields: ResponseFields, names: header_fields.HeaderNames
) -> bool:
    """Whether a success lacks the signature that shows that it is a target's.

    Args:
        fields: The response.
        names: Names of header fields.
    """
    is_unsigned = bool(names.signature) and fields.signature is None
    return is_unsigned and fields.status in _SUCCESS_STATUSES


def is_unproven_promise(status: int, idempotent: bool) -> bool:
    """Whether a response promises a caller wrongly that a request has not run.

    Callers repeat a request that is not idempotent only after such a promise.

    Args:
        status: Status of a response that does not tell that the request was
            not run.
        idempotent: Whether the request is idempotent.
    """
    return not idempotent and status in _PROMISE_STATUSES
