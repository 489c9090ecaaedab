"""The command line: python -m granitedock."""

from __future__ import annotations

from importlib import import_module

import click

from granitedock import __version__

GATEWAY, ASKING = "granitedock.commands.gateway", "granitedock.commands.asking"
CONTROL, LABORATORY = "granitedock.commands.control", "granitedock.commands.laboratory"
COMMANDS = {  # where each stands, and its name there
    "serve": (GATEWAY, "serve"),
    "check": (GATEWAY, "check"),
    "counters": (ASKING, "counters"),
    "metrics": (ASKING, "metrics"),
    "fleet": (ASKING, "fleet"),
    "hosts": (ASKING, "hosts"),
    "configuration": (ASKING, "configuration"),
    "control": (CONTROL, "control"),
    "config": (CONTROL, "config_group"),
    "lab": (LABORATORY, "lab"),
    "load": (LABORATORY, "load_gateways"),
    "report": (LABORATORY, "report_runs"),
    "check-model": (LABORATORY, "check_model"),
}


class LazyGroup(click.Group):
    """Commands whose modules are loaded when they are called, so that a start loads only its own."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*COMMANDS, *self.commands])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
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
