"""Records of departures, and whether the store holds all of them.

A process acknowledges that a target leaves, and may then restart. The store may
have been restored from a backup meanwhile, and may then lack departures that
were acknowledged. After each restore a process stores its departures again, and
after them a checkpoint. A process that starts knows by the checkpoint of its
earlier run whether the departures that it reads are complete.
"""

import math

import msgspec

from forklift import interfaces
from forklift import messages


class StoredDeparture(msgspec.Struct, frozen=True, tag=24, array_like=True):
    """Record of a departure that a process has acknowledged.

    Attributes:
        process: Name of the target's process.
        target: Name of the target's incarnation.
        at: Wall time of the departure, seconds since the epoch.
    """

    process: str
    target: str
    at: float


class Checkpoint(msgspec.Struct, frozen=True, tag=25, array_like=True):
    """Record that all departures of a process are stored in an epoch.

    Attributes:
        process: Name of the process.
        epoch: Epoch of the store.
    """

    process: str
    epoch: int


_decoder = msgspec.msgpack.Decoder(StoredDeparture | Checkpoint)


def encode(record: StoredDeparture | Checkpoint) -> bytes:
    """Encodes a record of the store.

    >>> decode(encode(StoredDeparture("p", "i-7", 0.5))).target
    'i-7'
    """
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> StoredDeparture | Checkpoint:
    """Decodes and validates a record.

    Raises:
        messages.MalformedMessage: The record is not valid.
    """
    try:
        record = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise messages.MalformedMessage(str(error)) from error
    if isinstance(record, StoredDeparture) and not math.isfinite(record.at):
        raise messages.MalformedMessage("a number is out of range")
    return record


class Completeness:
    """Whether a process knows all departures that it has acknowledged.

    >>> after_restore = Completeness()
    >>> after_restore.record_read(epoch=1)
    >>> after_restore.is_complete
    False
    >>> after_restore.record_checkpoint(1)
    >>> after_restore.record_read(epoch=1)
    >>> after_restore.is_complete
    True

    Attributes:
        is_complete: Whether this run of the process knows the departures that
            all earlier runs have acknowledged.
    """

    def __init__(self):
        self.is_complete = False
        self._checkpoint_epoch = interfaces.FIRST_EPOCH

    def record_checkpoint(self, epoch: int) -> None:
        """Records a stored checkpoint of this process.

        Args:
            epoch: Epoch in which all departures are stored.
        """
        self._checkpoint_epoch = max(self._checkpoint_epoch, epoch)

    def record_read(self, epoch: int) -> None:
        """Records that all stored departures were read.

        Args:
            epoch: Epoch of the store in which they were read.
        """
        if epoch == self._checkpoint_epoch:
            self.is_complete = True

    def assume_complete(self) -> None:
        """Records that departures not read are of no importance any more."""
        self.is_complete = True

    def needs_checkpoint(self, epoch: int) -> bool:
        """Whether a checkpoint must be stored once all departures are.

        Args:
            epoch: Current epoch of the store.
        """
        return self.is_complete and epoch > self._checkpoint_epoch
