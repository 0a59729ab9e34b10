"""Tests of complete processes: requests, targets and configuration."""

import asyncio
import dataclasses
import json
import math
import random

import pytest

from forklift import header_fields
from forklift import heartbeats
from forklift import idle_phases
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import retries
from forklift import settings
from forklift.platform import store as adapter
from forklift.shell import client
from forklift.shell import forwarded_request
from forklift.shell import health_probe
from forklift.shell import hedging
from forklift.shell import idle_targets
from forklift.shell import proxy
from forklift.shell import server
from forklift.shell import shutdown
from forklift.shell import store_follower
from forklift_lab import scripted
from forklift_lab import store as standin
from test import helper
from test import processes

State = messages.TargetState


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    """Shortens delays for the tests."""
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.05)
    monkeypatch.setattr(shutdown, "LAME_DUCK_SECONDS", 0.2)


def test_request_is_served_by_any_process():
    async def work(fleet):
        for number in range(3):
            response = await fleet.ask(number)
            assert (response.status, response.body) == (200, scripted.BODY)
        origins = {
            received.field(header_fields.DEFAULT.origin)
            for target in fleet.targets
            for received in target.received
        }
        assert origins == {b"beside-0", b"beside-1", b"beside-2"}

    processes.play(work, [[], [], []])


@pytest.mark.parametrize("fault", ["reset", "error", "garbage", "refuse"])
def test_idempotent_request_is_retried_at_another_target(fault):
    async def work(fleet):
        response = await fleet.ask()
        assert response.status == 200
        assert fleet.runs() == 2

    processes.play(
        work, [[fault]] + [[]] if fault == "refuse" else [[fault], []]
    )


@pytest.mark.parametrize("fault", ["reset", "garbage", "close"])
def test_non_idempotent_request_runs_once_and_ends_unknown(fault):
    async def work(fleet):
        response = await fleet.ask()
        assert response.status == 502
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[fault], [fault]], first=first)


def test_non_idempotent_request_is_retried_after_a_rejection():
    async def work(fleet):
        share_script(fleet, "refuse")
        response = await fleet.ask()
        assert response.status == 200
        assert fleet.runs() == 2

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[], []], first=first)


def test_draining_target_gets_no_new_requests():
    async def work(fleet):
        fleet.announce(fleet.proxies[0], 0, leaving=True, sequence=2)
        # An older heartbeat that arrives late is ignored.
        fleet.announce(fleet.proxies[0], 0, leaving=False, sequence=1)
        for _ in range(5):
            assert (await fleet.ask(0)).status == 200
            assert (await fleet.ask(1)).status == 200
        assert fleet.targets[0].received == []

    processes.play(work, [[], []])


def test_target_that_left_is_not_added_again():
    async def work(fleet):
        fleet.proxies[0].target_registry.record_leave(
            heartbeats.TargetIncarnation("t0")
        )
        fleet.announce(fleet.proxies[0], 0, sequence=5)
        assert (await fleet.ask(0)).status == 200
        assert fleet.targets[0].received == []

    processes.play(work, [[], []])


def test_ticket_has_the_latest_start():
    async def work(fleet):
        seen = []
        serving = fleet.proxies[1].local_targets
        run = serving.run

        async def record_ticket(target, ticket, *rest):
            seen.append(ticket)
            return await run(target, ticket, *rest)

        serving.run = record_ticket
        fleet.proxies[0].local_targets.by_name["t0"].controller.mark_draining()
        assert (await fleet.ask(0)).status == 200
        assert seen[0].start_by < seen[0].deadline

    processes.play(work, [[], []])


def test_idle_target_is_preferred_to_queueing_at_a_busy_one():
    async def work(fleet):
        for number, one in enumerate(fleet.proxies):
            one.local_targets.by_name[f"t{number}"].controller.slots = 1
        for target in fleet.targets:
            target.script.append("hold")
        pending = [asyncio.create_task(fleet.ask(0)) for _ in range(2)]
        await helper.until(
            lambda: all(len(t.received) == 1 for t in fleet.targets)
        )
        for target in fleet.targets:
            target.release.set()
        assert [(await one).status for one in pending] == [200, 200]

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[], []], first=first)


