"""Loading of the operators' settings files of a command, before the command starts anything."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from granitedock.configuration.settings import GatewayFile
    from granitedock.membership.settings import MembershipFile


def load_fleet_file(path: str | None) -> MembershipFile | None:
    """Load the membership settings.

    Returns None without a path, and raises click.ClickException if the file cannot be read or is not valid.
    """
    if path is None:
        return None
    from granitedock.membership.settings import load
    from granitedock.toml_file import TomlFileError

    try:
        return load(path)
    except TomlFileError as error:
        raise click.ClickException(str(error)) from None


def load_configuration_file(path: str | None) -> GatewayFile | None:
    """Load a gateway's settings for the configuration service.

    Returns None without a path, and raises click.ClickException if the file cannot be read or is not valid.
    """
    if path is None:
        return None
    from granitedock.configuration.settings import load_gateway
    from granitedock.toml_file import TomlFileError

    try:
        return load_gateway(path)
    except TomlFileError as error:
        raise click.ClickException(str(error)) from None
