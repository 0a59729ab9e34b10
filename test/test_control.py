"""Control messages: compressed, and bounded when expanded."""

import zlib

import pytest

from forklift import messages
from forklift.shell import control


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(b"x" * (messages.MAX_CONTROL_BYTES + 1)),
        zlib.compress(b"x" * 1000)[:-3],
        b"\x78 no deflate",
    ],
    ids=["too large", "cut short", "damaged"],
)
def test_what_does_not_expand_as_it_should_is_refused(data):
    with pytest.raises(messages.Malformed):
        control._unpack(data)
