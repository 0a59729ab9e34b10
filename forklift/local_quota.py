"""Admits requests of organisations at one process, within their rate limits.

The process delegates its share of all limits to their allocators and admits
requests from the leases that these grant. For requests beyond its leases it
asks the allocator for single tokens.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable
from collections.abc import Iterable

from forklift import allocator
from forklift import limit_messages as messages
from forklift import limit_refusals
from forklift import rate_limits
from forklift import rates
from forklift import rendezvous

# Number of shards into which the organisations are divided. Each shard has an
# allocator of its own. With more shards, an allocator that ends takes fewer
# organisations with it; with fewer, delegations cost less.
SHARD_COUNT = 8
# Seconds over which the arrival rate of an organisation is measured.
DEMAND_WINDOW_SECONDS = 4.0
# Mean time between requests above which an organisation needs no lease.
MAX_REQUEST_INTERVAL_SECONDS = 10.0
# Number of delegations to an allocator whose answers are still accepted.
MAX_PENDING_DELEGATIONS = 16
# Bounds of the time for which requests are rejected without asking the
# allocator after it has run out of tokens. Tokens may become available earlier
# than the allocator announced. Other processes may stop sending, or the limit
# may be raised.
MIN_EXHAUSTED_SECONDS = 0.05
MAX_EXHAUSTED_SECONDS = 0.5
# Seconds without requests after which an organisation is forgotten.
USAGE_RETENTION_SECONDS = 30.0


class Decision(enum.Enum):
    """Whether a request is admitted."""

    ADMIT = "yes"
    REJECT = "no"
    # The allocator decides; the request waits for a token.
    ASK_ALLOCATOR = "ask"


@dataclasses.dataclass(frozen=True)
class AdmissionResult:
    """The outcome for one request.

    Attributes:
        decision: Whether it is admitted.
        retry_after: Seconds until a retry may be admitted, if it is rejected.
    """

    decision: Decision
    retry_after: float = 0.0


@dataclasses.dataclass
class _LeaseSet:
    """The leases that one run of an allocator granted.

    Attributes:
        expires_at: Time at which the leases expire, monotonic seconds.
        share_by_organisation: Leased fraction of each limit.
    """

    expires_at: float
    share_by_organisation: dict[str, float]


@dataclasses.dataclass
class _Exchange:
    """State of the message exchange with one allocator.

    Attributes:
        boot: Run of the allocator that sent the last allocation.
        last_sent: Sequence number of the last delegation.
        last_received: Sequence number of the last allocation.
        echo: Sequence number of the allocation that the next delegation echoes;
            0 if none arrived since this process selected the allocator.
        echo_received_at: Time at which that allocation arrived, monotonic
            seconds.
        echoed: Whether a delegation has echoed an allocation. Only then may the
            allocator grant the share of this process.
        sent_at: Times at which recent delegations were sent, by sequence
            number, monotonic seconds.
    """

    boot: int = 0
    last_sent: int = 0
    last_received: int = 0
    echo: int = 0
    echo_received_at: float = -math.inf
    echoed: bool = False
    sent_at: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class _Shard:
    """State of this process for one shard."""

    def __init__(self):
        self.allocator = ""
        self.next_delegation = -math.inf
        self.exchange_by_name: dict[str, _Exchange] = {}
        # Leases by the name and boot of the allocator that granted them.
        self.leases_by_allocator: dict[tuple[str, int], _LeaseSet] = {}
        # Time until which an allocator, by name and boot, may grant the share
        # of this process; monotonic seconds.
        self.delegated_until: dict[tuple[str, int], float] = {}
        self.organisations: set[str] = set()
        self.allocation_at: float | None = None
        # Time of the first delegation that the allocator has not answered,
        # monotonic seconds; None if it has answered all of them.
        self.unanswered_since: float | None = None

    def leased_share(self, organisation: str, now: float) -> float:
        """Fraction of a limit that this process holds leases for."""
        return sum(
            leases.share_by_organisation.get(organisation, 0.0)
            for leases in self.leases_by_allocator.values()
            if leases.expires_at > now
        )


class _Usage:
    """Requests and tokens of one organisation at this process."""

    def __init__(self, now: float):
        self.bucket = rate_limits.TokenBucket(now)
        self.arrivals = rates.DecayingCounter(DEMAND_WINDOW_SECONDS)
        self.seen_at = now
        # The allocator has no tokens left; requests are rejected until this
        # time, monotonic seconds. It expects a token at retry_at.
        self.exhausted_until = -math.inf
        self.retry_at = -math.inf
        # Rate and burst of the limit of which the allocator has no tokens left,
        # if it says so of the whole limit; None if it may change any time.
        self.exhausted_limit: tuple[float, float] | None = None
        self.tokens_wanted = 0
        self.admitted = 0
        self.refused = 0
        # What the allocator told last, and the cause of the last refusal.
        self.supply = limit_refusals.UNKNOWN_SUPPLY
        self.refusal_cause: limit_refusals.Cause | None = None

    def rate(self, now: float) -> float:
        """Recent arrival rate, requests per second."""
        return self.arrivals.count(now) / DEMAND_WINDOW_SECONDS


def shard_of(organisation: str) -> int:
    """Returns the shard of an organisation; the same at every process."""
    return rendezvous.score("shard", organisation) % SHARD_COUNT


class LocalQuota:
    """Admits requests within the leases of one process."""

    def __init__(
        self,
        own: Callable[[], messages.ProcessRun],
        bounds: rate_limits.Bounds,
        find_organisation: allocator.FindOrganisation,
        own_share: Callable[[], float],
        has_ended: Callable[[str, int], bool] = lambda name, boot: False,
        overload_control: Callable[[], bool] = lambda: False,
    ):
        """Creates a quota without leases.

        Args:
            own: Describes this process.
            bounds: Permitted overshoot of the limits.
            find_organisation: Finds an organisation by its name.
            own_share: Returns the fraction of all limits that this process may
                delegate; 0 if it is not known.
            has_ended: Whether a run of a process, given by name and boot, has
                certainly ended.
            overload_control: Whether overload control is in force.
        """
        self.bounds = bounds
        self._own = own
        self._find_organisation = find_organisation
        self._own_share = own_share
        self._has_ended = has_ended
        self._overload_control = overload_control
        self._shards = [_Shard() for _ in range(SHARD_COUNT)]
        self.usage_by_organisation: dict[str, _Usage] = {}
        self.refusals = limit_refusals.RefusalCounts()

    # Requests.

    def admit(self, organisation: str, now: float) -> AdmissionResult:
        """Decides whether to admit a request that has arrived.

        Args:
            organisation: Name of the organisation that sent the request.
            now: Monotonic seconds.
        """
        limit = self._find_organisation(organisation)
        if limit is None or not limit.limited:
            return AdmissionResult(Decision.ADMIT)
        usage = self._usage_of(organisation, now)
        usage.arrivals.record(now)
        usage.seen_at = now
        self._refill(organisation, usage, now)
        if usage.bucket.try_take():
            usage.admitted += 1
            return AdmissionResult(Decision.ADMIT)
        if now < usage.exhausted_until and usage.exhausted_limit in (
            None,
            (limit.rate, limit.burst),
        ):
            self._record_refusal(organisation, usage, True, now)
            retry_at = max(usage.exhausted_until, usage.retry_at)
            return AdmissionResult(Decision.REJECT, retry_at - now)
        return AdmissionResult(Decision.ASK_ALLOCATOR)

    def set_tokens_wanted(self, organisation: str, count: int) -> None:
        """Sets how many requests wait for a token of the allocator."""
        usage = self.usage_by_organisation.get(organisation)
        if usage is not None:
            usage.tokens_wanted = count

    def record_outcome(
        self, organisation: str, granted: bool, answered: bool, now: float
    ) -> None:
        """Counts a request that waited for the allocator's decision.

        Args:
            organisation: Name of the organisation that sent the request.
            granted: Whether the request is admitted.
            answered: Whether the allocator answered in time.
            now: Monotonic seconds.
        """
        usage = self.usage_by_organisation.get(organisation)
        if usage is None:
            return
        if granted:
            usage.admitted += 1
        else:
            self._record_refusal(organisation, usage, answered, now)

    def refusal_cause(self, organisation: str) -> limit_refusals.Cause | None:
        """Cause of the last refusal of an organisation; None if not known."""
        usage = self.usage_by_organisation.get(organisation)
        return usage.refusal_cause if usage is not None else None

    def _record_refusal(
        self, organisation: str, usage: _Usage, answered: bool, now: float
    ) -> None:
        usage.refused += 1
        usage.refusal_cause = self._cause(organisation, usage, answered)
        self.refusals.record(
            organisation, usage.refusal_cause, usage.supply, now
        )

    def _cause(
        self, organisation: str, usage: _Usage, answered: bool
    ) -> limit_refusals.Cause:
        if answered:
            if usage.supply.granted < allocator.COMPLETE_SHARE:
                return limit_refusals.Cause.NOT_GRANTED
            return limit_refusals.Cause.BEYOND
        state = self._shards[shard_of(organisation)]
        if state.allocation_at is None:
            return limit_refusals.Cause.NO_ALLOCATOR
        return limit_refusals.Cause.NO_ANSWER

    def refund(self, organisation: str, now: float) -> None:
        """Returns the token of an admitted request that will not run."""
        limit = self._find_organisation(organisation)
        usage = self.usage_by_organisation.get(organisation)
        if usage is not None and limit is not None and limit.limited:
            usage.bucket.tokens += 1.0
            self._refill(organisation, usage, now)

    def leased_share(self, organisation: str, now: float) -> float:
        """Fraction of a limit that this process holds valid leases for."""
        return self._shards[shard_of(organisation)].leased_share(
            organisation, now
        )

    def seconds_since_allocation(
        self, organisation: str, now: float
    ) -> float | None:
        """Seconds since the last allocation; None if there was none."""
        state = self._shards[shard_of(organisation)]
        if state.allocation_at is None:
            return None
        return round(now - state.allocation_at, 2)

    def _usage_of(self, organisation: str, now: float) -> _Usage:
        usage = self.usage_by_organisation.get(organisation)
        if usage is None:
            usage = self.usage_by_organisation[organisation] = _Usage(now)
            self._shards[shard_of(organisation)].organisations.add(organisation)
        return usage

    def _refill(self, organisation: str, usage: _Usage, now: float) -> None:
        limit = self._find_organisation(organisation)
        if limit is None or not limit.limited:
            return
        share = self.leased_share(organisation, now)
        depth = self.bounds.depth(limit.rate, limit.burst)
        usage.bucket.refill(now, share * limit.rate, share * depth)

    # Exchange with allocators.

    def delegate(
        self, shard: int, name: str, now: float
    ) -> messages.Delegation:
        """Returns the next delegation of a shard, to be sent to an allocator.

        Args:
            shard: Number of the shard.
            name: Name of the process that allocates the shard.
            now: Monotonic seconds.
        """
        state = self._shards[shard]
        exchange = state.exchange_by_name.setdefault(name, _Exchange())
        if state.allocator != name or state.unanswered_since is None:
            state.unanswered_since = now
        if state.allocator != name:
            self._select(state, name, exchange)
        state.next_delegation = now + allocator.DELEGATION_PERIOD_SECONDS
        exchange.last_sent += 1
        exchange.sent_at[exchange.last_sent] = now
        while len(exchange.sent_at) > MAX_PENDING_DELEGATIONS:
            exchange.sent_at.popitem(last=False)
        current = (name, exchange.boot)
        self._shorten_delegations(state, now)
        previous = {
            key: until
            for key, until in state.delegated_until.items()
            if until > now and key != current
        }
        share = self._own_share()
        if exchange.echo:
            exchange.echoed = True
            delegated_until = dict(previous)
            if share:
                delegated_until[current] = self._delegated_until(
                    state, exchange, current, now
                )
            state.delegated_until = delegated_until
        exclusive_in = max(
            (until - now for until in previous.values()), default=0.0
        )
        return messages.Delegation(
            self._own(),
            shard,
            exchange.last_sent,
            exchange.echo,
            exchange.boot,
            allocator.DELEGATION_SECONDS,
            share,
            tuple(previous),
            round(exclusive_in, 3),
            tuple(self._demands(state, now)),
        )

    def _delegated_until(
        self,
        state: _Shard,
        exchange: _Exchange,
        current: tuple[str, int],
        now: float,
    ) -> float:
        """Time until which the current allocator may grant the share.

        The allocator counts the delegation from when it sent the allocation
        that is echoed, which was before that allocation arrived. With overload
        control the time is therefore not extended by delegations that the
        allocator does not answer.
        """
        if not self._overload_control():
            return now + allocator.DELEGATION_SECONDS
        until = exchange.echo_received_at + allocator.DELEGATION_SECONDS
        # It may have been extended before overload control was in force.
        return max(until, state.delegated_until.get(current, -math.inf))

    def _select(self, state: _Shard, name: str, exchange: _Exchange) -> None:
        """Turns to another allocator of a shard.

        What an earlier exchange with it acknowledged may have been handed over,
        and what the previous allocator ran out of may be available.
        """
        state.allocator = name
        exchange.echo, exchange.echoed = 0, False
        for organisation in state.organisations:
            self.usage_by_organisation[organisation].exhausted_until = -math.inf

    def _shorten_delegations(self, state: _Shard, now: float) -> None:
        """Shortens delegations to runs that have ended.

        Only leases that such a run granted may still be in use.
        """
        for key, until in state.delegated_until.items():
            if self._has_ended(*key):
                state.delegated_until[key] = min(
                    until, now + allocator.LEASE_SECONDS
                )

    def delegation_due(self, shard: int, name: str, now: float) -> bool:
        """Whether the next delegation to an allocator is due."""
        state = self._shards[shard]
        return state.allocator != name or now >= state.next_delegation

    def has_answered(self, shard: int, name: str) -> bool:
        """Whether an allocator answers the delegations of a shard."""
        state = self._shards[shard]
        return state.allocator == name and state.unanswered_since is None

    def seconds_unanswered(self, shard: int, now: float) -> float:
        """Seconds since the first unanswered delegation; 0 if there is none."""
        since = self._shards[shard].unanswered_since
        return now - since if since is not None else 0.0

    def _demands(self, state: _Shard, now: float) -> Iterable[messages.Demand]:
        for name in sorted(state.organisations):
            usage = self.usage_by_organisation[name]
            rate = usage.rate(now)
            if rate >= 1 / MAX_REQUEST_INTERVAL_SECONDS or usage.tokens_wanted:
                yield self._demand(name, rate, usage.tokens_wanted)
            usage.tokens_wanted = 0

    def _demand(
        self, organisation: str, rate: float, tokens_wanted: int
    ) -> messages.Demand:
        limit = self._find_organisation(organisation)
        if limit is None:
            return messages.Demand(organisation, round(rate, 3), tokens_wanted)
        return messages.Demand(
            organisation,
            round(rate, 3),
            tokens_wanted,
            limit.rate,
            limit.burst,
        )

    def receive(
        self, allocation: messages.Allocation, now: float
    ) -> tuple[messages.TokenGrant, ...] | None:
        """Activates the leases of an allocation.

        They replace the leases of the same allocator and of the allocators that
        the allocation supersedes.

        Returns:
            Answers to the requests for tokens; None if the allocation does not
            answer a recent delegation or arrives out of order.
        """
        if not 0 <= allocation.shard < SHARD_COUNT:
            return None
        state = self._shards[allocation.shard]
        exchange = state.exchange_by_name.get(allocation.sender.name)
        if exchange is None or allocation.echo not in exchange.sent_at:
            return None
        if allocation.sender.boot != exchange.boot:
            exchange.boot, exchange.last_received = allocation.sender.boot, 0
            exchange.echoed = False
        if allocation.sequence <= exchange.last_received:
            return None
        for name in state.organisations:
            self._refill(name, self.usage_by_organisation[name], now)
        exchange.last_received, state.allocation_at = allocation.sequence, now
        exchange.echo = allocation.sequence
        exchange.echo_received_at = now
        if allocation.sender.name == state.allocator:
            state.unanswered_since = None
        expires_at = exchange.sent_at[allocation.echo] + allocation.valid_for
        shares = {one.organisation: one.share for one in allocation.leases}
        key = (allocation.sender.name, allocation.sender.boot)
        state.leases_by_allocator = {
            known: leases
            for known, leases in state.leases_by_allocator.items()
            if known[1] not in allocation.supersedes and leases.expires_at > now
        }
        state.leases_by_allocator[key] = _LeaseSet(expires_at, shares)
        for one in allocation.token_grants:
            self._record_grant(one, now)
        return allocation.token_grants

    def delegation_confirmed(self, shard: int) -> bool:
        """Whether the allocator may grant the share of this process."""
        state = self._shards[shard]
        exchange = state.exchange_by_name.get(state.allocator)
        return exchange is not None and exchange.echoed

    def _record_grant(self, grant: messages.TokenGrant, now: float) -> None:
        usage = self.usage_by_organisation.get(grant.organisation)
        if usage is None:
            return
        granted = 1.0 if grant.granted_share is None else grant.granted_share
        usage.supply = limit_refusals.Supply(
            granted, grant.load or usage.supply.load
        )
        if grant.retry_after > 0:
            wait = max(MIN_EXHAUSTED_SECONDS, grant.retry_after)
            usage.exhausted_limit = self._exhausted_limit(grant)
            if usage.exhausted_limit is None:
                wait = min(MAX_EXHAUSTED_SECONDS, wait)
            usage.exhausted_until = now + wait
            usage.retry_at = now + grant.retry_after

    def _exhausted_limit(
        self, grant: messages.TokenGrant
    ) -> tuple[float, float] | None:
        """Limit for which an allocator's word holds as long as it says.

        Returns:
            Rate and burst; None if tokens may become available earlier.
        """
        limit = self._find_organisation(grant.organisation)
        if (
            limit is None
            or grant.granted_share is None
            or grant.granted_share < allocator.COMPLETE_SHARE
            or not self._overload_control()
        ):
            return None
        return limit.rate, limit.burst

    def tick(self, now: float) -> None:
        """Forgets organisations without recent requests."""
        for name, usage in list(self.usage_by_organisation.items()):
            if now - usage.seen_at > USAGE_RETENTION_SECONDS:
                del self.usage_by_organisation[name]
                self._shards[shard_of(name)].organisations.discard(name)
