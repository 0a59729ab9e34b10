"""How often something happened of late: what is longer ago counts less."""

import math

# Seconds over which a share is taken: twice those over which the floor on
# capacity is counted, as few requests come within these.
SHARE_WINDOW = 4.0
# Weight of one word of another process, and what all of them together count for
# against own requests.
TOLD_GAIN = 0.2
TOLD_COUNT = 10.0


class DecayingCounter:
    """Counts what happens, and forgets it within some seconds.

    >>> rate = DecayingCounter(2.0)
    >>> for tenth in range(100):
    ...     rate.record(tenth / 10)
    >>> round(rate.count(9.9)), round(rate.mean_interval(9.9), 1)
    (20, 0.1)
    """

    def __init__(self, seconds: float):
        """Makes a rate of what has never happened.

        Args:
            seconds: After these an event counts for a third.
        """
        self._seconds = seconds
        self._count = 0.0
        self._at = -math.inf

    def record(self, now: float) -> None:
        """It happened."""
        self._count = self.count(now) + 1.0
        self._at = now

    def count(self, now: float) -> float:
        """How often it happened within about those seconds."""
        if not self._count:
            return 0.0
        return self._count * math.exp(-(now - self._at) / self._seconds)

    def mean_interval(self, now: float) -> float:
        """Seconds between two of them, in the mean; infinite without any."""
        recent = self.count(now)
        return self._seconds / recent if recent else math.inf


class FailureRate:
    """Which share of the requests of a service fail, by a few of many eyes.

    An entry of a large fleet sees one request a second, and a single failure
    says little. So others' shares count as well: each answer tells that of the
    process it came from.
    """

    def __init__(self):
        self.requests = DecayingCounter(SHARE_WINDOW)
        self.failures = DecayingCounter(SHARE_WINDOW)
        self._told = 0.0
        self._told_at = -math.inf

    def record_remote(self, share: float, now: float) -> None:
        """Another process told the share that it sees."""
        weight = math.exp(-(now - self._told_at) / SHARE_WINDOW)
        gain = max(TOLD_GAIN, 1 - weight)
        self._told += gain * (share - self._told)
        self._told_at = now

    def local(self, now: float) -> float:
        """The share that this process sees itself, 0 to 1."""
        requests = self.requests.count(now)
        failures = self.failures.count(now)
        return min(1.0, failures / max(1.0, requests))

    def combined(self, now: float) -> float:
        """The share by all that is known, 0 to 1."""
        age = now - self._told_at
        told = TOLD_COUNT * math.exp(-age / SHARE_WINDOW)
        failures = self.failures.count(now) + told * self._told
        return min(1.0, failures / max(1.0, self.requests.count(now) + told))
