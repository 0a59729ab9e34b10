"""`forklift-lab measure`: the figures that the docs quote."""

import click

from forklift_lab.measure import capacity
from forklift_lab.measure import deciding
from forklift_lab.measure import latency
from forklift_lab.measure import tradeoff


@click.group("measure")
def command() -> None:
    """Measure latency, decisions and capacity."""


command.add_command(latency.command)
command.add_command(deciding.command)
command.add_command(capacity.command)
command.add_command(tradeoff.command)
