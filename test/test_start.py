"""What a process loads at each start, and what it must not."""

import json
import subprocess
import sys

import pytest

from test import helper

# Loaded by none that serves: lines in colour, what the expression language and
# the commands of operators need, metrics before anybody reads them.
NEVER = (
    "rich",
    "ssl",
    "pygments",
    "prompt_toolkit",
    "typer",
    "pydantic",
    "cel",
    "certifi",
    "opentelemetry",
    "prometheus_client",
    "forklift.ui.asking",
    "forklift.ui.publish",
    "forklift.ui.status",
    "forklift.ui.explain",
    "forklift_lab",
)


@pytest.fixture(scope="module")
def loaded() -> set[str]:
    settings = str(helper.EXAMPLES / "almadies-1.ini")
    code = f"""
import json, sys
from forklift import __main__
from forklift.ui import run
load = run._load_lean
def load_and_stop():
    load()
    import asyncio
    asyncio.Runner.run = lambda runner, work: (
        work.close(), print(json.dumps(list(sys.modules)))
    )
run._load_lean = load_and_stop
sys.argv = ["forklift", "run", {settings!r}]
__main__.ui.main()
"""
    found = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        check=True,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
        cwd=helper.EXAMPLES.parent,
    )
    return set(json.loads(found.stdout))


def test_what_serves_is_loaded(loaded):
    assert {"forklift.shell.serve", "structlog", "pynng", "h11"} <= loaded


@pytest.mark.parametrize("module", NEVER)
def test_a_start_does_not_load(loaded, module):
    """502 starts of one day took a good third of its processor time."""
    assert module not in loaded
