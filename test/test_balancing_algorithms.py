"""Load-balancing algorithms."""

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


def selected_names(*candidates: balancing_algorithms.Candidate) -> set[str]:
    rng = random.Random(1)
    return {
        balancing_algorithms.least_cost(candidates, rng).name for _ in range(40)
    }


def test_failure_cost_outweighs_a_small_difference_in_load():
    risky = candidate("risky", failure_cost=0.2)
    assert selected_names(risky, candidate("busy", load=2.0)) == {"busy"}


def test_lowest_load_is_selected_among_equal_failure_costs():
    assert selected_names(candidate("a", load=2.0), candidate("b")) == {"b"}


def test_other_failure_domain_is_selected_only_if_the_local_one_is_full():
    far = candidate("far", same_domain=False, cross_domain_cost=0.25)
    assert selected_names(candidate("near", load=2.9), far) == {"near"}
    assert selected_names(candidate("near", load=4.0), far) == {"far"}


def test_shortest_local_queue_is_selected_if_all_targets_are_full():
    far = candidate("far", load=4.0, same_domain=False, cross_domain_cost=0.25)
    local = [candidate("a", load=9.0), candidate("b", load=6.0)]
    assert selected_names(far, *local) == {"b"}


def test_equal_targets_are_selected_at_random():
    assert selected_names(candidate("a"), candidate("b")) == {"a", "b"}
