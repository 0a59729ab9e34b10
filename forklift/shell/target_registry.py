"""Registers local targets on their heartbeats and removes them."""

import asyncio
import math
from collections.abc import Callable

import structlog

from forklift import catalog
from forklift import header_fields
from forklift import heartbeats
from forklift import invalid_input
from forklift import notice_memory
from forklift import settings
from forklift.shell import clock as clocks
from forklift.shell import connection_pool
from forklift.shell import departure_store
from forklift.shell import health_probe
from forklift.shell import local_targets
from forklift.shell import target_acceptance
from forklift.shell import target_factory

_log = structlog.get_logger(__name__)

# Number of missed heartbeats after which a target expires.
MAX_MISSED_HEARTBEATS = 3
# Seconds added to the time after which a target expires, as heartbeats may be
# late.
HEARTBEAT_TOLERANCE = 3.5


class TargetRegistry:
    """Adds local targets that announce themselves; removes lost ones.

    Attributes:
        settings: Current settings of the process.
        acceptance: Decides which announced targets are registered.
        stopping: Whether the process shuts down, so that no target accepts new
            requests.
    """

    def __init__(
        self,
        initial: settings.Settings,
        header_names: header_fields.HeaderNames,
        active_catalog: catalog.ActiveCatalog,
        targets: local_targets.LocalTargets,
        clock: clocks.SystemClock,
        on_change: Callable[[], None],
        notices: notice_memory.NoticeMemory,
        stored_departures: departure_store.DepartureStore,
    ):
        """Creates a registry without targets.

        Args:
            initial: Settings of the process.
            header_names: Names of the platform's header fields.
            active_catalog: The catalog that this process uses.
            targets: The local targets, which this registry adds and removes.
            clock: Source of time.
            on_change: Called when a target was added, removed or renamed.
            notices: What targets have announced in responses.
            stored_departures: Stores which targets have left.
        """
        self.settings = initial
        self._header_names = header_names
        self._active_catalog = active_catalog
        self._local_targets = targets
        self._clock = clock
        self._on_change = on_change
        self._notices = notices
        self._stored_departures = stored_departures
        self._factory = target_factory.TargetFactory(
            active_catalog, lambda: self.settings.overload, clock.monotonic
        )
        self._last_seen_by_target: dict[str, float] = {}
        self._incarnations = heartbeats.IncarnationTracker(
            self._heartbeat_interval + HEARTBEAT_TOLERANCE
        )
        self.acceptance = target_acceptance.TargetAcceptance(
            clock.monotonic(),
            self._heartbeat_interval,
            HEARTBEAT_TOLERANCE,
            self._find_rival,
            self._apply,
            self._end_crashed,
            clock.monotonic,
        )
        self.stopping = False

    @property
    def _heartbeat_interval(self) -> float:
        """Seconds between two heartbeats of a target."""
        return self.settings.platform.heartbeat_ms / 1000

    @property
    def _expiry_seconds(self) -> float:
        """Seconds without a heartbeat after which a target expires."""
        return (
            MAX_MISSED_HEARTBEATS * self._heartbeat_interval
            + HEARTBEAT_TOLERANCE
        )

    def apply_settings(self, changed: settings.Settings) -> None:
        """Applies changed settings."""
        self.settings = changed
        interval = self._heartbeat_interval
        self._incarnations.max_delay = interval + HEARTBEAT_TOLERANCE
        self.acceptance.set_heartbeat_interval(interval)

    @property
    def has_targets(self) -> bool:
        """Whether any target is registered."""
        return bool(self._local_targets.by_name)

    def record_heartbeat(
        self, heartbeat: heartbeats.Heartbeat
    ) -> asyncio.Future | None:
        """Records a heartbeat and adds, replaces or drains its target.

        Returns:
            A future that must be done before the heartbeat is acknowledged;
            None if it may be acknowledged at once.
        """
        now = self._clock.monotonic()
        target = heartbeat.incarnation.target
        self._stored_departures.refresh(heartbeat.incarnation.name)
        current = self._incarnations.current_name(target)
        if (
            heartbeat.leaving
            or current in self._local_targets.by_name
            or self.acceptance.admits(heartbeat, now)
        ):
            self._apply(heartbeat)
        if not heartbeat.leaving:
            return None
        return self._stored_departures.record(heartbeat.incarnation.name)

    def _apply(self, heartbeat: heartbeats.Heartbeat) -> None:
        now = self._clock.monotonic()
        previous = self._incarnations.current_name(heartbeat.incarnation.target)
        if not self._accepts_service(heartbeat.service):
            # Earlier heartbeats of the target stay in effect.
            invalid_input.record(
                invalid_input.Source.HEARTBEAT,
                f"the configuration has no service {heartbeat.service}",
                target=heartbeat.incarnation.name,
            )
            self._end_if_leaving(heartbeat)
            return
        kind = self._incarnations.record_heartbeat(
            heartbeat.incarnation, heartbeat.sequence, now
        )
        if kind is heartbeats.HeartbeatKind.LATE:
            self._end_if_leaving(heartbeat)
            return
        name = heartbeat.incarnation.name
        if previous is not None and previous != name:
            self._replace(previous, name, kind)
        self._last_seen_by_target[name] = now
        self.acceptance.record_heartbeat(heartbeat, now)
        local_target = self._local_targets.by_name.get(name)
        if local_target is None:
            if (
                heartbeat.leaving
                or self._notices.is_leaving(name)
                or self._stored_departures.has_left(name)
            ):
                # The target was never added, so there is nothing to drain.
                self._incarnations.record_leave(heartbeat.incarnation, now)
                return
            local_target = self._add(heartbeat)
        elif heartbeat.leaving:
            self._local_targets.drain(name)
        local_target.controller.cold_until = now + heartbeat.cold
        if self.stopping:
            self._local_targets.pause(name)

    def _end_if_leaving(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Ends an incarnation whose heartbeat has no other effect."""
        if heartbeat.leaving:
            self.end_incarnation(heartbeat.incarnation.name)

    def record_leave(
        self, incarnation: heartbeats.TargetIncarnation
    ) -> asyncio.Future | None:
        """Records that a target announced that it leaves or has left.

        Returns:
            See `record_heartbeat`.
        """
        name = self._incarnations.record_leave(
            incarnation, self._clock.monotonic()
        )
        self._leave(name)
        return self._stored_departures.record(name or incarnation.name)

    def drain(self, name: str) -> asyncio.Future | None:
        """Stops sending new requests to a registered target for good.

        Returns:
            See `record_heartbeat`.
        """
        self._local_targets.drain(name)
        return self._stored_departures.record(name)

    def record_stored_departure(self, name: str) -> None:
        """Records a departure that an earlier run of this process stored.

        Args:
            name: Name of the target's incarnation.
        """
        _log.info("departure_loaded", target=name)
        incarnation = heartbeats.parse_incarnation(name)
        if incarnation.started_ms:
            self.end_incarnation(name)
        else:
            now = self._clock.monotonic()
            self._leave(self._incarnations.record_leave(incarnation, now))

    def accept_held(self) -> None:
        """Accepts the targets that have not left by the stored departures."""
        now = self._clock.monotonic()
        self.acceptance.accept_held(now - self._expiry_seconds)

    def end_incarnation(self, name: str) -> None:
        """Marks an incarnation as gone without a leave message from it.

        Either the target sent the message before this process restarted, or a
        new target has its address.

        Args:
            name: Name of the target's incarnation.
        """
        incarnation = heartbeats.parse_incarnation(name)
        self._leave(
            self._incarnations.end_incarnation(
                incarnation, self._clock.monotonic()
            )
        )

    def find(self, name: str) -> str | None:
        """Returns the name under which a local target is registered.

        Args:
            name: Name of the target or of its incarnation.

        Returns:
            The registered name; None if there is no such target.
        """
        for registered in (name, self._incarnations.current_name(name)):
            if registered in self._local_targets.by_name:
                return registered
        return None

    def _find_rival(
        self, heartbeat: heartbeats.Heartbeat
    ) -> heartbeats.TargetIncarnation | None:
        """Returns another target in service at the address of a heartbeat."""
        for name, local_target in self._local_targets.by_name.items():
            incarnation = heartbeats.parse_incarnation(name)
            if (
                local_target.pool.address == heartbeat.address
                and incarnation.target != heartbeat.incarnation.target
                and not local_target.controller.target_leaving
            ):
                return incarnation
        return None

    def _leave(self, name: str | None) -> None:
        if name is not None and name in self._local_targets.by_name:
            self._local_targets.leave(name)
            _log.info("target_left", target=name)

    def _accepts_service(self, service: str) -> bool:
        """Whether targets of a service are accepted.

        A service is accepted if it is in the configuration, if it is the one in
        the platform settings, or while no configuration is loaded.
        """
        configured = self._active_catalog.catalog.services_by_name
        own = self.settings.platform.service
        return (
            not self._active_catalog.loaded
            or service in configured
            or service == own
        )

    def _replace(
        self, previous: str, name: str, kind: heartbeats.HeartbeatKind
    ) -> None:
        """Replaces an incarnation by its successor, or renames it."""
        if previous not in self._local_targets.by_name:
            return
        if kind is heartbeats.HeartbeatKind.FURTHER:
            self._local_targets.rename(previous, name)
            self._last_seen_by_target.pop(previous, None)
            self._on_change()
            return
        _log.info("target_returned", target=name, before=previous)
        self._handle_crash(previous)
        pool = self._remove(previous)
        if pool is not None:
            # The run that had the connections is over.
            pool.close_all()

    def _end_crashed(self, name: str) -> None:
        """Ends a target that did not announce that it leaves."""
        self._handle_crash(name)
        self.end_incarnation(name)

    def _handle_crash(self, name: str) -> None:
        """Handles the end of a target that has not announced a leave."""
        local_target = self._local_targets.by_name.get(name)
        if local_target is not None:
            self._local_targets.handle_crash(local_target)

    def _remove(self, name: str) -> connection_pool.Pool | None:
        """Removes a target; its running requests go on.

        Returns:
            Its connections; None if there is no such target.
        """
        self._last_seen_by_target.pop(name, None)
        if name not in self._local_targets.by_name:
            return None
        self._local_targets.leave(name)
        return self._local_targets.by_name.pop(name).pool

    def pause_targets(self) -> None:
        """Pauses all current and future targets for the shutdown."""
        self.stopping = True
        for name in list(self._local_targets.by_name):
            self._local_targets.pause(name)

    def apply_catalog(self, activated: catalog.Catalog) -> None:
        """Applies connection limits; removes targets of removed services."""
        self.acceptance.wanted.set()
        for name, local_target in list(self._local_targets.by_name.items()):
            service = activated.services_by_name.get(
                local_target.controller.service
            )
            if service is not None:
                local_target.pool.max_connections = service.max_connections
            elif not self._accepts_service(local_target.controller.service):
                self._remove(name).retire()
                self._on_change()

    def expire(self, now: float) -> None:
        """Removes targets whose heartbeats stopped."""
        for target in self.acceptance.evidence.end_expired_leases(now):
            current = self._incarnations.current_name(target)
            if current in self._last_seen_by_target:
                self._last_seen_by_target[current] = -math.inf
        timeout = self._expiry_seconds
        for name, last_seen in list(self._last_seen_by_target.items()):
            if now - last_seen <= timeout:
                continue
            del self._last_seen_by_target[name]
            local_target = self._local_targets.by_name.pop(name, None)
            if local_target is not None:
                _log.warning("target_expired", target=name)
                local_target.pool.retire()
                self._on_change()

    def add_discovered(self, result: health_probe.ProbeResult) -> None:
        """Adds the configured target, whose health endpoint has answered."""
        current = self.settings
        now = self._clock.monotonic()
        is_leaving = result.notice.leaving or self._notices.is_leaving(
            result.target
        )
        if self.stopping or is_leaving:
            return
        if not self._incarnations.record_health_check(result.target, now):
            return
        self._last_seen_by_target[result.target] = now
        self.acceptance.evidence.begin_lease(result.target, now)
        self._add(
            heartbeats.Heartbeat(
                heartbeats.TargetIncarnation(result.target),
                current.platform.service,
                current.platform.target,
                current.process.domain,
                result.slots,
                leaving=False,
                sequence=-1,
            )
        )
        rate_limit = result.notice.rate_limit
        if rate_limit is not None and math.isfinite(rate_limit):
            self._local_targets.adopt_rate_limit(result.target, rate_limit)

    def _add(
        self, heartbeat: heartbeats.Heartbeat
    ) -> local_targets.LocalTarget:
        name = heartbeat.incarnation.name
        rival = self._find_rival(heartbeat)
        if rival is not None:
            # It has ended, as a new target has its address.
            self._handle_crash(rival.name)
            self._remove(rival.name).retire()
        local_target = self._factory.create(heartbeat)
        self._local_targets.add(name, local_target)
        rate_limit = self._notices.rate_limit(name, self._clock.monotonic())
        if rate_limit is not None:
            # The target was removed as its heartbeats stopped for a while.
            self._local_targets.adopt_rate_limit(name, rate_limit)
        _log.info(
            "target_joined",
            target=name,
            service=heartbeat.service,
            address=heartbeat.address,
        )
        self._on_change()
        return local_target
