"""The platform's log store, as the product's registry.

The store keeps records by topic. A topic whose name starts with `keyed.`
keeps the newest record of each key for good; the operator's record and the
addresses of our processes lie in two such topics.
"""

import base64
import struct
import urllib.parse

import msgspec
import structlog

from forklift import errors
from forklift import ports
from forklift import unreadable
from forklift.platform import configuration
from forklift.shell import client

_log = structlog.get_logger(__name__)

# The operator's topic and the key of the configuration in it.
_OPERATOR = "keyed.op"
_CONFIGURATION = "config"
# Our own topic: addresses of processes by name.
_MEMBERS = "keyed.forklift-members"
_PART = 0

_LENGTH = struct.Struct("!I")
# A read begins with the end of the partition and the first offset kept.
_BOUNDS = struct.Struct("!QQ")
_OK = 200
_GONE = 410
_CONDITION = 412
# Seconds to wait for an answer that the store does not hold back by itself:
# five times what a slow store takes. A call that hung while the store was
# silent and the longest pause after it are within the 2 s after its return in
# which processes that lost each other must have met.
TIMEOUT = 1.0
# Seconds to wait for the first append: the store takes appends in turn, and all
# processes of a fleet make theirs in one moment. Later ones come spread.
FIRST_APPEND_TIMEOUT = 2.0
# Seconds for which the answer to a read may be late after the time that the
# store holds it back: five times what a slow store takes.
LATE = 1.0


class _Moved(errors.ForkliftError):
    """The topic no longer ends where a conditional append expects it."""


class _Key(msgspec.Struct, frozen=True):
    key: str


class _Item(_Key, frozen=True):
    # In base64.
    value: str
    offset: int


class _Newest(msgspec.Struct, frozen=True, rename="kebab"):
    # Each is decoded by itself: one that another wrote may be of any shape.
    items: tuple[msgspec.Raw, ...]
    end: int
    # Whether a further page follows, after the last key of this one.
    has_more: bool = False


class Store:
    """The platform's store; see `ports.Registry`."""

    def __init__(self, address: str):
        self._client = client.Client(address)
        self.calls = 0
        self.failures = 0
        self._append_timeout = FIRST_APPEND_TIMEOUT

    async def configuration(self) -> ports.Found:
        """See `ports.Registry`."""
        newest = await self._newest(_OPERATOR, TIMEOUT)
        value_by_key, _ = _values(newest)
        return ports.Found(value_by_key.get(_CONFIGURATION), newest.end)

    async def next_configuration(
        self, position: int, wait: float
    ) -> ports.Found:
        """See `ports.Registry`."""
        query = {
            "topic": _OPERATOR,
            "part": _PART,
            "from": position,
            "wait-ms": int(wait * 1000),
        }
        body = await self._ask("GET", "/log-read", query, wait + LATE)
        end, _, records = _split(body)
        found = None
        for record in records:
            key, value = _keyed(record)
            if key == _CONFIGURATION:
                found = value
        # A read may be bounded in size, so what was read tells how far it is.
        after = position + len(records) if records else max(position, end)
        return ports.Found(found, after)

    async def members(self) -> dict[str, bytes]:
        """See `ports.Registry`."""
        members: dict[str, bytes] = {}
        after = ""
        while True:
            page = await self._newest(_MEMBERS, TIMEOUT, after)
            value_by_key, last = _values(page)
            members.update(value_by_key)
            if not page.has_more or last in ("", after):
                return members
            after = last

    async def announce(self, name: str, data: bytes) -> None:
        """See `ports.Registry`."""
        body = _record(name, data)
        query = {"topic": _MEMBERS, "part": _PART}
        timeout, self._append_timeout = self._append_timeout, TIMEOUT
        await self._ask("POST", "/log-append", query, timeout, body)

    async def publish(self, data: bytes, position: int) -> bool:
        """See `ports.Registry`."""
        body = _record(_CONFIGURATION, data)
        # The store appends only where the topic still ends at the position.
        query = {"topic": _OPERATOR, "part": _PART, "as-of": position}
        try:
            await self._ask(
                "POST", "/log-append", query, FIRST_APPEND_TIMEOUT, body
            )
        except _Moved:
            return False
        return True

    def close(self) -> None:
        """Closes connections."""
        self._client.close()

    async def _newest(
        self, topic: str, timeout: float, after: str = ""
    ) -> _Newest:
        query: dict[str, object] = {"topic": topic, "part": _PART}
        if after:
            query["after"] = after
        body = await self._ask("GET", "/log-newest", query, timeout)
        try:
            return msgspec.json.decode(body, type=_Newest)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            unreadable.note(unreadable.Source.STORE, str(error))
            raise errors.RegistryUnavailable(f"malformed: {error}") from error

    async def _ask(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout: float,
        body: bytes = b"",
    ) -> bytes:
        self.calls += 1
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await self._client.request(
                method, target, body, timeout=timeout
            )
        except client.Failed as error:
            self.failures += 1
            raise errors.RegistryUnavailable(str(error)) from error
        if response.status == _GONE:
            raise errors.RegistryGap()
        if response.status == _CONDITION:
            raise _Moved()
        if response.status != _OK:
            self.failures += 1
            raise errors.RegistryUnavailable(f"status {response.status}")
        return response.body


def _record(key: str, value: bytes) -> bytes:
    """One record of a keyed topic as an append takes it."""
    raw = key.encode()
    record = bytes((len(raw),)) + raw + value
    return _LENGTH.pack(len(record)) + record


def _split(body: bytes) -> tuple[int, int, list[bytes]]:
    """Splits the answer to a read into its bounds and whole records."""
    if len(body) < _BOUNDS.size:
        raise errors.RegistryUnavailable("a read was cut short")
    end, first = _BOUNDS.unpack_from(body)
    records = []
    start = _BOUNDS.size
    while start + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        if start + size > len(body):
            raise errors.RegistryUnavailable("a record was cut short")
        records.append(body[start : start + size])
        start += size
    return end, first, records


def _keyed(record: bytes) -> tuple[str, bytes]:
    """Splits a record of a keyed topic into key and value.

    One that another wrote without a whole key has none that anybody reads.
    """
    if not record or len(record) < 1 + record[0]:
        unreadable.note(unreadable.Source.STORE, "a record has no whole key")
        return "", b""
    end = 1 + record[0]
    return record[1:end].decode("utf-8", "replace"), record[end:]


def _values(page: _Newest) -> tuple[dict[str, bytes], str]:
    """Values by key, without those that can't be read, and the last key."""
    value_by_key: dict[str, bytes] = {}
    last = ""
    for raw in page.items:
        try:
            last = msgspec.json.decode(raw, type=_Key).key
            item = msgspec.json.decode(raw, type=_Item)
            value = base64.b64decode(item.value, validate=True)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            unreadable.note(unreadable.Source.STORE, str(error))
            continue
        value_by_key[item.key] = value
    return value_by_key, last


decode = configuration.decode
