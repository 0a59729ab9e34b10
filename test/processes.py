"""Whole processes on a stand-in of the platform, over real sockets."""

import contextlib
import dataclasses

from forklift import header_fields
from forklift import heartbeats
from forklift import settings
from forklift.platform import store as adapter
from forklift.shell import client
from forklift.shell import proxy
from forklift.shell import server
from forklift_lab import scripted
from forklift_lab import store as standin
from test import helper

ANY = "127.0.0.1:0"


def route(kind: str = "idempotent", **changes) -> dict:
    return {
        "host": "h",
        "path-prefix": "/a/",
        "kind": kind,
        "service": "s",
        "timeout-ms": 5000,
        "retry-attempts": 2,
        **changes,
    }


def record(version: int, **routes: dict) -> dict:
    routes = routes or {"r": route()}
    return {"version": version, "routes": routes, "services": {"s": {}}}


class Fleet:
    """Processes, each beside a scripted target, and a store."""

    def __init__(self, scripts: list[list[str]], first: dict | None = None):
        self.scripts = scripts
        self.first = record(1) if first is None else first
        self.store = standin.Store()
        self.proxies: list[proxy.Proxy] = []
        self.targets: list[scripted.ScriptedTarget] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        self.server = server.Server(self.store.handle)
        await self.server.open(ANY)
        if self.first:
            self.store.configure(self.first)
        for number, script in enumerate(self.scripts):
            target = scripted.ScriptedTarget(*script, name=f"t{number}")
            self.targets.append(await self._stack.enter_async_context(target))
            await self.start(number)
        if self.first:
            await helper.until(self.meets)
        return self

    async def __aexit__(self, *_: object) -> None:
        for one in self.proxies:
            await one.close()
        await self._stack.aclose()
        self.server.abort()

    async def start(self, number: int) -> proxy.Proxy:
        process = settings.Process(f"p{number}", "d", ANY, ANY, ANY, ANY)
        platform = settings.Platform(
            self.server.address, ANY, ANY, service=f"beside-{number}"
        )
        read = settings.Settings(
            process,
            platform,
            settings.Limits(),
            settings.Budget(1.0, 10.0, 100.0),
        )
        store = adapter.Store(self.server.address)
        one = proxy.Proxy(
            read, store, adapter.decode_configuration, header_fields.DEFAULT
        )
        await one.start()
        self.proxies.append(one)
        self.announce(one, number)
        return one

    def announce(self, one: proxy.Proxy, number: int, **changes) -> None:
        said = heartbeats.Heartbeat(
            heartbeats.TargetIncarnation(f"t{number}"),
            "s",
            self.targets[number].address,
            "d",
            4,
            False,
            1,
        )
        one.target_registry.record_heartbeat(
            dataclasses.replace(said, **changes)
        )

    def meets(self) -> bool:
        return all(
            one.active_catalog.loaded
            and len(one.balancer.views("s")) == len(self.targets)
            for one in self.proxies
        )

    async def ask(self, number: int = 0, path: str = "/a/") -> client.Response:
        asker = client.Client(self.proxies[number].caller_address)
        try:
            return await asker.request("GET", path, host="h", timeout=30.0)
        finally:
            asker.close()

    def runs(self) -> int:
        return sum(len(target.received) for target in self.targets)


def play(work, scripts, **changes):
    async def run():
        async with Fleet(scripts, **changes) as fleet:
            await work(fleet)

    helper.run(run())