def test_request_that_no_target_can_start_in_time_is_rejected_at_once():
    async def work(fleet):
        for number, one in enumerate(fleet.proxies):
            found = one.local_targets.by_name[f"t{number}"].controller
            found.slots = 1
            # The expected latency is longer than any deadline.
            helper.train_latency(found.latencies.for_route("r", 1.0), 100.0)
        for target in fleet.targets:
            target.script.append("hold")
        pending = [asyncio.create_task(fleet.ask(0)) for _ in range(3)]
        await helper.until(
            lambda: all(len(t.received) == 1 for t in fleet.targets)
        )
        attempts = fleet.proxies[0].forwarder.attempts
        response = await fleet.ask(0)
        assert response.status == 503
        assert fleet.proxies[0].forwarder.attempts <= attempts + 3 * len(
            pending
        )
        for target in fleet.targets:
            target.release.set()
        assert [(await one).status for one in pending] == [200] * 3

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[], [], []], first=first)


def test_attempts_do_not_exceed_the_limit_of_the_route():
    async def work(fleet):
        assert (await fleet.ask()).status == 500
        assert fleet.runs() == 2

    processes.play(work, [["error"] * 9] * 4)


def test_retry_budget_limits_retries():
    async def work(fleet):
        fleet.proxies[0].balancer.retry_budgets.set_limits(
            load_balancer.RetryBudgetLimits(0.0, 1000.0, 3.0)
        )
        for _ in range(8):
            assert (await fleet.ask()).status == 500
        # Each of the two processes has half of the budget of 3 retries, and
        # may spend 0.9 of its half.
        assert fleet.runs() == 8 + 1

    processes.play(work, [["error"] * 30, ["error"] * 30])


def test_retry_charges_only_services_that_it_may_call():
    """A service can only call services whose latency objective is shorter."""

    async def work(fleet):
        one = fleet.proxies[0]
        # One retry for each service, and none if a call of another service
        # may have caused the request.
        one.balancer.retry_budgets.set_limits(
            load_balancer.RetryBudgetLimits(0.0, 1000.0, 4.0, 1.0)
        )
        for service in ("s", "caller"):
            one.balancer.record_request(service, one.clock.monotonic())
        assert (await fleet.ask()).status == 500
        assert fleet.runs() == 2
        assert one.balancer.retry_budgets.spend(
            "caller", one.clock.monotonic(), objective=1.5
        )

    first = processes.record(
        1,
        r=processes.route(**{"target-latency-ms": 400}),
        q=processes.route(
            **{
                "path-prefix": "/q/",
                "service": "caller",
                "target-latency-ms": 1500,
            }
        ),
    )
    first["services"]["caller"] = {}
    processes.play(work, [["error"] * 9, ["error"] * 9], first=first)


def test_version_from_a_peer_ends_the_pending_read():
    """The read may hang on an unresponsive connection."""

    async def work(fleet):
        one = fleet.proxies[0]
        restarts = []
        one.follower.handle_newer_peer_version = restarts.append
        one.configuration_loader.receive(
            json.dumps(processes.record(2)).encode(), "store"
        )
        assert restarts == []
        data = json.dumps(processes.record(3)).encode()
        one.configuration_loader.receive(data, "peer")
        data = json.dumps(processes.record(3)).encode()
        one.configuration_loader.receive(data, "peer")
        assert len(restarts) == 1

    processes.play(work, [[]])


def test_store_read_interval_depends_on_the_number_of_processes():
    async def work(fleet):
        one = fleet.proxies[0]
        waits = []
        for count in (0, 40):
            for number in range(count):
                one.directory.apply_direct(helper.info(f"other-{number}"), 0.0)
            waits.append(max(one.follower._next_wait() for _ in range(20)))
        assert waits[0] < store_follower.MAX_POLL_SECONDS / 2 < waits[1]

    processes.play(work, [[]])


def test_process_counts_peers_only_after_joining():
    async def work(fleet):
        fleet.store.go_away()
        process = settings.Process(
            "new",
            "d",
            processes.ANY_PORT,
            processes.ANY_PORT,
            processes.ANY_PORT,
            processes.ANY_PORT,
        )
        platform = settings.Platform(
            fleet.server.address, processes.ANY_PORT, processes.ANY_PORT
        )
        store = adapter.Store(fleet.server.address)
        new = proxy.Proxy(
            settings.Settings(process, platform),
            store,
            adapter.decode_configuration,
            header_fields.DEFAULT,
        )
        fleet.proxies.append(new)
        await new.start()
        # Updates were applied, and no peer is known yet.
        new.control_protocols.tick(new.clock.monotonic())
        assert new.balancer.process_count == 0
        fleet.store.away = False
        await helper.until(lambda: new.balancer.process_count == 4)

    processes.play(work, [[], [], []])


