"""Matches calls to runs, and what a matched call takes from its run."""

import asyncio
import dataclasses
import random

import pytest

from forklift import admission
from forklift import overload
from forklift import run_calls
from forklift.shell import exchange
from test import calling_fleet
from test import helper

# A deadline in monotonic seconds.
DEADLINE = 1000.0


def ticket(
    number: int = 1,
    deadline: float = DEADLINE,
    priority: int = 1,
    soft_deadline: float = 900.0,
    route: str = "r",
) -> admission.Ticket:
    return admission.Ticket(
        (1, number),
        True,
        priority,
        deadline,
        soft_deadline=soft_deadline,
        route=route,
    )


def calls_of(*tickets: admission.Ticket) -> run_calls.RunCalls:
    calls = run_calls.RunCalls(lambda: True)
    for one in tickets:
        calls.start_run(one, 0.0)
    return calls


def matched_run(
    calls: run_calls.RunCalls, named_deadline: float
) -> tuple[int, int] | None:
    call = calls.match("", named_deadline, 950.0)
    return None if call is None else call.run.id


@pytest.mark.parametrize("late", [-0.002, 0.0, 0.03, 0.06])
def test_call_matches_despite_rounding_and_transport(late):
    """Guards against calls of a throttled instance that keep their route's."""
    assert matched_run(calls_of(ticket()), DEADLINE + late) == (1, 1)


@pytest.mark.parametrize("late", [-0.5, -0.004, 0.062, 0.5])
def test_other_deadline_does_not_match(late):
    calls = calls_of(ticket())
    assert matched_run(calls, DEADLINE + late) is None
    assert (calls.matched, calls.unmatched) == (0, 1)


def test_request_with_an_organisation_or_without_a_timeout_is_no_call():
    """Calls carry no key, and always the time that their run has left."""
    calls = calls_of(ticket())
    assert calls.match("fund", DEADLINE, 950.0) is None
    assert calls.match("", None, 950.0) is None
    assert calls.unmatched == 0


def test_matched_call_takes_the_priority_of_its_run_and_the_earlier_objective():
    calls = calls_of(ticket(priority=2, soft_deadline=900.0))
    early = calls.match("", DEADLINE, 950.0)
    assert (early.priority, early.soft_deadline) == (2, 900.0)
    late = calls.match("", DEADLINE, 850.0)
    assert (late.priority, late.soft_deadline) == (2, 850.0)


def test_nearest_run_is_chosen():
    calls = calls_of(
        ticket(1, DEADLINE, priority=0), ticket(2, DEADLINE + 0.03, priority=2)
    )
    assert matched_run(calls, DEADLINE + 0.031) == (1, 2)
    assert matched_run(calls, DEADLINE + 0.001) == (1, 1)
    assert calls.ambiguous == 0


@pytest.mark.parametrize("first", [0, 2])
def test_ambiguous_call_takes_the_more_urgent_run(first):
    calls = calls_of(
        ticket(1, DEADLINE, priority=first),
        ticket(2, DEADLINE + 0.004, priority=2 - first),
    )
    for late in (0.002, 0.004, 0.02):
        assert calls.match("", DEADLINE + late, 950.0).priority == 0
    assert (calls.matched, calls.ambiguous) == (3, 3)


def test_ended_run_matches_nothing():
    """Guards against runs that are kept after their end."""
    calls = calls_of(ticket())
    calls.end_run(ticket(), 1.0)
    calls.end_run(ticket(), 1.0)
    assert matched_run(calls, DEADLINE) is None
    assert calls.running == 0


def test_nothing_matches_while_overload_control_is_off():
    enabled = [False]
    calls = run_calls.RunCalls(lambda: enabled[0])
    calls.start_run(ticket(1), 0.0)
    assert calls.running == 0
    enabled[0] = True
    calls.start_run(ticket(2), 0.0)
    assert matched_run(calls, DEADLINE) == (1, 2)
    enabled[0] = False
    assert calls.match("", DEADLINE, 950.0) is None
    calls.end_run(ticket(2), 1.0)
    assert calls.running == 0


def test_callers_request_rarely_matches_by_chance_while_requests_queue():
    """A caller that names the same timeout as the runs gains next to nothing.

    Its deadline is near that of a run only if the run arrived at most 63 ms
    earlier. While requests wait for longer than that, no such run has started.
    """
    rng = random.Random(5)
    share_by_wait = {}
    for wait in (0.0, 0.5):
        calls = run_calls.RunCalls(lambda: True)
        now, running = 0.0, []
        for number in range(4000):
            now += rng.expovariate(10.0)
            for end, one in list(running):
                if end < now:
                    calls.end_run(one, now)
                    running.remove((end, one))
            # The run that starts now arrived `wait` seconds ago.
            one = ticket(number, now - wait + 3.0)
            calls.start_run(one, 0.0)
            running.append((now + 0.6, one))
            calls.match("", now + rng.uniform(0.0, 0.1) + 3.0, 950.0)
        share_by_wait[wait] = calls.matched / 4000
    # 1 - exp(-rate * tolerance), and runs that start right before the request.
    assert 0.3 < share_by_wait[0.0] < 0.8
    assert share_by_wait[0.5] == 0.0


