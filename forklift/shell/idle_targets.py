"""Announces and logs local targets that receive no requests."""

from collections.abc import Callable
from collections.abc import Iterable

import structlog

from forklift import admission
from forklift import idle_phases
from forklift import idle_selection
from forklift import load_balancer
from forklift import messages
from forklift.shell import local_targets

_log = structlog.get_logger(__name__)

# Seconds without a request after which a target counts as idle in the log.
LOGGED_IDLE_SECONDS = idle_selection.CAPACITY_FLOOR_SECONDS


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
        send: Callable[[str, messages.Load, int, list[str], bool], None],
    ):
        """Creates an observer of the local targets.

        Args:
            targets: The local targets.
            balancer: Knows the requests that this process receives.
            send: Sends the name and the load of an idle target to a number of
                processes, preferably to the named ones, and whether it asks for
                any request.
        """
        self._targets = targets
        self._balancer = balancer
        self._send = send
        self._phases = idle_phases.IdlePhases()
        self._proofs = idle_phases.Proofs()
        self._senders_by_target: dict[str, idle_phases.RecentSenders] = {}
        self.announcements = 0

    def tick(self, now: float) -> None:
        """Announces and logs the targets that are idle now."""
        self._retain(self._targets.by_name)
        for name, local_target in self._targets.by_name.items():
            controller = local_target.controller
            if controller.idle_seconds(now) <= idle_phases.IDLE_TARGET_SECONDS:
                self._end_phase(name)
                self._prove(name, controller, now)
                continue
            load = controller.load(now)
            if not idle_phases.is_usable(load):
                self._phases.end(name)
                continue
            requests = self._balancer.request_count(controller.service)
            phase = self._phases.observe(name, requests)
            fanout = phase.next_fanout(now)
            if fanout:
                self._announce(name, controller, fanout, now)
            self._log_phase(controller.service, name, load, phase, now)

    def record_sender(
        self, target: str, process: str, idempotent: bool, now: float
    ) -> None:
        """Records that a process has sent a request to a local target."""
        if target in self._targets.by_name:
            self._senders_by_target.setdefault(
                target, idle_phases.RecentSenders()
            ).record(process, idempotent, now)

    def _retain(self, targets: Iterable[str]) -> None:
        """Forgets all other targets."""
        self._phases.retain(targets)
        self._proofs.retain(targets)
        for name in self._senders_by_target.keys() - set(targets):
            del self._senders_by_target[name]

    def _prove(
        self, name: str, controller: admission.Controller, now: float
    ) -> None:
        """Announces a target that has not shown its health since it was idle.

        The end of a request that it runs shows it, so it asks for no other
        meanwhile.
        """
        if (
            _asks_for_any_kind(controller, now)
            and not controller.running
            and self._proofs.is_due(name, controller.starts, now)
        ):
            self._announce(name, controller, idle_phases.LATER_FANOUT, now)

    def _announce(
        self,
        name: str,
        controller: admission.Controller,
        fanout: int,
        now: float,
    ) -> None:
        """Asks a number of processes for a request."""
        load = controller.load(now)
        any_kind = _asks_for_any_kind(controller, now)
        if any_kind:
            self._proofs.begin(name, controller.starts)
            # The callers of this process know of it, too.
            self._balancer.record_work_request(name, load, now, any_kind)
        senders = self._senders_by_target.get(name)
        names = senders.names(load.state, now) if senders is not None else []
        self.announcements += 1
        self._send(name, load, fanout, names, any_kind)

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


def _asks_for_any_kind(controller: admission.Controller, now: float) -> bool:
    """Whether only requests that must run once can show a target's health."""
    is_sound = controller.state is messages.TargetState.IN_SERVICE
    return is_sound and controller.lacks_idempotent_requests(now)
