"""How long each kind of work takes."""

import random

import pytest

from forklift import latency


def learned(median: float, spread: float, count: int = 400) -> latency.Latency:
    rng = random.Random(3)
    found = latency.Latency(1.0)
    for _ in range(count):
        found.note(median * rng.lognormvariate(0.0, spread))
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
            found.note_cut(late, 1.0)
        else:
            found.note(seconds)
    assert found.median == pytest.approx(0.2, rel=0.35)
    assert found.spread == pytest.approx(0.6, rel=0.35)


def test_what_hung_is_no_answer():
    found = learned(0.2, 0.6)
    before = found.median
    found.note_cut(5.0, 0.0)
    assert found.median == before


def test_one_service_may_serve_work_of_very_different_length():
    found = latency.Latencies()
    for _ in range(50):
        found.of("status", 1.0).note(0.001)
        found.of("search", 1.5).note(0.6)
    assert found.of("status", 1.0).median < 0.002
    assert found.of("search", 1.5).median > 0.4


def test_a_first_guess_comes_from_the_objective():
    found = latency.Latencies()
    assert found.of("r", 0.9).median == pytest.approx(0.3)
    assert found.of("none", float("inf")).median < latency.MAX_AIM


def test_a_guess_alone_refuses_nothing():
    """Requests of a route that was just added were turned away, all others
    served: 3 of 26 against 468 of 609."""
    found = latency.Latency(0.5)
    assert found.expected == 0.0
    for _ in range(4):
        found.note(0.5)
    assert found.expected == pytest.approx(found.median)
    told = latency.Latency(0.5)
    for _ in range(4):
        told.follow(0.2, 0.5, 0.2)
    assert told.expected > 0.0


def test_routes_are_bounded():
    found = latency.Latencies()
    for number in range(2 * latency.MAX_ROUTES):
        found.of(f"r{number}", 1.0)
    assert found.known("r0") is None
    assert len(found.medians()) == latency.MAX_ROUTES
