"""Client of the platform's log store.

The store keeps records by topic. In a topic whose name starts with `keyed.`,
the newest record of each key is retained indefinitely. One such topic holds the
operator's configuration, another the addresses of forklift processes.
"""

import asyncio
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

# Topic of the operator, and the key of the configuration in it.
_OPERATOR_TOPIC = "keyed.op"
_CONFIGURATION_KEY = "config"
# Topic of the addresses of forklift processes, by name.
_MEMBERS_TOPIC = "keyed.forklift-members"
_PARTITION = 0

_LENGTH = struct.Struct("!I")
# A read starts with the end offset and the first retained offset.
_BOUNDS = struct.Struct("!QQ")
# Response header with the epoch of the store. The epoch increases when the
# store is restored from a backup and loses later writes.
_EPOCH_HEADER = b"store-era"
_MAX_EPOCH_DIGITS = 18
# Differs from all epochs.
_NO_EPOCH = -1
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
# Timeout in seconds of all other calls except long polls. It limits how long a
# call that hangs delays a retry after the store recovers. It is five times what
# a slow store takes.
REQUEST_TIMEOUT = 1.0
# Timeout in seconds of the first append and of publishing. All processes of a
# fleet may start at the same time, and the store serializes appends.
FIRST_APPEND_TIMEOUT = 2.0
# Maximum number of announcements that are written at a time; each has a
# connection. The store serializes appends.
MAX_CONCURRENT_APPENDS = 16
# Seconds added to the wait time of a long poll to get its timeout. It is five
# times what a slow store takes.
LONG_POLL_MARGIN = 1.0


class _PreconditionFailed(errors.ForkliftError):
    """The topic no longer ends at the position of a conditional append."""


class _ItemKey(msgspec.Struct, frozen=True):
    key: str


class _Item(_ItemKey, frozen=True):
    # Base64.
    value: str
    offset: int


class _NewestPage(msgspec.Struct, frozen=True, rename="kebab"):
    # Decoded separately, as other writers may have stored invalid items.
    items: tuple[msgspec.Raw, ...]
    end: int
    # Whether another page follows after the last key of this page.
    has_more: bool = False


@dataclasses.dataclass(frozen=True)
class _StoreResponse:
    """Body of a response and the epoch of the store."""

    body: bytes
    epoch: int


