"""Decompresses data of peers within a bound."""

import zlib

from forklift import messages


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Returns zlib data decompressed.

    >>> decompress(zlib.compress(b"x" * 1000), 1000) == b"x" * 1000
    True

    Args:
        data: The compressed data.
        max_bytes: Maximum size of the result.

    Raises:
        messages.MalformedMessage: The data is corrupt or truncated, or expands
            to more than the maximum.
    """
    stream = zlib.decompressobj()
    try:
        decompressed = stream.decompress(data, max_bytes)
    except zlib.error as error:
        raise messages.MalformedMessage(str(error)) from error
    if not stream.eof:
        raise messages.MalformedMessage(
            f"message is truncated or expands to over {max_bytes} bytes"
        )
    return decompressed
