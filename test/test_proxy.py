"""Whole processes: requests, targets and the configuration."""

import asyncio
import dataclasses
import json
import math
import random

import pytest

from forklift import header_fields
from forklift import heartbeats
from forklift import load_balancer
from forklift import messages
from forklift import policy
from forklift import retries
from forklift import settings
from forklift.platform import store as adapter
from forklift.shell import client
from forklift.shell import forwarding
from forklift.shell import health_probe
from forklift.shell import hedging
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
def quick(monkeypatch):
    """Pauses that only tests need shorter."""
    monkeypatch.setattr(store_follower, "INITIAL_BACKOFF", 0.05)
    monkeypatch.setattr(shutdown, "LAME_DUCK_TIME", 0.2)


def test_a_request_is_served_by_any_process():
    async def work(fleet):
        for number in range(3):
            answer = await fleet.ask(number)
            assert (answer.status, answer.body) == (200, scripted.BODY)
        origins = {
            received.field(header_fields.DEFAULT.origin)
            for target in fleet.targets
            for received in target.received
        }
        assert origins == {b"beside-0", b"beside-1", b"beside-2"}

    processes.play(work, [[], [], []])


@pytest.mark.parametrize("fault", ["reset", "error", "garbage", "refuse"])
def test_repeatable_work_goes_to_another_target(fault):
    async def work(fleet):
        answer = await fleet.ask()
        assert answer.status == 200
        assert fleet.runs() == 2

    processes.play(
        work, [[fault]] + [[]] if fault == "refuse" else [[fault], []]
    )


@pytest.mark.parametrize("fault", ["reset", "garbage", "close"])
def test_work_that_must_not_repeat_runs_once_and_ends_unknown(fault):
    async def work(fleet):
        answer = await fleet.ask()
        assert answer.status == 502
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[fault], [fault]], first=first)


def test_work_that_must_not_repeat_moves_on_after_a_true_refusal():
    async def work(fleet):
        share_script(fleet, "refuse")
        answer = await fleet.ask()
        assert answer.status == 200
        assert fleet.runs() == 2

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[], []], first=first)


def test_a_draining_target_takes_no_new_work():
    async def work(fleet):
        fleet.announce(fleet.proxies[0], 0, leaving=True, sequence=2)
        # A late heartbeat from before changes nothing.
        fleet.announce(fleet.proxies[0], 0, leaving=False, sequence=1)
        for _ in range(5):
            assert (await fleet.ask(0)).status == 200
            assert (await fleet.ask(1)).status == 200
        assert fleet.targets[0].received == []

    processes.play(work, [[], []])


def test_a_target_that_left_is_not_taken_back():
    async def work(fleet):
        fleet.proxies[0].target_registry.record_leave(
            heartbeats.TargetIncarnation("t0")
        )
        fleet.announce(fleet.proxies[0], 0, sequence=5)
        assert (await fleet.ask(0)).status == 200
        assert fleet.targets[0].received == []

    processes.play(work, [[], []])


def test_a_gate_is_told_by_when_a_request_must_have_started():
    async def work(fleet):
        seen = []
        serving = fleet.proxies[1].local_targets
        run = serving.run

        async def note(target, ticket, *rest):
            seen.append(ticket)
            return await run(target, ticket, *rest)

        serving.run = note
        fleet.proxies[0].local_targets.by_name["t0"].controller.drain()
        assert (await fleet.ask(0)).status == 200
        assert seen[0].start_by < seen[0].deadline

    processes.play(work, [[], []])


def test_an_idle_target_is_used_before_waiting_at_a_busy_one():
    async def work(fleet):
        for number, one in enumerate(fleet.proxies):
            one.local_targets.by_name[f"t{number}"].controller.slots = 1
        for target in fleet.targets:
            target.script.append("hold")
        asked = [asyncio.create_task(fleet.ask(0)) for _ in range(2)]
        await helper.until(
            lambda: all(len(t.received) == 1 for t in fleet.targets)
        )
        for target in fleet.targets:
            target.release.set()
        assert [(await one).status for one in asked] == [200, 200]

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[], []], first=first)


