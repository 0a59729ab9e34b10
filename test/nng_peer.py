"""Program that sends and receives control messages as earlier versions do.

These use nng, whose threads must not run in the process of the tests.
"""

import os
import sys

import pynng


def main() -> None:
    """Sends messages to an address, then prints those it receives itself.

    Its arguments are the address to send to, the size of each message in bytes
    and the number of messages to send and to receive.
    """
    address, size, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    pull = pynng.Pull0()
    listener = pull.listen("tcp://127.0.0.1:0")
    print(listener.local_address, flush=True)
    push = pynng.Push0()
    push.dial(f"tcp://{address}", block=True)
    for number in range(count):
        push.send(bytes([number]) * size)
    for _ in range(count):
        data = pull.recv()
        print(data[0], len(data), flush=True)
    # Waits until the caller has received all, and skips nng's cleanup.
    sys.stdin.readline()
    os._exit(0)


if __name__ == "__main__":
    main()