def test_no_policy_retries_a_non_idempotent_request():
    async def work(fleet):
        text = "[policy]\nname = p\n[service default]\nretry = true\n"
        fleet.proxies[0].policy = policy.parse("p", text)
        assert (await fleet.ask()).status == 502
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [["reset"], ["reset"]], first=first)


def test_request_without_a_target_ends_at_its_deadline_as_not_run():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        response = await fleet.ask()
        assert response.status == 503
        assert fleet.runs() == 0

    processes.play(
        work,
        [[]],
        first=processes.record(1, r=processes.route(**{"timeout-ms": 200})),
    )


def test_retry_after_has_jitter():
    async def work(fleet):
        one = fleet.proxies[0]
        one.forwarder.rng = random.Random(1)
        one.local_targets.drain("t0")
        responses = await asyncio.gather(*(fleet.ask() for _ in range(5)))
        assert [response.status for response in responses] == [503] * 5
        told = {retry_after(response) for response in responses}
        assert len(told) == len(responses)
        assert min(told) >= forwarded_request.RETRY_AFTER_SECONDS
        assert max(told) <= forwarded_request.RETRY_AFTER_SECONDS * (
            1 + retries.RETRY_AFTER_JITTER
        )

    def retry_after(response: client.Response) -> float:
        (value,) = (v for n, v in response.headers if n == b"retry-after")
        return float(value)

    processes.play(
        work,
        [[]],
        first=processes.record(1, r=processes.route(**{"timeout-ms": 200})),
    )


def test_fence_request_for_an_earlier_boot_is_not_confirmed():
    async def work(fleet):
        connection = await fleet.proxies[0].peer_connections.get("p1")
        boot = fleet.proxies[1].boot
        assert await connection.fence(1, 1, boot)
        assert not await connection.fence(1, 2, boot + 1)

    processes.play(work, [[], []])


def share_script(fleet, *behaviors: str) -> None:
    """Makes the targets follow one script, in the order of the requests."""
    shared = list(behaviors)
    for target in fleet.targets:
        target.script = shared
    helper.train_latency(
        fleet.proxies[0].balancer.latencies.for_route("r", 1.0), 0.02
    )


def test_slow_idempotent_request_is_hedged():
    async def work(fleet):
        share_script(fleet, "hold")
        response = await fleet.ask()
        assert (response.status, response.body) == (200, scripted.BODY)
        assert fleet.runs() == 2
        assert fleet.proxies[0].forwarder.hedges == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def test_hedges_count_towards_the_attempt_limit_of_the_route(monkeypatch):
    """A hedge that its target rejects counts as an attempt."""
    selections = record_hedge_selections(monkeypatch)

    async def work(fleet):
        share_script(fleet, "hold", "refuse")
        pending = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() >= 2)
        # The first attempt is still in flight, and the third target is free.
        before = len(selections)
        await helper.until(
            lambda: fleet.runs() > 2 or len(selections) >= before + 5
        )
        assert fleet.runs() == 2
        assert not any(selections[before:])
        for target in fleet.targets:
            target.release.set()
        assert (await pending).status == 200
        assert fleet.runs() == 2
        assert fleet.proxies[0].forwarder.hedges == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def record_hedge_selections(monkeypatch) -> list[bool]:
    """Records for each selection of a hedge whether there was a target."""
    selections = []

    class HedgedRequest(hedging.HedgedRequest):
        def __init__(self, claim, start_attempt, select_hedge, record_failure):
            def select(*arguments):
                found = select_hedge(*arguments)
                selections.append(found is not None)
                return found

            super().__init__(claim, start_attempt, select, record_failure)

    monkeypatch.setattr(hedging, "HEDGE_RETRY_SECONDS", 0.001)
    monkeypatch.setattr(hedging, "HedgedRequest", HedgedRequest)
    return selections


