"""What the runs of a route call, as learned from their calls."""

import asyncio

import msgspec
import pytest

from forklift import call_profile
from forklift import messages
from forklift import report
from forklift.shell import reports
from forklift.shell import telemetry
from test import calling_fleet
from test import helper

Reason = messages.Reason


def profile_of(runs: int, calls: int, rejected: int = 0, now: float = 100.0):
    profile = call_profile.CallProfile()
    for _ in range(runs):
        profile.record_run("outer", now)
    for number in range(calls):
        profile.record_call(
            "outer", "called", "inner", 0.2, number < rejected, now
        )
    return profile


def test_calls_seconds_and_rejections_are_learned_by_route():
    (called,) = profile_of(10, 14, 7).called_routes(100.0)
    assert called == call_profile.CalledRoute(
        "outer", "called", "inner", 1.4, 0.2, 0.5
    )


def test_called_routes_are_told_apart():
    profile = profile_of(4, 4)
    profile.record_call("outer", "other", "inner", 0.1, False, 100.0)
    profile.record_call("outer", "called", "elsewhere", 0.1, True, 100.0)
    found = {
        (called.called_route, called.service): called.calls_per_run
        for called in profile.called_routes(100.0)
    }
    assert found == {
        ("called", "inner"): 1.0,
        ("other", "inner"): 0.25,
        ("called", "elsewhere"): 0.25,
    }


def test_old_rejections_count_for_less():
    """Guards against a profile that blames a service that has room again."""
    profile = profile_of(10, 10, 10)
    later = 100.0 + 3 * call_profile.TIME_CONSTANT
    for _ in range(10):
        profile.record_run("outer", later)
        profile.record_call("outer", "called", "inner", 0.1, False, later)
    (called,) = profile.called_routes(later)
    assert called.rejected < 0.06
    assert called.calls_per_run == pytest.approx(1.0, abs=0.01)


def test_idle_profile_can_be_read_after_a_long_time():
    """Guards against a division by sums that have decayed to zero."""
    (called,) = profile_of(1, 1).called_routes(1e9)
    assert called.calls_per_run == called.seconds == called.rejected == 0.0


def test_profile_is_bounded_and_forgets_the_least_recently_used():
    profile = call_profile.CallProfile()
    for number in range(1000):
        profile.record_run("kept", 100.0)
        profile.record_call("kept", "called", "inner", 0.1, False, 100.0)
        profile.record_call("kept", f"r{number}", "inner", 0.1, False, 100.0)
        profile.record_run(f"r{number}", 100.0)
        profile.record_call(f"r{number}", "called", "s", 0.1, False, 100.0)
    found = profile.called_routes(100.0)
    routes = {called.route for called in found}
    assert len(routes) == call_profile.MAX_ROUTES
    assert {"kept", "r999"} <= routes
    kept = [called.called_route for called in found if called.route == "kept"]
    assert len(kept) == call_profile.MAX_CALLED_ROUTES
    assert "called" in kept


@pytest.mark.parametrize("reason", [None, *Reason])
@pytest.mark.parametrize("full", [False, True])
def test_only_rejections_for_lack_of_room_count(reason, full):
    """Targets that reject requests themselves don't do so less often if fewer
    runs start."""
    expected = reason is Reason.BUSY or (reason is Reason.NO_TARGET and full)
    assert call_profile.is_lack_of_room(reason, full) is expected


def test_calls_of_real_runs_are_reported():
    """Two runs make two calls each; the second pair finds no room."""

    async def work(fleet):
        process = fleet.proxies[0]
        assert (await fleet.send("/outer/", calls=2)).status == 200
        controller = fleet.proxies[1].local_targets.by_name["t1"].controller
        held = asyncio.create_task(fleet.send("/direct/", 1))
        await helper.until(lambda: controller.running == 1)
        # The calls have no time to wait for the held request.
        run = await fleet.send("/outer/", calls=2, timeout=0.5)
        assert run.status != 200
        fleet.targets[1].release.set()
        assert (await held).status == 200
        dump = reports.build_state_dump(process)
        # The two requests of callers match no run.
        assert dump.calls == {"matched": 4, "ambiguous": 0, "unmatched": 2}
        (called,) = dump.called_routes
        assert (called.route, called.called_route) == ("outer", "called")
        assert called.service == "inner"
        assert called.calls_per_run == pytest.approx(2.0, abs=0.1)
        explanation = reports.explain_target(process, "t0")
        assert explanation.called_routes == dump.called_routes
        encoded = msgspec.json.encode(explanation)
        assert (
            msgspec.json.decode(encoded, type=report.TargetExplanation)
            == explanation
        )
        text = telemetry.Telemetry(process).render().decode()
        assert 'forklift_calls_total{match="matched"' in text
        assert "forklift_called_calls_per_run{" in text

    scripts = [["calling", "calling"], ["well", "well", "hold"]]

    async def run():
        async with calling_fleet.Fleet(
            scripts, first=calling_fleet.record()
        ) as fleet:
            await work(fleet)

    helper.run(run())
