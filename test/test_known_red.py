import pathlib

import pytest

from test import known_red

pytest_plugins = ["pytester"]

CONFTEST = pathlib.Path(__file__).parent / "conftest.py"
TESTS = """
    import pytest

    def test_good():
        pass

    def test_bad():
        assert False

    @pytest.fixture
    def broken():
        raise OSError("broken")

    def test_error(broken):
        pass

    @pytest.fixture
    def breaks_after():
        yield
        raise OSError("broken")

    def test_error_after(breaks_after):
        pass

    @pytest.mark.parametrize("number", [1, 2])
    def test_each(number):
        assert number == 1

    class TestInner:
        def test_in(self):
            assert False
"""
ENTRY = "test/test_a.py::{} | a cause | issue 7"


@pytest.fixture
def suite(pytester, monkeypatch):
    """Returns a function that runs a small suite with listed tests."""
    # Avoids loading other plugins again in each run.
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    folder = pytester.path / "test"
    folder.mkdir()
    (folder / "conftest.py").write_text(CONFTEST.read_text())
    pytester.makeini("[pytest]\ntestpaths = test\naddopts = -q\n")
    write(pytester, "test_a", TESTS)

    def run_suite(*tests, args=()):
        text = "\n".join(ENTRY.format(test) for test in tests)
        (pytester.path / known_red.FILE).write_text(text)
        return pytester.runpytest_inprocess(*args)

    return run_suite


def write(pytester, name, text):
    path = pytester.makepyfile(**{name: text})
    path.rename(pytester.path / "test" / path.name)


def statuses(result):
    """Returns the status of each listed test in the summary."""
    status_by_test = {}
    for line in result.outlines:
        if " | a cause | issue 7: " in line:
            test, _, rest = line.partition(" | ")
            status_by_test[test.partition("::")[2]] = rest.split(": ", 1)[1]
    return status_by_test


FAILING_TESTS = ("test_bad", "test_error", "test_error_after")


def test_entries_are_parsed():
    text = "# why\n\ntest/a.py::test_b | slow | 4\n"
    entry = known_red.Entry("test/a.py::test_b", "slow", "4")
    assert known_red.parse(text) == (entry,)
    assert entry.file == "test/a.py"


def test_missing_or_empty_file_has_no_entries(tmp_path):
    assert known_red.read(tmp_path) == ()
    (tmp_path / known_red.FILE).write_text("")
    assert known_red.read(tmp_path) == ()


@pytest.mark.parametrize(
    "line",
    [
        "test/a.py::test_b",
        "test/a.py::test_b | cause",
        "test/a.py::test_b | cause |",
        "test/a.py::test_b | | issue",
        " | cause | issue",
        "test/a.py | cause | issue",
        "test/a.py:: | cause | issue",
        "a.txt::test_b | cause | issue",
        "test/a.py::test_b | cause | issue | more",
    ],
)
def test_malformed_line_is_rejected(line):
    with pytest.raises(ValueError, match="line 2"):
        known_red.parse("#\n" + line)


def test_more_than_three_entries_are_rejected():
    line = "test/a.py::test_b | cause | issue\n"
    assert len(known_red.parse(line * 3)) == 3
    with pytest.raises(ValueError, match="has 4 entries, but the limit is 3"):
        known_red.parse(line * 4)


@pytest.mark.parametrize(
    ("test", "matched"),
    [
        ("a.py::test_b", True),
        ("a.py::test_b[1]", True),
        ("a.py::test_bc", False),
        ("b.py::test_b", False),
    ],
)
def test_entry_without_parameters_matches_all_parameters(test, matched):
    assert known_red.Entry("a.py::test_b", "", "").matches(test) is matched


def test_entry_with_parameters_matches_only_these():
    entry = known_red.Entry("a.py::test_b[1]", "", "")
    assert entry.matches("a.py::test_b[1]")
    assert not entry.matches("a.py::test_b[2]")


def test_listed_failures_and_errors_do_not_fail_the_run(suite):
    args = ("-k", "good or bad or error")
    result = suite(*FAILING_TESTS, args=args)
    assert result.ret == pytest.ExitCode.OK
    assert statuses(result) == dict.fromkeys(
        FAILING_TESTS, known_red.STILL_FAILS
    )
    assert "xfailed" in result.outlines[-1]


