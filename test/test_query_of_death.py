"""Tests that requests which crash every target are quarantined."""

import asyncio
import json
import time

import pytest
from click import testing

from forklift import admission
from forklift import fingerprint
from forklift import header_fields
from forklift import heartbeats
from forklift import stored_records
from forklift.shell import clock
from forklift.shell import http
from forklift.shell import logs
from forklift.shell import shutdown
from forklift.ui import run
from forklift_lab import scripted
from test import helper
from test import processes

KINDS = ("idempotent", "non_idempotent")
# Number of targets that a request may crash before it is quarantined.
CRASHES_TO_QUARANTINE = 3
# Number of further crashes that the tests permit.
TOLERATED_CRASHES = 3
HARMLESS_PATHS = ("/a/one", "/a/two")


@pytest.fixture(autouse=True)
def shorten_delays(monkeypatch):
    """Shortens delays for the tests."""
    monkeypatch.setattr(shutdown, "LAME_DUCK_SECONDS", 0.2)


def crash_on(fleet: processes.Fleet, text: bytes) -> None:
    """Makes targets crash on requests whose head contains a text."""
    for target in fleet.targets:
        target.crashes_on = text


async def restart_crashed_targets(fleet: processes.Fleet) -> None:
    """Restarts crashed targets and announces their new incarnations."""
    for number, target in enumerate(fleet.targets):
        if target.down:
            await target.revive()
            incarnation = heartbeats.TargetIncarnation(target.name, target.born)
            fleet.announce(
                fleet.proxies[number], number, incarnation=incarnation
            )


def total_crashes(fleet: processes.Fleet) -> int:
    return sum(target.crashes for target in fleet.targets)


@pytest.mark.parametrize("kind", KINDS)
def test_crashing_request_reaches_few_targets(kind):
    """A request that its caller repeats does not crash target after target.

    The caller sends the request to one process after the other.
    """

    async def work(fleet):
        crash_on(fleet, b"/a/deadly ")
        for turn in range(12):
            response = await fleet.ask(turn % len(fleet.proxies), "/a/deadly")
            assert response.status in (502, 503)
            await restart_crashed_targets(fleet)
        assert total_crashes(fleet) <= CRASHES_TO_QUARANTINE + TOLERATED_CRASHES

    first = processes.record(1, r=processes.route(kind))
    processes.play(work, [[] for _ in range(8)], first=first)


@pytest.mark.parametrize("kind", KINDS)
def test_requests_concurrent_with_a_crashing_one_are_served_again(kind):
    """Only the request that causes the crashes is quarantined.

    If all were retried together on the next target, the cause could not be
    told from the other requests.
    """

    async def work(fleet):
        await crash_during_other_requests(fleet)
        await restart_crashed_targets(fleet)
        for turn in range(len(fleet.proxies)):
            for path in HARMLESS_PATHS:
                response = await fleet.ask(turn, path)
                assert (response.status, response.body) == (200, scripted.BODY)
        assert total_crashes(fleet) <= CRASHES_TO_QUARANTINE + TOLERATED_CRASHES

    first = processes.record(1, r=processes.route(kind))
    processes.play(work, [[] for _ in range(6)], first=first)


async def crash_during_other_requests(fleet: processes.Fleet) -> None:
    """Sends a crashing request while other requests run on every target."""
    for target in fleet.targets:
        target.script += ["hold", "hold"]
    count = len(fleet.proxies)
    harmless = [
        asyncio.create_task(fleet.ask(number, path))
        for number in range(count)
        for path in HARMLESS_PATHS
    ]
    await helper.until(lambda: fleet.runs() == len(harmless))
    crash_on(fleet, b"/a/deadly ")
    response = await fleet.ask(0, "/a/deadly")
    # The crashing request waits for an idle target. It may still start if the
    # requests that block the targets time out just before it does.
    assert response.status in (502, 503, 504)
    not_run = json.loads(response.body)["outcome"] == "not-run"
    assert not_run == (response.status == 503)
    for target in fleet.targets:
        target.release.set()
        target.script.clear()
    await asyncio.gather(*harmless)


