"""Operators' settings files that commands are given, read and checked before anything is started."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from granitedock.configuration.settings import GatewayFile
    from granitedock.membership.settings import MembershipFile


def load_fleet_file(path: str | None) -> MembershipFile | None:
    """The membership settings in the file at `path`, or None without one. Raises click.ClickException."""
    if path is None:
        return None
    from granitedock.membership.settings import load
    from granitedock.toml_file import TomlFileError

    try:
        return load(path)
    except TomlFileError as error:
        raise click.ClickException(str(error)) from None


def load_configuration_file(path: str | None) -> GatewayFile | None:
    """A gateway's configuration service settings, or None without a file. Raises click.ClickException."""
    if path is None:
        return None
    from granitedock.configuration.settings import load_gateway
    from granitedock.toml_file import TomlFileError

    try:
        return load_gateway(path)
    except TomlFileError as error:
        raise click.ClickException(str(error)) from None
