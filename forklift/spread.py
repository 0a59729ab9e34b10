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
        picked: Counter of our picks of it.
        risk_cost: What the chance of a bad phase costs, as a part of the
            request's worth.
        far_cost: What its distance costs, as a part of the request's worth.
    """

    name: str
    load: float
    slots: int
    weight: float
    same_domain: bool
    picked: int
    risk_cost: float = 0.0
    far_cost: float = 0.0

    @property
    def pressure(self) -> float:
        """Load against the slots that its weight grants."""
        return self.fill / self.weight

    @property
    def fill(self) -> float:
        """Load against all of its slots."""
        return (self.load + 1) / self.slots

    @property
    def cost(self) -> float:
        """What sending it there costs, as a part of the request's worth."""
        return self.risk_cost + self.far_cost + FILL_COST * self.fill


Picker = Callable[[Sequence[Candidate], random.Random], Candidate]
picker_by_name: dict[str, Picker] = {}

# Above this share of its slots a failure domain spills to the others.
SPILL_FILL = 1.0
# Candidates that the power of choices compares.
CHOICES = 2
# Cost of a target whose slots are all taken against an idle one: answers slow
# down a little as a target fills, and reports of load are old.
FILL_COST = 0.15
# A weight of zero would take a target out, which is not a weight's job.
LEAST_WEIGHT = 0.02


def picker(name: str) -> Callable[[Picker], Picker]:
    """Registers a picker under the name that policies use."""

    def register(function: Picker) -> Picker:
        picker_by_name[name] = function
        return function

    return register


@picker("round-robin")
def round_robin(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The one picked least often for its weight."""
    return min(candidates, key=lambda c: (c.picked + 1) / c.weight)


@picker("least-loaded")
def least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The one with the least pressure; ties fall at random."""
    return min(candidates, key=lambda c: (c.pressure, rng.random()))


@picker("power-of-two")
def power_of_two(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The better of two drawn by weight, so that old reports never herd."""
    if len(candidates) <= CHOICES:
        return least_loaded(candidates, rng)
    weights = [candidate.weight for candidate in candidates]
    first, second = rng.choices(candidates, weights, k=CHOICES)
    # The draw has weighed them; weighing again would starve the light ones.
    return first if first.fill <= second.fill else second


@picker("same-domain")
def same_domain(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Power of two within our failure domain until it is full, then all."""
    near = [c for c in candidates if c.same_domain]
    if near:
        pick = power_of_two(near, rng)
        if pick.fill <= SPILL_FILL:
            return pick
    return power_of_two(candidates, rng)


@picker("nearest-free")
def nearest_free(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """The least filled in our failure domain while it has a free slot."""
    near = [c for c in candidates if c.same_domain and c.fill <= SPILL_FILL]
    return min(near or candidates, key=lambda c: (c.fill, rng.random()))


@picker("least-cost")
def least_cost(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Weighs the chance of a bad phase, the distance and the load.

    For targets that fail a part of what they get for seconds at a time, in
    failure domains between which bytes are dear, at any load: risk decides
    while somebody has a slot free, distance among equal risks, and where
    nobody has one the shortest queue.
    """
    free = [c for c in candidates if c.fill <= SPILL_FILL]
    return min(free or candidates, key=lambda c: (c.cost, rng.random()))
