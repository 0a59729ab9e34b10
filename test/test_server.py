"""Tests the small server of the admin and platform endpoints."""

import asyncio

import pytest

from forklift.shell import server
from forklift.shell import tcp_stream
from test import helper


@pytest.mark.parametrize(
    "body",
    [
        b"content-length: 11\r\n\r\n" + b"x" * 11,
        b"transfer-encoding: chunked\r\n\r\nb\r\n" + b"x" * 11,
    ],
    ids=["length", "chunked"],
)
def test_body_over_the_limit_gets_413(body):
    """Guards against closing the connection without a response."""

    async def work():
        listener = server.Server(handle, max_body_bytes=10)
        await listener.open("127.0.0.1:0")
        host, port = tcp_stream.split_address(listener.address)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"POST / HTTP/1.1\r\nhost: h\r\n" + body)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 413")
        assert b"send a smaller one" in await reader.read()
        writer.close()
        listener.abort()

    async def handle(request):
        pytest.fail("the request was handled")

    helper.run(work())
