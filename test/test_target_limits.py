"""Targets that name a rate limit, or that say that they leave, in responses."""

import asyncio

import structlog

from forklift.shell import reports
from forklift_lab import scripted
from test import processes


def test_operators_see_the_limit_that_a_target_names():
    async def work(fleet):
        target, process = fleet.targets[0], fleet.proxies[0]
        with structlog.testing.capture_logs() as lines:
            for target.rate_limit in (2.5, None):
                assert (await fleet.ask()).status == 200
                report = reports.explain_target(process, "t0")
                assert report.rate_limit == target.rate_limit
        changes = [
            (line["before"], line["rate"])
            for line in lines
            if line["event"] == "target_rate_limit"
        ]
        assert changes == [(None, 2.5), (2.5, None)]

    processes.play(work, [[]])


# Requests a second that a target names.
RATE = 10.0
# Seconds in which its requests are counted, and how many it may get in these.
WINDOW = 4.0
ALLOWED = 1.5 * RATE * WINDOW + 5
# Concurrent callers of each process, and requests of each of them.
CALLERS = 3
REQUESTS = 60


async def _send_load(fleet) -> None:
    """Callers of all processes send one request after the other."""

    async def call(number: int) -> None:
        for _ in range(REQUESTS):
            await fleet.ask(number)

    async with asyncio.TaskGroup() as group:
        for number in range(len(fleet.proxies)):
            for _ in range(CALLERS):
                group.create_task(call(number))


def _most_arrivals(target: scripted.ScriptedTarget) -> int:
    """The most requests that reached a target within the window."""
    times = [received.at for received in target.received]
    return max(
        sum(since <= at < since + WINDOW for at in times) for since in times
    )


# A target in need got as much as before from all processes together, as nobody
# read the limit that it named.
def test_target_gets_no_more_than_its_limit_from_all_processes():
    async def work(fleet):
        for target in fleet.targets:
            target.rate_limit = RATE
        await _send_load(fleet)
        assert max(map(_most_arrivals, fleet.targets)) <= ALLOWED

    processes.play(work, [[], [], []])


# A process that had passed on the word of a target that it leaves went on to
# send requests to it, as the target's heartbeats did not say so.
def test_target_that_says_that_it_leaves_gets_no_further_request():
    async def work(fleet):
        leaving = fleet.targets[0]
        leaving.says_leaving = True
        while not leaving.received:
            for number in range(len(fleet.proxies)):
                assert (await fleet.ask(number)).status == 200
        received = len(leaving.received)
        fleet.announce(fleet.proxies[0], 0, sequence=5)
        for number in range(len(fleet.proxies)):
            for _ in range(10):
                assert (await fleet.ask(number)).status == 200
        assert len(leaving.received) == received

    processes.play(work, [[], [], []])
