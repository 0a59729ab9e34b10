"""The targets that announce themselves to this process."""

import asyncio
from collections.abc import Callable

import structlog

from forklift import announcement
from forklift import catalog
from forklift import dialect
from forklift import gate
from forklift import settings
from forklift.shell import beside as besides
from forklift.shell import clock as clocks
from forklift.shell import pool as pools
from forklift.shell import probe

_log = structlog.get_logger(__name__)

# Heartbeats that may be missing before a target is taken for gone, and the
# seconds that one may be late.
MISSED_HEARTBEATS = 3
HEARTBEAT_LATE = 3.5
# Times that a new process asks for the target beside it, and the pause between.
LOOKS_BESIDE = 3
LOOK_PAUSE = 0.3
# Seconds between two looks whether a configuration is known.
CONFIGURATION_POLL = 0.05
# Connections to a target of a service that the configuration does not name.
DEFAULT_CONNECTIONS = 100


class Announced:
    """Takes targets in and out of use, by their word and by their silence."""

    def __init__(
        self,
        read: settings.Settings,
        names: dialect.Dialect,
        in_force: catalog.InForce,
        beside: besides.Beside,
        clock: clocks.SystemClock,
        on_change: Callable[[], None],
    ):
        self.settings = read
        self._names = names
        self._in_force = in_force
        self._beside = beside
        self._clock = clock
        self._on_change = on_change
        self._heard_by_target: dict[str, float] = {}
        self._sequence = announcement.Sequence()
        # Names that never come back: a restart of a target has another.
        self.gone: set[str] = set()
        self.stopping = False

    def seen(self, said: announcement.Announcement) -> None:
        """A target announced itself."""
        now = self._clock.monotonic()
        if not self._sequence.newer(said.name, said.sequence):
            return
        if said.name in self.gone:
            return
        self._heard_by_target[said.name] = now
        site = self._beside.site_by_target.get(said.name)
        if site is None:
            if said.leaving:
                # Never used here, so there is nothing to end.
                self.gone.add(said.name)
                return
            site = self._add(said)
        elif said.leaving:
            self._beside.drain(said.name)
        site.gate.cold_until = now + said.cold
        if self.stopping:
            self._beside.pause(said.name)

    def left(self, name: str) -> None:
        """A target is about to end, or has."""
        self.gone.add(name)
        if name in self._beside.site_by_target:
            self._beside.leave(name)
            _log.info("target_left", target=name)

    def stop(self) -> None:
        """This process stops: its targets take nothing new."""
        self.stopping = True
        for name in list(self._beside.site_by_target):
            self._beside.pause(name)

    def follow(self, current: catalog.Catalog) -> None:
        """Takes the bounds of a new configuration."""
        for site in self._beside.site_by_target.values():
            service = current.services_by_name.get(site.gate.service)
            if service is not None:
                site.pool.most = service.connections

    def expire(self, now: float) -> None:
        """Forgets targets that sent no heartbeat for long."""
        period = self.settings.platform.heartbeat_ms / 1000
        lease = MISSED_HEARTBEATS * period + HEARTBEAT_LATE
        for name, heard in list(self._heard_by_target.items()):
            if now - heard <= lease:
                continue
            del self._heard_by_target[name]
            site = self._beside.site_by_target.pop(name, None)
            if site is not None:
                _log.warning("target_expired", target=name)
                site.pool.close()
                self._on_change()

    async def look_beside(self) -> None:
        """Finds the target beside a process that started again.

        Its next heartbeat may be more than a second away. Its health endpoint
        tells its name, and whether it is leaving.
        """
        own = self.settings.platform
        if not own.target or not own.service:
            return
        for _ in range(LOOKS_BESIDE):
            while not self._in_force.known:
                await asyncio.sleep(CONFIGURATION_POLL)
            service = self._in_force.catalog.services_by_name.get(own.service)
            if self._beside.site_by_target or self.stopping or service is None:
                return
            found = await probe.ask(own.target, service.health, self._names)
            if found is not None and found.well and found.slots:
                self._found_beside(found)
                return
            await asyncio.sleep(LOOK_PAUSE)

    def _found_beside(self, found: probe.Health) -> None:
        own = self.settings
        known = found.target in self._beside.site_by_target
        if known or found.target in self.gone or self.stopping:
            return
        self._heard_by_target[found.target] = self._clock.monotonic()
        self._add(
            announcement.Announcement(
                found.target,
                own.platform.service,
                own.platform.target,
                own.process.domain,
                found.slots,
                leaving=False,
                sequence=-1,
            )
        )

    def _add(self, said: announcement.Announcement) -> besides.Site:
        for name, site in list(self._beside.site_by_target.items()):
            if site.pool.address == said.address and name != said.name:
                # The address has another target now.
                self.left(name)
        service = self._in_force.catalog.services_by_name.get(said.service)
        most = service.connections if service else DEFAULT_CONNECTIONS
        site = besides.Site(
            gate.Gate(said.name, said.service, said.slots),
            pools.Pool(said.address, most, self._clock.monotonic),
        )
        self._beside.add(said.name, site)
        _log.info(
            "target_joined",
            target=said.name,
            service=said.service,
            address=said.address,
        )
        self._on_change()
        return site
