"""What the soak does to processes, their connections, targets and the store."""

import asyncio
import contextlib
import random
import signal

from forklift.shell import client
from forklift.shell import shutdown
from forklift_lab import kept
from forklift_lab import observations
from forklift_lab import programs
from forklift_lab import relay
from forklift_lab import seed_plan
from forklift_lab import soak as soaks
from forklift_lab import store as stores

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
# Shares of the processes that a trouble takes.
SHARES = ("third", "half", "all but one")
# Callers that keep a connection to each process that is told to stop; they ask
# again at any time up to the end of its grace, most about when it stops to
# serve callers, as that is when it looks what is left.
KEEPERS = 32
ABOUT = 0.15
# Seconds that a request may take to come whole.
PIECES_WITHIN = 1.0
# Seconds over which the restarts of all processes begin.
OVERLAP = 4.0
BOTH = frozenset(relay.Way)
# Limits that targets name, requests a second.
LIMITS = (0.5, 1.0, 2.4, 5.0)
# Seconds over which large configurations follow each other, and the pause
# between two of them.
LARGE_SECONDS = 4.0
LARGE_PAUSE = (0.05, 0.2)
# Seconds that a process is paused or a link holds bytes back while large
# answers pass: shorter and longer than a peer may be silent.
SILENCE = (0.3, 1.5)
# Number of such silences in a row, and seconds between two of them.
SILENCES = (2, 5)
SILENCE_PAUSE = (0.1, 0.6)
# Rate of a slow link, bytes a second: a large frame takes up to 2.6 s.
SLOW_LINK = (100_000, 1_000_000)
# Seconds that a link is slow.
SLOW_SECONDS = (1.0, 3.0)
# Seconds from a signal to stop in which the processes that still read from the
# one that stops are paused: about when it ends its connections.
READERS_PAUSE = (shutdown.LAME_DUCK_SECONDS - 0.8, 4.5)
# Seconds by which a heartbeat is late that was sent before its target left.
LATE_HEARTBEAT = 3.0
# Seconds between two resets of the control connections of a process.
RESET_PAUSE = (0.002, 0.01)


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


@seed_plan.trouble("pause")
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


@seed_plan.trouble("kill")
async def _kill(soak: soaks.Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        if alone:
            with soak.harm(place.name):
                await soak.restart(place, signal.SIGKILL)


@seed_plan.trouble("kill-many")
async def _kill_many(soak: soaks.Soak, place: programs.Place) -> None:
    soak.configure()
    await asyncio.gather(*(_kill(soak, one) for one in soak.running.places))


@seed_plan.trouble("stop", seed_plan.PLANNED)
async def _stop(soak: soaks.Soak, place: programs.Place) -> None:
    with _alone(soak, place) as alone:
        # One that is still loading has nothing to end, and just dies.
        if not alone or not await soak.running.ready(place):
            return
        status = await soak.restart(place, signal.SIGTERM)
        soak.stopped.append((place.name, status))


@seed_plan.trouble("roll")
async def _roll(soak: soaks.Soak, place: programs.Place) -> None:
    for one in soak.running.places[:3]:
        await _stop(soak, one)


@seed_plan.trouble("hang-up", seed_plan.PLANNED)
async def _hang_up(soak: soaks.Soak, place: programs.Place) -> None:
    for _ in range(soak.rng.randint(1, 5)):
        await _tell_to_read(soak, place)
        await asyncio.sleep(0.05)


async def _tell_to_read(soak: soaks.Soak, place: programs.Place) -> None:
    # One that is still loading has nothing to read again, and just dies.
    if await soak.running.ready(place):
        process = soak.running.process_by_name[place.name]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)


@seed_plan.trouble("relay")
async def _relay(soak: soaks.Soak, place: programs.Place) -> None:
    """Delays, resets or silences one way of a process."""
    with soak.cut(place.name):
        await _spoil(soak, soak.rng.choice(soak.relays(place).all()))


