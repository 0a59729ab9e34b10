"""The experiments: same seed, same bytes; promises hold inside."""

import msgspec
import pytest

from forklift_lab.measure import baselines
from forklift_lab.measure import deciding
from forklift_lab.measure import scenarios
from test import helper  # noqa: F401  (promises raise)

# Waits of the protocols that helper shortened don't matter here.
FAULTS = [
    "fails all, answers probes",
    "5 times slower",
    "floor owner paused 5 s, a target fails",
    "the other way cut",
    "a failure domain lost",
    "all targets 3 times slower",
]


@pytest.mark.parametrize("fault", FAULTS)
def test_promises_hold_under_faults(fault):
    row = deciding.run_one("teranga", "forklift", fault, 3, end=26.0)
    assert row.broken == 0
    assert row.amplification <= 1.1
    assert row.in_time > 0.8 * row.asked


def test_same_seed_same_bytes():
    rows = [
        deciding.run_one("kyushu", "forklift", "two fail at once", 5, end=18.0)
        for _ in range(2)
    ]
    assert msgspec.json.encode(rows[0]) == msgspec.json.encode(rows[1])


@pytest.mark.parametrize("name", sorted(baselines.process_by_strategy))
def test_every_strategy_runs(name):
    row = deciding.run_one("teranga", name, "refuses", 1, end=16.0)
    assert row.asked > 0


def test_every_scenario_names_known_targets():
    found = scenarios.deployments()["kyushu"]
    assert sum(found.targets_by_service.values()) == 33
    assert len(scenarios.scenario_by_name) > 25
