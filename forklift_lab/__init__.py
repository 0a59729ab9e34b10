"""Stand-ins of platform and targets, a demo, a soak; it never ships."""

import sys

import click

import forklift
from forklift import errors
from forklift.ui import lazy_group

# Imported only when they are invoked, as some need development packages, and
# the stand-ins of this package must load without them.
MODULE_BY_COMMAND = {
    "demo": "forklift_lab.demo",
    "fuzz": "forklift_lab.fuzz",
    "soak": "forklift_lab.play",
    "store": "forklift_lab.store",
}


@click.group(
    cls=lazy_group.LazyGroup,
    module_by_command=MODULE_BY_COMMAND,
)
@click.version_option(forklift.VERSION, prog_name="forklift-lab")
def cli() -> None:
    """Stand-ins of the platform and targets, and a demo."""


def main() -> None:
    """Runs the program; a mistake of the operator is shown as one line."""
    try:
        cli(standalone_mode=False)
    except errors.UserError as error:
        click.echo(f"forklift-lab: {error}", err=True)
        sys.exit(1)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)
