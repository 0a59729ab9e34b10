"""Simulated overload and hanging targets: queueing, refusal, selection."""

import random

import pytest

from forklift import health
from forklift import retries
from test import load_simulation

BOOK = load_simulation.RequestKind("book", 0.45, 1.5, 5.0)
REFUND = load_simulation.RequestKind("refund", 0.35, 0.8, 2.5, priority=0)
LOOKUP = load_simulation.RequestKind("lookup", 0.1, 0.4, 1.5, idempotent=True)


def never(number: int, now: float) -> bool:
    return False


def add_steady_load(
    simulation: load_simulation.Simulation,
    kind: load_simulation.RequestKind,
    rate: float,
    until: float,
):
    rng = random.Random(f"{kind.route} {rate}")
    now = rng.expovariate(rate)
    while now < until:
        simulation.add_request(now, kind)
        now += rng.expovariate(rate)


def share(outcomes: list[load_simulation.RequestOutcome], good) -> float:
    return sum(map(good, outcomes)) / len(outcomes)


def simulate_burst() -> list[load_simulation.RequestOutcome]:
    """150 % of the capacity of two targets for ten seconds."""
    simulation = load_simulation.Simulation(2, 5, never)
    add_steady_load(simulation, BOOK, 28.0, 10.0)
    simulation.run(20.0)
    return simulation.outcomes


def test_most_responses_during_a_burst_meet_the_objective():
    """Guards against serving late requests first, which makes all late."""
    outcomes = simulate_burst()
    served = [one for one in outcomes if one.served]
    assert share(served, lambda one: one.met_objective) > 0.75
    assert len(served) / len(outcomes) > 0.55


def test_requests_refused_during_a_burst_are_not_held_for_long():
    refused = [one for one in simulate_burst() if not one.served]
    longest = max(one.ended_at - one.arrived_at for one in refused)
    assert longest < BOOK.objective + 2 * load_simulation.TICK_SECONDS


def test_longer_queue_time_does_not_serve_more_requests_in_time(monkeypatch):
    """Longer queueing only holds refused requests for longer."""

    def held_and_timely() -> tuple[float, int]:
        outcomes = simulate_burst()
        unserved = [one for one in outcomes if not one.served]
        held = sum(one.ended_at - one.arrived_at for one in unserved)
        return held, sum(one.met_objective for one in outcomes)

    held, met_objective = held_and_timely()
    monkeypatch.setattr(retries, "MIN_QUEUE_SECONDS", 0.8 * BOOK.timeout)
    held_longer, timely_longer = held_and_timely()
    assert held_longer > 1.5 * held
    assert timely_longer < 1.05 * met_objective


def simulate_hanging_targets(
    until: float, arrivals: float
) -> load_simulation.Simulation:
    """Two of six targets hang three of four requests from 5 s on."""

    def bad(number: int, now: float) -> bool:
        return number < 2 and 5.0 <= now < until

    simulation = load_simulation.Simulation(6, 5, bad)
    add_steady_load(simulation, BOOK, 24.0, arrivals)
    add_steady_load(simulation, LOOKUP, 12.0, arrivals)
    return simulation


def test_hanging_targets_lose_few_requests():
    """Two targets hang three of four requests for four seconds."""

    simulation = simulate_hanging_targets(until=9.0, arrivals=12.0)
    simulation.run(20.0)
    during = [
        c
        for c in simulation.outcomes
        if c.kind is BOOK and 5 <= c.arrived_at < 9
    ]
    # Random selection would lose a quarter of the requests.
    assert share(during, lambda one: one.hung) < 0.12
    assert share(during, lambda one: one.served) > 0.75


def test_targets_that_hung_are_reinstated_after_recovery():
    simulation = simulate_hanging_targets(until=8.0, arrivals=14.0)
    simulation.run(14.0)
    for found in simulation.controllers:
        assert (
            found.health.unhealthy_probability(14.0) < health.EJECTION_THRESHOLD
        )


@pytest.mark.parametrize("kind", [BOOK, REFUND, LOOKUP])
def test_every_request_ends_by_its_deadline(kind):
    simulation = load_simulation.Simulation(
        3, 5, lambda number, now: number == 0
    )
    add_steady_load(simulation, kind, 60.0, 5.0)
    simulation.run(12.0)
    for one in simulation.outcomes:
        assert (
            one.arrived_at
            <= one.ended_at
            <= one.arrived_at + kind.timeout + load_simulation.TICK_SECONDS
        )
