"""Counts what a process did, in plain numbers that cost next to nothing.

Metrics are built from them only when somebody reads metrics.
"""

import bisect
import collections

# Upper bounds of the buckets of durations, seconds.
BOUNDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Histogram:
    """Durations by bucket.

    >>> histogram = Histogram()
    >>> histogram.add(0.003); histogram.add(100.0)
    >>> histogram.cumulative()[1], histogram.cumulative()[-1]
    (('0.005', 1), ('+Inf', 2))
    """

    def __init__(self):
        self.sum = 0.0
        self._counts = [0] * (len(BOUNDS) + 1)

    def add(self, seconds: float) -> None:
        """Counts a duration."""
        self.sum += seconds
        self._counts[bisect.bisect_left(BOUNDS, seconds)] += 1

    def cumulative(self) -> list[tuple[str, int]]:
        """Counts up to each bound, as histograms are read."""
        total = 0
        found = []
        for bound, count in zip((*BOUNDS, "+Inf"), self._counts, strict=True):
            total += count
            found.append((str(bound), total))
        return found


class Counters:
    """The counters and histograms of one process."""

    def __init__(self):
        self.requests_by_outcome: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.durations_by_service: dict[str, Histogram] = {}
        self.ejections_by_signal: collections.Counter[str] = (
            collections.Counter()
        )

    def record_refusal(self, reason: str) -> None:
        """What came was refused before it was a request of any service."""
        self.requests_by_outcome[("not-run", str(reason))] += 1

    def record_request(
        self, service: str, outcome: str, reason: str, seconds: float
    ) -> None:
        """A request of a caller ended."""
        self.requests_by_outcome[(outcome, reason)] += 1
        histogram = self.durations_by_service.get(service)
        if histogram is None:
            histogram = self.durations_by_service[service] = Histogram()
        histogram.add(seconds)