async def _spoil(soak: soaks.Soak, chosen: relay.Relay) -> None:
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


@seed_plan.trouble("store")
async def _store(soak: soaks.Soak, place: programs.Place) -> None:
    """The store is away, busy, slow, forgetful or loses answers."""
    with soak.cut():
        await _fault(soak, soak.running.store)


async def _fault(soak: soaks.Soak, store: stores.Store) -> None:
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


@seed_plan.trouble("configure", seed_plan.PLANNED)
async def _configure(soak: soaks.Soak, place: programs.Place) -> None:
    for _ in range(soak.rng.randint(1, 3)):
        soak.configure()
        await asyncio.sleep(soak.rng.uniform(0.0, 0.3))


@seed_plan.trouble("store-goes-back", seed_plan.GOES_BACK)
async def _store_goes_back(soak: soaks.Soak, place: programs.Place) -> None:
    """The store is away for a moment, and back from a copy some seconds old.

    The operator writes its newest record again.
    """
    store = soak.running.store
    copied = store.copied()
    await asyncio.sleep(soak.rng.uniform(0.1, 3.0))
    with soak.cut():
        store.go_away()
        await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
        store.go_back(copied)
        store.away = False
        await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
        store.configure(soak.configuration())


@seed_plan.trouble("target-fails")
async def _target_fails(soak: soaks.Soak, place: programs.Place) -> None:
    kind = soak.rng.choice(TARGET_FAULTS)
    soak.target(place).script += [kind] * soak.rng.randint(1, 20)
    await asyncio.sleep(0)


@seed_plan.trouble("target-late", seed_plan.UPLOADS)
async def _target_late(soak: soaks.Soak, place: programs.Place) -> None:
    """A target is slow, so that requests which may be repeated are hedged."""
    soak.target(place).script += ["late"] * soak.rng.randint(5, 40)
    await asyncio.sleep(0)


@seed_plan.trouble("target-leaves", seed_plan.PLANNED)
async def _target_leaves(soak: soaks.Soak, place: programs.Place) -> None:
    """A target drains, and another begins at its address."""
    target = soak.target(place)
    if target.leaving:
        return
    target.leaving = True
    for _ in range(20):
        if target.incarnation in target.left_at_by_incarnation:
            break
        await asyncio.sleep(programs.HEARTBEAT_EVERY / 2)
    await asyncio.sleep(soaks.DRAIN_WITHIN + 1.0)
    soak.rename(place)
    target.leaving = False


@seed_plan.trouble("target-deregisters", seed_plan.DEPARTURES)
async def _deregister(soak: soaks.Soak, place: programs.Place) -> None:
    """A target leaves, and a heartbeat that it sent before is late.

    It serves on, or another one begins at its address at once. Its process
    alone, or all processes, may be killed after the acknowledgement.
    """
    target = soak.target(place)
    if target.leaving or not await soak.running.ready(place):
        return
    sent_at = soak.now()
    try:
        send_late = await soak.running.deregister(place)
    except client.RequestFailed:
        _succeed(soak, place)
        return
    serves_on = soak.rng.random() < 0.7
    if not serves_on:
        _succeed(soak, place)
        soak.returns.append((place.name, target.incarnation))
    killed = soak.rng.choice(([], [place], soak.running.places))
    soak.tell(f"{len(killed)} killed, the target serves on: {serves_on}")
    async with asyncio.TaskGroup() as group:
        for one in killed:
            group.create_task(_kill(soak, one))
        await asyncio.sleep(sent_at + LATE_HEARTBEAT - soak.now())
        await send_late()
    await asyncio.sleep(soaks.WORK_WITHIN + soaks.DRAIN_WITHIN)
    if serves_on:
        _succeed(soak, place)


def _succeed(soak: soaks.Soak, place: programs.Place) -> None:
    """Another target begins at the address of one that deregistered."""
    soak.rename(place)
    target = soak.target(place)
    target.leaving = target.silent = False


