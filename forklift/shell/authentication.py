"""Authenticates control messages and detects replayed ones.

The message authentication code covers the address of the receiver, the boot id
of the sender, a counter, the time and the message. As messages can be
reordered, a sliding window of recent counters is kept for each sender.
"""

import hmac
import struct
from collections.abc import Callable

from forklift import messages

_HEADER = struct.Struct("!QQd")
_MAC_BYTES = 16
# Maximum difference between the time in a message and the local clock, in
# seconds.
MAX_AGE_SECONDS = 10.0
# Number of recent counters that are tracked for each sender. Messages with
# older counters are rejected. A message overtakes only a few others.
REPLAY_WINDOW = 256
# Number of senders above which replay windows that were not used lately are
# dropped. Replayed messages of their senders are rejected because of their age.
MAX_TRACKED_BOOTS = 1024


class _ReplayWindow:
    """Sliding window of the counters received from one sender.

    >>> seen = _ReplayWindow()
    >>> [seen.accept(number) for number in (5, 3, 5, 4, 3, 400, 6)]
    [True, True, False, True, False, True, False]
    """

    def __init__(self):
        self.last_used = 0.0
        self._highest = 0
        # Bit n is set if the counter n below the highest was received.
        self._bits = 0

    def accept(self, counter: int) -> bool:
        """Records a counter; returns whether it is new."""
        if counter > self._highest:
            self._bits <<= min(REPLAY_WINDOW, counter - self._highest)
            self._bits = (self._bits | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._highest = counter
            return True
        bit = 1 << (self._highest - counter)
        if self._highest - counter >= REPLAY_WINDOW or self._bits & bit:
            return False
        self._bits |= bit
        return True


class MessageAuthenticator:
    """Signs outgoing messages and verifies incoming ones."""

    def __init__(self, boot: int, key: bytes, wall_clock: Callable[[], float]):
        """Creates an authenticator that has seen no message.

        Args:
            boot: Boot id of this process.
            key: Shared key.
            wall_clock: Returns the wall-clock time in seconds.
        """
        self._boot = boot
        self._key = key
        self._wall_clock = wall_clock
        self._counter = 0
        self._window_by_boot: dict[int, _ReplayWindow] = {}

    def sign(self, receiver: str, data: bytes) -> bytes:
        """Returns the message with its header and authentication code.

        Args:
            receiver: Address that the message is sent to.
            data: The message.
        """
        self._counter += 1
        header = _HEADER.pack(self._boot, self._counter, self._wall_clock())
        return header + self._compute_mac(receiver, header, data) + data

    def verify(self, own_address: str, signed: bytes) -> bytes:
        """Returns the message without its header and authentication code.

        Args:
            own_address: Address that the message was sent to.
            signed: The message as received.

        Raises:
            messages.MalformedMessage: The code is wrong, or the message is too
                old or was received before.
        """
        start = _HEADER.size + _MAC_BYTES
        if len(signed) < start:
            raise messages.MalformedMessage(
                "message is shorter than its header"
            )
        header = signed[: _HEADER.size]
        mac = signed[_HEADER.size : start]
        data = signed[start:]
        if not hmac.compare_digest(
            mac, self._compute_mac(own_address, header, data)
        ):
            raise messages.MalformedMessage(
                "wrong authentication code; the shared key differs"
            )
        boot, counter, sent_at = _HEADER.unpack(header)
        self._check_fresh(boot, counter, sent_at)
        return data

    def _check_fresh(self, boot: int, counter: int, sent_at: float) -> None:
        now = self._wall_clock()
        if abs(now - sent_at) > MAX_AGE_SECONDS:
            raise messages.MalformedMessage(
                "message time differs too much from the clock"
            )
        window = self._window_by_boot.setdefault(boot, _ReplayWindow())
        window.last_used = now
        if not window.accept(counter):
            raise messages.MalformedMessage("message was replayed")
        if len(self._window_by_boot) > MAX_TRACKED_BOOTS:
            self._window_by_boot = {
                known_boot: window
                for known_boot, window in self._window_by_boot.items()
                if now - window.last_used <= 2 * MAX_AGE_SECONDS
            }

    def _compute_mac(self, address: str, header: bytes, data: bytes) -> bytes:
        authenticated_data = address.encode() + b"\0" + header + data
        return hmac.digest(self._key, authenticated_data, "sha256")[:_MAC_BYTES]
