"""Request counters and latency histograms of one process.

The counters are plain numbers; metrics are built from them only on demand.
"""

import bisect
import collections

# Upper bounds of the histogram buckets in seconds.
BUCKET_BOUNDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Histogram:
    """Histogram of durations.

    >>> histogram = Histogram()
    >>> histogram.add(0.003); histogram.add(100.0)
    >>> histogram.cumulative()[1], histogram.cumulative()[-1]
    (('0.005', 1), ('+Inf', 2))
    """

    def __init__(self):
        self.sum = 0.0
        self._counts = [0] * (len(BUCKET_BOUNDS) + 1)

    def add(self, seconds: float) -> None:
        """Records a duration."""
        self.sum += seconds
        self._counts[bisect.bisect_left(BUCKET_BOUNDS, seconds)] += 1

    def cumulative(self) -> list[tuple[str, int]]:
        """Cumulative counts by upper bound; the last bound is infinite."""
        total = 0
        buckets = []
        for bound, count in zip(
            (*BUCKET_BOUNDS, "+Inf"), self._counts, strict=True
        ):
            total += count
            buckets.append((str(bound), total))
        return buckets


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
        self.responses_cut_by_reason: collections.Counter[str] = (
            collections.Counter()
        )

    def record_cut_response(self, reason: str) -> None:
        """Counts a response that broke off after it had begun."""
        self.responses_cut_by_reason[str(reason)] += 1

    def record_refusal(self, reason: str) -> None:
        """Counts a request refused before its service was determined."""
        self.requests_by_outcome[("not-run", str(reason))] += 1

    def record_request(
        self, service: str, outcome: str, reason: str, seconds: float
    ) -> None:
        """Counts the end of a caller's request."""
        self.requests_by_outcome[(outcome, reason)] += 1
        histogram = self.durations_by_service.get(service)
        if histogram is None:
            histogram = self.durations_by_service[service] = Histogram()
        histogram.add(seconds)
