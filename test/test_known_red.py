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
LINE = "test/test_a.py::{} | a cause | issue 7"


@pytest.fixture
def suite(pytester, monkeypatch):
    """Runs a small suite with a list."""
    # Other plugins would be loaded anew in each of the runs.
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    folder = pytester.path / "test"
    folder.mkdir()
    (folder / "conftest.py").write_text(CONFTEST.read_text())
    pytester.makeini("[pytest]\ntestpaths = test\naddopts = -q\n")
    write(pytester, "test_a", TESTS)

    def play(*tests, args=()):
        text = "\n".join(LINE.format(test) for test in tests)
        (pytester.path / known_red.FILE).write_text(text)
        return pytester.runpytest_inprocess(*args)

    return play


def write(pytester, name, text):
    made = pytester.makepyfile(**{name: text})
    made.rename(pytester.path / "test" / made.name)


def fates(result):
    """What the summary says of each listed test."""
    said = {}
    for line in result.outlines:
        if " | a cause | issue 7: " in line:
            test, _, rest = line.partition(" | ")
            said[test.partition("::")[2]] = rest.split(": ", 1)[1]
    return said


BAD = ("test_bad", "test_error", "test_error_after")


def test_a_list_is_read():
    text = "# why\n\ntest/a.py::test_b | slow | 4\n"
    entry = known_red.Entry("test/a.py::test_b", "slow", "4")
    assert known_red.parse(text) == (entry,)
    assert entry.file == "test/a.py"


def test_a_missing_and_an_empty_list_are_empty(tmp_path):
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
def test_a_line_with_missing_parts_is_refused(line):
    with pytest.raises(ValueError, match="line 2"):
        known_red.parse("#\n" + line)


def test_a_list_holds_three_lines_at_most():
    line = "test/a.py::test_b | cause | issue\n"
    assert len(known_red.parse(line * 3)) == 3
    with pytest.raises(ValueError, match="has 4 lines and may have 3"):
        known_red.parse(line * 4)


@pytest.mark.parametrize(
    ("test", "covered"),
    [
        ("a.py::test_b", True),
        ("a.py::test_b[1]", True),
        ("a.py::test_bc", False),
        ("b.py::test_b", False),
    ],
)
def test_a_name_without_brackets_covers_all_parameters(test, covered):
    assert known_red.Entry("a.py::test_b", "", "").covers(test) is covered


def test_a_name_with_brackets_covers_only_that():
    entry = known_red.Entry("a.py::test_b[1]", "", "")
    assert entry.covers("a.py::test_b[1]")
    assert not entry.covers("a.py::test_b[2]")


def test_listed_failures_and_errors_dont_fail_the_run(suite):
    args = ("-k", "good or bad or error")
    result = suite(*BAD, args=args)
    assert result.ret == pytest.ExitCode.OK
    assert fates(result) == dict.fromkeys(BAD, known_red.STILL_FAILS)
    assert "xfailed" in result.outlines[-1]


def test_the_closing_line_is_the_last(suite):
    result = suite("test_bad", args=("-k", "good or bad"))
    assert result.outlines[-1].startswith("1 passed, 5 deselected, 1 xfailed")


def test_unlisted_failures_fail_the_run(suite):
    result = suite("test_bad")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=3, xfailed=1, failed=2, errors=2)


@pytest.mark.parametrize("text", [None, "", "# nothing\n\n"])
def test_without_lines_all_counts_as_always(suite, pytester, text):
    suite()
    list_ = pytester.path / known_red.FILE
    list_.unlink() if text is None else list_.write_text(text)
    result = pytester.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=3, failed=3, errors=2)
    assert "known red" not in result.stdout.str()


def test_a_listed_test_that_passes_is_named(suite):
    result = suite("test_good", args=("-k", "test_good"))
    assert result.ret == pytest.ExitCode.OK
    assert fates(result) == {"test_good": known_red.NOW_PASSES}


def test_all_parameters_are_covered(suite):
    result = suite("test_each", args=("-k", "test_each"))
    assert result.ret == pytest.ExitCode.OK
    assert fates(result) == {"test_each": known_red.STILL_FAILS}


def test_one_set_of_parameters_is_covered(suite):
    result = suite("test_each[1]", args=("-k", "test_each"))
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert fates(result) == {"test_each[1]": known_red.NOW_PASSES}


def test_some_parameters_that_pass_dont_clear_the_rest(suite):
    result = suite("test_each", args=("test/test_a.py::test_each[1]",))
    assert result.ret == pytest.ExitCode.OK
    assert fates(result) == {"test_each": known_red.PASSES_IN_PART}


def test_methods_are_covered(suite):
    result = suite("TestInner::test_in", args=("-k", "test_in"))
    assert result.ret == pytest.ExitCode.OK
    assert fates(result) == {"TestInner::test_in": known_red.STILL_FAILS}


@pytest.mark.parametrize(
    "args", [("-k", "test_good"), ("test/test_a.py::test_good",)]
)
@pytest.mark.parametrize("test", ["test_bad", "TestInner::test_in"])
def test_tests_that_arent_selected_arent_missed(suite, test, args):
    result = suite(test, args=args)
    assert result.ret == pytest.ExitCode.OK
    assert fates(result) == {test: known_red.NOT_RUN}


@pytest.mark.parametrize(
    "args",
    [("test/test_b.py",), ("--ignore=test/test_a.py",), ("--lf",)],
)
def test_files_that_arent_collected_arent_missed(suite, pytester, args):
    write(pytester, "test_b", "def test_b(): pass")
    result = suite("test_missing", args=args)
    assert result.ret != pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "args", [(), ("-k", "test_good"), ("test/test_a.py::test_good",)]
)
@pytest.mark.parametrize(
    "test", ["test_missing", "test_each[3]", "TestMissing::test_in"]
)
def test_an_absent_test_ends_the_run(suite, test, args):
    result = suite(test, args=args)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt names*doesn't exist*"])


def test_an_absent_method_ends_the_run(suite):
    result = suite("TestInner::test_missing")
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize("args", [(), ("test/test_a.py",)])
def test_an_absent_file_ends_the_run(suite, pytester, args):
    suite()
    text = LINE.format("test_good").replace("test_a", "test_absent")
    (pytester.path / known_red.FILE).write_text(text)
    result = pytester.runpytest_inprocess(*args)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: *test_absent.py*doesn't exist*"])


def test_a_file_outside_the_suite_ends_a_whole_run(suite, pytester):
    pytester.makepyfile(test_outside="def test_good(): pass")
    suite()
    text = "test_outside.py::test_good | a cause | issue 7"
    (pytester.path / known_red.FILE).write_text(text)
    result = pytester.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize("text", ["test/test_a.py::test_bad | x", "a\n" * 4])
def test_a_mistake_in_the_list_ends_the_run(suite, pytester, text):
    suite()
    (pytester.path / known_red.FILE).write_text(text)
    result = pytester.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt*"])


def test_a_file_that_cant_be_read_by_python_still_fails(suite, pytester):
    write(pytester, "test_a", "def")
    result = suite("test_bad")
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.assert_outcomes(errors=1)
