"""The command line: one module for each command."""

import importlib
import sys

import click

import forklift
from forklift import errors

# Each has a module of its name here, loaded once it is asked for: a process
# that starts need not load what operators call.
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
Exit codes: 0 done; 1 refused or not reached; 2 a mistake in a file, an
option or an argument; 3 another publication won.
"""


class _Commands(click.Group):
    """Loads a command when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Names of the commands."""
        return list(COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """The command of a name; None where there is none."""
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"{__name__}.{cmd_name}")
        return module.command


@click.group(cls=_Commands, epilog=EPILOG)
@click.version_option(forklift.VERSION, prog_name="forklift")
def cli() -> None:
    """A proxy fleet for targets with gray failures."""


def main() -> None:
    """Runs the program; a mistake of the operator is shown as one line."""
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
