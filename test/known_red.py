"""Tests that fail for a known fault which is not mended yet.

KNOWN-RED.txt lists them. They still run, but their failures don't fail the
run; its summary says what became of each. All other tests count as always.
"""

import collections
import dataclasses
import pathlib

import pytest

FILE = "KNOWN-RED.txt"
# Lines that the list may hold: more would hide what is broken.
MAX_ENTRIES = 3
# Options that leave files out of a run of the whole suite.
PARTIAL_RUN_OPTIONS = ("ignore", "ignore_glob", "lf")
STILL_FAILS = "still fails"
NOW_PASSES = "passes now: take it off the list"
PASSES_IN_PART = "passes as far as it ran"
NOT_RUN = "not run"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One line: a test, why it fails and where that is followed up."""

    test: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        """The test's file, from the root."""
        return self.test.partition("::")[0]

    def covers(self, test: str) -> bool:
        """Whether a test is meant, or one set of its parameters."""
        return test == self.test or test.partition("[")[0] == self.test


def parse(text: str) -> tuple[Entry, ...]:
    """Reads the list.

    Raises:
        ValueError: A line has missing parts, or there are too many.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            entries.append(_parse_line(number, line))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(
            f"{FILE} has {len(entries)} lines and may have {MAX_ENTRIES}; "
            "mend some of the tests first"
        )
    return tuple(entries)


def _parse_line(number: int, line: str) -> Entry:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) == 3 and all(parts):
        entry = Entry(*parts)
        if entry.file.endswith(".py") and entry.test[len(entry.file) + 2 :]:
            return entry
    raise ValueError(
        f"{FILE}, line {number}: write "
        f"'test/test_x.py::test_name | cause | issue' instead of {line!r}"
    )


def read(root: pathlib.Path) -> tuple[Entry, ...]:
    """Reads the list of a folder; a missing file is an empty list.

    Raises:
        ValueError: It holds a mistake, or names a file that doesn't exist.
    """
    path = root / FILE
    if not path.exists():
        return ()
    entries = parse(path.read_text(encoding="utf-8"))
    for entry in entries:
        if not (root / entry.file).is_file():
            raise ValueError(_absent(entry))
    return entries


def _absent(entry: Entry) -> str:
    return f"{FILE} names {entry.test}, which doesn't exist; mend or remove it"


def register(config: pytest.Config) -> None:
    """Adds the plugin to a run.

    Raises:
        pytest.UsageError: The list holds a mistake.
    """
    try:
        entries = read(config.rootpath)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    # A module of its own: hooks of a conftest hear only of its own folder.
    config.pluginmanager.register(Plugin(entries))


class Plugin:
    """Lets listed tests fail, and says what became of them."""

    def __init__(self, entries: tuple[Entry, ...]):
        self._entries = entries
        self._children_by_id = collections.defaultdict(set)
        self._outcomes_by_test = collections.defaultdict(set)

    @pytest.hookimpl(wrapper=True, trylast=True)
    def pytest_make_collect_report(self, collector: pytest.Collector):
        """Notes what a file or class holds, also what isn't selected."""
        report = yield
        children = {child.nodeid for child in report.result or ()}
        self._children_by_id[collector.nodeid] |= children
        return report

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> None:
        """Marks listed tests.

        Raises:
            pytest.UsageError: A listed test doesn't exist.
        """
        for entry in self._entries:
            if not session.testsfailed and self._is_absent(entry, session):
                raise pytest.UsageError(_absent(entry))
            for item in items:
                if entry.covers(item.nodeid):
                    red = pytest.mark.xfail(reason=entry.cause, strict=False)
                    item.add_marker(red, append=False)

    def _is_absent(self, entry: Entry, session: pytest.Session) -> bool:
        """Whether a test's file was looked through and doesn't hold it."""
        config = session.config
        if config.getoption("lf", False):
            # That leaves out whatever passed last time.
            return False
        if entry.file not in self._children_by_id:
            return _is_whole(config)
        name, bracket, parameters = entry.test.partition("[")
        parent, *inner = name.split("::")
        for part in inner:
            child = f"{parent}::{part}"
            wanted = Entry(child, "", "")
            if child == name:
                wanted = Entry(child + bracket + parameters, "", "")
            if parent not in self._children_by_id:
                # A class of which nothing was selected.
                return False
            if not any(map(wanted.covers, self._children_by_id[parent])):
                return True
            parent = child
        return False

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Notes what became of a test in one of its phases."""
        outcome = report.outcome
        if report.skipped and hasattr(report, "wasxfail"):
            outcome = "failed"
        if report.when == "call" or outcome != "passed":
            self._outcomes_by_test[report.nodeid].add(outcome)

    def pytest_terminal_summary(self, terminalreporter) -> None:
        """Prints each line with what became of its test."""
        if not self._entries:
            return
        terminalreporter.section("known red")
        for entry in self._entries:
            terminalreporter.write_line(
                f"{entry.test} | {entry.cause} | {entry.issue}: "
                f"{self._fate(entry)}"
            )

    def _fate(self, entry: Entry) -> str:
        parent = entry.test.partition("[")[0].rpartition("::")[0]
        tests = [
            test for test in self._children_by_id[parent] if entry.covers(test)
        ]
        fates = [self._outcomes_by_test[test] for test in tests]
        if any("failed" in fate for fate in fates):
            return STILL_FAILS
        if not any("passed" in fate for fate in fates):
            return NOT_RUN
        return (
            NOW_PASSES
            if all(f == {"passed"} for f in fates)
            else PASSES_IN_PART
        )


def _is_whole(config: pytest.Config) -> bool:
    """Whether all files of the suite are collected."""
    if config.args_source is not pytest.Config.ArgsSource.TESTPATHS:
        return False
    return not any(
        config.getoption(option, None) for option in PARTIAL_RUN_OPTIONS
    )
