"""Judges one target by the outcomes of its real requests.

The test is sequential (Page, "Continuous inspection schemes", 1954): each
outcome adds its log-likelihood ratio of sick against healthy, the sum never
falls below zero, and a sum above the policy's threshold is a verdict. Three
kinds of evidence are summed apart and then together:

- failures, against the failure share of the service's other targets;
- slowness, against the median latency of the service's other targets;
- requests in flight that are overdue, before they end.

Failures and very late answers are tested at two rates, one for a target that
is clearly sick and one for a target that is sick now and then.

Evidence on failures is also kept for each route, so that a target which fails
one route only is kept from that route only.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable

SICK_FAILURES = 0.35
SICK_NOW_AND_THEN = 0.1
SICK_SLOWDOWN = 2.5
HARMLESS_FAILURES = 0.02
MAX_SLOW_STEP = 3.0
MAX_WELL_STEP = 2.0
LATENCY_GAIN = 0.15
SIGMA_GAIN = 0.05
FAILURE_GAIN = 0.02
MIN_SIGMA = 0.25
MAX_SIGMA = 1.2
DEFAULT_SIGMA = 0.6
# Standard deviations above the median from which a request is overdue.
OVERDUE_SIGMAS = 2.5
# And those from which an answer counts as very late.
LATE_SIGMAS = 4.0
OVERDUE_TAIL = 0.01
OVERDUE_DECAY = 2.0
OVERDUE_SICK = 0.3
# Requests that hang together may have one cause: each counts less than the
# one before it.
OVERDUE_SHARE = 0.7
# Share of the threshold above which a target's scatter is not learnt from.
SCATTER_SHARE = 0.1
# Latencies wander more than the test supposes, so slowness counts for less.
SLOW_SHARE = 0.8
# Evidence kept beyond the threshold would outlast its cause.
MAX_EVIDENCE_SHARE = 1.5
# Latencies below this are noise of the processes, not of a target, seconds.
LEAST_LATENCY = 0.02
# Peers that a comparison of latencies needs.
MIN_PEERS = 3
# Requests in flight whose ages say something of a target's latency.
MIN_IN_FLIGHT = 2
# Successes on other routes that show a failing route to be alone.
ROUTE_CONTRAST = 3
MAX_ROUTES = 64
ROUTE_FADE = 8.0
MAX_ROUTE_EVIDENCE = 40.0


@dataclasses.dataclass(frozen=True)
class Reference:
    """What is normal for a service now.

    Attributes:
        latency: Median over targets of their median latency, seconds; 0 when
            too few targets are known.
        failures: Median over targets of their failure share.
    """

    latency: float
    failures: float


UNKNOWN = Reference(0.0, 0.0)


def reference(
    latencies: Iterable[float], failures: Iterable[float]
) -> Reference:
    """Builds the reference from what targets report of themselves.

    >>> reference([0.1, 0.1, 9.0], [0.0, 0.0, 1.0])
    Reference(latency=0.1, failures=0.0)
    """
    known = [latency for latency in latencies if latency > 0]
    shares = list(failures)
    return Reference(
        statistics.median(known) if len(known) >= MIN_PEERS else 0.0,
        statistics.median(shares) if shares else 0.0,
    )


@dataclasses.dataclass(frozen=True)
class Assessment:
    """Evidence against a target at one moment.

    Attributes:
        total: Evidence in nats; compared with the policy's threshold.
        failures: The part from failures.
        slowness: The part from slow answers.
        overdue: The part from requests in flight.
        route: The one route that the failures come from, or empty.
    """

    total: float
    failures: float
    slowness: float
    overdue: float
    route: str

    @property
    def kind(self) -> str:
        """The strongest part.

        >>> Assessment(9.0, 1.0, 8.0, 0.0, "").kind
        'slowness'
        """
        parts = {
            "failures": self.failures,
            "slowness": self.slowness,
            "overdue": self.overdue,
        }
        return max(parts, key=parts.__getitem__)


@dataclasses.dataclass(slots=True)
class _RouteEvidence:
    sum: float = 0.0
    since: float = 0.0
    successes: int = 0

    def at(self, now: float) -> float:
        """Fades, so that a refused route is tried again after a while."""
        return self.sum * math.exp((self.since - now) / ROUTE_FADE)


class _Routes:
    """Failure evidence by route, to tell a sick route from a sick target."""

    def __init__(self):
        self._evidence_by_route: dict[str, _RouteEvidence] = {}

    def add(self, route: str, step: float, failed: bool, now: float) -> None:
        evidence = self._evidence_by_route.get(route)
        if evidence is None:
            self._make_room(now)
            evidence = _RouteEvidence()
            self._evidence_by_route[route] = evidence
        if failed and evidence.at(now) < step:
            # It begins to fail: only what others do from here on counts.
            for other in self._evidence_by_route.values():
                other.successes = 0
        total = max(0.0, evidence.at(now) + step)
        evidence.sum = min(MAX_ROUTE_EVIDENCE, total)
        evidence.since = now
        evidence.successes = 0 if failed else evidence.successes + 1

    def at(self, route: str, now: float) -> float:
        evidence = self._evidence_by_route.get(route)
        return evidence.at(now) if evidence else 0.0

    def alone(self, threshold: float, now: float) -> str:
        """The one route with evidence while others go well, or empty."""
        sick = ""
        others_go_well = False
        for route, evidence in self._evidence_by_route.items():
            if evidence.sum >= threshold and evidence.at(now) >= threshold:
                if sick:
                    return ""
                sick = route
            elif evidence.successes >= ROUTE_CONTRAST:
                others_go_well = True
        return sick if others_go_well else ""

    def _make_room(self, now: float) -> None:
        if len(self._evidence_by_route) < MAX_ROUTES:
            return
        least = min(self._evidence_by_route, key=lambda r: self.at(r, now))
        del self._evidence_by_route[least]


class Judge:
    """Gathers the evidence against one target."""

    def __init__(self, threshold: float):
        self.threshold = threshold
        self.clear()
        self._started_by_id: dict[object, float] = {}
        self._log_latency: float | None = None
        self._sigma = DEFAULT_SIGMA
        self.failure_share = 0.0

    @property
    def latency(self) -> float:
        """Median latency in seconds; 0 before the first answer."""
        return math.exp(self._log_latency) if self._log_latency else 0.0

    def latency_now(self, now: float) -> float:
        """Median latency, or age of what is in flight where that is more.

        So the median over a service rises at once when all of it slows down,
        before the first slow answer ends.
        """
        if len(self._started_by_id) < MIN_IN_FLIGHT:
            return self.latency
        started = statistics.median_high(self._started_by_id.values())
        return max(self.latency, now - started)

    def start(self, request: object, now: float) -> None:
        """A request was sent to the target."""
        self._started_by_id[request] = now

    def excuse(self, seconds: float) -> None:
        """This process stood still: requests in flight aged unseen."""
        for request, started in self._started_by_id.items():
            self._started_by_id[request] = started + seconds

    def forget(self, request: object) -> None:
        """A request ended in a way that says nothing of the target."""
        self._started_by_id.pop(request, None)

    def finish(
        self,
        request: object,
        failed: bool,
        route: str,
        normal: Reference,
        now: float,
    ) -> None:
        """A request ended.

        Args:
            request: Its identity, as given to `start`.
            failed: Whether the outcome counts against the target.
            route: Name of its route.
            normal: What is normal for the service.
            now: Monotonic seconds.
        """
        started = self._started_by_id.pop(request, now)
        step = _failure_step(failed, normal.failures, SICK_FAILURES)
        self._failures = self._bounded(self._failures + step)
        rare = _failure_step(failed, normal.failures, SICK_NOW_AND_THEN)
        self._rare_failures = self._bounded(self._rare_failures + rare)
        self._routes.add(route, step, failed, now)
        share = 1.0 if failed else 0.0
        self.failure_share += FAILURE_GAIN * (share - self.failure_share)
        if not failed:
            self._note_latency(max(now - started, 1e-6), normal)

    def assess(self, normal: Reference, now: float) -> Assessment:
        """Sums the evidence up to now."""
        overdue = self._overdue(normal, now)
        total = self._failures + self._slowness + overdue
        route = self._routes.alone(self.threshold, now)
        return Assessment(total, self._failures, self._slowness, overdue, route)

    def route_evidence(self, route: str, now: float) -> float:
        """Evidence of failures on one route, in nats."""
        return self._routes.at(route, now)

    def started(self, request: object, now: float) -> float:
        """When a request was sent; `now` where that is not known."""
        return self._started_by_id.get(request, now)

    def clear(self) -> None:
        """Starts afresh, as when a target comes back from an ejection."""
        self._failures = 0.0
        self._rare_failures = 0.0
        self._slowness = 0.0
        self._rare_lateness = 0.0
        self._routes = _Routes()

    def _bounded(self, evidence: float) -> float:
        return min(MAX_EVIDENCE_SHARE * self.threshold, max(0.0, evidence))

    def _note_latency(self, latency: float, normal: Reference) -> None:
        logarithm = math.log(latency)
        distance = self._distance(logarithm, normal)
        step = SLOW_SHARE * _slow_step(distance, self._sigma)
        self._slowness = self._bounded(self._slowness + step)
        late = distance is not None and distance > LATE_SIGMAS
        rare = _failure_step(late, 0.0, SICK_NOW_AND_THEN)
        self._rare_lateness = self._bounded(self._rare_lateness + rare)
        if self._log_latency is None:
            self._log_latency = logarithm
            return
        deviation = logarithm - self._log_latency
        # A bounded step follows the median rather than the mean.
        step = max(-1.0, min(1.0, deviation / self._sigma)) * self._sigma
        self._log_latency += LATENCY_GAIN * step
        if self._slowness > SCATTER_SHARE * self.threshold:
            # How a sick target scatters says nothing of a healthy one.
            return
        sigma = self._sigma + SIGMA_GAIN * (
            1.2533 * min(abs(deviation), 3 * self._sigma) - self._sigma
        )
        self._sigma = max(MIN_SIGMA, min(MAX_SIGMA, sigma))

    def _distance(self, logarithm: float, normal: Reference) -> float | None:
        """Standard deviations above the service's median, if it is known."""
        if normal.latency <= 0:
            return None
        median = max(LEAST_LATENCY, normal.latency)
        return (logarithm - math.log(median)) / self._sigma

    def overdue_requests(self, normal: Reference, now: float) -> list[object]:
        """Requests in flight that count as overdue, oldest first."""
        median = self._median(normal)
        return [
            request
            for request, started in self._started_by_id.items()
            if median and _overdue_step(now - started, median, self._sigma)
        ]

    def _median(self, normal: Reference) -> float:
        median = normal.latency or self.latency
        return max(LEAST_LATENCY, median) if median > 0 else 0.0

    def _overdue(self, normal: Reference, now: float) -> float:
        median = self._median(normal)
        if median <= 0:
            return 0.0
        total = 0.0
        share = 1.0
        # In order of their start, so the oldest count most.
        for started in self._started_by_id.values():
            step = _overdue_step(now - started, median, self._sigma)
            if step <= 0:
                break
            total += share * step
            share *= OVERDUE_SHARE
        return total


