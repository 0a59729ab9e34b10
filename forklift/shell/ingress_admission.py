"""Asks the admission level before a request of a caller is forwarded.

While overload control is off, nothing is asked or recorded.
"""

import random
from collections.abc import Callable

import structlog

from forklift import admission_level
from forklift import catalog
from forklift import load_balancer
from forklift import messages
from forklift.shell import exchange
from forklift.shell import logs

_log = structlog.get_logger(__name__)

# Seconds for which the room of a service is kept. Reading it takes one step for
# each target, which must not be spent on each refusal.
ROOM_SECONDS = 0.02
# Maximum number of refusals logged in a second. More would leave no place for
# other lines, whose number is limited, too.
MAX_LOGGED_PER_SECOND = 10


class IngressAdmission:
    """Admission levels of the requests that enter at this process.

    Attributes:
        levels: Decides whether to refuse requests.
    """

    def __init__(
        self, balancer: load_balancer.LoadBalancer, clock, rng: random.Random
    ):
        self.levels = admission_level.AdmissionLevels()
        self._is_enabled: Callable[[], bool] = lambda: False
        self._floor: Callable[[], float] = lambda: 0.0
        self._active_catalog = catalog.ActiveCatalog()
        self._balancer = balancer
        self._clock = clock
        self._rng = rng
        self._room_by_service: dict[
            str, tuple[float, admission_level.Room]
        ] = {}
        self._log_limiter = logs.FixedWindowLimiter(MAX_LOGGED_PER_SECOND)
        self._unlogged = 0

    def connect(
        self,
        is_enabled: Callable[[], bool],
        floor: Callable[[], float],
        active_catalog: catalog.ActiveCatalog,
    ) -> None:
        """Sets what decides whether and how requests are refused.

        Args:
            is_enabled: Returns whether overload control is in force.
            floor: Returns the lowest probability of admission.
            active_catalog: Holds the weights of organisations.
        """
        self._is_enabled = is_enabled
        self._floor = floor
        self._active_catalog = active_catalog

    def refuse(self, request: exchange.Request) -> exchange.Result | None:
        """Refuses a request that has no chance; None if it is admitted."""
        if not self._is_enabled():
            return None
        now = self._clock.monotonic()
        room = admission_level.Room()
        if self.levels.is_lacking(request.service, now):
            room = self._room(request.service, now)
        refusal = self.levels.decide(
            self._arrival(request), room, self._floor(), self._rng.random(), now
        )
        if refusal is None:
            return None
        self._log_refusal(request, refusal, room, now)
        return exchange.not_run(
            messages.Reason.BUSY, round(refusal.retry_after, 2)
        )

    def is_within_part(self, request: exchange.Request) -> bool:
        """Whether the organisation of an admitted request sends its part."""
        return self._is_enabled() and self.levels.is_within_part(
            self._arrival(request), self._clock.monotonic()
        )

    def record(
        self,
        request: exchange.Request,
        result: exchange.Result,
        arrived_at: float,
        has_waited: bool,
    ) -> None:
        """Records the end of a forwarded request.

        Args:
            request: The request.
            result: How it ended.
            arrived_at: Monotonic seconds at which it arrived.
            has_waited: Whether it was sent to targets without a free slot.
        """
        if not self._is_enabled():
            return
        now = self._clock.monotonic()
        ending = result.ending
        room = admission_level.Room()
        if ending.outcome is messages.Outcome.NOT_RUN:
            room = self._room(request.service, now)
        lacked = admission_level.lacked_room(
            ending.outcome, ending.reason, now - arrived_at, room
        )
        answered = ending.outcome is messages.Outcome.ANSWERED
        at_once = answered and not has_waited
        self.levels.record_end(
            self._arrival(request), lacked, arrived_at if at_once else None, now
        )

    def read(self) -> dict[str, admission_level.ServiceLevel]:
        """Returns the level of each service, by name."""
        return self.levels.levels(self._clock.monotonic())

    def _log_refusal(
        self,
        request: exchange.Request,
        refusal: admission_level.Refusal,
        room: admission_level.Room,
        now: float,
    ) -> None:
        """Logs a refusal, unless many were logged in this second."""
        if not self._log_limiter.try_take(now):
            self._unlogged += 1
            return
        _log.info(
            "level_refused",
            request=request.id,
            service=request.service,
            priority=request.priority,
            organisation=request.organisation,
            admitted_share=round(refusal.level, 3),
            lacked=round(refusal.lack_age, 2),
            free=round(room.free, 1),
            reports=room.reports,
            wait=round(refusal.retry_after, 2),
            unlogged=self._unlogged,
        )
        self._unlogged = 0

    def _arrival(self, request: exchange.Request) -> admission_level.Arrival:
        name = request.organisation
        organisation = self._active_catalog.catalog.organisation(name)
        weight = organisation.weight if organisation is not None else 1.0
        return admission_level.Arrival(
            request.service, request.priority, name, weight
        )

    def _room(self, service: str, now: float) -> admission_level.Room:
        read_at, room = self._room_by_service.get(
            service, (-ROOM_SECONDS, admission_level.Room())
        )
        if now - read_at < ROOM_SECONDS:
            return room
        is_reachable = self._balancer.reachability.is_reachable
        views = (
            view
            for view in self._balancer.views(service)
            if is_reachable(view.process)
        )
        room = admission_level.known_room(views, now)
        if len(self._room_by_service) >= admission_level.MAX_SERVICES:
            self._room_by_service.clear()
        self._room_by_service[service] = (now, room)
        return room
