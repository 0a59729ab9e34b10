"""`forklift publish`: writes a configuration to the store."""

import asyncio

import click

from forklift import errors

EXIT_CONFLICT = 3


@click.command("publish")
@click.argument("file", type=click.File("rb"), metavar="RECORD.json")
@click.option("--store", required=True, help="Address of the store, ip:port.")
@click.option(
    "--dry-run", is_flag=True, help="Validate and compare versions only."
)
def command(file, store: str, dry_run: bool) -> None:
    """Write the configuration in RECORD.json to the store.

    Exits with code 3 and writes nothing if the store holds the same or a newer
    version, or if another configuration is published concurrently.
    """
    try:
        click.echo(asyncio.run(_publish(file.read(), store, dry_run)))
    except errors.PublishConflict as error:
        click.echo(f"forklift: {error}", err=True)
        raise click.exceptions.Exit(EXIT_CONFLICT) from error


async def _publish(data: bytes, address: str, dry_run: bool) -> str:
    # Imported here because other commands don't need the store.
    from forklift.platform import store  # noqa: PLC0415

    configuration = _decode(store.decode_configuration, data)
    store_client = store.Store(address)
    try:
        current = await store_client.configuration()
        current_version = _version(store.decode_configuration, current.record)
        if configuration.version <= current_version:
            raise errors.PublishConflict(current_version)
        change = f"version {current_version} -> {configuration.version}"
        if dry_run:
            return f"{change}: not written"
        if not await store_client.publish(data, current.position):
            winner = await store_client.configuration()
            raise errors.PublishConflict(
                _version(store.decode_configuration, winner.record)
            )
        return f"{change}: in force within seconds"
    except errors.RegistryUnavailable as error:
        raise errors.UserError(str(error)) from error
    finally:
        store_client.close()


def _version(decode, record: bytes | None) -> int:
    """Returns the version of a record in the store; 0 if there is none."""
    return 0 if record is None else decode(record).version


def _decode(decode, data: bytes):
    try:
        return decode(data)
    except errors.ForkliftError as error:
        raise errors.UserError(str(error)) from error