@seed_plan.trouble("targets-are-full", seed_plan.FULL)
async def _fill(soak: soaks.Soak, place: programs.Place) -> None:
    """All targets are slow, so that requests wait while their callers leave."""
    for one in soak.running.places:
        soak.target(one).script += ["late"] * soak.rng.randint(3, 8)
    await asyncio.sleep(0)


async def _limit_target(
    soak: soaks.Soak, place: programs.Place, rate: float, seconds: float
) -> None:
    """The target beside a process names a limit for a while.

    It ends early if the target starts again or names another one.
    """
    target = soak.target(place)
    began, incarnation = soak.now(), target.incarnation
    target.rate_limit = rate
    while soak.now() < began + seconds:
        await asyncio.sleep(soaks.TICK)
        if target.rate_limit != rate or target.incarnation != incarnation:
            break
    else:
        target.rate_limit = None
    soak.limits.append(
        observations.NamedLimit(
            place.name, incarnation, rate, began, soak.now()
        )
    )


@seed_plan.trouble("target-names-a-limit", seed_plan.NOTICES)
async def _name_limit(soak: soaks.Soak, place: programs.Place) -> None:
    """A target names a limit, then another one, then none."""
    for _ in range(soak.rng.randint(1, 2)):
        rate = soak.rng.choice(LIMITS)
        await _limit_target(soak, place, rate, soak.rng.uniform(4.0, 9.0))


@seed_plan.trouble("all-targets-name-limits", seed_plan.NOTICES)
async def _all_name_limits(soak: soaks.Soak, place: programs.Place) -> None:
    rate = soak.rng.choice(LIMITS)
    seconds = soak.rng.uniform(4.0, 8.0)
    await asyncio.gather(
        *(
            _limit_target(soak, one, rate, seconds)
            for one in soak.running.places
        )
    )


@seed_plan.trouble("limit-and-restart", seed_plan.NOTICES)
async def _limit_and_restart(soak: soaks.Soak, place: programs.Place) -> None:
    """The process beside a limited target is killed meanwhile."""
    limit = _limit_target(soak, place, soak.rng.choice(LIMITS), 9.0)
    await asyncio.gather(limit, _kill_within(soak, place, 6.0))


@seed_plan.trouble("target-says-that-it-leaves", seed_plan.NOTICES)
async def _says_leaving(soak: soaks.Soak, place: programs.Place) -> None:
    """Only its answers say it; its process may be killed meanwhile."""
    target = soak.target(place)
    if target.leaving or target.says_leaving:
        return
    incarnation = target.incarnation
    target.says_leaving = True
    soak.said_leaving_at_by_incarnation[incarnation] = soak.now()
    lasts = soaks.DRAIN_WITHIN + 0.8
    if soak.rng.random() < 0.5:
        await asyncio.gather(
            asyncio.sleep(lasts), _kill_within(soak, place, lasts / 2)
        )
    else:
        await asyncio.sleep(lasts)
    if target.incarnation == incarnation:
        soak.rename(place)
        target.says_leaving = False


async def _kill_within(
    soak: soaks.Soak, place: programs.Place, seconds: float
) -> None:
    await asyncio.sleep(soak.rng.uniform(0.5, seconds))
    await _kill(soak, place)


@seed_plan.trouble("target-returns", seed_plan.RETURNS)
async def _target_returns(soak: soaks.Soak, place: programs.Place) -> None:
    """A target crashes and starts again under its name, some times in a row."""
    for _ in range(soak.rng.randint(1, 3)):
        soak.bring_back(place)
        await asyncio.sleep(soak.rng.uniform(0.1, 3.0))


@seed_plan.trouble("target-returns-behind-a-cut", seed_plan.RETURNS)
async def _target_returns_unseen(
    soak: soaks.Soak, place: programs.Place
) -> None:
    """Nothing of its connections reaches its process meanwhile."""
    way = soak.relays(place).target
    with soak.cut(place.name):
        way.silence(relay.Way.DOWN)
        await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
        soak.bring_back(place)
        await asyncio.sleep(soak.rng.uniform(0.0, 2.0))
        way.heal()


