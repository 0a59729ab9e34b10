"""Every sound target gets its share of requests that must run once.

A target that gets none counts as unproven, and only a request could prove it.
Without idempotent requests it would stay idle for good.
"""

from collections.abc import Callable

import pytest

from forklift import messages
from test import floor_simulation
from test import level_simulation

# Seconds that are played, and from which on requests are counted.
SECONDS = 35.0
COUNTED_FROM = 20.0
# Part of an equal share that each sound target gets at least.
MIN_PART = 0.5
SEEDS = (1, 2, 3, 4)
COPIES = level_simulation.Route("copies", 0.2, 3.0, 1, 1.0, idempotent=False)
HISTORY = level_simulation.Route("history", 0.2, 0.8, 1, 1.0)
# Processes with a target each, and requests per second of all callers.
FLEETS = [(4, 8.0), (4, 24.0), (12, 24.0), (40, 160.0)]


class Simulation(floor_simulation.FloorSimulation):
    """Targets of which one may fail for some time, and the others never."""

    def __init__(
        self,
        targets: int,
        rate: float,
        seed: int,
        fails: Callable[[float], bool] = lambda now: False,
        routes: tuple[level_simulation.Route, ...] = (COPIES,),
    ):
        self._fails = fails
        load = floor_simulation.Load(
            routes, rate, targets, targets, slots=4, domains=1, failing=1.0
        )
        super().__init__(load, seed)

    def is_failing(self, target: str, now: float) -> bool:
        """Whether a target fails all that it starts."""
        return target == "t0" and self._fails(now)

    def parts(self) -> dict[str, float]:
        """Plays the load; returns what each target got of an equal share."""
        self.play(SECONDS)
        since = floor_simulation.LEAD_SECONDS + COUNTED_FROM
        counts = {
            name: sum(at > since for at in self.starts_by_target[name])
            for name in self.controller_by_target
        }
        mean = sum(counts.values()) / len(counts)
        return {name: count / mean for name, count in counts.items()}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("targets", "rate"), FLEETS)
def test_sound_targets_get_their_share(targets, rate, seed):
    parts = Simulation(targets, rate, seed).parts()
    assert min(parts.values()) >= MIN_PART


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("targets", "rate"), FLEETS)
def test_suspect_target_gets_none_and_the_others_their_share(
    targets, rate, seed
):
    simulation = Simulation(targets, rate, seed, lambda now: True)
    controller = simulation.controller_by_target["t0"]
    start = controller._start
    starts_while_suspect = []

    def record_start(ticket, now):
        if controller.state is messages.TargetState.SUSPECT:
            starts_while_suspect.append(now)
        return start(ticket, now)

    controller._start = record_start
    parts = simulation.parts()
    assert starts_while_suspect == []
    # It is reinstated now and then, and ejected once it has failed again.
    assert parts.pop("t0") < min(parts.values())
    assert min(parts.values()) >= MIN_PART


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("targets", "rate"), FLEETS)
def test_target_that_has_recovered_gets_its_share(targets, rate, seed):
    recovers_at = floor_simulation.LEAD_SECONDS + 10.0
    simulation = Simulation(targets, rate, seed, lambda now: now < recovers_at)
    assert min(simulation.parts().values()) >= MIN_PART


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("targets", "rate"), FLEETS)
def test_target_that_joins_gets_its_share(targets, rate, seed):
    simulation = Simulation(targets, rate, seed)
    info = simulation._infos[0]
    for process in simulation.process_by_name.values():
        process.balancer.remove_process(info.name)

    def join(now: float) -> None:
        for process in simulation.process_by_name.values():
            process.balancer.update_process(info)

    simulation.at(floor_simulation.LEAD_SECONDS + 10.0, join)
    assert min(simulation.parts().values()) >= MIN_PART


def test_few_idempotent_requests_prove_targets_before_others():
    """What must run once is not risked on a target that others can prove."""
    announced = []
    routes = (COPIES, HISTORY)
    simulation = Simulation(4, 24.0, 1, routes=routes)
    for process in simulation.process_by_name.values():
        balancer = process.balancer
        record = balancer.record_work_request

        def note(target, load, now, any_kind=False, record=record):
            announced.append((now, any_kind))
            record(target, load, now, any_kind)

        balancer.record_work_request = note
    simulation.parts()
    assert announced
    assert not any(any_kind for _, any_kind in announced)
