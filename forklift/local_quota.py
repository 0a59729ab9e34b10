"""What a process may let in of each organisation's requests.

It lends its share of all limits to the allocators that it sees, and uses the
parts that they grant. What a part does not cover it asks for, token by token.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable
from collections.abc import Iterable

from forklift import allocator
from forklift import limit_messages as messages
from forklift import rate_limits
from forklift import rates
from forklift import rendezvous

# Shards of the organisations: so many that one allocator that ends takes few
# with it, so few that votes for all of them cost little.
SHARD_COUNT = 8
# Seconds over which the demand for an organisation is counted.
DEMAND_WINDOW_SECONDS = 4.0
# Less than one request in this many seconds is no demand for a part.
RARE = 10.0
# Votes whose answers may still come.
KEPT_VOTES = 16
# Seconds for which a word that nothing is left is believed, at least and at
# most: others stop sending, or a limit is raised.
EMPTY_LEAST = 0.05
EMPTY_MOST = 0.5
# Seconds after which an organisation without requests is forgotten.
FORGET_AFTER = 30.0


class Decision(enum.Enum):
    """Whether a request may go on."""

    ADMIT = "yes"
    REJECT = "no"
    # Its allocator must be asked first.
    ASK_ALLOCATOR = "ask"


@dataclasses.dataclass(frozen=True)
class AdmissionResult:
    """What becomes of a request.

    Attributes:
        decision: Whether it may go on.
        retry_after: Seconds after which another may, where this one may not.
    """

    decision: Decision
    retry_after: float = 0.0


@dataclasses.dataclass
class _Grant:
    """The parts that one run of an allocator granted.

    Attributes:
        until: Monotonic seconds.
        parts: Parts by organisation.
    """

    until: float
    parts: dict[str, float]


@dataclasses.dataclass
class _Link:
    """What passed between this process and one run of an allocator."""

    boot: int = 0
    number: int = 0
    heard: int = 0
    # Whether a vote told that an allocation was heard, which makes it count.
    echoed: bool = False
    sent_at: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class _Shard:
    """This process's side of one shard."""

    def __init__(self):
        self.allocator = ""
        self.next_vote = -math.inf
        self.link_by_name: dict[str, _Link] = {}
        # By name and run of the allocator.
        self.grant_by_boot: dict[tuple[str, int], _Grant] = {}
        # Until when a run of an allocator may count this process's share.
        self.lent_until: dict[tuple[str, int], float] = {}
        self.organisations: set[str] = set()
        self.heard_at: float | None = None
        # Since when the allocator owes an answer to a vote.
        self.unanswered_since: float | None = None

    def leased_share(self, organisation: str, now: float) -> float:
        """The part of a limit that this process may use by itself."""
        return sum(
            grant.parts.get(organisation, 0.0)
            for grant in self.grant_by_boot.values()
            if grant.until > now
        )


class _Use:
    """What this process lets in of one organisation."""

    def __init__(self, now: float):
        self.bucket = rate_limits.TokenBucket(now)
        self.arrivals = rates.DecayingCounter(DEMAND_WINDOW_SECONDS)
        self.seen_at = now
        # Until when nothing is left, by the word of the allocator.
        self.empty_until = -math.inf
        self.asks = 0
        self.admitted = 0
        self.refused = 0

    def rate(self, now: float) -> float:
        """Requests a second that came of late."""
        return self.arrivals.count(now) / DEMAND_WINDOW_SECONDS


def shard_of(organisation: str) -> int:
    """The shard of an organisation, the same on every process."""
    return rendezvous.score("shard", organisation) % SHARD_COUNT


