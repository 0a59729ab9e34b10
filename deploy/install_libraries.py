"""Installs the libraries of requirements.txt into a folder, once.

    python3 deploy/install_libraries.py target/deps

A complete folder states what it was made for: the kind of machine, the Python
version and the requirements. A folder made for anything else, or one without
this statement, is replaced as a whole.
"""

import hashlib
import pathlib
import shutil
import subprocess
import sys
import sysconfig

REQUIREMENTS = pathlib.Path(__file__).with_name("requirements.txt")
# File in the folder that states what it was made for.
STATEMENT = ".made-for"


def describe(requirements: bytes) -> str:
    """Returns what the libraries depend on: machine, Python, requirements.

    Args:
        requirements: Content of the requirements file.
    """
    return "\n".join(
        (
            sysconfig.get_platform(),
            sys.implementation.cache_tag,
            hashlib.sha256(requirements).hexdigest(),
        )
    )


def is_current(folder: pathlib.Path, description: str) -> bool:
    """Whether a folder is complete and was made for this description."""
    statement = folder / STATEMENT
    return statement.is_file() and statement.read_text() == description


def install(folder: pathlib.Path) -> None:
    """Installs the libraries, unless the folder has the right ones.

    The folder is replaced only by a complete one, so an interrupted
    installation leaves none that looks complete.

    Args:
        folder: Where the libraries go.

    Raises:
        subprocess.CalledProcessError: The installation failed.
    """
    description = describe(REQUIREMENTS.read_bytes())
    if is_current(folder, description):
        return
    new = folder.with_name(f"{folder.name}.new")
    shutil.rmtree(new, ignore_errors=True)
    command = (
        *(sys.executable, "-m", "pip", "install", "--quiet"),
        *("--disable-pip-version-check", "--no-deps"),
        *("--target", str(new), "--requirement", str(REQUIREMENTS)),
    )
    subprocess.run(command, check=True)
    (new / STATEMENT).write_text(description)
    shutil.rmtree(folder, ignore_errors=True)
    new.rename(folder)


def main() -> int:
    """Runs the program; returns the exit status."""
    if len(sys.argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        install(pathlib.Path(sys.argv[1]))
    except subprocess.CalledProcessError as error:
        print(
            f"{REQUIREMENTS.name} can't be installed; see pip's message above",
            file=sys.stderr,
        )
        return error.returncode
    return 0


if __name__ == "__main__":
    sys.exit(main())