def test_what_no_gate_takes_in_time_is_given_up_at_once():
    async def work(fleet):
        for number, one in enumerate(fleet.proxies):
            found = one.local_targets.by_name[f"t{number}"].controller
            found.slots = 1
            # One run takes longer than any request has.
            helper.train_latency(found.latencies.for_route("r", 1.0), 100.0)
        for target in fleet.targets:
            target.script.append("hold")
        held = [asyncio.create_task(fleet.ask(0)) for _ in range(3)]
        await helper.until(
            lambda: all(len(t.received) == 1 for t in fleet.targets)
        )
        sends = fleet.proxies[0].forwarder.attempts
        answer = await fleet.ask(0)
        assert answer.status == 503
        assert fleet.proxies[0].forwarder.attempts <= sends + 3 * len(held)
        for target in fleet.targets:
            target.release.set()
        assert [(await one).status for one in held] == [200] * 3

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[], [], []], first=first)


def test_repeatable_work_is_sent_to_no_more_targets_than_its_route_allows():
    async def work(fleet):
        assert (await fleet.ask()).status == 500
        assert fleet.runs() == 2

    processes.play(work, [["error"] * 9] * 4)


def test_the_budget_bounds_repeats():
    async def work(fleet):
        fleet.proxies[0].balancer.set_retry_limits(
            load_balancer.RetryBudgetLimits(0.0, 1000.0, 3.0)
        )
        for _ in range(8):
            assert (await fleet.ask()).status == 500
        # Of the three that two processes share, 0.9 of this one's half.
        assert fleet.runs() == 8 + 1

    processes.play(work, [["error"] * 30, ["error"] * 30])


