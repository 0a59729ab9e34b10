"""Load-balancing algorithms, registered under the names used in policies."""

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be selected.

    Costs are fractions of the value of the request.

    Attributes:
        name: Name of the target.
        load: Estimated number of requests on the target.
        slots: Maximum number of requests that the target runs concurrently.
        weight: Factor on the share of traffic, greater than 0.
        same_domain: Whether the target is in our failure domain.
        pick_count: Number of times that this process selected the target.
        failure_cost: Expected cost of a failure of the target.
        cross_domain_cost: Cost of sending the request to another failure
            domain.
    """

    name: str
    load: float
    slots: int
    weight: float
    same_domain: bool
    pick_count: int
    failure_cost: float = 0.0
    cross_domain_cost: float = 0.0

    @property
    def weighted_utilisation(self) -> float:
        """Utilisation after one more request, divided by the weight."""
        return self.utilisation / self.weight

    @property
    def utilisation(self) -> float:
        """Share of the slots in use after one more request."""
        return (self.load + 1) / self.slots

    @property
    def cost(self) -> float:
        """Total cost of sending the request to the target."""
        return (
            self.failure_cost
            + self.cross_domain_cost
            + UTILISATION_COST * self.utilisation
        )


Algorithm = Callable[[Sequence[Candidate], random.Random], Candidate]
algorithm_by_name: dict[str, Algorithm] = {}

# Utilisation above which a target counts as full.
SPILL_UTILISATION = 1.0
# Number of candidates that `power_of_two` compares.
SAMPLED_CANDIDATES = 2
# Cost of a fully used target relative to an idle one, as a fraction of the
# value of a request. Responses slow down a little as a target fills, and load
# reports are old.
UTILISATION_COST = 0.15
# Lower bound on weights, so that no weight takes a target out of service.
MIN_WEIGHT = 0.02


def algorithm(name: str) -> Callable[[Algorithm], Algorithm]:
    """Registers an algorithm under the name that policies use."""

    def register(function: Algorithm) -> Algorithm:
        algorithm_by_name[name] = function
        return function

    return register


@algorithm("round-robin")
def round_robin(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Selects the target with the fewest selections relative to its weight."""
    return min(candidates, key=lambda c: (c.pick_count + 1) / c.weight)


@algorithm("least-loaded")
def least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Selects the target with the lowest weighted utilisation.

    Ties are broken at random.
    """
    return min(candidates, key=lambda c: (c.weighted_utilisation, rng.random()))


@algorithm("power-of-two")
def power_of_two(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Selects the less used of two targets drawn at random by weight.

    The random draw keeps processes with the same outdated load reports from
    all selecting the same target.
    """
    if len(candidates) <= SAMPLED_CANDIDATES:
        return least_loaded(candidates, rng)
    weights = [candidate.weight for candidate in candidates]
    first, second = rng.choices(candidates, weights, k=SAMPLED_CANDIDATES)
    # The draw already applies the weights. Applying them again would starve
    # targets of low weight.
    return first if first.utilisation <= second.utilisation else second


@algorithm("same-domain")
def same_domain(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Applies `power_of_two` to the targets of our failure domain.

    If there is none or the selected one is full, all targets are candidates.
    """
    local = [c for c in candidates if c.same_domain]
    if local:
        selected = power_of_two(local, rng)
        if selected.utilisation <= SPILL_UTILISATION:
            return selected
    return power_of_two(candidates, rng)


@algorithm("nearest-free")
def nearest_free(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Selects the least used target, preferably from our failure domain.

    Targets of other failure domains are candidates only if ours are full.
    """
    local = [
        c
        for c in candidates
        if c.same_domain and c.utilisation <= SPILL_UTILISATION
    ]
    return min(local or candidates, key=lambda c: (c.utilisation, rng.random()))


@algorithm("least-cost")
def least_cost(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Selects the target with the lowest cost of failure, distance and load.

    Targets without a free slot are candidates only if all targets are full.
    The cost suits targets that fail for seconds at a time and failure domains
    between which traffic is expensive.
    """
    available = [c for c in candidates if c.utilisation <= SPILL_UTILISATION]
    return min(available or candidates, key=lambda c: (c.cost, rng.random()))
