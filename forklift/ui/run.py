"""`forklift run`: runs one process of the fleet."""

import asyncio
import faulthandler
import logging

import click

from forklift import settings


@click.command("run")
@click.argument("file", metavar="SETTINGS.ini")
@click.option("--verbose", is_flag=True, help="Log more.")
def command(file: str, verbose: bool) -> None:
    """Run one process with the settings in SETTINGS.ini.

    SIGTERM stops it as planned: no request in flight is cut off. SIGHUP reads
    the settings again.
    """
    from forklift.shell import logs  # noqa: PLC0415
    from forklift.shell import serve  # noqa: PLC0415

    # A crash in a library's own code leaves at least the line it came from.
    faulthandler.enable()
    read = settings.load(file)
    logs.configure(logging.DEBUG if verbose else logging.INFO)
    asyncio.run(serve.serve(read, file))