def test_first_response_is_used_if_the_hedge_fails():
    async def work(fleet):
        share_script(fleet, "hold", "error")
        pending = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 2)
        for target in fleet.targets:
            target.release.set()
        response = await pending
        assert (response.status, response.body) == (200, scripted.BODY)
        assert fleet.runs() == 2

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def test_non_idempotent_request_is_never_hedged():
    async def work(fleet):
        share_script(fleet, "hold")
        assert (await fleet.ask()).status == 504
        assert fleet.runs() == 1
        assert fleet.proxies[0].forwarder.hedges == 0

    # Long after the hedge delay.
    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 1500})
    )
    processes.play(work, [[], [], []], first=first)


def test_hedge_is_charged_to_the_retry_budget():
    async def work(fleet):
        bounds = load_balancer.RetryBudgetLimits(0.0, 10.0, 0.0)
        fleet.proxies[0].balancer.retry_budgets.set_limits(bounds)
        share_script(fleet, "hold")
        assert (await fleet.ask()).status == 504
        assert fleet.proxies[0].forwarder.hedges == 0
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 1500}))
    processes.play(work, [[], [], []], first=first)


def test_only_connections_between_failure_domains_are_compressed():
    async def work(fleet):
        near = await fleet.proxies[0].peer_connections.get("p1")
        assert not near._frames.compress
        fleet.proxies[0].directory.update_own(domain="other")
        far = await fleet.proxies[0].peer_connections.get("p2")
        assert far._frames.compress
        (connection,) = fleet.proxies[2].server_connections
        assert connection._frames.compress

    processes.play(work, [[], [], []])


def test_local_target_is_known_without_a_request():
    async def work(fleet):
        one = fleet.proxies[0]
        (view,) = [v for v in one.balancer.views("s") if v.process == "p0"]
        await helper.until(
            lambda: math.isfinite(view.idle_seconds(one.clock.monotonic()))
        )
        assert fleet.runs() == 0

    processes.play(work, [[], []])


def test_public_addresses_are_announced_to_peers():
    async def work():
        process = settings.Process(
            "p",
            "d",
            processes.ANY_PORT,
            processes.ANY_PORT,
            processes.ANY_PORT,
            processes.ANY_PORT,
            peer_public="127.0.0.1:9",
            control_public="127.0.0.1:10",
        )
        platform = settings.Platform(
            "127.0.0.1:9", processes.ANY_PORT, processes.ANY_PORT
        )
        read = settings.Settings(process, platform)
        store = adapter.Store(platform.store)
        one = proxy.Proxy(
            read, store, adapter.decode_configuration, header_fields.DEFAULT
        )
        await one.start()
        assert one.directory.own.peer == "127.0.0.1:9"
        assert one.directory.own.control == "127.0.0.1:10"
        await one.close()

    helper.run(work())


def test_hanging_request_ends_at_the_timeout_of_the_route():
    async def work(fleet):
        assert (await fleet.ask()).status == 504
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 200})
    )
    processes.play(work, [["hang"], ["hang"]], first=first)


def test_cancellation_reaches_the_target_through_a_peer():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        fleet.targets[1].script.append("hang")
        pending = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: len(fleet.targets[1].received) == 1)
        pending.cancel()
        await helper.until(lambda: fleet.targets[1].hung_up >= 1)

    processes.play(work, [[], []])


def test_non_idempotent_request_completes_after_its_caller_is_gone():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        target = fleet.targets[1]
        target.script.append("hold")
        pending = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: len(target.received) == 1)
        pending.cancel()
        other = fleet.proxies[1].local_targets
        await helper.until(lambda: other._detached)
        target.release.set()
        await helper.until(lambda: not other._detached)
        # The connection is back in the pool, as the response was complete.
        assert other.by_name["t1"].pool.open_count == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[], []], first=first)


