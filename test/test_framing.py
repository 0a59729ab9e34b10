"""Framing between processes: splitting, compression and size limits."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from forklift import messages
from forklift.shell import framing

few_examples = hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True
)


class Transport:
    """Delivers written data to the receiver in chunks of random size."""

    def __init__(self, other: framing.FrameConnection, rng: random.Random):
        self.other = other
        self.rng = rng
        self.sent = 0
        self.aborted = False

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return self.aborted

    def write(self, data: bytes) -> None:
        self.sent += len(data)
        while data:
            size = self.rng.randint(1, len(data))
            self.other.data_received(data[:size])
            data = data[size:]

    def abort(self) -> None:
        self.aborted = True


def connected(
    compress: bool,
) -> tuple[framing.FrameConnection, list, Transport]:
    sender, receiver = framing.FrameConnection(), framing.FrameConnection()
    transport = Transport(receiver, random.Random(1))
    sender.connection_made(transport)
    receiver.connection_made(Transport(sender, random.Random(2)))
    received: list[messages.Frame] = []
    receiver.on_frame = received.append
    sender.compress = compress
    return sender, received, transport


def head(number: int) -> messages.ResponseStart:
    headers = (
        (b"content-type", b"application/json"),
        (b"request-id", f"{number:032x}".encode()),
    )
    return messages.ResponseStart(
        number, f"{number:032x}", 200, headers, 400, "target", None
    )


def test_frames_arrive_unchanged_with_and_without_compression():
    sent = [
        head(1),
        messages.BodyChunk(1, b"x" * 400, True),
        messages.KeepAlive(1, True),
    ]
    sent += [head(number) for number in range(2, 50)]
    sizes = {}
    for compress in (False, True):
        sender, received, transport = connected(compress)
        for frame in sent:
            sender.send(frame)
        assert received == sent
        sizes[compress] = transport.sent
    assert sizes[True] < sizes[False] / 2


def test_frame_that_expands_beyond_limit_is_rejected():
    sender, received, _ = connected(False)
    receiver = sender.transport.other
    bomb = framing._FrameCompressor().compress(
        b"\0" * (messages.MAX_FRAME_BYTES * 4)
    )
    prefix = framing._LENGTH_PREFIX.pack(framing._COMPRESSED_FLAG | len(bomb))
    receiver.data_received(prefix + bomb)
    assert receiver.transport.aborted
    assert received == []
    with pytest.raises(messages.MalformedMessage, match="expands"):
        framing._FrameDecompressor().decompress(bomb)


@hypothesis.given(strategies.binary(max_size=200), strategies.booleans())
@few_examples
def test_corrupt_frame_only_closes_the_connection(data, compressed):
    sender, received, _ = connected(False)
    receiver = sender.transport.other
    flag = framing._COMPRESSED_FLAG if compressed else 0
    receiver.data_received(framing._LENGTH_PREFIX.pack(flag | len(data)) + data)
    assert receiver.transport.aborted or len(received) == 1


# Processes of two versions run side by side while a fleet is upgraded.
def test_fields_of_limits_are_optional_for_other_versions():
    class EarlierLoad(msgspec.Struct, array_like=True):
        in_flight: int
        queued: int
        limit: int
        state: messages.TargetState
        version: int
        latency: float

    earlier = EarlierLoad(1, 0, 4, messages.TargetState.IN_SERVICE, 3, 0.1)
    load = messages.Load(
        1,
        0,
        4,
        messages.TargetState.IN_SERVICE,
        3,
        0.1,
        rate_limit=messages.RateLimitStatus(2.4, 0.3),
    )
    received = msgspec.msgpack.decode(messages.encode(load), type=EarlierLoad)
    assert received == earlier
    upgraded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=messages.Load
    )
    assert upgraded.rate_limit is None
