"""Finds the service of a request by host and path prefix.

A dictionary by host holds a dictionary of prefixes; a look-up tries the
path's own prefixes from the longest, so its cost follows the depth of the
path and not the number of routes.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Generic
from typing import Protocol
from typing import TypeVar

P = TypeVar("P", bound="Routable")
ANY_HOST = "*"
MAX_DEPTH = 32


@dataclasses.dataclass(frozen=True)
class Route:
    """One route.

    Attributes:
        name: Name in the policy.
        host: Host, lower case, without port; `ANY_HOST` for every host.
        prefix: Path prefix of whole segments, starting with "/".
        service: Name of the service.
    """

    name: str
    host: str
    prefix: str
    service: str


def normalise_prefix(prefix: str) -> str:
    """Returns a prefix without a slash at its end.

    >>> normalise_prefix("/copies/")
    '/copies'
    >>> normalise_prefix("/")
    ''
    """
    return prefix.rstrip("/")


class Routable(Protocol):
    """What a table holds: anything with a host and a path prefix."""

    host: str
    prefix: str


class Table(Generic[P]):
    """Routes, looked up by host and path.

    A prefix stands for whole segments, so a slash at its end says nothing,
    unless prefixes are literal: then it holds only for paths that have it.
    """

    def __init__(self, routes: Iterable[P], literal: bool = False):
        self._by_prefix_by_host: dict[str, dict[str, P]] = {}
        self.size = 0
        for route in routes:
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            prefix = route.prefix
            if not literal:
                prefix = normalise_prefix(prefix) or "/"
            by_prefix[prefix] = route
            self.size += 1

    def __iter__(self) -> Iterator[P]:
        for by_prefix in self._by_prefix_by_host.values():
            yield from by_prefix.values()

    def find(self, host: str, path: str) -> P | None:
        """Returns the route with the longest prefix; exact hosts go first.

        >>> table = Table([Route("a", "*", "/", "x"),
        ...                Route("b", "h", "/copies", "y")])
        >>> table.find("h:80", "/copies/7?draft=1").service
        'y'
        >>> table.find("h", "/copiesx").service
        'x'
        """
        prefixes = _prefixes(path)
        for name in (_bare_host(host), ANY_HOST):
            by_prefix = self._by_prefix_by_host.get(name)
            if by_prefix is None:
                continue
            for prefix in prefixes:
                route = by_prefix.get(prefix)
                if route is not None:
                    return route
        return None


def _bare_host(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def _prefixes(path: str) -> list[str]:
    """Prefixes that a path may have, the longest first.

    >>> _prefixes("/a/b?c")
    ['/a/b', '/a/', '/a', '/']
    """
    path = path.partition("?")[0]
    segments = path.split("/", MAX_DEPTH)[1:MAX_DEPTH]
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
