"""Large control messages while peers are silent, slow, gone or hostile."""

import asyncio
import contextlib
import sys

import pytest

from forklift import messages
from forklift.shell import pull_socket
from forklift.shell import push_connection
from forklift.shell import push_framing
from forklift.shell import push_sockets
from forklift.shell import tcp_stream
from forklift_lab import relay
from test import helper

ANY_PORT = "127.0.0.1:0"
LARGEST = bytes(messages.MAX_CONTROL_BYTES)
# Bytes that a slow sender sends one by one: several times what it has time for.
SLOW_BYTES = 100


@contextlib.asynccontextmanager
async def receiving(address: str = ANY_PORT):
    """Yields the address of a receiver and the messages that it receives."""
    received: list[bytes] = []
    sockets = push_sockets.PushSockets(received.append)
    bound = await sockets.open(address)
    try:
        yield bound, received
    finally:
        sockets.close()


@contextlib.contextmanager
def sending():
    """Yields sockets that only send."""
    sockets = push_sockets.PushSockets(print)
    try:
        yield sockets
    finally:
        sockets.close()


@contextlib.asynccontextmanager
async def listening(
    on_connect=lambda connection: None, address: str = ANY_PORT
):
    """Yields the address of a raw listener."""
    server = await tcp_stream.listen(address, on_connect)
    try:
        yield tcp_stream.bound_address(server)
    finally:
        server.close()


async def send_until_dropped(
    sockets: push_sockets.PushSockets, address: str
) -> int:
    """Sends the largest messages until one is dropped; returns how many."""
    count = 0
    while sockets.send(address, LARGEST, False):
        count += 1
        assert count < 1000
        # The connection may be opening, or the kernel may take more.
        await asyncio.sleep(0.01)
    return count


@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        push_framing.PULL_HEADER,
        push_framing.PUSH_HEADER + b"\xff" * 8,
        push_framing.PUSH_HEADER
        + (messages.MAX_CONTROL_BYTES + 1).to_bytes(8, "big"),
    ],
    ids=["http", "receiver", "size beyond any", "size above the maximum"],
)
def test_malformed_connection_is_closed(monkeypatch, sent):
    """Guards against memory that a peer of another protocol makes us take."""
    # The connection is closed because of the bytes, not because of the time.
    monkeypatch.setattr(pull_socket, "MESSAGE_TIMEOUT", 1000.0)

    async def run_test():
        async with receiving() as (address, received):
            connection = await tcp_stream.connect(address)
            connection.write(sent)
            await helper.until(lambda: connection.closed)
            with sending() as sender:
                assert sender.send(address, b"valid", False)
                await helper.until(lambda: received == [b"valid"])

    helper.run(run_test())


def test_truncated_message_is_not_delivered():
    async def run_test():
        async with receiving() as (address, received):
            connection = await tcp_stream.connect(address)
            connection.write(
                push_framing.PUSH_HEADER
                + push_framing.frame(b"whole")
                + push_framing.frame(b"truncated")[:-1]
            )
            await helper.until(lambda: received)
            connection.close()
            await connection.wait_closed()
            assert received == [b"whole"]

    helper.run(run_test())


@pytest.mark.parametrize("with_header", [False, True])
def test_slow_sender_is_disconnected(monkeypatch, with_header):
    """Guards against peers that hold connections by sending single bytes."""
    monkeypatch.setattr(pull_socket, "MESSAGE_TIMEOUT", 0.3)

    async def run_test():
        async with receiving() as (address, received):
            connection = await tcp_stream.connect(address)
            data = push_framing.PUSH_HEADER + push_framing.frame(LARGEST)
            connection.write(data[:9] if with_header else data[:1])
            rest = data[9:] if with_header else data[1:]
            for byte in rest[:SLOW_BYTES]:
                if connection.closed:
                    break
                connection.write(bytes((byte,)))
                await asyncio.sleep(0.05)
            assert connection.closed
            assert not received

    helper.run(run_test())


def test_idle_connection_is_kept(monkeypatch):
    """The timeout of a message does not apply between messages."""
    monkeypatch.setattr(pull_socket, "MESSAGE_TIMEOUT", 0.05)

    async def run_test():
        async with receiving() as (address, received):
            connection = await tcp_stream.connect(address)
            connection.write(
                push_framing.PUSH_HEADER + push_framing.frame(b"1")
            )
            await helper.until(lambda: received)
            await asyncio.sleep(4 * pull_socket.MESSAGE_TIMEOUT)
            connection.write(push_framing.frame(b"2"))
            await helper.until(lambda: received == [b"1", b"2"])

    helper.run(run_test())


