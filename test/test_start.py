"""Modules that `forklift run` imports when it starts."""

import json
import subprocess
import sys

import pytest

from test import helper

# Modules that a serving process does not need: nng, which starts threads of its
# own whose faults end the process, coloured output, the expression
# library, operator commands, and metrics before the first scrape.
NOT_LOADED = (
    "pynng",
    "cffi",
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
    "forklift.ui.admin_client",
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
load = run._import_libraries
def load_and_stop():
    load()
    import asyncio
    asyncio.Runner.run = lambda runner, work: (
        work.close(), print(json.dumps(list(sys.modules)))
    )
run._import_libraries = load_and_stop
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


def test_serving_modules_are_loaded(loaded):
    assert {"forklift.shell.serve", "structlog", "msgspec", "h11"} <= loaded


@pytest.mark.parametrize("module", NOT_LOADED)
def test_module_is_not_loaded_at_start(loaded, module):
    """Unneeded imports slow down every start."""
    assert module not in loaded
