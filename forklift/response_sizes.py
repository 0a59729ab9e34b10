"""Mean response size of each route."""

import collections

# Weight of the latest response in the moving average.
SIZE_GAIN = 0.1
# Maximum number of routes; the least recently updated one is evicted first.
MAX_ROUTES = 256


class ResponseSizes:
    """Moving averages of response sizes, by route.

    >>> sizes = ResponseSizes()
    >>> sizes.mean_bytes("r")
    0.0
    >>> sizes.record("r", 2000)
    >>> sizes.mean_bytes("r")
    2000.0
    """

    def __init__(self):
        self._mean_by_route: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def mean_bytes(self, route: str) -> float:
        """Mean response size of a route in bytes; 0 if unknown."""
        return self._mean_by_route.get(route, 0.0)

    def record(self, route: str, size: int) -> None:
        """Records the size of a response in bytes."""
        mean = self._mean_by_route.pop(route, float(size))
        self._mean_by_route[route] = mean + SIZE_GAIN * (size - mean)
        if len(self._mean_by_route) > MAX_ROUTES:
            self._mean_by_route.popitem(last=False)
