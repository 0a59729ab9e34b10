"""Program that sends control messages to peers that reset their connections.

It exits with status 0 after a number of resets. A fault of native code ends it,
which is why the tests run it in a process of its own.
"""

import asyncio
import random
import sys

from forklift.shell import push_framing
from forklift.shell import push_sockets
from forklift.shell import tcp_stream

PEERS = 24
MESSAGE_BYTES = (100, 40_000)
# Maximum seconds between two messages to one peer.
MAX_PAUSE = 0.004
# Maximum seconds from the first bytes on a connection until it is reset.
MAX_OPEN = 0.03


class ResettingPeers:
    """Listeners that take messages for a moment, then reset the connection.

    Attributes:
        resets: Number of connections that were reset after the first message.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self.resets = 0

    async def listen(self) -> str:
        """Adds a listener; returns its address."""
        server = await tcp_stream.listen("127.0.0.1:0", self._accept)
        return tcp_stream.bound_address(server)

    def _accept(self, connection: tcp_stream.Connection) -> None:
        task = asyncio.create_task(self._take(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take(self, connection: tcp_stream.Connection) -> None:
        connection.write(push_framing.PULL_HEADER)
        received = await connection.read()
        if received.startswith(push_framing.PUSH_HEADER):
            await asyncio.sleep(self._rng.uniform(0.0, MAX_OPEN))
            self.resets += 1
        # Unread bytes make the close a reset.
        connection.abort()


async def send(count: int, seed: int) -> None:
    """Sends to all peers until so many connections were reset."""
    rng = random.Random(seed)
    peers = ResettingPeers(rng)
    addresses = [await peers.listen() for _ in range(PEERS)]
    sockets = push_sockets.PushSockets(lambda data: None)
    payload = rng.randbytes(MESSAGE_BYTES[1])

    async def send_to(address: str) -> None:
        while peers.resets < count:
            data = payload[: rng.randint(*MESSAGE_BYTES)]
            sockets.send(address, data, False)
            await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE))

    await asyncio.gather(*map(send_to, addresses))
    sockets.close()


if __name__ == "__main__":
    asyncio.run(send(int(sys.argv[1]), int(sys.argv[2])))
