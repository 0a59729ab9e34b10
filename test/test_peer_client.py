"""Handshake of connections between processes, on the client side."""

import pytest

from forklift import messages
from forklift.shell import framing
from forklift.shell import peer_client
from forklift.shell import tcp_stream
from test import helper


class Transport:
    """Records the last write."""

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.written = data


def hello(compress: bool) -> messages.Hello:
    return messages.Hello("p", 1, 1, b"n" * framing.NONCE_BYTES, compress)


@pytest.mark.parametrize("requested", [True, False])
@pytest.mark.parametrize("accepted", [True, False])
def test_frames_are_compressed_only_if_both_sides_request_it(
    requested, accepted
):
    async def work():
        frames = framing.FrameConnection()
        frames.connection_made(Transport())
        connection = peer_client.ClientConnection(
            frames, hello(requested), b"key"
        )
        connection.send_hello()
        assert not frames.compress
        frames.on_frame(hello(accepted))
        assert frames.compress == (requested and accepted)

    helper.run(work())


def test_proof_before_the_hello_is_malformed():
    """Guards against an untyped error for a message of another writer."""

    async def work():
        frames = framing.FrameConnection()
        frames.connection_made(Transport())
        peer_client.ClientConnection(frames, hello(False), b"key")
        with pytest.raises(messages.MalformedMessage):
            frames.on_frame(messages.Proof(b"x"))

    helper.run(work())


@pytest.mark.parametrize(
    "address", ["localhost:80", "nowhere", "127.0.0.1:99999", "127.0.0.1:x"]
)
def test_invalid_address_of_a_peer_is_unreachable(address):
    """Guards against an error that ends the request instead of a retry."""

    async def run_test():
        with pytest.raises(tcp_stream.InvalidAddress):
            await peer_client.connect(address, None, b"")

    helper.run(run_test())
