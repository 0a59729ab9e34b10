"""`forklift check`: validates a file and reports all of its errors."""

import configparser

import click

from forklift import errors
from forklift import policy
from forklift import settings

_CONFIGURATION_SUFFIX = ".json"


@click.command("check")
@click.argument("file", metavar="FILE")
def command(file: str) -> None:
    """Check a settings or policy file (.ini), or a configuration (.json).

    Prints each error on a line of its own and exits with code 2 if there are
    any.
    """
    content = settings.read_file(file)
    if file.endswith(_CONFIGURATION_SUFFIX):
        _check_configuration(file, content)
    elif _is_policy(content):
        policy.parse(file, content)
    else:
        settings.parse(file, content)
    click.echo(f"{file}: no errors")


def _check_configuration(file: str, content: str) -> None:
    # Imported here because other files don't need the platform's formats.
    from forklift.platform import configuration  # noqa: PLC0415

    try:
        configuration.decode(content.encode())
    except configuration.InvalidRecord as error:
        problem = errors.Problem(
            file, "record", "", str(error).partition(";")[0], "correct it"
        )
        raise errors.FileProblems((problem,)) from error


def _is_policy(content: str) -> bool:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(content)
    except (configparser.Error, ValueError, AttributeError):
        return "[policy]" in content
    return not any(name in settings.SECTIONS for name in parser.sections())
