"""The platform's log store, as the product's registry.

The store keeps records by topic. A topic whose name starts with `keyed.`
keeps the newest record of each key for good; the operator's record and the
addresses of our processes lie in two such topics.
"""

import base64
import dataclasses
import struct
import urllib.parse
from collections.abc import Callable

import msgspec
import structlog

from forklift import errors
from forklift import interfaces
from forklift import invalid_input
from forklift.platform import configuration
from forklift.shell import client
from forklift.shell import http

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
# Rises each time that the store came back from a copy, without what it had
# acknowledged since; in all its answers.
_EPOCH = b"store-era"
_EPOCH_DIGITS = 18
_OK = 200
_GONE = 410
_CONDITION = 412
# Seconds to wait for an answer that the store does not hold back by itself:
# five times what a slow store takes. A call that hung while the store was
# silent and the longest pause after it are within the 2 s after its return in
# which processes that lost each other must have met.
REQUEST_TIMEOUT = 1.0
# Seconds to wait for the first append: the store takes appends in turn, and all
# processes of a fleet make theirs in one moment. Later ones come spread.
FIRST_APPEND_TIMEOUT = 2.0
# Seconds for which the answer to a read may be late after the time that the
# store holds it back: five times what a slow store takes.
LONG_POLL_MARGIN = 1.0


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


@dataclasses.dataclass(frozen=True)
class _Answer:
    """What the store answered, and in which era."""

    body: bytes
    epoch: int


class Store:
    """The platform's store; see `interfaces.Registry`."""

    def __init__(self, address: str):
        self._client = client.Client(address)
        # See `interfaces.Registry`.
        self.on_lost: Callable[[], None] = lambda: None
        # The highest era of any answer, and that in which the position was
        # found where the configuration is read on.
        self.epoch: int | None = None
        self._read_in: int | None = None
        self.calls = 0
        self.failures = 0
        self._append_timeout = FIRST_APPEND_TIMEOUT

    async def configuration(self) -> interfaces.ConfigurationRead:
        """See `interfaces.Registry`."""
        newest, self._read_in = await self._newest(_OPERATOR, REQUEST_TIMEOUT)
        value_by_key, _ = _values(newest)
        return interfaces.ConfigurationRead(
            value_by_key.get(_CONFIGURATION), newest.end
        )

    async def next_configuration(
        self, position: int, wait: float
    ) -> interfaces.ConfigurationRead:
        """See `interfaces.Registry`."""
        query = {
            "topic": _OPERATOR,
            "part": _PART,
            "from": position,
            "wait-ms": int(wait * 1000),
        }
        self._check_epoch(self.epoch)
        found = await self._ask(
            "GET", "/log-read", query, wait + LONG_POLL_MARGIN
        )
        self._check_epoch(found.epoch)
        end, _, records = _split(found.body)
        found = None
        for record in records:
            key, value = _keyed(record)
            if key == _CONFIGURATION:
                found = value
        # A read may be bounded in size, so what was read tells how far it is.
        after = position + len(records) if records else max(position, end)
        return interfaces.ConfigurationRead(found, after)

    async def members(self) -> dict[str, bytes]:
        """See `interfaces.Registry`."""
        members: dict[str, bytes] = {}
        after = ""
        while True:
            page, _ = await self._newest(_MEMBERS, REQUEST_TIMEOUT, after)
            value_by_key, last = _values(page)
            members.update(value_by_key)
            if not page.has_more or last in ("", after):
                return members
            after = last

    async def announce(self, name: str, data: bytes) -> None:
        """See `interfaces.Registry`."""
        body = _record(name, data)
        query = {"topic": _MEMBERS, "part": _PART}
        timeout, self._append_timeout = self._append_timeout, REQUEST_TIMEOUT
        await self._ask("POST", "/log-append", query, timeout, body)

    async def publish(self, data: bytes, position: int) -> bool:
        """See `interfaces.Registry`."""
        body = _record(_CONFIGURATION, data)
        # The store appends only where the topic still ends at the position.
        query = {"topic": _OPERATOR, "part": _PART, "as-of": position}
        if self.epoch != self._read_in:
            # The position is none of the records that are there now.
            return False
        try:
            found = await self._ask(
                "POST", "/log-append", query, FIRST_APPEND_TIMEOUT, body
            )
        except _Moved:
            return False
        if found.epoch != self._read_in:
            raise errors.RegistryUnavailable(
                "it went back to a copy meanwhile, and may have written it"
            )
        return True

    def close(self) -> None:
        """Closes connections."""
        self._client.close()

    async def _newest(
        self, topic: str, timeout: float, after: str = ""
    ) -> tuple[_Newest, int]:
        query: dict[str, object] = {"topic": topic, "part": _PART}
        if after:
            query["after"] = after
        found = await self._ask("GET", "/log-newest", query, timeout)
        try:
            return msgspec.json.decode(found.body, type=_Newest), found.epoch
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            invalid_input.record(invalid_input.Source.STORE, str(error))
            raise errors.RegistryUnavailable(f"malformed: {error}") from error

    async def _ask(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout: float,
        body: bytes = b"",
    ) -> _Answer:
        self.calls += 1
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await self._client.request(
                method, target, body, timeout=timeout
            )
        except client.Failed as error:
            self.failures += 1
            raise errors.RegistryUnavailable(str(error)) from error
        epoch = self._update_epoch(response)
        if response.status == _GONE:
            raise errors.RegistryGap()
        if response.status == _CONDITION:
            raise _Moved()
        if response.status != _OK:
            self.failures += 1
            raise errors.RegistryUnavailable(f"status {response.status}")
        return _Answer(response.body, epoch)

    def _update_epoch(self, response: client.Response) -> int:
        """Takes in the era of an answer; a lower one is only late.

        Raises:
            errors.RegistryUnavailable: It is of an earlier era.
        """
        epoch = _epoch(response)
        before = self.epoch
        if before is not None and epoch < before:
            self.failures += 1
            raise errors.RegistryUnavailable("an answer of before it went back")
        self.epoch = epoch
        if before is not None and epoch > before:
            _log.warning("store_went_back", era=epoch, before=before)
            self.on_lost()
        return epoch

    def _check_epoch(self, epoch: int | None) -> None:
        """Whether a position says the same as when it was found.

        Raises:
            errors.RegistryGap: Offsets were given out again since.
        """
        if self._read_in is None:
            self._read_in = epoch
        if epoch != self._read_in:
            raise errors.RegistryGap()


def _epoch(response: client.Response) -> int:
    """The era of an answer; a store that tells none is in the first."""
    told = http.value(response.headers, _EPOCH) or b"0"
    if not told.isdigit() or len(told) > _EPOCH_DIGITS:
        invalid_input.record(invalid_input.Source.STORE, "the era is no number")
        raise errors.RegistryUnavailable("malformed: the era is no number")
    return int(told)


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
        invalid_input.record(
            invalid_input.Source.STORE, "a record has no whole key"
        )
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
            invalid_input.record(invalid_input.Source.STORE, str(error))
            continue
        value_by_key[item.key] = value
    return value_by_key, last


decode = configuration.decode
