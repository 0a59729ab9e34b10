"""The command line: one module for each command."""

import sys

import click

import forklift
from forklift import errors
from forklift.ui import check
from forklift.ui import drain
from forklift.ui import explain
from forklift.ui import publish
from forklift.ui import run
from forklift.ui import state
from forklift.ui import status

MISTAKE = 2
EPILOG = """\b
Examples:
  forklift check examples/almadies-1.ini
  forklift run examples/almadies-1.ini
  forklift publish examples/teranga.json --store 127.0.0.1:7000
  forklift status --watch
  forklift explain 9c41d07be2a35f68 almadies-*.log

\b
Exit codes: 0 done; 1 refused or not reached; 2 a mistake in a file, an
option or an argument; 3 another publication won.
"""


@click.group(epilog=EPILOG)
@click.version_option(forklift.VERSION, prog_name="forklift")
def cli() -> None:
    """A proxy fleet for targets with gray failures."""


for _module in (check, drain, explain, publish, run, state, status):
    cli.add_command(_module.command)


def main() -> None:
    """Runs the program; a mistake of the operator is shown as one line."""
    try:
        cli(standalone_mode=False)
    except errors.FileProblems as error:
        click.echo(str(error), err=True)
        sys.exit(MISTAKE)
    except errors.UserError as error:
        click.echo(f"forklift: {error}", err=True)
        sys.exit(1)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)
