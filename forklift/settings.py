"""Settings of one process, parsed from INI and validated at startup."""

import dataclasses
import pathlib

from forklift import errors
from forklift import ini
from forklift import overload
from forklift import retry_budgets


def _optional_address(value: str) -> str:
    """Parses an address, which may be empty."""
    return ini.address(value) if value.strip() else ""


def _optional_text(value: str) -> str:
    """Parses text, which may be empty."""
    return value.strip()


# Suffix of addresses whose port the operating system assigns.
EPHEMERAL_PORT_SUFFIX = ":0"


@dataclasses.dataclass(frozen=True)
class Process:
    """Section [process]: identity and addresses of the process."""

    name: str = ini.key(
        ini.name, "name, unique in the fleet", needs_restart=True
    )
    domain: str = ini.key(
        ini.name, "failure domain of the instance", needs_restart=True
    )
    caller: str = ini.key(
        ini.address, "address for callers, ip:port", needs_restart=True
    )
    peer: str = ini.key(
        ini.address,
        "address for requests of peers, ip:port",
        needs_restart=True,
    )
    control: str = ini.key(
        ini.address,
        "address for control messages of peers, TCP and UDP, ip:port",
        needs_restart=True,
    )
    admin: str = ini.key(
        ini.address,
        "address for operators and metrics, ip:port",
        needs_restart=True,
    )
    peer_public: str = ini.key(
        _optional_address,
        "address at which peers reach `peer`, where it is another; ip:port",
        "",
        needs_restart=True,
    )
    control_public: str = ini.key(
        _optional_address,
        "address at which peers reach `control`, where it is another; ip:port",
        "",
        needs_restart=True,
    )
    key: str = ini.key(
        ini.text,
        "key shared by all processes; empty trusts the network",
        "",
        needs_restart=True,
    )
    policy: str = ini.key(
        _optional_text, "policy file; empty takes the built-in programs", ""
    )


@dataclasses.dataclass(frozen=True)
class Platform:
    """Section [platform]: connection to the platform and its targets."""

    store: str = ini.key(ini.address, "address of the store, ip:port")
    heartbeats: str = ini.key(
        ini.address,
        "address that targets announce themselves to, ip:port",
        needs_restart=True,
    )
    ready: str = ini.key(
        ini.address,
        "address where the platform asks for readiness, ip:port",
        needs_restart=True,
    )
    service: str = ini.key(
        _optional_text, "service of the target on this instance", ""
    )
    target: str = ini.key(
        _optional_address, "address of the target on this instance, ip:port", ""
    )
    heartbeat_ms: int = ini.key(
        ini.integer(10, 3_600_000),
        "milliseconds between heartbeats of a target",
        1500,
    )
    grace: float = ini.key(
        ini.number(0.5, 3600),
        "seconds from SIGTERM until the process is killed",
        6.0,
    )


@dataclasses.dataclass(frozen=True)
class Limits:
    """Section [limits]: caller connections and cross-domain cost."""

    callers: int = ini.key(
        ini.integer(1, 100_000), "connections of callers at once", 2000
    )
    far_cost: float = ini.key(
        ini.number(0, 10),
        "cost of a kilobyte between failure domains, as a part of a request",
        0.04,
    )


@dataclasses.dataclass(frozen=True)
class Budget:
    """Section [budget]: retry budget and calls between services."""

    ratio: float = ini.key(
        ini.number(0, 10), "repeats for each request of a service", 0.1
    )
    window: float = ini.key(
        ini.number(0.1, 3600), "seconds over which both are counted", 10.0
    )
    reserve: float = ini.key(
        ini.number(0, 1_000_000), "repeats beside, in each window", 5.0
    )
    calls: float = ini.key(
        ini.number(0, 1000),
        "calls to each other service that one run makes at most, on average",
        1.0,
    )

    def limits(self) -> retry_budgets.Limits:
        """Returns the limits of the retry budgets."""
        return retry_budgets.Limits(
            self.ratio, self.window, self.reserve, self.calls
        )


def _only_false(value: str) -> bool:
    """Parses a flag whose only supported value is `false`."""
    if value.strip().lower() != "false":
        raise ValueError(
            "set it to false: a process that is cut off for long still takes "
            "keys by the last configuration that it knows"
        )
    return False


