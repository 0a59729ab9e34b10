"""`forklift-lab soak`: plays seeds of random faults and reports them."""

import asyncio
import collections
import sys

import click

from forklift_lab import programs
from forklift_lab import promises
from forklift_lab import seed_plan
from forklift_lab import soak as soaks
from forklift_lab import troubles

# They register what the soak draws from and checks.
REGISTERED = (troubles, promises)


async def play(seed: int) -> soaks.Soak:
    """Plays one seed and reports it; the breaches are in `told`."""
    heartbeat_ms = programs.HEARTBEAT_MS
    if seed >= seed_plan.RETURNS_FROM:
        heartbeat_ms = soaks.HEARTBEAT_MS
    overload = "on" if seed >= seed_plan.OVERLOAD_FROM else "auto"
    async with programs.Programs(True, heartbeat_ms, overload) as running:
        soak = soaks.Soak(seed, running)
        soak.breaches = await soak.run()
        for breach in soak.breaches:
            soak.tell(f"BROKEN {breach}")
        statuses = collections.Counter(seen.status for seen in soak.seen)
        cut_off = sum(not one.complete for one in soak.large)
        soak.tell(
            f"statuses {dict(sorted(statuses.items()))}, "
            f"large answers {len(soak.large)}, cut off {cut_off}"
        )
        soak.tell(f"logs in {running.folder}")
        return soak


@click.command("soak")
@click.option("--seed", default=1, show_default=True, help="first seed")
@click.option("--seeds", default=1, show_default=True, help="how many")
def command(seed: int, seeds: int) -> None:
    """Play random faults; exit status 1 if a promise broke."""
    failed = []
    for number in range(seed, seed + seeds):
        soak = asyncio.run(play(number))
        click.echo(
            f"seed {number}: {len(soak.breaches)} broken, {soak.told[-2]}"
        )
        if soak.breaches:
            failed.append(number)
            click.echo("\n".join(soak.told))
    click.echo(f"{seeds} seeds, failed: {failed or 'none'}")
    if failed:
        sys.exit(1)
