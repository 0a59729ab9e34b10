"""The table of faults that the decisions are measured under."""

import dataclasses
import pathlib
from collections.abc import Callable

from forklift import messages
from forklift_lab.measure import world as worlds

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"
WARM = 10.0
FAULT = 12.0
HEAL = 22.0
END = 38.0
PAUSE = 5.0


def deployments() -> dict[str, worlds.Deployment]:
    """The two deployments of the brief."""
    return {
        "teranga": worlds.Deployment(
            (EXAMPLES / "teranga.ini").read_text(),
            {"releves": 15, "guichet": 6},
            4,
            ("plateau", "almadies", "diamniadio"),
        ),
        "kyushu": worlds.Deployment(
            (EXAMPLES / "kyushu.ini").read_text(),
            {"menu-planner": 25, "recipe-desk": 8},
            3,
            ("hakata-hall", "tenjin-hall", "kashii-hall", "momochi-hall"),
        ),
    }


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One row of the table.

    Attributes:
        name: Its name.
        begin: Starts the fault; returns the names of the sick targets.
        share: Load as a share of capacity.
        expected: Whether the sick targets should be ejected.
    """

    name: str
    begin: Callable[[worlds.World], list[str]]
    share: float = 0.5
    expected: bool = True


scenario_by_name: dict[str, Scenario] = {}


def scenario(name: str, share: float = 0.5, expected: bool = True):
    """Registers a scenario."""

    def register(begin):
        scenario_by_name[name] = Scenario(name, begin, share, expected)
        return begin

    return register


def _sick(world: worlds.World) -> str:
    """One target of the first service, by the seed."""
    service = next(iter(world.deployment.targets_by_service))
    names = [n for n, t in world.target_by_name.items() if t.service == service]
    return world.rng.choice(names)


def _fault(world: worlds.World, name: str, fault: str) -> list[str]:
    world.target_by_name[name].fault = fault
    world.after(HEAL - FAULT, lambda: _heal(world, name))
    return [name]


def _heal(world: worlds.World, name: str) -> None:
    world.target_by_name[name].fault = "none"


def _simple(row: str, fault: str, expected: bool = True) -> None:
    @scenario(row, expected=expected)
    def begin(world: worlds.World) -> list[str]:
        return _fault(world, _sick(world), fault)


for _row, _name in {
    "refuses": "refuse",
    "never answers": "hang",
    "fails all, answers probes": "fail",
    "fails 30%": "fail-30",
    "5 times slower": "slow-5",
    "2 times slower": "slow-2",
    "stalls 3 s now and then": "stall",
    "answers short": "short",
    "fails one route": "route",
}.items():
    # Two times slower still answers in time: weight may do.
    _simple(_row, _name, _name not in ("slow-2", "route"))


def _flap(row: str, period: float) -> None:
    @scenario(row, expected=period >= 1.0)
    def begin(world: worlds.World) -> list[str]:
        target = world.target_by_name[_sick(world)]

        def turn() -> None:
            if world.now >= HEAL:
                target.fault = "none"
                return
            target.fault = "none" if target.fault == "fail" else "fail"
            world.after(period, turn)

        turn()
        return [target.name]


_flap("flaps every 0.2 s", 0.2)
_flap("flaps every 2 s", 2.0)
_flap("flaps every 20 s", 20.0)


def _cut(world: worlds.World, pair: tuple[str, str]) -> None:
    world.cuts.add(pair)
    world.after(HEAL - FAULT, lambda: world.cuts.discard(pair))


@scenario("one-way cut between domains", expected=False)
def _cut_domains(world: worlds.World) -> list[str]:
    domains = world.deployment.domains
    _cut(world, (domains[0], domains[1]))
    return []


@scenario("the other way cut", expected=False)
def _cut_back(world: worlds.World) -> list[str]:
    domains = world.deployment.domains
    _cut(world, (domains[1], domains[0]))
    return []


@scenario("cut from one entry to one guard", expected=False)
def _cut_one(world: worlds.World) -> list[str]:
    names = list(world.target_by_name)
    _cut(world, (names[0], names[1]))
    return []


@scenario("floor owner paused 5 s, a target fails")
def _paused_owner(world: worlds.World) -> list[str]:
    name = _sick(world)
    service = world.target_by_name[name].service
    some = world.process_by_name[name]
    owner = some.decisions.owner.holder(f"{service}/0")
    if owner is not None:
        world.process_by_name[owner].pause(PAUSE)
    return _fault(world, name, "fail")


@scenario("guard paused 5 s", expected=False)
def _paused_guard(world: worlds.World) -> list[str]:
    name = _sick(world)
    world.process_by_name[name].pause(PAUSE)
    return []


@scenario("all targets 3 times slower", expected=False)
def _overload(world: worlds.World) -> list[str]:
    for target in world.target_by_name.values():
        target.fault = "slow-3"
        world.after(HEAL - FAULT, lambda n=target.name: _heal(world, n))
    return []


@scenario("a failure domain lost", expected=False)
def _domain_lost(world: worlds.World) -> list[str]:
    domain = world.deployment.domains[0]
    lost = []
    for process in world.process_by_name.values():
        if process.domain == domain:
            process.dead = True
            lost.append(process.name)
    return lost


@scenario("half restarted cold", expected=False)
def _cold(world: worlds.World) -> list[str]:
    for name in list(world.target_by_name)[::2]:
        process = world.process_by_name[name]
        process.decisions.leave(name)
        world.after(0.5, process.announce)
    return []


@scenario("log away, a target fails")
def _log_away(world: worlds.World) -> list[str]:
    world.log_away = True
    return _fault(world, _sick(world), "fail")


@scenario("two operators publish at once", expected=False)
def _operators(world: worlds.World) -> list[str]:
    for author in ("one", "other"):
        world.publish(
            messages.Publication(
                author, "p", 1, author, world.deployment.policy
            )
        )
    return []


@scenario("healthy at 90%", share=0.9, expected=False)
def _peak(world: worlds.World) -> list[str]:
    return []


@scenario("opening hour: quiet to 110%", share=0.05, expected=False)
def _opening(world: worlds.World) -> list[str]:
    for service in world.rate_by_service:
        full = world.deployment.capacity(service)

        def rate(now: float, full: float = full) -> float:
            risen = min(1.0, (now - FAULT) / 4.0)
            burst = 0.2 if int(now) % 5 == 0 else 0.0
            return full * (0.05 + 0.85 * risen + burst)

        world.rate_by_service[service] = rate
    return []


def _pair(row: str, *names: str) -> None:
    parts = [scenario_by_name[name] for name in names]

    @scenario(row, expected=all(part.expected for part in parts))
    def begin(world: worlds.World) -> list[str]:
        return [name for part in parts for name in part.begin(world)]


_pair("two fail at once", *["fails all, answers probes"] * 2)
_pair("5 times slower and a cut", "5 times slower", "the other way cut")
_pair("fails 30% in overload", "fails 30%", "all targets 3 times slower")
