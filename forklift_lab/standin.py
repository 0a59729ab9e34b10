"""`forklift-lab target`: stand-ins of targets, as gray as they are told.

Each runs a few requests at once, answers with the token it was sent, echoes
the request id and counts every run of what must not repeat. Faults are
switched while it runs: `POST /lab?fault=hang` on the target's own address.
"""

import asyncio
import contextlib
import json
import math
import os
import random
import time
import urllib.parse

import click

from forklift.shell import client
from forklift.shell import http
from forklift.shell import server
from forklift_lab import faults

ANNOUNCE_PERIOD = 3.0
RETRY_PERIOD = 0.3
PAD = b"." * 512


class TargetStandIn:
    """One target."""

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        address: str,
        admin: str,
        slots: int = 4,
        median: float = 0.04,
        sigma: float = 0.5,
        seed: int = 1,
        connections: int = 330,
        key: str = "",
    ):
        self.name = name
        self.service = service
        self.domain = domain
        self.address = address
        self.admin = admin
        self.slots = slots
        self.connections = connections
        self._key = key
        self.fault = "none"
        self.runs_by_token: dict[str, int] = {}
        self.last_real = 0.0
        self.served = 0
        self.begun = 0
        self._median = median
        self._sigma = sigma
        self._rng = random.Random(f"{name}-{seed}")
        self._free = asyncio.Semaphore(slots)
        self._server = server.Server(self._handle, max_body=1 << 26)
        self._task: asyncio.Task | None = None

    async def open(self) -> None:
        """Listens and announces itself."""
        await self._server.open(self.address)
        if self.admin:
            self._task = asyncio.create_task(self._announce_for_ever())

    def close(self) -> None:
        """Stops at once."""
        if self._task is not None:
            self._task.cancel()
        self._server.abort()

    @property
    def cut_off(self) -> int:
        """Requests whose connection was closed before the answer."""
        return self._server.cut_off

    async def _announce_for_ever(self) -> None:
        asker = client.Client(self.admin)
        said = {
            "service": self.service,
            "domain": self.domain,
            "address": self.address,
            "slots": self.slots,
            "connections": self.connections,
            "health": "/health",
            "load": "/load",
            "echo": True,
        }
        body = json.dumps(said).encode()
        headers = (("authorization", f"Bearer {self._key}"),)
        while True:
            period = RETRY_PERIOD
            with contextlib.suppress(client.Failed):
                response = await asker.request(
                    "POST",
                    f"/targets/{self.name}",
                    body,
                    headers if self._key else (),
                    timeout=2.0,
                )
                if response.status == 200:
                    period = ANNOUNCE_PERIOD
            await asyncio.sleep(period)

    async def _handle(self, request: server.Request) -> server.Response | None:
        target = urllib.parse.urlsplit(request.target)
        if target.path == "/lab":
            return await self._switch(target.query)
        if target.path in ("/health", "/load"):
            return server.Response(200, b'{"load": 0}')
        self.begun += 1
        self.last_real = time.time()
        effect = faults.fault_by_name[self.fault](
            self._rng, target.path, faults.now()
        )
        if effect.hang:
            await faults.forever()
        async with self._free:
            seconds = self._median * math.exp(self._rng.gauss(0.0, self._sigma))
            await asyncio.sleep(seconds * effect.slower + effect.pause)
        return self._answer(request, effect)

    def _answer(
        self, request: server.Request, effect: faults.Effect
    ) -> server.Response:
        token = (http.value(request.headers, b"x-token") or b"").decode()
        if request.method == "POST" and effect.status == 0:
            self.runs_by_token[token] = self.runs_by_token.get(token, 0) + 1
        self.served += 1
        own = http.value(request.headers, http.REQUEST_ID) or b""
        echoed = b"somebody-else" if effect.other else own
        body = json.dumps({"token": token, "target": self.name}).encode() + PAD
        return server.Response(
            effect.status or 200,
            body,
            headers=((http.REQUEST_ID, echoed),),
            sent=len(body) // 2 if effect.short else -1,
        )

    async def _switch(self, query: str) -> server.Response:
        wanted = dict(urllib.parse.parse_qsl(query))
        if "fault" in wanted:
            self.fault = wanted["fault"]
            if self.fault == "refuse":
                self._server.close()
        said = {
            "runs": self.runs_by_token,
            "last": self.last_real,
            "served": self.served,
            "begun": self.begun,
            "cut_off": self.cut_off,
        }
        return server.Response(200, json.dumps(said).encode())


@click.command("target")
@click.option(
    "--spec",
    multiple=True,
    required=True,
    help="NAME,SERVICE,DOMAIN,ADDRESS,ADMIN[,SLOTS[,MEDIAN]]; repeat it.",
)
@click.option("--seed", default=1, show_default=True)
def command(spec: tuple[str, ...], seed: int) -> None:
    """Run stand-ins of targets that announce themselves."""

    async def serve() -> None:
        for text in spec:
            await parse_spec(text, seed).open()
        click.echo(f"{len(spec)} targets", err=True)
        await asyncio.Event().wait()

    asyncio.run(serve())


def parse_spec(text: str, seed: int) -> TargetStandIn:
    """Builds a stand-in from its description.

    Raises:
        click.BadParameter: The description is not usable.
    """
    parts = text.split(",")
    if not 5 <= len(parts) <= 7:
        raise click.BadParameter(f"{text!r}: give five to seven parts")
    name, service, domain, address, admin = parts[:5]
    slots = int(parts[5]) if len(parts) > 5 else 4
    median = float(parts[6]) if len(parts) > 6 else 0.04
    key = os.environ.get("FORKLIFT_KEY", "")
    return TargetStandIn(
        name, service, domain, address, admin, slots, median, seed=seed, key=key
    )