@seed_plan.trouble("target-returns-as-its-process-does", seed_plan.RETURNS)
async def _both_return(soak: soaks.Soak, place: programs.Place) -> None:
    soak.bring_back(place)
    await _kill(soak, place)


@seed_plan.trouble("targets-return", seed_plan.RETURNS)
async def _targets_return(soak: soaks.Soak, place: programs.Place) -> None:
    for one in _part(soak):
        soak.bring_back(one)
        await asyncio.sleep(soak.rng.uniform(0.0, 0.5))


@seed_plan.trouble("deadly", seed_plan.CRASHES)
async def _deadly(soak: soaks.Soak, place: programs.Place) -> None:
    """A request crashes each target that runs it, and comes again anywhere."""
    for _ in range(soak.rng.randint(2, 8)):
        await soak.ask_deadly(soak.rng.choice(soak.running.places))


def _part(soak: soaks.Soak) -> list[programs.Place]:
    """A third, half or all but one of the processes."""
    places = soak.running.places
    share = soak.rng.choice(SHARES)
    counts = (len(places) // 3, len(places) // 2, len(places) - 1)
    count = dict(zip(SHARES, counts, strict=True))[share]
    return soak.rng.sample(places, max(1, count))


@seed_plan.trouble("store-serves-some", seed_plan.NEWS)
async def _store_serves_some(soak: soaks.Soak, place: programs.Place) -> None:
    """The store answers nothing to a part, also reads that wait already."""
    part = [p for p in _part(soak) if not soak.relays(p).store.dropping]
    soak.tell(f"the store does not answer {sorted(p.name for p in part)}")
    way = frozenset({relay.Way.DOWN})
    with contextlib.ExitStack() as stack:
        for one in part:
            stack.enter_context(soak.unserved(one.name))
            store = soak.relays(one).store
            store.drop_open(way)
            store.dropping = way
        await asyncio.sleep(soak.rng.uniform(3.0, 8.0))
        for one in part:
            soak.relays(one).store.dropping = frozenset()


@seed_plan.trouble("open-connections-die", seed_plan.NEWS)
async def _open_connections_die(
    soak: soaks.Soak, place: programs.Place
) -> None:
    """What is open falls silent for good, one way or both; new ones work."""
    ways = soak.rng.choice((BOTH, *(frozenset({way}) for way in relay.Way)))
    part = _part(soak)
    soak.tell(f"open ones die {ways} {sorted(p.name for p in part)}")
    for one in part:
        soak.died_at_by_place[one.name].append(soak.now())
        for each in soak.relays(one).between():
            each.drop_open(ways)
    await asyncio.sleep(0)


@seed_plan.trouble("versions", seed_plan.NEWS)
async def _versions(soak: soaks.Soak, place: programs.Place) -> None:
    """A version about each 0.5 to 2 s, for several seconds."""
    until = soak.now() + soak.rng.uniform(6.0, 10.0)
    while soak.now() < until:
        soak.configure()
        await asyncio.sleep(soak.rng.uniform(0.5, 2.0))


@seed_plan.trouble("large-versions-amid-ends", seed_plan.LARGE)
async def _large_versions(soak: soaks.Soak, place: programs.Place) -> None:
    """Processes hand large configurations on while some stop or are killed."""

    async def end(one: programs.Place) -> None:
        await asyncio.sleep(soak.rng.uniform(0.0, LARGE_SECONDS))
        await soak.rng.choice((_stop, _kill))(soak, one)

    ends = (end(one) for one in _part(soak))
    await asyncio.gather(_hand_on_often(soak, place), *ends)


@seed_plan.trouble("large-versions-amid-resets", seed_plan.LARGE)
async def _large_versions_reset(
    soak: soaks.Soak, place: programs.Place
) -> None:
    """Control connections are reset while large configurations pass."""

    async def reset() -> None:
        while True:
            one = soak.rng.choice(soak.running.places)
            soak.relays(one).control.reset()
            await asyncio.sleep(soak.rng.uniform(*RESET_PAUSE))

    with contextlib.ExitStack() as stack:
        for one in soak.running.places:
            stack.enter_context(soak.cut(one.name))
        resetting = asyncio.create_task(reset())
        await _hand_on_often(soak, place)
        resetting.cancel()


async def _hand_on_often(soak: soaks.Soak, place: programs.Place) -> None:
    """Configurations follow each other; some processes get them from peers."""

    async def configure() -> None:
        until = soak.now() + LARGE_SECONDS
        while soak.now() < until:
            soak.configure()
            await asyncio.sleep(soak.rng.uniform(*LARGE_PAUSE))

    await asyncio.gather(configure(), _store_serves_some(soak, place))


async def _be_silent(soak: soaks.Soak, place: programs.Place) -> None:
    """Pauses a process for a moment."""
    with _alone(soak, place) as alone:
        if not alone or not await soak.running.ready(place):
            return
        process = soak.running.process_by_name[place.name]
        with soak.harm(place.name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.uniform(*SILENCE))
            process.send_signal(signal.SIGCONT)


@seed_plan.trouble("pauses-amid-large-answers", seed_plan.LARGE_ANSWERS)
async def _pauses(soak: soaks.Soak, place: programs.Place) -> None:
    """Processes pause one after the other while configurations come."""

    async def pause() -> None:
        for _ in range(soak.rng.randint(*SILENCES)):
            await _be_silent(soak, soak.rng.choice(soak.running.places))
            await asyncio.sleep(soak.rng.uniform(*SILENCE_PAUSE))

    await asyncio.gather(pause(), _configure_often(soak))


@seed_plan.trouble("held-links-amid-large-answers", seed_plan.LARGE_ANSWERS)
async def _held_links(soak: soaks.Soak, place: programs.Place) -> None:
    """The ways of peers to some processes hold bytes back for moments."""

    async def hold() -> None:
        for _ in range(soak.rng.randint(*SILENCES)):
            await _hold_back(soak, soak.rng.choice(soak.running.places))
            await asyncio.sleep(soak.rng.uniform(*SILENCE_PAUSE))

    await asyncio.gather(hold(), _configure_often(soak))


async def _hold_back(soak: soaks.Soak, place: programs.Place) -> None:
    way = soak.relays(place).peer
    with soak.cut(place.name):
        for one in soak.rng.choice((BOTH, {relay.Way.UP}, {relay.Way.DOWN})):
            way.silence(one)
        await asyncio.sleep(soak.rng.uniform(*SILENCE))
        way.heal()


@seed_plan.trouble("slow-links-amid-large-answers", seed_plan.LARGE_ANSWERS)
async def _slow_links(soak: soaks.Soak, place: programs.Place) -> None:
    """The ways of peers to some processes are slow, and pause meanwhile."""

    async def slow(one: programs.Place) -> None:
        way = soak.relays(one).peer
        with soak.cut(one.name):
            way.bytes_per_second = soak.rng.randint(*SLOW_LINK)
            await asyncio.sleep(soak.rng.uniform(*SLOW_SECONDS))
            way.heal()

    links = (slow(one) for one in _part(soak))
    await asyncio.gather(*links, _pauses(soak, place))


@seed_plan.trouble("stop-while-readers-pause", seed_plan.LARGE_ANSWERS)
async def _stop_while_readers_pause(
    soak: soaks.Soak, place: programs.Place
) -> None:
    """A process stops while those that read answers from it are silent."""

    async def pause(one: programs.Place) -> None:
        await asyncio.sleep(soak.rng.uniform(*READERS_PAUSE))
        await _be_silent(soak, one)

    others = (one for one in soak.running.places if one is not place)
    await asyncio.gather(_stop(soak, place), *(pause(one) for one in others))


@seed_plan.trouble("ends-amid-large-answers", seed_plan.LARGE_ANSWERS)
async def _ends_amid_large_answers(
    soak: soaks.Soak, place: programs.Place
) -> None:
    """A process is killed, or its connections are reset: answers break off."""
    if soak.rng.random() < 0.5:
        await _kill(soak, place)
        return
    relays = soak.relays(place)
    with soak.cut(place.name):
        soak.reset(place.name, soak.rng.choice((relays.peer, relays.target)))


async def _configure_often(soak: soaks.Soak) -> None:
    until = soak.now() + LARGE_SECONDS
    while soak.now() < until:
        soak.configure()
        await asyncio.sleep(soak.rng.uniform(*SILENCE_PAUSE))


@seed_plan.trouble("news-in-the-dark", seed_plan.NEWS)
async def _news_in_the_dark(soak: soaks.Soak, place: programs.Place) -> None:
    """Versions come while the store serves some and connections die."""

    async def dying() -> None:
        for _ in range(2):
            await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
            await _open_connections_die(soak, place)

    await asyncio.gather(
        _versions(soak, place), _store_serves_some(soak, place), dying()
    )


@seed_plan.trouble("restarts", seed_plan.PLANNED)
async def _restarts(soak: soaks.Soak, place: programs.Place) -> None:
    """All stop and start again in overlapping series, amid SIGHUPs."""
    step = OVERLAP / len(soak.running.places)
    async with asyncio.TaskGroup() as group:
        for one in soak.running.places:
            group.create_task(_stop_kept(soak, one))
            await asyncio.sleep(soak.rng.uniform(0.0, 2 * step))


async def _stop_kept(soak: soaks.Soak, place: programs.Place) -> None:
    """Stops a process to which callers keep their connections."""
    with _alone(soak, place) as alone:
        if not alone or not await soak.running.ready(place):
            return
        told = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for _ in range(KEEPERS):
                group.create_task(_keep(soak, place, told))
            await _hang_up(soak, place)
            group.create_task(_unsettle(soak))
            told.set()
            status = await soak.restart(place, signal.SIGTERM)
        soak.stopped.append((place.name, status))


async def _unsettle(soak: soaks.Soak) -> None:
    """Targets are slow, and one is another, when a stop is about to end."""
    await asyncio.sleep(shutdown.LAME_DUCK_SECONDS - ABOUT)
    for place in soak.running.places:
        soak.target(place).script += ["slow"] * KEEPERS
    place = soak.rng.choice(soak.running.places)
    if not soak.target(place).leaving:
        soak.rename(place)


def _when(rng: random.Random) -> tuple[float, float]:
    """Seconds from a signal to a request, and between its two pieces."""
    about = shutdown.LAME_DUCK_SECONDS
    kind = rng.choice(("any time", "about", "in pieces", "in pieces"))
    if kind == "any time":
        return rng.uniform(0.0, programs.GRACE), 0.0
    if kind == "about":
        return about + rng.uniform(-ABOUT, ABOUT), 0.0
    return about - rng.uniform(0.0, ABOUT), rng.uniform(0.0, PIECES_WITHIN)


async def _keep(
    soak: soaks.Soak, place: programs.Place, told: asyncio.Event
) -> None:
    """Keeps a connection until its process is gone, and asks late."""
    late, gap = _when(soak.rng)
    asker = kept.Kept(place.caller)
    try:
        await asker.open()
        if not await soak.ask_kept(asker, place):
            return
        await told.wait()
        await asyncio.sleep(late)
        while await soak.ask_kept(asker, place, gap):
            await asyncio.sleep(soak.rng.uniform(0.0, ABOUT))
    except OSError:
        # Nobody listens: it is gone already, and was asked nothing.
        return
    finally:
        asker.close()