def play(work, scripts, **changes):
    async def run():
        async with calling_fleet.Fleet(scripts, **changes) as fleet:
            await work(fleet)

    helper.run(run())


async def _order_at_called_target(fleet) -> list[str]:
    """Fills the called target, queues two requests and lets them start."""
    held = asyncio.create_task(fleet.send("/direct/held", 1))
    called = fleet.proxies[1].local_targets.by_name["t1"].controller
    await helper.until(lambda: called.running == 1)
    direct = asyncio.create_task(fleet.send("/direct/", 1, timeout=40.0))
    await helper.until(lambda: called.waiting == 1)
    outer = asyncio.create_task(fleet.send("/outer/", 0))
    await helper.until(lambda: called.waiting == 2)
    fleet.targets[1].release.set()
    for response in await asyncio.gather(held, direct, outer):
        assert response.status == 200
    return fleet.arrivals(1)


def test_call_of_an_urgent_run_goes_first_at_another_process():
    """Guards against urgent runs that wait for less urgent requests.

    The run has priority 0, the route that it calls 2, the queued request 1.
    """

    async def work(fleet):
        order = await _order_at_called_target(fleet)
        assert order == ["/direct/held", "/called/", "/direct/"]
        assert fleet.proxies[0].run_calls.matched == 1
        assert fleet.proxies[0].run_calls.running == 0

    play(work, [["calling"], ["hold"]], first=calling_fleet.record())


def test_call_matches_although_its_route_has_a_shorter_timeout():
    """Guards against deadlines that are compared after they are limited.

    The run has 30 s left, the called route a timeout of 3 s.
    """

    async def work(fleet):
        assert (await fleet.send("/outer/")).status == 200
        assert fleet.proxies[0].run_calls.matched == 1

    first = calling_fleet.record()
    first["routes"]["called"]["timeout-ms"] = 3000
    play(work, [["calling"], []], first=first)


def test_retries_of_a_call_are_charged_by_the_objective_of_its_route():
    """The budget derives from it which services a retried call may call.

    Guards against calls of late runs whose own calls would not be charged.
    """
    call = calls_of(ticket(soft_deadline=900.0)).match("", DEADLINE, 950.0)
    request = exchange.Request(
        *("id", 1, "s", "r", b"GET", b"/", (), 0, exchange.Body(), 990.0, True),
        soft_deadline=call.soft_deadline,
        call=call,
    )
    assert request.soft_deadline == 900.0
    assert request.route_soft_deadline == 950.0
    direct = dataclasses.replace(request, call=None)
    assert direct.route_soft_deadline == 900.0


def test_call_keeps_its_place_while_overload_control_is_off():
    async def work(fleet):
        for process in fleet.proxies:
            calling_fleet.with_mode(process, overload.Mode.OFF)
        order = await _order_at_called_target(fleet)
        assert order == ["/direct/held", "/direct/", "/called/"]
        assert fleet.proxies[0].run_calls.matched == 0

    play(work, [["calling"], ["hold"]], first=calling_fleet.record())


def test_call_of_a_run_from_before_a_restart_is_handled_as_before():
    """The process beside the target restarts while its run is in progress.

    The new process knows no run, so the call keeps the priority of its route,
    and is answered.
    """

    async def work(fleet):
        held = asyncio.create_task(fleet.send("/direct/held", 1))
        called = fleet.proxies[1].local_targets.by_name["t1"].controller
        await helper.until(lambda: called.running == 1)
        outer = asyncio.create_task(fleet.send("/outer/", 0, timeout=40.0))
        await helper.until(lambda: fleet.arrivals(0) == ["/outer/"])
        fresh = await fleet.restart(0)
        outer.cancel()
        await helper.until(lambda: fresh.balancer.views("inner"))
        direct = asyncio.create_task(fleet.send("/direct/", 1, timeout=40.0))
        await helper.until(lambda: called.waiting == 1)
        fleet.targets[0].release.set()
        await helper.until(lambda: called.waiting == 2)
        assert (fresh.run_calls.matched, fresh.run_calls.unmatched) == (0, 1)
        fleet.targets[1].release.set()
        for response in await asyncio.gather(held, direct):
            assert response.status == 200
        await helper.until(lambda: len(fleet.arrivals(1)) == 3)
        assert fleet.arrivals(1) == ["/direct/held", "/direct/", "/called/"]

    scripts = [["calling-once-released"], ["hold"]]
    play(work, scripts, first=calling_fleet.record())