class LocalQuota:
    """The limits as one process keeps to them."""

    def __init__(
        self,
        own: Callable[[], messages.ProcessRun],
        bounds: rate_limits.Bounds,
        find_organisation: allocator.FindOrganisation,
        weight: Callable[[], float],
        ended: Callable[[str, int], bool] = lambda name, boot: False,
    ):
        """Makes one that was granted nothing yet.

        Args:
            own: Describes this process.
            bounds: What may be run beyond limits.
            find_organisation: Finds an organisation by its name.
            weight: This process's share of all limits, as far as known.
            ended: Whether a run of a process is over for certain, by name and
                boot.
        """
        self.bounds = bounds
        self._own = own
        self._limit_of = find_organisation
        self._weight = weight
        self._ended = ended
        self._shards = [_Shard() for _ in range(SHARD_COUNT)]
        self.usage_by_organisation: dict[str, _Use] = {}

    # Requests.

    def admit(self, organisation: str, now: float) -> AdmissionResult:
        """A request of an organisation came."""
        limit = self._limit_of(organisation)
        if limit is None or not limit.limited:
            return AdmissionResult(Decision.ADMIT)
        use = self._use(organisation, now)
        use.arrivals.record(now)
        use.seen_at = now
        self._earn(organisation, use, now)
        if use.bucket.try_take():
            use.admitted += 1
            return AdmissionResult(Decision.ADMIT)
        if now < use.empty_until:
            use.refused += 1
            return AdmissionResult(Decision.REJECT, use.empty_until - now)
        return AdmissionResult(Decision.ASK_ALLOCATOR)

    def set_tokens_wanted(self, organisation: str, count: int) -> None:
        """So many requests wait for the word of the allocator."""
        use = self.usage_by_organisation.get(organisation)
        if use is not None:
            use.asks = count

    def record_outcome(self, organisation: str, granted: bool) -> None:
        """What became of a request that waited for it."""
        use = self.usage_by_organisation.get(organisation)
        if use is None:
            return
        use.admitted += granted
        use.refused += not granted

    def refund(self, organisation: str, now: float) -> None:
        """A request that was let in has not run, and never will."""
        limit = self._limit_of(organisation)
        use = self.usage_by_organisation.get(organisation)
        if use is not None and limit is not None and limit.limited:
            use.bucket.tokens += 1.0
            self._earn(organisation, use, now)

    def leased_share(self, organisation: str, now: float) -> float:
        """The part of its limit that this process may use by itself."""
        return self._shards[shard_of(organisation)].leased_share(
            organisation, now
        )

    def seconds_since_allocation(
        self, organisation: str, now: float
    ) -> float | None:
        """Seconds since its allocator was heard; None where it never was."""
        found = self._shards[shard_of(organisation)]
        if found.heard_at is None:
            return None
        return round(now - found.heard_at, 2)

    def _use(self, organisation: str, now: float) -> _Use:
        use = self.usage_by_organisation.get(organisation)
        if use is None:
            use = self.usage_by_organisation[organisation] = _Use(now)
            self._shards[shard_of(organisation)].organisations.add(organisation)
        return use

    def _earn(self, organisation: str, use: _Use, now: float) -> None:
        limit = self._limit_of(organisation)
        if limit is None or not limit.limited:
            return
        part = self.leased_share(organisation, now)
        depth = self.bounds.depth(limit.rate, limit.burst)
        use.bucket.refill(now, part * limit.rate, part * depth)

    # Allocators.

    def delegate(
        self, shard: int, name: str, now: float
    ) -> messages.Delegation:
        """The next vote of this process for an allocator."""
        found = self._shards[shard]
        if found.allocator != name or found.unanswered_since is None:
            found.unanswered_since = now
        found.allocator = name
        found.next_vote = now + allocator.DELEGATION_PERIOD
        link = found.link_by_name.setdefault(name, _Link())
        link.number += 1
        link.sent_at[link.number] = now
        while len(link.sent_at) > KEPT_VOTES:
            link.sent_at.popitem(last=False)
        this = (name, link.boot)
        self._cut_short(found, now)
        ties = {
            key: until
            for key, until in found.lent_until.items()
            if until > now and key != this
        }
        weight = self._weight()
        if link.heard:
            link.echoed = True
            found.lent_until = dict(ties)
            if weight:
                found.lent_until[this] = now + allocator.DELEGATION_SECONDS
        free_in = max((until - now for until in ties.values()), default=0.0)
        return messages.Delegation(
            self._own(),
            shard,
            link.number,
            link.heard,
            link.boot,
            allocator.DELEGATION_SECONDS,
            weight,
            tuple(ties),
            round(free_in, 3),
            tuple(self._demands(found, now)),
        )

    def _cut_short(self, found: _Shard, now: float) -> None:
        """What an allocator that ended was lent is over with its parts."""
        for key, until in found.lent_until.items():
            if self._ended(*key):
                found.lent_until[key] = min(
                    until, now + allocator.LEASE_SECONDS
                )

    def delegation_due(self, shard: int, name: str, now: float) -> bool:
        """Whether it is time to vote for an allocator."""
        found = self._shards[shard]
        return found.allocator != name or now >= found.next_vote

    def has_answered(self, shard: int, name: str) -> bool:
        """Whether a process answers votes of this one for a shard."""
        found = self._shards[shard]
        return found.allocator == name and found.unanswered_since is None

    def seconds_unanswered(self, shard: int, now: float) -> float:
        """Seconds for which the allocator of a shard owes an answer."""
        since = self._shards[shard].unanswered_since
        return now - since if since is not None else 0.0

    def _demands(self, found: _Shard, now: float) -> Iterable[messages.Demand]:
        for name in sorted(found.organisations):
            use = self.usage_by_organisation[name]
            rate = use.rate(now)
            if rate >= 1 / RARE or use.asks:
                yield messages.Demand(name, round(rate, 3), use.asks)
            use.asks = 0

    def receive(
        self, given: messages.Allocation, now: float
    ) -> tuple[messages.TokenGrant, ...] | None:
        """An allocator answered a vote.

        Returns:
            What it says of tokens that were asked for; None where the answer
            is none to a vote of this process.
        """
        if not 0 <= given.shard < SHARD_COUNT:
            return None
        found = self._shards[given.shard]
        link = found.link_by_name.get(given.sender.name)
        if link is None or given.echo not in link.sent_at:
            return None
        if given.sender.boot != link.boot:
            link.boot, link.heard = given.sender.boot, 0
            link.echoed = False
        if given.sequence <= link.heard:
            return None
        for name in found.organisations:
            self._earn(name, self.usage_by_organisation[name], now)
        link.heard, found.heard_at = given.sequence, now
        if given.sender.name == found.allocator:
            found.unanswered_since = None
        until = link.sent_at[given.echo] + given.valid_for
        parts = {one.organisation: one.share for one in given.leases}
        key = (given.sender.name, given.sender.boot)
        found.grant_by_boot = {
            known: grant
            for known, grant in found.grant_by_boot.items()
            if known[1] not in given.supersedes and grant.until > now
        }
        found.grant_by_boot[key] = _Grant(until, parts)
        for one in given.token_grants:
            self._note_empty(one, now)
        return given.token_grants

    def delegation_confirmed(self, shard: int) -> bool:
        """Whether the allocator can count this process's votes."""
        found = self._shards[shard]
        link = found.link_by_name.get(found.allocator)
        return link is not None and link.echoed

    def _note_empty(self, told: messages.TokenGrant, now: float) -> None:
        use = self.usage_by_organisation.get(told.organisation)
        if use is not None and told.retry_after > 0:
            wait = min(EMPTY_MOST, max(EMPTY_LEAST, told.retry_after))
            use.empty_until = now + wait

    def tick(self, now: float) -> None:
        """Forgets what was not used for long."""
        for name, use in list(self.usage_by_organisation.items()):
            if now - use.seen_at > FORGET_AFTER:
                del self.usage_by_organisation[name]
                self._shards[shard_of(name)].organisations.discard(name)
