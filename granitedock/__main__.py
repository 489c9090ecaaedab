"""The command line: python -m granitedock."""

from __future__ import annotations

from importlib import import_module

import click

from granitedock import __version__

GATEWAY = "granitedock.commands.gateway"
QUERIES = "granitedock.commands.queries"
CONTROL = "granitedock.commands.control"
LABORATORY = "granitedock.commands.laboratory"
COMMANDS = {  # Name on the command line: (module, attribute).
    "serve": (GATEWAY, "serve"),
    "check": (GATEWAY, "check"),
    "counters": (QUERIES, "counters"),
    "metrics": (QUERIES, "metrics"),
    "fleet": (QUERIES, "fleet"),
    "hosts": (QUERIES, "hosts"),
    "configuration": (QUERIES, "configuration"),
    "control": (CONTROL, "control"),
    "config": (CONTROL, "config_group"),
    "lab": (LABORATORY, "lab"),
    "load": (LABORATORY, "load_gateways"),
    "report": (LABORATORY, "report_runs"),
    "check-model": (LABORATORY, "check_model"),
}


class LazyGroup(click.Group):
    """A group that imports a command's module when it is looked up, so that a command imports no other."""

    def list_commands(self, context: click.Context) -> list[str]:  # noqa: ARG002 - click passes a context
        """Return the names of all commands without importing their modules."""
        return sorted([*COMMANDS, *self.commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Import and return the command of this name, or return None if there is none."""
        if name not in COMMANDS:
            return super().get_command(context, name)
        module, attribute = COMMANDS[name]
        return getattr(import_module(module), attribute)


@click.group(cls=LazyGroup, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """An API gateway that holds customers to their quotas before a shared back end."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


if __name__ == "__main__":
    main()
