"""`forklift check`: finds every mistake in a file before it is used."""

import configparser

import click

from forklift import errors
from forklift import policy
from forklift import settings

_RECORD = ".json"


@click.command("check")
@click.argument("file", metavar="FILE")
def command(file: str) -> None:
    """Check a settings or policy file (.ini), or a configuration (.json).

    Each mistake is printed on its own line; the exit code is then 2.
    """
    content = settings.read_file(file)
    if file.endswith(_RECORD):
        _check_record(file, content)
    elif _is_policy(content):
        policy.parse(file, content)
    else:
        settings.parse(file, content)
    click.echo(f"{file}: no mistakes")


def _check_record(file: str, content: str) -> None:
    # Only this kind of file needs the platform's formats.
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
