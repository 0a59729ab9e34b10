"""The active configuration: routes, services and limits of callers.

A catalog is immutable and is replaced by one with a higher version. The version
that a process uses never decreases while the process runs.
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
    """A service that receives part of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Its weight, relative to the sum over the services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Rule for the requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        prefix: Path prefix, which starts and ends with a slash.
        weighted_services: Services that serve the route.
        idempotent: Whether a request may safely be executed more than once.
        timeout: Request timeout in seconds, including retries.
        objective: Latency objective in seconds.
        priority: Priority; 0 is the most urgent.
        max_attempts: Maximum number of targets that a request is sent to.
        allows_anonymous: Whether requests without a key are accepted.
        bulk: Whether responses are large.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    timeout: float
    objective: float
    priority: int
    max_attempts: int
    allows_anonymous: bool = False
    bulk: bool = False

    def pick_service(self, rng: random.Random) -> str:
        """Returns the name of a service, chosen at random by weight."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [weighted.weight for weighted in self.weighted_services]
        return rng.choices(self.weighted_services, weights)[0].service


@dataclasses.dataclass(frozen=True)
class Service:
    """Settings of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health endpoint of its targets.
        max_connections: Maximum number of connections to each target.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the connections and requests of callers.

    Attributes:
        header_bytes: Maximum size of the head of a request.
        body_bytes: Maximum size of the body of a request.
        head_timeout: Seconds within which a caller must send the head.
        idle_timeout: Seconds that a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float


# Applies until a catalog is loaded.
DEFAULT_LIMITS = CallerLimits(32_768, 1 << 26, 10.0, 60.0)


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the configuration.

    Attributes:
        version: Version number; increases, possibly with gaps.
        routes: Routes by host and path.
        services_by_name: The services.
        limits: Limits for callers.
        source: Record from which the catalog was decoded.
        callers: Organisations whose requests are accepted; None if no key is
            required.
        with_key_digests: Replaces the keys in a record with their digests, so
            that the record can be sent to peers.
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
        """Whether any organisation has a rate limit."""
        return self.callers is not None and self.callers.any_limited

    @functools.cached_property
    def has_bulk_routes(self) -> bool:
        """Whether any route has large responses."""
        return any(route.bulk for route in self.routes)

    @functools.cached_property
    def record(self) -> bytes:
        """The record as sent to peers, with digests in place of keys."""
        return self.with_key_digests(self.source)

    def organisation(self, name: str) -> organisations.Organisation | None:
        """Returns an organisation by name, or None if there is none."""
        if self.callers is None:
            return None
        return self.callers.by_name.get(name)

    @functools.cached_property
    def shortest_objective_by_service(self) -> dict[str, float]:
        """The shortest latency objective among the routes of each service."""
        shortest: dict[str, float] = {}
        for route in self.routes:
            for weighted in route.weighted_services:
                known = shortest.get(weighted.service, math.inf)
                shortest[weighted.service] = min(known, route.objective)
        return shortest


EMPTY = Catalog(0, routing.Table(()), {}, DEFAULT_LIMITS)


class ActiveCatalog:
    """Holder of the catalog that this process uses.

    Attributes:
        catalog: The active catalog.
        since: Time of its activation, monotonic seconds.
    """

    def __init__(self):
        self.catalog = EMPTY
        self.since = 0.0

    @property
    def loaded(self) -> bool:
        """Whether a catalog has been loaded."""
        return self.catalog.version > 0

    def offer(self, catalog: Catalog, source: str, now: float) -> bool:
        """Activates a catalog if it is newer than the active one.

        Args:
            catalog: The catalog.
            source: Origin of the catalog for the log, such as "store".
            now: Monotonic seconds.

        Returns:
            Whether the catalog became active.
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
