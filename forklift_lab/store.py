"""`forklift-lab store`: a stand-in of the platform's log store.

Records live in memory, in topics with one partition each that is asked for.
Faults are switched on while it runs: away, slow, losing answers, forgetting.
"""

import asyncio
import base64
import copy
import dataclasses
import struct
import urllib.parse

import click
import msgspec

from forklift.shell import server

MAX_WAIT = 30.0
MAX_PAGE = 500
MAX_PAGE_BYTES = 1 << 20
RAW = b"application/octet-stream"
# Tells in which era the store answers.
ERA = b"store-era"
KEYED = "keyed."
# The operator's topic and key, as the platform's pages name them.
OPERATOR = "keyed.op"
CONFIGURATION = "config"
# Answers to earlier appends that a producer may ask for again.
REMEMBERED = 5
_LENGTH = struct.Struct("!I")
_BOUNDS = struct.Struct("!QQ")


class _Producer:
    """What a partition knows of one producer."""

    def __init__(self, epoch: int):
        self.epoch = epoch
        self.last: int | None = None
        self.answer_by_sequence: dict[int, bytes] = {}


class Partition:
    """Records from the first that is kept, and the newest of each key."""

    def __init__(self):
        self.first = 0
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.producer_by_name: dict[str, _Producer] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes, keyed: bool) -> int:
        """Appends a record; returns its offset."""
        offset = self.end
        self.records.append(record)
        if keyed:
            key, value = split_key(record)
            self.newest_by_key.pop(key, None)
            if value:
                self.newest_by_key[key] = (offset, value)
        return offset

    def forget(self, before: int) -> None:
        """Drops records before an offset; the newest of each key stay."""
        count = max(0, min(before, self.end) - self.first)
        del self.records[:count]
        self.first += count


def split_key(record: bytes) -> tuple[str, bytes]:
    r"""Splits a record of a keyed topic into key and value.

    >>> split_key(b"\x01kvalue")
    ('k', b'value')
    """
    end = 1 + record[0]
    return record[1:end].decode(), record[end:]


def join_key(key: str, value: bytes) -> bytes:
    """Joins key and value into a record of a keyed topic."""
    raw = key.encode()
    return bytes((len(raw),)) + raw + value


