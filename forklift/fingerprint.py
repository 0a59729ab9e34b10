"""Fingerprints that recognize a request which is sent again.

A retry has another request ID and may arrive at any process, but its method,
host, path, caller and body are the same.
"""

import hashlib

# Size of a fingerprint in bytes; prevents collisions that a caller crafts.
DIGEST_SIZE = 16


def compute(
    method: bytes,
    host: bytes,
    path: bytes,
    caller: tuple[bytes, ...],
    length: int,
    body: bytes,
) -> bytes:
    """Computes the fingerprint of a request.

    Args:
        method: HTTP method.
        host: Host of the request; case is ignored.
        path: Request target as the caller sent it.
        caller: Values that identify the caller.
        length: Length of the body, bytes; -1 if it is chunked.
        body: The body, or a prefix of fixed length if it is larger.

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
        # The length prefix keeps the boundaries between parts unambiguous.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()
