"""A fresh copy of the tracked files, built as the deploy file says."""

import functools
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def tracked_files() -> list[str]:
    """Names of the files that a clone would have, new ones included."""
    command = ("git", "ls-files", "-co", "--exclude-standard")
    listed = subprocess.run(
        command, cwd=ROOT, check=True, capture_output=True, text=True
    )
    return [
        name
        for name in listed.stdout.splitlines()
        if not name.startswith("journal/") and (ROOT / name).is_file()
    ]


def environment() -> dict[str, str]:
    """Variables of a shell that knows no virtual environment.

    `python3` is the Python of the tests, but without the packages of its
    environment: the programs are run with -S.
    """
    path = f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}"
    return {"PATH": path, "HOME": os.environ.get("HOME", "/")}


def run(folder: pathlib.Path, *command: str) -> subprocess.CompletedProcess:
    """Runs a command in a folder and returns its output and status."""
    return subprocess.run(
        command,
        cwd=folder,
        env=environment(),
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )


def build(folder: pathlib.Path) -> None:
    """Runs the build of the deploy file."""
    deploy = tomllib.loads((folder / "deploy/system.toml").read_text())
    done = run(folder, "sh", "-c", deploy["build"])
    assert done.returncode == 0, done.stderr


@functools.cache
def _temporary() -> tempfile.TemporaryDirectory:
    """A folder that is removed as the tests end."""
    return tempfile.TemporaryDirectory(prefix="forklift-deploy-")


@functools.cache
def built() -> pathlib.Path:
    """Copies the tracked files and builds them, once for a run of tests."""
    folder = pathlib.Path(_temporary().name)
    for name in tracked_files():
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / name, folder / name)
    build(folder)
    return folder


def run_python(code: str, *arguments: str) -> subprocess.CompletedProcess:
    """Runs Python code with the libraries of the deploy file alone."""
    folder = built()
    path = "sys.path[:0] = ['target/deps', '.']; sys.argv[0] = 'program'"
    return run(
        folder, "python3", "-S", "-c", f"import sys; {path}; {code}", *arguments
    )
