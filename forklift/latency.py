"""What is usual: how long each kind of work takes at a target.

One service serves kinds of work that differ by a factor of hundreds, so each
route is learned for itself: a usual latency over all of them made ordinary
requests look overdue, or hung ones usual.
"""

import collections
import math

# Part of a route's latency objective that is its usual latency until answers
# tell better: operators set objectives to a few times what is usual.
AIM_PART = 1 / 3
# Spread, in logarithms, until answers tell better: a factor of 2.7 either way.
FIRST_SPREAD = 1.0
# Answers that the guess before the first one weighs as much as.
FIRST_WEIGHT = 2.0
# Answers after which the guess no longer decides.
ENOUGH = 3.0
# Answers that are remembered: older ones fade, so that a target that slows
# down is known within a few dozen answers.
MEMORY = 40.0
# No work scatters less than this in a system of many processes.
LEAST_SPREAD = 0.25
# One request in a hundred takes several times as long with nothing wrong.
TAIL_SHARE = 0.01
TAIL_FACTOR = 4.0
# Shorter answers than this are not told apart, seconds.
LEAST = 0.001
# Objectives above this say nothing of what is usual, seconds.
MAX_OBJECTIVE_SECONDS = 10.0
# Routes that are remembered at a time; the least lately used one goes first.
MAX_ROUTES = 256


class Distribution:
    """The latency of one kind of work: log-normal, learned from answers.

    >>> usual = Distribution(0.2)
    >>> usual.survival(0.0), round(usual.survival(0.2), 2)
    (1.0, 0.5)
    """

    def __init__(self, guess: float, spread: float = FIRST_SPREAD):
        self._mean = math.log(max(LEAST, guess))
        self._variance = spread * spread
        self._weight = FIRST_WEIGHT

    @property
    def median(self) -> float:
        """Half of the answers take no longer, seconds."""
        return math.exp(self._mean)

    @property
    def learned_median(self) -> float:
        """The median once a few answers came; until then nothing, seconds.

        By the guess alone nothing is refused: requests of a route that was just
        added would be turned away while all others are served.
        """
        learned = self._weight >= FIRST_WEIGHT + ENOUGH
        return self.median if learned else 0.0

    @property
    def mean(self) -> float:
        """How long an answer takes on average, seconds."""
        return math.exp(self._mean + self._variance / 2)

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm."""
        return max(LEAST_SPREAD, math.sqrt(self._variance))

    def record(self, seconds: float) -> None:
        """An answer took this long."""
        self._learn(math.log(max(LEAST, seconds)), 0.0, 1.0)

    def record_censored(self, seconds: float, weight: float) -> None:
        """A request was cut off at this age, before its answer.

        Left out, slow answers would be missing just because they are slow,
        and ever faster ones would look late.

        Args:
            seconds: Its age.
            weight: How likely it is that its answer would have come, 0 to 1.
        """
        spread = self.spread
        z = (math.log(max(LEAST, seconds)) - self._mean) / spread
        beyond = _beyond(z)
        if weight <= 0 or beyond < 1e-6:
            return
        # Mean and variance of what is left of a normal distribution above z.
        rate = math.exp(-z * z / 2) / math.sqrt(2 * math.pi) / beyond
        residual = max(0.0, 1 + z * rate - rate * rate)
        expected = self._mean + spread * rate
        self._learn(expected, residual * spread * spread, weight)

    def survival(self, age: float) -> float:
        """Share of sound requests that still run at an age in seconds."""
        if age <= LEAST:
            return 1.0
        body = self._survival(age)
        tail = self._survival(age / TAIL_FACTOR)
        return (1 - TAIL_SHARE) * body + TAIL_SHARE * tail

    def quantile(self, deviations: float) -> float:
        """The latency that lies this many standard deviations up, seconds."""
        return math.exp(self._mean + deviations * self.spread)

    def blend(self, median: float, spread: float, gain: float) -> None:
        """Moves towards what somebody else has learned."""
        self._weight = min(MEMORY, self._weight + 1)
        self._mean += gain * (math.log(max(LEAST, median)) - self._mean)
        self._variance += gain * (spread * spread - self._variance)

    def _survival(self, age: float) -> float:
        return _beyond((math.log(age) - self._mean) / self.spread)

    def _learn(self, value: float, variance: float, weight: float) -> None:
        self._weight = min(MEMORY, self._weight + weight)
        gain = weight / self._weight
        off = value - self._mean
        self._mean += gain * off
        around = off * off * (1 - gain) + variance
        self._variance += gain * (around - self._variance)


class RouteLatencies:
    """The latencies of many routes, of which the last used are kept."""

    def __init__(self):
        self._latency_by_route: collections.OrderedDict[str, Distribution] = (
            collections.OrderedDict()
        )

    def get(self, route: str) -> Distribution | None:
        """The latency of a route, once that was asked for."""
        return self._latency_by_route.get(route)

    def medians_by_route(self) -> dict[str, float]:
        """Median latencies by route, seconds."""
        latencies = self._latency_by_route.items()
        return {route: round(usual.median, 4) for route, usual in latencies}

    def for_route(self, route: str, objective: float) -> Distribution:
        """The latency of a route.

        Args:
            route: Its name.
            objective: Its latency objective in seconds, for the first guess.
        """
        found = self._latency_by_route.pop(route, None)
        if found is None:
            found = Distribution(
                AIM_PART * max(LEAST, min(objective, MAX_OBJECTIVE_SECONDS))
            )
        self._latency_by_route[route] = found
        if len(self._latency_by_route) > MAX_ROUTES:
            self._latency_by_route.popitem(last=False)
        return found


def _beyond(z: float) -> float:
    """Share of a normal distribution above `z` standard deviations."""
    return 0.5 * math.erfc(z / math.sqrt(2))