def test_a_repeat_leaves_the_budget_of_services_that_it_can_not_call():
    """The configuration tells: a call is shorter than the run that makes it."""

    async def work(fleet):
        one = fleet.proxies[0]
        # One repeat for each service, and none where another's run may call.
        one.balancer.set_retry_limits(
            load_balancer.RetryBudgetLimits(0.0, 1000.0, 4.0, 1.0)
        )
        for service in ("s", "caller"):
            one.balancer.record_request(service, one.clock.monotonic())
        assert (await fleet.ask()).status == 500
        assert fleet.runs() == 2
        assert one.balancer.spend_retry(
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


def test_a_version_that_a_peer_brought_ends_the_read_that_waits():
    """It may hang on a connection that fell silent."""

    async def work(fleet):
        one = fleet.proxies[0]
        overtaken = []
        one.follower.on_newer_from_peer = overtaken.append
        one.configuration_loader.receive(
            json.dumps(processes.record(2)).encode(), "store"
        )
        assert overtaken == []
        data = json.dumps(processes.record(3)).encode()
        one.configuration_loader.receive(data, "peer")
        data = json.dumps(processes.record(3)).encode()
        one.configuration_loader.receive(data, "peer")
        assert len(overtaken) == 1

    processes.play(work, [[]])


def test_reads_of_the_store_wait_by_how_many_processes_there_are():
    async def work(fleet):
        one = fleet.proxies[0]
        waits = []
        for count in (0, 40):
            for number in range(count):
                one.directory.apply_direct(helper.info(f"other-{number}"), 0.0)
            waits.append(max(one.follower._next_wait() for _ in range(20)))
        assert waits[0] < store_follower.MAX_WAIT / 2 < waits[1]

    processes.play(work, [[]])


def test_a_process_counts_others_only_once_it_has_met_them():
    async def work(fleet):
        fleet.store.go_away()
        process = settings.Process(
            "new",
            "d",
            processes.ANY,
            processes.ANY,
            processes.ANY,
            processes.ANY,
        )
        platform = settings.Platform(
            fleet.server.address, processes.ANY, processes.ANY
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
        # News is taken over, and still nobody else is known.
        new.control_protocols.tick(new.clock.monotonic())
        assert new.balancer.process_count == 0
        fleet.store.away = False
        await helper.until(lambda: new.balancer.process_count == 4)

    processes.play(work, [[], [], []])


def test_no_policy_sends_work_that_must_not_repeat_again():
    async def work(fleet):
        text = "[policy]\nname = p\n[service default]\nretry = true\n"
        fleet.proxies[0].policy = policy.parse("p", text)
        assert (await fleet.ask()).status == 502
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [["reset"], ["reset"]], first=first)


def test_a_request_that_finds_no_target_ends_at_its_limit_as_not_run():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        answer = await fleet.ask()
        assert answer.status == 503
        assert fleet.runs() == 0

    processes.play(
        work,
        [[]],
        first=processes.record(1, r=processes.route(**{"timeout-ms": 200})),
    )


def test_callers_that_are_refused_together_are_told_to_return_one_by_one():
    async def work(fleet):
        one = fleet.proxies[0]
        one.forwarder.rng = random.Random(1)
        one.local_targets.drain("t0")
        answers = await asyncio.gather(*(fleet.ask() for _ in range(5)))
        assert [answer.status for answer in answers] == [503] * 5
        told = {come_back(answer) for answer in answers}
        assert len(told) == len(answers)
        assert min(told) >= forwarding.RETRY_AFTER
        assert max(told) <= forwarding.RETRY_AFTER * (
            1 + retries.RETRY_AFTER_JITTER
        )

    def come_back(answer: client.Response) -> float:
        (value,) = (v for n, v in answer.headers if n == b"retry-after")
        return float(value)

    processes.play(
        work,
        [[]],
        first=processes.record(1, r=processes.route(**{"timeout-ms": 200})),
    )


def test_an_earlier_run_of_a_guard_is_never_said_not_to_have_run():
    async def work(fleet):
        link = await fleet.proxies[0].peer_connections.get("p1")
        boot = fleet.proxies[1].boot
        assert await link.fence(1, 1, boot)
        assert not await link.fence(1, 2, boot + 1)

    processes.play(work, [[], []])


def share_script(fleet, *entries: str) -> None:
    """Whichever target is asked next follows the next entry."""
    shared = list(entries)
    for target in fleet.targets:
        target.script = shared
    helper.train_latency(
        fleet.proxies[0].balancer.latencies.for_route("r", 1.0), 0.02
    )


def test_a_slow_request_that_may_repeat_is_also_sent_to_a_second_target():
    async def work(fleet):
        share_script(fleet, "hold")
        answer = await fleet.ask()
        assert (answer.status, answer.body) == (200, scripted.BODY)
        assert fleet.runs() == 2
        assert fleet.proxies[0].forwarder.hedges == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def test_second_sends_keep_to_the_targets_that_the_route_allows(monkeypatch):
    """A second target that refuses was sent to, too: there is no third."""
    looks = count_looks(monkeypatch)

    async def work(fleet):
        share_script(fleet, "hold", "refuse")
        asked = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() >= 2)
        # The first target is still at it, and the third one is free.
        before = len(looks)
        await helper.until(lambda: fleet.runs() > 2 or len(looks) >= before + 5)
        assert fleet.runs() == 2
        assert not any(looks[before:])
        for target in fleet.targets:
            target.release.set()
        assert (await asked).status == 200
        assert fleet.runs() == 2
        assert fleet.proxies[0].forwarder.hedges == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def count_looks(monkeypatch) -> list[bool]:
    """Looks for a second target, by whether one was found."""
    looks = []

    class HedgedRequest(hedging.HedgedRequest):
        def __init__(self, turn, begin, second, note):
            def look(*arguments):
                found = second(*arguments)
                looks.append(found is not None)
                return found

            super().__init__(turn, begin, look, note)

    monkeypatch.setattr(hedging, "HEDGE_RETRY_DELAY", 0.001)
    monkeypatch.setattr(hedging, "HedgedRequest", HedgedRequest)
    return looks


