"""Forwards the requests that this process receives from callers to targets.

Holds what all of them share; `forwarded_request` handles a single one.
"""

import itertools
import math
import random
from collections.abc import Callable

from forklift import header_fields
from forklift import load_balancer
from forklift import quarantine as quarantines
from forklift import retries
from forklift import retry_allocation
from forklift import stop_deadlines
from forklift import target_notices
from forklift.shell import dispatch
from forklift.shell import exchange
from forklift.shell import forwarded_request
from forklift.shell import http
from forklift.shell import ingress_admission
from forklift.shell import local_targets
from forklift.shell import peer_connections

_NO_DEADLINES = stop_deadlines.Deadlines(*[math.inf] * 4)


class Forwarder:
    """Forwards the requests that this process receives from callers.

    Attributes:
        attempts: Number of attempts so far, retries and hedges included.
        retries: Number of retries so far.
        hedges: Number of hedged requests so far.
        retry_allocation: Decides who gets a retry.
        stop_deadlines: Deadlines for responding to requests while this process
            stops; infinite before that.
        ingress_admission: Refuses requests that have no chance of a slot.
    """

    def __init__(
        self,
        name: str,
        boot: int,
        balancer: load_balancer.LoadBalancer,
        targets: local_targets.LocalTargets,
        connections: peer_connections.PeerConnections,
        find_policy,
        clock,
        rng: random.Random,
        quarantine: quarantines.Quarantine | None = None,
        header_names: header_fields.HeaderNames = header_fields.DEFAULT,
        overload_control: Callable[[], bool] = lambda: False,
    ):
        self.name = name
        self.header_names = header_names
        self.quarantine = quarantine or quarantines.Quarantine()
        self.boot = boot
        self.balancer = balancer
        self.local_targets = targets
        self.find_policy = find_policy
        self.clock = clock
        self.rng = rng
        self._seqs = itertools.count(1)
        self.dispatcher = dispatch.Dispatcher(
            name,
            boot,
            connections,
            targets,
            self.next_seq,
            clock,
            rng,
            header_names,
        )
        self.attempts = 0
        self.retries = 0
        self.hedges = 0
        self.retry_allocation = retry_allocation.RetryAllocation(
            balancer.retry_budgets, overload_control
        )
        self.stop_deadlines = _NO_DEADLINES
        self.ingress_admission = ingress_admission.IngressAdmission(
            balancer, clock, rng
        )
        self._in_flight: set[forwarded_request.ForwardedRequest] = set()

    def next_seq(self) -> int:
        """Returns a sequence number that is unique in this boot."""
        return next(self._seqs)

    def new_retry_state(self, request: exchange.Request) -> retries.RetryState:
        """Returns the retry state of a request that has just arrived."""
        state = retries.RetryState(
            self.clock.monotonic(),
            request.deadline,
        )
        if self.ingress_admission.is_within_part(request):
            state.max_queue_rejections = (
                retries.MAX_QUEUE_REJECTIONS_WITHIN_PART
            )
        return state

    async def run(
        self, request: exchange.Request, sink: exchange.Sink
    ) -> exchange.Result:
        """Runs a request on a target of its service.

        Raises:
            tcp_stream.ConnectionLost: The sink's connection is lost.
            asyncio.CancelledError: The caller gave up.
        """
        refusal = self.ingress_admission.refuse(request)
        if refusal is not None:
            return refusal
        forwarded = forwarded_request.ForwardedRequest(self, request, sink)
        self._in_flight.add(forwarded)
        try:
            result = await forwarded.run()
        finally:
            self._in_flight.discard(forwarded)
        self.ingress_admission.record(
            request, result, forwarded.arrived_at, forwarded.has_waited
        )
        return result

    def record_notice(
        self, service: str, head: exchange.ResponseHead, sent_at: float
    ) -> None:
        """Records that a target says in its response that it is leaving.

        This does not rely on the process that owns the target, which may
        forget it in a restart.

        Args:
            service: Name of the service.
            head: Head of the response.
            sent_at: Monotonic seconds at which the request was sent.
        """
        value = http.value(head.headers, self.header_names.leaving)
        try:
            leaving = target_notices.parse_leaving(value)
        except target_notices.InvalidNotice:
            # The process that owns the target has logged it.
            return
        if leaving and head.target:
            elapsed = self.clock.monotonic() - sent_at
            self.balancer.record_leaving(service, head.target, elapsed)

    def set_stop_deadlines(self, deadlines: stop_deadlines.Deadlines) -> None:
        """Ensures that all requests end before this process stops.

        Requests that were not sent to a target in time are rejected as not
        run; at the deadline, all others end with an unknown outcome. Otherwise
        callers would only see a closed connection.

        Args:
            deadlines: Deadlines for responding to requests.
        """
        self.stop_deadlines = deadlines
        for forwarded in self._in_flight:
            forwarded.apply_stop_deadlines()

    def usual_seconds(self, route: str) -> float:
        """Seconds that most requests of a route take; 0 if unknown.

        Args:
            route: Name of the route.
        """
        distribution = self.balancer.latencies.get(route)
        if distribution is None:
            return 0.0
        return distribution.learned_quantile(stop_deadlines.RUN_DEVIATIONS)

    def latest_start(self, request: exchange.Request) -> float:
        """Monotonic seconds from which on a request is sent to no target.

        Infinite unless this process stops.
        """
        return self.stop_deadlines.latest_start(
            request.deadline, self.usual_seconds(request.route)
        )

    def withdraw_waiting(self, now: float) -> None:
        """Withdraws requests that wait at peers and must not start any more.

        Args:
            now: Monotonic seconds.
        """
        self.dispatcher.withdraw_waiting(
            lambda request: self.latest_start(request) <= now
        )
