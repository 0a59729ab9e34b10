"""Sound targets stay in use while others fail, with many processes."""

import dataclasses

import pytest

from test import floor_simulation
from test import level_simulation

SECONDS = 14.0
# Few idempotent requests: one in six.
FEW_IDEMPOTENT = floor_simulation.Load(
    (
        level_simulation.Route("book", 0.78, 3.0, 1, 0.83, idempotent=False),
        level_simulation.Route("fare", 0.2, 0.8, 1, 0.17),
    ),
    rate=97.0,
    processes=78,
    targets=40,
    slots=10,
)
# An ejected target gets no trial requests.
NO_IDEMPOTENT = dataclasses.replace(
    FEW_IDEMPOTENT,
    routes=(
        level_simulation.Route("book", 0.78, 3.0, 1, 1.0, idempotent=False),
    ),
)
# Few targets at many processes, each of which sends one request a second.
FEW_TARGETS = floor_simulation.Load(
    (
        level_simulation.Route("post", 0.29, 1.2, 0, 0.46, idempotent=False),
        level_simulation.Route("look", 0.15, 0.6, 1, 0.54),
    ),
    rate=80.0,
    processes=79,
    targets=19,
    slots=8,
    failing=0.85,
)
SMALL_FLEET = floor_simulation.Load(
    (
        level_simulation.Route("book", 0.4, 1.5, 1, 0.82, idempotent=False),
        level_simulation.Route("fare", 0.1, 0.4, 1, 0.18),
    ),
    rate=58.0,
    processes=30,
    targets=12,
    slots=5,
)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize(
    "load",
    [FEW_IDEMPOTENT, NO_IDEMPOTENT, FEW_TARGETS, SMALL_FLEET],
    ids=["few-idempotent", "no-idempotent", "few-targets", "small-fleet"],
)
def test_sound_targets_get_requests_while_others_fail(load, seed):
    """Guards against a fleet that uses only the targets that it knows well."""
    simulation = floor_simulation.FloorSimulation(load, seed)
    assert simulation.play(SECONDS) == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "changes", [{"lost": 0.5}, {"delay": 0.5}], ids=["lost", "delayed"]
)
def test_floor_holds_if_announcements_are_disturbed(changes, seed):
    """Guards against a floor that rests on messages between processes."""
    load = dataclasses.replace(NO_IDEMPOTENT, **changes)
    simulation = floor_simulation.FloorSimulation(load, seed)
    assert simulation.play(SECONDS) == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "load",
    [FEW_IDEMPOTENT, FEW_TARGETS],
    ids=["few-idempotent", "few-targets"],
)
def test_floor_holds_if_two_thirds_of_the_targets_are_disturbed(load, seed):
    """With a few sound targets, a single idle one breaks the floor."""
    load = dataclasses.replace(load, disturbed=2 / 3)
    simulation = floor_simulation.FloorSimulation(load, seed)
    assert simulation.play(SECONDS) == []


def test_simulated_load_has_windows_in_which_the_floor_counts():
    """Else the test above would show nothing."""
    simulation = floor_simulation.FloorSimulation(FEW_IDEMPOTENT, 1)
    simulation.play(SECONDS)
    windows = simulation.windows(SECONDS)
    counted = [window for window in windows if window.counts]
    assert len(counted) > len(windows) / 2
