"""`forklift publish`: puts a configuration in force."""

import asyncio

import click

from forklift import errors

EXIT_CONFLICT = 3


@click.command("publish")
@click.argument("file", type=click.File("rb"), metavar="RECORD.json")
@click.option("--store", required=True, help="Address of the store, ip:port.")
@click.option("--dry-run", is_flag=True, help="Only check and compare.")
def command(file, store: str, dry_run: bool) -> None:
    """Write the configuration in RECORD.json to the store.

    It is written only if nobody wrote another one meanwhile; the exit code is
    3 where somebody did.
    """
    try:
        click.echo(asyncio.run(_publish(file.read(), store, dry_run)))
    except errors.PublishConflict as error:
        click.echo(f"forklift: {error}", err=True)
        raise click.exceptions.Exit(EXIT_CONFLICT) from error


async def _publish(data: bytes, address: str, dry_run: bool) -> str:
    # Commands that publish nothing need not load it.
    from forklift.platform import store  # noqa: PLC0415

    wanted = _decoded(store.decode, data)
    registry = store.Store(address)
    try:
        found = await registry.configuration()
        before = 0
        if found.record is not None:
            before = store.decode(found.record).version
        if wanted.version <= before:
            raise errors.PublishConflict(before)
        line = f"version {before} -> {wanted.version}"
        if dry_run:
            return f"{line}: not written"
        if not await registry.publish(data, found.position):
            raise errors.PublishConflict(before)
        return f"{line}: in force within seconds"
    except errors.RegistryUnavailable as error:
        raise errors.UserError(str(error)) from error
    finally:
        registry.close()


def _decoded(decode, data: bytes):
    try:
        return decode(data)
    except errors.ForkliftError as error:
        raise errors.UserError(str(error)) from error
