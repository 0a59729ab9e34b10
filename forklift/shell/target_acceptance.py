"""Accepts targets that announce themselves once there is enough evidence.

Usually that is at once. A target waits if it may have left before the start of
the process, or if another target has its address.
"""

import asyncio
from collections.abc import Callable

import structlog

from forklift import address_claims
from forklift import heartbeats
from forklift import target_evidence
from forklift.shell import health_probe

_log = structlog.get_logger(__name__)


class TargetAcceptance:
    """Decides which heartbeats of unregistered targets register them.

    Attributes:
        evidence: Evidence on targets that may have left before the start.
        claims: Targets that announce an address that another target has.
        wanted: Set when targets that wait for evidence, or how their health is
            checked, may have changed.
    """

    def __init__(
        self,
        started_at: float,
        heartbeat_interval: float,
        max_delay: float,
        find_rival: Callable[
            [heartbeats.Heartbeat], heartbeats.TargetIncarnation | None
        ],
        on_accepted: Callable[[heartbeats.Heartbeat], None],
        on_ended: Callable[[str], None],
        now: Callable[[], float],
    ):
        """Creates an instance that does not know which targets have left.

        Args:
            started_at: Start of the process, monotonic seconds.
            heartbeat_interval: Seconds between two heartbeats of a target.
            max_delay: Seconds by which heartbeats are usually late at most.
            find_rival: Returns the registered target, other than its sender,
                that has the address of a heartbeat; None if there is none.
            on_accepted: Called with the newest heartbeat of a target that is
                accepted after it has waited.
            on_ended: Called with the name of a registered target that has
                ended, as another has its address.
            now: Returns monotonic seconds.
        """
        self._find_rival = find_rival
        self._on_accepted = on_accepted
        self._on_ended = on_ended
        self._now = now
        self.evidence = target_evidence.TargetEvidence(
            started_at, heartbeat_interval, max_delay
        )
        self.claims = address_claims.AddressClaims(heartbeat_interval)
        self.wanted = asyncio.Event()

    def set_heartbeat_interval(self, seconds: float) -> None:
        """Sets the time between two heartbeats of a target."""
        self.evidence.heartbeat_interval = seconds
        self.claims.heartbeat_interval = seconds

    def admits(self, heartbeat: heartbeats.Heartbeat, now: float) -> bool:
        """Whether a heartbeat of an unregistered target registers it.

        Args:
            heartbeat: The heartbeat. If it registers no target, it is kept
                until there is evidence.
            now: Monotonic seconds.
        """
        name = heartbeat.incarnation.name
        if not self.evidence.departures_known:
            return self._admits_by_evidence(heartbeat, now)
        rival = self._find_rival(heartbeat)
        if rival is None:
            return True
        started_later = address_claims.started_later(
            heartbeat.incarnation, rival
        )
        if started_later:
            self._on_ended(rival.name)
        if started_later is not None:
            return started_later
        if self.claims.record_claim(heartbeat, now):
            self._log_accepted(name, "heartbeats")
            return True
        _log.info("address_claimed", target=name, registered=rival.name)
        self.wanted.set()
        return False

    def _admits_by_evidence(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> bool:
        name = heartbeat.incarnation.name
        was_held = self.evidence.is_held(name)
        if not self.evidence.holds(heartbeat, now):
            self._log_accepted(name, "heartbeats")
            return True
        if not was_held:
            _log.info("target_held", target=name, sequence=heartbeat.sequence)
        self.wanted.set()
        return False

    def record_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> None:
        """Records a heartbeat, in order, of a registered target.

        Args:
            heartbeat: The heartbeat.
            now: Monotonic seconds.
        """
        self.evidence.record_heartbeat(heartbeat.incarnation.target, now)
        self.claims.record_heartbeat(heartbeat.address)

    @property
    def waiting(self) -> list[heartbeats.Heartbeat]:
        """The newest heartbeats of targets that wait for evidence."""
        return self.evidence.held_heartbeats + self.claims.newest_heartbeats

    def record_health_check(
        self,
        heartbeat: heartbeats.Heartbeat,
        result: health_probe.ProbeResult,
    ) -> None:
        """Records the answer to a health check at the address of a heartbeat.

        Args:
            heartbeat: Heartbeat of a target that waits for evidence.
            result: The answer.
        """
        name = heartbeat.incarnation.name
        is_own = result.target == heartbeat.incarnation.target
        if self.evidence.is_held(name):
            if is_own and result.healthy and not result.notice.leaving:
                self._accept(self.evidence.accept_healthy(name))
                self.evidence.begin_lease(result.target, self._now())
            return
        rival = self._find_rival(heartbeat)
        if rival is None:
            self._accept(self.claims.take(name))
        elif is_own:
            self._on_ended(rival.name)
            self._accept(self.claims.take(name))
        elif result.target == rival.target:
            # The heartbeat is a late one of a target that has ended.
            self.claims.take(name)
            _log.info("claim_rejected", target=name, registered=rival.name)

    def _accept(self, heartbeat: heartbeats.Heartbeat | None) -> None:
        if heartbeat is not None:
            self._log_accepted(heartbeat.incarnation.name, "health check")
            self._on_accepted(heartbeat)

    def accept_held(self, since: float) -> None:
        """Accepts the targets that have not left, as departures are known.

        Args:
            since: Heartbeats that arrived earlier are dropped, monotonic
                seconds.
        """
        for heartbeat in self.evidence.release(since):
            self._on_accepted(heartbeat)
        self.wanted.set()

    def _log_accepted(self, name: str, evidence: str) -> None:
        _log.info("target_accepted", target=name, evidence=evidence)
