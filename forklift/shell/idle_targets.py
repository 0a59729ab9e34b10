"""Announces and logs local targets that receive no requests."""

from collections.abc import Callable

import structlog

from forklift import idle_phases
from forklift import load_balancer
from forklift import messages
from forklift.shell import local_targets

_log = structlog.get_logger(__name__)

# Seconds without a request after which a target is announced as idle. Must
# exceed the time within which an ingress process that has callers sends to an
# idle target anyway.
IDLE_TARGET_SECONDS = 1.2
# Seconds without a request after which a target counts as idle in the log.
LOGGED_IDLE_SECONDS = load_balancer.CAPACITY_FLOOR_SECONDS


class IdleTargets:
    """Asks other processes to send requests to idle local targets.

    An ingress process sends to idle targets only while it has callers. If this
    one has none, the other processes would go on with the targets that they
    know to be healthy.

    Attributes:
        announcements: Number of announcements so far.
    """

    def __init__(
        self,
        targets: local_targets.LocalTargets,
        balancer: load_balancer.LoadBalancer,
        send: Callable[[str, messages.Load], None],
    ):
        """Creates an observer of the local targets.

        Args:
            targets: The local targets.
            balancer: Knows the requests that this process receives.
            send: Sends the name and the load of an idle target.
        """
        self._targets = targets
        self._balancer = balancer
        self._send = send
        self._phases = idle_phases.IdlePhases()
        self.announcements = 0

    def tick(self, now: float) -> None:
        """Announces and logs the targets that are idle now."""
        self._phases.retain(self._targets.by_name)
        for name, local_target in self._targets.by_name.items():
            service = local_target.controller.service
            load = local_target.controller.load(now)
            if not idle_phases.is_usable(load):
                self._phases.end(name)
            elif load.idle <= IDLE_TARGET_SECONDS:
                self._end_phase(name)
            else:
                requests = self._balancer.request_count(service)
                phase = self._phases.observe(name, requests)
                phase.announcements += 1
                self.announcements += 1
                self._send(name, load)
                self._log_phase(service, name, load, phase, now)

    def _log_phase(
        self,
        service: str,
        name: str,
        load: messages.Load,
        phase: idle_phases.IdlePhase,
        now: float,
    ) -> None:
        """Logs, once a phase, what this process knew of an idle target."""
        if phase.reported or load.idle < LOGGED_IDLE_SECONDS:
            return
        phase.reported = True
        received = self._balancer.request_count(service)
        _log.info(
            "target_idle",
            target=name,
            service=service,
            state=str(load.state),
            risk=load.unhealthy_probability,
            idle=load.idle,
            requests=received - phase.requests_before,
            failing=self._balancer.known_failure_percent(service, now),
            announcements=phase.announcements,
        )

    def _end_phase(self, name: str) -> None:
        phase = self._phases.end(name)
        if phase is not None and phase.reported:
            _log.info(
                "target_used", target=name, announcements=phase.announcements
            )
