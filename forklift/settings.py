"""Settings of one process, read from INI and checked in full at start."""

import dataclasses
import pathlib

from forklift import errors
from forklift import ini


@dataclasses.dataclass(frozen=True)
class Process:
    """Section [process]: who and where this process is."""

    name: str = ini.key(ini.name, "name, unique in the fleet")
    domain: str = ini.key(ini.name, "failure domain of the instance")
    caller: str = ini.key(ini.address, "address for callers, ip:port")
    peer: str = ini.key(ini.address, "address for requests of peers, ip:port")
    control: str = ini.key(
        ini.address, "address for control messages of peers, ip:port"
    )
    admin: str = ini.key(
        ini.address, "address for targets, operators and metrics, ip:port"
    )
    join: tuple[str, ...] = ini.key(
        ini.addresses, "control addresses to join through, by commas", ()
    )
    key: str = ini.key(
        ini.text, "key shared by all processes; empty trusts the network", ""
    )


@dataclasses.dataclass(frozen=True)
class Log:
    """Section [log]: the platform's log service."""

    address: str = ini.key(ini.address, "address of the log service, ip:port")
    timeout: float = ini.key(
        ini.number(0.05, 60), "seconds to wait for an answer", 2.0
    )
    retention: float = ini.key(
        ini.number(10, 31_536_000), "seconds that a record is kept", 3600.0
    )


@dataclasses.dataclass(frozen=True)
class Limits:
    """Section [limits]: bounds on what is accepted."""

    header_bytes: int = ini.key(
        ini.whole(1024, 1_048_576), "largest request head, bytes", 32_768
    )
    body_bytes: int = ini.key(
        ini.whole(0, 1 << 40), "largest request body, bytes", 1 << 30
    )
    buffer_bytes: int = ini.key(
        ini.whole(16_384, 1 << 24),
        "body bytes held of one request each way",
        262_144,
    )
    callers: int = ini.key(
        ini.whole(1, 100_000), "connections of callers at once", 2000
    )
    idle: float = ini.key(
        ini.number(0.1, 3600), "seconds an idle caller may stay", 60.0
    )
    head: float = ini.key(
        ini.number(0.1, 600), "seconds a caller has to send a head", 10.0
    )
    stall: float = ini.key(
        ini.number(0.1, 600),
        "seconds a caller may go without taking or giving a byte",
        20.0,
    )
    stop: float = ini.key(
        ini.number(0, 3600), "seconds a planned stop waits for requests", 30.0
    )
    recorded_bytes: int = ini.key(
        ini.whole(0, 1 << 24),
        "largest answer recorded for an idempotency key, bytes",
        65_536,
    )
    keys: int = ini.key(
        ini.whole(1, 10_000_000), "idempotency keys remembered at once", 100_000
    )


def _optional_address(value: str) -> str:
    """An address, or nothing."""
    return ini.address(value) if value.strip() else ""


@dataclasses.dataclass(frozen=True)
class Platform:
    """Section [platform]: what the platform gives, and where it calls."""

    store: str = ini.key(ini.address, "address of the store, ip:port")
    heartbeats: str = ini.key(
        ini.address, "address that targets announce themselves to, ip:port"
    )
    ready: str = ini.key(
        ini.address, "address where the platform asks for readiness, ip:port"
    )
    service: str = ini.key(
        ini.text, "service of the target on this instance", ""
    )
    target: str = ini.key(
        _optional_address, "address of the target on this instance, ip:port", ""
    )
    grace: float = ini.key(
        ini.number(0.5, 3600),
        "seconds from SIGTERM until the process is killed",
        6.0,
    )


@dataclasses.dataclass(frozen=True)
class Budget:
    """Section [budget]: bounds on repeats, over all processes together."""

    ratio: float = ini.key(
        ini.number(0, 10), "repeats for each request of a service", 0.1
    )
    window: float = ini.key(
        ini.number(0.1, 3600), "seconds over which both are counted", 10.0
    )
    reserve: float = ini.key(
        ini.number(0, 1_000_000), "repeats beside, in each window", 5.0
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of a process.

    Attributes:
        process: Who and where it is.
        log: The log service; None on a platform with a store.
        limits: Bounds on what is accepted.
        platform: The platform; None where there is a log service instead.
        budget: Bounds on repeats.
    """

    process: Process
    log: Log | None
    limits: Limits
    platform: Platform | None = None
    budget: Budget = Budget()


SECTIONS = {
    "process": Process,
    "log": Log,
    "limits": Limits,
    "platform": Platform,
    "budget": Budget,
}
# Exactly one of these says where the configuration comes from.
_SOURCES = ("log", "platform")


def parse(file: str, content: str) -> Settings:
    """Reads settings from text.

    Raises:
        errors.FileProblems: With every mistake in it.
    """
    reader = ini.Reader(file, content)
    for section in reader.sections:
        if section not in SECTIONS:
            known = ", ".join(SECTIONS)
            reader.report(section, "", "unknown section", f"use {known}")
    absent = [name for name in _SOURCES if name not in reader.sections]
    if len(absent) == len(_SOURCES):
        absent.remove("log")
    read = {
        section: None if section in absent else reader.read(section, kind)
        for section, kind in SECTIONS.items()
    }
    if read["process"] is not None:
        _check_addresses(reader, read["process"])
    reader.finish()
    return Settings(**read)


def load(path: str) -> Settings:
    """Reads settings from a file.

    Raises:
        errors.UserError: The file can't be read or holds mistakes.
    """
    return parse(path, read_file(path))


def read_file(path: str) -> str:
    """Returns the text of a file.

    Raises:
        errors.UserError: It can't be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(
            f"can't read {path} ({error}); give the path of an INI file"
        ) from error


def _check_addresses(reader: ini.Reader, process: Process) -> None:
    seen: dict[str, str] = {}
    for field in ("caller", "peer", "control", "admin"):
        address = getattr(process, field)
        if address in seen:
            reader.report(
                "process",
                field,
                f"{address} is taken by {seen[address]}",
                "give each listener a port of its own",
            )
        seen[address] = field