def test_memory_of_incomplete_messages_is_bounded(monkeypatch):
    monkeypatch.setattr(pull_socket, "MAX_BUFFERED_BYTES", 3 * 1000)

    async def run_test():
        message = bytes(2000)
        async with receiving() as (address, received):
            connections = []
            for _ in range(4):
                connection = await tcp_stream.connect(address)
                connections.append(connection)
                started = push_framing.frame(message)[:1000]
                connection.write(push_framing.PUSH_HEADER + started)
            await helper.until(lambda: any(c.closed for c in connections))
            # The bytes of the closed connection no longer count.
            kept = next(c for c in connections if not c.closed)
            kept.write(push_framing.frame(message)[1000:])
            await helper.until(lambda: received == [message])

    helper.run(run_test())


def test_bytes_of_closed_connections_do_not_count():
    """Guards against a limit that is reached for good as peers come and go."""

    async def run_test():
        sockets = push_sockets.PushSockets(print)
        address = await sockets.open(ANY_PORT)
        started = push_framing.frame(LARGEST)[:1000]
        connection = await tcp_stream.connect(address)
        connection.write(push_framing.PUSH_HEADER + started)
        await helper.until(lambda: sockets._pull._buffered_bytes == 1000)
        connection.abort()
        await helper.until(lambda: sockets._pull._buffered_bytes == 0)
        sockets.close()

    helper.run(run_test())


def test_number_of_connections_is_bounded(monkeypatch):
    """The connection that was idle for the longest time is closed."""
    monkeypatch.setattr(pull_socket, "MAX_CONNECTIONS", 2)

    async def run_test():
        async with receiving() as (address, received):
            connections = []
            for number in range(3):
                connection = await tcp_stream.connect(address)
                connections.append(connection)
                data = push_framing.frame(bytes((number,)))
                connection.write(push_framing.PUSH_HEADER + data)
                await helper.until(lambda: len(received) == len(connections))
            await helper.until(lambda: connections[0].closed)
            assert not (connections[1].closed or connections[2].closed)

    helper.run(run_test())


def test_largest_message_arrives_and_larger_ones_are_dropped():
    async def run_test():
        async with receiving() as (address, received):
            with sending() as sender:
                assert not sender.send(address, LARGEST + b"x", False)
                assert sender.send(address, LARGEST, False)
                await helper.until(lambda: received == [LARGEST])

    helper.run(run_test())


def test_messages_to_a_peer_that_does_not_read_are_dropped():
    """Guards against memory that grows while a peer is paused."""

    async def run_test():
        peers = []

        def accept(connection: tcp_stream.Connection) -> None:
            connection.transport.pause_reading()
            connection.write(push_framing.PULL_HEADER)
            peers.append(connection)

        async with listening(accept) as address:
            with sending() as sender:
                await send_until_dropped(sender, address)
                connection = sender._connection_by_address[address]
                queued = connection._queued_bytes
                assert queued <= push_connection.MAX_QUEUED_BYTES
                assert len(peers) == 1
                # What was accepted arrives once the peer goes on.
                peers[0].transport.resume_reading()
                await helper.until(lambda: not connection._queue)

    helper.run(run_test())


def test_number_of_messages_to_a_silent_peer_is_bounded():
    async def run_test():
        async with listening() as address:
            with sending() as sender:
                for _ in range(push_connection.MAX_QUEUED_MESSAGES):
                    assert sender.send(address, b"x", False)
                assert not sender.send(address, b"x", False)

    helper.run(run_test())


def test_messages_wait_for_a_peer_that_restarts_at_its_address():
    async def run_test():
        async with receiving() as (address, received):
            with sending() as sender:
                sender.send(address, b"before", False)
                await helper.until(lambda: received == [b"before"])
        with sending() as sender:
            assert sender.send(address, b"meanwhile", False)
            await asyncio.sleep(0.1)
            async with receiving(address) as (_, received):
                await helper.until(lambda: received == [b"meanwhile"])

    helper.run(run_test())


def test_connection_to_a_peer_that_restarted_is_opened_again():
    async def run_test():
        with sending() as sender:
            async with receiving() as (address, received):
                sender.send(address, b"1", False)
                await helper.until(lambda: received == [b"1"])
            # The connection to the earlier process is forgotten.
            await helper.until(lambda: not sender._connection_by_address)
            async with receiving(address) as (_, received):
                sender.send(address, b"2", False)
                await helper.until(lambda: received == [b"2"])

    helper.run(run_test())


