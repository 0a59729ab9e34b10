"""Finds local targets by health checks, and checks those that need evidence.

A process that has restarted would otherwise know its target only after the
target's next heartbeat.
"""

import asyncio
from collections.abc import Callable

from forklift import catalog
from forklift import header_fields
from forklift import heartbeats
from forklift.shell import health_probe
from forklift.shell import target_registry

# Maximum number of health checks by which a new process discovers its target.
MAX_ATTEMPTS = 3
# Seconds between two of these health checks.
RETRY_DELAY = 0.3
# Seconds between two checks whether a configuration is loaded.
POLL_INTERVAL = 0.05
# Seconds after which health checks begin even if the stored departures are not
# known. The target may have left then, but its health check says so.
MAX_STORE_WAIT = 1.0
# Maximum number of targets of which the last check is remembered.
MAX_CHECKED = 1024


class TargetDiscovery:
    """Checks targets whose heartbeats alone do not register them."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        active_catalog: catalog.ActiveCatalog,
        header_names: header_fields.HeaderNames,
        now: Callable[[], float],
    ):
        """Creates an instance that has checked nothing.

        Args:
            registry: Registry that targets are added to.
            active_catalog: The catalog that the process uses.
            header_names: Names of the platform's header fields.
            now: Returns monotonic seconds.
        """
        self._registry = registry
        self._active_catalog = active_catalog
        self._header_names = header_names
        self._now = now
        # Sequence numbers of the last heartbeats that led to a health check.
        self._sequence_by_target: dict[str, int] = {}

    async def run(self) -> None:
        """Finds the configured target, then checks targets that wait."""
        acceptance = self._registry.acceptance
        read_by = self._now() + MAX_STORE_WAIT
        while not acceptance.evidence.records_read and self._now() < read_by:
            await asyncio.sleep(POLL_INTERVAL)
        await self.find_configured_target()
        while True:
            acceptance.wanted.clear()
            for heartbeat in acceptance.waiting:
                await self._check_waiting(heartbeat)
            await acceptance.wanted.wait()

    async def find_configured_target(self) -> None:
        """Adds the configured target if its health endpoint answers.

        Does nothing if any target is registered.
        """
        registry = self._registry
        platform = registry.settings.platform
        if not platform.target or not platform.service:
            return
        for _ in range(MAX_ATTEMPTS):
            while not self._active_catalog.loaded:
                await asyncio.sleep(POLL_INTERVAL)
            if registry.has_targets or registry.stopping:
                return
            if not self._health_path(platform.service):
                return
            result = await self._check(platform.target, platform.service)
            usable = result is not None and result.target and result.slots
            if usable and result.healthy:
                registry.add_discovered(result)
                return
            await asyncio.sleep(RETRY_DELAY)

    async def _check_waiting(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Checks the address of a target that waits, once a heartbeat."""
        name = heartbeat.incarnation.name
        if heartbeat.sequence <= self._sequence_by_target.get(
            name, -1
        ) or not self._health_path(heartbeat.service):
            return
        self._sequence_by_target[name] = heartbeat.sequence
        while len(self._sequence_by_target) > MAX_CHECKED:
            del self._sequence_by_target[next(iter(self._sequence_by_target))]
        result = await self._check(heartbeat.address, heartbeat.service)
        if result is not None:
            self._registry.acceptance.record_health_check(heartbeat, result)

    def _health_path(self, service: str) -> str:
        """Path of the health endpoint; empty if none is configured."""
        found = self._active_catalog.catalog.services_by_name.get(service)
        return found.health_path if found is not None else ""

    async def _check(
        self, address: str, service: str
    ) -> health_probe.ProbeResult | None:
        return await health_probe.check(
            address, self._health_path(service), self._header_names
        )
