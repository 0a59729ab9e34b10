"""Ways to pick a target."""

import random

from forklift import balancing_algorithms


def candidate(name: str, **changes) -> balancing_algorithms.Candidate:
    fields = {
        "load": 0.0,
        "slots": 4,
        "weight": 1.0,
        "same_domain": True,
        "pick_count": 0,
    }
    return balancing_algorithms.Candidate(name, **{**fields, **changes})


def picked(*candidates: balancing_algorithms.Candidate) -> set[str]:
    rng = random.Random(1)
    return {
        balancing_algorithms.least_cost(candidates, rng).name for _ in range(40)
    }


def test_the_cost_of_risk_goes_before_a_little_load():
    risky = candidate("risky", risk_cost=0.2)
    assert picked(risky, candidate("busy", load=2.0)) == {"busy"}


def test_load_decides_among_equal_risks():
    assert picked(candidate("a", load=2.0), candidate("b")) == {"b"}


def test_a_far_one_is_picked_once_the_near_ones_are_full():
    """One failure domain short of room: spill by need, and only then."""
    far = candidate("far", same_domain=False, far_cost=0.25)
    assert picked(candidate("near", load=2.9), far) == {"near"}
    assert picked(candidate("near", load=4.0), far) == {"far"}


def test_where_all_are_full_the_shortest_queue_of_the_near_ones_is_picked():
    far = candidate("far", load=4.0, same_domain=False, far_cost=0.25)
    near = [candidate("a", load=9.0), candidate("b", load=6.0)]
    assert picked(far, *near) == {"b"}


def test_equal_ones_are_picked_in_turn_so_that_entries_do_not_herd():
    assert picked(candidate("a"), candidate("b")) == {"a", "b"}