def test_non_idempotent_request_is_fenced_through_a_relay():
    async def work(fleet):
        ingress = fleet.proxies[0]
        ingress.local_targets.drain("t0")
        connection = await ingress.peer_connections.get("p1")
        await ingress.peer_connections.get("p2")
        # Messages to p1 are lost without an error.
        connection._frames.send = lambda frame: None
        fleet.proxies[2].local_targets.drain("t2")
        await helper.until(
            lambda: (
                sum(
                    view.state(0.0) is State.IN_SERVICE
                    for view in ingress.balancer.views("s")
                )
                == 1
            )
        )
        pending = asyncio.create_task(fleet.ask(0))
        await helper.until(
            lambda: not ingress.balancer.reachability.is_reachable("p1")
        )
        fences = fleet.proxies[1].local_targets.fences
        await helper.until(lambda: len(fences) == 1)
        # The request is certain not to run there, so another target runs it.
        fleet.announce(
            fleet.proxies[2],
            2,
            incarnation=heartbeats.TargetIncarnation("t9"),
            sequence=1,
        )
        assert (await pending).status == 200
        assert fleet.targets[1].received == []

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[], [], []], first=first)


def test_paused_process_rejects_stale_requests():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        await fleet.proxies[0].peer_connections.get("p1")
        fleet.proxies[1].incarnation += 1
        seen = []
        run_original = fleet.proxies[1].local_targets.run

        async def run(*arguments):
            seen.append(arguments)
            return await run_original(*arguments)

        fleet.proxies[1].local_targets.run = run
        assert (await fleet.ask(0)).status == 200
        # The first attempt was rejected as stale before admission control.
        assert len(seen) == 1
        assert fleet.proxies[0].forwarder.attempts >= 2

    processes.play(work, [[], []])


def test_target_without_heartbeats_expires():
    async def work(fleet):
        one = fleet.proxies[0]
        now = one.clock.monotonic()
        one.target_registry.expire(now + 1.0)
        assert "t0" in one.local_targets.by_name
        one.target_registry.expire(now + 1000.0)
        assert one.local_targets.by_name == {}

    processes.play(work, [[]])


def test_process_without_configuration_is_not_ready():
    async def work(fleet):
        assert not fleet.proxies[0].ready()
        assert (await fleet.ask()).status == 503

    processes.play(work, [[]], first={})


def test_configuration_reaches_all_processes_and_never_goes_back():
    async def work(fleet):
        fleet.store.configure(
            processes.record(5, r=processes.route(**{"path-prefix": "/b/"}))
        )
        await helper.until(
            lambda: all(
                one.active_catalog.catalog.version == 5 for one in fleet.proxies
            )
        )
        for one in fleet.proxies:
            older = json.dumps(processes.record(4)).encode()
            one.configuration_loader.receive(older)
            assert one.active_catalog.catalog.version == 5
        fleet.store.configure(processes.record(4))
        fleet.store.configure({"version": 6, "routes": {"r": {}}})
        fleet.store.configure(
            processes.record(7, r=processes.route(**{"path-prefix": "/c/"}))
        )
        await helper.until(
            lambda: all(
                one.active_catalog.catalog.version == 7 for one in fleet.proxies
            )
        )
        assert (await fleet.ask(0, "/a/")).status == 404
        assert (await fleet.ask(0, "/c/")).status == 200

    processes.play(work, [[], []])


def test_process_joins_its_peers_while_the_store_is_unavailable():
    async def work(fleet):
        old = fleet.proxies.pop(0)
        own = old.settings.process
        fixed = dataclasses.replace(
            own, peer=old.directory.own.peer, control=old.directory.own.control
        )
        await old.close()
        fleet.store.go_away()
        read = dataclasses.replace(old.settings, process=fixed)
        store = adapter.Store(fleet.server.address)
        new = proxy.Proxy(
            read, store, adapter.decode_configuration, header_fields.DEFAULT
        )
        fleet.proxies.insert(0, new)
        await new.start()
        # The health check proves that the target has not left.
        fleet.announce(new, 0)
        await helper.until(fleet.is_ready)
        assert (await fleet.ask(0)).status == 200

    services = {"s": {"health-check": "/health"}}
    first = processes.record(1) | {"services": services}
    processes.play(work, [[], []], first=first)


