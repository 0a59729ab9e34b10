"""Targets to which attempts of one request are in flight."""

from forklift import admission
from forklift import load_balancer
from forklift import retries
from forklift.shell import exchange


class TargetsInFlight:
    """Targets of the attempts of one request that have not ended."""

    def __init__(
        self, balancer: load_balancer.LoadBalancer, request: exchange.Request
    ):
        """Creates the targets of a request that was not sent yet.

        Args:
            balancer: Knows the targets of the service.
            request: The request.
        """
        self._balancer = balancer
        self._request = request
        self._names: set[str] = set()

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Adds the target of an attempt that begins."""
        self._names.add(name)

    def discard(self, name: str) -> None:
        """Removes the target of an attempt that has ended."""
        self._names.discard(name)

    def has_alternative(
        self, state: retries.RetryState, kilobytes: float, now: float
    ) -> bool:
        """Returns whether a target is left that the request could be sent to.

        Args:
            state: Attempts so far.
            kilobytes: Expected size of the request and its response.
            now: Monotonic seconds.
        """
        request = self._request
        requirements = load_balancer.Requirements(
            request.service,
            request.idempotent,
            max(state.required_health(now), admission.RequiredHealth.SOUND),
            allows_trial=False,
            wait=True,
            kilobytes=kilobytes,
            bulk=request.bulk,
        )
        tried = frozenset(state.tried | self._names)
        other = self._balancer.select(requirements, tried, now)
        if other is None:
            return False
        self._balancer.finish_attempt(request.service, other, None, now)
        return True
