"""The ports between the decisions and the world."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from forklift import messages


@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """What a look for the configuration found.

    Attributes:
        record: The newest record; None where there was none.
        position: Where to look on for the next one.
    """

    record: bytes | None
    position: int


class Registry(Protocol):
    """The platform's store: the configuration, and who may be joined.

    Attributes:
        on_lost: Called when it came back without some of what it had
            acknowledged: all that rests on it is to be written again.
    """

    on_lost: Callable[[], None]

    async def configuration(self) -> ConfigurationRead:
        """The newest configuration.

        Raises:
            errors.RegistryUnavailable: No answer.
        """

    async def next_configuration(
        self, position: int, wait: float
    ) -> ConfigurationRead:
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

        Other records that all are to read may stand beside those of processes.
        Empty data drops a record.

        Raises:
            errors.RegistryUnavailable: No answer; it may have happened.
        """

    async def publish(self, data: bytes, position: int) -> bool:
        """Writes a configuration if nothing came after a position.

        Returns:
            Whether it was written.

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

    def send(
        self, address: str, message: messages.Control, renew: bool = False
    ) -> bool:
        """Hands a message to the network; False when it was dropped.

        Args:
            address: Control address of the receiver.
            message: The message.
            renew: Whether it goes over a new connection.
        """
