"""Latency distributions of routes."""

import random

import pytest

from forklift import latency


def learned(
    median: float, spread: float, count: int = 400
) -> latency.Distribution:
    rng = random.Random(3)
    distribution = latency.Distribution(1.0)
    for _ in range(count):
        distribution.record(median * rng.lognormvariate(0.0, spread))
    return distribution


def test_median_and_spread_are_learned_from_responses():
    distribution = learned(0.2, 0.6)
    assert distribution.median == pytest.approx(0.2, rel=0.3)
    assert distribution.spread == pytest.approx(0.6, rel=0.3)
    assert distribution.mean > distribution.median


def test_survival_decreases_from_one_and_has_a_tail():
    distribution = learned(0.2, 0.6)
    ages = [0.0, 0.05, 0.2, 0.5, 1.0, 3.0]
    shares = [distribution.survival(age) for age in ages]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] == 1.0
    assert 0 < shares[-1] < 0.01


def test_quantile_agrees_with_survival():
    distribution = learned(0.2, 0.6)
    assert distribution.survival(distribution.quantile(1.0)) == pytest.approx(
        0.16, abs=0.02
    )


def test_cancelled_slow_requests_do_not_bias_the_estimate():
    """Hedging cancels slow requests, which must not lower the estimate."""
    rng = random.Random(5)
    distribution = learned(0.2, 0.6)
    for _ in range(2000):
        seconds = 0.2 * rng.lognormvariate(0.0, 0.6)
        late = distribution.quantile(1.0)
        if seconds > late:
            distribution.record_censored(late, 1.0)
        else:
            distribution.record(seconds)
    assert distribution.median == pytest.approx(0.2, rel=0.35)
    assert distribution.spread == pytest.approx(0.6, rel=0.35)


def test_hanging_request_is_not_recorded_as_a_response():
    distribution = learned(0.2, 0.6)
    before = distribution.median
    distribution.record_censored(5.0, 0.0)
    assert distribution.median == before


def test_routes_of_one_service_are_learned_separately():
    latencies = latency.RouteLatencies()
    for _ in range(50):
        latencies.for_route("status", 1.0).record(0.001)
        latencies.for_route("search", 1.5).record(0.6)
    assert latencies.for_route("status", 1.0).median < 0.002
    assert latencies.for_route("search", 1.5).median > 0.4


def test_initial_median_follows_the_objective():
    latencies = latency.RouteLatencies()
    assert latencies.for_route("r", 0.9).median == pytest.approx(0.3)
    assert (
        latencies.for_route("none", float("inf")).median
        < latency.MAX_OBJECTIVE_SECONDS
    )


def test_learned_median_is_zero_before_enough_responses():
    """Requests of a new route must not be refused by the initial estimate."""
    distribution = latency.Distribution(0.5)
    assert distribution.learned_median == 0.0
    for _ in range(4):
        distribution.record(0.5)
    assert distribution.learned_median == pytest.approx(distribution.median)
    remote = latency.Distribution(0.5)
    for _ in range(4):
        remote.blend(0.2, 0.5, 0.2)
    assert remote.learned_median > 0.0


def test_number_of_routes_is_bounded():
    latencies = latency.RouteLatencies()
    for number in range(2 * latency.MAX_ROUTES):
        latencies.for_route(f"r{number}", 1.0)
    assert latencies.get("r0") is None
    assert len(latencies.medians_by_route()) == latency.MAX_ROUTES
