"""The life of one process."""

import asyncio
import os
import signal

from forklift import settings
from forklift.shell import proxy
from forklift.shell import serve
from forklift.shell import shutdown
from test import helper

ANY = "127.0.0.1:0"


def test_a_signal_that_comes_as_callers_are_first_listened_for(monkeypatch):
    """By its default it would end the process with their requests."""
    started = proxy.Proxy.start
    missed = []

    async def start(one: proxy.Proxy) -> None:
        await started(one)
        os.kill(os.getpid(), signal.SIGTERM)

    async def work():
        # A store that is away.
        platform = settings.Platform("127.0.0.1:9", ANY, ANY)
        process = settings.Process("p", "d", ANY, ANY, ANY, ANY)
        async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
            await serve.serve(settings.Settings(process, platform), "none")

    monkeypatch.setattr(proxy.Proxy, "start", start)
    monkeypatch.setattr(shutdown, "LAME_DUCK_TIME", 0.2)
    monkeypatch.setattr(serve, "_freeze_startup_objects", lambda: None)
    before = signal.signal(signal.SIGTERM, lambda *_: missed.append(True))
    try:
        helper.run(work())
    finally:
        signal.signal(signal.SIGTERM, before)
    assert missed == []


def test_each_further_signal_reaches_the_stop_that_it_finds(monkeypatch):
    """One more SIGTERM in a series of restarts brings a grace of its own."""
    asked = []

    async def stop(one: proxy.Proxy) -> None:
        # A stop that is under way, until it has seen two signals.
        os.kill(os.getpid(), signal.SIGTERM)
        await helper.until(lambda: len(asked) == 2)
        await one.close()

    async def work():
        platform = settings.Platform("127.0.0.1:9", ANY, ANY)
        process = settings.Process("p", "d", ANY, ANY, ANY, ANY)
        loop = asyncio.get_running_loop()
        loop.call_later(0, os.kill, os.getpid(), signal.SIGTERM)
        await serve.serve(settings.Settings(process, platform), "none")

    def ask(one: proxy.Proxy) -> None:
        asked.append(one)

    monkeypatch.setattr(proxy.Proxy, "stop", stop)
    monkeypatch.setattr(proxy.Proxy, "request_stop", ask)
    monkeypatch.setattr(serve, "_freeze_startup_objects", lambda: None)
    missed = []
    before = signal.signal(signal.SIGTERM, lambda *_: missed.append(True))
    try:
        helper.run(work())
    finally:
        signal.signal(signal.SIGTERM, before)
    assert len(asked) == 2
    assert missed == []
