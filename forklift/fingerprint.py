"""Tells whether two requests are the same one, come again.

What a caller sends a second time has another id, and may arrive anywhere. It
has the same method, host, path, caller and body.
"""

import hashlib

# Long enough that nobody finds two contents of one fingerprint, and so can have
# one request taken for another, bytes.
DIGEST_SIZE = 16


def compute(
    method: bytes,
    host: bytes,
    path: bytes,
    caller: tuple[bytes, ...],
    length: int,
    body: bytes,
) -> bytes:
    """The fingerprint of a request.

    Args:
        method: HTTP method.
        host: Host that it is for.
        path: Request target as the caller sent it.
        caller: What tells its caller from others.
        length: Length of the body, -1 when chunked and not known.
        body: The body; of a large one its beginning, always as much.

    >>> compute(b"GET", b"h", b"/a", (), 0, b"") == compute(
    ...     b"GET", b"h", b"/a", (), 0, b""
    ... )
    True
    >>> compute(b"GET", b"h", b"/a", (b"x",), 0, b"") == compute(
    ...     b"GET", b"h", b"/ax", (), 0, b""
    ... )
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    size = str(length).encode()
    for part in (method, host.lower(), path, size, *caller):
        # The length keeps two parts from being read as others.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()
