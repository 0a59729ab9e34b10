"""Targets that restart under the same name."""

import asyncio
import dataclasses
import random

import pytest

from forklift import header_fields
from forklift import health
from forklift import heartbeats
from forklift import load_balancer
from forklift import membership
from forklift import messages
from forklift import policy
from forklift.shell import target_registry
from test import helper
from test import processes

State = messages.TargetState
OLD = heartbeats.TargetIncarnation("t0", 100)
NEW = heartbeats.TargetIncarnation("t0", 200)


def announce(
    fleet: processes.Fleet,
    incarnation: heartbeats.TargetIncarnation,
    **changes,
):
    """Sends a heartbeat of the target of the first process."""
    fleet.announce(fleet.proxies[0], 0, incarnation=incarnation, **changes)


async def wait_for_targets(fleet: processes.Fleet, *names: str) -> None:
    """Waits until all processes know exactly these targets."""
    await helper.until(
        lambda: all(
            {view.name for view in one.balancer.views("s")} == set(names)
            for one in fleet.proxies
        )
    )


def record_of_kind(kind: str) -> dict:
    return processes.record(1, r=processes.route(kind, **{"timeout-ms": 60000}))


def test_restarted_target_gets_requests_though_sequence_restarts():
    """Sequence numbers that start again are not taken for stale heartbeats."""

    async def work(fleet):
        announce(fleet, OLD, sequence=900)
        await wait_for_targets(fleet, OLD.name)
        announce(fleet, NEW, sequence=1)
        await wait_for_targets(fleet, NEW.name)
        assert (await fleet.ask()).status == 200
        (received,) = fleet.targets[0].received
        # The target expects its own name, not that of the incarnation.
        assert received.field(header_fields.DEFAULT.expected) == b"t0"

    processes.play(work, [[]])


def test_ejection_load_and_cold_start_belong_to_the_incarnation():
    async def work(fleet):
        one = fleet.proxies[0]
        announce(fleet, OLD)
        before = one.local_targets.by_name[OLD.name]
        now = one.clock.monotonic()
        for number in range(4):
            before.controller.health.record_start(
                number, before.controller.latencies.for_route("r", 1.0), now
            )
            before.controller.health.record_end(
                number, health.Signal.BROKEN, now
            )
        assert before.controller.health.ejected
        announce(fleet, NEW, cold=30.0)
        after = one.local_targets.by_name[NEW.name].controller
        assert not after.health.ejected
        assert (after.running, after.waiting) == (0, 0)
        assert after.cold_until > one.clock.monotonic()
        assert OLD.name not in one.local_targets.by_name

    processes.play(work, [[]])


@pytest.mark.parametrize(
    ("kind", "status", "runs"),
    [("non_idempotent", 502, 1), ("idempotent", 200, 2)],
)
def test_request_at_an_ended_incarnation_fails_or_retries_at_once(
    kind, status, runs
):
    """Open connections to the earlier incarnation never answer."""

    async def work(fleet):
        announce(fleet, OLD)
        await wait_for_targets(fleet, OLD.name)
        fleet.targets[0].script.append("hold")
        asked = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        announce(fleet, NEW)
        assert (await asked).status == status
        assert fleet.runs() == runs

    processes.play(work, [[]], first=record_of_kind(kind))


def test_queued_request_moves_to_the_new_incarnation():
    async def work(fleet):
        one = fleet.proxies[0]
        announce(fleet, OLD)
        await wait_for_targets(fleet, OLD.name)
        one.local_targets.by_name[OLD.name].controller.slots = 1
        fleet.targets[0].script.append("hold")
        pending = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        waits = asyncio.create_task(fleet.ask())
        controller = one.local_targets.by_name[OLD.name].controller
        await helper.until(lambda: controller.waiting == 1)
        announce(fleet, NEW)
        assert (await pending).status == 502
        assert (await waits).status == 200
        assert fleet.runs() == 2

    processes.play(work, [[]], first=record_of_kind("non_idempotent"))


def test_late_heartbeat_does_not_affect_the_new_incarnation():
    async def work(fleet):
        one = fleet.proxies[0]
        announce(fleet, OLD)
        announce(fleet, NEW)
        local_target = one.local_targets.by_name[NEW.name]
        announce(fleet, OLD, sequence=99, leaving=True)
        one.target_registry.record_leave(OLD)
        one.target_registry.end_incarnation(OLD.name)
        assert one.local_targets.by_name == {NEW.name: local_target}
        assert local_target.controller.state is State.IN_SERVICE
        assert (await fleet.ask()).status == 200

    processes.play(work, [[]])