def test_retry_after_a_crash_runs_alone():
    """The next run then shows whether the request was the cause."""

    async def work(fleet):
        seen = []
        for one in fleet.proxies:
            record_tickets(one.local_targets, seen)
        fleet.targets[0].crashes_on = b"/a/ "
        assert (await fleet.ask(0)).status == 200
        assert [ticket.exclusive for ticket in seen] == [False, True]

    processes.play(work, [[], []])


def record_tickets(targets, seen: list[admission.Ticket]) -> None:
    """Records the tickets that reach the targets of one process."""
    run = targets.run

    async def recorded(target, ticket, *rest):
        seen.append(ticket)
        return await run(target, ticket, *rest)

    targets.run = recorded


@pytest.mark.parametrize("fault", ["reset", "close", "short", "garbage"])
def test_broken_response_of_a_running_target_is_no_evidence(fault):
    """Incomplete responses are common without a crash of the target."""

    async def work(fleet):
        assert (await fleet.ask()).status == 502
        assert fleet.targets[0].played == [fault]
        one = fleet.proxies[0]
        assert one.quarantine.all_evidence(one.clock.monotonic()) == []

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[fault]], first=first)


def test_crash_is_detected_by_the_next_incarnation():
    """The target restarts before any process notices the crash."""

    async def work(fleet):
        one, target = fleet.proxies[0], fleet.targets[0]
        target.script.append("reset")
        assert (await fleet.ask()).status == 502
        target.born += scripted.RESTART_MS
        incarnation = heartbeats.TargetIncarnation(target.name, target.born)
        fleet.announce(one, 0, incarnation=incarnation)
        (found,) = one.quarantine.all_evidence(one.clock.monotonic())
        assert len(found.crashes) == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [["reset"]], first=first)


def test_target_that_leaves_is_no_evidence():
    async def work(fleet):
        one, target = fleet.proxies[0], fleet.targets[0]
        target.script.append("hold")
        runs = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        one.target_registry.record_leave(
            heartbeats.TargetIncarnation(target.name)
        )
        target.crash()
        assert (await runs).status == 502
        assert one.quarantine.all_evidence(one.clock.monotonic()) == []

    first = processes.record(1, r=processes.route("non_idempotent"))
    processes.play(work, [[]], first=first)


def test_quarantine_survives_a_restart_of_all_processes():
    """The evidence is read from the store after a power failure."""

    async def work(fleet):
        crash_on(fleet, b"/a/deadly ")
        for _ in range(3):
            await fleet.ask(0, "/a/deadly")
            await restart_crashed_targets(fleet)
        before = total_crashes(fleet)
        await helper.until(lambda: evidence_records(fleet))
        for one in fleet.proxies:
            await one.close()
        fleet.proxies.clear()
        for number in range(len(fleet.targets)):
            await fleet.start(number)
        await helper.until(
            lambda: (
                fleet.is_ready()
                and all(
                    one.quarantine.quarantined(one.clock.monotonic())
                    for one in fleet.proxies
                )
            )
        )
        response = await fleet.ask(0, "/a/deadly")
        assert response.status == 503
        assert float(http.value(response.headers, b"retry-after")) > 60
        assert total_crashes(fleet) == before

    processes.play(work, [[], [], []])


def evidence_records(fleet: processes.Fleet) -> list[str]:
    """Names of the records of quarantined requests in the store."""
    return [
        key
        for partition in fleet.store.partition_by_place.values()
        for key in partition.newest_by_key
        if key.startswith(stored_records.EVIDENCE_PREFIX)
    ]


def test_process_detects_that_it_was_suspended(monkeypatch):
    """The monotonic clock of the system does not include suspension."""

    async def work(fleet):
        one = fleet.proxies[0]
        before, real = one.incarnation, time.clock_gettime
        pending = []
        monkeypatch.setattr(
            one.control_protocols, "handle_pause", lambda: pending.append(1)
        )

        def later(which: int) -> float:
            gone = 5.0 if which == time.CLOCK_BOOTTIME else 0.0
            return real(which) + gone

        monkeypatch.setattr(time, "clock_gettime", later)
        assert (await fleet.ask()).status == 200
        assert one.incarnation > before
        assert pending

    processes.play(work, [[], []])


