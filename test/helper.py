"""What tests share: a clock to turn, waits for a state, descriptions."""

import asyncio
import contextlib
import pathlib

from forklift import invariants
from forklift import latency
from forklift import messages
from forklift.shell import exchange

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
WAIT = 30.0

invariants.RAISE_ON_VIOLATION = True


class Sink:
    """A caller, or a peer, that takes note of what it is given."""

    def __init__(self):
        self.begun = False
        self.heads: list[exchange.Head] = []
        self.body = b""
        self.ended = 0

    async def start(self, head: exchange.Head) -> None:
        self.begun = True
        self.heads.append(head)

    async def data(self, piece: bytes) -> None:
        self.body += piece

    async def end(self) -> None:
        self.ended += 1


class FakeClock:
    """Time that a test turns; see `interfaces.Clock`."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1.7e9 + self.now


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
        "version": 1,
    }
    fields.update(changes)
    return messages.TargetInfo(**fields)


def takes(usual: latency.Distribution, seconds: float) -> None:
    """Teaches how long a kind of work takes."""
    for _ in range(100):
        usual.record(seconds)


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
    invariants.RAISE_ON_VIOLATION = False
    before = invariants.violations_by_invariant.copy()
    try:
        yield lambda: invariants.violations_by_invariant - before
    finally:
        invariants.RAISE_ON_VIOLATION = True
        invariants.violations_by_invariant.clear()
        invariants.violations_by_invariant.update(before)
