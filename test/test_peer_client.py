"""The side of a connection between processes that asks."""

import pytest

from forklift import messages
from forklift.shell import framing
from forklift.shell import peer_client
from test import helper


class Transport:
    """Takes what is written."""

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.written = data


def hello(compress: bool) -> messages.Hello:
    return messages.Hello("p", 1, 1, b"n" * framing.NONCE_BYTES, compress)


@pytest.mark.parametrize("asks", [True, False])
@pytest.mark.parametrize("agrees", [True, False])
def test_frames_are_compressed_only_where_both_sides_want_it(asks, agrees):
    async def work():
        frames = framing.FrameConnection()
        frames.connection_made(Transport())
        link = peer_client.ClientConnection(frames, hello(asks), b"key")
        link.send_hello()
        assert not frames.compress
        frames.on_frame(hello(agrees))
        assert frames.compress == (asks and agrees)

    helper.run(work())
