"""Control messages between processes: small ones by datagram, others by nng.

Each message is one way and may be lost, which is how the decisions treat it.
With a shared key each carries a code (`sealing`).
"""

import errno
import zlib
from collections.abc import Callable

import structlog

from forklift import messages
from forklift.shell import authentication
from forklift.shell import datagrams
from forklift.shell import push_sockets

# What `Control.open` raises besides OSError.
ListenError = push_sockets.pynng.NNGException

_log = structlog.get_logger(__name__)

# Larger messages are compressed, bytes: news of several processes shrinks to a
# third, a single description hardly.
MIN_COMPRESS_BYTES = 256
# The first byte of what zlib makes; no message of ours begins with it.
_ZLIB = 0x78
# Ports that are tried where the system chooses: both kinds share a number.
MAX_PORT_ATTEMPTS = 16


class ControlChannel:
    """Sends and receives control messages; see `interfaces.Transport`."""

    def __init__(
        self,
        address: str,
        boot: int,
        key: bytes,
        wall: Callable[[], float],
        on_message: Callable[[messages.Control], None],
        public: str = "",
    ):
        self._address = address
        # Where others send to, if that is another address; codes cover it.
        self._public = public
        self._seal = (
            authentication.MessageAuthenticator(boot, key, wall)
            if key
            else None
        )
        self._on_message = on_message
        self._datagrams = datagrams.DatagramSocket(self._take)
        self._push_sockets = push_sockets.PushSockets(self._take)
        self.sent = 0
        self.sent_bytes = 0
        self.dropped = 0
        self.received = 0
        self.received_bytes = 0
        self.rejected = 0

    def open(self) -> None:
        """Listens; port 0 lets the system choose one.

        Raises:
            pynng.AddressInUse, OSError: The address is taken.
        """
        for left in reversed(range(MAX_PORT_ATTEMPTS)):
            found = self._push_sockets.open(self._address)
            try:
                self._datagrams.open(found)
            except OSError as error:
                chosen = found != self._address
                if error.errno != errno.EADDRINUSE or not (chosen and left):
                    raise
                self._push_sockets.stop_listening()
                continue
            self._address = found
            return

    @property
    def address(self) -> str:
        """Where it listens, once it does."""
        return self._address

    @property
    def reconnects(self) -> int:
        """Connections that were opened anew as one fell silent."""
        return self._push_sockets.reconnects

    async def close(self) -> None:
        """Closes all sockets."""
        self._datagrams.close()
        await self._push_sockets.close()

    def send(
        self,
        address: str,
        message: messages.Control,
        new_connection: bool = False,
    ) -> bool:
        """See `interfaces.Transport`."""
        data = _pack(messages.encode(message))
        if self._seal is not None:
            data = self._seal.sign(address, data)
        if len(data) <= datagrams.MAX_DATAGRAM_BYTES:
            taken = self._datagrams.send(address, data)
        else:
            taken = self._push_sockets.send(address, data, new_connection)
        if not taken:
            self.dropped += 1
            return False
        self.sent += 1
        self.sent_bytes += len(data)
        return True

    def _take(self, data: bytes) -> None:
        self.received += 1
        self.received_bytes += len(data)
        try:
            if self._seal is not None:
                data = self._seal.verify(self._public or self._address, data)
            message = messages.decode_control(_unpack(data))
        except messages.MalformedMessage as error:
            self.rejected += 1
            _log.warning("control_refused", detail=str(error))
            return
        try:
            self._on_message(message)
        except Exception:
            _log.exception("control_failed", kind=type(message).__name__)


def _pack(data: bytes) -> bytes:
    """Compresses what gains by it.

    >>> len(_pack(b"x" * 1000)) < 100
    True
    """
    return zlib.compress(data) if len(data) >= MIN_COMPRESS_BYTES else data


def _unpack(data: bytes) -> bytes:
    r"""Expands what was compressed.

    >>> _unpack(_pack(b"x" * 1000)) == b"x" * 1000, _unpack(b"\x91")
    (True, b'\x91')

    Raises:
        messages.MalformedMessage: It is damaged, or larger than a message may
            be.
    """
    if data[:1] != bytes((_ZLIB,)):
        return data
    stream = zlib.decompressobj()
    most = messages.MAX_CONTROL_BYTES
    try:
        found = stream.decompress(data, most)
    except zlib.error as error:
        raise messages.MalformedMessage(str(error)) from error
    if not stream.eof:
        raise messages.MalformedMessage(
            f"cut short, or expands to over {most} bytes"
        )
    return found
