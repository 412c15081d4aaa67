"""The list of tests known to fail: what the run passes over, and what it does not."""

from __future__ import annotations

import pytest

from tests.known_red import FILE

TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    """A run of its own with one test that fails and one that passes."""
    pytester.makepyfile(test_suite=TESTS)
    lines = ("addopts = -p tests.known_red", "testpaths = .", "asyncio_default_fixture_loop_scope = function")
    pytester.makeini("\n".join(("[pytest]", *lines)))
    return pytester


def run(suite: pytest.Pytester, *lines: str) -> pytest.RunResult:
    """The run with these lines in the file."""
    (suite.path / FILE).write_text("\n".join(lines), encoding="utf-8")
    return suite.runpytest_inprocess()


RED = "test_suite.py::test_red | the sum is off | issue 7"


def test_a_listed_test_runs_is_passed_over_and_printed(suite: pytest.Pytester) -> None:
    result = run(suite, RED)
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["*known red*", "test_suite.py::test_red: the sum is off (issue 7)"])
    assert result.ret == pytest.ExitCode.OK


def test_without_a_line_the_same_test_fails_the_run(suite: pytest.Pytester) -> None:
    assert run(suite).ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_fails_the_run(suite: pytest.Pytester) -> None:
    result = run(suite, RED, "test_suite.py::test_green | none | issue 7")
    result.assert_outcomes(failed=1, xfailed=1)


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ([RED, "test_suite.py::test_gone | none | issue 7"], "no test is called test_suite.py::test_gone"),
        ([f"test_suite.py::test_{n} | none | issue 7" for n in range(4)], "4 lines, 3 at most"),
        ([RED, RED], "a test stands there twice"),
        (["test_suite.py::test_red, the sum is off"], "not 'test | cause | issue'"),
    ],
)
def test_a_list_that_cannot_stand_fails_the_run(suite: pytest.Pytester, lines: list[str], told: str) -> None:
    result = run(suite, *lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{told}*"])
