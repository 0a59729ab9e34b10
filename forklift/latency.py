"""Estimates the latency distribution of each route from responses.

Routes of one service may differ in latency by a factor of hundreds, so each
has its own estimate.
"""

import collections
import math

# Initial median, as a fraction of the latency objective of the route. Operators
# set objectives to a few times the usual latency.
INITIAL_MEDIAN_FRACTION = 1 / 3
# Initial standard deviation of the logarithm of the latency. It is a factor of
# 2.7 either way.
INITIAL_SPREAD = 1.0
# Weight of the initial estimate, in responses.
INITIAL_WEIGHT = 2.0
# Number of responses after which the median is used to refuse requests.
MIN_LEARNED_WEIGHT = 3.0
# Upper bound on the weight, in responses, so that older responses decay. A
# target that slows down is thus noticed within a few dozen responses.
MAX_WEIGHT = 40.0
# Lower bound on the standard deviation of the logarithm. No latency varies less
# in a system of many processes.
MIN_SPREAD = 0.25
# Share of successful requests in the long tail. One request in a hundred takes
# several times as long though nothing is wrong.
TAIL_SHARE = 0.01
# Factor by which requests in the long tail are slower than others.
TAIL_FACTOR = 4.0
# Lower bound on latencies; shorter ones are rounded up.
MIN_SECONDS = 0.001
# Upper bound on the latency objective that determines the initial median.
# Higher objectives say nothing about the usual latency.
MAX_OBJECTIVE_SECONDS = 10.0
# Maximum number of routes; the least recently used one is evicted first.
MAX_ROUTES = 256


class Distribution:
    """Log-normal latency distribution of one route, learned online.

    >>> distribution = Distribution(0.2)
    >>> distribution.survival(0.0), round(distribution.survival(0.2), 2)
    (1.0, 0.5)
    """

    def __init__(self, initial_median: float, spread: float = INITIAL_SPREAD):
        self._mean = math.log(max(MIN_SECONDS, initial_median))
        self._variance = spread * spread
        self._weight = INITIAL_WEIGHT

    @property
    def median(self) -> float:
        """Median latency, seconds."""
        return math.exp(self._mean)

    @property
    def learned_median(self) -> float:
        """Median latency in seconds; 0 until a few responses are recorded.

        The initial estimate alone must not cause requests of a new route to
        be refused.
        """
        return self.learned_quantile(0.0)

    @property
    def mean(self) -> float:
        """Mean latency, seconds."""
        return math.exp(self._mean + self._variance / 2)

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm."""
        return max(MIN_SPREAD, math.sqrt(self._variance))

    def record(self, seconds: float) -> None:
        """Records the latency of a response."""
        self._update(math.log(max(MIN_SECONDS, seconds)), 0.0, 1.0)

    def record_censored(self, seconds: float, weight: float) -> None:
        """Records a request that was cancelled before its response.

        Ignoring cancelled requests would bias the estimate towards fast
        responses.

        Args:
            seconds: Age of the request when it was cancelled.
            weight: Probability that a response would have come, 0 to 1.
        """
        spread = self.spread
        z = (math.log(max(MIN_SECONDS, seconds)) - self._mean) / spread
        upper_tail = _upper_tail(z)
        if weight <= 0 or upper_tail < 1e-6:
            return
        # Mean and variance of the normal distribution truncated below z.
        hazard = math.exp(-z * z / 2) / math.sqrt(2 * math.pi) / upper_tail
        residual = max(0.0, 1 + z * hazard - hazard * hazard)
        expected = self._mean + spread * hazard
        self._update(expected, residual * spread * spread, weight)

    def survival(self, age: float) -> float:
        """Share of successful requests that run longer than `age` seconds."""
        if age <= MIN_SECONDS:
            return 1.0
        body = self._survival(age)
        tail = self._survival(age / TAIL_FACTOR)
        return (1 - TAIL_SHARE) * body + TAIL_SHARE * tail

    def quantile(self, deviations: float) -> float:
        """Latency this many standard deviations above the median, seconds."""
        return math.exp(self._mean + deviations * self.spread)

    def learned_quantile(self, deviations: float) -> float:
        """The quantile; 0 until a few responses are recorded."""
        learned = self._weight >= INITIAL_WEIGHT + MIN_LEARNED_WEIGHT
        return self.quantile(deviations) if learned else 0.0

    def blend(self, median: float, spread: float, gain: float) -> None:
        """Moves the estimate towards that of another process.

        Args:
            median: Median latency measured by the other process, seconds.
            spread: Standard deviation of the logarithm, from that process.
            gain: Weight of the other estimate, 0 to 1.
        """
        self._weight = min(MAX_WEIGHT, self._weight + 1)
        self._mean += gain * (math.log(max(MIN_SECONDS, median)) - self._mean)
        self._variance += gain * (spread * spread - self._variance)

    def _survival(self, age: float) -> float:
        return _upper_tail((math.log(age) - self._mean) / self.spread)

    def _update(self, value: float, variance: float, weight: float) -> None:
        self._weight = min(MAX_WEIGHT, self._weight + weight)
        gain = weight / self._weight
        deviation = value - self._mean
        self._mean += gain * deviation
        squared_deviation = deviation * deviation * (1 - gain) + variance
        self._variance += gain * (squared_deviation - self._variance)


class RouteLatencies:
    """Latency distributions by route; the least recently used are evicted."""

    def __init__(self):
        self._distribution_by_route: collections.OrderedDict[
            str, Distribution
        ] = collections.OrderedDict()

    def get(self, route: str) -> Distribution | None:
        """The distribution of a route; None if the route is not known."""
        return self._distribution_by_route.get(route)

    def medians_by_route(self) -> dict[str, float]:
        """Median latency of each route, seconds."""
        distributions = self._distribution_by_route.items()
        return {route: round(item.median, 4) for route, item in distributions}

    def for_route(self, route: str, objective: float) -> Distribution:
        """The distribution of a route, created if it is missing.

        Args:
            route: Name of the route.
            objective: Latency objective of the route in seconds, for the
                initial median.
        """
        distribution = self._distribution_by_route.pop(route, None)
        if distribution is None:
            distribution = Distribution(
                INITIAL_MEDIAN_FRACTION
                * max(MIN_SECONDS, min(objective, MAX_OBJECTIVE_SECONDS))
            )
        self._distribution_by_route[route] = distribution
        if len(self._distribution_by_route) > MAX_ROUTES:
            self._distribution_by_route.popitem(last=False)
        return distribution


def _upper_tail(z: float) -> float:
    """Upper tail probability of the standard normal distribution at `z`."""
    return 0.5 * math.erfc(z / math.sqrt(2))
