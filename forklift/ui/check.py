"""`forklift check`: finds every mistake in a settings or policy file."""

import configparser

import click

from forklift import policy
from forklift import settings


@click.command("check")
@click.argument("file", metavar="FILE.ini")
def command(file: str) -> None:
    """Check a settings or policy file.

    Each mistake is printed on its own line; the exit code is then 2.
    """
    content = settings.read_file(file)
    if _is_policy(content):
        policy.parse(file, content)
    else:
        settings.parse(file, content)
    click.echo(f"{file}: no mistakes")


def _is_policy(content: str) -> bool:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(content)
    except (configparser.Error, ValueError, AttributeError):
        return "[policy]" in content
    return not any(name in settings.SECTIONS for name in parser.sections())
