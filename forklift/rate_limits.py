"""Token buckets for the rate limits of organisations.

A limit consists of a rate, in requests per second, and a burst. It applies to
all processes together. Each process leases a share of it or requests single
tokens.
"""

import dataclasses
import math

# Fraction of the permitted overshoot that stored tokens may use. The rest
# covers delays between admission and target, and differing views of the fleet.
STORABLE_OVERSHOOT = 0.4


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Permitted overshoot of a limit, over all processes together.

    Attributes:
        window: Seconds over which requests are counted.
        overshoot: Fraction by which requests in a window may exceed the limit.
        slack: Number of requests that are permitted in addition.
    """

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def depth(self, rate: float, burst: float) -> float:
        """Number of tokens that all processes together may store.

        >>> Bounds(5.0, 0.1, 20.0).depth(100.0, 50.0)
        80.0
        """
        allowed = rate * self.window + burst
        overshoot = self.overshoot * allowed + self.slack
        return burst + STORABLE_OVERSHOOT * overshoot


class TokenBucket:
    """A token bucket; the caller sets rate and depth on each refill.

    >>> bucket = TokenBucket(0.0)
    >>> bucket.refill(1.0, 2.0, 3.0)
    >>> bucket.try_take(), bucket.try_take(), bucket.try_take()
    (True, True, False)

    Attributes:
        tokens: Tokens in the bucket; negative if tokens were granted before
            they are earned.
    """

    def __init__(self, now: float):
        self.tokens = 0.0
        self._at = now

    def refill(self, now: float, rate: float, depth: float) -> None:
        """Adds the tokens for the time since the last refill.

        Args:
            now: Monotonic seconds.
            rate: Tokens per second since the last refill.
            depth: Capacity of the bucket, tokens.
        """
        earned = rate * max(0.0, now - self._at)
        self._at = max(self._at, now)
        self.tokens = min(depth, self.tokens + earned)

    def try_take(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait(self, rate: float, tokens: float) -> float:
        """Seconds until the bucket has some tokens.

        >>> TokenBucket(0.0).wait(2.0, 1.0)
        0.5

        Args:
            rate: Tokens per second; the wait is infinite if it is 0.
            tokens: Number of tokens that the bucket is to have.
        """
        if self.tokens >= tokens:
            return 0.0
        return (tokens - self.tokens) / rate if rate > 0 else math.inf
