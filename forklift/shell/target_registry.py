"""The targets that announce themselves to this process."""

import asyncio
from collections.abc import Callable

import structlog

from forklift import admission
from forklift import catalog
from forklift import header_fields
from forklift import heartbeats
from forklift import invalid_input
from forklift import settings
from forklift.shell import clock as clocks
from forklift.shell import connection_pool
from forklift.shell import health_probe
from forklift.shell import local_targets

_log = structlog.get_logger(__name__)

# Heartbeats that may be missing before a target is taken for gone, and the
# seconds that one may be late.
MISSED_HEARTBEATS = 3
HEARTBEAT_TOLERANCE = 3.5
# Times that a new process asks for the target beside it, and the pause between.
DISCOVERY_ATTEMPTS = 3
DISCOVERY_RETRY_DELAY = 0.3
# Seconds between two looks whether a configuration is known.
CONFIGURATION_POLL_INTERVAL = 0.05
# Connections to a target of a service that the configuration does not name.
DEFAULT_MAX_CONNECTIONS = 100


class TargetRegistry:
    """Takes targets in and out of use, by their word and by their silence."""

    def __init__(
        self,
        read: settings.Settings,
        names: header_fields.HeaderNames,
        active_catalog: catalog.ActiveCatalog,
        targets: local_targets.LocalTargets,
        clock: clocks.SystemClock,
        on_change: Callable[[], None],
    ):
        self.settings = read
        self._names = names
        self._active_catalog = active_catalog
        self._local_targets = targets
        self._clock = clock
        self._on_change = on_change
        self._heard_by_target: dict[str, float] = {}
        self._incarnations = heartbeats.IncarnationTracker(
            self._period + HEARTBEAT_TOLERANCE
        )
        self.stopping = False

    @property
    def _period(self) -> float:
        """Seconds between two heartbeats of a target."""
        return self.settings.platform.heartbeat_ms / 1000

    def record_heartbeat(self, said: heartbeats.Heartbeat) -> None:
        """A target announced itself."""
        now = self._clock.monotonic()
        before = self._incarnations.current_name(said.incarnation.target)
        if not self._is_served(said.service):
            # It names no target to use; what it said before holds.
            invalid_input.record(
                invalid_input.Source.HEARTBEAT,
                f"the configuration has no service {said.service}",
                target=said.incarnation.name,
            )
            return
        word = self._incarnations.record_heartbeat(
            said.incarnation, said.sequence, now
        )
        if word is heartbeats.HeartbeatKind.LATE:
            return
        name = said.incarnation.name
        if before is not None and before != name:
            self._succeed(before, name, word)
        self._heard_by_target[name] = now
        local_target = self._local_targets.by_name.get(name)
        if local_target is None:
            if said.leaving:
                # Never used here, so there is nothing to end.
                self._incarnations.record_leave(said.incarnation, now)
                return
            local_target = self._add(said)
        elif said.leaving:
            self._local_targets.drain(name)
        local_target.controller.cold_until = now + said.cold
        if self.stopping:
            self._local_targets.pause(name)

    def record_leave(self, incarnation: heartbeats.TargetIncarnation) -> None:
        """A target says that it is about to end, or has."""
        self._leave(
            self._incarnations.record_leave(
                incarnation, self._clock.monotonic()
            )
        )

    def record_remembered_leave(self, name: str) -> None:
        """A peer remembers that a target had said so to an earlier run."""
        incarnation = heartbeats.parse_incarnation(name)
        self._leave(
            self._incarnations.record_remembered_leave(
                incarnation, self._clock.monotonic()
            )
        )

    def find(self, name: str) -> str | None:
        """Name under which a target beside is kept, by any of its names."""
        for found in (name, self._incarnations.current_name(name)):
            if found in self._local_targets.by_name:
                return found
        return None

    def _leave(self, name: str | None) -> None:
        if name is not None and name in self._local_targets.by_name:
            self._local_targets.leave(name)
            _log.info("target_left", target=name)

    def _is_served(self, service: str) -> bool:
        """Whether a service is known; any is before there are some."""
        known = self._active_catalog.catalog.services_by_name
        own = self.settings.platform.service
        return (
            not self._active_catalog.loaded
            or service in known
            or service == own
        )

    def _succeed(
        self, before: str, name: str, word: heartbeats.HeartbeatKind
    ) -> None:
        """Another life of a target counts from now on, or its name is known."""
        if before not in self._local_targets.by_name:
            return
        if word is heartbeats.HeartbeatKind.FURTHER:
            self._local_targets.rename(before, name)
            self._heard_by_target.pop(before, None)
            self._on_change()
            return
        _log.info("target_returned", target=name, before=before)
        self._crashed(before)
        self._remove(before)

    def _crashed(self, name: str) -> None:
        """A target is gone that did not say that it leaves."""
        local_target = self._local_targets.by_name.get(name)
        if local_target is not None:
            self._local_targets.handle_crash(local_target)

    def _remove(self, name: str) -> None:
        """Ends what is known of a target; what runs there has no answer."""
        self._heard_by_target.pop(name, None)
        if name in self._local_targets.by_name:
            self._local_targets.leave(name)
            self._local_targets.by_name.pop(name).pool.close_all()

    def pause_targets(self) -> None:
        """This process stops: its targets take nothing new."""
        self.stopping = True
        for name in list(self._local_targets.by_name):
            self._local_targets.pause(name)

    def apply_catalog(self, current: catalog.Catalog) -> None:
        """Takes the services of a new configuration, and their bounds."""
        for name, local_target in list(self._local_targets.by_name.items()):
            service = current.services_by_name.get(
                local_target.controller.service
            )
            if service is not None:
                local_target.pool.max_connections = service.max_connections
            elif not self._is_served(local_target.controller.service):
                self._remove(name)
                self._on_change()

    def expire(self, now: float) -> None:
        """Forgets targets that sent no heartbeat for long."""
        lease = MISSED_HEARTBEATS * self._period + HEARTBEAT_TOLERANCE
        for name, heard in list(self._heard_by_target.items()):
            if now - heard <= lease:
                continue
            del self._heard_by_target[name]
            local_target = self._local_targets.by_name.pop(name, None)
            if local_target is not None:
                _log.warning("target_expired", target=name)
                local_target.pool.close_idle()
                self._on_change()

    async def discover_local_target(self) -> None:
        """Finds the target beside a process that started again.

        Its next heartbeat may be more than a second away. Its health endpoint
        tells its name, and whether it is leaving.
        """
        own = self.settings.platform
        if not own.target or not own.service:
            return
        for _ in range(DISCOVERY_ATTEMPTS):
            while not self._active_catalog.loaded:
                await asyncio.sleep(CONFIGURATION_POLL_INTERVAL)
            service = self._active_catalog.catalog.services_by_name.get(
                own.service
            )
            if self._local_targets.by_name or self.stopping or service is None:
                return
            found = await health_probe.check(
                own.target, service.health_path, self._names
            )
            usable = found is not None and found.target and found.slots
            if usable and found.healthy:
                self._add_discovered(found)
                return
            await asyncio.sleep(DISCOVERY_RETRY_DELAY)

    def _add_discovered(self, found: health_probe.ProbeResult) -> None:
        own = self.settings
        now = self._clock.monotonic()
        if self.stopping or not self._incarnations.record_health_check(
            found.target, now
        ):
            return
        self._heard_by_target[found.target] = now
        self._add(
            heartbeats.Heartbeat(
                heartbeats.TargetIncarnation(found.target),
                own.platform.service,
                own.platform.target,
                own.process.domain,
                found.slots,
                leaving=False,
                sequence=-1,
            )
        )

    def _add(self, said: heartbeats.Heartbeat) -> local_targets.LocalTarget:
        name = said.incarnation.name
        for other, local_target in list(self._local_targets.by_name.items()):
            if local_target.pool.address == said.address and other != name:
                # The address has another target now.
                self._crashed(other)
                self.record_remembered_leave(other)
        service = self._active_catalog.catalog.services_by_name.get(
            said.service
        )
        most = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        local_target = local_targets.LocalTarget(
            said.incarnation.target,
            admission.Controller(name, said.service, said.slots),
            connection_pool.Pool(said.address, most, self._clock.monotonic),
        )
        self._local_targets.add(name, local_target)
        _log.info(
            "target_joined",
            target=name,
            service=said.service,
            address=said.address,
        )
        self._on_change()
        return local_target