def test_counts_of_results_are_the_last_line(suite):
    result = suite("test_bad", args=("-k", "good or bad"))
    assert result.outlines[-1].startswith("1 passed, 5 deselected, 1 xfailed")


def test_unlisted_failures_fail_the_run(suite):
    result = suite("test_bad")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=3, xfailed=1, failed=2, errors=2)


@pytest.mark.parametrize("text", [None, "", "# nothing\n\n"])
def test_all_failures_count_without_entries(suite, pytester, text):
    suite()
    path = pytester.path / known_red.FILE
    path.unlink() if text is None else path.write_text(text)
    result = pytester.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=3, failed=3, errors=2)
    assert "known red" not in result.stdout.str()


def test_listed_test_that_passes_is_reported(suite):
    result = suite("test_good", args=("-k", "test_good"))
    assert result.ret == pytest.ExitCode.OK
    assert statuses(result) == {"test_good": known_red.NOW_PASSES}


def test_entry_without_parameters_lets_all_parameters_fail(suite):
    result = suite("test_each", args=("-k", "test_each"))
    assert result.ret == pytest.ExitCode.OK
    assert statuses(result) == {"test_each": known_red.STILL_FAILS}


def test_entry_with_parameters_lets_only_these_fail(suite):
    result = suite("test_each[1]", args=("-k", "test_each"))
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert statuses(result) == {"test_each[1]": known_red.NOW_PASSES}


def test_partial_run_is_not_reported_as_passing(suite):
    result = suite("test_each", args=("test/test_a.py::test_each[1]",))
    assert result.ret == pytest.ExitCode.OK
    assert statuses(result) == {"test_each": known_red.PASSES_IN_PART}


def test_entry_may_name_a_method(suite):
    result = suite("TestInner::test_in", args=("-k", "test_in"))
    assert result.ret == pytest.ExitCode.OK
    assert statuses(result) == {"TestInner::test_in": known_red.STILL_FAILS}


@pytest.mark.parametrize(
    "args", [("-k", "test_good"), ("test/test_a.py::test_good",)]
)
@pytest.mark.parametrize("test", ["test_bad", "TestInner::test_in"])
def test_deselected_tests_are_reported_as_not_run(suite, test, args):
    result = suite(test, args=args)
    assert result.ret == pytest.ExitCode.OK
    assert statuses(result) == {test: known_red.NOT_RUN}


@pytest.mark.parametrize(
    "args",
    [("test/test_b.py",), ("--ignore=test/test_a.py",), ("--lf",)],
)
def test_uncollected_file_is_no_usage_error(suite, pytester, args):
    write(pytester, "test_b", "def test_b(): pass")
    result = suite("test_missing", args=args)
    assert result.ret != pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "args", [(), ("-k", "test_good"), ("test/test_a.py::test_good",)]
)
@pytest.mark.parametrize(
    "test", ["test_missing", "test_each[3]", "TestMissing::test_in"]
)
def test_missing_test_is_a_usage_error(suite, test, args):
    result = suite(test, args=args)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt names*doesn't exist*"])


def test_missing_method_is_a_usage_error(suite):
    result = suite("TestInner::test_missing")
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize("args", [(), ("test/test_a.py",)])
def test_missing_file_is_a_usage_error(suite, pytester, args):
    suite()
    text = ENTRY.format("test_good").replace("test_a", "test_absent")
    (pytester.path / known_red.FILE).write_text(text)
    result = pytester.runpytest_inprocess(*args)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: *test_absent.py*doesn't exist*"])


def test_file_outside_the_suite_is_a_usage_error_in_a_whole_run(
    suite, pytester
):
    pytester.makepyfile(test_outside="def test_good(): pass")
    suite()
    text = "test_outside.py::test_good | a cause | issue 7"
    (pytester.path / known_red.FILE).write_text(text)
    result = pytester.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize("text", ["test/test_a.py::test_bad | x", "a\n" * 4])
def test_malformed_list_is_a_usage_error(suite, pytester, text):
    suite()
    (pytester.path / known_red.FILE).write_text(text)
    result = pytester.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt*"])


def test_syntax_error_in_a_listed_file_still_fails(suite, pytester):
    write(pytester, "test_a", "def")
    result = suite("test_bad")
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.assert_outcomes(errors=1)