def test_restarted_process_is_reminded_of_targets_that_left():
    async def work(fleet):
        old = fleet.proxies.pop(0)
        old.target_registry.record_leave(heartbeats.TargetIncarnation("t0"))
        other = fleet.proxies[0]
        await helper.until(lambda: len(other.balancer.views("s")) == 1)
        fixed = dataclasses.replace(
            old.settings.process,
            peer=old.directory.own.peer,
            control=old.directory.own.control,
        )
        await old.close()
        read = dataclasses.replace(old.settings, process=fixed)
        store = adapter.Store(fleet.server.address)
        new = proxy.Proxy(
            read, store, adapter.decode_configuration, header_fields.DEFAULT
        )
        fleet.proxies.insert(0, new)
        await new.start()
        tracker = new.target_registry._incarnations
        await helper.until(
            lambda: heartbeats.TargetIncarnation("t0") in tracker._ended
        )
        # A delayed heartbeat arrives at the restarted process.
        fleet.announce(new, 0)
        assert "t0" not in new.local_targets.by_name

    processes.play(work, [[], []])


def test_target_is_back_after_a_planned_restart_of_its_process():
    async def work(fleet):
        old = fleet.proxies.pop(0)
        other = fleet.proxies[0]
        fixed = dataclasses.replace(
            old.settings.process,
            peer=old.directory.own.peer,
            control=old.directory.own.control,
        )
        await old.stop()
        await helper.until(lambda: len(selected_targets(other)) == 1)
        read = dataclasses.replace(old.settings, process=fixed)
        store = adapter.Store(fleet.server.address)
        new = proxy.Proxy(
            read, store, adapter.decode_configuration, header_fields.DEFAULT
        )
        fleet.proxies.insert(0, new)
        await new.start()
        await helper.until(lambda: new.control_protocols.has_joined)
        fleet.announce(new, 0, sequence=2)
        await helper.until(lambda: len(selected_targets(other)) == 2)
        assert not new.target_registry._incarnations._ended

    def selected_targets(one: proxy.Proxy) -> list[str]:
        return [
            view.name
            for view in one.balancer.views("s")
            if view.state(one.clock.monotonic()) is State.IN_SERVICE
        ]

    processes.play(work, [[], []])


def test_target_leaves_when_its_address_is_reused():
    async def work(fleet):
        one = fleet.proxies[0]
        # Its health check tells that it has the address.
        fleet.targets[0].name = "t9"
        successor = heartbeats.TargetIncarnation("t9")
        fleet.announce(one, 0, incarnation=successor)
        await helper.until(lambda: "t9" in one.local_targets.by_name)
        local_target = one.local_targets.by_name["t0"]
        assert local_target.controller.state is State.LEFT
        assert (await fleet.ask()).status == 200
        received = fleet.targets[0].received[0]
        assert received.field(header_fields.DEFAULT.expected) == b"t9"

    first = processes.record(1) | {
        "services": {"s": {"health-check": "/health"}}
    }
    processes.play(work, [[]], first=first)


def test_unknown_process_is_avoided():
    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.drain("t0")
        any_ = processes.ANY_PORT
        info = messages.ProcessInfo(
            "ghost", 1, 1, "d", any_, any_, any_, 1, 0.0,
            (messages.TargetInfo("t8", "s", "d", 4, State.IN_SERVICE, 1),),
            1,
        )  # fmt: skip
        one.balancer.update_process(info)
        pending = asyncio.create_task(fleet.ask())
        await helper.until(
            lambda: not one.balancer.reachability.is_reachable("ghost")
        )
        attempts = one.forwarder.attempts
        for _ in range(200):
            await asyncio.sleep(0)
        assert one.forwarder.attempts <= attempts + 1
        fleet.announce(
            one, 0, incarnation=heartbeats.TargetIncarnation("t7"), sequence=1
        )
        assert (await pending).status == 200

    processes.play(work, [[]])


def test_idle_target_without_callers_is_announced_to_peers():
    """Peers otherwise keep using targets that they know to be healthy."""

    async def work(fleet):
        announced = []
        other = fleet.proxies[1].balancer
        record_work_request = other.record_work_request

        def record_announcement(target, load, now, any_kind):
            announced.append(
                (target, load.idle > idle_phases.IDLE_TARGET_SECONDS)
            )
            record_work_request(target, load, now, any_kind)

        other.record_work_request = record_announcement
        await helper.until(lambda: announced)
        assert set(announced) == {("t0", True)}
        fleet.targets[0].received.clear()
        # The first request may be sent to the local target, which has received
        # none.
        for _ in range(2):
            await fleet.ask(1)
        assert len(fleet.targets[0].received) == 1

    processes.play(work, [[], []])


