"""The configuration in force: routes, services and limits of callers.

A catalog is never changed; a newer one replaces it. Which one is in force is
decided by its version alone, and within one life of a process the version
only rises.
"""

import dataclasses
import functools
import math
import random
from collections.abc import Callable

import structlog

from forklift import invariants
from forklift import organisations
from forklift import routing

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One service of a route that is split by weight.

    Attributes:
        service: Name of the service.
        weight: Its part, against the sum over the route's shares.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """One route.

    Attributes:
        name: Name of the route.
        host: Host, lower case, without port.
        prefix: Path prefix; it begins and ends with a slash.
        shares: Services that serve it, by weight.
        idempotent: Whether a second run of a request does no harm.
        timeout: Longest time a request may be held, seconds.
        aim: Time within which an answer has its full worth, seconds.
        priority: Rank; 0 is the most urgent.
        attempts: Targets that one request may be sent to.
        is_open: Whether callers need no key of an organisation.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    timeout: float
    objective: float
    priority: int
    attempts: int
    allows_anonymous: bool = False

    def pick(self, rng: random.Random) -> str:
        """The service of one request, drawn by weight."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [share.weight for share in self.weighted_services]
        return rng.choices(self.weighted_services, weights)[0].service


@dataclasses.dataclass(frozen=True)
class Service:
    """What a catalog says of one service.

    Attributes:
        name: Its name.
        health: Path of the health endpoint of its targets.
        connections: Connections that a target of it takes.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head: Seconds a caller has to send a head.
        idle: Seconds a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float


# Before any catalog is known; the usual bounds of HTTP servers.
DEFAULT_LIMITS = CallerLimits(32_768, 1 << 26, 10.0, 60.0)


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the configuration.

    Attributes:
        version: Its number; versions rise, with gaps.
        routes: Look-up of routes by host and path.
        services_by_name: The services.
        limits: Bounds on callers.
        source: The record it was decoded from.
        callers: Who may call; None where nobody is asked for a key.
        with_key_digests: Makes of the record what peers are handed.
    """

    version: int
    routes: routing.Table
    services_by_name: dict[str, Service]
    limits: CallerLimits
    source: bytes = b""
    callers: organisations.Organisations | None = None
    with_key_digests: Callable[[bytes], bytes] = bytes

    @property
    def has_rate_limits(self) -> bool:
        """Whether any organisation may send only so much."""
        return self.callers is not None and self.callers.any_limited

    @functools.cached_property
    def record(self) -> bytes:
        """The record that peers are handed, which holds no key."""
        return self.with_key_digests(self.source)

    def organisation(self, name: str) -> organisations.Organisation | None:
        """An organisation by its name, where it is known."""
        if self.callers is None:
            return None
        return self.callers.by_name.get(name)

    @functools.cached_property
    def shortest_objective_by_service(self) -> dict[str, float]:
        """The shortest latency objective of each service's routes, seconds."""
        least: dict[str, float] = {}
        for route in self.routes:
            for share in route.weighted_services:
                known = least.get(share.service, math.inf)
                least[share.service] = min(known, route.objective)
        return least


EMPTY = Catalog(0, routing.Table(()), {}, DEFAULT_LIMITS)


class ActiveCatalog:
    """The catalog in force in this process."""

    def __init__(self):
        self.catalog = EMPTY
        self.since = 0.0

    @property
    def loaded(self) -> bool:
        """Whether any catalog is in force."""
        return self.catalog.version > 0

    def offer(self, catalog: Catalog, source: str, now: float) -> bool:
        """Takes a catalog if it is newer than the one in force.

        Args:
            catalog: The catalog.
            source: Where it came from, for the log.
            now: Monotonic seconds.

        Returns:
            Whether it is in force now and was not before.
        """
        if catalog.version <= self.catalog.version:
            return False
        before = self.catalog.version
        invariants.version_forward(before, catalog.version)
        self.catalog = catalog
        self.since = now
        _log.info(
            "configuration_in_force",
            version=catalog.version,
            before=before,
            source=source,
            routes=catalog.routes.size,
            services=len(catalog.services_by_name),
            organisations=(
                len(catalog.callers.by_name) if catalog.callers else 0
            ),
        )
        return True
