"""Admission control of one target.

The controller runs in the process that owns the target. Every request to the
target passes through the controller, so its count of running requests is exact.
It limits concurrency to the target's slots, keeps to the rate limit that the
target has named, queues requests by priority, refuses those that cannot end
before their deadline, and starts none once the target leaves. All methods are
synchronous.
"""

import bisect
import dataclasses
import enum
import heapq
import math

from forklift import call_reserve
from forklift import health
from forklift import invariants
from forklift import latency
from forklift import messages
from forklift import running_request
from forklift import target_rate_limit

Reason = messages.Reason
State = messages.TargetState
Signal = health.Signal

# Maximum number of queued requests per slot.
MAX_QUEUED_PER_SLOT = 8
# Expected wait up to which every request is queued, also one that prefers to
# try another target.
SHORT_WAIT_SECONDS = 0.1
# Highest unhealthy probability at which a target counts as proven.
MAX_PROVEN_PROBABILITY = 0.15
# Idle time reported by a target that has run no request yet. Longer idle times
# are reported as this value.
UNUSED_IDLE_SECONDS = 1000.0


class RequiredHealth(enum.IntEnum):
    """How healthy a target must be to run a request."""

    # The target has recently served requests successfully.
    PROVEN = 0
    # The target is not ejected.
    SOUND = 1
    # Any target, also an ejected one, if the request is idempotent. Other
    # requests never run on an ejected target.
    ANY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request for admission.

    Attributes:
        id: Boot identity of the sender and its sequence number of the request.
        idempotent: Whether the request may run more than once.
        priority: Priority; 0 is the most urgent.
        deadline: Monotonic seconds of this process at which the request times
            out.
        required_health: How healthy the target must be.
        soft_deadline: Monotonic seconds up to which the latency objective of
            the route is met.
        route: Name of the route, for the expected latency.
        wait: Whether the request accepts any wait up to its latest start.
            Otherwise it is refused if the expected wait is longer than
            `SHORT_WAIT_SECONDS`, so that the sender can try another target.
        start_by: Monotonic seconds after which the request is refused if it
            has not started.
        exclusive: Whether the request runs only while no other does. It may
            crash the target; concurrent requests would then fail and be
            suspected as well.
        organisation: Name of the calling organisation; empty if there is none.
        is_call: Whether a run of a target makes the request.
    """

    id: tuple[int, int]
    idempotent: bool
    priority: int
    deadline: float
    required_health: RequiredHealth = RequiredHealth.PROVEN
    soft_deadline: float = math.inf
    route: str = ""
    wait: bool = True
    start_by: float = math.inf
    exclusive: bool = False
    organisation: str = ""
    is_call: bool = False

    @property
    def latest_start(self) -> float:
        """Monotonic seconds after which the request is not started."""
        return min(self.deadline, self.start_by)


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The request is admitted and may be sent to the target now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued for a slot."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is rejected and does not run on this target.

    Attributes:
        ticket: The request.
        reason: Reason of the rejection.
        retry_after: Seconds after which a slot is expected to be free.
    """

    ticket: Ticket
    reason: Reason
    retry_after: float = 0.0


Decision = Started | Queued | Refused


