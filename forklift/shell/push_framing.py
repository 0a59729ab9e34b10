"""Wire format of large control messages: push and pull over a byte stream.

It is the TCP mapping of the Scalability Protocols, which earlier versions speak
through nng. Each side first sends a header that names its socket type. Then the
push side sends messages, each after its size.
"""

import struct

from forklift import messages

_HEADER_MAGIC = b"\0SP\0"
_HEADER = struct.Struct("!4sHH")
_SIZE = struct.Struct("!Q")
# Numbers of the socket types.
_PUSH = 0x50
_PULL = 0x51
# Header that each type of socket sends.
PUSH_HEADER = _HEADER.pack(_HEADER_MAGIC, _PUSH, 0)
PULL_HEADER = _HEADER.pack(_HEADER_MAGIC, _PULL, 0)
HEADER_BYTES = _HEADER.size


def frame(data: bytes) -> bytes:
    r"""Returns a message with its size before it.

    >>> frame(b"ab")
    b'\x00\x00\x00\x00\x00\x00\x00\x02ab'
    """
    return _SIZE.pack(len(data)) + data


class Decoder:
    r"""Splits the received bytes of one connection into messages.

    >>> decoder = Decoder(PUSH_HEADER)
    >>> decoder.feed(PUSH_HEADER + frame(b"one") + frame(b"two")[:9])
    [b'one']
    >>> decoder.is_partial, decoder.feed(b"wo"), decoder.is_partial
    (True, [b'two'], False)

    Attributes:
        has_header: Whether the header of the peer has arrived.
    """

    def __init__(self, expected_header: bytes):
        """Creates a decoder that has received nothing.

        Args:
            expected_header: Header that the peer must send.
        """
        self._expected_header = expected_header
        self._buffer = bytearray()
        self.has_header = False

    @property
    def is_partial(self) -> bool:
        """Whether the header, or a part of a message, is yet to come."""
        return not self.has_header or bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Bytes received of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages that are complete with these bytes.

        Raises:
            messages.MalformedMessage: The header is not the expected one, or a
                message is too large. Later bytes can't be decoded.
        """
        self._buffer += data
        if not self.has_header and not self._take_header():
            return []
        complete = []
        start = 0
        while len(self._buffer) - start >= _SIZE.size:
            (size,) = _SIZE.unpack_from(self._buffer, start)
            if size > messages.MAX_CONTROL_BYTES:
                raise messages.MalformedMessage(
                    f"message of {size} bytes is too large"
                )
            end = start + _SIZE.size + size
            if len(self._buffer) < end:
                break
            complete.append(bytes(self._buffer[start + _SIZE.size : end]))
            start = end
        del self._buffer[:start]
        return complete

    def _take_header(self) -> bool:
        """Checks and removes the header; returns False if it is incomplete."""
        received = bytes(self._buffer[:HEADER_BYTES])
        if not self._expected_header.startswith(received):
            raise messages.MalformedMessage(
                f"connection began with {received.hex()}, which is not the "
                "header of a process's control channel"
            )
        if len(received) < HEADER_BYTES:
            return False
        del self._buffer[:HEADER_BYTES]
        self.has_header = True
        return True
