"""Reads the header fields of callers' requests that concern forklift."""

from forklift import errors
from forklift import header_fields
from forklift.shell import http


def forwarded(
    headers: http.Headers, names: header_fields.HeaderNames
) -> http.Headers:
    """Returns the end-to-end fields, without those that forklift sets."""
    reserved = names.reserved
    return tuple(h for h in http.end_to_end(headers) if h[0] not in reserved)


def named_timeout(headers: http.Headers, name: bytes) -> float | None:
    """Returns the timeout that the caller names, in seconds; None if none.

    Raises:
        errors.BadRequest: The timeout is not an integer.
    """
    value = http.value(headers, name)
    if value is None:
        return None
    try:
        return max(0.0, int(value) / 1000)
    except (ValueError, OverflowError) as error:
        raise errors.BadRequest(
            f"{name.decode()} is no number", "send whole milliseconds"
        ) from error
