"""What users start works with the libraries of the deploy file alone.

A development package that a stand-in imported kept the cases of a review from
starting, while every test passed beside the development packages.
"""

import ast
import importlib.util
import os
import pathlib
import shutil
from unittest import mock

import pytest

import forklift_lab
from forklift import ui
from test import deploy_tree

ROOT = deploy_tree.ROOT
# Modules that need a development package, and the package.
PACKAGE_BY_MODULE = {
    "forklift_lab.fuzz": "hypothesis",
    "forklift_lab.fuzz_cases": "hypothesis",
}
COMMAND_OF_OPTIONAL_MODULE = {"fuzz": "hypothesis"}
# Commands that the scripts of the reviews run before their case.
SET_UPS = {
    "1": ("sh", "review/build.sh"),
    "2": ("sh", "review/build.sh"),
    "3": ("sh", "review/build.sh"),
    "4": ("bash", "review/build-2.sh"),
    "5": ("bash", "review/build-2.sh"),
    "6": ("bash", "review/build-2.sh"),
}


def module_names() -> list[str]:
    names = []
    for package in ("forklift", "forklift_lab"):
        for path in sorted((ROOT / package).rglob("*.py")):
            name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
            names.append(name.removesuffix(".__init__"))
    return [name for name in names if not name.endswith("__main__")]


def cases() -> list[str]:
    return sorted(
        path.parent.name for path in (ROOT / "review").glob("*/run.sh")
    )


def test_every_review_script_has_its_set_up_tested():
    assert cases() == sorted(SET_UPS)


@pytest.mark.parametrize("case", cases())
def test_review_script_is_set_up_without_development_packages(case):
    done = deploy_tree.run(deploy_tree.built(), *SET_UPS[case])
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize("case", cases())
def test_review_case_loads_without_development_packages(case):
    """Its imports are all that a case does before it starts processes."""
    folder = deploy_tree.built() / "review" / case
    tree = ast.parse((folder / "case.py").read_text())
    imported = sorted(
        name.name
        for node in ast.walk(tree)
        if isinstance(node, ast.Import)
        for name in node.names
    )
    code = f"sys.path.insert(1, 'review'); import {', '.join(imported)}"
    done = deploy_tree.run_python(code)
    assert done.returncode == 0, done.stderr


def test_modules_load_without_development_packages():
    """A module that is imported by another loads alone, too."""
    names = [name for name in module_names() if name not in PACKAGE_BY_MODULE]
    code = f"import importlib; [importlib.import_module(n) for n in {names}]"
    done = deploy_tree.run_python(code)
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize("command", ui.COMMANDS)
def test_command_starts_without_development_packages(command):
    code = "import forklift.ui; forklift.ui.main()"
    done = deploy_tree.run_python(code, command, "--help")
    assert (done.returncode, done.stderr) == (0, "")


@pytest.mark.parametrize("command", forklift_lab.MODULE_BY_COMMAND)
def test_lab_command_starts_or_names_the_missing_package(command):
    code = "import forklift_lab; forklift_lab.main()"
    done = deploy_tree.run_python(code, command, "--help")
    package = COMMAND_OF_OPTIONAL_MODULE.get(command)
    if package is None:
        assert (done.returncode, done.stderr) == (0, "")
    else:
        assert done.returncode == 1
        assert done.stderr.count("\n") == 1
        assert f"needs the package {package}" in done.stderr


def test_list_of_lab_commands_names_the_missing_package():
    code = "import forklift_lab; forklift_lab.main()"
    done = deploy_tree.run_python(code, "--help")
    assert done.returncode == 0, done.stderr
    for command in forklift_lab.MODULE_BY_COMMAND:
        assert f"\n  {command} " in done.stdout
    assert "needs the package hypothesis" in done.stdout


# The folder of the libraries.


@pytest.fixture
def tree(tmp_path) -> pathlib.Path:
    """A tree with a copy of the built libraries, which a test may spoil."""
    built = deploy_tree.built()
    for name in ("deploy", "target"):
        shutil.copytree(built / name, tmp_path / name)
    return tmp_path


def loads(tree: pathlib.Path) -> bool:
    code = "import sys; sys.path[0] = 'target/deps'; import msgspec, xxhash"
    return deploy_tree.run(tree, "python3", "-S", "-c", code).returncode == 0


def made_for(tree: pathlib.Path) -> pathlib.Path:
    return tree / "target/deps/.made-for"


def description_on(platform: str) -> str:
    """What a build on another kind of machine states of its libraries."""
    path = ROOT / "deploy/install_libraries.py"
    spec = importlib.util.spec_from_file_location("install_libraries", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    with mock.patch.object(module.sysconfig, "get_platform", lambda: platform):
        return module.describe(module.REQUIREMENTS.read_bytes())


def test_libraries_of_another_kind_of_machine_are_replaced(tree):
    """Libraries that were carried over can't be loaded on another processor."""
    made_for(tree).write_text(description_on("linux-other"))
    for library in (tree / "target/deps").rglob("*.so"):
        library.write_bytes(b"not for this machine")
    assert not loads(tree)
    deploy_tree.build(tree)
    assert loads(tree)


def test_libraries_of_older_requirements_are_replaced(tree):
    """The folder may be newer than the requirements that it lacks."""
    shutil.rmtree(tree / "target/deps/xxhash")
    older = (tree / "deploy/requirements.txt").read_text() + "# older\n"
    (tree / "deploy/requirements.txt").write_text(older)
    os.utime(tree / "deploy/requirements.txt", (0, 0))
    deploy_tree.build(tree)
    assert loads(tree)


def test_libraries_of_an_interrupted_build_are_replaced(tree):
    """A folder without its statement is not complete."""
    shutil.rmtree(tree / "target/deps/xxhash")
    made_for(tree).unlink()
    deploy_tree.build(tree)
    assert loads(tree)


def test_current_libraries_are_kept(tree):
    mark = tree / "target/deps/mark"
    mark.touch()
    deploy_tree.build(tree)
    assert mark.exists()


def test_failed_build_leaves_the_libraries_as_they_were(tree):
    (tree / "deploy/requirements.txt").write_text("forklift-no-such==0\n")
    done = deploy_tree.run(
        tree, "python3", "deploy/install_libraries.py", "target/deps"
    )
    assert done.returncode != 0
    assert "can't be installed" in done.stderr
    assert loads(tree)


def test_requirements_are_those_of_the_lock_file():
    lines = (ROOT / "deploy/requirements.txt").read_text().splitlines()
    required = [line for line in lines if not line.startswith("#")]
    locked = (ROOT / "requirements.lock").read_text().splitlines()
    assert set(required) <= set(locked)
