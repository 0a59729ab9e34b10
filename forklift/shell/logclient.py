"""The platform's log service, met over HTTP; see docs/PROTOCOLS.md."""

import urllib.parse
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from forklift import errors
from forklift import ports
from forklift.shell import client

OK = 200


class AppendAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the service to an append."""

    offset: int


class StreamAnswer(msgspec.Struct, frozen=True, array_like=True):
    """One stream in the answer of the service to a read.

    Attributes:
        stream: Its name.
        first: Lowest offset that is retained.
        start: Offset of the first record here.
        records: Records in order.
    """

    stream: str
    first: int
    start: int
    records: tuple[bytes, ...]


_appended = msgspec.msgpack.Decoder(AppendAnswer)
_read = msgspec.msgpack.Decoder(tuple[StreamAnswer, ...])


class LogClient:
    """The log service as a port; see `ports.Log`."""

    def __init__(self, address: str, timeout: float):
        self._client = client.Client(address)
        self._timeout = timeout
        self.appends = 0
        self.failures = 0

    async def append(self, stream: str, data: bytes) -> int:
        """See `ports.Log`."""
        path = f"/v1/streams/{urllib.parse.quote(stream, safe='')}"
        response = await self._ask("POST", path, data, self._timeout)
        self.appends += 1
        return self._decode(_appended, response.body).offset

    async def read(
        self, next_by_stream: Mapping[str, int], wait: float
    ) -> Sequence[ports.Batch]:
        """See `ports.Log`."""
        wanted = ",".join(
            f"{urllib.parse.quote(name, safe='')}:{offset}"
            for name, offset in next_by_stream.items()
        )
        path = f"/v1/read?wait={wait:g}&from={wanted}"
        response = await self._ask("GET", path, b"", self._timeout + wait)
        answers = self._decode(_read, response.body)
        return tuple(_batch(answer) for answer in answers)

    def close(self) -> None:
        """Closes connections."""
        self._client.close()

    async def _ask(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> client.Response:
        try:
            response = await self._client.request(
                method, path, body, timeout=timeout
            )
        except client.Failed as error:
            self.failures += 1
            raise errors.LogUnavailable(str(error)) from error
        if response.status != OK:
            self.failures += 1
            raise errors.LogUnavailable(f"status {response.status}")
        return response

    def _decode(self, decoder, body: bytes):
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            self.failures += 1
            raise errors.LogUnavailable(f"malformed: {error}") from error


def _batch(answer: StreamAnswer) -> ports.Batch:
    records = tuple(
        ports.Record(answer.stream, answer.start + index, data)
        for index, data in enumerate(answer.records)
    )
    after = answer.start + len(answer.records)
    return ports.Batch(answer.stream, answer.first, after, records)
