"""No error of a connection that is half-closed reaches the event loop."""

import asyncio
import contextlib
import socket
import struct

import pytest

from forklift.shell import framing
from forklift.shell import tcp_stream
from test import helper

# More than the kernel takes at once.
LARGE = b"x" * 8_000_000
RESET = struct.pack("ii", 1, 0)


class Pair:
    """A connection and the socket at its other side.

    Attributes:
        errors: What reached the handler of the event loop.
    """

    async def open(self, kind) -> None:
        loop = asyncio.get_running_loop()
        self.errors: list[dict] = []
        loop.set_exception_handler(
            lambda loop, context: self.errors.append(context)
        )
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.other = socket.create_connection(listener.getsockname())
            own, _ = listener.accept()
        own.setblocking(False)
        _, self.connection = await loop.create_connection(kind, sock=own)

    def reset(self) -> None:
        self.other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.other.close()

    def read_all(self) -> int:
        size = 0
        while data := self.other.recv(1 << 16):
            size += len(data)
        return size


KINDS = [tcp_stream.Connection, framing.FrameConnection]


def play(kind, work, pair: Pair | None = None) -> None:
    pair = pair or Pair()

    async def run():
        await pair.open(kind)
        await work(pair)
        await asyncio.sleep(0)
        assert pair.errors == []

    helper.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_connection_that_was_reset_is_half_closed_without_an_error(kind):
    async def work(pair):
        pair.reset()
        pair.connection.half_close()
        await helper.until(lambda: pair.connection.lost)

    play(kind, work)


@pytest.mark.parametrize("kind", KINDS)
def test_reset_while_the_rest_is_sent_is_no_error(kind):
    async def work(pair):
        pair.connection.transport.write(LARGE)
        pair.connection.half_close()
        await asyncio.sleep(0)
        pair.reset()
        await helper.until(lambda: pair.connection.lost)

    play(kind, work)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("size", [0, 1, len(LARGE)])
def test_all_data_is_sent_before_the_end(kind, size):
    async def work(pair):
        pair.connection.transport.write(LARGE[:size])
        pair.connection.half_close()
        received = await asyncio.to_thread(pair.read_all)
        assert received == size
        assert not pair.connection.transport.is_closing()
        pair.connection.transport.abort()

    play(kind, work)


@pytest.mark.parametrize("kind", KINDS)
def test_end_after_all_data_on_a_connection_that_is_then_reset_is_no_error(
    kind,
):
    """The other side resets between the last data and the end."""
    pair = Pair()
    resets = []

    class ResetAfterData(kind):
        def resume_writing(self) -> None:
            if not self.transport.get_write_buffer_size():
                pair.reset()
                resets.append(self)
            super().resume_writing()

    async def work(pair):
        connection = pair.connection
        connection.transport.set_write_buffer_limits(high=0)
        connection.transport.write(LARGE)
        connection.half_close()
        pair.other.setblocking(False)
        async with asyncio.timeout(helper.DEFAULT_TIMEOUT):
            while not resets:
                with contextlib.suppress(BlockingIOError):
                    pair.other.recv(1 << 16)
                await asyncio.sleep(0)
        await helper.until(lambda: connection.lost)

    play(ResetAfterData, work, pair)
    assert len(resets) == 1
