"""Runs real `forklift` processes on this machine, each beside a target.

The stand-ins of store and targets live in the calling process; they speak the
platform's protocol, which is why they use the platform's names.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from forklift.platform import platform_headers
from forklift.shell import client
from forklift.shell import server
from forklift.shell import tcp_stream
from forklift_lab import relay
from forklift_lab import scripted
from forklift_lab import store

# Seconds from a planned stop until a process must be gone.
GRACE = 8.0
PROGRAM = (sys.executable, "-m", "forklift")
HEARTBEAT_EVERY = 0.5
# What processes are told of it: longer, so that their leases are.
HEARTBEAT_MS = 1500
# The number of a target's first heartbeat: one that has run for long.
FIRST_SEQUENCE = 1000
# Unix milliseconds of the first start of all targets.
BORN = 1_700_000_000_000
_SETTINGS = """[process]
name = {place.name}
domain = {place.domain}
caller = {place.caller}
peer = {place.peer}
peer_public = {peer_public}
control_public = {control_public}
control = {place.control}
admin = {place.admin}

[platform]
store = {store}
heartbeats = {place.heartbeats}
ready = {place.ready}
service = {place.service}
target = {target}
grace = {grace}
heartbeat_ms = {heartbeat_ms}

[budget]
ratio = 0.2
window = 10
reserve = 50

