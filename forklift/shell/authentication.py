"""Codes on control messages: none is forged, passed to another or replayed.

A code covers the receiver's address, the sender's boot, a counter and the
bytes. Messages may overtake each other, so of each boot the counters just below
the highest are remembered one by one.
"""

import hmac
import struct
from collections.abc import Callable

from forklift import messages

_HEADER = struct.Struct("!QQd")
_CODE_BYTES = 16
# Seconds by which the sender's clock may differ, the way included.
MAX_AGE = 10.0
# Counters below the highest that are told apart; older ones are refused. A
# message that overtakes another does so by a few.
REPLAY_WINDOW = 256
# Boots that are remembered; an older message is refused by its time alone.
MAX_BOOTS = 1024


class _ReplayWindow:
    """Counters of one boot that were seen.

    >>> seen = _ReplayWindow()
    >>> [seen.accept(number) for number in (5, 3, 5, 4, 3, 400, 6)]
    [True, True, False, True, False, True, False]
    """

    def __init__(self):
        self.at = 0.0
        self._highest = 0
        # One bit for each counter from the highest down.
        self._bits = 0

    def accept(self, counter: int) -> bool:
        """Whether a counter is new."""
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
    """Puts codes on messages, and checks those of others."""

    def __init__(self, boot: int, key: bytes, wall: Callable[[], float]):
        self._boot = boot
        self._key = key
        self._wall = wall
        self._counter = 0
        self._seen_by_boot: dict[int, _ReplayWindow] = {}

    def sign(self, receiver: str, data: bytes) -> bytes:
        """A message with its code, for one address."""
        self._counter += 1
        header = _HEADER.pack(self._boot, self._counter, self._wall())
        return header + self._code(receiver, header, data) + data

    def verify(self, own: str, sealed: bytes) -> bytes:
        """The message in what arrived at this address.

        Raises:
            messages.MalformedMessage: Nobody who knows the key sent it here,
                now.
        """
        start = _HEADER.size + _CODE_BYTES
        if len(sealed) < start:
            raise messages.MalformedMessage("too short for its code")
        header = sealed[: _HEADER.size]
        code = sealed[_HEADER.size : start]
        data = sealed[start:]
        if not hmac.compare_digest(code, self._code(own, header, data)):
            raise messages.MalformedMessage("the shared key differs")
        boot, counter, sent = _HEADER.unpack(header)
        self._check_fresh(boot, counter, sent)
        return data

    def _check_fresh(self, boot: int, counter: int, sent: float) -> None:
        now = self._wall()
        if abs(now - sent) > MAX_AGE:
            raise messages.MalformedMessage("its time is too far from ours")
        seen = self._seen_by_boot.setdefault(boot, _ReplayWindow())
        seen.at = now
        if not seen.accept(counter):
            raise messages.MalformedMessage("played again")
        if len(self._seen_by_boot) > MAX_BOOTS:
            self._seen_by_boot = {
                known: seen
                for known, seen in self._seen_by_boot.items()
                if now - seen.at <= 2 * MAX_AGE
            }

    def _code(self, address: str, header: bytes, data: bytes) -> bytes:
        text = address.encode() + b"\0" + header + data
        return hmac.digest(self._key, text, "sha256")[:_CODE_BYTES]
