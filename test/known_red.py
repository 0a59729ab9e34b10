"""Pytest plugin for tests that fail because of a known, open fault.

KNOWN-RED.txt lists these tests. They still run, but their failures do not fail
the test run, and its summary shows the status of each. All other tests count
as usual.
"""

import collections
import dataclasses
import pathlib

import pytest

FILE = "KNOWN-RED.txt"
# Limits how many known faults may stay open at a time.
MAX_ENTRIES = 3
# Options that exclude files from a run of the whole suite.
PARTIAL_RUN_OPTIONS = ("ignore", "ignore_glob", "lf")
STILL_FAILS = "still fails"
NOW_PASSES = "passes now: remove it from the list"
PASSES_IN_PART = "passed, but not all cases ran"
NOT_RUN = "not run"


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry of the list.

    Attributes:
        test: Pytest node id, with or without parameters in brackets.
        cause: Why the test fails.
        issue: Issue that tracks the fault.
    """

    test: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        """Path of the test's file, relative to the root."""
        return self.test.partition("::")[0]

    def matches(self, test: str) -> bool:
        """Returns whether a node id is this test or one of its cases."""
        return test == self.test or test.partition("[")[0] == self.test


def parse(text: str) -> tuple[Entry, ...]:
    """Parses the list; empty lines and lines that start with # are ignored.

    Raises:
        ValueError: A line is malformed, or there are too many entries.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            entries.append(_parse_line(number, line))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(
            f"{FILE} has {len(entries)} entries, but the limit is "
            f"{MAX_ENTRIES}; fix some of the tests first"
        )
    return tuple(entries)


def _parse_line(number: int, line: str) -> Entry:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) == 3 and all(parts):
        entry = Entry(*parts)
        if entry.file.endswith(".py") and entry.test[len(entry.file) + 2 :]:
            return entry
    raise ValueError(
        f"{FILE}, line {number}: expected "
        f"'test/test_x.py::test_name | cause | issue', not {line!r}"
    )


def read(root: pathlib.Path) -> tuple[Entry, ...]:
    """Reads the list from a directory; a missing file is an empty list.

    Raises:
        ValueError: The list is malformed, or a listed file doesn't exist.
    """
    path = root / FILE
    if not path.exists():
        return ()
    entries = parse(path.read_text(encoding="utf-8"))
    for entry in entries:
        if not (root / entry.file).is_file():
            raise ValueError(_missing_test_message(entry))
    return entries


def _missing_test_message(entry: Entry) -> str:
    return f"{FILE} names {entry.test}, which doesn't exist; fix or remove it"


def register(config: pytest.Config) -> None:
    """Reads the list and registers the plugin with pytest.

    Raises:
        pytest.UsageError: The list is malformed or a listed file is missing.
    """
    try:
        entries = read(config.rootpath)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    # Hooks in a conftest would only be called for its own directory.
    config.pluginmanager.register(Plugin(entries))


class Plugin:
    """Marks listed tests as expected failures and reports their status."""

    def __init__(self, entries: tuple[Entry, ...]):
        self._entries = entries
        self._children_by_id = collections.defaultdict(set)
        self._outcomes_by_test = collections.defaultdict(set)

    @pytest.hookimpl(wrapper=True, trylast=True)
    def pytest_make_collect_report(self, collector: pytest.Collector):
        """Records the tests of a file or class, including deselected ones."""
        report = yield
        children = {child.nodeid for child in report.result or ()}
        self._children_by_id[collector.nodeid] |= children
        return report

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> None:
        """Marks listed tests as expected failures.

        Raises:
            pytest.UsageError: A listed test doesn't exist.
        """
        for entry in self._entries:
            if not session.testsfailed and self._is_missing(entry, session):
                raise pytest.UsageError(_missing_test_message(entry))
            for item in items:
                if entry.matches(item.nodeid):
                    known_failure = pytest.mark.xfail(
                        reason=entry.cause, strict=False
                    )
                    item.add_marker(known_failure, append=False)

    def _is_missing(self, entry: Entry, session: pytest.Session) -> bool:
        """Returns whether a listed test is known not to exist.

        Tests that this run did not collect are not reported as missing.
        """
        config = session.config
        if config.getoption("lf", False):
            # Tests that passed in the last run are not collected.
            return False
        if entry.file not in self._children_by_id:
            return _collects_whole_suite(config)
        name, bracket, parameters = entry.test.partition("[")
        parent, *names = name.split("::")
        for part in names:
            child = f"{parent}::{part}"
            expected = Entry(child, "", "")
            if child == name:
                expected = Entry(child + bracket + parameters, "", "")
            if parent not in self._children_by_id:
                # The class was not collected, as none of it was selected.
                return False
            if not any(map(expected.matches, self._children_by_id[parent])):
                return True
            parent = child
        return False

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records the outcome of one phase of a test."""
        outcome = report.outcome
        if report.skipped and hasattr(report, "wasxfail"):
            outcome = "failed"
        if report.when == "call" or outcome != "passed":
            self._outcomes_by_test[report.nodeid].add(outcome)

    def pytest_terminal_summary(self, terminalreporter) -> None:
        """Prints each entry with the status of its test."""
        if not self._entries:
            return
        terminalreporter.section("known red")
        for entry in self._entries:
            terminalreporter.write_line(
                f"{entry.test} | {entry.cause} | {entry.issue}: "
                f"{self._status(entry)}"
            )

    def _status(self, entry: Entry) -> str:
        parent = entry.test.partition("[")[0].rpartition("::")[0]
        tests = [
            test for test in self._children_by_id[parent] if entry.matches(test)
        ]
        statuses = [self._outcomes_by_test[test] for test in tests]
        if any("failed" in status for status in statuses):
            return STILL_FAILS
        if not any("passed" in status for status in statuses):
            return NOT_RUN
        return (
            NOW_PASSES
            if all(f == {"passed"} for f in statuses)
            else PASSES_IN_PART
        )


def _collects_whole_suite(config: pytest.Config) -> bool:
    """Returns whether this run collects all files of the suite."""
    if config.args_source is not pytest.Config.ArgsSource.TESTPATHS:
        return False
    return not any(
        config.getoption(option, None) for option in PARTIAL_RUN_OPTIONS
    )
