"""Runs whole processes over real sockets, with a test store and targets."""

import contextlib
import dataclasses

from forklift import header_fields
from forklift import heartbeats
from forklift import settings
from forklift.platform import store as platform_store
from forklift.shell import client
from forklift.shell import proxy
from forklift.shell import server
from forklift_lab import scripted
from forklift_lab import store as lab_store
from test import helper

ANY_PORT = "127.0.0.1:0"


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
    """Processes with one scripted local target each, and a store.

    Args:
        scripts: Scripted behaviours of each target, in order of its requests.
        first: Configuration record that all processes load before the test
            starts; by default version 1 with one route. If empty, the store
            has no configuration and the fleet does not wait for one.
    """

    def __init__(self, scripts: list[list[str]], first: dict | None = None):
        self.scripts = scripts
        self.first = record(1) if first is None else first
        self.store = lab_store.Store()
        self.proxies: list[proxy.Proxy] = []
        self.targets: list[scripted.ScriptedTarget] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        self.server = server.Server(self.store.handle)
        await self.server.open(ANY_PORT)
        if self.first:
            self.store.configure(self.first)
        for number, script in enumerate(self.scripts):
            target = scripted.ScriptedTarget(*script, name=f"t{number}")
            self.targets.append(await self._stack.enter_async_context(target))
            await self.start(number)
        if self.first:
            await helper.until(self.is_ready)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.proxies:
            await process.close()
        await self._stack.aclose()
        self.server.abort()

    async def start(self, number: int) -> proxy.Proxy:
        process_settings = settings.Process(
            f"p{number}", "d", ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT
        )
        platform = settings.Platform(
            self.server.address, ANY_PORT, ANY_PORT, service=f"beside-{number}"
        )
        loaded_settings = settings.Settings(
            process_settings,
            platform,
            settings.Limits(),
            settings.Budget(1.0, 10.0, 100.0),
        )
        store = platform_store.Store(self.server.address)
        process = proxy.Proxy(
            loaded_settings,
            store,
            platform_store.decode_configuration,
            header_fields.DEFAULT,
        )
        await process.start()
        self.proxies.append(process)
        self.announce(process, number)
        return process

    def announce(self, process: proxy.Proxy, number: int, **changes) -> None:
        heartbeat = heartbeats.Heartbeat(
            heartbeats.TargetIncarnation(f"t{number}"),
            "s",
            self.targets[number].address,
            "d",
            4,
            False,
            1,
        )
        process.target_registry.record_heartbeat(
            dataclasses.replace(heartbeat, **changes)
        )

    def is_ready(self) -> bool:
        return all(
            process.active_catalog.loaded
            and len(process.balancer.views("s")) == len(self.targets)
            for process in self.proxies
        )

    async def ask(self, number: int = 0, path: str = "/a/") -> client.Response:
        caller = client.Client(self.proxies[number].caller_address)
        try:
            return await caller.request("GET", path, host="h", timeout=30.0)
        finally:
            caller.close()

    def runs(self) -> int:
        return sum(len(target.received) for target in self.targets)


def play(work, scripts, **changes):
    async def run():
        async with Fleet(scripts, **changes) as fleet:
            await work(fleet)

    helper.run(run())
