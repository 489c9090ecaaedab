"""Serving, and reading the files that a gateway would serve by."""

from __future__ import annotations

import click

from granitedock.commands.files import configuration_file, fleet_file


@click.command()
@click.option(
    "--told",
    envvar="LB_CONFIG",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The JSON file that tells the gateway its name, addresses, limits and settings.",
)
@click.option(
    "--fleet",
    envvar="GRANITEDOCK_FLEET",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file that turns the view of the fleet on (deploy/fleet.toml).",
)
@click.option(
    "--config",
    envvar="GRANITEDOCK_CONFIG",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file of the gateway's own settings (deploy/gateway.toml).",
)
@click.option(
    "--configuration",
    envvar="GRANITEDOCK_CONFIGURATION",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file that turns the configuration service on (docs/configuration-service.md).",
)
def serve(told: str, fleet: str | None, config: str | None, configuration: str | None) -> None:
    """Serve until SIGTERM."""
    from granitedock.service.event_loop import serve as run

    raise SystemExit(run(told, fleet_file(fleet), config, configuration_file(configuration)))


def fleet_shown(file, born: dict) -> dict:
    """What `check` says of the operators' file: whether it acts here, its times, and the bound on quotas."""
    from granitedock import platform_settings
    from granitedock.membership.settings import may_talk
    from granitedock.quota_sharing.bound import told
    from granitedock.quota_sharing.state import Bounds

    gateways = max(1, int(born.get("Balancers") or 1))
    return {
        "on": file.enabled and may_talk(born),
        "shared": file.enabled and may_talk(born) and file.shared.enabled,
        "pace": file.protocol_timing(),
        "bound": told(platform_settings.plans(born), gateways, file.protocol_timing(), Bounds().tell_ms),
    }


@click.command()
@click.option("--told", envvar="LB_CONFIG", required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--fleet", envvar="GRANITEDOCK_FLEET", type=click.Path(dir_okay=False))
@click.option("--config", envvar="GRANITEDOCK_CONFIG", type=click.Path(dir_okay=False))
@click.option("--configuration", envvar="GRANITEDOCK_CONFIGURATION", type=click.Path(dir_okay=False))
def check(told: str, fleet: str | None, config: str | None, configuration: str | None) -> None:
    """Read such a file and print what the gateway would serve with."""
    import orjson

    from granitedock import platform_settings
    from granitedock.platform_file import ToldError
    from granitedock.platform_file import load as load_told
    from granitedock.service.limits import Limits
    from granitedock.toml_file import FileError

    try:
        record = load_told(told)
        born = record["settings"]
        limits = Limits.told(record)
        if config is not None:
            from granitedock.service.operator_settings import load

            limits = load(config).over(limits)
        shown = {
            "limits": limits,
            "seat": platform_settings.seat(int(record["seed"], 16), born),
            "leave": platform_settings.leave(born),
            "cold": platform_settings.cold(born),
            "products": platform_settings.request_classes(born),
            "plans": platform_settings.plans(born),
        }
        if (file := fleet_file(fleet)) is not None:
            shown["fleet"] = fleet_shown(file, born)
        if (file := configuration_file(configuration)) is not None:
            shown["configuration"] = file.model_dump()
    except (FileError, ToldError) as fault:
        raise click.ClickException(str(fault)) from None
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise click.ClickException(f"{told}: {type(fault).__name__}: {fault}") from None
    click.echo(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())
