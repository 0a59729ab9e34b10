"""`forklift-lab load`: callers that ask for things and check what they get."""

import asyncio
import collections
import dataclasses
import json
import random
import secrets
import time
import uuid
from collections.abc import Callable

import click
import msgspec

from forklift.shell import client
from forklift.shell import http

CALLER_TIMEOUT = 12.0
MAX_TRIES = 6


@dataclasses.dataclass(frozen=True)
class Ask:
    """One thing that a caller wants.

    Attributes:
        method: HTTP method.
        path: Path, which leads to a service.
        host: Host header.
        token: Comes back in the answer.
        key: Idempotency key, or empty.
    """

    method: str
    path: str
    host: str
    token: str
    key: str


class Tally(msgspec.Struct):
    """What the callers of one run saw.

    Attributes:
        answered: Whole answers below 500.
        failed: Whole answers of 500 and above that a target gave.
        not_run: Requests told to be not run, after all tries.
        unknown: Requests told to be unknown.
        broken: Answers that broke off visibly, or no answer.
        mixed: Answers with another caller's token; must stay 0.
        tries: Requests sent in all.
        seconds: Time of each answered request with its tries.
        unknown_tokens: Tokens of unknown or broken ones.
        not_run_tokens: Tokens of those told to be not run.
    """

    answered: int = 0
    failed: int = 0
    not_run: int = 0
    unknown: int = 0
    broken: int = 0
    mixed: int = 0
    tries: int = 0
    seconds: list[float] = msgspec.field(default_factory=list)
    unknown_tokens: list[str] = msgspec.field(default_factory=list)
    not_run_tokens: list[str] = msgspec.field(default_factory=list)
    reasons: dict[str, int] = msgspec.field(default_factory=dict)


def uuid7() -> str:
    """A time-ordered key (RFC 9562)."""
    milliseconds = time.time_ns() // 1_000_000
    number = milliseconds << 80 | 7 << 76 | secrets.randbits(76)
    number = number & ~(0b11 << 62) | 0b10 << 62
    return str(uuid.UUID(int=number))


def teranga(rng: random.Random) -> Ask:
    """What a member or clerk of Teranga asks for."""
    token = secrets.token_hex(8)
    draw = rng.random()
    if draw < 0.60:
        return Ask("GET", f"/statements/{token}", "releves", token, "")
    if draw < 0.85:
        return Ask("GET", f"/balances/{token}", "guichet", token, "")
    if draw < 0.93:
        return Ask("POST", "/copies", "releves", token, uuid7())
    if draw < 0.96:
        return Ask("POST", "/copies", "releves", token, token)
    return Ask("POST", "/corrections", "guichet", token, "")


class Load:
    """Callers that arrive at random, at a rate that is not slowed down."""

    def __init__(
        self,
        addresses: list[str],
        rate: float,
        seed: int = 1,
        choose: Callable[[random.Random], Ask] = teranga,
    ):
        self._clients = [client.Client(address) for address in addresses]
        self._rate = rate
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task] = set()
        self._choose = choose
        self.tally = Tally()
        self.stopped = False

    async def run(self, seconds: float) -> Tally:
        """Sends for some seconds, then waits for the last answers."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        due = loop.time()
        while loop.time() < ends and not self.stopped:
            due += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.create_task(self._want(self._choose(self._rng)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CALLER_TIMEOUT)
        return self.tally

    async def _want(self, ask: Ask) -> None:
        started = time.monotonic()
        for number in range(MAX_TRIES):
            self.tally.tries += 1
            wait = await self._try(ask, started, number == MAX_TRIES - 1)
            if wait is None:
                return
            await asyncio.sleep(wait * self._rng.uniform(0.5, 1.5))

    async def _try(self, ask: Ask, started: float, last: bool) -> float | None:
        """Sends once; returns when to come back, or None when it is over."""
        headers = [("x-token", ask.token)]
        if ask.key:
            headers.append(("idempotency-key", ask.key))
        asker = self._rng.choice(self._clients)
        body = b"{}" if ask.method == "POST" else b""
        try:
            response = await asker.request(
                ask.method, ask.path, body, tuple(headers),
                CALLER_TIMEOUT, ask.host,
            )  # fmt: skip
        except client.Failed as error:
            if not error.sent and not last:
                return 0.05
            self._unsure(ask, "broken")
            self.tally.broken += 1
            return None
        return self._judge(ask, response, started, last)

    def _judge(
        self, ask: Ask, response: client.Response, started: float, last: bool
    ) -> float | None:
        kind = http.value(response.headers, b"content-type")
        if kind == http.PROBLEM:
            return self._problem(ask, response, last)
        if f'"{ask.token}"'.encode() not in response.body:
            self.tally.mixed += 1
            return None
        if response.status >= 500:
            self.tally.failed += 1
            return None
        self.tally.answered += 1
        self.tally.seconds.append(time.monotonic() - started)
        return None

    def _problem(
        self, ask: Ask, response: client.Response, last: bool
    ) -> float | None:
        told = json.loads(response.body)
        reason = told["reason"]
        if told["outcome"] == "not-run":
            if not last:
                after = http.value(response.headers, b"retry-after")
                return float(after or 0.1)
            self.tally.not_run += 1
            self.tally.not_run_tokens.append(ask.token)
        else:
            self.tally.unknown += 1
            self._unsure(ask, reason)
            return None
        self._count(reason)
        return None

    def _unsure(self, ask: Ask, reason: str) -> None:
        self.tally.unknown_tokens.append(ask.token)
        self._count(reason)

    def _count(self, reason: str) -> None:
        counter = collections.Counter(self.tally.reasons)
        counter[reason] += 1
        self.tally.reasons = dict(counter)


@click.command("load")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--rate", default=50.0, show_default=True, help="A second.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def command(
    addresses: tuple[str, ...], rate: float, seconds: float, seed: int
) -> None:
    """Send Teranga's requests to the callers' ADDRESSES; print the tally."""
    tally = asyncio.run(Load(list(addresses), rate, seed).run(seconds))
    click.echo(msgspec.json.format(msgspec.json.encode(tally), indent=2))
