"""Records that processes store for each other, and the names they have.

Other programs can write next to them. A record counts only if it is valid and
stored under its own name.
"""

from typing import TypeAlias

import xxhash

from forklift import departures
from forklift import messages

# Prefixes of names; no name of a process starts with them.
EVIDENCE_PREFIX = "held/"
DEPARTURE_PREFIX = "left/"

Record: TypeAlias = (
    messages.Announcement
    | messages.StoredEvidence
    | departures.StoredDeparture
    | departures.Checkpoint
)


def evidence_name(fingerprint: bytes) -> str:
    """Returns the name of the evidence against a request.

    >>> evidence_name(b"1")
    'held/31'
    """
    return EVIDENCE_PREFIX + fingerprint.hex()


def departure_name(process: str, target: str) -> str:
    """Returns the name of a departure; hashed, as the store bounds its length.

    Args:
        process: Name of the target's process.
        target: Name of the target's incarnation; empty for the checkpoint of
            the process.
    """
    digest = xxhash.xxh3_128_hexdigest(f"{process}\0{target}".encode())
    return DEPARTURE_PREFIX + digest


def is_departure(name: str) -> bool:
    """Whether a record is a departure or a checkpoint, by its name."""
    return name.startswith(DEPARTURE_PREFIX)


def decode(name: str, data: bytes) -> Record:
    """Decodes and validates a record.

    Args:
        name: Name under which it is stored.
        data: Contents of the record.

    Raises:
        messages.MalformedMessage: The record is not valid.
    """
    if name.startswith(EVIDENCE_PREFIX):
        record = messages.decode_evidence(data)
        expected = evidence_name(record.evidence.fingerprint)
    elif is_departure(name):
        record = departures.decode(data)
        target = ""
        if isinstance(record, departures.StoredDeparture):
            target = record.target
        expected = departure_name(record.process, target)
    else:
        return messages.decode_announcement(name, data)
    if name != expected:
        raise messages.MalformedMessage("it is stored under another name")
    return record
