"""A target that answers as a script says, byte by byte.

Each fault of a target that callers must not notice is one entry of a
registry; the script names the fault of each request in turn.
"""

import asyncio
import json
import re
import socket
import struct
from collections.abc import Awaitable
from collections.abc import Callable

from forklift import header_fields
from forklift import heartbeats
from forklift.shell import tcp_stream

BODY = b"the whole answer"
# Larger than what a process holds back until an answer is complete; all parts
# differ.
LARGE_BODY = b"".join(b"%07d," % number for number in range(50_000))
# Pieces that a large answer is sent in, and seconds between two of them.
LARGE_PIECES = 8
LARGE_PAUSE = 0.2
# Last bytes of a large answer, which are sent once they are released.
HELD_BYTES = 100_000
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.IGNORECASE)
_END = b"\r\n\r\n"
_HEALTH = b"GET /health "
# Milliseconds between the births of two lives of one name.
RESTART_MS = 1000
# How often a part that is sent without end is sent at once.
REPEATED_PARTS = 100
# Seconds that a slow answer takes.
SLOW = 0.05
# Seconds that a late answer takes: long after one that is usual.
LATE = 0.8
# Seconds after a whole answer at which more bytes follow.
LATER = 0.02
# Field of all answers that names the target, as a hedged request reaches two.
ANSWERED_BY = b"x-answered-by"
_NO_LINGER = struct.pack("ii", 1, 0)


class Received:
    """One request as it arrived.

    Attributes:
        head: Its head, up to the empty line.
        body: Its body.
        connection: Number of the connection it came on.
        at: Loop seconds when it arrived.
    """

    def __init__(self, head: bytes, body: bytes, connection: int):
        self.head = head
        self.body = body
        self.connection = connection
        self.at = asyncio.get_running_loop().time()

    def field(self, name: bytes) -> bytes:
        """The value of a header field, empty where there is none."""
        pattern = rb"\r\n" + re.escape(name) + rb": *([^\r]*)"
        found = re.search(pattern, self.head, re.IGNORECASE)
        return found[1] if found else b""


class Connection:
    """One connection of the scripted target."""

    def __init__(
        self,
        number: int,
        reader,
        writer,
        names: header_fields.HeaderNames,
        release: asyncio.Event,
        crash: Callable[[], None],
        notices: Callable[[], tuple[bytes, ...]] = tuple,
    ):
        self.release = release
        # Ends the target with all its connections.
        self.crash = crash
        self.number = number
        self.reader = reader
        self.writer = writer
        self.names = names
        # Fields that all answers hold.
        self.notices = notices
        # Whether a body in chunks is read before the answer.
        self.reads_chunks = True

    async def read(self) -> Received | None:
        """The next request; None at the end of the connection."""
        try:
            head = await self.reader.readuntil(_END)
            if self.reads_chunks and _CHUNKED.search(head):
                body = await self._read_chunks()
            else:
                found = _LENGTH.search(head)
                size = int(found[1]) if found else 0
                body = await self.reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return Received(head, body, self.number)

    async def _read_chunks(self) -> bytes:
        """The body of a request that comes in chunks."""
        body = b""
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            body += (await self.reader.readexactly(size + 2))[:-2]
            if not size:
                return body

    def answer(
        self,
        received: Received,
        status: int = 200,
        body: bytes = BODY,
        fields: tuple[bytes, ...] = (),
        request_id: bytes | None = None,
        framed: bool = True,
    ) -> bytes:
        """The bytes of an answer."""
        own = received.field(self.names.request_id)
        lines = [
            b"HTTP/1.1 %d X" % status,
            self.names.request_id + b": " + (request_id or own),
            self.names.signature + b": signed",
            *self.notices(),
            *fields,
        ]
        if framed:
            lines.append(b"content-length: %d" % len(body))
        return b"\r\n".join(lines) + _END + body

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.writer.write(data)

    def reset(self) -> None:
        """Ends the connection so that the other side sees a reset."""
        end = self.writer.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.writer.transport.abort()

    def end(self) -> None:
        """Ends the connection after what was sent."""
        self.writer.close()


