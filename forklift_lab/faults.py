"""Faults of a target stand-in, in a registry."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Effect:
    """What a fault does to one request.

    Attributes:
        slower: Factor on the service time.
        pause: Seconds added to it.
        status: Status to answer with; 0 leaves it.
        hang: Whether it is never answered.
        short: Whether the answer breaks off in its middle.
        other: Whether the answer claims to be for another request.
    """

    slower: float = 1.0
    pause: float = 0.0
    status: int = 0
    hang: bool = False
    short: bool = False
    other: bool = False


NONE = Effect()
Fault = Callable[[random.Random, str, float], Effect]
fault_by_name: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault; it gets randomness, the path and the time."""

    def register(function: Fault) -> Fault:
        fault_by_name[name] = function
        return function

    return register


@fault("none")
def none(rng: random.Random, path: str, now: float) -> Effect:
    """A healthy target."""
    return NONE


@fault("refuse")
def refuse(rng: random.Random, path: str, now: float) -> Effect:
    """Refuses connections; its listener is closed, so none gets here."""
    return Effect(hang=True)


@fault("hang")
def hang(rng: random.Random, path: str, now: float) -> Effect:
    """Accepts and never answers."""
    return Effect(hang=True)


@fault("fail")
def fail(rng: random.Random, path: str, now: float) -> Effect:
    """Fails every real request."""
    return Effect(status=500, slower=0.1)


@fault("fail-30")
def fail_some(rng: random.Random, path: str, now: float) -> Effect:
    """Fails 30 in 100."""
    return Effect(status=500) if rng.random() < 0.3 else NONE


@fault("slow-5")
def slow_five(rng: random.Random, path: str, now: float) -> Effect:
    """Five times slower."""
    return Effect(slower=5.0)


@fault("slow-3")
def slow_three(rng: random.Random, path: str, now: float) -> Effect:
    """Three times slower."""
    return Effect(slower=3.0)


@fault("slow-2")
def slow_two(rng: random.Random, path: str, now: float) -> Effect:
    """Two times slower."""
    return Effect(slower=2.0)


@fault("stall")
def stall(rng: random.Random, path: str, now: float) -> Effect:
    """Stalls three seconds now and then."""
    return Effect(pause=3.0) if rng.random() < 0.1 else NONE


@fault("flap")
def flap(rng: random.Random, path: str, now: float) -> Effect:
    """Healthy and failing in turns of two seconds."""
    return Effect(status=500) if now % 4.0 < 2.0 else NONE


@fault("route")
def one_route(rng: random.Random, path: str, now: float) -> Effect:
    """Fails one route only."""
    return Effect(status=500) if path.startswith("/search") else NONE


@fault("short")
def short(rng: random.Random, path: str, now: float) -> Effect:
    """Answers break off in their middle."""
    return Effect(short=True)


@fault("mixed")
def mixed(rng: random.Random, path: str, now: float) -> Effect:
    """Answers carry the id of another request."""
    return Effect(other=True)


async def forever() -> None:
    """Never returns."""
    await asyncio.Event().wait()


def now() -> float:
    """Time for faults that come and go."""
    return time.monotonic()
