"""Commands of a gateway: run it, and print the settings that it would use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

from granitedock.commands.check_report import printable
from granitedock.commands.errors import CommandError
from granitedock.commands.settings_files import load_configuration_file, load_fleet_file

if TYPE_CHECKING:
    from granitedock.membership.settings import MembershipFile
    from granitedock.service.limits import Limits


@click.command()
@click.option(
    "--told",
    "platform_path",
    envvar="LB_CONFIG",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The platform file (JSON) with the gateway's name, addresses, limits and settings.",
)
@click.option(
    "--fleet",
    "fleet_path",
    envvar="GRANITEDOCK_FLEET",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file that enables membership (deploy/fleet.toml).",
)
@click.option(
    "--config",
    "settings_path",
    envvar="GRANITEDOCK_CONFIG",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file with settings of the gateway (deploy/gateway.toml).",
)
@click.option(
    "--configuration",
    "configuration_path",
    envvar="GRANITEDOCK_CONFIGURATION",
    type=click.Path(dir_okay=False),
    help="The operators' TOML file that enables the configuration service (docs/configuration-service.md).",
)
def serve(
    platform_path: str, fleet_path: str | None, settings_path: str | None, configuration_path: str | None
) -> None:
    """Run the gateway until SIGTERM."""
    from granitedock.gateway_process import serve as run

    fleet_file = load_fleet_file(fleet_path)
    raise SystemExit(
        run(platform_path, fleet_file, settings_path, load_configuration_file(configuration_path))
    )


def fleet_summary(file: MembershipFile, settings: dict[str, Any]) -> dict[str, Any]:
    """Return what the membership file enables for this gateway, the timing, and the bound on quota excess."""
    from granitedock import platform_settings
    from granitedock.membership.settings import membership_permitted
    from granitedock.quota_sharing.bound import bound_report
    from granitedock.quota_sharing.settings import QuotaSharingSettings

    gateways = max(1, int(settings.get("Balancers") or 1))
    interval_ms = QuotaSharingSettings().broadcast_interval_ms
    return {
        "on": file.enabled and membership_permitted(settings),
        "shared": file.enabled and membership_permitted(settings) and file.shared.enabled,
        "pace": file.protocol_timing(),
        "bound": bound_report(
            platform_settings.plans(settings), gateways, file.protocol_timing(), interval_ms
        ),
    }


def settings_summary(platform_file: dict[str, Any], limits: Limits) -> dict[str, Any]:
    """Return what a gateway reads from the platform file, under the names that `check` prints."""
    from granitedock import platform_settings

    settings = platform_file["settings"]
    return {
        "limits": printable(limits),
        "seat": printable(platform_settings.identity(int(platform_file["seed"], 16), settings)),
        "leave": printable(platform_settings.permitted_features(settings)),
        "cold": printable(platform_settings.slow_start(settings)),
        "products": printable(platform_settings.request_classes(settings)),
        "plans": printable(platform_settings.plans(settings)),
    }


@click.command()
@click.option(
    "--told", "platform_path", envvar="LB_CONFIG", required=True, type=click.Path(exists=True, dir_okay=False)
)
@click.option("--fleet", "fleet_path", envvar="GRANITEDOCK_FLEET", type=click.Path(dir_okay=False))
@click.option("--config", "settings_path", envvar="GRANITEDOCK_CONFIG", type=click.Path(dir_okay=False))
@click.option(
    "--configuration",
    "configuration_path",
    envvar="GRANITEDOCK_CONFIGURATION",
    type=click.Path(dir_okay=False),
)
def check(
    platform_path: str, fleet_path: str | None, settings_path: str | None, configuration_path: str | None
) -> None:
    """Check a gateway's files and print the settings that it would use."""
    import orjson

    from granitedock.platform_file import PlatformFileError
    from granitedock.platform_file import load as load_platform_file
    from granitedock.service.limits import Limits
    from granitedock.toml_file import TomlFileError

    try:
        platform_file = load_platform_file(platform_path)
        limits = Limits.from_platform_file(platform_file)
        if settings_path is not None:
            from granitedock.service.operator_settings import load

            limits = load(settings_path).apply_to(limits)
        summary = settings_summary(platform_file, limits)
        if (fleet_file := load_fleet_file(fleet_path)) is not None:
            summary["fleet"] = fleet_summary(fleet_file, platform_file["settings"])
        if (configuration_file := load_configuration_file(configuration_path)) is not None:
            summary["configuration"] = configuration_file.model_dump()
    except (TomlFileError, PlatformFileError) as error:
        raise click.ClickException(str(error)) from None
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise CommandError(platform_path, f"{type(error).__name__}: {error}") from None
    click.echo(orjson.dumps(summary, option=orjson.OPT_INDENT_2).decode())
