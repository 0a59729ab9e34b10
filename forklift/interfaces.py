"""Interfaces through which the decision logic accesses I/O and time."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from forklift import messages

# Epoch of a store that has lost no acknowledged write, or reports no epoch.
FIRST_EPOCH = 0


@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """Result of reading the configuration from the store.

    Attributes:
        record: Newest record; None if there is none.
        position: Position from which to read the next record.
    """

    record: bytes | None
    position: int


@dataclasses.dataclass(frozen=True)
class MembersRead:
    """Result of reading the records written by `Registry.announce`.

    Attributes:
        data_by_name: Contents of each accepted record, by its name.
        epoch: Epoch of the store in which all of them were read.
    """

    data_by_name: dict[str, bytes]
    epoch: int


class Registry(Protocol):
    """Store of the configuration and of the processes that can be joined.

    Attributes:
        on_lost: Called when the store has lost acknowledged writes, which must
            then be repeated.
        epoch: Latest known epoch; increases whenever the store loses
            acknowledged writes. None before the first response.
    """

    on_lost: Callable[[], None]
    epoch: int | None

    async def configuration(self) -> ConfigurationRead:
        """Reads the newest configuration.

        Raises:
            errors.RegistryUnavailable: The store did not answer.
        """

    async def next_configuration(
        self, position: int, wait: float
    ) -> ConfigurationRead:
        """Waits for a configuration that was written after a position.

        Args:
            position: Position from an earlier read.
            wait: Maximum time to wait, in seconds.

        Raises:
            errors.RegistryUnavailable: The store did not answer.
            errors.RegistryGap: The store no longer has the records at the
                position.
        """

    async def members(
        self, accepts: Callable[[str, bytes], bool] = lambda name, data: True
    ) -> MembersRead:
        """Returns the records written by `announce`.

        Args:
            accepts: Whether to keep a record, by its name and its contents.
                Other programs can write any number of records, so the others
                are dropped as they arrive.

        Raises:
            errors.RegistryUnavailable: The store did not answer.
        """

    async def announce(self, name: str, data: bytes) -> int:
        """Writes a record, replacing any earlier one with the same name.

        Records describe processes, or hold other data that all processes read.
        Empty data deletes the record.

        Returns:
            Epoch of the store that holds the record.

        Raises:
            errors.RegistryUnavailable: The store did not answer. The write may
                have taken effect.
        """

    async def publish(self, data: bytes, position: int) -> bool:
        """Writes a configuration if no record was added since the last read.

        Args:
            data: Configuration record.
            position: End position returned by the read that preceded this
                write. Nothing is written if any record was added after it.

        Returns:
            Whether the configuration was written.

        Raises:
            errors.RegistryUnavailable: The store did not answer. The write may
                have taken effect.
        """


class Clock(Protocol):
    """Source of time for the decision logic."""

    def monotonic(self) -> float:
        """Returns monotonic seconds, comparable only within one process."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; not exact between processes."""


class Transport(Protocol):
    """Sends one-way control messages to other processes."""

    def send(
        self,
        address: str,
        message: messages.Control,
        new_connection: bool = False,
    ) -> bool:
        """Sends a message without waiting for its delivery.

        Args:
            address: Control address of the receiver.
            message: The message.
            new_connection: Whether to open a new connection for the message.

        Returns:
            Whether the message was sent; False if it was dropped.
        """
