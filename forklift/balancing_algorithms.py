"""Ways to pick a target, in a registry that policies choose from."""

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be picked.

    Attributes:
        name: Name of the target.
        load: Requests on it by the last report, plus our own since then.
        slots: Requests it runs at once.
        weight: Share of normal traffic it should get, above 0 to 1.
        same_domain: Whether it is in our failure domain.
        pick_count: Counter of our picks of it.
        risk_cost: What the chance of a bad phase costs, as a part of the
            request's worth.
        far_cost: What its distance costs, as a part of the request's worth.
    """

    name: str
    load: float
    slots: int
    weight: float
    same_domain: bool
    pick_count: int
    risk_cost: float = 0.0
    far_cost: float = 0.0

    @property
    def weighted_utilisation(self) -> float:
        """Load against the slots that its weight grants."""
        return self.utilisation / self.weight

    @property
    def utilisation(self) -> float:
        """Load against all of its slots."""
        return (self.load + 1) / self.slots

    @property
    def cost(self) -> float:
        """What sending it there costs, as a part of the request's worth."""
        return (
            self.risk_cost + self.far_cost + UTILISATION_COST * self.utilisation
        )


Algorithm = Callable[[Sequence[Candidate], random.Random], Candidate]
algorithm_by_name: dict[str, Algorithm] = {}

# Above this share of its slots a failure domain spills to the others.
SPILL_UTILISATION = 1.0
# Candidates that the power of choices compares.
SAMPLED_CANDIDATES = 2
# Cost of a target whose slots are all taken against an idle one: answers slow
# down a little as a target fills, and reports of load are old.
UTILISATION_COST = 0.15
# A weight of zero would take a target out, which is not a weight's job.
MIN_WEIGHT = 0.02


def algorithm(name: str) -> Callable[[Algorithm], Algorithm]:
    """Registers a picker under the name that policies use."""

    def register(function: Algorithm) -> Algorithm:
        algorithm_by_name[name] = function
        return function

    return register


@algorithm("round-robin")
def round_robin(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The one picked least often for its weight."""
    return min(candidates, key=lambda c: (c.pick_count + 1) / c.weight)


@algorithm("least-loaded")
def least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The one with the least pressure; ties fall at random."""
    return min(candidates, key=lambda c: (c.weighted_utilisation, rng.random()))


@algorithm("power-of-two")
def power_of_two(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The better of two drawn by weight, so that old reports never herd."""
    if len(candidates) <= SAMPLED_CANDIDATES:
        return least_loaded(candidates, rng)
    weights = [candidate.weight for candidate in candidates]
    first, second = rng.choices(candidates, weights, k=SAMPLED_CANDIDATES)
    # The draw has weighed them; weighing again would starve the light ones.
    return first if first.utilisation <= second.utilisation else second


@algorithm("same-domain")
def same_domain(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Power of two within our failure domain until it is full, then all."""
    near = [c for c in candidates if c.same_domain]
    if near:
        pick = power_of_two(near, rng)
        if pick.utilisation <= SPILL_UTILISATION:
            return pick
    return power_of_two(candidates, rng)


@algorithm("nearest-free")
def nearest_free(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The least filled in our failure domain while it has a free slot."""
    near = [
        c
        for c in candidates
        if c.same_domain and c.utilisation <= SPILL_UTILISATION
    ]
    return min(near or candidates, key=lambda c: (c.utilisation, rng.random()))


@algorithm("least-cost")
def least_cost(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Weighs the chance of a bad phase, the distance and the load.

    For targets that fail a part of what they get for seconds at a time, in
    failure domains between which bytes are dear, at any load: risk decides
    while somebody has a slot free, distance among equal risks, and where
    nobody has one the shortest queue.
    """
    free = [c for c in candidates if c.utilisation <= SPILL_UTILISATION]
    return min(free or candidates, key=lambda c: (c.cost, rng.random()))
