"""Processes that exchange control messages while their peers stop and restart.

Run as a program, it is one of these processes: it sends messages of all sizes
to some peers until SIGTERM, goes on for a short time as a draining process
does, closes its channel and exits with status 0.
"""

import asyncio
import dataclasses
import faulthandler
import pathlib
import random
import signal
import socket
import sys

import structlog

from forklift import messages
from forklift.shell import control_channel

# Number of peers that one process sends to.
PEERS = 6
# Maximum seconds between two messages.
MAX_PAUSE = 0.008
MESSAGE_BYTES = (100, 40_000)
NEW_CONNECTION_SHARE = 0.2
# Seconds of sending after SIGTERM.
DRAIN_SECONDS = 0.3
# Seconds that a process runs before it is disturbed.
RUN_SECONDS = (0.6, 3.0)
MAX_STOPPED_SECONDS = 1.5
SIGTERM_SHARE, SIGKILL_SHARE = 0.5, 0.1


async def exchange(address: str, peers: list[str], seed: int) -> int:
    """Sends and receives until SIGTERM; returns the messages received."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    channel = control_channel.ControlChannel(
        address, seed, b"key", lambda: 0.0, lambda message: None
    )
    await channel.open()
    sender = messages.Sender("p", address)
    payload = rng.randbytes(MESSAGE_BYTES[1])
    print("listening", flush=True)
    until = None
    while until is None or loop.time() < until:
        if stopping.is_set() and until is None:
            until = loop.time() + DRAIN_SECONDS
        size = rng.randint(*MESSAGE_BYTES)
        message = messages.CatalogOffer(sender, 1, payload[:size])
        is_new = rng.random() < NEW_CONNECTION_SHARE
        channel.send(rng.choice(peers), message, is_new)
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE))
    channel.close()
    return channel.received


@dataclasses.dataclass
class Tally:
    """What became of the processes.

    Attributes:
        ends: Number of processes that ended.
        received: Messages received by those that stopped as planned.
        unexpected: Exit statuses and last output of those that ended in a way
            that was not brought about.
    """

    ends: int = 0
    received: int = 0
    unexpected: list[str] = dataclasses.field(default_factory=list)


async def _run_one(
    address: str,
    peers: list[str],
    rng: random.Random,
    log: pathlib.Path,
    tally: Tally,
) -> None:
    """Runs one process until it is stopped, and records how it ended."""
    with log.open("wb") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "test.control_churn",
            address,
            str(rng.randrange(1 << 30)),
            *peers,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
        )
    try:
        await process.stdout.readline()
        expected = None
        while expected is None and process.returncode is None:
            await asyncio.sleep(rng.uniform(*RUN_SECONDS))
            expected = await _disturb(process, rng)
        output = await process.stdout.read()
        status = await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    tally.ends += 1
    tally.received += int(output or 0)
    if status != expected:
        end = log.read_text(errors="replace")[-2000:]
        tally.unexpected.append(f"{address} ended with {status}: {end}")


async def _disturb(process, rng: random.Random) -> int | None:
    """Stops, kills or pauses a process; returns the expected exit status."""
    drawn = rng.random()
    try:
        if drawn < SIGTERM_SHARE:
            process.send_signal(signal.SIGTERM)
            return 0
        if drawn < SIGTERM_SHARE + SIGKILL_SHARE:
            process.send_signal(signal.SIGKILL)
            return -signal.SIGKILL
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.0, MAX_STOPPED_SECONDS))
        process.send_signal(signal.SIGCONT)
    except ProcessLookupError:
        return None
    return None


async def play(
    processes: int, seconds: float, seed: int, folder: pathlib.Path
) -> Tally:
    """Lets processes exchange messages while they are stopped and restarted.

    Args:
        processes: Number of processes at a time.
        seconds: Seconds during which processes that ended are replaced.
        seed: Seed of the disturbances.
        folder: Where the processes write their errors.
    """
    addresses = _reserve_addresses(processes)
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    tally = Tally()

    async def keep_running(number: int) -> None:
        rng = random.Random(seed * 1000 + number)
        others = addresses[:number] + addresses[number + 1 :]
        peers = rng.sample(others, min(PEERS, len(others)))
        run = 0
        while loop.time() < end_at:
            log = folder / f"{number}-{run}.log"
            await _run_one(addresses[number], peers, rng, log, tally)
            run += 1

    async with asyncio.TaskGroup() as tasks:
        for number in range(processes):
            tasks.create_task(keep_running(number))
    return tally


def _reserve_addresses(count: int) -> list[str]:
    """Returns addresses whose ports were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for reserved in sockets:
        reserved.bind(("127.0.0.1", 0))
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    return [f"127.0.0.1:{port}" for port in ports]


def main() -> None:
    """Runs one process: address, seed, addresses of its peers."""
    faulthandler.enable()
    # Standard output is for the result alone.
    errors = structlog.PrintLoggerFactory(sys.stderr)
    structlog.configure(logger_factory=errors)
    address, seed, *peers = sys.argv[1:]
    print(asyncio.run(exchange(address, peers, int(seed))))


if __name__ == "__main__":
    main()
