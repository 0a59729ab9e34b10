"""Helpers for tests: a manual clock, waiting, and default descriptions."""

import asyncio
import contextlib
import pathlib

from forklift import invariants
from forklift import latency
from forklift import messages
from forklift.shell import exchange

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEFAULT_TIMEOUT = 30.0

invariants.RAISE_ON_VIOLATION = True


class Sink:
    """Caller or peer that records the response that it receives."""

    def __init__(self):
        self.has_started = False
        self.heads: list[exchange.ResponseHead] = []
        self.body = b""
        self.ended = 0

    async def start(self, head: exchange.ResponseHead) -> None:
        self.has_started = True
        self.heads.append(head)

    async def data(self, piece: bytes) -> None:
        self.body += piece

    async def end(self) -> None:
        self.ended += 1


class FakeClock:
    """Clock that a test advances; implements `interfaces.Clock`."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1.7e9 + self.now


def info(name: str, *targets: str, **changes: object) -> messages.ProcessInfo:
    """Returns the description of a process with targets of service s."""
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
    """Returns the description of a target of service s in service."""
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


def train_latency(usual: latency.Distribution, seconds: float) -> None:
    """Records samples so that a route has a known latency."""
    for _ in range(100):
        usual.record(seconds)


async def until(check, timeout: float = DEFAULT_TIMEOUT) -> None:
    """Waits until a condition holds.

    The timeout is long, so that it is reached only if there is a defect.
    """
    async with asyncio.timeout(timeout):
        while not check():
            await asyncio.sleep(0.01)


def run(work) -> object:
    """Runs a coroutine in a new event loop."""
    return asyncio.run(work)


@contextlib.contextmanager
def counting_violations():
    """Counts violations of invariants instead of raising an error.

    Yields a function that returns the violations so far.
    """
    invariants.RAISE_ON_VIOLATION = False
    before = invariants.violations_by_invariant.copy()
    try:
        yield lambda: invariants.violations_by_invariant - before
    finally:
        invariants.RAISE_ON_VIOLATION = True
        invariants.violations_by_invariant.clear()
        invariants.violations_by_invariant.update(before)
