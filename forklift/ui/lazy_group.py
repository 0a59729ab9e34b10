"""Command group whose commands are imported only when they are invoked."""

import importlib

import click

from forklift import errors


class LazyGroup(click.Group):
    """Command group that imports a command when it is invoked.

    A command that needs a package which is not installed stays in the list,
    names the package there, and fails with one line when it is invoked. All
    other commands work.
    """

    def __init__(self, *args, module_by_command: dict[str, str], **kwargs):
        """Creates a group.

        Args:
            *args: Arguments of `click.Group`.
            module_by_command: Name of the module that defines `command`, by
                name of the command.
            **kwargs: Arguments of `click.Group`.
        """
        super().__init__(*args, **kwargs)
        self._module_by_command = module_by_command

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Lists the names of all commands."""
        return list(self._module_by_command)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Imports the command with the given name; None if it is unknown."""
        module = self._module_by_command.get(cmd_name)
        if module is None:
            return None
        try:
            return importlib.import_module(module).command
        except ModuleNotFoundError as error:
            package = (error.name or "").partition(".")[0]
            if package == module.partition(".")[0]:
                raise
            return _unavailable_command(cmd_name, package)


def _unavailable_command(name: str, package: str) -> click.Command:
    """Returns a command that fails, as a package is not installed.

    Args:
        name: Name of the command.
        package: Name of the missing package.
    """

    def fail() -> None:
        raise errors.UserError(
            f"{name} needs the package {package}, which is not installed; "
            "install the versions in requirements.lock"
        )

    return click.Command(
        name,
        callback=fail,
        short_help=f"Not available: needs the package {package}.",
        add_help_option=False,
        context_settings={
            "ignore_unknown_options": True,
            "allow_extra_args": True,
        },
    )