def test_the_first_target_still_answers_where_the_second_one_fails():
    async def work(fleet):
        share_script(fleet, "hold", "error")
        asked = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 2)
        for target in fleet.targets:
            target.release.set()
        answer = await asked
        assert (answer.status, answer.body) == (200, scripted.BODY)
        assert fleet.runs() == 2

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def test_work_that_must_not_repeat_is_never_sent_to_a_second_target():
    async def work(fleet):
        share_script(fleet, "hold")
        assert (await fleet.ask()).status == 504
        assert fleet.runs() == 1
        assert fleet.proxies[0].forwarder.hedges == 0

    # Long after a second attempt would have been due.
    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 1500})
    )
    processes.play(work, [[], [], []], first=first)


def test_a_second_attempt_is_taken_from_the_budget():
    async def work(fleet):
        bounds = load_balancer.RetryBudgetLimits(0.0, 10.0, 0.0)
        fleet.proxies[0].balancer.set_retry_limits(bounds)
        share_script(fleet, "hold")
        assert (await fleet.ask()).status == 504
        assert fleet.proxies[0].forwarder.hedges == 0
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 1500}))
    processes.play(work, [[], [], []], first=first)


def test_only_paths_between_failure_domains_are_compressed():
    async def work(fleet):
        near = await fleet.proxies[0].peer_connections.get("p1")
        assert not near._frames.compress
        fleet.proxies[0].directory.update_own(domain="other")
        far = await fleet.proxies[0].peer_connections.get("p2")
        assert far._frames.compress
        (served,) = fleet.proxies[2].server_connections
        assert served._frames.compress

    processes.play(work, [[], [], []])


def test_an_entry_is_told_of_the_target_beside_without_a_request():
    async def work(fleet):
        one = fleet.proxies[0]
        (view,) = [v for v in one.balancer.views("s") if v.process == "p0"]
        await helper.until(
            lambda: math.isfinite(view.idle_seconds(one.clock.monotonic()))
        )
        assert fleet.runs() == 0

    processes.play(work, [[], []])


def test_peers_are_told_where_they_reach_a_process():
    async def work():
        process = settings.Process(
            "p",
            "d",
            processes.ANY,
            processes.ANY,
            processes.ANY,
            processes.ANY,
            peer_public="127.0.0.1:9",
            control_public="127.0.0.1:10",
        )
        platform = settings.Platform(
            "127.0.0.1:9", processes.ANY, processes.ANY
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


def test_work_that_hangs_has_its_final_answer_at_the_routes_limit():
    async def work(fleet):
        assert (await fleet.ask()).status == 504
        assert fleet.runs() == 1

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 200})
    )
    processes.play(work, [["hang"], ["hang"]], first=first)


def test_a_hang_up_reaches_the_target_through_another_process():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        fleet.targets[1].script.append("hang")
        asked = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: len(fleet.targets[1].received) == 1)
        asked.cancel()
        await helper.until(lambda: fleet.targets[1].hung_up >= 1)

    processes.play(work, [[], []])


def test_what_must_not_repeat_runs_to_its_end_though_its_caller_is_gone():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        target = fleet.targets[1]
        target.script.append("hold")
        asked = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: len(target.received) == 1)
        asked.cancel()
        other = fleet.proxies[1].local_targets
        await helper.until(lambda: other._detached)
        target.release.set()
        await helper.until(lambda: not other._detached)
        # The connection was returned whole: nothing was broken off.
        assert other.by_name["t1"].pool.open_count == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[], []], first=first)


def test_what_must_not_repeat_is_fenced_around_a_silent_path():
    async def work(fleet):
        entry = fleet.proxies[0]
        entry.local_targets.drain("t0")
        link = await entry.peer_connections.get("p1")
        await entry.peer_connections.get("p2")
        # One way is cut: what is sent to p1 is lost, and nothing says so.
        link._frames.send = lambda frame: None
        fleet.proxies[2].local_targets.drain("t2")
        await helper.until(
            lambda: (
                sum(
                    view.state(0.0) is State.IN_SERVICE
                    for view in entry.balancer.views("s")
                )
                == 1
            )
        )
        asked = asyncio.create_task(fleet.ask(0))
        await helper.until(
            lambda: not entry.balancer.reachability.is_reachable("p1")
        )
        fences = fleet.proxies[1].local_targets.fences
        await helper.until(lambda: len(fences) == 1)
        # Proven not to run there, it goes to another one in time.
        fleet.announce(
            fleet.proxies[2],
            2,
            incarnation=heartbeats.TargetIncarnation("t9"),
            sequence=1,
        )
        assert (await asked).status == 200
        assert fleet.targets[1].received == []

    first = processes.record(
        1, r=processes.route("non_idempotent", **{"timeout-ms": 60000})
    )
    processes.play(work, [[], [], []], first=first)


