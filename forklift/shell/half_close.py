"""Closes the sending side of connections.

`Transport.write_eof` raises an error, or reports one to the event loop, if the
other side has reset the connection meanwhile.
"""

import asyncio
import socket


class HalfClose:
    """Closes the sending side of one connection once all data is sent."""

    def __init__(self):
        self.requested = False

    def request(self, transport: asyncio.Transport) -> None:
        """Closes the sending side, at once if all data is sent.

        The owner must write nothing more, and call `resume_writing` when the
        transport calls the method of its protocol.

        Args:
            transport: The transport of the connection.
        """
        self.requested = True
        if transport.get_write_buffer_size():
            # The transport calls `resume_writing` once its buffer is empty.
            transport.set_write_buffer_limits(high=0)
        else:
            _shut_down(transport)

    def resume_writing(self, transport: asyncio.Transport) -> None:
        """Closes the sending side if that was requested and all data is sent.

        Args:
            transport: The transport of the connection.
        """
        if self.requested and not transport.get_write_buffer_size():
            _shut_down(transport)


def _shut_down(transport: asyncio.Transport) -> None:
    try:
        transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
    except OSError:
        # The other side has reset the connection. A transport that is aborted
        # while it calls `resume_writing` ends twice, the second time with an
        # error.
        asyncio.get_running_loop().call_soon(transport.abort)