def test_error_response_does_not_clear_a_suspected_request():
    """An unhealthy target may reject a request that would crash it."""

    async def work(fleet):
        one = fleet.proxies[0]
        now = one.clock.monotonic()
        target = fleet.targets[0]
        target.crashes_on = b"/a/deadly "
        await fleet.ask(0, "/a/deadly")
        await restart_crashed_targets(fleet)
        target.crashes_on = b""
        target.script[:] = ["error"]
        await fleet.ask(0, "/a/deadly")
        (found,) = one.quarantine.all_evidence(now)
        assert [crash.void for crash in found.crashes] == [False]

    first = processes.record(1, r=processes.route("idempotent"))
    processes.play(work, [[]], first=first)


def quarantine_locally(one) -> None:
    """Quarantines the crashing request at one process only."""
    now = one.clock.monotonic()
    for number in range(CRASHES_TO_QUARANTINE):
        one.quarantine.record_crash({crashing_fingerprint()}, number, now)
    # Drops the changes so that they are not sent to other processes.
    one.quarantine.take_changes(now)


def keep_evidence_local(fleet: processes.Fleet) -> None:
    """Keeps processes from fetching the evidence that others have."""
    for one in fleet.proxies:
        one.control_protocols.quarantine_sync.compare_digest = (
            lambda address, digest, now: []
        )


def crashing_fingerprint() -> bytes:
    none = tuple(b"" for _ in header_fields.DEFAULT.credentials)
    return fingerprint.compute(b"GET", b"h", b"/a/deadly", none, 0, b"")


def test_ingress_rejects_a_quarantined_request_at_once():
    async def work(fleet):
        one = fleet.proxies[0]
        quarantine_locally(one)
        response = await fleet.ask(0, "/a/deadly")
        assert response.status == 503
        assert float(http.value(response.headers, b"retry-after")) > 60
        assert one.forwarder.attempts == 0
        # The path with another query has another fingerprint.
        assert (await fleet.ask(0, "/a/deadly?x")).status == 200

    processes.play(work, [[], []])


def test_process_of_the_target_rejects_a_quarantined_request():
    """The ingress process may lack evidence after a start or partition."""

    async def work(fleet):
        ingress, other = fleet.proxies
        ingress.target_registry.record_leave(heartbeats.TargetIncarnation("t0"))
        keep_evidence_local(fleet)
        quarantine_locally(other)
        response = await fleet.ask(0, "/a/deadly")
        assert response.status == 503
        assert ingress.forwarder.attempts == 1
        assert fleet.runs() == 0

    processes.play(work, [[], []])


def test_waiting_request_is_rejected_once_it_is_quarantined():
    async def work(fleet):
        one = fleet.proxies[0]
        local_target = one.local_targets.by_name["t0"]
        local_target.controller.slots = 1
        fleet.targets[0].script.append("hold")
        runs = asyncio.create_task(fleet.ask())
        await helper.until(lambda: fleet.runs() == 1)
        waits = asyncio.create_task(fleet.ask(0, "/a/deadly"))
        await helper.until(lambda: local_target.controller.waiting == 1)
        quarantine_locally(one)
        fleet.targets[0].release.set()
        assert (await runs).status == 200
        assert (await waits).status == 503
        assert fleet.runs() == 1

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[]], first=first)


def test_crash_during_an_abandoned_request_is_evidence():
    """No request is in flight when the crash is detected."""

    async def work(fleet):
        one, target = fleet.proxies[0], fleet.targets[0]
        target.script.append("hold")
        caller = asyncio.create_task(fleet.ask(0, "/a/deadly"))
        await helper.until(lambda: fleet.runs() == 1)
        caller.cancel()
        await helper.until(lambda: one.local_targets.running == 0)
        target.crash()
        await fleet.ask()
        found = one.quarantine.all_evidence(one.clock.monotonic())
        assert crashing_fingerprint() in [case.fingerprint for case in found]

    processes.play(work, [[]])


def test_process_requests_evidence_after_a_pause():
    async def work(fleet):
        one, other = fleet.proxies
        quarantine_locally(other)
        one.control_protocols.handle_pause()
        await helper.until(
            lambda: one.quarantine.quarantined(one.clock.monotonic())
        )

    processes.play(work, [[], []])


def test_event_loop_time_includes_suspension(monkeypatch):
    loop = clock.Loop()
    try:
        before = loop.time()
        real = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda c: real(c) + 5.0)
        assert loop.time() >= before + 5.0
    finally:
        loop.close()


