"""Real processes whose targets call other services while they run a request.

The target of process 0 serves `outer`, that of process 1 serves `inner` and has
one slot. Both make the calls that the field `x-calls` of a request names,
through the process beside them.
"""

import asyncio
import dataclasses

from forklift import heartbeats
from forklift.platform import configuration
from forklift.shell import client
from forklift.shell import proxy
from forklift_lab import scripted
from test import processes

SERVICES = ("outer", "inner")
# Seconds until requests time out if they name no timeout.
TIMEOUT = 60.0


def route(path: str, service: str, priority: int, **changes) -> dict:
    return processes.route(
        **{
            "path-prefix": f"/{path}/",
            "service": service,
            "priority": priority,
            "timeout-ms": TIMEOUT * configuration.MILLISECONDS_PER_SECOND,
            "target-latency-ms": TIMEOUT
            * configuration.MILLISECONDS_PER_SECOND,
            **changes,
        }
    )


def record(version: int = 1, bulk: bool = True) -> dict:
    """Returns a configuration; overload control is on if a route is bulk."""
    kind = "download" if bulk else "idempotent"
    return {
        "version": version,
        "routes": {
            "outer": route("outer", "outer", 0),
            "called": route("called", "inner", 2),
            "direct": route("direct", "inner", 1),
            "bulk": route("bulk", "inner", 3, kind=kind),
        },
        "services": {name: {} for name in SERVICES},
    }


# Where targets send their calls: to the process beside them, whose port changes
# with a restart.
_address_by_process: dict[int, str] = {}


@scripted.fault("calling-once-released")
async def _calling_once_released(
    connection: scripted.Connection, received: scripted.Received
) -> None:
    await connection.release.wait()
    await _calling(connection, received)


@scripted.fault("calling-anyway")
async def _calling_anyway(
    connection: scripted.Connection, received: scripted.Received
) -> None:
    """Makes the calls of a request, and answers well without them, too.

    The target thus stays healthy while its calls are refused.
    """
    await _make_calls(connection, received)
    connection.send(connection.answer(received))


@scripted.fault("calling")
async def _calling(
    connection: scripted.Connection, received: scripted.Received
) -> None:
    """Makes the calls of a request, and fails if one of them is refused."""
    failed = not await _make_calls(connection, received)
    connection.send(connection.answer(received, 500 if failed else 200))


async def _make_calls(
    connection: scripted.Connection, received: scripted.Received
) -> bool:
    """Makes the calls that a request names; returns whether all are served."""
    name = connection.names.deadline
    path, count = received.field(b"x-calls").decode().split()
    number = int(received.field(connection.names.expected)[1:])
    one = client.Client(_address_by_process[number])
    elapsed = asyncio.get_running_loop().time() - received.at
    left = int(received.field(name)) - round(elapsed * 1000)
    fields = ((name.decode(), str(left)),)
    responses = await asyncio.gather(
        *(
            one.request("GET", path, headers=fields, host="h", timeout=TIMEOUT)
            for _ in range(int(count))
        )
    )
    one.close()
    return all(response.status == 200 for response in responses)


class Fleet(processes.Fleet):
    """Two processes: one beside a calling target, one beside a called one."""

    slots_by_target: tuple[int, ...] = (6, 1)

    async def start(self, number: int) -> proxy.Proxy:
        process = await super().start(number)
        _address_by_process[number] = process.caller_address
        return process

    async def restart(self, number: int) -> proxy.Proxy:
        """Closes a process without notice and starts its successor."""
        await self.proxies[number].close()
        process = await self.start(number)
        self.proxies[number] = self.proxies.pop()
        return process

    def announce(self, process: proxy.Proxy, number: int, **changes) -> None:
        changes.setdefault("service", SERVICES[number])
        changes.setdefault("slots", self.slots_by_target[number])
        super().announce(process, number, **changes)

    def is_ready(self) -> bool:
        return all(
            process.active_catalog.loaded
            and all(process.balancer.views(name) for name in SERVICES)
            for process in self.proxies
        )

    async def send(
        self,
        path: str,
        number: int = 0,
        calls: int = 1,
        called: str = "/called/",
        timeout: float = TIMEOUT / 2,
    ) -> client.Response:
        """Sends a request of a caller that names its timeout."""
        caller = client.Client(self.proxies[number].caller_address)
        name = self.targets[0].names.deadline.decode()
        fields = (
            (name, str(round(timeout * 1000))),
            ("x-calls", f"{called} {calls}"),
        )
        try:
            return await caller.request(
                "GET", path, headers=fields, host="h", timeout=TIMEOUT
            )
        finally:
            caller.close()

    def arrivals(self, number: int) -> list[str]:
        """Paths of the requests that a target received, in order."""
        return [
            received.head.split(b" ")[1].decode()
            for received in self.targets[number].received
        ]


def incarnation(number: int, born: int) -> heartbeats.TargetIncarnation:
    return heartbeats.TargetIncarnation(f"t{number}", born)


def with_mode(process: proxy.Proxy, mode) -> None:
    """Applies a mode of overload control as a reload does."""
    changed = dataclasses.replace(
        process.settings,
        overload=dataclasses.replace(process.settings.overload, mode=mode),
    )
    process.reload(changed)
