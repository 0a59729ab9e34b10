"""Slots that only calls get, so that services don't block each other."""

import asyncio
import re

import msgspec
import pytest

from forklift import admission
from forklift import call_reserve
from forklift import messages
from forklift import overload
from forklift import request_queue
from forklift import run_calls
from forklift import settings
from forklift.shell import reports
from forklift.shell import telemetry
from test import call_simulation
from test import calling_fleet
from test import helper

RECENT = call_reserve.RECENT_CALL_SECONDS
# Requests of callers a second to each service of a cycle.
CYCLE_RATE = 96.0


def controller_of(slots: int, share: float = 0.2) -> admission.Controller:
    controller = admission.Controller("t", "s", slots)
    controller.call_reserve = call_reserve.CallReserve(lambda: share)
    return controller


def ticket(number: int, is_call: bool = False, **changes) -> admission.Ticket:
    fields = {
        "id": (1, number),
        "idempotent": True,
        "priority": 1,
        "deadline": 1000.0,
        "required_health": admission.RequiredHealth.SOUND,
        "soft_deadline": 900.0,
        "is_call": is_call,
    }
    return admission.Ticket(**{**fields, **changes})


def call_once(controller: admission.Controller, now: float) -> None:
    """Runs one call from start to end."""
    call = ticket(999, is_call=True)
    assert isinstance(controller.admit(call, now), admission.Started)
    controller.finish(call, None, now)


def started(controller: admission.Controller, *tickets, now: float = 1.0):
    """Admits requests and returns which of them were started at once."""
    return [
        isinstance(controller.admit(one, now), admission.Started)
        for one in tickets
    ]


def test_callers_may_use_all_slots_until_a_call_arrives():
    controller = controller_of(3)
    assert started(controller, *map(ticket, range(4))) == [True] * 3 + [False]


def test_call_finds_a_slot_that_callers_did_not_get():
    controller = controller_of(3)
    call_once(controller, 1.0)
    callers = [ticket(number) for number in range(3)]
    assert started(controller, *callers) == [True, True, False]
    assert started(controller, ticket(7, is_call=True)) == [True]


def test_calls_may_use_all_slots():
    controller = controller_of(3)
    calls = [ticket(number, is_call=True) for number in range(4)]
    assert started(controller, *calls) == [True] * 3 + [False]


def test_queued_call_passes_a_caller_that_may_not_use_the_free_slot():
    """Guards against a more urgent caller in front that blocks all calls."""
    controller = controller_of(2)
    call_once(controller, 1.0)
    first, second = ticket(1, is_call=True), ticket(2)
    assert started(controller, first, second) == [True, True]
    caller, call = ticket(3, priority=0), ticket(4, is_call=True, priority=2)
    assert started(controller, caller, call) == [False, False]
    decisions = controller.finish(first, None, 1.1)
    assert [one.ticket for one in decisions] == [call]
    decisions = controller.finish(call, None, 1.2)
    assert decisions == []
    decisions = controller.finish(second, None, 1.3)
    assert [one.ticket for one in decisions] == [caller]


def test_request_whose_run_makes_no_calls_may_use_all_slots():
    """Guards against urgent requests that wait beside a free slot.

    They hold their slots without waiting for others.
    """
    controller = admission.Controller("t", "s", 2)
    controller.call_reserve = call_reserve.CallReserve(
        lambda: 0.2, lambda route: route == "calling"
    )
    call_once(controller, 1.0)
    calling = [ticket(number, route="calling") for number in (1, 2)]
    assert started(controller, *calling) == [True, False]
    assert started(controller, ticket(3, route="plain")) == [True]


def test_reserve_ends_when_no_more_calls_arrive():
    controller = controller_of(2)
    call_once(controller, 1.0)
    assert started(controller, ticket(1), ticket(2)) == [True, False]
    assert controller.tick(1.0 + RECENT) == []
    decisions = controller.tick(1.1 + RECENT)
    assert [one.ticket.id for one in decisions] == [(1, 2)]


@pytest.mark.parametrize(("slots", "share"), [(1, 0.5), (3, 0.0)])
def test_nothing_is_reserved_of_a_single_slot_or_without_a_share(slots, share):
    controller = controller_of(slots, share)
    call_once(controller, 1.0)
    assert all(started(controller, *map(ticket, range(slots))))


def test_expected_wait_of_callers_leaves_out_reserved_slots():
    """Guards against callers that queue for a slot that they don't get."""
    controller = controller_of(2)
    call_once(controller, 1.0)
    assert started(controller, ticket(1)) == [True]
    impatient = ticket(2, wait=False)
    refused = controller.admit(impatient, 1.0)
    assert refused.reason is messages.Reason.BUSY
    assert refused.retry_after > 0
    assert started(controller, ticket(3, is_call=True, wait=False)) == [True]


