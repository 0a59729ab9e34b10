"""Admission control of one target.

The controller runs in the process that owns the target. Every request to the
target passes through the controller, so its count of running requests is exact.
It limits concurrency to the target's slots, keeps to the rate limit that the
target has named, queues requests (`request_queue`), refuses those that cannot
end before their deadline, and starts none once the target leaves. All methods
are synchronous.
"""

import dataclasses
import enum
import math

from forklift import call_reserve
from forklift import fair_queueing
from forklift import health
from forklift import invariants
from forklift import latency
from forklift import messages
from forklift import request_queue
from forklift import slots_in_use
from forklift import target_rate_limit

Reason = messages.Reason
State = messages.TargetState
Signal = health.Signal

# Maximum number of queued requests per slot. It holds whatever their deadlines
# are.
MAX_QUEUED_PER_SLOT = 8
# Expected wait up to which every request is queued, also one that prefers to
# try another target. Another try costs a few milliseconds, and a copy of the
# request between failure domains.
SHORT_WAIT_SECONDS = 0.1
# Highest unhealthy probability at which a target counts as proven. A target
# that responded successfully a second ago is below it.
MAX_PROVEN_PROBABILITY = 0.15
# Seconds without an idempotent request after which a target counts as one that
# gets none. Many times the idle time after which it asks others for one.
IDEMPOTENT_MEMORY_SECONDS = 5.0
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
    # requests never run on an ejected target. About four in ten fail there, and
    # on a target that hangs each holds a slot until its deadline.
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
    """The request is queued for a slot.

    Attributes:
        ticket: The request.
        displaced: Refusals of queued requests that gave way to it.
    """

    ticket: Ticket
    displaced: tuple["Refused", ...] = ()


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

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        rules: fair_queueing.Rules = fair_queueing.OFF,
    ):
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
        self._slots_in_use = slots_in_use.SlotsInUse(
            lambda: self.slots, lambda: self.call_reserve
        )
        self.starts = 0
        self._last_start = float("-inf")
        # Counted from the first start, as idempotent requests may follow.
        self._last_idempotent_start = math.inf
        self.queue = request_queue.Queue(self._distribution, rules)

    @property
    def running(self) -> int:
        """Number of requests that the target is running."""
        return len(self._slots_in_use)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self.queue)

    @property
    def closed(self) -> bool:
        """Whether new requests are refused."""
        return self.state in (State.PAUSED, State.DRAINING, State.LEFT)

    @property
    def target_leaving(self) -> bool:
        """Whether the target announced that it leaves, or has left."""
        return self.state in (State.DRAINING, State.LEFT)

    def idle_seconds(self, now: float) -> float:
        """Seconds since the last start, at most `UNUSED_IDLE_SECONDS`."""
        return round(min(UNUSED_IDLE_SECONDS, now - self._last_start), 2)

    def lacks_idempotent_requests(self, now: float) -> bool:
        """Whether no idempotent request has started for long."""
        return now - self._last_idempotent_start > IDEMPOTENT_MEMORY_SECONDS

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
            self.idle_seconds(now),
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
        if has_room and (not self.waiting or self._only_limited_wait(now)):
            return self._start(ticket, now)
        placement = self.queue.place(
            ticket, now, self._expected_room(ticket, now)
        )
        wait = placement.wait
        duration = self._distribution(ticket, now).learned_median
        late = now + wait + duration > ticket.deadline
        late = late or now + wait > self.queue.latest_start(ticket, now)
        accepts_wait = ticket.wait or wait <= SHORT_WAIT_SECONDS
        if not accepts_wait or late or not placement.has_room:
            if self.rate_limit.wait(now) > 0:
                return self._refuse_for_rate_limit(ticket, wait)
            return self._refuse(ticket, Reason.BUSY, wait)
        self.queue.add(ticket)
        return Queued(ticket, self._displace(placement.displaced, now))

    def cancel(self, ticket: Ticket) -> bool:
        """Removes a queued request; returns False if it is not queued."""
        return self.queue.remove(ticket)

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
        running = self._slots_in_use.release(ticket)
        if running is None:
            return []
        self.queue.record_end(ticket)
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
        first = self.queue.head(now)
        if first is None or not self._has_slot(first, now):
            return None
        return self.rate_limit.wait(now)

    def exclude_pause(self, seconds: float) -> None:
        """Excludes a pause of this process from the age of requests."""
        self.health.exclude_pause(seconds)
        self._slots_in_use.exclude_pause(seconds)

    def _distribution(self, ticket: Ticket, now: float) -> latency.Distribution:
        return self.latencies.for_route(
            ticket.route, ticket.soft_deadline - now
        )

    def _expected_room(self, ticket: Ticket, now: float) -> request_queue.Room:
        """When the slots and the rate limit are expected to admit requests."""
        return request_queue.Room(
            self.slots,
            MAX_QUEUED_PER_SLOT * self.slots,
            lambda: self._slots_in_use.usual_times(ticket, now),
            lambda: self._slots_in_use.earliest_times(ticket, now),
            lambda ahead, priority: self.rate_limit.expected_wait(
                now, ahead, priority
            ),
        )

    def _displace(
        self, displaced: tuple[request_queue.Displaced, ...], now: float
    ) -> tuple[Refused, ...]:
        """Refuses queued requests in favour of another one."""
        refused = []
        for one in displaced:
            self.queue.remove(one.ticket)
            self.queue.usage.record_displaced(one.ticket.organisation, now)
            refused.append(self._refuse(one.ticket, Reason.BUSY, one.wait))
        return tuple(refused)

    def _only_limited_wait(self, now: float) -> bool:
        """Whether all queued requests wait until a slot is not reserved."""
        first = self.call_reserve.first_unlimited(self.queue.tickets)
        return self._slots_in_use.reserve_full(now) and first is None

    def _has_slot(self, ticket: Ticket, now: float) -> bool:
        return self._slots_in_use.has_free(ticket, now)

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
        self._slots_in_use.take(ticket, distribution, now)
        self._last_start = now
        if ticket.idempotent or self._last_idempotent_start > now:
            self._last_idempotent_start = now
        self.starts += 1
        self.queue.record_start(ticket, now)
        self.rate_limit.take(now, ticket.priority)
        self.health.record_start(ticket.id, distribution, now)
        return Started(ticket)

    def start_waiting(self, now: float) -> list[Decision]:
        """Starts the queued requests for which there is room."""
        decisions: list[Decision] = []
        while (
            self.waiting
            and self.running < self.slots
            and self.rate_limit.wait(now) == 0
        ):
            ticket = self._next_ticket(now)
            reason = self._refusal_reason(ticket, now)
            if reason is None and not self._has_slot(ticket, now):
                # Later requests wait, so that the exclusive one can start.
                break
            if reason is not None:
                self.queue.remove(ticket)
                decisions.append(self._refuse(ticket, reason))
            else:
                decisions.append(self._start(ticket, now))
        return decisions

    def _next_ticket(self, now: float) -> Ticket:
        """The queued request to start next."""
        if self._slots_in_use.reserve_full(now):
            ordered = self.queue.ordered(now)
            return ordered[self.call_reserve.first_unlimited(ordered) or 0]
        return self.queue.next(now)

    def _expire(self, now: float) -> list[Decision]:
        late = self.queue.remove_if(
            lambda ticket: self.queue.latest_start(ticket, now) <= now
        )
        return [
            self._refuse(
                ticket,
                Reason.DEADLINE if ticket.latest_start <= now else Reason.BUSY,
                self._retry_delay(ticket, now),
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
        kept = 0
        for ticket in self.queue.ordered(now):
            wait = self.rate_limit.expected_wait(now, kept, ticket.priority)
            if now + wait > ticket.latest_start:
                self.queue.remove(ticket)
                decisions.append(self._refuse_for_rate_limit(ticket, wait))
            else:
                kept += 1
        return decisions

    def _refuse_after_ejection(self) -> list[Decision]:
        """Refuses queued requests that may not run on an ejected target."""
        refused = self.queue.remove_if(lambda one: not _accepts_ejected(one))
        return [self._refuse(ticket, Reason.EJECTED) for ticket in refused]

    def _refuse_for_rate_limit(self, ticket: Ticket, wait: float) -> Refused:
        self.rate_limit.refused += 1
        return self._refuse(ticket, Reason.BUSY, wait)

    def _refuse_all(self, reason: Reason) -> list[Decision]:
        tickets = self.queue.remove_if(lambda ticket: True)
        return [self._refuse(ticket, reason) for ticket in tickets]

    def _refuse(
        self, ticket: Ticket, reason: Reason, retry_after: float = 0.0
    ) -> Refused:
        count = self.refusals_by_reason.get(reason, 0)
        self.refusals_by_reason[reason] = count + 1
        self.queue.usage.record_refusal(ticket.priority)
        return Refused(ticket, reason, retry_after)


def _accepts_ejected(ticket: Ticket) -> bool:
    """Whether a request stays queued when the target is ejected."""
    return ticket.idempotent and ticket.required_health is RequiredHealth.ANY
