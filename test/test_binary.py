"""The program run by Python and, if it was built, as a single-file binary."""

import asyncio
import pathlib
import sys

import pytest

from forklift.shell import client
from forklift_lab import demo
from forklift_lab import programs
from test import helper

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


def children(pid: int) -> list[int]:
    """Returns the IDs of the child processes of a process."""
    found = []
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        found += (task / "children").read_text().split()
    return [int(child) for child in found]


async def ask(place: programs.Place, path: str) -> client.Response:
    asker = client.Client(place.caller)
    try:
        fields = ((demo.platform_headers.PLATFORM.deadline.decode(), "20000"),)
        return await asker.request("GET", path, headers=fields, host="h")
    finally:
        asker.close()


async def ready(running: programs.Programs, place: programs.Place) -> None:
    async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
        while not await running.ready(place):
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("name", PROGRAMS)
def test_program_serves_reloads_and_shuts_down_gracefully(name):
    async def work():
        program = PROGRAMS[name]
        code, text = await output(*program, "--version")
        assert (code, "0.1.0" in text) == (0, True)
        example = str(helper.EXAMPLES / "teranga.ini")
        assert (await output(*program, "check", example))[0] == 0
        async with programs.Programs() as running:
            running.store.configure(demo.configuration(1))
            place = await running.add("p", "d", "releves", program)
            await ready(running, place)
            assert (await ask(place, "/history/1")).status == 200
            pid = running.process_by_name["p"].pid
            # The bootloader of the binary starts the program as its child.
            expected = 1 if name == "binary" else 0
            assert len(children(pid)) == expected
            if name == "plain":
                running.process_by_name["p"].send_signal(1)
                assert (await ask(place, "/history/2")).status == 200
            assert await running.stop("p") == 0

    helper.run(work())


def test_sighup_is_ignored_before_other_modules_are_imported():
    code = """
import signal
import sys

class Watch:
    def find_spec(self, name, path=None, target=None):
        if name == "forklift.ui":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)

sys.meta_path.insert(0, Watch())
import forklift.__main__
"""
    code, text = helper.run(output(sys.executable, "-c", code))
    assert (code, text.strip()) == (0, "True")