def _failure_step(failed: bool, normal: float, rate: float) -> float:
    """Log-likelihood ratio of one outcome for a target sick at a rate."""
    healthy = min(0.8, HARMLESS_FAILURES + 1.5 * normal)
    sick = healthy + (1 - healthy) * rate
    if failed:
        return math.log(sick / healthy)
    return math.log((1 - sick) / (1 - healthy))


def _slow_step(distance: float | None, sigma: float) -> float:
    """Log-likelihood ratio of one latency for a target that is slow."""
    if distance is None:
        return -MAX_WELL_STEP
    shift = math.log(SICK_SLOWDOWN) / sigma
    step = shift * distance - shift * shift / 2
    return max(-MAX_WELL_STEP, min(MAX_SLOW_STEP, step))


def _overdue_step(age: float, median: float, sigma: float) -> float:
    """Evidence of one request that has not ended after `age` seconds."""
    if age <= median:
        return 0.0
    distance = math.log(age / median) / sigma
    if distance <= OVERDUE_SIGMAS:
        return 0.0
    tail = 0.5 * math.erfc(distance / math.sqrt(2))
    tail += OVERDUE_TAIL * math.exp(OVERDUE_DECAY * (OVERDUE_SIGMAS - distance))
    return max(0.0, math.log(OVERDUE_SICK / tail))