class Controller:
    """Slots, queue and health of one target."""

    def __init__(self, name: str, service: str, slots: int):
        self.name = name
        self.service = service
        self.slots = slots
        self.state = State.IN_SERVICE
        self.health = health.Health()
        self.latencies = latency.RouteLatencies()
        self.version = 1
        # End of the slow start that the target announced, monotonic seconds.
        self.cold_until = 0.0
        self.refusals_by_reason: dict[Reason, int] = {}
        self.rate_limit = target_rate_limit.TargetRateLimit()
        self.call_reserve = call_reserve.CallReserve()
        self.starts = 0
        self._last_start = float("-inf")
        self._running_by_id: dict[
            tuple[int, int], running_request.RunningRequest
        ] = {}
        # Sorted by priority, then by soft deadline. A request that another
        # target refused thus keeps its place.
        self._waiting: list[tuple[tuple[int, float, int], Ticket]] = []
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Number of requests that the target is running."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiting)

    @property
    def closed(self) -> bool:
        """Whether new requests are refused."""
        return self.state in (State.PAUSED, State.DRAINING, State.LEFT)

    @property
    def target_leaving(self) -> bool:
        """Whether the target announced that it leaves, or has left."""
        return self.state in (State.DRAINING, State.LEFT)

    def load(self, now: float, route: str = "") -> messages.Load:
        """Load and state of the target, for load balancers.

        Args:
            now: Monotonic seconds.
            route: The route whose latency is included, if known.
        """
        state = self.state
        if not self.closed:
            if self.health.ejected:
                state = State.SUSPECT
            elif self.health.shedding(now):
                state = State.SHEDDING
        distribution = self.latencies.get(route)
        return messages.Load(
            self.running,
            self.waiting,
            self.slots,
            state,
            self.version,
            round(distribution.median, 4) if distribution else 0.0,
            round(min(UNUSED_IDLE_SECONDS, now - self._last_start), 2),
            round(self.health.unhealthy_probability(now), 2),
            round(distribution.spread, 2) if distribution else 0.0,
            rate_limit=self.rate_limit.status(now, self.waiting),
        )

    # Requests.

    def admit(self, ticket: Ticket, now: float) -> Decision:
        """Starts, queues or refuses a request."""
        reason = self._refusal_reason(ticket, now)
        if reason is not None:
            return self._refuse(ticket, reason)
        self.call_reserve.record(ticket, now)
        has_room = self._has_slot(ticket, now) and not self.rate_limit.wait(now)
        if has_room and (not self._waiting or self._only_limited_wait(now)):
            return self._start(ticket, now)
        position = (ticket.priority, ticket.soft_deadline, self._arrivals + 1)
        wait = self._expected_wait(position, now, ticket)
        duration = self._distribution(ticket, now).learned_median
        late = now + wait + duration > ticket.deadline
        late = late or now + wait > ticket.start_by
        full = self.waiting >= MAX_QUEUED_PER_SLOT * self.slots
        accepts_wait = ticket.wait or wait <= SHORT_WAIT_SECONDS
        if not accepts_wait or late or full:
            if self.rate_limit.wait(now) > 0:
                return self._refuse_for_rate_limit(ticket, wait)
            return self._refuse(ticket, Reason.BUSY, wait)
        self._arrivals += 1
        entry = (position, ticket)
        bisect.insort(self._waiting, entry, key=lambda entry: entry[0])
        return Queued(ticket)

    def cancel(self, ticket: Ticket) -> bool:
        """Removes a queued request; returns False if it is not queued."""
        before = len(self._waiting)
        self._waiting = [e for e in self._waiting if e[1].id != ticket.id]
        return len(self._waiting) < before

    def finish(
        self, ticket: Ticket, signal: Signal | None, now: float
    ) -> list[Decision]:
        """Records the end of a started request and frees its slot.

        Args:
            ticket: The request.
            signal: What the end of the request says about the health of the
                target; None if it was cancelled.
            now: Monotonic seconds.

        Returns:
            Decisions on queued requests.
        """
        running = self._running_by_id.pop(ticket.id, None)
        if running is None:
            return []
        seconds = now - running.started
        if signal is Signal.SUCCESS:
            running.distribution.record(seconds)
        elif signal is None:
            healthy_probability = 1 - self.health.unhealthy_probability(now)
            running.distribution.record_censored(
                seconds,
                healthy_probability * running.distribution.survival(seconds),
            )
        changed = self.health.record_end(ticket.id, signal, now)
        return self._apply_ejection_change(changed) + self.start_waiting(now)

    def _apply_ejection_change(self, changed: bool) -> list[Decision]:
        """Updates version and queue after an ejection or a reinstatement."""
        if not changed:
            return []
        self.version += 1
        return self._refuse_after_ejection() if self.health.ejected else []

    # State of the target.

    def mark_draining(self) -> list[Decision]:
        """Refuses all requests, because the target is leaving."""
        return self._close(State.DRAINING, (State.IN_SERVICE, State.PAUSED))

    def mark_paused(self) -> list[Decision]:
        """Refuses all requests, as this process stops without its target."""
        return self._close(State.PAUSED, (State.IN_SERVICE,))

    def mark_left(self) -> list[Decision]:
        """Refuses all requests, because the target has left."""
        return self._close(State.LEFT, tuple(State))

    def _close(self, state: State, former: tuple[State, ...]) -> list[Decision]:
        if self.state in former and self.state is not state:
            self.state = state
            self.version += 1
        return self._refuse_all(Reason.DRAINING)

    def tick(self, now: float) -> list[Decision]:
        """Expires queued requests and reevaluates the target's health."""
        decisions = self._expire(now) + self._refuse_too_late(now)
        decisions += self._apply_ejection_change(self.health.evaluate(now))
        return decisions + self.start_waiting(now)

    def record_rate_limit(
        self, rate: float, sent_at: float, now: float
    ) -> list[Decision]:
        """Records the rate limit that a response names.

        Args:
            rate: Requests per second; infinite if the response names no limit.
            sent_at: Monotonic seconds at which the request was sent.
            now: Monotonic seconds.

        Returns:
            Decisions on queued requests.
        """
        if self.rate_limit.record(rate, sent_at, now):
            self.version += 1
        return self._refuse_too_late(now) + self.start_waiting(now)

    def adopt_rate_limit(self, rate: float, now: float) -> None:
        """Adopts a rate limit that another process remembers.

        Args:
            rate: Requests per second.
            now: Monotonic seconds.
        """
        if self.rate_limit.adopt(rate, now):
            self.version += 1

    def seconds_until_start(self, now: float) -> float | None:
        """Seconds until the rate limit lets the first queued request start.

        None if no request is queued, or if the first waits for a slot.
        """
        if not self._waiting or not self._has_slot(self._waiting[0][1], now):
            return None
        return self.rate_limit.wait(now)

    def exclude_pause(self, seconds: float) -> None:
        """Excludes a pause of this process from the age of requests."""
        self.health.exclude_pause(seconds)
        for running in self._running_by_id.values():
            running.started += seconds

    def _distribution(self, ticket: Ticket, now: float) -> latency.Distribution:
        return self.latencies.for_route(
            ticket.route, ticket.soft_deadline - now
        )

    def _expected_wait(
        self, position: tuple[int, float, int], now: float, ticket: Ticket
    ) -> float:
        """Seconds until a slot is expected for a queue position.

        The rate limit of the target may make the request wait for longer.
        """
        runs = list(self._running_by_id.values())
        runs, slots = self.call_reserve.usable(ticket, runs, self.slots, now)
        free_at = [run.remaining(now) for run in runs]
        blocked = max(free_at) if self._exclusive_running else 0.0
        free_at += [blocked] * (slots - len(free_at))
        heapq.heapify(free_at)
        ahead = 0
        for other_position, other in self._waiting:
            if other_position > position:
                break
            ahead += 1
            mean = self._distribution(other, now).mean
            heapq.heapreplace(free_at, free_at[0] + mean)
        slot_wait = max(free_at) if ticket.exclusive else free_at[0]
        limit_wait = self.rate_limit.expected_wait(now, ahead, ticket.priority)
        return max(slot_wait, limit_wait)

    @property
    def _exclusive_running(self) -> bool:
        """Whether a running request excludes all others from the target."""
        return any(run.ticket.exclusive for run in self._running_by_id.values())

    def _reserve_full(self, now: float) -> bool:
        """Whether all slots that are free are reserved for calls."""
        runs = self._running_by_id.values()
        return self.call_reserve.is_full(runs, self.slots, now)

    def _first_unlimited(self) -> int | None:
        """Index of the first queued request that may use a reserved slot."""
        tickets = (entry[1] for entry in self._waiting)
        return self.call_reserve.first_unlimited(tickets)

    def _only_limited_wait(self, now: float) -> bool:
        """Whether all queued requests wait until a slot is not reserved."""
        return self._reserve_full(now) and self._first_unlimited() is None

    def _has_slot(self, ticket: Ticket, now: float) -> bool:
        """Whether a slot is free for the request."""
        if ticket.exclusive:
            return not self.running
        if self.call_reserve.is_limited(ticket) and self._reserve_full(now):
            return False
        return self.running < self.slots and not self._exclusive_running

    def _refusal_reason(self, ticket: Ticket, now: float) -> Reason | None:
        if self.closed:
            return Reason.DRAINING
        if ticket.latest_start <= now:
            return Reason.DEADLINE
        if ticket.idempotent and ticket.required_health is RequiredHealth.ANY:
            return None
        if self.health.ejected:
            is_trial = ticket.idempotent and self.health.allows_trial(now)
            return None if is_trial else Reason.EJECTED
        if (
            ticket.idempotent
            or ticket.required_health is not RequiredHealth.PROVEN
        ):
            return None
        unproven = (
            self.health.unhealthy_probability(now) > MAX_PROVEN_PROBABILITY
        )
        cold = now < self.cold_until
        return Reason.UNPROVEN if unproven or cold else None

    def _start(self, ticket: Ticket, now: float) -> Started:
        invariants.no_new_work(self.closed, self.name)
        distribution = self._distribution(ticket, now)
        self._running_by_id[ticket.id] = running_request.RunningRequest(
            ticket, now, distribution
        )
        self._last_start = now
        self.starts += 1
        self.rate_limit.take(now, ticket.priority)
        self.health.record_start(ticket.id, distribution, now)
        return Started(ticket)

    def start_waiting(self, now: float) -> list[Decision]:
        """Starts the queued requests for which there is room."""
        decisions: list[Decision] = []
        while (
            self._waiting
            and self.running < self.slots
            and self.rate_limit.wait(now) == 0
        ):
            index = self._next_index(now)
            ticket = self._waiting[index][1]
            reason = self._refusal_reason(ticket, now)
            if reason is None and not self._has_slot(ticket, now):
                # Later requests wait, so that the exclusive one can start.
                break
            del self._waiting[index]
            if reason is not None:
                decisions.append(self._refuse(ticket, reason))
            else:
                decisions.append(self._start(ticket, now))
        return decisions

    def _next_index(self, now: float) -> int:
        """Index of the queued request to start next.

        Among requests of the highest priority, the first that can still meet
        its latency objective goes first. Serving late requests first would
        make the requests behind them miss their objectives, too.
        """
        if self._reserve_full(now):
            return self._first_unlimited() or 0
        priority = self._waiting[0][1].priority
        for index, (_, ticket) in enumerate(self._waiting):
            if ticket.priority != priority:
                break
            if (
                now + self._distribution(ticket, now).median
                <= ticket.soft_deadline
            ):
                return index
        return 0

    def _expire(self, now: float) -> list[Decision]:
        waiting = [entry[1] for entry in self._waiting]
        late = [ticket for ticket in waiting if ticket.latest_start <= now]
        self._waiting = [e for e in self._waiting if e[1].latest_start > now]
        return [
            self._refuse(
                ticket, Reason.DEADLINE, self._retry_delay(ticket, now)
            )
            for ticket in late
        ]

    def _retry_delay(self, ticket: Ticket, now: float) -> float:
        """Seconds after which an expired request may find a slot."""
        return self._distribution(ticket, now).median

    def _refuse_too_late(self, now: float) -> list[Decision]:
        """Refuses queued requests that the rate limit does not let start.

        The limit may have become known after a request was queued, and more
        urgent requests may have been queued before it.
        """
        if self.rate_limit.finite_rate is None:
            return []
        decisions: list[Decision] = []
        kept: list[tuple[tuple[int, float, int], Ticket]] = []
        for entry in self._waiting:
            ticket = entry[1]
            wait = self.rate_limit.expected_wait(
                now, len(kept), ticket.priority
            )
            if now + wait > ticket.latest_start:
                decisions.append(self._refuse_for_rate_limit(ticket, wait))
            else:
                kept.append(entry)
        self._waiting = kept
        return decisions

    def _refuse_after_ejection(self) -> list[Decision]:
        """Refuses queued requests that may not run on an ejected target."""
        entries = self._waiting
        self._waiting = [e for e in entries if _accepts_ejected(e[1])]
        refused = [e[1] for e in entries if not _accepts_ejected(e[1])]
        return [self._refuse(ticket, Reason.EJECTED) for ticket in refused]

    def _refuse_for_rate_limit(self, ticket: Ticket, wait: float) -> Refused:
        self.rate_limit.refused += 1
        return self._refuse(ticket, Reason.BUSY, wait)

    def _refuse_all(self, reason: Reason) -> list[Decision]:
        tickets = [entry[1] for entry in self._waiting]
        self._waiting = []
        return [self._refuse(ticket, reason) for ticket in tickets]

    def _refuse(
        self, ticket: Ticket, reason: Reason, retry_after: float = 0.0
    ) -> Refused:
        count = self.refusals_by_reason.get(reason, 0)
        self.refusals_by_reason[reason] = count + 1
        return Refused(ticket, reason, retry_after)


def _accepts_ejected(ticket: Ticket) -> bool:
    """Whether a request stays queued when the target is ejected."""
    return ticket.idempotent and ticket.required_health is RequiredHealth.ANY
