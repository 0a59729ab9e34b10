"""A small deployment on loopback: real processes, stand-ins around them.

The processes are started with the command and the settings of `deploy/`. The
stand-ins of servers, clients and the store follow the users' pages.
"""

import asyncio
import base64
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_SECONDS = 1.5
# Seconds that a start of the whole deployment may take.
START_TIMEOUT = 25.0
# Ports of every machine; machines differ by their loopback addresses.
APP, INBOUND, OUTBOUND = 8145, 8146, 8147
READY, CONTROL, STORE = 8141, 8144, 8142
PORT_RANGE = (7380, 7395)
SERVICE = "huvo11a"
HOST = "ficu95.example"
SAFE, UNSAFE = "/lohu930/", "/pufi791/"
_GAP = re.compile(r"\{\{([^{}#/^]+)\}\}")
_SECTION = re.compile(r"\{\{#([^{}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
_LENGTH = struct.Struct("!I")
_BOUNDS = struct.Struct("!QQ")


class CannotRun(Exception):
    """The deployment did not come up."""


class Record:
    """The record of one run: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._started = time.monotonic()
        self.lines: list[str] = []

    def write(self, kind: str, **fields) -> None:
        """Adds a line with the seconds since the start."""
        seconds = time.monotonic() - self._started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{seconds:8.3f} {kind:10} {text}".rstrip())

    def save(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self.lines) + "\n")


# HTTP/1.1, as far as the stand-ins need it.


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        start: The first line.
        headers: Values by name in lower case.
        body: The body.
        complete: Whether it ended as its head says.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").strip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Message(start, headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, to_end: bool = False
) -> None:
    """Reads the body of a message; clears `complete` if it ends early."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                message.body += data[:-2]
                if not size:
                    return
        elif "content-length" in message.headers:
            length = int(message.headers["content-length"])
            message.body = await reader.readexactly(length)
        elif to_end:
            message.body = await reader.read(-1)
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.complete = False
    except (ConnectionError, ValueError):
        message.complete = False


def encode(start: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Encodes a message whose body has a length."""
    fields = {**headers, "Content-Length": len(body)}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start}\r\n{head}\r\n".encode("latin-1") + body


async def call(
    address: tuple[str, int], data: bytes, timeout: float
) -> Message | None:
    """Sends one request on a new connection; None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            answer = await read_head(reader)
            if answer is None:
                return None
            await read_body(reader, answer, to_end=True)
            return answer if answer.complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform's store.


class Store:
    """The log store: appends, reads and the newest record of each key.

    Attributes:
        away: Whether connections are closed without an answer.
        era: Rises each time that the store comes back from a copy.
    """

    def __init__(self, ip: str):
        self.address = (ip, STORE)
        self.away = False
        self.era = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._records: dict[str, list[bytes]] = {}
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a keyed record, as the operator does."""
        name = key.encode()
        self._append(topic, [bytes((len(name),)) + name + value])

    def configure(self, record: dict) -> None:
        """Writes the configuration."""
        self.put("keyed.op", "config", json.dumps(record).encode())

    def copied(self) -> dict[str, list[bytes]]:
        """A copy of all records."""
        return {topic: list(log) for topic, log in self._records.items()}

    def go_away(self) -> None:
        """Closes all connections, and each new one, without an answer."""
        self.away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy: dict[str, list[bytes]] | None = None) -> None:
        """Answers again; with a copy, what was written since is gone."""
        self.away = False
        if copy is not None:
            self._records = copy
            self.era += 1

    def _append(self, topic: str, records: list[bytes]) -> tuple[int, int]:
        log = self._records.setdefault(topic, [])
        offset = len(log)
        log += records
        self._news.set()
        self._news = asyncio.Event()
        return offset, len(log)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if self.away:
                    break
                status, media, body = await self._answer(request)
                headers = {"Content-Type": media, "Store-Era": self.era}
                writer.write(encode(f"HTTP/1.1 {status} Done", headers, body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, str, bytes]:
        target = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(target.query))
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if target.path == "/log-append":
            if "as-of" in query and int(query["as-of"]) != len(
                self._records.get(topic, ())
            ):
                return 412, "application/json", b"{}"
            offset, end = self._append(topic, _split(request.body))
            body = json.dumps({"offset": offset, "end": end}).encode()
            return 200, "application/json", body
        if target.path == "/log-newest":
            return 200, "application/json", self._newest(topic)
        if target.path == "/log-read":
            return await self._read(topic, query)
        return 404, "application/json", b"{}"

    def _newest(self, topic: str) -> bytes:
        newest = {}
        log = self._records.get(topic, [])
        for offset, record in enumerate(log):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "has-more": False, "end": len(log)}
        return json.dumps(page).encode()

    async def _read(
        self, topic: str, query: dict[str, str]
    ) -> tuple[int, str, bytes]:
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while len(self._records.get(topic, ())) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._news.wait(), left)
            except TimeoutError:
                break
        log = self._records.get(topic, [])
        if start > len(log):
            return 410, "application/json", b'{"first":0}'
        raw = _BOUNDS.pack(len(log), 0)
        for record in log[start:]:
            raw += _LENGTH.pack(len(record)) + record
        return 200, "application/octet-stream", raw


def _split(body: bytes) -> list[bytes]:
    records, start = [], 0
    while start < len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        records.append(body[start : start + size])
        start += size
    return records


# Servers.


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a server has begun to work on."""

    server: str
    attempt: str
    method: str
    path: str
    body: bytes
    caller: str
    at: float


class Server:
    """A server: it runs requests, answers them and says that it lives.

    Attributes:
        id: Its id.
        runs: The requests that it has begun to work on.
        work_seconds: How long it works on a request.
        respond: Writes the answer to a request that has run; the default is
            `answer`.
    """

    def __init__(self, machine: "Machine", slots: int, record: Record):
        self.machine = machine
        self.id = f"i-{secrets.token_hex(4)}"
        self.slots = slots
        self.runs: list[Run] = []
        self.work_seconds = 0.02
        self.body: Callable[[Message], bytes] = lambda request: (
            f"{self.id} {request.headers['forklift-attempt-id']}".encode()
        )
        self.respond: Callable[
            [Message, asyncio.StreamWriter], Awaitable[None]
        ] = self.answer
        self.state = "ready"
        self._record = record
        self._running = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def open(self) -> None:
        """Starts to listen and to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, APP
        )
        self._beats = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Ends at once."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_heartbeats(self) -> None:
        """Sends no further heartbeats by itself."""
        if self._beats is not None:
            self._beats.cancel()

    async def deregister(self) -> Message | None:
        """Says that it leaves; it goes on serving."""
        self.stop_heartbeats()
        self.state = "leaving"
        headers = {"Host": "control", "Content-Type": "application/json"}
        start = f"POST /Instances.Deregister/{self.id} HTTP/1.1"
        data = encode(start, headers, b"{}")
        return await call((self.machine.ip, CONTROL), data, 1.0)

    async def heartbeat(self) -> Message | None:
        """Sends one heartbeat."""
        return await call(
            (self.machine.ip, CONTROL), self.encoded_heartbeat(), 1.0
        )

    def encoded_heartbeat(self) -> bytes:
        """The next heartbeat."""
        self._sequence += 1
        body = {
            "address": f"{self.machine.ip}:{APP}",
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold-remaining-ms": 0,
            },
        }
        return encode(
            f"POST /Instances.Heartbeat/{self.id} HTTP/1.1",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    async def _beat(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def signature(self, request: Message) -> str:
        """Signature of the answer to a request."""
        attempt = request.headers["forklift-attempt-id"]
        text = f"{self.id} {attempt}".encode()
        return hashlib.sha256(text).hexdigest()[:24]

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the whole answer to a request that has run."""
        writer.write(self.encoded_answer(request))

    def encoded_answer(self, request: Message) -> bytes:
        """The whole answer to a request that has run."""
        headers = {
            "Forklift-Attempt-Id": request.headers["forklift-attempt-id"],
            "Forklift-Response-Signature": self.signature(request),
            "Forklift-Server-Load": f"{self._running},0,{self.slots}",
            "Keep-Alive": "timeout=10",
        }
        return encode("HTTP/1.1 200 OK", headers, self.body(request))

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await self._handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer) -> None:
        if request.path == "/health":
            headers = {
                "Forklift-Instance-Id": self.id,
                "Forklift-Server-Load": f"{self._running},0,{self.slots}",
            }
            status = 200 if self.state == "ready" else 503
            writer.write(encode(f"HTTP/1.1 {status} Health", headers))
            return
        expected = request.headers.get("forklift-expected-instance", self.id)
        if expected != self.id:
            headers = {"Forklift-Instance-Id": self.id}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        if not request.complete:
            return
        method, path, _ = request.start.split(" ")
        run = Run(
            self.id,
            request.headers.get("forklift-attempt-id", ""),
            method,
            path,
            request.body,
            request.headers.get("forklift-caller-service", ""),
            time.monotonic(),
        )
        self.runs.append(run)
        self._record.write(
            "run",
            server=self.id,
            attempt=run.attempt,
            request=f"{method} {path}",
        )
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
            await self.respond(request, writer)
        finally:
            self._running -= 1


# Machines and processes.


@dataclasses.dataclass
class Machine:
    """A machine: a server and the process beside it."""

    name: str
    ip: str
    zone: str
    service: str
    store: str
    work: pathlib.Path
    process: subprocess.Popen | None = None
    server: Server | None = None

    @property
    def caller(self) -> tuple[str, int]:
        """Address for clients and for calls of the server."""
        return self.ip, OUTBOUND

    def start(self) -> None:
        """Starts the process with the deploy file's command and settings."""
        role = _role()
        settings = self.work / f"{self.name}.ini"
        self.write_settings()
        command = [
            str(settings) if word == "/etc/forklift/boot.toml" else word
            for word in role["run"].split(" ")
        ]
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FORKLIFT_CONFIG": str(settings),
        }
        with (self.work / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def write_settings(self) -> None:
        """Fills the template of the settings, as the platform does."""
        template = (ROOT / _role()["template"]).read_text()
        settings = self.work / f"{self.name}.ini"
        filled = settings.with_suffix(".new")
        filled.write_text(_fill(template, self._fields()))
        filled.replace(settings)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the process says that it is ready."""
        data = encode("GET /ready HTTP/1.1", {"Host": "ready"})
        answer = await call((self.ip, READY), data, 1.0)
        return answer is not None and answer.status == 200

    def _fields(self) -> dict:
        return {
            "node-id": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "service": self.service,
            "app-addr": f"{self.ip}:{APP}",
            "heartbeat-ms": int(HEARTBEAT_SECONDS * 1000),
            "port-range": list(PORT_RANGE),
            "listen": {
                "inbound": f"{self.ip}:{INBOUND}",
                "outbound": f"{self.ip}:{OUTBOUND}",
                "readiness": f"{self.ip}:{READY}",
                "control": f"{self.ip}:{CONTROL}",
            },
            "platform": {"address": self.store},
            "bounds": {
                "grace-s": 6,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-slack": 56,
            },
        }


def _role() -> dict:
    """The role of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["forklift"]


def _look_up(fields: dict, path: str):
    value = fields
    for part in path.strip().split("."):
        is_list = isinstance(value, list)
        value = value[int(part)] if is_list else value.get(part)
        if value is None:
            return None
    return value


def _fill(template: str, fields: dict) -> str:
    """Fills a template of settings, as the pages tell it."""

    def fill_section(match: re.Match) -> str:
        value = _look_up(fields, match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

    def fill_gap(match: re.Match) -> str:
        value = _look_up(fields, match[1])
        return "" if value is None else str(value)

    return _GAP.sub(fill_gap, _SECTION.sub(fill_section, template))


def configuration(
    version: int = 7, services: tuple[str, ...] = (SERVICE,), **changes
) -> dict:
    """A configuration with one safe and one unsafe route to a service."""
    route = {
        "host": HOST,
        "timeout-ms": 5000,
        "target-latency-ms": 800,
        "priority": 1,
        "service": services[0],
        "retry-attempts": 2,
    }
    return {
        "version": version,
        "routes": {
            "r-safe": {**route, "path-prefix": SAFE, "kind": "idempotent"},
            "r-unsafe": {
                **route,
                "path-prefix": UNSAFE,
                "kind": "non_idempotent",
            },
        },
        "services": {
            name: {"health-check": "/health", "max-connections": 330}
            for name in services
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        **changes,
    }


class Deployment:
    """Machines, their servers and the store, in a temporary folder."""

    def __init__(self, record: Record, count: int, slots: int = 4):
        self.record = record
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="forklift-review-"))
        self._net = _free_net(count + 1)
        self.store = Store(f"{self._net}.250")
        zones = ("plateau", "almadies", "diamniadio")
        self.machines = [
            Machine(
                f"sidecar-{zones[number % 3]}-{number}",
                f"{self._net}.{10 + number}",
                zones[number % 3],
                SERVICE,
                f"{self._net}.250:{STORE}",
                self.work,
            )
            for number in range(count)
        ]
        for machine in self.machines:
            machine.server = Server(machine, slots, record)

    @property
    def runs(self) -> list[Run]:
        """What all servers have run, in order."""
        runs = [run for one in self.machines for run in one.server.runs]
        return sorted(runs, key=lambda run: run.at)

    async def open(self, record: dict | None = None) -> None:
        """Starts everything and waits until all processes serve.

        Raises:
            CannotRun: It takes too long.
        """
        await self.store.open()
        self.store.configure(record or configuration())
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.server.open()
        until = time.monotonic() + START_TIMEOUT
        for machine in self.machines:
            while not await machine.is_ready():
                if (
                    time.monotonic() > until
                    or machine.process.poll() is not None
                ):
                    raise CannotRun(f"{machine.name} does not get ready")
                await asyncio.sleep(0.1)
        # Servers are known everywhere after a heartbeat and some gossip.
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)
        self.record.write("started", machines=len(self.machines))

    def close(self) -> None:
        """Ends all processes that this deployment started."""
        for machine in self.machines:
            if machine.server is not None:
                machine.server.close()
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def _free_net(count: int) -> str:
    """Finds a loopback network whose addresses are free."""
    for _ in range(50):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for last in (10, 10 + count, 250):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{last}", OUTBOUND))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# Clients.


