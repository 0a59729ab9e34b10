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
        untested: Whether it is known to have taken no request of late.
        rank: A fixed order of the targets, the same for every entry.
    """

    name: str
    load: float
    slots: int
    weight: float
    same_domain: bool
    picked: int
    untested: bool = False
    rank: int = 0

    @property
    def pressure(self) -> float:
        """Load against the slots that its weight grants."""
        return self.fill / self.weight

    @property
    def fill(self) -> float:
        """Load against all of its slots."""
        return (self.load + 1) / self.slots


Picker = Callable[[Sequence[Candidate], random.Random], Candidate]
picker_by_name: dict[str, Picker] = {}

# Above this share of its slots a failure domain spills to the others.
SPILL_FILL = 1.0
# Candidates that the power of choices compares.
CHOICES = 2
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


@picker("proven-first")
def proven_first(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Fills targets one after the other, near ones first.

    Targets fail for seconds at a time, and the first request that meets such
    a phase is lost. Fewer targets in steady use means fewer such requests;
    the rest are spare, and tested by work that may repeat. A gate refuses
    what comes while its slots are taken, so the order may be the same for all.
    """
    free = [c for c in candidates if c.fill <= SPILL_FILL]
    if not free:
        return nearest_free(candidates, rng)
    return min(free, key=lambda c: (c.untested, not c.same_domain, c.rank))
