"""How much an organisation may send, as all processes together see to it.

A limit is a token bucket: requests a second, and some more that may come at
once. Each process holds a part of it, or asks for single tokens.
"""

import dataclasses
import math

# Share of what the users allow beyond a limit that stored tokens may take. The
# rest covers requests that wait between their admission and their target, and
# views of the fleet that differ for a moment.
ROOM_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What may be run beyond a limit, over all processes together.

    Attributes:
        window: Seconds over which requests are counted.
        overshoot: Part of what the limit allows within the window.
        slack: Requests beside.
    """

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def depth(self, rate: float, burst: float) -> float:
        """Tokens that may be stored, at all processes together.

        >>> Bounds(5.0, 0.1, 20.0).depth(100.0, 50.0)
        80.0
        """
        allowed = rate * self.window + burst
        room = self.overshoot * allowed + self.slack
        return burst + ROOM_SHARE * room


class TokenBucket:
    """Tokens that are earned with time and spent one by one.

    >>> bucket = TokenBucket(0.0)
    >>> bucket.refill(1.0, 2.0, 3.0)
    >>> bucket.try_take(), bucket.try_take(), bucket.try_take()
    (True, True, False)
    """

    def __init__(self, now: float):
        self.tokens = 0.0
        self._at = now

    def refill(self, now: float, rate: float, depth: float) -> None:
        """Time passed.

        Args:
            now: Monotonic seconds.
            rate: Tokens that were earned each second since the last time.
            depth: Tokens that it holds at most.
        """
        earned = rate * max(0.0, now - self._at)
        self._at = max(self._at, now)
        self.tokens = max(0.0, min(depth, self.tokens + earned))

    def try_take(self) -> bool:
        """Spends one token; False when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait(self, rate: float) -> float:
        """Seconds until there is a token; infinite when none are earned."""
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / rate if rate > 0 else math.inf
