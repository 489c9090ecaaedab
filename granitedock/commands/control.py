"""Commands of the configuration service: run a control process, check and apply changes, show the state."""

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
    "--config",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="The TOML file with this process's settings.",
)
@click.option(
    "--follow",
    "leaders",
    multiple=True,
    help="The address of a control process to follow as a replica, instead of those in the file.",
)
@click.option(
    "--import",
    "imported",
    type=click.Path(exists=True, dir_okay=False),
    help="A platform file whose plans and request classes become version 1 of an empty store.",
)
def control(path: str, leaders: tuple[str, ...], imported: str | None) -> None:
    """Serve plans and request classes to gateways until SIGTERM, as the writer or as a replica."""
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
    """Check, apply and show the plans and request classes in force (docs/configuration-service.md)."""


def call_with_click_errors(
    function: Callable[Parameters, Result], *args: Parameters.args, **kwargs: Parameters.kwargs
) -> Result:
    """Call the function and return its result; raise click.ClickException for its ConfigurationError."""
    from granitedock.configuration.errors import ConfigurationError

    try:
        return function(*args, **kwargs)
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from None


@config_group.command("check")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def config_check(change: Path) -> None:
    """Check the format of the change in the JSON file CHANGE, without contacting a control process."""
    from granitedock.configuration.change_codec import parse_change

    parsed_change = call_with_click_errors(parse_change, change.read_bytes(), str(change))
    click.echo(f"{change}: {len(parsed_change.edit)} entries on version {parsed_change.base}")


@config_group.command("apply")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--to", "address", required=True, help="The address of the writer.")
@click.option("--within", "timeout_s", default=10.0, show_default=True, help="Seconds to wait for the reply.")
def config_apply(change: Path, address: str, timeout_s: float) -> None:
    """Apply the change in the JSON file CHANGE, if it is based on the current version."""
    from granitedock.configuration import control_client
    from granitedock.configuration.change_codec import parse_change

    data = change.read_bytes()
    call_with_click_errors(parse_change, data, str(change))
    applied = call_with_click_errors(control_client.apply, address, data, timeout_s)
    click.echo(f"version {applied['version']}, digest {applied['digest']}")


@config_group.command("show")
@click.argument("address")
@click.option("--plan", help="Show only the plan with this name.")
@click.option("--within", "timeout_s", default=10.0, show_default=True, help="Seconds to wait for the reply.")
def config_show(address: str, plan: str | None, timeout_s: float) -> None:
    """Show the configuration document of the control process at ADDRESS, as JSON."""
    import orjson

    from granitedock.configuration import control_client

    output: Any = call_with_click_errors(control_client.document, address, timeout_s)
    if plan is not None:
        matching = [record for record in output["plans"] if record["Name"] == plan]
        if not matching:
            raise CommandError(address, f"no plan {plan!r}")
        output = matching[0]
    click.echo(orjson.dumps(output, option=orjson.OPT_INDENT_2).decode())


@config_group.command("status")
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "--all", "include_current", is_flag=True, help="Print a line for each gateway, also if it is up to date."
)
@click.option("--json", "as_json", is_flag=True, help="Print the complete status as JSON.")
@click.option(
    "--within", "timeout_s", default=10.0, show_default=True, help="Seconds to wait for each reply."
)
def config_status(addresses: tuple[str, ...], include_current: bool, as_json: bool, timeout_s: float) -> None:
    """Show which version the gateways that follow the control processes at ADDRESSES have in force.

    Shows how many gateways lag, and for how long. Exits with 1 if a gateway lags or a control process does
    not answer.
    """
    import orjson

    from granitedock.configuration import status_report

    status = status_report.collect(addresses, timeout_s)
    if as_json:
        click.echo(orjson.dumps(status.as_json(), option=orjson.OPT_INDENT_2).decode())
    else:
        for line in status_report.report_lines(status, include_current):
            click.echo(line)
    raise SystemExit(0 if status.healthy() else 1)
