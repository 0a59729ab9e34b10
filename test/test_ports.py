"""One contract for each port, run against the adapter and the stand-in."""

import asyncio

import pynng
import pytest

from forklift import errors
from forklift import messages
from forklift.shell import clock
from forklift.shell import control
from forklift.shell import logclient
from forklift.shell import server
from forklift_lab import fleet
from forklift_lab import logserver
from test import helper


class RealLog:
    """The client against the stand-in of the service, over a socket."""

    async def __aenter__(self):
        self.address = fleet.free_addresses(1)[0]
        self.service = logserver.LogService(10_000)
        self.server = server.Server(self.service.handle)
        await self.server.open(self.address)
        self.log = logclient.LogClient(self.address, 1.0)
        return self

    async def __aexit__(self, *_):
        self.log.close()
        self.server.abort()

    def away(self, away):
        self.service.away = away

    def lose(self, count):
        self.service.lose = count

    def retain(self, most):
        self.service.stream_by_name["s"].retain(most)


class MemoryLog:
    """The fake that other tests use."""

    async def __aenter__(self):
        self.log = helper.FakeLog()
        return self

    async def __aexit__(self, *_):
        pass

    def away(self, away):
        self.log.away = away

    def lose(self, count):
        self.log.lose = count

    def retain(self, most):
        self.log.streams["s"].retain(most)


@pytest.fixture(params=[RealLog, MemoryLog])
def kind(request):
    return request.param


def test_log_keeps_order_and_offsets(kind):
    async def work():
        async with kind() as made:
            offsets = [await made.log.append("s", b"%d" % n) for n in range(5)]
            assert offsets == [0, 1, 2, 3, 4]
            batch = (await made.log.read({"s": 2}, 0.0))[0]
            assert [r.data for r in batch.records] == [b"2", b"3", b"4"]
            assert [r.offset for r in batch.records] == [2, 3, 4]
            assert (batch.first, batch.next) == (0, 5)

    helper.run(work())


def test_log_reads_several_streams_and_unknown_ones(kind):
    async def work():
        async with kind() as made:
            await made.log.append("s", b"a")
            batches = await made.log.read({"s": 0, "a b,c:d": 0}, 0.0)
            by_stream = {batch.stream: batch for batch in batches}
            assert len(by_stream["s"].records) == 1
            assert by_stream["a b,c:d"].next == 0

    helper.run(work())


def test_log_retention_raises_the_first_offset(kind):
    async def work():
        async with kind() as made:
            for number in range(5):
                await made.log.append("s", b"%d" % number)
            made.retain(2)
            batch = (await made.log.read({"s": 0}, 0.0))[0]
            assert batch.first == 3
            assert [r.offset for r in batch.records] == [3, 4]

    helper.run(work())


def test_log_append_whose_answer_is_lost_took_effect(kind):
    async def work():
        async with kind() as made:
            made.lose(1)
            with pytest.raises(errors.LogUnavailable):
                await made.log.append("s", b"a")
            batch = (await made.log.read({"s": 0}, 0.0))[0]
            assert [r.data for r in batch.records] == [b"a"]

    helper.run(work())


def test_log_away_and_back(kind):
    async def work():
        async with kind() as made:
            await made.log.append("s", b"a")
            made.away(True)
            with pytest.raises(errors.LogUnavailable):
                await made.log.append("s", b"b")
            with pytest.raises(errors.LogUnavailable):
                await made.log.read({"s": 0}, 0.0)
            made.away(False)
            batch = (await made.log.read({"s": 0}, 0.0))[0]
            assert len(batch.records) == 1

    helper.run(work())


def test_real_log_read_waits_for_news():
    async def work():
        async with RealLog() as made:
            read = asyncio.create_task(made.log.read({"s": 0}, 5.0))
            await made.log.append("s", b"a")
            batch = (await read)[0]
            assert [r.data for r in batch.records] == [b"a"]

    helper.run(work())


@pytest.mark.parametrize("made", [clock.SystemClock, helper.FakeClock])
def test_clock_never_goes_back(made):
    ticking = made()
    times = [ticking.monotonic() for _ in range(100)]
    assert times == sorted(times)
    assert ticking.wall() > 1e9


class Wires:
    """Two ends of the control transport with a key or without."""

    def __init__(self, keys=(b"", b"")):
        self.addresses = fleet.free_addresses(2)
        self.heard: list[messages.Control] = []
        self.clock = helper.FakeClock()
        self.ends = [
            control.Control(
                address, boot, key, self.clock.wall, self.heard.append
            )
            for boot, (address, key) in enumerate(
                zip(self.addresses, keys, strict=True)
            )
        ]

    async def __aenter__(self):
        for end in self.ends:
            end.open()
        return self

    async def __aexit__(self, *_):
        for end in self.ends:
            await end.close()


def request(number):
    return messages.PromiseRequest(messages.Sender("p", "p"), "r", 1, number)


class MemoryWires(Wires):
    """The fake transport that other tests may use."""

    async def __aenter__(self):
        fake = helper.FakeTransport()
        fake.receiver_by_address[self.addresses[1]] = self.heard.append
        self.ends = [fake]
        return self

    async def __aexit__(self, *_):
        pass


@pytest.mark.parametrize("key", [b"", b"shared"])
@pytest.mark.parametrize("kind", [Wires, MemoryWires])
def test_transport_is_one_way_and_typed(kind, key):
    async def work():
        async with kind((key, key)) as wires:
            sender = wires.ends[0]
            await helper.until(
                lambda: sender.send(wires.addresses[1], request(1))
            )
            await helper.until(lambda: bool(wires.heard))
            assert wires.heard[0] == request(1)

    helper.run(work())


@pytest.mark.parametrize("kind", [Wires, MemoryWires])
def test_transport_to_nobody_drops_and_does_not_block(kind):
    async def work():
        async with kind() as wires:
            nobody = fleet.free_addresses(1)[0]
            sent = [
                wires.ends[0].send(nobody, request(number))
                for number in range(1000)
            ]
            assert not all(sent)

    helper.run(work())


def test_transport_refuses_forged_replayed_redirected_and_old():
    async def work():
        async with Wires((b"shared", b"shared")) as wires:
            sender, receiver = wires.ends
            data = messages.encode(request(1))
            sealed = sender._seal(wires.addresses[1], data)
            elsewhere = sender._seal("10.0.0.1:1", data)
            forged = sealed[:-1] + b"x"
            receiver._take(sealed)
            for bad in (sealed, forged, elsewhere, b"", b"x" * 100):
                receiver._take(bad)
            late = sender._seal(wires.addresses[1], data)
            wires.clock.now += control.MAX_AGE + 1
            receiver._take(late)
            assert len(wires.heard) == 1
            assert receiver.refused == 6

    helper.run(work())


def test_bytes_of_strangers_do_not_stop_the_receiver():
    async def work():
        async with Wires() as wires:
            stranger = pynng.Push0(dial=f"tcp://{wires.addresses[1]}")
            await stranger.asend(b"\xff\x00 nonsense")
            await helper.until(lambda: wires.ends[1].refused == 1)
            sender = wires.ends[0]
            await helper.until(
                lambda: sender.send(wires.addresses[1], request(1))
            )
            await helper.until(lambda: bool(wires.heard))
            stranger.close()

    helper.run(work())