def test_a_guard_that_was_paused_refuses_what_is_older():
    async def work(fleet):
        fleet.proxies[0].local_targets.drain("t0")
        await fleet.proxies[0].peer_connections.get("p1")
        fleet.proxies[1].incarnation += 1
        seen = []
        served = fleet.proxies[1].local_targets.run

        async def run(*arguments):
            seen.append(arguments)
            return await served(*arguments)

        fleet.proxies[1].local_targets.run = run
        assert (await fleet.ask(0)).status == 200
        # The first send was refused as stale before it came to the gate.
        assert len(seen) == 1
        assert fleet.proxies[0].forwarder.attempts >= 2

    processes.play(work, [[], []])


def test_a_target_without_heartbeats_for_long_is_gone():
    async def work(fleet):
        one = fleet.proxies[0]
        now = one.clock.monotonic()
        one.target_registry.expire(now + 1.0)
        assert "t0" in one.local_targets.by_name
        one.target_registry.expire(now + 1000.0)
        assert one.local_targets.by_name == {}

    processes.play(work, [[]])


def test_a_process_without_configuration_is_not_ready_and_says_so():
    async def work(fleet):
        assert not fleet.proxies[0].ready()
        assert (await fleet.ask()).status == 503

    processes.play(work, [[]], first={})


def test_a_change_is_in_force_everywhere_and_none_goes_back():
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


def test_one_that_starts_while_the_store_is_away_is_met_by_its_peers():
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
        fleet.announce(new, 0)
        await helper.until(fleet.meets)
        assert (await fleet.ask(0)).status == 200

    processes.play(work, [[], []])


def test_one_that_started_again_is_reminded_of_what_had_left():
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
        lives = new.target_registry._incarnations
        await helper.until(
            lambda: heartbeats.TargetIncarnation("t0") in lives._ended
        )
        # A heartbeat that was late comes to the new run.
        fleet.announce(new, 0)
        assert "t0" not in new.local_targets.by_name

    processes.play(work, [[], []])


def test_a_target_is_back_after_a_planned_stop_of_its_process():
    async def work(fleet):
        old = fleet.proxies.pop(0)
        other = fleet.proxies[0]
        fixed = dataclasses.replace(
            old.settings.process,
            peer=old.directory.own.peer,
            control=old.directory.own.control,
        )
        await old.stop()
        await helper.until(lambda: len(picked(other)) == 1)
        read = dataclasses.replace(old.settings, process=fixed)
        store = adapter.Store(fleet.server.address)
        new = proxy.Proxy(
            read, store, adapter.decode_configuration, header_fields.DEFAULT
        )
        fleet.proxies.insert(0, new)
        await new.start()
        await helper.until(lambda: new.control_protocols.has_joined)
        fleet.announce(new, 0, sequence=2)
        await helper.until(lambda: len(picked(other)) == 2)
        assert not new.target_registry._incarnations._ended

    def picked(one: proxy.Proxy) -> list[str]:
        return [
            view.name
            for view in one.balancer.views("s")
            if view.state(one.clock.monotonic()) is State.IN_SERVICE
        ]

    processes.play(work, [[], []])


def test_an_address_used_again_ends_the_target_before():
    async def work(fleet):
        one = fleet.proxies[0]
        said = heartbeats.Heartbeat(
            heartbeats.TargetIncarnation("t9"),
            "s",
            fleet.targets[0].address,
            "d",
            4,
            False,
            1,
        )
        one.target_registry.record_heartbeat(said)
        local_target = one.local_targets.by_name["t0"]
        assert local_target.controller.state is State.LEFT
        assert (await fleet.ask()).status == 200
        received = fleet.targets[0].received[0]
        assert received.field(header_fields.DEFAULT.expected) == b"t9"

    processes.play(work, [[]])