def test_request_of_an_older_peer_is_no_call():
    fields = {
        field.name: field.default
        for field in msgspec.structs.fields(messages.RequestStart)
    }
    assert list(fields)[-1] == "is_call"
    start = messages.RequestStart(
        *(1, 2, "s", "t", b"GET", b"/", (), "id", 1.0, True, 1, 0, b"", True),
        route="r",
        is_call=True,
    )
    encoded = messages.encode(start)
    assert messages.decode_frame(encoded) == start
    older = msgspec.msgpack.encode(msgspec.msgpack.decode(encoded)[:-1])
    assert messages.decode_frame(older).is_call is False


def _simulate_cycle(
    mode: overload.Mode, services: str, call_share: float = 0.2
) -> dict[str, float]:
    """Simulates services that each call the next one, far above capacity.

    Returns:
        The share of the served requests of callers, by service.
    """
    one = call_simulation
    called = {
        name: one.Kind(f"called-{name}", name, 0.12, 0.55, 1)
        for name in services
    }
    kinds = {
        name: one.Kind(
            f"run-{name}",
            name,
            0.4,
            4.0,
            1,
            calls=1,
            called=called[services[(number + 1) % len(services)]],
            call_probability=1.0,
        )
        for number, name in enumerate(services)
    }
    simulation = one.Simulation(
        dict.fromkeys(services, 4),
        3,
        mode,
        settings.Overload(call_share=call_share),
    )
    for kind in kinds.values():
        simulation.add_load(kind, CYCLE_RATE, 0.0, 20.0)
    simulation.run(26.0)
    return {
        name: one.share(
            simulation.of(kind, 5.0, 20.0), lambda outcome: outcome.served
        )
        for name, kind in kinds.items()
    }


@pytest.mark.parametrize("services", ["a", "ab", "abc"])
def test_services_that_call_each_other_in_a_cycle_are_not_blocked(
    services, monkeypatch
):
    """Guards against runs that hold all slots while their calls wait for one.

    Of three slots, callers get two for 0.52 s each; four targets thus end 15
    runs a second of the 96 that arrive. At half of this load the slots don't
    block each other without the reserve either.
    """
    required = 0.9 * 15 / CYCLE_RATE
    together = _simulate_cycle(overload.Mode.ON, services)
    assert min(together.values()) > required
    # Both also keep slots from being blocked: holding back runs, and refusing
    # requests early that could only start late.
    monkeypatch.setattr(
        run_calls.RunCalls, "held_back_for", lambda *arguments: 0.0
    )
    monkeypatch.setattr(request_queue, "START_DEVIATIONS", 0.0)
    shares = _simulate_cycle(overload.Mode.ON, services)
    assert min(shares.values()) > required
    blocked = _simulate_cycle(overload.Mode.OFF, services)
    assert min(blocked.values()) < required
    without = _simulate_cycle(overload.Mode.ON, services, call_share=0.0)
    assert min(without.values()) < required


class _TwoSlots(calling_fleet.Fleet):
    slots_by_target = (6, 2)


@pytest.mark.parametrize("mode", [overload.Mode.AUTO, overload.Mode.OFF])
def test_target_of_another_process_keeps_a_slot_for_calls(mode, monkeypatch):
    """Each service calls the other; the processes learn it from the requests.

    Callers that enter beside the second target then get one of its two slots,
    and both with overload control off.
    """
    monkeypatch.setattr(run_calls, "CALLING_ROUTES_SECONDS", 0.0)

    async def work(fleet):
        for process in fleet.proxies:
            calling_fleet.with_mode(process, mode)
        response = await fleet.send("/direct/", 1, called="/outer/plain")
        assert response.status == 200
        assert (await fleet.send("/outer/")).status == 200
        controller = fleet.proxies[1].local_targets.by_name["t1"].controller
        first = asyncio.create_task(fleet.send("/direct/", 1))
        await helper.until(lambda: controller.running == 1)
        second = asyncio.create_task(fleet.send("/direct/", 1))
        if mode is overload.Mode.OFF:
            await helper.until(lambda: controller.running == 2)
        else:
            # It is queued, or refused by what is known of its route.
            await helper.until(lambda: controller.waiting or second.done())
            assert controller.running == 1
            explanation = reports.explain_target(fleet.proxies[1], "t1")
            assert explanation.reserved == 1
            text = telemetry.Telemetry(fleet.proxies[1]).render().decode()
            assert re.search(r'forklift_targets_reserved{.*"t1"} 1.0', text)
            assert (await fleet.send("/outer/")).status == 200
        fleet.targets[1].release.set()
        assert (await first).status == 200
        await second

    async def run():
        scripts = [["well", "calling", "calling"], ["calling", "well", "hold"]]
        if mode is overload.Mode.OFF:
            scripts[1].append("hold")
        async with _TwoSlots(scripts, first=calling_fleet.record()) as fleet:
            await work(fleet)

    helper.run(run())
