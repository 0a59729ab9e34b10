"""Reads INI sections into frozen dataclasses and lists every mistake.

A field of a dataclass becomes a key of its section; `key()` gives its parser,
its bounds and the line that docs/SETTINGS.md prints of it.
"""

import configparser
import dataclasses
import ipaddress
from collections.abc import Callable
from typing import Any
from typing import TypeVar

from forklift import errors

T = TypeVar("T")
MAX_FILE_CHARACTERS = 4_000_000


@dataclasses.dataclass(frozen=True)
class Key:
    """How one key of a section is read.

    Attributes:
        parse: Turns text into the value; raises ValueError with the remedy.
        doc: One line on what it means, with its unit.
    """

    parse: Callable[[str], Any]
    doc: str


def key(
    parse: Callable[[str], Any],
    doc: str,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declares a field that is read from a key; no default: it must be set."""
    return dataclasses.field(default=default, metadata={"key": Key(parse, doc)})


def text(value: str) -> str:
    """Any text that is not empty."""
    if not value.strip():
        raise ValueError("give it a value")
    return value.strip()


def name(value: str) -> str:
    """A name of letters, digits, dot, dash and underscore.

    >>> name("almadies-1")
    'almadies-1'
    """
    bare = value.strip()
    allowed = bare.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or len(bare) > 100:
        raise ValueError("use up to 100 letters, digits, '.', '-' and '_'")
    return bare


def integer(low: int, high: int) -> Callable[[str], int]:
    """A whole number within bounds."""

    def parse(value: str) -> int:
        try:
            number = int(value)
        except ValueError:
            number = low - 1
        if not low <= number <= high:
            raise ValueError(f"give a whole number from {low} to {high}")
        return number

    return parse


def number(low: float, high: float) -> Callable[[str], float]:
    """A number within bounds."""

    def parse(value: str) -> float:
        try:
            result = float(value)
        except ValueError:
            result = float("nan")
        if not low <= result <= high:
            raise ValueError(f"give a number from {low:g} to {high:g}")
        return result

    return parse


def one_of(*choices: str) -> Callable[[str], str]:
    """One of some words."""

    def parse(value: str) -> str:
        if value.strip() not in choices:
            raise ValueError(f"give one of {', '.join(choices)}")
        return value.strip()

    return parse


def address(value: str) -> str:
    """An IP number with a port; port 0 lets the system choose one.

    >>> address("127.0.0.1:80")
    '127.0.0.1:80'
    """
    host, _, port = value.strip().rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        in_range = 0 <= int(port) < 65536
    except ValueError:
        in_range = False
    if not in_range:
        raise ValueError("give an IP number and a port, such as 10.0.0.7:8080")
    return value.strip()


def endpoint(value: str) -> str:
    """An address where somebody listens: its port is not left open.

    >>> endpoint("10.0.0.7:80")
    '10.0.0.7:80'
    """
    found = address(value)
    if found.endswith(":0"):
        raise ValueError("give the port on which it listens")
    return found


def addresses(value: str) -> tuple[str, ...]:
    """Addresses, separated by commas; none is fine."""
    parts = [part.strip() for part in value.split(",")]
    return tuple(address(part) for part in parts if part)


class Reader:
    """One file, and the problems found in it."""

    def __init__(self, file: str, content: str):
        self.file = file
        self.problems: list[errors.Problem] = []
        self._parser = configparser.ConfigParser(interpolation=None)
        if len(content) > MAX_FILE_CHARACTERS:
            self.report("", "", "the file is too long", "split it")
            return
        try:
            self._parser.read_string(content)
        except (configparser.Error, ValueError, AttributeError) as error:
            # The parser itself trips over some lines without a key.
            first = str(error).splitlines()[0]
            self.report("", "", first, "write sections and 'key = value' lines")
            # What was read up to the mistake is in no usable shape.
            self._parser = configparser.ConfigParser(interpolation=None)

    @property
    def sections(self) -> list[str]:
        """Names of the sections in order."""
        return self._parser.sections()

    def report(
        self, section: str, key_name: str, message: str, remedy: str
    ) -> None:
        """Notes a problem."""
        problem = errors.Problem(self.file, section, key_name, message, remedy)
        self.problems.append(problem)

    def read(self, section: str, kind: type[T], **given: Any) -> T | None:
        """Reads a section into a dataclass.

        Args:
            section: Name of the section.
            kind: The dataclass.
            **given: Fields that don't come from the file.

        Returns:
            The dataclass, or None where a problem was noted.
        """
        before = len(self.problems)
        values = {}
        if self._parser.has_section(section):
            values = dict(self._parser.items(section))
        read = dict(given)
        for field in dataclasses.fields(kind):
            declared = field.metadata.get("key")
            if declared is None:
                continue
            raw = values.pop(field.name, None)
            if raw is None:
                self._require(section, field)
                continue
            try:
                read[field.name] = declared.parse(raw)
            except ValueError as error:
                self.report(
                    section, field.name, f"{raw!r} is not usable", str(error)
                )
        for unknown in values:
            known = ", ".join(keys_by_name(kind))
            self.report(section, unknown, "unknown key", f"use one of {known}")
        if len(self.problems) > before:
            return None
        return kind(**read)

    def finish(self) -> None:
        """Raises what was noted.

        Raises:
            errors.FileProblems: When there was any problem.
        """
        if self.problems:
            raise errors.FileProblems(tuple(self.problems))

    def _require(self, section: str, field: dataclasses.Field) -> None:
        if field.default is dataclasses.MISSING:
            doc = field.metadata["key"].doc
            self.report(section, field.name, "is missing", f"set it: {doc}")


def keys_by_name(kind: type) -> dict[str, dataclasses.Field]:
    """The keys that a dataclass reads, by name."""
    return {
        field.name: field
        for field in dataclasses.fields(kind)
        if "key" in field.metadata
    }