def test_a_process_that_is_not_known_is_avoided_not_asked_for_ever():
    async def work(fleet):
        one = fleet.proxies[0]
        one.local_targets.drain("t0")
        any_ = processes.ANY
        info = messages.ProcessInfo(
            "ghost", 1, 1, "d", any_, any_, any_, 1, 0.0,
            (messages.TargetInfo("t8", "s", "d", 4, State.IN_SERVICE, 1),),
            1,
        )  # fmt: skip
        one.balancer.update_process(info)
        asked = asyncio.create_task(fleet.ask())
        await helper.until(
            lambda: not one.balancer.reachability.is_reachable("ghost")
        )
        sends = one.forwarder.attempts
        for _ in range(200):
            await asyncio.sleep(0)
        assert one.forwarder.attempts <= sends + 1
        fleet.announce(
            one, 0, incarnation=heartbeats.TargetIncarnation("t7"), sequence=1
        )
        assert (await asked).status == 200

    processes.play(work, [[]])


def test_a_target_whose_process_has_no_callers_asks_others_for_work():
    """Others go on with targets that they know to be well."""

    async def work(fleet):
        asked = []
        other = fleet.proxies[1].balancer
        note = other.record_work_request

        def heard(target, load, now):
            asked.append((target, load.idle > proxy.IDLE_TARGET_TIME))
            note(target, load, now)

        other.record_work_request = heard
        await helper.until(lambda: asked)
        assert set(asked) == {("t0", True)}
        fleet.targets[0].received.clear()
        # The first may go to the target beside, which has had none yet.
        for _ in range(2):
            await fleet.ask(1)
        assert len(fleet.targets[0].received) == 1

    processes.play(work, [[], []])


def test_a_leaving_target_asks_for_no_work():
    async def work(fleet):
        one = fleet.proxies[0]
        asked = []
        one.control_protocols.announce_idle_target = lambda *said: asked.append(
            said
        )
        one._announce_idle_targets(one.clock.monotonic())
        assert [name for name, _ in asked] == ["t0"]
        asked.clear()
        one.local_targets.drain("t0")
        one._announce_idle_targets(one.clock.monotonic())
        assert asked == []

    processes.play(work, [[], []])


def test_the_target_beside_is_found_by_its_health():
    async def work():
        store = standin.Store()
        listening = server.Server(store.handle)
        await listening.open(processes.ANY)
        services = {"s": {"health-check": "/health"}}
        store.configure({**processes.record(1), "services": services})
        async with scripted.ScriptedTarget(name="t0", slots=3) as target:
            read = settings.Settings(
                settings.Process(
                    "p",
                    "d",
                    processes.ANY,
                    processes.ANY,
                    processes.ANY,
                    processes.ANY,
                ),
                settings.Platform(
                    listening.address,
                    processes.ANY,
                    processes.ANY,
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


def test_a_leaving_target_is_not_found_by_its_health():
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
def test_a_link_lost_before_the_first_frame_is_not_a_lost_caller(kind, known):
    """Nothing was sent on it, so the request goes elsewhere, and is no repeat.

    The loop tells of the loss in a later turn; nothing is sent before that
    either.
    """

    async def work(fleet):
        entry = fleet.proxies[0]
        entry.local_targets.drain("t0")
        get = entry.peer_connections.get
        lost = []

        async def lose_the_first(process):
            link = await get(process)
            if not lost:
                lost.append(process)
                link.close()
                if known:
                    links = entry.peer_connections.connection_by_process
                    await helper.until(lambda: links.get(process) is not link)
            return link

        entry.peer_connections.get = lose_the_first
        answer = await fleet.ask(0)
        assert lost
        assert answer.status == 200
        assert fleet.runs() == 1
        assert entry.forwarder.retries == 0

    processes.play(
        work, [[], [], []], first=processes.record(1, r=processes.route(kind))
    )
