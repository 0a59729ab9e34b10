"""The program as a whole, run plainly and, where it was built, as one file."""

import asyncio
import pathlib
import sys

import pytest

from forklift_lab import fleet as fleets
from forklift_lab import standin
from forklift_lab.measure import processes
from test import helper
from test import test_cuts
from test import test_fleet

BINARY = pathlib.Path(__file__).parent.parent / "build" / "forklift"
PROGRAMS = {"plain": (sys.executable, "-m", "forklift")}
if BINARY.exists():
    PROGRAMS["binary"] = (str(BINARY),)


async def output(*command: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()


@pytest.mark.parametrize("name", PROGRAMS)
def test_program_serves_and_stops_as_planned(name):
    async def work():
        program = PROGRAMS[name]
        code, text = await output(*program, "--version")
        assert (code, "0.1.0" in text) == (0, True)
        example = str(helper.EXAMPLES / "teranga.ini")
        assert (await output(*program, "check", example))[0] == 0
        place = fleets.places({"s": 1}, ["a"])[0]
        log = fleets.free_addresses(1)[0]
        async with fleets.Fleet(log) as running:
            await running.lab("log", "log", "--listen", log)
            path = running.folder / "s.ini"
            path.write_text(fleets.settings_text(place, log))
            await running.start("node", *program, "run", str(path))
            target = standin.TargetStandIn(
                place.name, "s", "a", place.target, place.admin
            )
            await target.open()
            await fleets.wait_until(lambda: fleets.answers(place.admin))
            text = helper.POLICY.format(floor=0, deadline=5)
            await test_cuts.demo.publish(place.admin, text)

            async def serves():
                return (await test_fleet.ask(place)).status == 200

            await fleets.wait_until(serves)
            pid = running.process_by_name["node"].pid
            # The loader of the one file waits for the process it starts.
            allowed = 1 if name == "binary" else 0
            assert len(processes.children(pid)) == allowed
            running.terminate("node")
            assert await running.process_by_name["node"].wait() == 0
            target.close()

    helper.run(work())