[overload]
mode = {overload}
"""


@dataclasses.dataclass(frozen=True)
class Place:
    """Names and addresses of one process.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        service: Service of the target beside it.
        caller: Address for callers.
        peer: Address for peers.
        control: Address for control messages.
        admin: Address for operators.
        heartbeats: Address for heartbeats of the target.
        ready: Address for questions of readiness.
    """

    name: str
    domain: str
    service: str
    caller: str
    peer: str
    control: str
    admin: str
    heartbeats: str
    ready: str


_LISTENERS = ("caller", "peer", "control", "admin", "heartbeats", "ready")
# The system chooses the ports.
_ANY = "127.0.0.1:0"
_POLL = 0.02
# Signals after which a process answers its callers and exits with status 0.
_GRACEFUL = (signal.SIGTERM, signal.SIGINT)
# Lines of a log that tell of an unexpected end: a traceback of all threads.
_LAST_LINES = 20
START_WITHIN = 60.0
ROUTE_TIMEOUT_MS = 3000


def configuration(
    version: int, service: str, kind_by_name: dict[str, str]
) -> dict:
    """The operator's record.

    Args:
        version: Its version.
        service: The service that all routes lead to.
        kind_by_name: Kind of each route; its path prefix is its name.
    """
    routes = {
        name: {
            "host": "h",
            "path-prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout-ms": ROUTE_TIMEOUT_MS,
            "target-latency-ms": 800,
            "retry-attempts": 2,
        }
        for name, kind in kind_by_name.items()
    }
    services = {service: {"health-check": "/health"}}
    return {"version": version, "routes": routes, "services": services}


def target_name(process: str) -> str:
    """Name of the target beside a process."""
    return f"i-{process}"


def listens(log: pathlib.Path) -> bool:
    """Whether a run that writes a log has said that it listens."""
    return '"event": "listening"' in log.read_text()


@dataclasses.dataclass(frozen=True)
class Relays:
    """What stands between one process and all that it speaks to.

    Attributes:
        store: Its way to the store.
        target: Its way to the target beside it.
        peer: The way of its peers to it.
        control: The way of control messages of its peers to it.
    """

    store: relay.Relay
    target: relay.Relay
    peer: relay.Relay
    control: relay.Relay

    def between(self) -> tuple[relay.Relay, ...]:
        """Those on its ways to the store and from its peers."""
        return (self.store, self.peer, self.control)

    def all(self) -> tuple[relay.Relay, ...]:
        """All of them."""
        return (*self.between(), self.target)


@dataclasses.dataclass(frozen=True)
class UnexpectedEnd:
    """A process that ended otherwise than it was made to end.

    Attributes:
        name: Its name.
        status: Its exit status; negative for the number of a signal.
        expected: Exit status that it was made to end with; None if it was not
            made to end.
        last_lines: Last lines of its log.
    """

    name: str
    status: int
    expected: int | None
    last_lines: str

    def __str__(self) -> str:
        expected = "no end" if self.expected is None else self.expected
        return (
            f"{self.name} ended with status {self.status}, expected "
            f"{expected}: {self.last_lines}"
        )


class ProcessesEnded(Exception):
    """Processes ended otherwise than they were made to end."""

    def __init__(self, ends: list[UnexpectedEnd]):
        super().__init__("; ".join(str(end) for end in ends))


class Programs:
    """A store, targets and processes; all end with the context.

    The context raises `ProcessesEnded` if a process ended unexpectedly.

    Args:
        relayed: Whether a relay stands on each way of each process.
        heartbeat_ms: Milliseconds between two heartbeats, as processes are
            told.
        overload: Mode of overload control of the processes.
        target_address_by_name: Addresses of targets that run elsewhere, by the
            process that they are beside. Their stand-ins here only send
            heartbeats.
    """

    def __init__(
        self,
        relayed: bool = False,
        heartbeat_ms: int = HEARTBEAT_MS,
        overload: str = "auto",
        target_address_by_name: Mapping[str, str] | None = None,
    ):
        self._target_address_by_name = target_address_by_name or {}
        self._heartbeat_ms = heartbeat_ms
        self._overload = overload
        self.store = store.Store()
        self._relayed = relayed
        self.relays_by_name: dict[str, Relays] = {}
        self.places: list[Place] = []
        self.target_by_name: dict[str, scripted.ScriptedTarget] = {}
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task] = set()
        self._watchers: list[asyncio.Task] = []
        self._expected_status_by_pid: dict[int, int] = {}
        self._unexpected_ends: list[UnexpectedEnd] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="forklift-"))

    async def __aenter__(self) -> "Programs":
        self.server = server.Server(self.store.handle)
        await self.server.open("127.0.0.1:0")
        return self

    async def __aexit__(self, error_type: type | None, *_: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        for name, process in self.process_by_name.items():
            if process.returncode is None:
                await self.stop(name, signal.SIGKILL)
        await asyncio.gather(*self._watchers)
        await self._stack.aclose()
        self.server.abort()
        ends = self.take_unexpected_ends()
        if ends and error_type is None:
            raise ProcessesEnded(ends)

    async def add(
        self, name: str, domain: str, service: str, program=PROGRAM
    ) -> Place:
        """Starts a target, and a process beside it."""
        target = scripted.ScriptedTarget(
            names=platform_headers.PLATFORM,
            name=target_name(name),
            strict=True,
            born=BORN,
        )
        target.sequence = FIRST_SEQUENCE
        target.public = self._target_address_by_name.get(name, "")
        await self._stack.enter_async_context(target)
        self.target_by_name[name] = target
        if self._relayed:
            self.relays_by_name[name] = await self._relays(target)
        found = self._placed(name, domain, service)
        if self._relayed:
            self.relays_by_name[name].peer.target = found.peer
            self.relays_by_name[name].control.target = found.control
        await self.start(found, program)
        log = self.folder / f"{name}.log"
        async with asyncio.timeout(START_WITHIN):
            while not listens(log):
                await asyncio.sleep(_POLL)
        self.places.append(found)
        task = asyncio.create_task(self._beat(found, target))
        self._tasks.add(task)
        return found

    def _placed(self, name: str, domain: str, service: str) -> Place:
        """A place whose ports stay its own while its process is down.

        Else the system gives them to whoever connects to another meanwhile.
        """
        address_by_listener = {}
        for listener in _LISTENERS:
            held = self._stack.enter_context(socket.socket())
            # A process may listen on what is bound so, and not listened on.
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind(tcp_stream.split_address(_ANY))
            host, port = held.getsockname()
            address_by_listener[listener] = f"{host}:{port}"
        return Place(name, domain, service, **address_by_listener)

    async def start(self, found: Place, program=PROGRAM) -> None:
        """Starts the process of a place, where it listened before."""
        path = self.folder / f"{found.name}.ini"
        target = self.target_by_name[found.name]
        relays = self.relays_by_name.get(found.name)
        # The process reaches its target through a relay, if there is one.
        target_address = target.public or target.address
        path.write_text(
            _SETTINGS.format(
                place=found,
                store=relays.store.address if relays else self.server.address,
                target=target_address,
                peer_public=relays.peer.address if relays else "",
                control_public=relays.control.address if relays else "",
                grace=GRACE,
                heartbeat_ms=self._heartbeat_ms,
                overload=self._overload,
            )
        )
        log = (self.folder / f"{found.name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *program, "run", str(path), stdout=log, stderr=log
        )
        log.close()
        self.process_by_name[found.name] = process
        watcher = asyncio.create_task(self._watch(found.name, process))
        self._watchers.append(watcher)

    async def _watch(
        self, name: str, process: asyncio.subprocess.Process
    ) -> None:
        """Records the end of a process if nothing here brought it about."""
        status = await process.wait()
        expected = self._expected_status_by_pid.pop(process.pid, None)
        if status != expected:
            log = (self.folder / f"{name}.log").read_text(errors="replace")
            last_lines = "\n".join(log.splitlines()[-_LAST_LINES:])
            self._unexpected_ends.append(
                UnexpectedEnd(name, status, expected, last_lines)
            )

    def take_unexpected_ends(self) -> list[UnexpectedEnd]:
        """Returns the unexpected ends since the last call."""
        ends, self._unexpected_ends = self._unexpected_ends, []
        return ends

    async def _relays(self, target: scripted.ScriptedTarget) -> Relays:
        enter = self._stack.enter_async_context
        made = Relays(
            await enter(relay.Relay(self.server.address)),
            await enter(relay.Relay(target.address)),
            await enter(relay.Relay()),
            await enter(relay.Relay(datagrams=True)),
        )
        target.public = made.target.address
        return made

    async def stop(self, name: str, number: int = signal.SIGTERM) -> int:
        """Ends a process by a signal; returns its exit status."""
        process = self.process_by_name[name]
        if process.returncode is None:
            expected = 0 if number in _GRACEFUL else -number
            self._expected_status_by_pid[process.pid] = expected
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
        return await process.wait()

    async def ready(self, found: Place) -> bool:
        """Whether a process says that it is ready."""
        asker = client.Client(found.ready)
        try:
            answer = await asker.request("GET", "/ready", timeout=1.0)
            return answer.status == 200
        except client.RequestFailed:
            return False
        finally:
            asker.close()

    async def deregister(self, found: Place) -> Callable[[], Awaitable[None]]:
        """The target beside a process says that it leaves, and serves on.

        Returns:
            Sends the heartbeat that it sent before, which is late.

        Raises:
            client.RequestFailed: That it leaves was not acknowledged.
        """
        target = self.target_by_name[found.name]
        incarnation = target.incarnation
        late = target.heartbeat(found.service, found.domain)
        target.leaving = target.silent = True

        async def call(method: str, body: bytes) -> client.Response:
            asker = client.Client(found.heartbeats)
            path = f"/Instances.{method}/{incarnation.target}"
            try:
                return await asker.request("POST", path, body, timeout=1.0)
            finally:
                asker.close()

        async def send_late() -> None:
            with contextlib.suppress(client.RequestFailed):
                await call("Heartbeat", late)

        answer = await call("Deregister", b"")
        if answer.status != 200:
            raise client.RequestFailed(f"status {answer.status}")
        target.left_at_by_incarnation.setdefault(
            incarnation, asyncio.get_running_loop().time()
        )
        return send_late

    async def _beat(
        self, found: Place, target: scripted.ScriptedTarget
    ) -> None:
        """Announces a target to the process beside it, for ever."""
        asker = client.Client(found.heartbeats)
        loop = asyncio.get_running_loop()
        incarnation = target.incarnation
        while True:
            if target.down or target.silent:
                await asyncio.sleep(HEARTBEAT_EVERY)
                continue
            if incarnation != target.incarnation:
                # The numbers of each life begin anew.
                target.sequence = 0
            incarnation, leaving = target.incarnation, target.leaving
            body = target.heartbeat(found.service, found.domain)
            with contextlib.suppress(client.RequestFailed):
                path = f"/Instances.Heartbeat/{incarnation.target}"
                answer = await asker.request("POST", path, body, timeout=1.0)
                if answer.status == 200:
                    target.known_at_by_incarnation.setdefault(
                        incarnation, loop.time()
                    )
                if leaving and answer.status == 200:
                    target.left_at_by_incarnation.setdefault(
                        incarnation, loop.time()
                    )
            await asyncio.sleep(HEARTBEAT_EVERY)
