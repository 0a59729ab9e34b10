"""Fair queueing in whole processes: order, reports, modes, lost callers."""

import asyncio
import dataclasses

from forklift import header_fields
from forklift import overload
from forklift import settings
from forklift.shell import client
from forklift.shell import reports
from forklift.shell import telemetry
from test import helper
from test import processes

SLOTS = 4
KEY = header_fields.DEFAULT.key.decode()
NAME = header_fields.DEFAULT.organisation


def record(version: int = 1, is_bulk: bool = True) -> dict:
    kind = "download" if is_bulk else "idempotent"
    objective = {"target-latency-ms": 20_000, "timeout-ms": 30_000}
    return {
        **processes.record(
            version,
            r=processes.route(**objective),
            copy=processes.route(kind, **{"path-prefix": "/copy/"}),
        ),
        "tenants": {name: {"api-keys": [f"key-{name}"]} for name in "abc"},
    }


class Callers:
    """Callers of one process, with one connection each."""

    def __init__(self, fleet: processes.Fleet):
        self._fleet = fleet
        self.tasks: list[asyncio.Task] = []

    async def send(self, organisations: str) -> None:
        """Sends requests one by one, each once the one before has arrived."""
        controller = self.controller
        for organisation in organisations:
            before = controller.running + controller.waiting
            self.tasks.append(asyncio.create_task(self._ask(organisation)))
            await helper.until(
                lambda before=before: (
                    controller.running + controller.waiting > before
                )
            )

    @property
    def controller(self):
        (target,) = self._fleet.proxies[0].local_targets.by_name.values()
        return target.controller

    async def _ask(self, organisation: str) -> int:
        caller = client.Client(self._fleet.proxies[0].caller_address)
        try:
            answer = await caller.request(
                "GET",
                "/a/",
                headers=((KEY, f"key-{organisation}"),),
                timeout=30.0,
                host="h",
            )
            return answer.status
        finally:
            caller.close()


def served(fleet: processes.Fleet) -> str:
    return "".join(
        one.field(NAME).decode() for one in fleet.targets[0].received
    )


def play(work) -> None:
    """Runs a test with one process whose target holds its first requests."""

    async def run() -> None:
        script = ["hold"] * SLOTS
        async with processes.Fleet([script], first=record()) as fleet:
            await work(fleet, Callers(fleet))

    helper.run(run())


def test_requests_start_in_turn_and_are_reported():
    """Guards against overload control that does not reach the queue."""

    async def work(fleet: processes.Fleet, callers: Callers) -> None:
        await callers.send("a" * SLOTS + "aaabb")
        process = fleet.proxies[0]
        room = reports.explain_target(process, "t0").room
        assert room.fair
        assert room.waiting_by_organisation == {"a": 3, "b": 2}
        assert room.waiting_by_priority == {"1": 5}
        assert room.starts_by_priority == {"1": SLOTS}
        assert list(room.work_by_organisation) == ["a"]
        metrics = telemetry.Telemetry(process).render().decode()
        assert 'forklift_room_work{organisation="a"' in metrics
        for name in ("starts", "displaced"):
            assert f"forklift_room_{name}_total{{" in metrics
        fleet.targets[0].release.set()
        assert await asyncio.gather(*callers.tasks) == [200] * (SLOTS + 5)
        assert served(fleet)[SLOTS] == "b"
        assert served(fleet)[-1] == "a"

    play(work)


def test_callers_that_leave_while_queued_free_their_places():
    """Guards against queued requests of callers that are gone."""

    async def work(fleet: processes.Fleet, callers: Callers) -> None:
        await callers.send("a" * SLOTS + "bbbcc")
        gone = callers.tasks[SLOTS : SLOTS + 3]
        for task in gone:
            task.cancel()
        controller = callers.controller
        await helper.until(lambda: controller.waiting == 2)
        fleet.targets[0].release.set()
        left = [task for task in callers.tasks if task not in gone]
        assert await asyncio.gather(*left) == [200] * (SLOTS + 2)
        assert served(fleet) == "a" * SLOTS + "cc"
        await helper.until(lambda: controller.running == 0)
        assert controller.queue._fair.flow_count == 0

    play(work)


def test_configuration_without_bulk_routes_ends_fair_queueing():
    """Guards against a mode that needs a restart or loses requests."""

    async def work(fleet: processes.Fleet, callers: Callers) -> None:
        await callers.send("a" * SLOTS + "aaab")
        process = fleet.proxies[0]
        fleet.store.configure(record(2, is_bulk=False))
        await helper.until(lambda: not process.overload_control())
        room = reports.explain_target(process, "t0").room
        assert not room.fair
        assert room.waiting_by_organisation == {"a": 3, "b": 1}
        fleet.targets[0].release.set()
        assert await asyncio.gather(*callers.tasks) == [200] * (SLOTS + 4)
        assert served(fleet)[-1] == "b"

    play(work)


def test_mode_and_floor_take_effect_on_reload():
    """Guards against settings that need a restart."""

    async def work(fleet: processes.Fleet, callers: Callers) -> None:
        await callers.send("a" * SLOTS + "ab")
        process = fleet.proxies[0]
        for mode in (overload.Mode.OFF, overload.Mode.ON):
            section = settings.Overload(mode=mode, floor=0.3)
            process.reload(
                dataclasses.replace(process.settings, overload=section)
            )
            room = reports.explain_target(process, "t0").room
            assert room.fair == (mode is overload.Mode.ON)
            assert room.waiting_by_organisation == {"a": 1, "b": 1}
        assert process.target_registry._factory.queueing_rules.floor() == 0.3
        fleet.targets[0].release.set()
        assert await asyncio.gather(*callers.tasks) == [200] * (SLOTS + 2)

    play(work)