def test_messages_to_a_peer_that_is_gone_are_given_up(monkeypatch):
    """Guards against connections to processes that never return."""
    monkeypatch.setattr(push_connection, "GIVE_UP_SECONDS", 0.1)

    async def run_test():
        async with listening() as address:
            pass
        with sending() as sender:
            assert sender.send(address, b"x", False)
            await helper.until(lambda: not sender._connection_by_address)

    helper.run(run_test())


@pytest.mark.parametrize("way", list(relay.Way))
def test_messages_survive_a_link_that_is_cut_one_way(monkeypatch, way):
    """What TCP holds back during the cut arrives after it."""
    monkeypatch.setattr(push_connection, "OPEN_TIMEOUT", 0.1)

    async def run_test():
        async with (
            receiving() as (address, received),
            relay.Relay(address) as link,
        ):
            link.silence(way)
            with sending() as sender:
                assert sender.send(link.address, b"x", False)
                await asyncio.sleep(3 * push_connection.OPEN_TIMEOUT)
                link.heal()
                await helper.until(lambda: received == [b"x"])

    helper.run(run_test())


def test_connection_without_the_header_of_the_peer_is_replaced(monkeypatch):
    """Messages wait until the peer has answered on a connection."""
    monkeypatch.setattr(push_connection, "OPEN_TIMEOUT", 0.1)

    async def run_test():
        async with (
            receiving() as (address, received),
            relay.Relay(address) as link,
        ):
            link.dropping = frozenset({relay.Way.DOWN})
            with sending() as sender:
                assert sender.send(link.address, b"x", False)
                await asyncio.sleep(3 * push_connection.OPEN_TIMEOUT)
                assert not received
                link.dropping = frozenset()
                await helper.until(lambda: received == [b"x"])

    helper.run(run_test())


def test_connection_that_loses_messages_is_replaced_on_request(monkeypatch):
    """The sender can't see the loss; the protocols ask for a connection."""
    monkeypatch.setattr(push_sockets, "MIN_CONNECTION_AGE", 0.0)

    async def run_test():
        async with (
            receiving() as (address, received),
            relay.Relay(address) as link,
        ):
            with sending() as sender:
                sender.send(link.address, b"1", False)
                await helper.until(lambda: received == [b"1"])
                link.drop_open(frozenset({relay.Way.UP}))
                assert sender.send(link.address, b"lost", False)
                assert sender.send(link.address, b"2", True)
                await helper.until(lambda: received == [b"1", b"2"])

    helper.run(run_test())


def test_another_protocol_at_the_address_gets_no_message(monkeypatch):
    monkeypatch.setattr(push_connection, "GIVE_UP_SECONDS", 0.1)

    async def run_test():
        peers = []

        def accept(connection: tcp_stream.Connection) -> None:
            peers.append(connection)
            connection.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")

        async with listening(accept) as address:
            with sending() as sender:
                assert sender.send(address, b"x", False)
                await helper.until(lambda: not sender._connection_by_address)
        assert {await peer.read() for peer in peers} == {
            push_framing.PUSH_HEADER
        }

    helper.run(run_test())


def test_close_ends_all_tasks_while_connections_open():
    """Guards against work that outlives the channel of a stopped process."""

    async def run_test():
        async with listening() as silent, receiving() as (address, received):
            with sending() as sender:
                for target in (silent, address, "127.0.0.1:9"):
                    assert sender.send(target, b"x", False)
                await helper.until(lambda: received)
            others = asyncio.all_tasks() - {asyncio.current_task()}
            await asyncio.wait_for(
                asyncio.gather(*others, return_exceptions=True),
                helper.DEFAULT_TIMEOUT,
            )
            assert all(task.cancelled() for task in others)

    helper.run(run_test())


@pytest.mark.parametrize("size", [1, 40_000, messages.MAX_CONTROL_BYTES])
def test_messages_pass_to_and_from_the_version_with_nng(size):
    """In a rollout, processes of both versions send each other messages."""

    async def run_test():
        count = 5
        async with receiving() as (address, received):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "test.nng_peer",
                address,
                str(size),
                str(count),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            peer_address = (await process.stdout.readline()).decode().strip()
            expected = [bytes((number,)) * size for number in range(count)]
            with sending() as sender:
                for data in expected:
                    # The bytes that may be queued are fewer.
                    await helper.until(
                        lambda data=data: sender.send(peer_address, data, False)
                    )
                await helper.until(lambda: received == expected)
                for number in range(count):
                    line = (await process.stdout.readline()).decode()
                    assert line == f"{number} {size}\n"
            process.stdin.write(b"\n")
            assert await process.wait() == 0

    helper.run(run_test())
