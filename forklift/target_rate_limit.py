"""Rate limit that one incarnation of a target has named.

The limit applies to the requests of all processes together. It lasts until a
response without a limit, or with another one.
"""

import math

# Relative change of the limit from which it is announced to other processes.
MIN_ANNOUNCED_CHANGE = 0.2


class TargetRateLimit:
    """The rate limit of one target, at the process that owns the target.

    Attributes:
        rate: Requests per second; infinite if there is no limit.
    """

    def __init__(self):
        self.rate = math.inf
        self._changed_at = -math.inf
        self._announced_rate = math.inf

    @property
    def finite_rate(self) -> float | None:
        """The rate for reports and messages; None if there is no limit."""
        return self.rate if math.isfinite(self.rate) else None

    def record(self, rate: float, sent_at: float, now: float) -> bool:
        """Records the limit in a response.

        A lower limit applies at once. A response may arrive late, so a higher
        limit, or none, applies only if the request was sent after the present
        limit had become known.

        Args:
            rate: Requests per second; infinite if the response names no limit.
            sent_at: Monotonic seconds at which the request was sent.
            now: Monotonic seconds.

        Returns:
            Whether the limit has changed so much that it should be announced.
        """
        if rate == self.rate or (
            rate > self.rate and sent_at < self._changed_at
        ):
            return False
        self.rate = rate
        self._changed_at = now
        return self._is_announcement_due()

    def _is_announcement_due(self) -> bool:
        before = self._announced_rate
        is_change = math.isfinite(before) and math.isfinite(self.rate)
        small_change = MIN_ANNOUNCED_CHANGE * before
        if is_change and abs(self.rate - before) < small_change:
            return False
        self._announced_rate = self.rate
        return True
