"""Notices in the responses of targets."""

import math

import pytest

from forklift import target_notices


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (None, math.inf),
        (b"2.4", 2.4),
        (b" 12\t", 12.0),
        (b".5", 0.5),
        (b"3.", 3.0),
        (b"0", 0.0),
    ],
)
def test_rate_limit_is_a_decimal_number(value, rate):
    assert target_notices.parse_rate_limit(value) == rate


@pytest.mark.parametrize(
    "value",
    [b"", b".", b"-1", b"+1", b"1e3", b"nan", b"inf", b"1,2", b"9" * 400],
)
def test_invalid_rate_limit_is_rejected(value):
    with pytest.raises(target_notices.InvalidNotice):
        target_notices.parse_rate_limit(value)


@pytest.mark.parametrize(
    ("value", "leaving"),
    [(None, False), (b"", False), (b"0", False), (b"1", True), (b" 1 ", True)],
)
def test_leaving_is_zero_or_one(value, leaving):
    assert target_notices.parse_leaving(value) is leaving


@pytest.mark.parametrize("value", [b"true", b"2", b"1, 1"])
def test_invalid_leaving_is_rejected(value):
    with pytest.raises(target_notices.InvalidNotice):
        target_notices.parse_leaving(value)
