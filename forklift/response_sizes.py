"""How large the answers of each route are, learned from answers."""

import collections

# Weight of the last answer in the size of its route.
GAIN = 0.1
# Routes that are remembered; the least lately used one goes first.
MAX_ROUTES = 256


class ResponseSizes:
    """Mean sizes of answers, by route.

    >>> sizes = ResponseSizes()
    >>> sizes.mean_bytes("r")
    0.0
    >>> sizes.record("r", 2000)
    >>> sizes.mean_bytes("r")
    2000.0
    """

    def __init__(self):
        self._size_by_route: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def mean_bytes(self, route: str) -> float:
        """Mean size of the answers of a route, bytes; 0 while unknown."""
        return self._size_by_route.get(route, 0.0)

    def record(self, route: str, size: int) -> None:
        """An answer had this size, in bytes."""
        known = self._size_by_route.pop(route, float(size))
        self._size_by_route[route] = known + GAIN * (size - known)
        if len(self._size_by_route) > MAX_ROUTES:
            self._size_by_route.popitem(last=False)
