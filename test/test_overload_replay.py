"""Replays the loads of docs/OVERLOAD.md on simulated time."""

import dataclasses
import random
import statistics

import pytest

from forklift import fair_queueing
from test import helper
from test import load_simulation

# The load on the page: twelve targets with 4 slots and 0.4 s of work run 120
# requests a second; 180 arrive.
TARGETS = 12
SLOTS = 4
CAPACITY = 120.0
FLOOD = "flood"
USUAL = ("a", "b", "c", "d")
RATE_BY_ORGANISATION = {FLOOD: 108.0, **dict.fromkeys(USUAL, 18.0)}
# Two organisations send too much, the others as usual; what the others leave is
# 66 requests a second.
WEIGHT_BY_ORGANISATION = {"heavy": 2.0, "light": 1.0}
WEIGHTED_RATES = {
    "heavy": 108.0,
    "light": 108.0,
    **dict.fromkeys(USUAL[:3], 18.0),
}
SECONDS = 20.0
# Requests until then are not counted, as the queues fill.
WARM_UP = 3.0
# Bound of the page.
MAX_REFUSAL_MEDIAN = 0.05


@dataclasses.dataclass(frozen=True)
class Served:
    """What became of requests, after the queues filled.

    Attributes:
        arrived: Number of requests.
        served: Number of those that were served.
        refusal_median: Median seconds until a refusal, of all kinds together.
    """

    arrived: int
    served: int
    refusal_median: float

    @property
    def share(self) -> float:
        return self.served / self.arrived

    @property
    def rate(self) -> float:
        return self.served / (SECONDS - WARM_UP)


def kind(organisation: str = "", **changes) -> load_simulation.RequestKind:
    fields = {
        "route": "r",
        "median": 0.4,
        "objective": 1.6,
        "timeout": 3.0,
        "idempotent": True,
        "organisation": organisation,
        "spread": 0.05,
        **changes,
    }
    return load_simulation.RequestKind(**fields)


def rules(enabled: bool, floor: float = 0.1) -> fair_queueing.Rules:
    return fair_queueing.Rules(
        lambda: enabled,
        lambda organisation: WEIGHT_BY_ORGANISATION.get(organisation, 1.0),
        lambda: floor,
    )


def replay(
    rate_by_kind: dict[load_simulation.RequestKind, float],
    given: fair_queueing.Rules,
) -> dict[load_simulation.RequestKind, Served]:
    """Replays a load on all targets."""
    simulation = load_simulation.Simulation(
        TARGETS, SLOTS, lambda number, now: False, given
    )
    for controller in simulation.controllers:
        for one in rate_by_kind:
            distribution = controller.latencies.for_route(one.route, 1.6)
            # The floor is measured in expected seconds of work, so they must be
            # known.
            helper.train_latency(distribution, one.median)
    rng = random.Random(5)
    for one, rate in rate_by_kind.items():
        now = rng.expovariate(rate)
        while now < SECONDS:
            simulation.add_request(now, one)
            now += rng.expovariate(rate)
    simulation.run(SECONDS + 5.0)
    counted = [
        outcome
        for outcome in simulation.outcomes
        if WARM_UP <= outcome.arrived_at < SECONDS
    ]
    refusal_median = statistics.median(
        outcome.ended_at - outcome.arrived_at
        for outcome in counted
        if not outcome.served
    )
    return {
        one: Served(
            sum(outcome.kind is one for outcome in counted),
            sum(outcome.kind is one and outcome.served for outcome in counted),
            refusal_median,
        )
        for one in rate_by_kind
    }


def replay_organisations(
    rate_by_organisation: dict[str, float], enabled: bool
) -> dict[str, Served]:
    found = replay(
        {kind(name): rate for name, rate in rate_by_organisation.items()},
        rules(enabled),
    )
    return {one.organisation: served for one, served in found.items()}


def test_flooding_organisation_does_not_take_the_room_of_others():
    """Guards against a queue ordered by arrival, as the page reports it."""
    found = replay_organisations(RATE_BY_ORGANISATION, enabled=True)
    assert min(found[name].share for name in USUAL) > 0.95
    left = CAPACITY - sum(found[name].rate for name in USUAL)
    assert found[FLOOD].rate > 0.95 * left
    assert found[FLOOD].refusal_median < MAX_REFUSAL_MEDIAN


def test_load_of_the_page_takes_room_of_others_without_fair_queueing():
    """The load must show the fault that fair queueing removes."""
    found = replay_organisations(RATE_BY_ORGANISATION, enabled=False)
    assert max(found[name].share for name in USUAL) < 0.8


def test_remaining_room_is_divided_by_weight():
    """Guards against shares that follow the rates of arrival."""
    found = replay_organisations(WEIGHTED_RATES, enabled=True)
    assert min(found[name].share for name in USUAL[:3]) > 0.95
    ratio = found["heavy"].rate / found["light"].rate
    assert ratio == pytest.approx(2.0, rel=0.1)
    assert found["light"].refusal_median < MAX_REFUSAL_MEDIAN


def test_less_urgent_requests_keep_their_floor():
    """Guards against less urgent routes that are never served."""
    urgent, download = kind(priority=0), kind(route="d", priority=2)
    rates = {urgent: 180.0, download: 36.0}
    without = replay(rates, rules(enabled=False))
    assert without[download].share < 0.1
    found = replay(rates, rules(enabled=True))
    started = found[urgent].rate + found[download].rate
    assert found[download].rate > 0.95 * 0.1 * started
    assert found[urgent].rate > 0.85 * started
