"""Matches the calls that targets make to the runs that make them.

A target that runs a request may call other services through the process beside
it. Such a call names the time that is left until the deadline of its run, so
the run is the one whose deadline the call names. A matched call takes the
priority of its run. Handles the load in which runs of a less urgent route make
so many calls that more urgent requests of the called service find no room.
"""

import dataclasses
import math
from collections.abc import Callable

from forklift import admission
from forklift import call_profile
from forklift import run_admission
from forklift import settings

# Seconds by which the deadline that a call names may precede that of its run.
# The process and the target each round the remaining time to milliseconds, and
# 1 ms is left for clocks.
EARLY_TOLERANCE = 0.003
# Seconds by which it may follow that of its run: the time that the request and
# its call spend on their way. An instance with 0.43 processor cores may be
# suspended for 57 ms in each scheduling period of 100 ms.
LATE_TOLERANCE = 0.06
# Runs whose deadlines differ by at most this many seconds can't be told apart,
# as both ends round to milliseconds and transport takes a varying time.
AMBIGUITY = 0.005
# Seconds between two computations of the routes that make calls, so that no
# request waits for sums over the profile.
CALLING_ROUTES_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a local target is running.

    Attributes:
        id: Identity of the request, as in its ticket.
        route: Name of its route.
        deadline: Monotonic seconds at which it times out.
        priority: Priority; 0 is the most urgent.
        soft_deadline: Monotonic seconds up to which its objective is met.
    """

    id: tuple[int, int]
    route: str
    deadline: float
    priority: int
    soft_deadline: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that a run makes.

    Attributes:
        run: The run.
        priority: Priority of the call.
        soft_deadline: Monotonic seconds up to which the call is useful.
        route_soft_deadline: Monotonic seconds up to which the objective of the
            called route is met.
    """

    run: Run
    priority: int
    soft_deadline: float
    route_soft_deadline: float


