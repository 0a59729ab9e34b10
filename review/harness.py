"""Stand-ins and helpers of the review's scripts.

A `Deployment` is a few machines on loopback addresses of their own. On each
one the project's program runs as a separate process, started with the command
and the settings of the deploy file, beside a stand-in of an application
server. The platform's store is the project's stand-in.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

from forklift.shell import server as http_server
from forklift_lab import store as lab_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUNDS = {
    "grace-s": 6,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-slack": 56,
}
HEARTBEAT_MS = 1500
START_WITHIN = 30.0
# A script ends earlier; one that hangs could not run.
LIMIT_SECONDS = 110.0
_END = b"\r\n\r\n"
_FAILURES = (OSError, TimeoutError, asyncio.IncompleteReadError)


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


def fill(template: str, fields: dict) -> str:
    """Fills the settings template as the deploy page says."""

    def section(found: re.Match) -> str:
        return found[2] if _look_up(fields, found[1]) else ""

    pattern = r"\{\{#([\w.-]+)\}\}\n(.*?)\{\{/\1\}\}\n"
    text = re.sub(pattern, section, template, flags=re.DOTALL)
    return re.sub(
        r"\{\{([\w.-]+)\}\}", lambda one: _text(_look_up(fields, one[1])), text
    )


def _look_up(fields: dict, path: str):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
    return value


def _text(value) -> str:
    return "" if value is None else str(value)


def field(head: bytes, name: str) -> str:
    """The value of a header field; empty where there is none."""
    pattern = rb"\r\n" + re.escape(name.encode()) + rb":[ \t]*([^\r]*)"
    found = re.search(pattern, head, re.IGNORECASE)
    return found[1].decode() if found else ""


async def read_message(reader) -> tuple[bytes, bytes]:
    """One message with a length, or with none and no body."""
    head = await reader.readuntil(_END)
    size = int(field(head, "content-length") or 0)
    return head, await reader.readexactly(size)


class Server:
    """An application server: slots, a short queue, one start of its life.

    It runs a request once the whole of it has arrived and a slot is free, and
    stops its work when the connection closes.
    """

    def __init__(self, machine: "Machine", slots: int, work):
        self.machine = machine
        self.id = f"i-{secrets.token_hex(5)}"
        self.slots = slots
        # Seconds of work for a request, given its head.
        self.work = work
        # How many times as long as usual its work takes.
        self.slowness = 1.0
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.arrived: list[dict] = []
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listens, and announces itself to the machine."""
        host, port = self.machine.app.split(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )
        self._spawn(self._beat())

    def close(self) -> None:
        """Ends the server with all that it runs."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while self.state != "left":
            with contextlib.suppress(*_FAILURES):
                await self._call("Heartbeat", self._check_in())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _check_in(self) -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                "address": self.machine.app,
                "info": {
                    "service": self.machine.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "cold-remaining-ms": 0,
                },
            }
        ).encode()

    async def _call(self, what: str, body: bytes) -> int:
        """Calls the machine; returns the status of its answer."""
        host, port = self.machine.control.split(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"POST /Instances.{what}/{self.id} HTTP/1.1\r\n"
                f"Host: {host}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            head, _ = await read_message(reader)
            writer.close()
        return int(head.split()[1])

    def hold_back_check_in(self):
        """Sends a check-in; returns what lets it arrive."""
        body = self._check_in()

        async def arrive() -> int:
            return await self._call("Heartbeat", body)

        return arrive

    async def leave(self) -> int:
        """Says that it leaves, and serves on; returns the status."""
        self.state = "left"
        return await self._call("Deregister", b"")

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while True:
                head = await reader.readuntil(_END)
                if head.startswith(b"GET /health "):
                    writer.write(
                        b"HTTP/1.1 "
                        + (b"200 OK" if self.state == "ready" else b"503 X")
                        + b"\r\nForklift-Instance-Id: "
                        + self.id.encode()
                        + b"\r\nForklift-Server-Load: "
                        + self._load()
                        + b"\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                await self._request(reader, writer, head)
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    def _load(self) -> bytes:
        return f"{self.running},{self.waiting},{self.slots}".encode()

    async def _request(self, reader, writer, head: bytes) -> None:
        record = self.machine.deployment.record
        request_id = field(head, "Forklift-Attempt-Id")
        line = head.partition(b"\r\n")[0].decode()
        entry = {
            "id": request_id,
            "at": record.now(),
            "line": line,
            "server": self.id,
            "body": None,
            "whole_at": None,
            "ended_at": None,
        }
        self.arrived.append(entry)
        record.write(f"server {self.id} gets the head of {request_id}: {line}")
        if field(head, "Forklift-Expected-Instance") != self.id:
            writer.write(self._answer(request_id, b"421 Misdirected Request"))
            raise ConnectionError("another server has the address")
        body = await self._read_body(reader, head)
        entry["whole_at"], entry["body"] = record.now(), body
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        record.write(f"server {self.id} runs {request_id}, body {len(body)}")
        closed = asyncio.create_task(reader.read(1))
        try:
            done, _ = await asyncio.wait(
                (closed,), timeout=self.work(head) * self.slowness
            )
            entry["ended_at"] = record.now()
            if done:
                record.write(f"server {self.id} drops {request_id}: closed")
                raise ConnectionError("closed")
            record.write(f"server {self.id} ends {request_id}")
        finally:
            closed.cancel()
            self.running -= 1
            self._free.release()
        writer.write(self._answer(request_id, b"200 OK"))
        await asyncio.gather(closed, return_exceptions=True)
        if self.state != "ready":
            await writer.drain()
            raise ConnectionError("a server that leaves closes")

    async def _read_body(self, reader, head: bytes) -> bytes:
        if field(head, "transfer-encoding").lower() != "chunked":
            size = int(field(head, "content-length") or 0)
            return await reader.readexactly(size)
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body

    def _answer(self, request_id: str, status: bytes) -> bytes:
        body = f"{self.id} {request_id}".encode()
        return (
            b"HTTP/1.1 "
            + status
            + b"\r\nForklift-Attempt-Id: "
            + request_id.encode()
            + b"\r\nForklift-Response-Signature: s."
            + request_id.encode()
            + b"\r\nForklift-Server-Load: "
            + self._load()
            + (b"" if self.state == "ready" else b"\r\nConnection: close")
            + f"\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


class Machine:
    """One machine: the project's process and the server beside it."""

    def __init__(self, deployment: "Deployment", number: int, service: str):
        self.deployment = deployment
        self.ip = f"{deployment.net}.{number}"
        self.zone = ("plateau", "almadies", "diamniadio")[number % 3]
        self.name = f"sidecar-{self.zone}-{number}"
        self.service = service
        ports = _free_ports(self.ip, 7)
        (
            self.app,
            self.inbound,
            self.outbound,
            self.readiness,
            self.control,
            first,
            last,
        ) = [f"{self.ip}:{port}" for port in ports]
        self.ports = [int(one.rpartition(":")[2]) for one in (first, last)]
        self.process: asyncio.subprocess.Process | None = None
        self.server: Server | None = None

    def fields(self) -> dict:
        """What the platform's settings file says."""
        return {
            "node-id": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "port-range": self.ports,
            "listen": {
                "inbound": self.inbound,
                "outbound": self.outbound,
                "readiness": self.readiness,
                "control": self.control,
            },
            "platform": {"address": self.deployment.store_address},
            "service": self.service,
            "app-addr": self.app,
            "heartbeat-ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
        }

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        role = self.deployment.role
        path = self.deployment.folder / f"{self.name}.ini"
        template = (ROOT / role["template"]).read_text()
        path.write_text(fill(template, self.fields()))
        words = [
            str(path) if word == "/etc/forklift/boot.toml" else word
            for word in role["run"].split()
        ]
        log = (self.deployment.folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.deployment.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FORKLIFT_CONFIG": str(path),
        }
        words[0] = sys.executable
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    async def is_ready(self) -> bool:
        """Whether the process says that it is ready."""
        host, port = self.readiness.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head, _ = await read_message(reader)
                writer.close()
                return b" 200 " in head.partition(b"\r\n")[0]
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.deployment.record.write(
                f"{self.name} gets {signal.Signals(number).name}"
            )
            self.process.send_signal(number)


