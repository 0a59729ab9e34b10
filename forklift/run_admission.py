"""Holds back runs whose calls recently found no room.

Handles the load in which runs start although the services that they call have
no room: such runs take slots, their calls take room from others, and they fail.
Adaptive throttling, as known from clients: the process beside the target
starts at most `HEADROOM` times the runs whose calls found room. It does so only
while that serves no fewer requests: a run that makes no calls is served anyway,
and nobody knows before its start whether it will make any.
"""

import collections
import dataclasses
import math

# Runs that are started for each one whose calls found room. At most one in
# three of the started runs that make calls then fails for lack of room, and the
# share of started runs can double within 1.4 s once there is room again.
HEADROOM = 1.5
# Seconds after which an event counts for 1/e, so that all runs are started
# within 5 s after an overload that left one in ten.
TIME_CONSTANT = 1.0
# Number of runs that are assumed to have found room, so that one rejection
# after a quiet time does not hold back everything.
PRIOR_RUNS = 1.0
# Loss of served requests by holding back, as a part of all, from which nothing
# is held back; between 0 and this loss the share changes in proportion.
GAIN_RANGE = 0.05
# Maximum number of routes; the least recently used one is evicted first.
MAX_ROUTES = 32
# Seconds that callers are told to wait at most.
MAX_RETRY_AFTER = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRoute:
    """How many runs of a route are held back.

    Attributes:
        route: Name of the route.
        share: Share of the runs that is started, 0 to 1.
        held: Number of runs that were held back so far.
    """

    route: str
    share: float
    held: int


class _Route:
    """Recent runs of a route, and what became of their calls.

    Requests that the target itself has no room for are not counted, as holding
    back more of them would not give their calls room.

    Attributes:
        held: Runs that were held back.
        ended: Runs that ended.
        calling: How many of these made calls.
        with_room: How many of these had none rejected for lack of room.
        calls: Calls of the runs that ended.
        rejected: How many of these were rejected for lack of room.
        held_total: Number of runs that were ever held back.
    """

    __slots__ = (
        "_at",
        "calling",
        "calls",
        "ended",
        "held",
        "held_total",
        "rejected",
        "with_room",
    )

    def __init__(self):
        self.held = self.ended = self.calling = self.with_room = 0.0
        self.calls = self.rejected = 0.0
        self.held_total = 0
        self._at = -math.inf

    def decay(self, now: float) -> None:
        """Lets the sums decay until a time."""
        if now > self._at:
            factor = math.exp((self._at - now) / TIME_CONSTANT)
            self.held *= factor
            self.ended *= factor
            self.calling *= factor
            self.with_room *= factor
            self.calls *= factor
            self.rejected *= factor
            self._at = now

    def share(self) -> float:
        """Share of the runs that may start."""
        if not self.calls or not self.calling:
            # Sums of long ago decay to zero.
            return self._throttled()
        throttled = self._throttled()
        weight = 1 + self._gain() / GAIN_RANGE
        return 1 - min(1.0, max(0.0, weight)) * (1 - throttled)

    def _calling_share(self) -> float:
        return self.calling / self.ended if self.ended else 1.0

    def _throttled(self) -> float:
        """Share by adaptive throttling of the runs that make calls."""
        requested = self.held * self._calling_share() + self.calling
        allowed = HEADROOM * self.with_room + PRIOR_RUNS
        return min(1.0, allowed / (requested + PRIOR_RUNS))

    def _gain(self) -> float:
        """Part of the requests that is served more if runs are held back.

        If just as many runs start as find room for their calls, all of them are
        served. If all start, those without calls are served, and those all of
        whose calls find room; the room of the others' calls is lost.
        """
        calling = self._calling_share()
        calls_per_run = max(1.0, self.calls / self.calling)
        started = (self.ended + PRIOR_RUNS) / (
            self.ended + self.held + PRIOR_RUNS
        )
        fitting = started * (1 - self.rejected / self.calls)
        return fitting - (1 - calling + calling * fitting**calls_per_run)


class RunAdmission:
    """Decides which runs start, by what became of the calls of earlier ones."""

    def __init__(self):
        self._by_route: collections.OrderedDict[str, _Route] = (
            collections.OrderedDict()
        )

    def held_back_for(
        self, route: str, floor: float, draw: float, now: float
    ) -> float:
        """Decides whether a run may start, and records if it may not.

        Args:
            route: Route of the request.
            floor: Share of the runs that is started at least.
            draw: A random number from 0 to 1.
            now: Monotonic seconds.

        Returns:
            0 if the run may start; otherwise the seconds after which there is
            expected to be room.
        """
        known = self._for_route(route, now)
        share = max(floor, known.share())
        if draw < share:
            return 0.0
        known.held += 1
        known.held_total += 1
        return _seconds_until_started(share)

    def record_end(
        self, route: str, calls: int, rejected: int, now: float
    ) -> None:
        """Records the end of a run.

        Args:
            route: Route of the run.
            calls: Number of calls that it made.
            rejected: How many of these were rejected for lack of room.
            now: Monotonic seconds.
        """
        known = self._for_route(route, now)
        known.ended += 1
        known.calling += calls > 0
        known.with_room += calls > 0 and not rejected
        known.calls += calls
        known.rejected += rejected

    def held_routes(self, floor: float, now: float) -> list[HeldRoute]:
        """Routes of which runs were held back, for metrics and reports.

        Args:
            floor: Share of the runs that is started at least.
            now: Monotonic seconds.
        """
        held = []
        for route, known in self._by_route.items():
            known.decay(now)
            if known.held_total:
                share = round(max(floor, known.share()), 3)
                held.append(HeldRoute(route, share, known.held_total))
        return held

    def _for_route(self, route: str, now: float) -> _Route:
        known = self._by_route.pop(route, None) or _Route()
        self._by_route[route] = known
        if len(self._by_route) > MAX_ROUTES:
            self._by_route.popitem(last=False)
        known.decay(now)
        return known


def _seconds_until_started(share: float) -> float:
    """Seconds until all runs are started if there is room from now on.

    The number of started runs then grows by the part HEADROOM - 1 in each time
    constant.
    """
    if share <= 0:
        return MAX_RETRY_AFTER
    seconds = -math.log(share) * TIME_CONSTANT / (HEADROOM - 1)
    return min(MAX_RETRY_AFTER, seconds)
