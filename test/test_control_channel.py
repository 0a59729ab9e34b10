"""Control messages: transport, compression, size limits, authentication."""

import contextlib
import errno
import random
import zlib

import pytest

from forklift import messages
from forklift.shell import authentication
from forklift.shell import control_channel
from forklift.shell import datagrams
from forklift.shell import push_sockets
from forklift.shell import tcp_stream
from test import helper


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(b"x" * (messages.MAX_CONTROL_BYTES + 1)),
        zlib.compress(b"x" * 1000)[:-3],
        b"\x78 no deflate",
    ],
    ids=["too large", "cut short", "damaged"],
)
def test_invalid_compressed_message_is_rejected(data):
    with pytest.raises(messages.MalformedMessage):
        control_channel._decompress(data)


def test_message_is_sent_over_a_new_connection_on_request(
    monkeypatch,
):
    """An unresponsive connection accepts messages, but loses them."""
    monkeypatch.setattr(push_sockets, "MIN_CONNECTION_AGE", 0.0)

    async def run_test():
        received = []
        listening = await tcp_stream.listen("127.0.0.1:0", received.append)
        address = tcp_stream.bound_address(listening)
        sender = push_sockets.PushSockets(print)
        for _ in range(3):
            assert sender.send(address, b"x", False)
            await helper.until(lambda: received)
        assert (len(received), sender.reconnects) == (1, 0)
        assert sender.send(address, b"x", True)
        await helper.until(lambda: len(received) == 2)
        await helper.until(lambda: received[0].closed)
        assert not received[1].closed
        assert sender.reconnects == 1
        sender.close()
        listening.close()

    helper.run(run_test())


def test_replacing_a_connection_keeps_messages_sent_just_before():
    """A ping and a version are often sent to a peer in the same tick."""

    async def run_test():
        received = []
        receiver = push_sockets.PushSockets(received.append)
        address = await receiver.open("127.0.0.1:0")
        sender = push_sockets.PushSockets(print)
        for data in (b"1", b"2"):
            assert sender.send(address, data, True)
        assert sender.send(address, b"3", False)
        await helper.until(lambda: received and received[-1] == b"3")
        sender.close()
        receiver.close()
        assert sorted(received) == [b"1", b"2", b"3"]

    helper.run(run_test())


@contextlib.asynccontextmanager
async def pair(key: bytes = b""):
    """Yields a sender, a receiver and the messages received."""
    received: list[messages.Control] = []
    sender = control_channel.ControlChannel(
        "127.0.0.1:0", 1, key, lambda: 0.0, print
    )
    receiver = control_channel.ControlChannel(
        "127.0.0.1:0", 2, key, lambda: 0.0, received.append
    )
    await sender.open()
    await receiver.open()
    try:
        yield sender, receiver, received
    finally:
        sender.close()
        receiver.close()


SENDER = messages.Sender("p", "p")
SMALL = messages.CatalogRequest(SENDER, 1, 1)
LARGE = messages.CatalogOffer(SENDER, 1, random.Random(1).randbytes(100_000))


@pytest.mark.parametrize("key", [b"", b"k"])
def test_small_and_large_messages_arrive_at_the_same_address(key):
    async def run_test():
        async with pair(key) as (sender, receiver, received):
            assert sender.send(receiver.address, SMALL)
            await helper.until(lambda: received == [SMALL])
            assert sender.send(receiver.address, LARGE)
            await helper.until(lambda: received == [SMALL, LARGE])
            assert (receiver.received, receiver.rejected) == (2, 0)

    helper.run(run_test())


def test_small_messages_need_no_connection():
    """In a large fleet, a connection to each peer would cost much CPU time."""

    async def run_test():
        async with pair() as (sender, receiver, received):
            for _ in range(5):
                sender.send(receiver.address, SMALL)
            await helper.until(lambda: len(received) == 5)
            assert not sender._push_sockets._connection_by_address

    helper.run(run_test())


def test_message_to_unreachable_address_does_no_harm():
    async def run_test():
        async with pair() as (sender, receiver, received):
            for address in ("127.0.0.1:9", "nowhere", "127.0.0.1:99999"):
                sender.send(address, SMALL)
            sender.send(receiver.address, SMALL)
            await helper.until(lambda: received == [SMALL])

    helper.run(run_test())


@pytest.mark.parametrize("message", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("host", ["localhost", "nowhere.invalid", "", "256.1"])
def test_host_name_in_a_peer_s_address_is_not_resolved(host, message):
    """Guards against a name server that blocks the event loop, or the exit."""

    async def run_test():
        async with pair() as (sender, receiver, _):
            port = receiver.address.rpartition(":")[2]
            assert not sender.send(f"{host}:{port}", message)
            assert sender.dropped == 1

    helper.run(run_test())


def test_port_in_use_for_datagrams_is_not_chosen(monkeypatch):
    """TCP and UDP must have the same port, also if the system chooses it."""
    taken_ports = []
    original_open = datagrams.DatagramSocket.open

    def fail_twice(self, address: str) -> None:
        if len(taken_ports) < 2:
            taken_ports.append(address)
            raise OSError(errno.EADDRINUSE, "taken")
        original_open(self, address)

    monkeypatch.setattr(datagrams.DatagramSocket, "open", fail_twice)

    async def run_test():
        channel = control_channel.ControlChannel(
            "127.0.0.1:0", 1, b"", lambda: 0.0, print
        )
        await channel.open()
        assert channel.address not in taken_ports
        # The listeners at the rejected ports are closed.
        for address in taken_ports:
            with pytest.raises(OSError):
                await tcp_stream.connect(address)
        channel.close()

    helper.run(run_test())


def test_authentication_code_covers_the_address_of_the_receiver():
    sender = authentication.MessageAuthenticator(1, b"k", lambda: 0.0)
    signed = sender.sign("127.0.0.1:9", b"data")
    receiver = authentication.MessageAuthenticator(2, b"k", lambda: 0.0)
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("127.0.0.1:8", signed)
    assert receiver.verify("127.0.0.1:9", signed) == b"data"
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("127.0.0.1:9", signed)


def test_reordered_messages_are_accepted_once_each():
    sender = authentication.MessageAuthenticator(1, b"k", lambda: 0.0)
    sent = [sender.sign("a", b"%d" % number) for number in range(50)]
    receiver = authentication.MessageAuthenticator(2, b"k", lambda: 0.0)
    order = random.Random(3).sample(sent, len(sent))
    assert len({receiver.verify("a", message) for message in order}) == 50
    for message in sent:
        with pytest.raises(messages.MalformedMessage):
            receiver.verify("a", message)


def test_message_with_an_old_counter_or_time_is_rejected():
    now = [0.0]
    sender = authentication.MessageAuthenticator(1, b"k", lambda: now[0])
    old = sender.sign("a", b"old")
    receiver = authentication.MessageAuthenticator(2, b"k", lambda: 0.0)
    for _ in range(authentication.REPLAY_WINDOW):
        newest = sender.sign("a", b"new")
    receiver.verify("a", newest)
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("a", old)
    now[0] = authentication.MAX_AGE_SECONDS + 1.0
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("a", sender.sign("a", b"of another time"))
