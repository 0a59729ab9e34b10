"""How long each kind of work takes."""

import random

import pytest

from forklift import latency


def learned(
    median: float, spread: float, count: int = 400
) -> latency.Distribution:
    rng = random.Random(3)
    found = latency.Distribution(1.0)
    for _ in range(count):
        found.record(median * rng.lognormvariate(0.0, spread))
    return found


def test_median_and_spread_are_learned_from_answers():
    found = learned(0.2, 0.6)
    assert found.median == pytest.approx(0.2, rel=0.3)
    assert found.spread == pytest.approx(0.6, rel=0.3)
    assert found.mean > found.median


def test_survival_falls_from_one_and_leaves_a_tail():
    found = learned(0.2, 0.6)
    ages = [0.0, 0.05, 0.2, 0.5, 1.0, 3.0]
    shares = [found.survival(age) for age in ages]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] == 1.0
    assert 0 < shares[-1] < 0.01


def test_a_quantile_is_where_the_survival_says():
    found = learned(0.2, 0.6)
    assert found.survival(found.quantile(1.0)) == pytest.approx(0.16, abs=0.02)


def test_work_that_is_cut_off_late_does_not_shrink_what_is_usual():
    """Second sends cut off the slow ones; learning from the rest alone would
    make ever faster answers look late."""
    rng = random.Random(5)
    found = learned(0.2, 0.6)
    for _ in range(2000):
        seconds = 0.2 * rng.lognormvariate(0.0, 0.6)
        late = found.quantile(1.0)
        if seconds > late:
            found.record_censored(late, 1.0)
        else:
            found.record(seconds)
    assert found.median == pytest.approx(0.2, rel=0.35)
    assert found.spread == pytest.approx(0.6, rel=0.35)


def test_what_hung_is_no_answer():
    found = learned(0.2, 0.6)
    before = found.median
    found.record_censored(5.0, 0.0)
    assert found.median == before


def test_one_service_may_serve_work_of_very_different_length():
    found = latency.RouteLatencies()
    for _ in range(50):
        found.for_route("status", 1.0).record(0.001)
        found.for_route("search", 1.5).record(0.6)
    assert found.for_route("status", 1.0).median < 0.002
    assert found.for_route("search", 1.5).median > 0.4


def test_a_first_guess_comes_from_the_objective():
    found = latency.RouteLatencies()
    assert found.for_route("r", 0.9).median == pytest.approx(0.3)
    assert (
        found.for_route("none", float("inf")).median
        < latency.MAX_OBJECTIVE_SECONDS
    )


def test_a_guess_alone_refuses_nothing():
    """Requests of a route that was just added were turned away, all others
    served: 3 of 26 against 468 of 609."""
    found = latency.Distribution(0.5)
    assert found.learned_median == 0.0
    for _ in range(4):
        found.record(0.5)
    assert found.learned_median == pytest.approx(found.median)
    told = latency.Distribution(0.5)
    for _ in range(4):
        told.blend(0.2, 0.5, 0.2)
    assert told.learned_median > 0.0


def test_routes_are_bounded():
    found = latency.RouteLatencies()
    for number in range(2 * latency.MAX_ROUTES):
        found.for_route(f"r{number}", 1.0)
    assert found.get("r0") is None
    assert len(found.medians_by_route()) == latency.MAX_ROUTES
