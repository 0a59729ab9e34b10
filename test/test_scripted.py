"""Tests the stand-in for targets."""

import asyncio
import socket

import pytest

from forklift.shell import tcp_stream
from forklift_lab import scripted
from test import helper


def test_target_that_is_down_keeps_its_port():
    """Guards against another run of the tests that takes the port meanwhile."""

    async def work():
        async with scripted.ScriptedTarget() as target:
            host, port = tcp_stream.split_address(target.address)
            target.crash()
            assert target.down
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(host, port)
            with socket.socket() as other:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with pytest.raises(OSError, match="in use"):
                    other.bind((host, port))
            await target.revive()
            _, writer = await asyncio.open_connection(host, port)
            writer.close()

    helper.run(work())
