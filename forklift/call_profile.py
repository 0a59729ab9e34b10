"""Learns what the runs of each route call.

Handles the load in which runs start although their calls find no room: the
profile tells which routes make calls, how many, and which share of them was
rejected. It is bounded, older calls count for less, and it is empty after a
restart.
"""

import collections
import dataclasses
import math

from forklift import messages

# Seconds after which an event counts for 1/e. Long enough for a route with one
# run in several seconds, short enough to follow a new version of a service.
TIME_CONSTANT = 10.0
# Mean number of calls in a run from which a route counts as making calls. Below
# it, at most one slot in five waits for a call, and a request that matched a
# run by chance does not count.
MIN_CALLS_PER_RUN = 0.2
# Maximum number of routes whose runs are profiled; the least recently used one
# is evicted first.
MAX_ROUTES = 32
# Maximum number of called routes for each of them.
MAX_CALLED_ROUTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CalledRoute:
    """What the runs of a route call.

    Attributes:
        route: Route of the runs.
        called_route: Route that they call.
        service: Service that serves the called route.
        calls_per_run: Mean number of calls in a run.
        seconds: Mean duration of a call; 0 while none is known.
        rejected: Share of the calls that was rejected for lack of room.
    """

    route: str
    called_route: str
    service: str
    calls_per_run: float
    seconds: float
    rejected: float


class _DecayingSums:
    """Sums of events that count for less as they age."""

    __slots__ = ("_at", "values")

    def __init__(self, size: int):
        self.values = [0.0] * size
        self._at = -math.inf

    def decay(self, now: float) -> list[float]:
        """Returns the sums at a time, which must not decrease."""
        if now > self._at:
            factor = math.exp((self._at - now) / TIME_CONSTANT)
            self.values = [value * factor for value in self.values]
            self._at = now
        return self.values


class _RouteProfile:
    def __init__(self):
        self.runs = _DecayingSums(1)
        # Number of calls, of rejected ones, and their seconds, by called route
        # and service.
        self.calls_by_called: collections.OrderedDict[
            tuple[str, str], _DecayingSums
        ] = collections.OrderedDict()


class CallProfile:
    """Calls of the runs of each route."""

    def __init__(self):
        self._profile_by_route: collections.OrderedDict[str, _RouteProfile] = (
            collections.OrderedDict()
        )

    def record_run(self, route: str, now: float) -> None:
        """Records the start of a run.

        Args:
            route: Route of the run.
            now: Monotonic seconds.
        """
        self._for_route(route).runs.decay(now)[0] += 1

    def record_call(
        self,
        route: str,
        called_route: str,
        service: str,
        seconds: float,
        lacked_room: bool,
        now: float,
    ) -> None:
        """Records the end of a call.

        Args:
            route: Route of the run.
            called_route: Route of the call.
            service: Service that was called.
            seconds: Duration of the call.
            lacked_room: Whether it was rejected for lack of room.
            now: Monotonic seconds.
        """
        calls_by_called = self._for_route(route).calls_by_called
        key = (called_route, service)
        sums = calls_by_called.pop(key, None) or _DecayingSums(3)
        calls_by_called[key] = sums
        if len(calls_by_called) > MAX_CALLED_ROUTES:
            calls_by_called.popitem(last=False)
        values = sums.decay(now)
        values[0] += 1
        values[1] += lacked_room
        values[2] += seconds

    def calling_routes(self, now: float) -> frozenset[str]:
        """Routes whose runs make calls.

        Args:
            now: Monotonic seconds.
        """
        calls_by_route: collections.Counter[str] = collections.Counter()
        for called in self.called_routes(now):
            calls_by_route[called.route] += called.calls_per_run
        return frozenset(
            route
            for route, calls in calls_by_route.items()
            if calls >= MIN_CALLS_PER_RUN
        )

    def called_routes(self, now: float) -> list[CalledRoute]:
        """What the runs of each route call, for metrics and reports.

        Args:
            now: Monotonic seconds.
        """
        called = []
        for route, profile in self._profile_by_route.items():
            runs = profile.runs.decay(now)[0]
            for (name, service), sums in profile.calls_by_called.items():
                calls, rejected, seconds = sums.decay(now)
                called.append(
                    CalledRoute(
                        route,
                        name,
                        service,
                        round(calls / runs, 3) if runs > 0 else 0.0,
                        round(seconds / calls, 4) if calls > 0 else 0.0,
                        round(rejected / calls, 3) if calls > 0 else 0.0,
                    )
                )
        return called

    def _for_route(self, route: str) -> _RouteProfile:
        profile = self._profile_by_route.pop(route, None) or _RouteProfile()
        self._profile_by_route[route] = profile
        if len(self._profile_by_route) > MAX_ROUTES:
            self._profile_by_route.popitem(last=False)
        return profile


def is_lack_of_room(
    reason: messages.Reason | None, has_full_targets: bool
) -> bool:
    """Returns whether a request was rejected as its service has no room.

    A target that rejects requests itself (`Reason.SHED`) does not lack room:
    fewer requests would not make it reject fewer.

    Args:
        reason: Why it has no response; None if it has one.
        has_full_targets: Whether known targets of the service are full.

    >>> is_lack_of_room(messages.Reason.BUSY, False)
    True
    >>> is_lack_of_room(messages.Reason.NO_TARGET, False)
    False
    >>> is_lack_of_room(messages.Reason.SHED, True)
    False
    """
    if reason is messages.Reason.NO_TARGET:
        return has_full_targets
    return reason is messages.Reason.BUSY
