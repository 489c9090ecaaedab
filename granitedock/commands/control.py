"""Commands of the configuration service: run a control process, and check, apply and show changes."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, ParamSpec, TypeVar

import click

from granitedock.commands.errors import CommandError

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


@click.command()
@click.option(
    "--config", "path", required=True, type=click.Path(dir_okay=False), help="This process's TOML file."
)
@click.option(
    "--follow",
    "leaders",
    multiple=True,
    help="Be a replica of the control process here, instead of the file's.",
)
@click.option(
    "--import",
    "imported",
    type=click.Path(exists=True, dir_okay=False),
    help="A platform's file whose plans and classes become version 1 of an empty store.",
)
def control(path: str, leaders: tuple[str, ...], imported: str | None) -> None:
    """Serve plans and request classes to gateways until SIGTERM: the writer, or a replica."""
    from granitedock.configuration.control_process import run
    from granitedock.configuration.errors import ConfigurationError
    from granitedock.configuration.settings import load_control
    from granitedock.platform_file import PlatformFileError
    from granitedock.platform_file import load as load_platform_file
    from granitedock.toml_file import TomlFileError

    try:
        file = load_control(path)
        if leaders:
            file = file.model_validate(file.model_dump() | {"follow": list(leaders)})
        settings = load_platform_file(imported)["settings"] if imported else None
        raise SystemExit(run(file, settings, imported or ""))
    except (TomlFileError, PlatformFileError, ConfigurationError) as error:
        raise click.ClickException(str(error)) from None
    except ValueError as error:
        raise CommandError("--follow", error) from None


@click.group("config")
def config_group() -> None:
    """Plans and request classes in force while gateways run (docs/configuration-service.md)."""


def call(
    function: Callable[Parameters, Result], *args: Parameters.args, **kwargs: Parameters.kwargs
) -> Result:
    """The function's result; its ConfigurationError becomes the command's error, click.ClickException."""
    from granitedock.configuration.errors import ConfigurationError

    try:
        return function(*args, **kwargs)
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from None


@config_group.command("check")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def config_check(change: Path) -> None:
    """Check the change in the JSON file CHANGE by its form alone; nothing is asked or sent."""
    from granitedock.configuration.change_codec import parse_change

    read = call(parse_change, change.read_bytes(), str(change))
    click.echo(f"{change}: {len(read.edit)} entries on version {read.base}")


@config_group.command("apply")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--to", "address", required=True, help="The writer's address.")
@click.option(
    "--within", "timeout_s", default=10.0, show_default=True, help="Seconds to wait for the answer."
)
def config_apply(change: Path, address: str, timeout_s: float) -> None:
    """Put the change in the JSON file CHANGE in force, if it is made on the present version."""
    from granitedock.configuration import control_client
    from granitedock.configuration.change_codec import parse_change

    data = change.read_bytes()
    call(parse_change, data, str(change))
    applied = call(control_client.apply, address, data, timeout_s)
    click.echo(f"version {applied['version']}, digest {applied['digest']}")


@config_group.command("show")
@click.argument("address")
@click.option("--plan", help="Only the plan of this name.")
@click.option(
    "--within", "timeout_s", default=10.0, show_default=True, help="Seconds to wait for the answer."
)
def config_show(address: str, plan: str | None, timeout_s: float) -> None:
    """The document that the control process at ADDRESS holds, as JSON."""
    import orjson

    from granitedock.configuration import control_client

    shown: Any = call(control_client.document, address, timeout_s)
    if plan is not None:
        matching = [record for record in shown["plans"] if record["Name"] == plan]
        if not matching:
            raise CommandError(address, f"no plan {plan!r}")
        shown = matching[0]
    click.echo(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())


@config_group.command("status")
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "--all", "include_current", is_flag=True, help="A line for each follower, also those that lack nothing."
)
@click.option("--json", "as_json", is_flag=True, help="All of it, in JSON.")
@click.option(
    "--within", "timeout_s", default=10.0, show_default=True, help="Seconds to wait for each answer."
)
def config_status(addresses: tuple[str, ...], include_current: bool, as_json: bool, timeout_s: float) -> None:
    """Which version the followers of the control processes at ADDRESSES have in force, how many lag and by
    how long. Exits with 1 if one lags, or a control process does not answer."""
    import orjson

    from granitedock.configuration import status_report

    status = status_report.collect(addresses, timeout_s)
    if as_json:
        click.echo(orjson.dumps(status.as_json(), option=orjson.OPT_INDENT_2).decode())
    else:
        for line in status_report.report_lines(status, include_current):
            click.echo(line)
    raise SystemExit(0 if status.healthy() else 1)