def test_heartbeat_names_a_restarted_target_found_by_health_check():
    """The target and its process restart at the same time.

    Until the first heartbeat the process does not know the incarnation, and
    other processes may still use the name without it.
    """

    async def work(fleet):
        one = fleet.proxies[0]
        own = dataclasses.replace(one.settings.platform, service="s")
        one.target_registry.settings = dataclasses.replace(
            one.settings, platform=own
        )
        one.local_targets.by_name.clear()
        one.target_registry._incarnations = heartbeats.IncarnationTracker(5.0)
        one.target_registry.add_discovered(
            target_registry.health_probe.ProbeResult(True, "t0", slots=3)
        )
        local_target = one.local_targets.by_name["t0"]
        local_target.pool.address = fleet.targets[0].address
        fleet.targets[0].script.append("hold")
        asked = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        announce(fleet, NEW, sequence=40)
        assert one.local_targets.by_name == {NEW.name: local_target}
        # The running request continues in the same incarnation.
        assert local_target.controller.running == 1
        fleet.targets[0].release.set()
        assert (await asked).status == 200
        # A request from a process that does not know the full name yet.
        for view in one.balancer.views("s"):
            view.name = "t0"
        assert (await fleet.ask()).status == 200

    processes.play(work, [[]], first=record_of_kind("non_idempotent"))


def test_target_is_found_by_its_own_name():
    async def work(fleet):
        one = fleet.proxies[0]
        announce(fleet, NEW)
        assert one.target_registry.find("t0") == NEW.name
        assert one.target_registry.find(NEW.name) == NEW.name
        assert one.target_registry.find(OLD.name) is None

    processes.play(work, [[]])


def test_target_of_an_unknown_service_is_rejected():
    """Heartbeats for an unknown service do not block valid ones."""

    async def work(fleet):
        one = fleet.proxies[0]
        # Without a configuration the service cannot be checked.
        assert not one.active_catalog.loaded
        announce(fleet, OLD, service="unheard-of", sequence=7)
        # It is held back until the process knows that it has not left.
        await helper.until(lambda: OLD.name in one.local_targets.by_name)
        assert not one.active_catalog.loaded
        fleet.store.configure(processes.record(1))
        await helper.until(lambda: one.active_catalog.loaded)
        assert OLD.name not in one.local_targets.by_name
        announce(fleet, NEW, service="unheard-of", sequence=2**50)
        assert NEW.name not in one.local_targets.by_name
        announce(fleet, NEW, sequence=1)
        assert NEW.name in one.local_targets.by_name

    processes.play(work, [[]], first={})


# Other processes.


def info(version: int, *names: str) -> messages.ProcessInfo:
    return helper.info("p", *names, version=version)


@pytest.mark.parametrize("order", ["in turn", "the later one first"])
def test_processes_agree_on_the_incarnation_in_any_order(order):
    directory = membership.Directory(helper.info("own"), 256)
    updates = [info(1, OLD.name), info(2, NEW.name)]
    if order == "the later one first":
        updates.reverse()
    for one in updates:
        directory.apply(messages.Rumor(messages.Liveness.ALIVE, one), 0.0)
    found = _balancer()
    for _, known in directory.take_changes():
        found.update_process(known)
    assert [view.name for view in found.views("s")] == [NEW.name]


def test_late_rejection_by_an_ended_incarnation_is_ignored():
    balancer = _balancer()
    balancer.update_process(info(1, OLD.name))
    requirements = load_balancer.Requirements("s", idempotent=True)
    selection = balancer.select(requirements, frozenset(), 0.0)
    balancer.update_process(info(2, NEW.name))
    late = messages.Load(
        4, 9, 4, State.SUSPECT, 90, 0.0, unhealthy_probability=0.9
    )
    balancer.finish_attempt("s", selection, late, 1.0)
    balancer.update_load(OLD.name, late, 1.0)
    (view,) = balancer.views("s")
    assert (view.name, view.in_flight) == (NEW.name, 0)
    assert view.state(1.0) is State.IN_SERVICE
    assert view.load(1.0) == 0


def _balancer() -> load_balancer.LoadBalancer:
    return load_balancer.LoadBalancer(
        "own",
        "d",
        random.Random(1),
        policy.BUILT_IN.service_policy,
        load_balancer.RetryBudgetLimits(),
    )
