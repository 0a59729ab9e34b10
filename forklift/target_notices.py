"""Notices that targets add to their responses.

A target in need names the rate of requests that it takes. A target that is
about to end announces that it is leaving.
"""

import dataclasses
import math
import re
from collections.abc import Callable
from typing import TypeVar

from forklift import errors
from forklift import invalid_input

_Value = TypeVar("_Value")

# A decimal number without sign or exponent; longer ones are invalid.
_DECIMAL_NUMBER = re.compile(rb"(?=\.?\d)\d{0,9}(\.\d{0,9})?")
_LEAVING = b"1"
_NOT_LEAVING = (b"", b"0")
_WHITESPACE = b" \t"


class InvalidNotice(errors.ForkliftError):
    """A response field holds no valid notice."""

    def __init__(self, detail: str):
        super().__init__(
            f"invalid notice in a response ({detail}); the last valid notice "
            "is still used; check the software of the target"
        )


@dataclasses.dataclass(frozen=True)
class TargetNotice:
    """The notices in one response of a target.

    Attributes:
        rate_limit: Requests per second that the target takes from all
            processes together; infinite if it names no limit, None if the
            field is invalid.
        leaving: Whether the target is leaving.
    """

    rate_limit: float | None = math.inf
    leaving: bool = False


def parse_rate_limit(value: bytes | None) -> float:
    """Parses the field that names a rate limit; infinite if it is absent.

    >>> parse_rate_limit(b"2.5"), parse_rate_limit(None)
    (2.5, inf)

    Raises:
        InvalidNotice: The value is not a decimal number.
    """
    if value is None:
        return math.inf
    digits = value.strip(_WHITESPACE)
    if not _DECIMAL_NUMBER.fullmatch(digits):
        raise InvalidNotice("the rate limit is not a decimal number")
    return float(digits)


def parse_leaving(value: bytes | None) -> bool:
    """Parses the field by which a target announces that it is leaving.

    >>> parse_leaving(b"1"), parse_leaving(b"0"), parse_leaving(None)
    (True, False, False)

    Raises:
        InvalidNotice: The value is neither "0" nor "1".
    """
    stripped = (value or b"").strip(_WHITESPACE)
    if stripped == _LEAVING:
        return True
    if stripped in _NOT_LEAVING:
        return False
    raise InvalidNotice("the leaving field is neither 0 nor 1")


def parse(
    rate_limit: bytes | None,
    leaving: bytes | None,
    source: invalid_input.Source,
    target: str,
) -> TargetNotice:
    """Parses the notices in a response; records invalid ones.

    Args:
        rate_limit: Value of the field that names a rate limit, if present.
        leaving: Value of the field that announces a leave, if present.
        source: What kind of response it is, for the record of invalid input.
        target: Name of the target, for the same record.
    """
    leaves = _parse_field(parse_leaving, leaving, source, target)
    return TargetNotice(
        _parse_field(parse_rate_limit, rate_limit, source, target),
        leaves is True,
    )


def _parse_field(
    parse_value: Callable[[bytes | None], _Value],
    value: bytes | None,
    source: invalid_input.Source,
    target: str,
) -> _Value | None:
    """Parses one field; returns None and records it if it is invalid."""
    try:
        return parse_value(value)
    except InvalidNotice as error:
        invalid_input.record(source, str(error), target=target)
        return None
