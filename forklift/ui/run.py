"""`forklift run`: runs one process of the fleet."""

import faulthandler
import gc
import logging
import sys

import click

from forklift import settings

# Optional dependencies of libraries that are slow to import and not needed:
# structlog uses rich for coloured output, but log lines are JSON; asyncio uses
# ssl, but connections are not encrypted.
UNUSED_MODULES = ("rich", "ssl")


@click.command("run")
@click.argument("file", metavar="SETTINGS.ini")
@click.option("--verbose", is_flag=True, help="Log debug messages.")
def command(file: str, verbose: bool) -> None:
    """Run one process with the settings in SETTINGS.ini.

    SIGTERM shuts the process down gracefully: requests in flight complete.
    SIGHUP reloads the settings.
    """
    _import_libraries()
    import asyncio  # noqa: PLC0415

    from forklift.shell import clock  # noqa: PLC0415
    from forklift.shell import logs  # noqa: PLC0415
    from forklift.shell import serve  # noqa: PLC0415

    # Prints a traceback if native code of a library crashes.
    faulthandler.enable()
    process_settings = settings.load(file)
    logs.configure(logging.DEBUG if verbose else logging.INFO)
    with asyncio.Runner(loop_factory=clock.Loop) as runner:
        runner.run(serve.serve(process_settings, file))


def _import_libraries() -> None:
    """Imports libraries without their unused dependencies.

    Disables garbage collection during startup, as imported modules are never
    freed; `serve` enables it again.
    """
    gc.disable()
    hidden_modules = [
        name for name in UNUSED_MODULES if name not in sys.modules
    ]
    # None in `sys.modules` makes an import fail as if the module were missing.
    sys.modules.update(dict.fromkeys(hidden_modules))
    import asyncio  # noqa: F401, PLC0415

    import structlog  # noqa: F401, PLC0415

    for name in hidden_modules:
        del sys.modules[name]
