"""The four ports between the decisions and the world.

Each has a contract test that the real adapter and the stand-in both pass.
"""

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

from forklift import messages


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a stream.

    Attributes:
        stream: Name of the stream.
        offset: Position in the stream, from 0, never reused.
        data: The bytes as appended.
    """

    stream: str
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Batch:
    """What a read of one stream gave.

    Attributes:
        stream: Name of the stream.
        first: Lowest offset that is still retained.
        next: Offset to read from next.
        records: The records in order of offset.
    """

    stream: str
    first: int
    next: int
    records: tuple[Record, ...]


class Log(Protocol):
    """The platform's append-only log with offsets."""

    async def append(self, stream: str, data: bytes) -> int:
        """Appends and returns the offset.

        Raises:
            errors.LogUnavailable: No answer; the append may have happened.
        """

    async def read(
        self, next_by_stream: Mapping[str, int], wait: float
    ) -> Sequence[Batch]:
        """Reads from given offsets; waits up to `wait` seconds for news.

        Raises:
            errors.LogUnavailable: No answer.
        """


@dataclasses.dataclass(frozen=True)
class Found:
    """What a look for the configuration found.

    Attributes:
        record: The newest record; None where there was none.
        position: Where to look on for the next one.
    """

    record: bytes | None
    position: int


class Registry(Protocol):
    """The platform's store: the configuration, and who may be joined."""

    async def configuration(self) -> Found:
        """The newest configuration.

        Raises:
            errors.RegistryUnavailable: No answer.
        """

    async def next_configuration(self, position: int, wait: float) -> Found:
        """The newest configuration after a position; waits for one.

        Args:
            position: As found before.
            wait: Seconds to wait at most.

        Raises:
            errors.RegistryUnavailable: No answer.
            errors.RegistryGap: The records there are gone.
        """

    async def members(self) -> dict[str, bytes]:
        """What processes announced, by name.

        Raises:
            errors.RegistryUnavailable: No answer.
        """

    async def announce(self, name: str, data: bytes) -> None:
        """Announces a process, in place of what it announced before.

        Raises:
            errors.RegistryUnavailable: No answer; it may have happened.
        """


class Clock(Protocol):
    """Time, handed in wherever a decision needs it."""

    def monotonic(self) -> float:
        """Seconds that never go back; compared within one process only."""

    def wall(self) -> float:
        """Seconds since the epoch; compared between processes with care."""


class Transport(Protocol):
    """One-way control messages between processes."""

    def send(self, address: str, message: messages.Control) -> bool:
        """Hands a message to the network; False when it was dropped."""


class Target(Protocol):
    """A server behind its guard, reached over connections of its own."""

    async def take(self, fresh: bool) -> object:
        """A connection that carries nothing, with its protocol state.

        Raises:
            errors.ForkliftError: It can't be had; nothing was sent.
        """

    def give(self, connection: object, protocol: object) -> None:
        """Returns a connection whose answer was whole and its own."""

    def discard(self, connection: object) -> None:
        """Closes a connection; what it still brings is never read."""
