"""`forklift-lab log`: a stand-in of the platform's log service.

Records live in memory. Retention, outages, slowness and lost answers can be
switched on while it runs: `POST /lab?away=1&slow=0.5&lose=1&retain=100`.
"""

import asyncio
import collections
import time
import urllib.parse

import click
import msgspec

from forklift.shell import logclient
from forklift.shell import server

MAX_WAIT = 5.0
MAX_RECORDS = 2000
KIND = b"application/msgpack"


class Stream:
    """One stream: records from the first that is retained."""

    def __init__(self):
        self.first = 0
        self.records: collections.deque[bytes] = collections.deque()

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: bytes) -> int:
        """Appends a record; returns its offset."""
        offset = self.next
        self.records.append(data)
        return offset

    def retain(self, most: int) -> None:
        """Drops the oldest records beyond `most`."""
        while len(self.records) > most:
            self.records.popleft()
            self.first += 1

    def read(self, offset: int) -> tuple[int, tuple[bytes, ...]]:
        """Records from an offset on; their first offset comes first."""
        start = min(max(offset, self.first), self.next)
        index = start - self.first
        stop = min(len(self.records), index + MAX_RECORDS)
        return start, tuple(self.records[i] for i in range(index, stop))


class LogService:
    """The service: streams, and the faults that are switched on."""

    def __init__(self, appends_per_second: float = 400.0):
        self.stream_by_name: dict[str, Stream] = {}
        self.away = False
        self.slow = 0.0
        self.lose = 0
        self.retain = 0
        self.appends = 0
        self._rate = appends_per_second
        self._free_at = 0.0
        self._news = asyncio.Event()

    async def handle(self, request: server.Request) -> server.Response | None:
        """Answers one request."""
        target = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/lab":
            return self._switch(query)
        if self.away:
            return None
        if self.slow:
            await asyncio.sleep(self.slow)
        if request.method == "POST" and target.path.startswith("/v1/streams/"):
            name = urllib.parse.unquote(target.path[len("/v1/streams/") :])
            return await self._append(name, request.body)
        if request.method == "GET" and target.path == "/v1/read":
            return await self._read(target.query, query)
        return server.Response(404)

    def _switch(self, query: dict[str, str]) -> server.Response:
        if "away" in query:
            self.away = query["away"] == "1"
        self.slow = float(query.get("slow", self.slow))
        self.lose = int(query.get("lose", self.lose))
        if "retain" in query:
            self.retain = int(query["retain"])
            for stream in self.stream_by_name.values():
                stream.retain(self.retain)
        return server.Response(200, b"{}")

    async def _append(self, name: str, data: bytes) -> server.Response | None:
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + 1 / self._rate
        await asyncio.sleep(max(0.0, self._free_at - now - 1.0))
        stream = self.stream_by_name.setdefault(name, Stream())
        offset = stream.append(data)
        self.appends += 1
        if self.retain:
            stream.retain(self.retain)
        self._news.set()
        if self.lose > 0:
            # It took effect and the answer is lost.
            self.lose -= 1
            return None
        body = msgspec.msgpack.encode(logclient.AppendAnswer(offset))
        return server.Response(200, body, KIND)

    async def _read(
        self, raw: str, query: dict[str, str]
    ) -> server.Response | None:
        wanted = _offsets(raw)
        wait = min(MAX_WAIT, float(query.get("wait", 0)))
        until = time.monotonic() + wait
        while not self._has_news(wanted) and not self.away:
            left = until - time.monotonic()
            if left <= 0:
                break
            self._news.clear()
            try:
                await asyncio.wait_for(self._news.wait(), left)
            except TimeoutError:
                break
        if self.away:
            return None
        answers = []
        for name, offset in wanted.items():
            stream = self.stream_by_name.setdefault(name, Stream())
            start, records = stream.read(offset)
            answers.append(
                logclient.StreamAnswer(name, stream.first, start, records)
            )
        return server.Response(200, msgspec.msgpack.encode(answers), KIND)

    def _has_news(self, wanted: dict[str, int]) -> bool:
        streams = self.stream_by_name
        return any(
            name in streams and streams[name].next > offset
            for name, offset in wanted.items()
        )


def _offsets(query: str) -> dict[str, int]:
    """Offsets by stream; names are quoted, so they hold no separator."""
    wanted = {}
    text = query.partition("from=")[2].partition("&")[0]
    for part in text.split(","):
        name, _, offset = part.rpartition(":")
        if name:
            wanted[urllib.parse.unquote(name)] = int(offset)
    return wanted


@click.command("log")
@click.option("--listen", default="127.0.0.1:7000", show_default=True)
@click.option(
    "--appends", default=400.0, show_default=True, help="Appends a second."
)
def command(listen: str, appends: float) -> None:
    """Run a stand-in of the platform's log service."""

    async def serve() -> None:
        service = LogService(appends)
        await server.Server(service.handle).open(listen)
        click.echo(f"log service on {listen}", err=True)
        await asyncio.Event().wait()

    asyncio.run(serve())
