"""The configuration service: control processes, and changes of what is in force."""

from __future__ import annotations

from pathlib import Path

import click


@click.command()
@click.option("--config", required=True, type=click.Path(dir_okay=False), help="This process's TOML file.")
@click.option(
    "--follow", multiple=True, help="Be a replica of the control process here, instead of the file's."
)
@click.option(
    "--import",
    "imported",
    type=click.Path(exists=True, dir_okay=False),
    help="A platform's file whose plans and classes become version 1 of an empty store.",
)
def control(config: str, follow: tuple[str, ...], imported: str | None) -> None:
    """Serve plans and request classes to gateways until SIGTERM: the writer, or a replica."""
    from granitedock.configuration.control_process import run
    from granitedock.configuration.errors import ConfigurationError
    from granitedock.configuration.settings import load_control
    from granitedock.platform_file import ToldError
    from granitedock.platform_file import load as load_told
    from granitedock.toml_file import FileError

    try:
        file = load_control(config)
        if follow:
            file = file.model_validate(file.model_dump() | {"follow": list(follow)})
        settings = load_told(imported)["settings"] if imported else None
        raise SystemExit(run(file, settings, imported or ""))
    except (FileError, ToldError, ConfigurationError) as fault:
        raise click.ClickException(str(fault)) from None
    except ValueError as fault:
        raise click.ClickException(f"--follow: {fault}") from None


@click.group("config")
def config_group() -> None:
    """Plans and request classes in force while gateways run (docs/configuration-service.md)."""


def from_control(act, *what):
    """What a control process says, or the command's error."""
    from granitedock.configuration.errors import ConfigurationError

    try:
        return act(*what)
    except ConfigurationError as fault:
        raise click.ClickException(str(fault)) from None


@config_group.command("check")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def config_check(change: Path) -> None:
    """Check the change in the JSON file CHANGE by its form alone; nothing is asked or sent."""
    from granitedock.configuration.change_codec import parse_change

    made = from_control(parse_change, change.read_bytes(), str(change))
    click.echo(f"{change}: {len(made.edit)} entries on version {made.base}")


@config_group.command("apply")
@click.argument("change", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--to", "address", required=True, help="The writer's address.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for the answer.")
def config_apply(change: Path, address: str, within: float) -> None:
    """Put the change in the JSON file CHANGE in force, if it is made on the present version."""
    from granitedock.configuration import control_client
    from granitedock.configuration.change_codec import parse_change

    data = change.read_bytes()
    from_control(parse_change, data, str(change))
    made = from_control(control_client.apply, address, data, within)
    click.echo(f"version {made['version']}, digest {made['digest']}")


@config_group.command("show")
@click.argument("address")
@click.option("--plan", help="Only the plan of this name.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for the answer.")
def config_show(address: str, plan: str | None, within: float) -> None:
    """The document that the control process at ADDRESS holds, as JSON."""
    import orjson

    from granitedock.configuration import control_client

    shown = from_control(control_client.document, address, within)
    if plan is not None:
        found = [one for one in shown["plans"] if one["Name"] == plan]
        if not found:
            raise click.ClickException(f"{address}: no plan {plan!r}")
        shown = found[0]
    click.echo(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())


@config_group.command("status")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--all", "every", is_flag=True, help="A line for each follower, also those that lack nothing.")
@click.option("--json", "as_json", is_flag=True, help="All of it, in JSON.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for each answer.")
def config_status(addresses: tuple[str, ...], every: bool, as_json: bool, within: float) -> None:
    """Which version the followers of the control processes at ADDRESSES have in force, how many lag and by
    how long. Exits with 1 if one lags, or a control process does not answer."""
    import orjson

    from granitedock.configuration import status_report

    found = status_report.collect(addresses, within)
    if as_json:
        click.echo(orjson.dumps(found.as_json(), option=orjson.OPT_INDENT_2).decode())
    else:
        for line in status_report.report_lines(found, every):
            click.echo(line)
    raise SystemExit(0 if found.healthy() else 1)