def test_leaving_target_is_not_announced_as_idle():
    async def work(fleet):
        one = fleet.proxies[0]
        announced = []

        observer = idle_targets.IdleTargets(
            one.local_targets,
            one.balancer,
            lambda name, load, *_: announced.append((name, load)),
        )

        def announce():
            observer.tick(one.clock.monotonic())

        announce()
        assert [name for name, _ in announced] == ["t0"]
        announced.clear()
        one.local_targets.drain("t0")
        announce()
        assert announced == []

    processes.play(work, [[], []])


def test_local_target_is_discovered_by_a_health_probe():
    async def work():
        store = standin.Store()
        listening = server.Server(store.handle)
        await listening.open(processes.ANY_PORT)
        services = {"s": {"health-check": "/health"}}
        store.configure({**processes.record(1), "services": services})
        async with scripted.ScriptedTarget(name="t0", slots=3) as target:
            read = settings.Settings(
                settings.Process(
                    "p",
                    "d",
                    processes.ANY_PORT,
                    processes.ANY_PORT,
                    processes.ANY_PORT,
                    processes.ANY_PORT,
                ),
                settings.Platform(
                    listening.address,
                    processes.ANY_PORT,
                    processes.ANY_PORT,
                    "s",
                    target.address,
                ),
            )
            one = proxy.Proxy(
                read,
                adapter.Store(listening.address),
                adapter.decode_configuration,
                header_fields.DEFAULT,
            )
            await one.start()
            await helper.until(lambda: one.local_targets.by_name)
            assert one.local_targets.by_name["t0"].controller.slots == 3
            assert target.received == []
            await one.close()
        listening.abort()

    helper.run(work())


def test_health_probe_of_a_leaving_target_is_not_healthy():
    async def work():
        async with scripted.ScriptedTarget(name="t0") as target:
            target.leaving = True
            found = await health_probe.check(
                target.address, "/health", header_fields.DEFAULT
            )
            assert found == health_probe.ProbeResult(False, "t0", 4)

    helper.run(work())


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_connection_lost_before_the_first_frame_is_no_retry(kind, known):
    """Nothing was sent, so sending to another target does not count as a retry.

    The event loop reports the loss in a later iteration; nothing is sent before
    that either.
    """

    async def work(fleet):
        ingress = fleet.proxies[0]
        ingress.local_targets.drain("t0")
        get = ingress.peer_connections.get
        lost = []

        async def lose_the_first(process):
            connection = await get(process)
            if not lost:
                lost.append(process)
                connection.close()
                if known:
                    connections = ingress.peer_connections.connection_by_process
                    await helper.until(
                        lambda: connections.get(process) is not connection
                    )
            return connection

        ingress.peer_connections.get = lose_the_first
        response = await fleet.ask(0)
        assert lost
        assert response.status == 200
        assert fleet.runs() == 1
        assert ingress.forwarder.retries == 0

    processes.play(
        work, [[], [], []], first=processes.record(1, r=processes.route(kind))
    )


def test_request_that_runs_while_its_service_is_removed_is_answered():
    """Guards against a configuration that cuts running requests off."""

    async def work(fleet):
        process, target = fleet.proxies[0], fleet.targets[0]
        target.script.append("hold")
        pending = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: len(target.received) == 1)
        other_route = processes.route(service="other")
        fleet.store.configure(
            {
                "version": 2,
                "routes": {"r": other_route},
                "services": {"other": {}},
            }
        )
        await helper.until(lambda: not process.local_targets.by_name)
        target.release.set()
        assert (await pending).status == 200

    processes.play(work, [[]])


def test_connection_to_a_removed_target_closes_after_its_last_request():
    """Guards against a connection that no pool knows and nobody closes."""

    async def work(fleet):
        process, target = fleet.proxies[0], fleet.targets[0]
        target.script.append("hold")
        pending = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: len(target.received) == 1)
        fleet.store.configure(
            {
                "version": 2,
                "routes": {"r": processes.route(service="other")},
                "services": {"other": {}},
            }
        )
        await helper.until(lambda: not process.local_targets.by_name)
        target.release.set()
        assert (await pending).status == 200
        await helper.until(lambda: target.hung_up == target.connections, 5.0)

    processes.play(work, [[]])
