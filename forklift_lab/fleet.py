"""Starts and ends the processes of an experiment on loopback."""

import asyncio
import dataclasses
import pathlib
import signal
import socket
import sys
import tempfile

from forklift.shell import client

HOST = "127.0.0.1"
START_TIMEOUT = 40.0


@dataclasses.dataclass(frozen=True)
class Place:
    """One instance: a process and the target beside it.

    Attributes:
        name: Name of process and target.
        service: Service of the target.
        domain: Failure domain.
        caller: Address for callers.
        peer: Address for peers' requests.
        control: Address for control messages.
        admin: Admin address.
        target: Address of the target.
    """

    name: str
    service: str
    domain: str
    caller: str
    peer: str
    control: str
    admin: str
    target: str


def free_addresses(count: int) -> list[str]:
    """Loopback addresses whose ports are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((HOST, 0))
    addresses = [f"{HOST}:{opened.getsockname()[1]}" for opened in sockets]
    for opened in sockets:
        opened.close()
    return addresses


def places(services: dict[str, int], domains: list[str]) -> list[Place]:
    """Places for so many targets of each service, over failure domains."""
    count = sum(services.values())
    addresses = iter(free_addresses(count * 5))
    found = []
    for service, targets in services.items():
        for number in range(targets):
            found.append(
                Place(
                    f"{service}-{number + 1}",
                    service,
                    domains[number % len(domains)],
                    *(next(addresses) for _ in range(5)),
                )
            )
    return found


class Fleet:
    """Processes on this machine, all ended when the block is left."""

    def __init__(self, log: str, key: str = ""):
        self.log = log
        self.key = key
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="forklift-lab-")
        self.folder = pathlib.Path(self._folder.name)

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.process_by_name.values():
            if process.returncode is None:
                process.kill()
        for process in self.process_by_name.values():
            await process.wait()
        self._folder.cleanup()

    async def lab(self, name: str, *arguments: str) -> None:
        """Starts a stand-in of this package."""
        code = "import forklift_lab; forklift_lab.main()"
        await self.start(name, sys.executable, "-c", code, *arguments)

    async def node(self, place: Place, join: tuple[str, ...] = ()) -> None:
        """Starts `forklift run` at a place."""
        path = self.folder / f"{place.name}.ini"
        path.write_text(settings_text(place, self.log, join, self.key))
        await self.start(
            place.name, sys.executable, "-m", "forklift", "run", str(path)
        )

    def terminate(self, name: str) -> None:
        """Asks a process to stop as planned."""
        self.process_by_name[name].send_signal(signal.SIGTERM)

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        self.process_by_name[name].kill()

    def pause(self, name: str) -> None:
        """Freezes a process."""
        self.process_by_name[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a frozen process go on."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def log_of(self, name: str) -> str:
        """What a process has logged."""
        return (self.folder / f"{name}.log").read_text()

    async def start(self, name: str, *command: str) -> None:
        """Starts a program; its output goes to a file of its name."""
        with (self.folder / f"{name}.log").open("ab") as out:
            process = await asyncio.create_subprocess_exec(
                *command, stdout=out, stderr=out
            )
        self.process_by_name[name] = process


def settings_text(
    place: Place, log: str, join: tuple[str, ...] = (), key: str = ""
) -> str:
    """Settings of the process at a place."""
    return f"""[process]
name = {place.name}
domain = {place.domain}
caller = {place.caller}
peer = {place.peer}
control = {place.control}
admin = {place.admin}
join = {",".join(join)}
{f"key = {key}" if key else ""}

[log]
address = {log}
"""


async def wait_until(check, timeout: float = START_TIMEOUT) -> None:
    """Waits until an async check holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(timeout):
        while not await check():
            await asyncio.sleep(0.05)


async def answers(address: str, path: str = "/healthz") -> bool:
    """Whether a GET is answered with 200."""
    asker = client.Client(address)
    try:
        return (await asker.request("GET", path, timeout=1.0)).status == 200
    except client.Failed:
        return False
    finally:
        asker.close()
