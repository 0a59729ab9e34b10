"""`forklift run`: runs one process of the fleet."""

import asyncio
import faulthandler
import gc
import logging
import sys

import click

from forklift import settings

# Loaded by structlog wherever it is installed, for lines in colour: a fifth of
# the processor time of a start, and lines here are JSON.
UNUSED = "rich"


@click.command("run")
@click.argument("file", metavar="SETTINGS.ini")
@click.option("--verbose", is_flag=True, help="Log more.")
def command(file: str, verbose: bool) -> None:
    """Run one process with the settings in SETTINGS.ini.

    SIGTERM stops it as planned: no request in flight is cut off. SIGHUP reads
    the settings again.
    """
    _load_lean()
    from forklift.shell import logs  # noqa: PLC0415
    from forklift.shell import serve  # noqa: PLC0415

    # A crash in a library's own code leaves at least the line it came from.
    faulthandler.enable()
    read = settings.load(file)
    logs.configure(logging.DEBUG if verbose else logging.INFO)
    asyncio.run(serve.serve(read, file))


def _load_lean() -> None:
    """Has what serves load without what a start need not pay for.

    What is loaded lives for ever, so looking for garbage among it is in vain: a
    tenth of the processor time of a start. It is looked for again once the
    process serves.
    """
    gc.disable()
    absent = UNUSED not in sys.modules
    if absent:
        # The library takes it for not installed.
        sys.modules[UNUSED] = None
    import structlog  # noqa: F401, PLC0415

    if absent:
        del sys.modules[UNUSED]