def suspect_locally(one) -> None:
    """Adds evidence of one crash at one process only."""
    now = one.clock.monotonic()
    one.quarantine.record_crash({crashing_fingerprint(), b"another"}, 1, now)
    one.quarantine.take_changes(now)


def test_quarantined_request_is_rejected_without_waiting_for_a_slot():
    """The request is rejected even while the target has no free slot."""

    async def work(fleet):
        ingress, other = fleet.proxies
        ingress.target_registry.record_leave(heartbeats.TargetIncarnation("t0"))
        other.local_targets.by_name["t1"].controller.slots = 1
        fleet.targets[1].script.append("hold")
        runs = asyncio.create_task(fleet.ask(1))
        await helper.until(lambda: fleet.runs() == 1)
        quarantine_locally(other)
        response = await fleet.ask(0, "/a/deadly")
        assert response.status == 503
        assert float(http.value(response.headers, b"retry-after")) > 60
        assert not runs.done()
        fleet.targets[1].release.set()
        assert (await runs).status == 200

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], []], first=first)


def test_process_of_the_target_runs_a_suspected_request_alone():
    """The ingress process may lack the evidence."""

    async def work(fleet):
        ingress, other = fleet.proxies
        ingress.target_registry.record_leave(heartbeats.TargetIncarnation("t0"))
        suspect_locally(other)
        controller = other.local_targets.by_name["t1"].controller
        admit, seen = controller.admit, []

        def recorded(ticket, now):
            seen.append(ticket.exclusive)
            return admit(ticket, now)

        controller.admit = recorded
        assert (await fleet.ask(0, "/a/deadly")).status == 200
        assert seen == [True]

    processes.play(work, [[], []])


def test_suspected_request_is_not_hedged():
    async def work(fleet):
        one = fleet.proxies[0]
        for process in fleet.proxies:
            suspect_locally(process)
        for target in fleet.targets:
            target.script.append("hold")
        pending = asyncio.create_task(fleet.ask(0, "/a/deadly"))
        await helper.until(lambda: fleet.runs() == 1)
        # Another request of the same route is hedged.
        other = asyncio.create_task(fleet.ask(0))
        await helper.until(lambda: one.forwarder.hedges == 1)
        paths = [r.head for t in fleet.targets for r in t.received]
        assert sum(b"/a/deadly " in head for head in paths) == 1
        for target in fleet.targets:
            target.release.set()
        assert [(await pending).status, (await other).status] == [200, 200]

    first = processes.record(1, r=processes.route(**{"timeout-ms": 60000}))
    processes.play(work, [[], [], []], first=first)


def test_another_target_at_the_address_implies_a_crash():
    async def work(fleet):
        one, target = fleet.proxies[0], fleet.targets[0]
        target.script.append("reset")
        assert (await fleet.ask()).status == 502
        # The health check of the other target tells that it has the address.
        target.name = "t9"
        fleet.announce(one, 0, incarnation=heartbeats.TargetIncarnation("t9"))
        await helper.until(lambda: "t9" in one.local_targets.by_name)
        assert len(one.quarantine.all_evidence(one.clock.monotonic())) == 1

    first = processes.record(1, r=processes.route("non_idempotent"))
    first["services"]["s"]["health-check"] = "/health"
    processes.play(work, [["reset"]], first=first)


def test_evidence_from_peers_is_stored_by_one_process():
    """The process that saw the crashes may end before it stores them."""

    async def work(fleet):
        for one in fleet.proxies:
            quarantine_locally(one)
        await helper.until(lambda: evidence_records(fleet))

    processes.play(work, [[], [], []])


def test_process_runs_on_the_loop_that_includes_suspension(monkeypatch):
    made = []

    class Runner(asyncio.Runner):
        def run(self, work):
            made.append(self.get_loop())
            work.close()

    monkeypatch.setattr(asyncio, "Runner", Runner)
    monkeypatch.setattr(run, "_import_libraries", lambda: None)
    monkeypatch.setattr(run.faulthandler, "enable", lambda: None)
    monkeypatch.setattr(logs, "configure", lambda level: None)
    file = str(helper.EXAMPLES / "almadies-1.ini")
    found = testing.CliRunner().invoke(run.command, [file])
    assert found.exit_code == 0, found.output
    assert [type(loop) for loop in made] == [clock.Loop]
