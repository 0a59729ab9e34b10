"""Platform names and imports are confined to their layers."""

import ast
import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / "forklift"
ADAPTER = PACKAGE / "platform"
# Names in the platform's protocol, and platform terms that the product replaces
# by standard ones.
PLATFORM_NAMES = re.compile(
    r"forklift-(attempt|deadline|expected|caller-service|response|not-exec"
    r"|instance|server-load)|server-(limit|leaving)|instances\.(heartbeat|deregister)|log-(append"
    r"|read|newest|trim|join|commit)|keyed\.|app-addr|path-prefix"
    r"|(?<!x-)api-keys?|forklift-tenant|rate-per-s|store-era"
    r"|target-latency-ms|retry-attempts|weighted-clusters"
    r"|\b(sidecar|check-in|tenant|zone|back.?end)s?\b",
    re.IGNORECASE,
)
# Packages that the decision logic must not import.
IO_PACKAGES = ("asyncio", "socket", "h11", "pynng", "forklift.shell")


def modules(folder: pathlib.Path, pattern: str) -> list[pathlib.Path]:
    return sorted(folder.glob(pattern))


def modules_outside_adapter() -> list[pathlib.Path]:
    return [p for p in modules(PACKAGE, "**/*.py") if ADAPTER not in p.parents]


@pytest.mark.parametrize(
    "module", modules_outside_adapter(), ids=lambda p: p.name
)
def test_platform_names_are_confined_to_the_adapter(module):
    found = [
        f"{number}: {line.strip()}"
        for number, line in enumerate(module.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert found == []


@pytest.mark.parametrize(
    "module", modules(PACKAGE, "*.py"), ids=lambda p: p.name
)
def test_decision_logic_does_not_import_io(module):
    if module.name in ("__init__.py", "__main__.py"):
        return
    imported = set()
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Import):
            imported |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported |= {f"{node.module}.{name.name}" for name in node.names}
            imported.add(node.module)
    assert not {name for name in imported if name in IO_PACKAGES}