class Store:
    """The store: partitions, and the faults that are switched on."""

    def __init__(self):
        self.partition_by_place: dict[tuple[str, str], Partition] = {}
        self.away = False
        self.refusing = 0
        self.slow = 0.0
        self.losing = False
        self.calls = 0
        # Rises each time that it comes back from a copy.
        self.era = 0
        self._news = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Writes a keyed record, as an operator does; returns its offset."""
        partition = self._partition({"topic": topic, "part": "0"})
        offset = partition.append(join_key(key, value), keyed=True)
        self._wake()
        return offset

    def configure(self, record: dict) -> None:
        """Writes the operator's configuration."""
        self.put(OPERATOR, CONFIGURATION, msgspec.json.encode(record))

    def forget(self) -> None:
        """Drops all history; the newest of each key stay."""
        for partition in self.partition_by_place.values():
            partition.forget(partition.end)
        self._wake()

    def copied(self) -> dict[tuple[str, str], Partition]:
        """A copy to come back from."""
        return copy.deepcopy(self.partition_by_place)

    def go_back(self, copied: dict[tuple[str, str], Partition]) -> None:
        """Comes back from a copy: what was written since is gone."""
        self.partition_by_place = copied
        self.era += 1
        self._wake()

    def go_away(self) -> None:
        """Answers nothing from now on, also calls that wait."""
        self.away = True
        self._wake()

    async def handle(self, request: server.Request) -> server.Response | None:
        """Answers one request."""
        self.calls += 1
        target = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        if self.away:
            return None
        if self.refusing:
            return server.Response(self.refusing, b"{}")
        if self.slow:
            await asyncio.sleep(self.slow)
        handler = _HANDLERS.get((request.method, target.path))
        if handler is None:
            return server.Response(404, b"{}")
        response = await handler(self, query, request.body)
        lost = self.away or (self.losing and request.method == "POST")
        if lost:
            return None
        era = (ERA, str(self.era).encode())
        return dataclasses.replace(response, headers=(era,))

    def _partition(self, query: dict[str, str]) -> Partition:
        place = (query["topic"], query["part"])
        return self.partition_by_place.setdefault(place, Partition())

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _append(
        self, query: dict[str, str], body: bytes
    ) -> server.Response:
        partition = self._partition(query)
        producer = None
        if "producer" in query:
            refusal = self._check(partition, query)
            if refusal is not None:
                return refusal
            producer = partition.producer_by_name[query["producer"]]
        if "as-of" in query and int(query["as-of"]) != partition.end:
            return _json({"end": partition.end}, 412)
        offset = partition.end
        keyed = query["topic"].startswith(KEYED)
        for record in _records(body):
            partition.append(record, keyed)
        answer = {"offset": offset, "end": partition.end}
        if producer is not None and body:
            _remember(producer, int(query["sequence"]), answer)
        self._wake()
        return _json(answer)

    def _check(
        self, partition: Partition, query: dict[str, str]
    ) -> server.Response | None:
        epoch = int(query["epoch"])
        known = partition.producer_by_name.get(query["producer"])
        if known is None or epoch > known.epoch:
            known = _Producer(epoch)
            partition.producer_by_name[query["producer"]] = known
            return None
        if epoch < known.epoch:
            return _json({"why": "fenced"}, 409)
        if known.last is None or "sequence" not in query:
            return None
        sequence = int(query["sequence"])
        if sequence in known.answer_by_sequence:
            return server.Response(200, known.answer_by_sequence[sequence])
        if sequence != known.last + 1:
            wanted = {"why": "seq", "sequence": known.last + 1}
            return _json(wanted, 409)
        return None

    async def _read(
        self, query: dict[str, str], body: bytes
    ) -> server.Response:
        partition = self._partition(query)
        start = int(query["from"])
        wait = min(MAX_WAIT, int(query.get("wait-ms", 0)) / 1000)
        until = asyncio.get_running_loop().time() + wait
        while partition.end <= start and not self.away:
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                break
            news = self._news
            try:
                await asyncio.wait_for(news.wait(), left)
            except TimeoutError:
                break
        if start < partition.first:
            return _json({"first": partition.first}, 410)
        raw = bytearray(_BOUNDS.pack(partition.end, partition.first))
        most = int(query.get("max-kb", 1024)) * 1024
        for record in partition.records[start - partition.first :]:
            if len(raw) + len(record) > most:
                break
            raw += _LENGTH.pack(len(record)) + record
        return server.Response(200, bytes(raw), RAW)

    async def _newest(
        self, query: dict[str, str], body: bytes
    ) -> server.Response:
        partition = self._partition(query)
        after = query.get("after", "")
        keys = [k for k in sorted(partition.newest_by_key) if k > after]
        page, size = [], 0
        for key in keys[:MAX_PAGE]:
            size += len(partition.newest_by_key[key][1])
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(key)
        items = [
            {
                "key": key,
                "value": base64.b64encode(
                    partition.newest_by_key[key][1]
                ).decode(),
                "offset": partition.newest_by_key[key][0],
            }
            for key in page
        ]
        more = len(keys) > len(page)
        answer = {"items": items, "has-more": more, "end": partition.end}
        return _json(answer)

    async def _trim(
        self, query: dict[str, str], body: bytes
    ) -> server.Response:
        self._partition(query).forget(int(query["before"]))
        return _json({})


_HANDLERS = {
    ("POST", "/log-append"): Store._append,
    ("GET", "/log-read"): Store._read,
    ("GET", "/log-newest"): Store._newest,
    ("POST", "/log-trim"): Store._trim,
}


def _remember(producer: _Producer, sequence: int, answer: dict) -> None:
    producer.last = sequence
    producer.answer_by_sequence[sequence] = msgspec.json.encode(answer)
    while len(producer.answer_by_sequence) > REMEMBERED:
        oldest = next(iter(producer.answer_by_sequence))
        del producer.answer_by_sequence[oldest]


def _json(value: dict, status: int = 200) -> server.Response:
    return server.Response(status, msgspec.json.encode(value))


def _records(body: bytes) -> list[bytes]:
    records = []
    start = 0
    while start < len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        records.append(body[start : start + size])
        start += size
    return records


@click.command("store")
@click.option("--listen", default="127.0.0.1:7000", show_default=True)
@click.option(
    "--configuration",
    type=click.File("rb"),
    help="JSON record of the operator to begin with.",
)
def command(listen: str, configuration) -> None:
    """Run a stand-in of the platform's log store."""

    async def serve() -> None:
        store = Store()
        if configuration is not None:
            store.put(OPERATOR, CONFIGURATION, configuration.read())
        await server.Server(store.handle).open(listen)
        click.echo(f"store on {listen}", err=True)
        await asyncio.Event().wait()

    asyncio.run(serve())
