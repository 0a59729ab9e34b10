"""Routing table: maps host and path prefix to a route.

The table is a dictionary by host of dictionaries by prefix. A lookup tries
the prefixes of the request path from the longest to the shortest, so its cost
depends on the depth of the path and not on the number of routes.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Generic
from typing import Protocol
from typing import TypeVar

R = TypeVar("R", bound="Routable")
ANY_HOST = "*"
# Only fewer leading segments of a path than this number are matched.
MAX_PATH_DEPTH = 32


@dataclasses.dataclass(frozen=True)
class ServiceRoute:
    """Assigns the requests for a host and path prefix to a service.

    Attributes:
        name: Name of the route.
        host: Host in lower case without port, or `ANY_HOST`.
        prefix: Path prefix of whole segments, starting with "/".
        service: Name of the service.
    """

    name: str
    host: str
    prefix: str
    service: str


def normalise_prefix(prefix: str) -> str:
    """Returns a prefix without trailing slashes.

    >>> normalise_prefix("/copies/")
    '/copies'
    >>> normalise_prefix("/")
    ''
    """
    return prefix.rstrip("/")


class Routable(Protocol):
    """Anything with a host and a path prefix."""

    host: str
    prefix: str


class Table(Generic[R]):
    """Finds the route for a host and path by longest prefix match.

    A prefix matches whole path segments, and its trailing slash is ignored. If
    `literal` is set, a prefix with a trailing slash matches only paths that
    have this slash.
    """

    def __init__(self, routes: Iterable[R], literal: bool = False):
        self._routes_by_host: dict[str, dict[str, R]] = {}
        self.size = 0
        for route in routes:
            route_by_prefix = self._routes_by_host.setdefault(route.host, {})
            prefix = route.prefix
            if not literal:
                prefix = normalise_prefix(prefix) or "/"
            route_by_prefix[prefix] = route
            self.size += 1

    def __iter__(self) -> Iterator[R]:
        for route_by_prefix in self._routes_by_host.values():
            yield from route_by_prefix.values()

    def find(self, host: str, path: str) -> R | None:
        """Returns the route with the longest matching prefix, if any.

        Routes for the exact host take precedence over those for `ANY_HOST`.

        >>> table = Table([ServiceRoute("a", "*", "/", "x"),
        ...                ServiceRoute("b", "h", "/copies", "y")])
        >>> table.find("h:80", "/copies/7?draft=1").service
        'y'
        >>> table.find("h", "/copiesx").service
        'x'
        """
        prefixes = _prefixes(path)
        for name in (_strip_port(host), ANY_HOST):
            route_by_prefix = self._routes_by_host.get(name)
            if route_by_prefix is None:
                continue
            for prefix in prefixes:
                route = route_by_prefix.get(prefix)
                if route is not None:
                    return route
        return None


def _strip_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def _prefixes(path: str) -> list[str]:
    """Returns the prefixes that may match a path, the longest first.

    >>> _prefixes("/a/b?c")
    ['/a/b', '/a/', '/a', '/']
    """
    path = path.partition("?")[0]
    segments = path.split("/", MAX_PATH_DEPTH)[1:MAX_PATH_DEPTH]
    prefixes = ["/"]
    prefix = ""
    for index, segment in enumerate(segments):
        prefix = f"{prefix}/{segment}"
        if segment:
            prefixes.append(prefix)
        if index < len(segments) - 1:
            prefixes.append(f"{prefix}/")
    prefixes.reverse()
    return prefixes
