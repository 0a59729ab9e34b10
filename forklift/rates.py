"""Event counters and failure rates with exponential decay."""

import math

# Time constant of the decay of failure rates. It is twice the time of the floor
# on capacity, within which only few requests arrive.
FAILURE_RATE_DECAY_SECONDS = 4.0
# Minimum weight of one remote report in the remote failure rate.
MIN_REMOTE_GAIN = 0.2
# Weight of the remote failure rate in the combined rate, in requests.
REMOTE_WEIGHT = 10.0


class DecayingCounter:
    """Counts events with exponential decay.

    >>> rate = DecayingCounter(2.0)
    >>> for tenth in range(100):
    ...     rate.record(tenth / 10)
    >>> round(rate.count(9.9)), round(rate.mean_interval(9.9), 1)
    (20, 0.1)
    """

    def __init__(self, seconds: float):
        """Creates a counter without events.

        Args:
            seconds: Time constant; an event of this age counts 1/e.
        """
        self._decay_seconds = seconds
        self._count = 0.0
        self._last_at = -math.inf

    def record(self, now: float, amount: float = 1.0) -> None:
        """Records an event, or an amount of them."""
        self._count = self.count(now) + amount
        self._last_at = now

    def count(self, now: float) -> float:
        """Decayed number of events."""
        if not self._count:
            return 0.0
        return self._count * math.exp(
            -(now - self._last_at) / self._decay_seconds
        )

    def mean_interval(self, now: float) -> float:
        """Mean seconds between events; infinite without events."""
        count = self.count(now)
        return self._decay_seconds / count if count else math.inf


class FailureRate:
    """Failure rate of a service, from local requests and remote reports.

    A single process of a large fleet sees too few requests for a reliable
    rate, so the rates that other processes report count as well. A request that
    hangs fails only at its timeout, so the failures that are expected when
    requests are sent count, too.

    Attributes:
        requests: Requests of callers.
        failures: Requests that failed.
        sent: Requests sent to targets.
        expected_failures: Sum of the probabilities, at the time of sending,
            that these requests fail because their targets are unhealthy.
    """

    def __init__(self):
        self.requests = DecayingCounter(FAILURE_RATE_DECAY_SECONDS)
        self.failures = DecayingCounter(FAILURE_RATE_DECAY_SECONDS)
        self.sent = DecayingCounter(FAILURE_RATE_DECAY_SECONDS)
        self.expected_failures = DecayingCounter(FAILURE_RATE_DECAY_SECONDS)
        self._remote_rate = 0.0
        self._remote_at = -math.inf

    def record_remote(self, rate: float, now: float) -> None:
        """Records the failure rate that another process reports, 0 to 1."""
        weight = math.exp(-(now - self._remote_at) / FAILURE_RATE_DECAY_SECONDS)
        gain = max(MIN_REMOTE_GAIN, 1 - weight)
        self._remote_rate += gain * (rate - self._remote_rate)
        self._remote_at = now

    def record_sent(self, expected_failure: float, now: float) -> None:
        """Records a request that is sent to a target.

        Args:
            expected_failure: Probability that the target fails the request.
            now: Monotonic seconds.
        """
        self.sent.record(now)
        self.expected_failures.record(now, expected_failure)

    def record_not_run(self, expected_failure: float, now: float) -> None:
        """Records that a request which was sent to a target did not run.

        Args:
            expected_failure: The probability given to `record_sent`.
            now: Monotonic seconds.
        """
        self.sent.record(now, -1.0)
        self.expected_failures.record(now, -expected_failure)

    def local(self, now: float) -> float:
        """Failure rate of the requests of this process, 0 to 1."""
        requests = self.requests.count(now)
        failures = self.failures.count(now)
        return min(1.0, failures / max(1.0, requests))

    def combined(self, now: float) -> float:
        """Failure rate from local requests and remote reports, 0 to 1."""
        age = now - self._remote_at
        remote_weight = REMOTE_WEIGHT * math.exp(
            -age / FAILURE_RATE_DECAY_SECONDS
        )
        requests = self.requests.count(now)
        failures = self.failures.count(now) + remote_weight * self._remote_rate
        known = failures / max(1.0, requests + remote_weight)
        sent = max(1.0, self.sent.count(now))
        expected = self.expected_failures.count(now) / sent
        return min(1.0, max(known, expected))