Fault = Callable[[Connection, Received], Awaitable[None]]
fault_by_name: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a way to answer."""

    def register(function: Fault) -> Fault:
        fault_by_name[name] = function
        return function

    return register


@fault("well")
async def _well(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received))


@fault("error")
async def _error(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, 500))


@fault("reset")
async def _reset(connection: Connection, received: Received) -> None:
    connection.reset()


@fault("close")
async def _close(connection: Connection, received: Received) -> None:
    connection.end()


@fault("garbage")
async def _garbage(connection: Connection, received: Received) -> None:
    connection.send(b"\x16\x03\x01 no answer\r\n\r\n")


@fault("short")
async def _short(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received)[: -len(BODY) // 2])
    connection.end()


@fault("unframed")
async def _unframed(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, framed=False))
    connection.end()


@fault("unframed-reset")
async def _unframed_reset(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, framed=False))
    await connection.writer.drain()
    connection.reset()


@fault("stray-before")
async def _stray_before(connection: Connection, received: Received) -> None:
    stray = connection.answer(received, 200, b"stray", request_id=b"other")
    connection.send(stray + connection.answer(received))


def _bare(status: int, *fields: bytes) -> bytes:
    """The bytes of an answer that names no request and bears no signature."""
    lines = (b"HTTP/1.1 %d X" % status, *fields, b"content-length: 6")
    return b"\r\n".join(lines) + _END + b"nobody"


@fault("bare-200")
async def _bare_200(connection: Connection, received: Received) -> None:
    connection.send(_bare(200))


@fault("bare-500")
async def _bare_500(connection: Connection, received: Received) -> None:
    connection.send(_bare(500))


@fault("bare-421")
async def _bare_421(connection: Connection, received: Received) -> None:
    connection.send(_bare(421))


@fault("bare-421-of-another")
async def _bare_421_of_another(
    connection: Connection, received: Received
) -> None:
    connection.send(_bare(421, connection.names.target + b": another"))


@fault("bare-refuse")
async def _bare_refuse(connection: Connection, received: Received) -> None:
    connection.send(_bare(503, connection.names.not_run + b": 1"))


@fault("bare-limit")
async def _bare_limit(connection: Connection, received: Received) -> None:
    connection.send(_bare(429, connection.names.not_run + b": 1"))


@fault("unsigned")
async def _unsigned(connection: Connection, received: Received) -> None:
    own = connection.names.request_id + b": "
    own += received.field(connection.names.request_id)
    connection.send(_bare(200, own))


@fault("unsigned-large")
async def _unsigned_large(connection: Connection, received: Received) -> None:
    answer = connection.answer(received, body=LARGE_BODY)
    signature = connection.names.signature + b": signed\r\n"
    connection.send(answer.replace(signature, b"", 1))


@fault("bare-later")
async def _bare_later(connection: Connection, received: Received) -> None:
    """Bytes follow while the connection lies idle."""
    connection.send(connection.answer(received))
    await asyncio.sleep(LATER)
    connection.send(_bare(200))


@fault("extra-after")
async def _extra_after(connection: Connection, received: Received) -> None:
    answer = connection.answer(received)
    connection.send(answer + answer)


@fault("answer-408")
async def _answer_408(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, 408))


@fault("answer-429")
async def _answer_429(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, 429))


@fault("answer-503")
async def _answer_503(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, 503))


@fault("refuse")
async def _refuse(connection: Connection, received: Received) -> None:
    fields = (connection.names.not_run + b": 1",)
    connection.send(connection.answer(received, 503, b"", fields))


@fault("misdirected")
async def _misdirected(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, 421, b""))


@fault("closing")
async def _closing(connection: Connection, received: Received) -> None:
    fields = (b"connection: close",)
    connection.send(connection.answer(received, fields=fields))
    connection.end()


@fault("hang")
async def _hang(connection: Connection, received: Received) -> None:
    await connection.reader.read()


@fault("large")
async def _large(connection: Connection, received: Received) -> None:
    connection.send(connection.answer(received, body=LARGE_BODY))


@fault("large-held")
async def _large_held(connection: Connection, received: Received) -> None:
    answer = connection.answer(received, body=LARGE_BODY)
    connection.send(answer[:-HELD_BYTES])
    await connection.release.wait()
    connection.send(answer[-HELD_BYTES:])


@fault("large-in-pieces")
async def _large_in_pieces(connection: Connection, received: Received) -> None:
    answer = connection.answer(received, body=LARGE_BODY)
    size = len(answer) // LARGE_PIECES + 1
    for start in range(0, len(answer), size):
        connection.send(answer[start : start + size])
        await asyncio.sleep(LARGE_PAUSE)


@fault("slow")
async def _slow(connection: Connection, received: Received) -> None:
    await asyncio.sleep(SLOW)
    connection.send(connection.answer(received))


@fault("late")
async def _late(connection: Connection, received: Received) -> None:
    await asyncio.sleep(LATE)
    connection.send(connection.answer(received))


@fault("crash")
async def _crash(connection: Connection, received: Received) -> None:
    connection.crash()


@fault("interim-forever")
async def _interim_forever(connection: Connection, received: Received) -> None:
    await _send_forever(connection, b"HTTP/1.1 100 Continue\r\n\r\n")


@fault("chunks-forever")
async def _chunks_forever(connection: Connection, received: Received) -> None:
    fields = (b"transfer-encoding: chunked",)
    answer = connection.answer(received, body=b"", fields=fields, framed=False)
    connection.send(answer)
    await _send_forever(connection, b"1\r\nx\r\n")


async def _send_forever(connection: Connection, part: bytes) -> None:
    """Sends bytes until the other side closes the connection."""
    while not connection.writer.is_closing():
        connection.send(part * REPEATED_PARTS)
        await connection.writer.drain()


@fault("hold")
async def _hold(connection: Connection, received: Received) -> None:
    await connection.release.wait()
    connection.send(connection.answer(received))


class ScriptedTarget:
    """A target that answers as its script says, then well."""

    def __init__(
        self,
        *script: str,
        names: header_fields.HeaderNames = header_fields.DEFAULT,
        name: str = "t",
        slots: int = 4,
        strict: bool = False,
        born: int = 0,
    ):
        self.name = name
        # Unix milliseconds of its start; 0 where it tells none.
        self.born = born
        # Whether it refuses what was meant for a target of another name.
        self.strict = strict
        self.slots = slots
        self.leaving = False
        # Whether it sends no heartbeats, and the number of its last one.
        self.silent = False
        self.sequence = 0
        # What its answers say: requests a second that it takes, or nothing,
        # and that it leaves.
        self.rate_limit: float | None = None
        self.says_leaving = False
        self.reads_chunks = True
        self.script = list(script)
        self.names = names
        self.received: list[Received] = []
        # Identities of all requests that arrived, refused ones too.
        self.arrived: set[str] = set()
        # The fault of each request received.
        self.played: list[str] = []
        self.connections = 0
        self.hung_up = 0
        # Part of the head of requests that crash it, whenever one arrives.
        self.crashes_on = b""
        self.crashes = 0
        # Parts of the heads of requests whose answers are large, whatever the
        # script says.
        self.large_for: tuple[bytes, ...] = ()
        # Lets requests go that are held.
        self.release = asyncio.Event()
        self.address = ""
        # Where others reach it, if that is another address.
        self.public = ""
        # Loop seconds when its word that it leaves was acknowledged, and when
        # its first heartbeat was, by life.
        self.left_at_by_incarnation: dict[
            heartbeats.TargetIncarnation, float
        ] = {}
        self.known_at_by_incarnation: dict[
            heartbeats.TargetIncarnation, float
        ] = {}
        # Its life when each request arrived.
        self.incarnations_received: list[heartbeats.TargetIncarnation] = []
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "ScriptedTarget":
        # Holds the port while the target is down.
        self._reservation = _bind_free_port()
        host, port = self._reservation.getsockname()
        self.address = f"{host}:{port}"
        self._server = await self._listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self._reservation.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def incarnation(self) -> heartbeats.TargetIncarnation:
        """The run that it is in."""
        return heartbeats.TargetIncarnation(self.name, self.born)

    def restart(self) -> None:
        """Crashes, and starts again under its name: it knows nothing."""
        self.born += RESTART_MS
        self.leaving = False
        self.rate_limit = None
        self.says_leaving = False
        self.script.clear()
        for connection in self._connections:
            connection.reset()

    @property
    def down(self) -> bool:
        """Whether it crashed and is not back."""
        return not self._server.is_serving()

    def crash(self) -> None:
        """Ends: what it runs breaks off, and nothing can connect to it."""
        self.crashes += 1
        self._server.close()
        for connection in self._connections:
            connection.reset()

    async def revive(self) -> None:
        """Starts again at its address after a crash: it knows nothing."""
        self.born += RESTART_MS
        self.rate_limit = None
        self.says_leaving = False
        self._server = await self._listen()

    async def _listen(self) -> asyncio.Server:
        host, port = tcp_stream.split_address(self.address)
        return await asyncio.start_server(
            self._serve, host, port, reuse_port=True
        )

    def _fault(self, received: Received) -> str:
        """Name of the way in which a request is answered."""
        if self.crashes_on and self.crashes_on in received.head:
            return "crash"
        if any(part in received.head for part in self.large_for):
            return "large-in-pieces"
        return self.script.pop(0) if self.script else "well"

    def heartbeat(self, service: str, domain: str) -> bytes:
        """The body of its next heartbeat, as the platform's targets send it."""
        self.sequence += 1
        said = {
            "address": self.public or self.address,
            "info": {
                "service": service,
                "version": "v1",
                "zone": domain,
                "slots": self.slots,
            },
            "status": {
                "state": "draining" if self.leaving else "ready",
                "sequence": self.sequence,
                "cold-remaining-ms": 0,
            },
        }
        if self.born:
            said["born"] = self.born
        return json.dumps(said).encode()

    def _notices(self) -> tuple[bytes, ...]:
        """The fields that all its answers hold at present."""
        notices = [ANSWERED_BY + b": " + self.name.encode()]
        if self.rate_limit is not None:
            rate = f"{self.rate_limit:.1f}".encode()
            notices.append(self.names.rate_limit + b": " + rate)
        if self.says_leaving:
            notices.append(self.names.leaving + b": 1")
        return tuple(notices)

    def _health(self, connection: Connection) -> bytes:
        lines = (
            b"HTTP/1.1 %d X" % (503 if self.leaving else 200),
            self.names.target + b": " + self.name.encode(),
            self.names.load + b": 0,0,%d" % self.slots,
            *self._notices(),
            b"content-length: 0",
        )
        return b"\r\n".join(lines) + _END

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        connection = Connection(
            self.connections,
            reader,
            writer,
            self.names,
            self.release,
            self.crash,
            self._notices,
        )
        connection.reads_chunks = self.reads_chunks
        self._connections.add(connection)
        try:
            while not writer.is_closing():
                received = await connection.read()
                if received is None:
                    break
                if received.head.startswith(_HEALTH):
                    connection.send(self._health(connection))
                    continue
                own = received.field(self.names.request_id).decode("latin-1")
                self.arrived.add(own)
                expected = received.field(self.names.expected).decode()
                if self.strict and expected != self.name:
                    await _misdirected(connection, received)
                    continue
                self.received.append(received)
                self.incarnations_received.append(self.incarnation)
                name = self._fault(received)
                self.played.append(name)
                await fault_by_name[name](connection, received)
        except ConnectionError:
            # It was reset, by a fault or by a restart.
            return
        finally:
            self._connections.discard(connection)
            self.hung_up += 1
            writer.close()


def _bind_free_port() -> socket.socket:
    """Returns a socket that holds a port without listening on it.

    Only sockets of this user with SO_REUSEPORT can bind the same port.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
