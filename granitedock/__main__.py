"""The command line: python -m granitedock."""

from __future__ import annotations

from importlib import metadata

import click


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """An API gateway that holds customers to their quotas before a shared back end."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


@main.command()
@click.option(
    "--told",
    envvar="LB_CONFIG",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The JSON file that tells the gateway its name, addresses, limits and settings.",
)
def serve(told: str) -> None:
    """Serve until SIGTERM."""
    from granitedock.service.serve import serve as run

    raise SystemExit(run(told))


@main.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("granitedock"))
    except metadata.PackageNotFoundError:
        click.echo("0.1.0 (not installed)")


if __name__ == "__main__":
    main()