class RunCalls:
    """The runs of the local targets, and the calls that they make.

    The number of runs is bounded by the slots of the local targets. A process
    that has just started knows no runs, so nothing matches until its targets
    start some.

    Attributes:
        matched: Number of requests that matched a run.
        ambiguous: How many of these matched several runs.
        unmatched: Number of requests that might have been calls but matched no
            run.
        profile: What the runs of each route call.
        admission: Which runs are held back, as calls found no room.
    """

    def __init__(
        self,
        is_enabled: Callable[[], bool] = lambda: False,
        rules: Callable[[], settings.Overload] = settings.Overload,
    ):
        """Creates an empty register.

        Args:
            is_enabled: Returns whether overload control is in force; otherwise
                nothing matches.
            rules: Returns the settings of overload control.
        """
        self.is_enabled = is_enabled
        self._rules = rules
        self.matched = 0
        self.ambiguous = 0
        self.unmatched = 0
        self.profile = call_profile.CallProfile()
        self.admission = run_admission.RunAdmission()
        self._run_by_id: dict[tuple[int, int], Run] = {}
        # Whether each call of a run was rejected for lack of room.
        self._rejections_by_id: dict[tuple[int, int], list[bool]] = {}
        self._calling_routes: frozenset[str] = frozenset()
        self._updated_at = -math.inf

    @property
    def running(self) -> int:
        """Number of known runs."""
        return len(self._run_by_id)

    def counts(self) -> dict[str, int]:
        """Number of requests by how they matched, for metrics and reports."""
        return {
            "matched": self.matched,
            "ambiguous": self.ambiguous,
            "unmatched": self.unmatched,
        }

    def reserved_share(self) -> float:
        """Share of the slots of a called target that is reserved for calls."""
        return self._rules().call_share if self.is_enabled() else 0.0

    def makes_calls(self, route: str) -> bool:
        """Whether the runs of a route were found to make calls."""
        return route in self._calling_routes

    def _update_calling_routes(self, now: float) -> None:
        if now - self._updated_at >= CALLING_ROUTES_SECONDS:
            self._updated_at = now
            self._calling_routes = self.profile.calling_routes(now)

    def start_run(self, ticket: admission.Ticket, now: float) -> None:
        """Records that a request is sent to a local target.

        Args:
            ticket: The request.
            now: Monotonic seconds.
        """
        if not self.is_enabled():
            return
        self._run_by_id[ticket.id] = Run(
            ticket.id,
            ticket.route,
            ticket.deadline,
            ticket.priority,
            ticket.soft_deadline,
        )
        self.profile.record_run(ticket.route, now)
        self._update_calling_routes(now)

    def held_back_for(
        self, ticket: admission.Ticket, draw: float, now: float
    ) -> float:
        """Decides whether a request is held back, as its calls lack room.

        Args:
            ticket: The request.
            draw: A random number from 0 to 1.
            now: Monotonic seconds.

        Returns:
            0 if it may start; otherwise the seconds after which there is
            expected to be room.
        """
        if not self.is_enabled():
            return 0.0
        floor = self._rules().floor
        return self.admission.held_back_for(ticket.route, floor, draw, now)

    def held_routes(self, now: float) -> list[run_admission.HeldRoute]:
        """Routes of which runs were held back, for metrics and reports."""
        return self.admission.held_routes(self._rules().floor, now)

    def end_run(self, ticket: admission.Ticket, now: float) -> None:
        """Records the end of a run; requests that never ran are ignored.

        Args:
            ticket: The request.
            now: Monotonic seconds.
        """
        run = self._run_by_id.pop(ticket.id, None)
        if run is not None:
            calls = self._rejections_by_id.pop(ticket.id, [])
            self.admission.record_end(run.route, len(calls), sum(calls), now)

    def end_call(
        self,
        call: Call,
        route: str,
        service: str,
        seconds: float,
        lacked_room: bool,
        now: float,
    ) -> None:
        """Records the end of a call.

        Args:
            call: The call.
            route: Route that was called.
            service: Service that was called.
            seconds: Duration of the call.
            lacked_room: Whether it was rejected for lack of room.
            now: Monotonic seconds.
        """
        if call.run.id in self._run_by_id:
            rejections = self._rejections_by_id.setdefault(call.run.id, [])
            rejections.append(lacked_room)
        self.profile.record_call(
            call.run.route, route, service, seconds, lacked_room, now
        )
        self._update_calling_routes(now)

    def match(
        self,
        organisation: str,
        named_deadline: float | None,
        route_soft_deadline: float,
    ) -> Call | None:
        """Returns the call that a request is, or None if it is none.

        Args:
            organisation: Name of the calling organisation. Only a request
                without one may be a call, as calls carry no key.
            named_deadline: Monotonic seconds of the deadline that the request
                names, before it is limited to the timeout of its route; None
                if it names none.
            route_soft_deadline: Monotonic seconds up to which the objective of
                its route is met.
        """
        if organisation or named_deadline is None or not self.is_enabled():
            return None
        run = self._find(named_deadline)
        if run is None:
            self.unmatched += 1
            return None
        self.matched += 1
        return Call(
            run,
            run.priority,
            min(run.soft_deadline, route_soft_deadline),
            route_soft_deadline,
        )

    def _find(self, named_deadline: float) -> Run | None:
        """Returns the run with the nearest deadline within the tolerance.

        Of runs that can't be told apart, it is the most urgent one: a call of
        an urgent run that waits behind less urgent requests costs more than
        the opposite.
        """
        candidates = [
            (abs(named_deadline - run.deadline), run)
            for run in self._run_by_id.values()
            if -EARLY_TOLERANCE
            <= named_deadline - run.deadline
            <= LATE_TOLERANCE
        ]
        if not candidates:
            return None
        nearest = min(candidates, key=lambda candidate: candidate[0])[1]
        similar = [
            run
            for _, run in candidates
            if abs(run.deadline - nearest.deadline) <= AMBIGUITY
        ]
        self.ambiguous += len(similar) > 1
        return min(similar, key=lambda run: (run.priority, run.soft_deadline))
