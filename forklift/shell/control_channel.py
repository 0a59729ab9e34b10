"""Sends and receives control messages: small ones by UDP, others by TCP.

Messages are one-way and may be lost; the protocols tolerate this. If a shared
key is set, each message carries an authentication code (`authentication`).
"""

import errno
import zlib
from collections.abc import Callable

import structlog

from forklift import compression
from forklift import messages
from forklift.shell import authentication
from forklift.shell import datagrams
from forklift.shell import push_sockets

_log = structlog.get_logger(__name__)

# Minimum size in bytes of a message that is compressed. Rumors about several
# processes shrink to a third, a single description hardly.
MIN_COMPRESS_BYTES = 256
# First byte of zlib data; no encoded message starts with it.
_ZLIB_HEADER_BYTE = 0x78
# Maximum number of ephemeral ports to try. TCP and UDP listen at the same port
# number, which may be in use for one of the protocols.
MAX_PORT_ATTEMPTS = 16


class ControlChannel:
    """Sends and receives control messages; see `interfaces.Transport`.

    Attributes:
        sent: Number of messages sent.
        sent_bytes: Bytes of the messages sent.
        dropped: Number of messages that could not be sent.
        received: Number of messages received, rejected ones included.
        received_bytes: Bytes of the messages received.
        rejected: Number of malformed or unauthenticated messages received.
    """

    def __init__(
        self,
        address: str,
        boot: int,
        key: bytes,
        wall_clock: Callable[[], float],
        on_message: Callable[[messages.Control], None],
        public_address: str = "",
    ):
        """Creates a channel that is not open.

        Args:
            address: Address to listen at, "ip:port".
            boot: Boot id of this process.
            key: Shared key; empty to send messages without authentication.
            wall_clock: Returns the wall-clock time in seconds.
            on_message: Called with each valid message.
            public_address: Address that peers send to, if it is not the listen
                address.
        """
        self._address = address
        # If set, authentication codes of received messages cover this address.
        self._public_address = public_address
        self._authenticator = (
            authentication.MessageAuthenticator(boot, key, wall_clock)
            if key
            else None
        )
        self._on_message = on_message
        self._datagrams = datagrams.DatagramSocket(self._handle_data)
        self._push_sockets = push_sockets.PushSockets(self._handle_data)
        self.sent = 0
        self.sent_bytes = 0
        self.dropped = 0
        self.received = 0
        self.received_bytes = 0
        self.rejected = 0

    async def open(self) -> None:
        """Starts to listen; the system chooses the port if it is 0.

        Raises:
            OSError: The address is in use.
        """
        for attempts_left in reversed(range(MAX_PORT_ATTEMPTS)):
            bound_address = await self._push_sockets.open(self._address)
            try:
                self._datagrams.open(bound_address)
            except OSError as error:
                ephemeral = bound_address != self._address
                if error.errno != errno.EADDRINUSE or not (
                    ephemeral and attempts_left
                ):
                    raise
                self._push_sockets.stop_listening()
                continue
            self._address = bound_address
            return

    @property
    def address(self) -> str:
        """Listen address, "ip:port"; with the chosen port after `open`."""
        return self._address

    @property
    def reconnects(self) -> int:
        """Number of connections replaced because the peer did not reply."""
        return self._push_sockets.reconnects

    def close(self) -> None:
        """Closes all sockets."""
        self._datagrams.close()
        self._push_sockets.close()

    def send(
        self,
        address: str,
        message: messages.Control,
        new_connection: bool = False,
    ) -> bool:
        """See `interfaces.Transport`."""
        data = _compress(messages.encode(message))
        if self._authenticator is not None:
            data = self._authenticator.sign(address, data)
        if len(data) <= datagrams.MAX_DATAGRAM_BYTES:
            accepted = self._datagrams.send(address, data)
        else:
            accepted = self._push_sockets.send(address, data, new_connection)
        if not accepted:
            self.dropped += 1
            return False
        self.sent += 1
        self.sent_bytes += len(data)
        return True

    def _handle_data(self, data: bytes) -> None:
        self.received += 1
        self.received_bytes += len(data)
        try:
            if self._authenticator is not None:
                data = self._authenticator.verify(
                    self._public_address or self._address, data
                )
            message = messages.decode_control(_decompress(data))
        except messages.MalformedMessage as error:
            self.rejected += 1
            _log.warning("control_message_rejected", detail=str(error))
            return
        try:
            self._on_message(message)
        except Exception:
            _log.exception(
                "control_message_handler_failed", kind=type(message).__name__
            )


def _compress(data: bytes) -> bytes:
    """Compresses large messages.

    >>> len(_compress(b"x" * 1000)) < 100
    True
    """
    return zlib.compress(data) if len(data) >= MIN_COMPRESS_BYTES else data


def _decompress(data: bytes) -> bytes:
    r"""Decompresses a message if it is compressed.

    >>> _decompress(_compress(b"x" * 1000)) == b"x" * 1000, _decompress(b"\x91")
    (True, b'\x91')

    Raises:
        messages.MalformedMessage: The data is corrupt or exceeds the maximum
            size of a message.
    """
    if data[:1] != bytes((_ZLIB_HEADER_BYTE,)):
        return data
    return compression.decompress(data, messages.MAX_CONTROL_BYTES)