class Store:
    """The platform's store; implements `interfaces.Registry`."""

    def __init__(self, address: str):
        self._client = client.Client(address)
        self.on_lost: Callable[[], None] = lambda: None
        # Highest epoch of any response.
        self.epoch: int | None = None
        # Epoch in which the position in the configuration topic was read.
        self._position_epoch: int | None = None
        self.calls = 0
        self.failures = 0
        self._append_timeout = FIRST_APPEND_TIMEOUT
        self._appends = asyncio.Semaphore(MAX_CONCURRENT_APPENDS)
        # Whether no response has arrived since the address was changed.
        self._moved = False

    def change_address(self, address: str) -> None:
        """Calls another address from now on.

        Another store may be there, so all records are written again.

        Args:
            address: The address, "ip:port".
        """
        self._client.close()
        self._client = client.Client(address)
        self._moved = True
        self._position_epoch = _NO_EPOCH

    async def configuration(self) -> interfaces.ConfigurationRead:
        """See `interfaces.Registry`."""
        newest, self._position_epoch = await self._read_newest(
            _OPERATOR_TOPIC, REQUEST_TIMEOUT
        )
        value_by_key, _ = _decode_items(newest)
        return interfaces.ConfigurationRead(
            value_by_key.get(_CONFIGURATION_KEY), newest.end
        )

    async def next_configuration(
        self, position: int, wait: float
    ) -> interfaces.ConfigurationRead:
        """See `interfaces.Registry`."""
        query = {
            "topic": _OPERATOR_TOPIC,
            "part": _PARTITION,
            "from": position,
            "wait-ms": int(wait * 1000),
        }
        self._require_position_epoch(self.epoch)
        found = await self._call(
            "GET", "/log-read", query, wait + LONG_POLL_MARGIN
        )
        self._require_position_epoch(found.epoch)
        end, _, records = _split_records(found.body)
        found = None
        for record in records:
            key, value = _split_key(record)
            if key == _CONFIGURATION_KEY:
                found = value
        # The response may not hold all records, so the next position is
        # computed from the number of records in it.
        after = position + len(records) if records else max(position, end)
        return interfaces.ConfigurationRead(found, after)

    async def members(
        self, accepts: Callable[[str, bytes], bool] = lambda name, data: True
    ) -> interfaces.MembersRead:
        """See `interfaces.Registry`."""
        members: dict[str, bytes] = {}
        after, first_epoch = "", None
        while True:
            page, epoch = await self._read_newest(
                _MEMBERS_TOPIC, REQUEST_TIMEOUT, after
            )
            if first_epoch not in (None, epoch):
                raise errors.RegistryUnavailable(
                    "it was restored from a backup during a read of pages"
                )
            first_epoch = epoch
            value_by_key, last = _decode_items(page)
            members.update(
                (name, data)
                for name, data in value_by_key.items()
                if accepts(name, data)
            )
            if not page.has_more or last in ("", after):
                return interfaces.MembersRead(members, epoch)
            after = last

    async def announce(self, name: str, data: bytes) -> int:
        """See `interfaces.Registry`."""
        body = _encode_record(name, data)
        query = {"topic": _MEMBERS_TOPIC, "part": _PARTITION}
        async with self._appends:
            timeout = self._append_timeout
            self._append_timeout = REQUEST_TIMEOUT
            found = await self._call(
                "POST", "/log-append", query, timeout, body
            )
        return found.epoch

    async def publish(self, data: bytes, position: int) -> bool:
        """See `interfaces.Registry`."""
        body = _encode_record(_CONFIGURATION_KEY, data)
        # The store appends only if the topic still ends at the position.
        query = {
            "topic": _OPERATOR_TOPIC,
            "part": _PARTITION,
            "as-of": position,
        }
        if self.epoch != self._position_epoch:
            # The position is invalid in the current epoch.
            return False
        try:
            found = await self._call(
                "POST", "/log-append", query, FIRST_APPEND_TIMEOUT, body
            )
        except _PreconditionFailed:
            return False
        if found.epoch != self._position_epoch:
            raise errors.RegistryUnavailable(
                "it was restored from a backup meanwhile; the write may "
                "have taken effect"
            )
        return True

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()

    async def _read_newest(
        self, topic: str, timeout: float, after: str = ""
    ) -> tuple[_NewestPage, int]:
        query: dict[str, object] = {"topic": topic, "part": _PARTITION}
        if after:
            query["after"] = after
        found = await self._call("GET", "/log-newest", query, timeout)
        try:
            return msgspec.json.decode(
                found.body, type=_NewestPage
            ), found.epoch
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            invalid_input.record(invalid_input.Source.STORE, str(error))
            raise errors.RegistryUnavailable(f"malformed: {error}") from error

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout: float,
        body: bytes = b"",
    ) -> _StoreResponse:
        self.calls += 1
        target = f"{path}?{urllib.parse.urlencode(query)}"
        called = self._client
        try:
            response = await called.request(
                method, target, body, timeout=timeout
            )
        except client.RequestFailed as error:
            self.failures += 1
            raise errors.RegistryUnavailable(str(error)) from error
        if called is not self._client:
            raise errors.RegistryUnavailable("its address was changed")
        epoch = self._record_epoch(response)
        if response.status == _GONE:
            raise errors.RegistryGap()
        if response.status == _PRECONDITION_FAILED:
            raise _PreconditionFailed()
        if response.status != _OK:
            self.failures += 1
            raise errors.RegistryUnavailable(f"status {response.status}")
        return _StoreResponse(response.body, epoch)

    def _record_epoch(self, response: client.Response) -> int:
        """Records and returns the epoch of a response.

        Raises:
            errors.RegistryUnavailable: The response is from an earlier epoch.
        """
        epoch = _epoch(response)
        before = self.epoch
        if self._moved:
            self._moved = False
            self.epoch = epoch
            _log.info("store_moved", era=epoch, before=before)
            self.on_lost()
            return epoch
        if before is not None and epoch < before:
            self.failures += 1
            raise errors.RegistryUnavailable(
                "stale response from before the restore of the store"
            )
        self.epoch = epoch
        if before is not None and epoch > before:
            _log.warning("store_went_back", era=epoch, before=before)
            self.on_lost()
        return epoch

    def _require_position_epoch(self, epoch: int | None) -> None:
        """Checks that the current position is valid in an epoch.

        Raises:
            errors.RegistryGap: The position was read in another epoch.
        """
        if self._position_epoch is None:
            self._position_epoch = epoch
        if epoch != self._position_epoch:
            raise errors.RegistryGap()


def _epoch(response: client.Response) -> int:
    """Returns the epoch of a response."""
    text = http.value(response.headers, _EPOCH_HEADER)
    if not text:
        return interfaces.FIRST_EPOCH
    if not text.isdigit() or len(text) > _MAX_EPOCH_DIGITS:
        invalid_input.record(
            invalid_input.Source.STORE, "the epoch is not a number"
        )
        raise errors.RegistryUnavailable("malformed: the epoch is not a number")
    return int(text)


def _encode_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic for an append."""
    raw = key.encode()
    record = bytes((len(raw),)) + raw + value
    return _LENGTH.pack(len(record)) + record


def _split_records(body: bytes) -> tuple[int, int, list[bytes]]:
    """Splits the response to a read into end, first offset and records."""
    if len(body) < _BOUNDS.size:
        raise errors.RegistryUnavailable("the response to a read is truncated")
    end, first = _BOUNDS.unpack_from(body)
    records = []
    start = _BOUNDS.size
    while start + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        if start + size > len(body):
            raise errors.RegistryUnavailable("a record is truncated")
        records.append(body[start : start + size])
        start += size
    return end, first, records


def _split_key(record: bytes) -> tuple[str, bytes]:
    """Splits a record of a keyed topic into key and value.

    A record with an incomplete key gets an empty key, which is never read.
    """
    if not record or len(record) < 1 + record[0]:
        invalid_input.record(
            invalid_input.Source.STORE, "a record has an incomplete key"
        )
        return "", b""
    end = 1 + record[0]
    return record[1:end].decode("utf-8", "replace"), record[end:]


def _decode_items(page: _NewestPage) -> tuple[dict[str, bytes], str]:
    """Returns the valid values by key, and the last key of the page."""
    value_by_key: dict[str, bytes] = {}
    last = ""
    for raw in page.items:
        try:
            last = msgspec.json.decode(raw, type=_ItemKey).key
            item = msgspec.json.decode(raw, type=_Item)
            value = base64.b64decode(item.value, validate=True)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            invalid_input.record(invalid_input.Source.STORE, str(error))
            continue
        value_by_key[item.key] = value
    return value_by_key, last


decode_configuration = configuration.decode
