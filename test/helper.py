"""What tests share: a clock to turn, a log in memory, a fleet in one loop."""

import asyncio
import contextlib
import pathlib

from forklift import errors
from forklift import floor
from forklift import invariants
from forklift import keys
from forklift import leases
from forklift import messages
from forklift import policy
from forklift import ports
from forklift import report
from forklift import settings
from forklift import standing
from forklift.shell import admin
from forklift.shell import node as nodes
from forklift.shell import server
from forklift_lab import fleet
from forklift_lab import logserver
from forklift_lab import standin

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
POLICY = """[policy]
name = p
[service s]
floor = {floor}
deadline = {deadline}
detection = fast
[route all]
service = s
"""
WAIT = 30.0

invariants.FATAL = True
# The waits of the protocols, shortened alike for all processes of a test.
floor.PERMIT_LEASE = 1.5
keys.SKEW = 0.2
leases.LEASE = 2.0
leases.PROMISE_PERIOD = 0.5
standing.COLD_RAMP = 0.5


class FakeClock:
    """Time that a test turns; see `ports.Clock`."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1.7e9 + self.now


class FakeLog:
    """The log as a port, in memory; see `ports.Log`."""

    def __init__(self):
        self.streams: dict[str, logserver.Stream] = {}
        self.away = False
        self.lose = 0

    async def append(self, stream: str, data: bytes) -> int:
        if self.away:
            raise errors.LogUnavailable("away")
        kept = self.streams.setdefault(stream, logserver.Stream())
        offset = kept.append(data)
        if self.lose:
            self.lose -= 1
            raise errors.LogUnavailable("answer lost")
        return offset

    async def read(self, next_by_stream, wait: float):
        if self.away:
            raise errors.LogUnavailable("away")
        batches = []
        for name, offset in next_by_stream.items():
            kept = self.streams.setdefault(name, logserver.Stream())
            start, data = kept.read(offset)
            records = tuple(
                ports.Record(name, start + i, d) for i, d in enumerate(data)
            )
            end = start + len(records)
            batches.append(ports.Batch(name, kept.first, end, records))
        return tuple(batches)


class FakeTransport:
    """The transport as a port, in memory; see `ports.Transport`."""

    def __init__(self):
        self.receiver_by_address = {}

    def send(self, address: str, message: messages.Control) -> bool:
        receive = self.receiver_by_address.get(address)
        if receive is None:
            return False
        receive(messages.decode_control(messages.encode(message)))
        return True


def service(**changes: object) -> policy.Service:
    """A service's program with some keys changed."""
    lines = "".join(f"{key} = {value}\n" for key, value in changes.items())
    floor = "" if "floor" in changes else "floor = 0\n"
    text = f"[policy]\nname = p\n[service s]\n{floor}{lines}"
    return policy.parse("test", text).services_by_name["s"]


def info(name: str, *targets: str, **changes: object) -> messages.ProcessInfo:
    """A process with targets of service s, as its peers know it."""
    fields = {
        "name": name,
        "boot": sum(name.encode()),
        "incarnation": 1,
        "domain": "d",
        "peer": name,
        "control": name,
        "admin": name,
        "version": 1,
        "started": 0.0,
        "targets": tuple(target_info(target) for target in targets),
        "config": 0,
    }
    fields.update(changes)
    return messages.ProcessInfo(**fields)


def target_info(name: str, **changes: object) -> messages.TargetInfo:
    """A target of service s in service."""
    fields = {
        "name": name,
        "service": "s",
        "domain": "d",
        "slots": 4,
        "state": messages.TargetState.IN_SERVICE,
        "weight": 1.0,
        "version": 1,
    }
    fields.update(changes)
    return messages.TargetInfo(**fields)


class Fleet:
    """Processes, targets and log in this loop, over real sockets."""

    def __init__(self, count: int, floor: int = 0, deadline: float = 5, **more):
        self.places = fleet.places({"s": count}, ["a", "b", "c"])
        self.policy = POLICY.format(floor=floor, deadline=deadline)
        self.key = more.get("key", "")
        self.median = more.get("median", 0.001)
        self.log_address = fleet.free_addresses(1)[0]
        self.log = logserver.LogService(10_000)
        self.log_server = server.Server(self.log.handle)
        self.nodes: list[nodes.Node] = []
        self.admins: list[admin.Admin] = []
        self.targets: list[standin.TargetStandIn] = []

    async def __aenter__(self) -> "Fleet":
        await self.log_server.open(self.log_address)
        for place in self.places:
            await self.start(place)
        await self.publish(self.policy)
        for place in self.places:
            target = standin.TargetStandIn(
                place.name, "s", place.domain, place.target, place.admin,
                median=self.median, sigma=0.1, key=self.key,
            )  # fmt: skip
            await target.open()
            self.targets.append(target)
        await until(lambda: all(self._meets(node) for node in self.nodes))
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            await node.close()
        for front in self.admins:
            front.close()
        for target in self.targets:
            target.close()
        self.log_server.abort()

    async def start(self, place: fleet.Place, join=()) -> nodes.Node:
        text = fleet.settings_text(place, self.log_address, join, self.key)
        node = nodes.Node(settings.parse(place.name, text))
        front = admin.Admin(node)
        await node.start()
        await front.open()
        self.nodes.append(node)
        self.admins.append(front)
        return node

    async def publish(self, text: str) -> report.Published:
        request = report.PublishRequest(text, "test")
        published = await self.admins[0].publisher.publish(request)
        if published.accepted:
            await until(
                lambda: all(
                    node.decisions.configuration.version("p").number
                    >= published.version
                    for node in self.nodes
                )
            )
        return published

    def _meets(self, node: nodes.Node) -> bool:
        return len(node.decisions.entry.targets("s")) == len(self.places)


async def until(check, timeout: float = WAIT) -> None:
    """Waits for a state, however long it takes; the bound is for defects."""
    async with asyncio.timeout(timeout):
        while not check():
            await asyncio.sleep(0.01)


def run(work) -> object:
    """Runs a coroutine in a loop of its own."""
    return asyncio.run(work)


@contextlib.contextmanager
def counting():
    """Lets promises break without raising, and yields the counter."""
    invariants.FATAL = False
    before = invariants.broken_by_promise.copy()
    try:
        yield lambda: invariants.broken_by_promise - before
    finally:
        invariants.FATAL = True
        invariants.broken_by_promise.clear()
        invariants.broken_by_promise.update(before)
