"""Control messages: small and large ones, compressed, bounded, sealed."""

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
def test_what_does_not_expand_as_it_should_is_refused(data):
    with pytest.raises(messages.MalformedMessage):
        control_channel._unpack(data)


def test_a_message_goes_over_a_new_connection_where_that_is_asked_for(
    monkeypatch,
):
    """One that fell silent takes messages for minutes and loses them."""
    monkeypatch.setattr(push_sockets, "MIN_CONNECTION_AGE", 0.0)

    async def work():
        taken = []
        listening = await tcp_stream.listen("127.0.0.1:0", taken.append)
        address = tcp_stream.bound_address(listening)
        one = push_sockets.PushSockets(print)
        for _ in range(3):
            assert one.send(address, b"x", False)
            await helper.until(lambda: taken)
        assert (len(taken), one.reconnects) == (1, 0)
        assert one.send(address, b"x", True)
        await helper.until(lambda: len(taken) == 2)
        await helper.until(lambda: taken[0].closed)
        assert not taken[1].closed
        assert one.reconnects == 1
        await one.close()
        listening.close()

    helper.run(work())


def test_a_renewal_does_not_drop_what_went_over_one_just_before():
    """A ping and a version are often due to a silent peer in one tick."""

    async def work():
        taken = []
        other = push_sockets.PushSockets(taken.append)
        address = other.open("127.0.0.1:0")
        one = push_sockets.PushSockets(print)
        for data in (b"1", b"2"):
            assert one.send(address, data, True)
        assert one.send(address, b"3", False)
        await helper.until(lambda: taken and taken[-1] == b"3")
        await one.close()
        await other.close()
        assert sorted(taken) == [b"1", b"2", b"3"]

    helper.run(work())


@contextlib.asynccontextmanager
async def pair(key: bytes = b""):
    """A sender, a receiver, and what the receiver took."""
    taken: list[messages.Control] = []
    one = control_channel.ControlChannel(
        "127.0.0.1:0", 1, key, lambda: 0.0, print
    )
    other = control_channel.ControlChannel(
        "127.0.0.1:0", 2, key, lambda: 0.0, taken.append
    )
    one.open()
    other.open()
    try:
        yield one, other, taken
    finally:
        await one.close()
        await other.close()


SENDER = messages.Sender("p", "p")
SMALL = messages.CatalogRequest(SENDER, 1, 1)
LARGE = messages.CatalogOffer(SENDER, 1, random.Random(1).randbytes(100_000))


@pytest.mark.parametrize("key", [b"", b"k"])
def test_small_and_large_messages_arrive_at_one_address(key):
    async def work():
        async with pair(key) as (one, other, taken):
            assert one.send(other.address, SMALL)
            await helper.until(lambda: taken == [SMALL])
            assert one.send(other.address, LARGE)
            await helper.until(lambda: taken == [SMALL, LARGE])
            assert (other.received, other.rejected) == (2, 0)

    helper.run(work())


def test_small_messages_open_no_connection():
    """A connection for each of many peers cost each process a third of the
    processor time that it used while it was idle."""

    async def work():
        async with pair() as (one, other, taken):
            for _ in range(5):
                one.send(other.address, SMALL)
            await helper.until(lambda: len(taken) == 5)
            assert not one._push_sockets._socket_by_address

    helper.run(work())


def test_a_message_to_nobody_does_no_harm():
    async def work():
        async with pair() as (one, other, taken):
            for address in ("127.0.0.1:9", "nowhere", "127.0.0.1:99999"):
                one.send(address, SMALL)
            one.send(other.address, SMALL)
            await helper.until(lambda: taken == [SMALL])

    helper.run(work())


def test_a_port_that_others_send_datagrams_from_is_left_to_them(monkeypatch):
    """Where the system chooses the port, both kinds must have the same one."""
    taken_ports = []
    opened = datagrams.DatagramSocket.open

    def open_(self, address: str) -> None:
        if len(taken_ports) < 2:
            taken_ports.append(address)
            raise OSError(errno.EADDRINUSE, "taken")
        opened(self, address)

    monkeypatch.setattr(datagrams.DatagramSocket, "open", open_)

    async def work():
        one = control_channel.ControlChannel(
            "127.0.0.1:0", 1, b"", lambda: 0.0, print
        )
        one.open()
        assert one.address not in taken_ports
        # It listens at the last one only.
        for address in taken_ports:
            with pytest.raises(OSError):
                await tcp_stream.connect(address)
        await one.close()

    helper.run(work())


def test_a_code_covers_the_address_that_others_send_to():
    seal = authentication.MessageAuthenticator(1, b"k", lambda: 0.0)
    sealed = seal.sign("127.0.0.1:9", b"data")
    receiver = authentication.MessageAuthenticator(2, b"k", lambda: 0.0)
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("127.0.0.1:8", sealed)
    assert receiver.verify("127.0.0.1:9", sealed) == b"data"
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("127.0.0.1:9", sealed)


def test_messages_that_overtake_each_other_are_taken_once_each():
    seal = authentication.MessageAuthenticator(1, b"k", lambda: 0.0)
    sent = [seal.sign("a", b"%d" % number) for number in range(50)]
    receiver = authentication.MessageAuthenticator(2, b"k", lambda: 0.0)
    order = random.Random(3).sample(sent, len(sent))
    assert len({receiver.verify("a", one) for one in order}) == 50
    for one in sent:
        with pytest.raises(messages.MalformedMessage):
            receiver.verify("a", one)


def test_a_message_from_far_behind_or_another_time_is_refused():
    now = [0.0]
    seal = authentication.MessageAuthenticator(1, b"k", lambda: now[0])
    old = seal.sign("a", b"old")
    receiver = authentication.MessageAuthenticator(2, b"k", lambda: 0.0)
    for _ in range(authentication.REPLAY_WINDOW):
        newest = seal.sign("a", b"new")
    receiver.verify("a", newest)
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("a", old)
    now[0] = authentication.MAX_AGE + 1.0
    with pytest.raises(messages.MalformedMessage):
        receiver.verify("a", seal.sign("a", b"of another time"))
