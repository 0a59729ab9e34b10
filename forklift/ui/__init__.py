"""Command-line interface, with one module per command."""

import sys

import click

import forklift
from forklift import errors
from forklift.ui import lazy_group

# Each command is a module of this package, imported only when it is invoked,
# so that `run` does not load the modules of the other commands.
COMMANDS = ("check", "drain", "explain", "publish", "run", "state", "status")
EXIT_INVALID_INPUT = 2
EPILOG = """\b
Examples:
  forklift check examples/almadies-1.ini
  forklift run examples/almadies-1.ini
  forklift publish examples/teranga.json --store 127.0.0.1:7000
  forklift status --watch
  forklift explain 9c41d07be2a35f68 almadies-*.log

\b
Exit codes: 0 success; 1 request rejected or no response; 2 invalid file,
option or argument; 3 another configuration was published concurrently.
"""


@click.group(
    cls=lazy_group.LazyGroup,
    module_by_command={name: f"{__name__}.{name}" for name in COMMANDS},
    epilog=EPILOG,
)
@click.version_option(forklift.VERSION, prog_name="forklift")
def cli() -> None:
    """A proxy fleet for targets with gray failures."""


def main() -> None:
    """Runs the command line; prints operator errors without a traceback."""
    try:
        cli(standalone_mode=False)
    except errors.FileProblems as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    except errors.UserError as error:
        click.echo(f"forklift: {error}", err=True)
        sys.exit(1)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)