@dataclasses.dataclass(frozen=True)
class RateLimitTolerances:
    """Section [organisations]: permitted overshoot of rate limits."""

    window: float = ini.key(
        ini.number(0.1, 3600), "seconds over which requests are counted", 5.0
    )
    overshoot: float = ini.key(
        ini.number(0, 10),
        "requests beyond what a limit allows within them, as a part of it",
        0.1,
    )
    slack: float = ini.key(
        ini.number(0, 1_000_000), "requests beside, in each window", 20.0
    )
    strict_revoke: bool = ini.key(
        _only_false,
        "whether a key that was taken away is refused by processes that can't "
        "learn of it, too; only false is offered",
        False,
    )


def _overload_mode(value: str) -> overload.Mode:
    """Parses the mode of overload control."""
    try:
        return overload.Mode(value.strip().lower())
    except ValueError as error:
        known = ", ".join(overload.Mode)
        raise ValueError(f"set it to one of {known}") from error


@dataclasses.dataclass(frozen=True)
class Overload:
    """Section [overload]: how requests share the room of targets."""

    mode: overload.Mode = ini.key(
        _overload_mode,
        "auto, on or off; auto is on while the configuration in force has a "
        "route with large responses",
        overload.Mode.AUTO,
    )
    floor: float = ini.key(
        ini.number(0, overload.MAX_FLOOR),
        "share of a target's time that each waiting priority keeps",
        0.1,
    )
    call_share: float = ini.key(
        ini.number(0, overload.MAX_CALL_SHARE),
        "share of a target's slots that only calls of running requests may use",
        0.2,
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of a process.

    Attributes:
        process: Identity and addresses of the process.
        platform: Connection to the platform and its targets.
        limits: Caller connections and cross-domain cost.
        budget: Retry budget and calls between services.
        organisations: Permitted overshoot of rate limits.
        overload: How requests share the room of targets.
    """

    process: Process
    platform: Platform
    limits: Limits = Limits()
    budget: Budget = Budget()
    organisations: RateLimitTolerances = RateLimitTolerances()
    overload: Overload = Overload()


SECTIONS = {
    "process": Process,
    "platform": Platform,
    "limits": Limits,
    "budget": Budget,
    "organisations": RateLimitTolerances,
    "overload": Overload,
}


def changes_that_need_restart(before: Settings, after: Settings) -> list[str]:
    """Returns the changed keys that take effect only at the next start.

    Args:
        before: Settings that the process uses.
        after: Settings that were read.

    Returns:
        Names such as "process.name".
    """
    return [
        f"{section}.{name}"
        for section, kind in SECTIONS.items()
        for name, field in ini.keys_by_name(kind).items()
        if field.metadata["key"].needs_restart
        and getattr(getattr(before, section), name)
        != getattr(getattr(after, section), name)
    ]


def parse(file: str, content: str) -> Settings:
    """Parses settings from text.

    Raises:
        errors.FileProblems: The settings are invalid.
    """
    reader = ini.Reader(file, content)
    for section in reader.sections:
        if section not in SECTIONS:
            known = ", ".join(SECTIONS)
            reader.report(section, "", "unknown section", f"use {known}")
    read = {
        section: reader.read(section, kind)
        for section, kind in SECTIONS.items()
    }
    if read["process"] is not None and read["platform"] is not None:
        _check_addresses(reader, read["process"], read["platform"])
    reader.finish()
    return Settings(**read)


def load(path: str) -> Settings:
    """Reads and parses a settings file.

    Raises:
        errors.UserError: The file can't be read or is invalid.
    """
    return parse(path, read_file(path))


def read_file(path: str) -> str:
    """Returns the text of a file.

    Raises:
        errors.UserError: The file can't be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(
            f"can't read {path} ({error}); give the path of an INI file"
        ) from error


def _check_addresses(
    reader: ini.Reader, process: Process, platform: Platform
) -> None:
    seen: dict[str, str] = {}
    listeners = [
        ("process", field, getattr(process, field))
        for field in ("caller", "peer", "control", "admin")
    ]
    listeners += [
        ("platform", field, getattr(platform, field))
        for field in ("heartbeats", "ready")
    ]
    for section, field, address in listeners:
        if address in seen and not address.endswith(EPHEMERAL_PORT_SUFFIX):
            reader.report(
                section,
                field,
                f"{address} is taken by {seen[address]}",
                "give each listener a port of its own",
            )
        seen[address] = field
