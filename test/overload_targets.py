"""Program that runs the targets of `test_overload_processes` by themselves.

Run as a program, it prints the address of each target by name. For each name of
a target that it reads from standard input, it prints the organisations of all
requests that this target has received. It ends with its input.

The targets take as long as they are said to only where no other work keeps
their event loop busy.
"""

import asyncio
import contextlib
import json
import sys

from forklift.platform import platform_headers
from forklift_lab import programs
from forklift_lab import scripted

# Seconds that a target works on each request.
WORK_SECONDS = 0.4
# Number of requests of which each target works on.
SCRIPT_LENGTH = 100_000


@scripted.fault("work")
async def _work(connection, received) -> None:
    loop = asyncio.get_running_loop()
    # The work begins when the request arrives, also if this is noticed late.
    try:
        await asyncio.sleep(received.at + WORK_SECONDS - loop.time())
    except asyncio.CancelledError as error:
        # The target ends with the test, and nobody waits for this run.
        raise ConnectionError from error
    connection.send(connection.answer(received))


class Targets:
    """The targets, in a process of their own.

    Attributes:
        address_by_name: Address of each target.
    """

    def __init__(self, process: asyncio.subprocess.Process):
        self._process = process
        self.address_by_name: dict[str, str] = {}

    async def read(self) -> object:
        """Returns the next line that the program printed, decoded."""
        line = await self._process.stdout.readline()
        if not line:
            raise EOFError("the program of the targets ended; see its errors")
        return json.loads(line)

    async def organisations(self, name: str) -> list[str]:
        """Returns the organisations of all requests that a target received."""
        self._process.stdin.write(name.encode() + b"\n")
        return await self.read()


@contextlib.asynccontextmanager
async def running(names: list[str]):
    """Yields the targets of some processes; they end with the context."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "test.overload_targets",
        *names,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
    )
    targets = Targets(process)
    try:
        targets.address_by_name = await targets.read()
        yield targets
    finally:
        process.stdin.close()
        await process.wait()


async def _serve(names: list[str]) -> None:
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        target_by_name = {}
        for name in names:
            target = scripted.ScriptedTarget(
                *["work"] * SCRIPT_LENGTH,
                names=platform_headers.PLATFORM,
                name=programs.target_name(name),
                strict=True,
            )
            target_by_name[name] = await stack.enter_async_context(target)
        addresses = {n: t.address for n, t in target_by_name.items()}
        print(json.dumps(addresses), flush=True)
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            target = target_by_name[line.decode().strip()]
            field = platform_headers.PLATFORM.organisation
            organisations = [
                received.field(field).decode() for received in target.received
            ]
            print(json.dumps(organisations), flush=True)


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1:]))
