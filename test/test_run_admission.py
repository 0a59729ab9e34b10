"""Which runs are held back as the calls of earlier ones found no room."""

import asyncio
import itertools
import random

import pytest

from forklift import overload
from forklift import run_admission
from forklift.shell import reports
from forklift.shell import telemetry
from test import calling_fleet
from test import helper

FLOOR = 0.1


class Loop:
    """Runs of one route that each make calls, and room for some of the calls.

    Args:
        calls: Number of calls in a run that makes any.
        calling: Share of the runs that make calls.
        seed: Seed of all random numbers.
    """

    def __init__(self, calls: int = 2, calling: float = 1.0, seed: int = 3):
        self.admission = run_admission.RunAdmission()
        self.now = 0.0
        self._calls = calls
        self._calling = calling
        self._rng = random.Random(seed)

    def run(self, seconds: float, rate: float, room: float) -> float:
        """Requests runs, with room for a number of calls per second.

        Returns:
            The share of the runs that started in the last half.
        """
        tokens = 0.0
        started = []
        for _ in range(int(seconds * rate)):
            self.now += 1 / rate
            tokens = min(5.0, tokens + room / rate)
            draw = self._rng.random()
            held = self.admission.held_back_for("r", FLOOR, draw, self.now)
            started.append(not held)
            if held:
                continue
            calls = self._calls if self._rng.random() < self._calling else 0
            served = min(calls, int(tokens))
            tokens -= served
            self.admission.record_end("r", calls, calls - served, self.now)
        half = started[len(started) // 2 :]
        return sum(half) / len(half)

    def share(self) -> float:
        held = self.admission.held_routes(FLOOR, self.now)
        return held[0].share if held else 1.0


def test_nothing_is_held_back_while_calls_find_room():
    assert Loop().run(20.0, 50.0, 200.0) == 1.0


def test_runs_are_started_in_proportion_to_the_room_for_their_calls():
    """With room for the calls of 20 of 50 runs, HEADROOM times as many start.

    Guards against runs that fail because too many of them start.
    """
    share = Loop().run(40.0, 50.0, 40.0)
    assert 0.4 < share < run_admission.HEADROOM * 0.4 * 1.1


def test_a_part_of_the_runs_is_always_started():
    loop = Loop()
    share = loop.run(40.0, 50.0, 0.0)
    assert share == pytest.approx(FLOOR, abs=0.05)


def test_share_returns_once_there_is_room():
    """Guards against harm by information that is 5 s old."""
    loop = Loop()
    loop.run(40.0, 50.0, 10.0)
    assert loop.share() < 0.3
    loop.run(5.0, 50.0, 200.0)
    assert loop.share() == 1.0


def test_share_changes_smoothly():
    """Guards against a share that jumps between none and all."""
    loop = Loop()
    loop.run(10.0, 50.0, 200.0)
    shares = [loop.share()]
    for _ in range(40):
        loop.run(0.1, 50.0, 20.0)
        shares.append(loop.share())
    steps = [abs(b - a) for a, b in itertools.pairwise(shares)]
    assert max(steps) < 0.2
    assert shares[-1] < 0.8


def test_runs_are_not_held_back_if_more_are_served_without():
    """Three runs in ten make no calls, and there is little room for calls.

    Guards against refusals of runs that would have been served.
    """
    assert Loop(calling=0.7).run(40.0, 50.0, 5.0) > 0.9
    assert Loop(calling=1.0).run(40.0, 50.0, 5.0) < 0.3


def test_routes_are_independent_and_bounded():
    loop = Loop()
    loop.run(40.0, 50.0, 0.0)
    now = loop.now
    assert loop.admission.held_back_for("r", FLOOR, 0.99, now) > 0
    assert loop.admission.held_back_for("other", FLOOR, 0.99, now) == 0
    for number in range(1000):
        loop.admission.record_end(f"r{number}", 1, 1, now)
    assert len(loop.admission._by_route) == run_admission.MAX_ROUTES


def test_retry_after_is_the_time_until_all_runs_start():
    loop = Loop()
    loop.run(40.0, 50.0, 20.0)
    share = loop.share()
    wait = loop.admission.held_back_for("r", FLOOR, 0.999, loop.now)
    assert 0 < wait <= run_admission.MAX_RETRY_AFTER
    # It is as long as the share needs to grow to 1 at most.
    growth = (run_admission.HEADROOM - 1) / run_admission.TIME_CONSTANT
    assert share * 2.718281828 ** (growth * wait) == pytest.approx(1, rel=0.05)


def test_long_idle_route_starts_everything():
    """Guards against sums that decay to zero."""
    loop = Loop()
    loop.run(40.0, 50.0, 0.0)
    assert loop.admission.held_back_for("r", FLOOR, 0.999, loop.now + 1e5) == 0


@pytest.mark.parametrize("mode", [overload.Mode.AUTO, overload.Mode.OFF])
def test_run_is_refused_as_not_run_after_calls_found_no_room(mode):
    """The process beside the target refuses it at once, with Retry-After."""

    async def work(fleet):
        process = fleet.proxies[0]
        for one in fleet.proxies:
            calling_fleet.with_mode(one, mode)
        controller = fleet.proxies[1].local_targets.by_name["t1"].controller
        assert (await fleet.send("/outer/", calls=2)).status == 200
        held = asyncio.create_task(fleet.send("/direct/", 1))
        await helper.until(lambda: controller.running == 1)
        # The calls have no time to wait for the held request.
        await fleet.send("/outer/", calls=2, timeout=0.5)
        received = len(fleet.arrivals(0))
        process.local_targets._draw = lambda: 0.999
        response = await fleet.send("/outer/", calls=2, timeout=0.5)
        if mode is overload.Mode.OFF:
            assert len(fleet.arrivals(0)) == received + 1
        else:
            assert len(fleet.arrivals(0)) == received
            assert response.status == 503
            assert b'"reason":"busy"' in response.body.replace(b" ", b"")
            assert float(dict(response.headers)[b"retry-after"]) > 0
            dump = reports.build_state_dump(process)
            (route,) = dump.held_routes
            assert (route.route, route.held > 0) == ("outer", True)
            # The share rises with the time between the two reads of the dump.
            (explained,) = dump.beside[0].held_routes
            assert (explained.route, explained.held) == (
                route.route,
                route.held,
            )
            assert 0 < explained.share < 1
            assert 0 < route.share < 1
            text = telemetry.Telemetry(process).render().decode()
            assert "forklift_runs_held_total{" in text
        fleet.targets[1].release.set()
        assert (await held).status == 200

    async def run():
        scripts = [["calling-anyway"] * 3, ["well", "well", "hold"]]
        async with calling_fleet.Fleet(
            scripts, first=calling_fleet.record()
        ) as fleet:
            await work(fleet)

    helper.run(run())