def _free_ports(ip: str, count: int) -> list[int]:
    held = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        held.append(one)
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Deployment:
    """Machines, their servers and the store; all end with the context."""

    def __init__(
        self,
        record: Record,
        services: list[str],
        configuration: dict,
        slots: int,
        work,
    ):
        self.record = record
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.role = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]["forklift"]
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = lab_store.Store()
        self.store.configure(configuration)
        self._store_server = http_server.Server(self.store.handle)
        self.store_address = ""
        self._slots, self._work = slots, work
        self._services = services
        self.machines: list[Machine] = []

    async def __aenter__(self) -> "Deployment":
        await self._store_server.open(f"{self.net}.254:0")
        self.store_address = self._store_server.address
        try:
            for number, service in enumerate(self._services, 1):
                machine = Machine(self, number, service)
                self.machines.append(machine)
                machine.server = Server(machine, self._slots, self._work)
                await machine.server.open()
            for machine in self.machines:
                await machine.start()
            async with asyncio.timeout(START_WITHIN):
                for machine in self.machines:
                    while not await machine.is_ready():
                        await asyncio.sleep(0.1)
        except TimeoutError as error:
            await self._end()
            raise CannotRun("the machines do not get ready") from error
        except BaseException:
            await self._end()
            raise
        # Servers announce themselves, and machines learn of each other.
        await asyncio.sleep(4.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._end()

    async def _end(self) -> None:
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                await process.wait()
            if machine.server is not None:
                machine.server.close()
        self._store_server.abort()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def reset(writer) -> None:
    """Ends a connection with a reset."""
    end = writer.get_extra_info("socket")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def require_service(results: list[str]) -> None:
    """Raises `CannotRun` unless most clients were served."""
    served = results.count("200")
    if 2 * served < len(results):
        raise CannotRun(f"only {served} of {len(results)} were served")


def run(case, folder: pathlib.Path) -> int:
    """Runs a case; returns its exit status."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"with the disruption: {trouble}")

    async def limited() -> bool:
        # What was started ends also if the script is told to end.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(LIMIT_SECONDS):
            return await case(record, trouble)

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    else:
        record.write("the rule was broken" if broken else "the rule held")
        return int(broken)
    finally:
        record.close()
