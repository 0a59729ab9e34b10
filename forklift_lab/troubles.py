"""What the soak does to processes, their connections, targets and the store."""

import asyncio
import contextlib
import signal

from forklift_lab import programs
from forklift_lab import relay
from forklift_lab import soak as soaks

# Faults of a target that its answers show.
TARGET_FAULTS = (
    "reset",
    "error",
    "garbage",
    "stray-before",
    "extra-after",
    "refuse",
    "short",
    "close",
    "unframed-reset",
)


@contextlib.contextmanager
def _alone(soak: soaks.Soak, place: programs.Place):
    """Whether this trouble is the only one that signals the process."""
    if place.name in soak.busy:
        yield False
        return
    soak.busy.add(place.name)
    try:
        yield True
    finally:
        soak.busy.discard(place.name)


@soaks.trouble("pause")
async def _pause(soak: soaks.Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        if not alone:
            return
        process = soak.running.process_by_name[place.name]
        with soak.harm(place.name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.uniform(0.3, 4.0))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)


@soaks.trouble("kill")
async def _kill(soak: soaks.Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        if alone:
            with soak.harm(place.name):
                await soak.restart(place, signal.SIGKILL)


@soaks.trouble("kill-many")
async def _kill_many(soak: soaks.Soak, place: programs.Place) -> None:
    soak.version += 1
    soak.running.store.configure(soaks.configuration(soak.version))
    await asyncio.gather(*(_kill(soak, one) for one in soak.running.places))


@soaks.trouble("stop")
async def _stop(soak: soaks.Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        # One that is still loading has nothing to end, and just dies.
        if not alone or not await soak.running.ready(place):
            return
        status = await soak.restart(place, signal.SIGTERM)
        soak.stopped.append((place.name, status))


@soaks.trouble("roll")
async def _roll(soak: soaks.Soak, place: programs.Place) -> None:
    for one in soak.running.places[:3]:
        await _stop(soak, one)


@soaks.trouble("hang-up")
async def _hang_up(soak: soaks.Soak, place: programs.Place) -> None:
    for _ in range(soak.rng.randint(1, 5)):
        process = soak.running.process_by_name[place.name]
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.05)


@soaks.trouble("relay")
async def _relay(soak: soaks.Soak, place: programs.Place) -> None:
    """Delays, resets or silences one way of a process."""
    chosen = soak.rng.choice(soak.relays(place).all())
    kind = soak.rng.choice(("delay", "reset", "up", "down", "both"))
    if kind == "delay":
        chosen.delay = soak.rng.uniform(0.02, 0.4)
    elif kind == "reset":
        chosen.reset()
    if kind in ("up", "both"):
        chosen.silence(relay.Way.UP)
    if kind in ("down", "both"):
        chosen.silence(relay.Way.DOWN)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    chosen.heal()


@soaks.trouble("store")
async def _store(soak: soaks.Soak, place: programs.Place) -> None:
    """The store is away, busy, slow, forgetful or loses answers."""
    store = soak.running.store
    kind = soak.rng.choice(("away", "busy", "slow", "losing", "forget"))
    if kind == "away":
        store.go_away()
    elif kind == "busy":
        store.refusing = 503
    elif kind == "slow":
        store.slow = 0.3
    elif kind == "losing":
        store.losing = True
    else:
        store.forget()
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    store.away = False
    store.refusing = 0
    store.slow = 0.0
    store.losing = False


@soaks.trouble("configure")
async def _configure(soak: soaks.Soak, place: programs.Place) -> None:
    for _ in range(soak.rng.randint(1, 3)):
        soak.version += 1
        soak.running.store.configure(soaks.configuration(soak.version))
        await asyncio.sleep(soak.rng.uniform(0.0, 0.3))


@soaks.trouble("target-fails")
async def _target_fails(soak: soaks.Soak, place: programs.Place) -> None:
    kind = soak.rng.choice(TARGET_FAULTS)
    soak.target(place).script += [kind] * soak.rng.randint(1, 20)
    await asyncio.sleep(0)


@soaks.trouble("target-leaves")
async def _target_leaves(soak: soaks.Soak, place: programs.Place) -> None:
    """A target drains, and another begins at its address."""
    target = soak.target(place)
    if target.leaving:
        return
    target.leaving = True
    for _ in range(20):
        if target.name in target.left_at_by_name:
            break
        await asyncio.sleep(programs.HEARTBEAT_EVERY / 2)
    await asyncio.sleep(soaks.DRAIN_WITHIN + 1.0)
    soak.lives[place.name] += 1
    target.name = f"i-{place.name}-{soak.lives[place.name]}"
    target.leaving = False
