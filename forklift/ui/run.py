"""`forklift run`: runs one process of the fleet."""

import faulthandler
import gc
import logging
import sys

import click

from forklift import settings

# Loaded wherever they are installed: rich by structlog, for lines in colour, a
# fifth of the processor time of a start, while lines here are JSON; ssl by
# asyncio, a fifteenth, while connections here are plain.
UNUSED_MODULES = ("rich", "ssl")


@click.command("run")
@click.argument("file", metavar="SETTINGS.ini")
@click.option("--verbose", is_flag=True, help="Log more.")
def command(file: str, verbose: bool) -> None:
    """Run one process with the settings in SETTINGS.ini.

    SIGTERM stops it as planned: no request in flight is cut off. SIGHUP reads
    the settings again.
    """
    _import_libraries()
    import asyncio  # noqa: PLC0415

    from forklift.shell import clock  # noqa: PLC0415
    from forklift.shell import logs  # noqa: PLC0415
    from forklift.shell import serve  # noqa: PLC0415

    # A crash in a library's own code leaves at least the line it came from.
    faulthandler.enable()
    read = settings.load(file)
    logs.configure(logging.DEBUG if verbose else logging.INFO)
    with asyncio.Runner(loop_factory=clock.Loop) as runner:
        runner.run(serve.serve(read, file))


def _import_libraries() -> None:
    """Has what serves load without what a start need not pay for.

    What is loaded lives for ever, so looking for garbage among it is in vain: a
    tenth of the processor time of a start. It is looked for again once the
    process serves.
    """
    gc.disable()
    absent = [name for name in UNUSED_MODULES if name not in sys.modules]
    # The libraries take them for not installed.
    sys.modules.update(dict.fromkeys(absent))
    import asyncio  # noqa: F401, PLC0415

    import structlog  # noqa: F401, PLC0415

    for name in absent:
        del sys.modules[name]
