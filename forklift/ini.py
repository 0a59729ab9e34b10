"""Parses INI sections into frozen dataclasses and reports every problem.

Each field that is declared with `key()` is read from the key of the same name.
`key()` takes the parser of the value and the description that is printed in
docs/SETTINGS.md.
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
    """Parser and description of an INI key.

    Attributes:
        parse: Converts text to the value; raises ValueError with the remedy.
        doc: One-line description, with the unit.
        needs_restart: Whether a changed value takes effect only at the next
            start of the process.
    """

    parse: Callable[[str], Any]
    doc: str
    needs_restart: bool = False


def key(
    parse: Callable[[str], Any],
    doc: str,
    default: Any = dataclasses.MISSING,
    needs_restart: bool = False,
) -> Any:
    """Declares a field that is read from an INI key; required if no default."""
    metadata = {"key": Key(parse, doc, needs_restart)}
    return dataclasses.field(default=default, metadata=metadata)


def text(value: str) -> str:
    """Parses non-empty text."""
    if not value.strip():
        raise ValueError("give it a value")
    return value.strip()


def name(value: str) -> str:
    """Parses a name of letters, digits, dots, dashes and underscores.

    >>> name("almadies-1")
    'almadies-1'
    """
    bare = value.strip()
    allowed = bare.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or len(bare) > 100:
        raise ValueError("use up to 100 letters, digits, '.', '-' and '_'")
    return bare


def integer(low: int, high: int) -> Callable[[str], int]:
    """Returns a parser for an integer from `low` to `high`."""

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
    """Returns a parser for a number from `low` to `high`."""

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
    """Returns a parser that accepts only the given words."""

    def parse(value: str) -> str:
        if value.strip() not in choices:
            raise ValueError(f"give one of {', '.join(choices)}")
        return value.strip()

    return parse


def address(value: str) -> str:
    """Parses an IP address with a port; port 0 means an ephemeral port.

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
    """Parses an address to connect to; unlike `address`, port 0 is invalid.

    >>> endpoint("10.0.0.7:80")
    '10.0.0.7:80'
    """
    found = address(value)
    if found.endswith(":0"):
        raise ValueError("give the port on which it listens")
    return found


class Reader:
    """Parses one INI file and collects its problems."""

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
            # configparser raises AttributeError for some lines without a key.
            first = str(error).splitlines()[0]
            self.report("", "", first, "write sections and 'key = value' lines")
            # The partially filled parser is in an inconsistent state.
            self._parser = configparser.ConfigParser(interpolation=None)

    @property
    def sections(self) -> list[str]:
        """Names of the sections, in file order."""
        return self._parser.sections()

    def report(
        self, section: str, key_name: str, message: str, remedy: str
    ) -> None:
        """Adds a problem."""
        problem = errors.Problem(self.file, section, key_name, message, remedy)
        self.problems.append(problem)

    def read(self, section: str, kind: type[T], **given: Any) -> T | None:
        """Parses a section into a dataclass.

        Args:
            section: Name of the section.
            kind: The dataclass.
            **given: Values of fields that are not read from the file.

        Returns:
            The dataclass, or None if the section has a problem.
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
        """Raises an error if any problem was found.

        Raises:
            errors.FileProblems: At least one problem was found.
        """
        if self.problems:
            raise errors.FileProblems(tuple(self.problems))

    def _require(self, section: str, field: dataclasses.Field) -> None:
        if field.default is dataclasses.MISSING:
            doc = field.metadata["key"].doc
            self.report(section, field.name, "is missing", f"set it: {doc}")


def keys_by_name(kind: type) -> dict[str, dataclasses.Field]:
    """Returns the fields of a dataclass that are INI keys, by name."""
    return {
        field.name: field
        for field in dataclasses.fields(kind)
        if "key" in field.metadata
    }