class Client:
    """A client that keeps one connection for many requests."""

    def __init__(self, machine: Machine, record: Record):
        self.machine = machine
        self._record = record
        self._streams = None

    async def send(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
        attempt: str = "",
    ) -> tuple[str, Message | None]:
        """Sends a request; returns its id and the whole answer, if any."""
        attempt = attempt or secrets.token_hex(8)
        fields = {
            "Host": HOST,
            "Forklift-Attempt-Id": attempt,
            "Forklift-Deadline-Ms": deadline_ms,
            **(headers or {}),
        }
        self._record.write(
            "sent",
            attempt=attempt,
            to=self.machine.name,
            request=method + " " + path,
        )
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                answer = await self._exchange(method, path, fields, body)
        except (OSError, TimeoutError):
            self.close()
        self._record.write(
            "answered",
            attempt=attempt,
            status=answer.status if answer else "none",
            signature=(
                answer.headers.get("forklift-response-signature", "none")
                if answer
                else "none"
            ),
            body=ascii(answer.body[:80].decode("latin-1")) if answer else "",
        )
        return attempt, answer

    async def _exchange(self, method, path, fields, body) -> Message | None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self.machine.caller)
        reader, writer = self._streams
        start = f"{method} {path} HTTP/1.1"
        if not body and method == "GET":
            lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"{start}\r\n{lines}\r\n".encode())
        else:
            writer.write(encode(start, fields, body))
        answer = await read_head(reader)
        if answer is None:
            self.close()
            return None
        await read_body(reader, answer)
        closing = answer.headers.get("connection", "").lower() == "close"
        if closing or not answer.complete:
            self.close()
        return answer if answer.complete else None

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Dose:
    """Picks some of the answers of a server, never more than a share."""

    def __init__(self, share: float):
        self._share = share
        self._answers = 0
        self._picked = 0

    def pick(self) -> bool:
        """Counts an answer; returns whether it is one of the share."""
        self._answers += 1
        if self._picked + 1 > self._share * self._answers:
            return False
        self._picked += 1
        return True


def is_troubled() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    folder: str,
    case: Callable[[Deployment, Record], Awaitable[bool]],
    count: int = 3,
    record: dict | None = None,
    slots: int = 4,
) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case.
        case: Returns whether the rule held.
        count: Number of machines.
        record: The configuration.
        slots: Slots of each server.
    """
    written = Record(pathlib.Path(folder) / "record.txt")
    written.write("case", trouble=int(is_troubled()))

    def end(number: int, frame: object) -> None:
        # The deployment is closed on the way out.
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)

    async def play() -> int:
        deployment = Deployment(written, count, slots)
        try:
            await deployment.open(record)
            held = await case(deployment, written)
            return HELD if held else BROKEN
        finally:
            deployment.close()

    try:
        result = asyncio.run(asyncio.wait_for(play(), 110))
    except (Exception, SystemExit) as error:
        # An error of the case itself must not look like a broken rule.
        written.write("not-run", why=repr(error))
        result = NOT_RUN
    written.write("result", exit=result)
    written.save()
    print("\n".join(written.lines[-6:]))
    sys.exit(result)
