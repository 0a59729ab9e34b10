"""The soak: its promises notice breaches, and a short seeded run of it."""

import asyncio
import types

import pytest

from forklift.platform import names
from forklift_lab import play
from forklift_lab import relay
from forklift_lab import scripted
from forklift_lab import soak
from test import helper

# Seeds that failed once, with the cause; each is played in CI.
#   2: a process told to stop while it was loading ended by the signal; the
#      soak took that for a failed stop.
SEEDS = (2,)


def received(request_id: str, at: float) -> types.SimpleNamespace:
    value = request_id.encode()
    return types.SimpleNamespace(field=lambda name: value, at=at)


class Target:
    """What a target saw, as the soak looks at it."""

    def __init__(self, *arrivals: tuple[str, float]):
        self.received = [received(name, at) for name, at in arrivals]
        self.played = ["well"] * len(arrivals)
        self.names_received = ["t"] * len(arrivals)
        self.left_at_by_name: dict[str, float] = {}


def seen(request_id: str, status: int, **changes) -> soak.Seen:
    return soak.Seen(request_id, "p", 1.0, 2.0, status, **changes)


def breaches(arrivals=(), told=(), **changes) -> list[str]:
    """What the promises say of these arrivals and answers."""
    target = Target(*arrivals)
    target.left_at_by_name = changes.get("left", {})
    running = types.SimpleNamespace(target_by_name={"p": target})
    found = soak.Soak(1, running)
    found.seen = list(told)
    found.harms_by_place["p"] = changes.get("harms", [])
    found.stopped = changes.get("stopped", [])
    return soak.check(found)


@pytest.mark.parametrize(
    ("promise", "case"),
    [
        ("at most once", {"arrivals": [("u-1", 1.0), ("u-1", 1.1)]}),
        (
            "not run is true",
            {"arrivals": [("u-1", 1.0)], "told": [seen("u-1", 503)]},
        ),
        ("own answer", {"told": [seen("s-1", 200, own=False)]}),
        ("an answer in the end", {"told": [seen("s-1", 0, hung=True)]}),
        (
            "nothing cut off",
            {"arrivals": [("u-1", 1.0)], "told": [seen("u-1", 0)]},
        ),
        ("planned stops end well", {"stopped": [("p", -9)]}),
        (
            "the configuration never goes back",
            {
                "told": [
                    soak.Seen("s-1", "p", 1.0, 2.0, 200, version=2),
                    soak.Seen("s-2", "p", 3.0, 4.0, 200, version=1),
                ]
            },
        ),
        (
            "a leaving target gets no work",
            {"arrivals": [("u-1", 9.0)], "left": {"t": 1.0}},
        ),
    ],
)
def test_a_breach_is_noticed(promise, case):
    assert [text.split(":")[0] for text in breaches(**case)] == [promise]


def test_what_a_killed_process_cut_off_is_no_breach():
    told = [seen("u-1", 0), seen("s-2", 0, hung=True)]
    assert breaches([("u-1", 1.0)], told, harms=[(1.5, 1.6)]) == []


def test_a_relay_holds_back_what_goes_one_way_and_delivers_it_later():
    async def work():
        target = scripted.ScriptedTarget(names=names.DIALECT)
        async with target, relay.Relay(target.address) as passing:
            host, _, port = passing.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            passing.silence(relay.Way.DOWN)
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            await helper.until(lambda: target.received)
            answer = asyncio.create_task(reader.readexactly(8))
            await asyncio.sleep(0)
            assert not answer.done()
            passing.heal()
            assert await answer == b"HTTP/1.1"
            passing.reset()
            with pytest.raises(ConnectionError):
                while await reader.read(4096):
                    pass

    helper.run(work())


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_promise(seed):
    played = asyncio.run(play.play(seed))
    assert played.breaches == [], "\n".join(played.told)
    assert any(one.status == 200 for one in played.seen)
