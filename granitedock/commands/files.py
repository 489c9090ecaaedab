"""The operators' files that commands read, checked before anything starts."""

from __future__ import annotations

import click


def fleet_file(path: str | None):
    """The operators' file, read and checked, or None without one. Nothing is started by one that fails."""
    if path is None:
        return None
    from granitedock.membership.settings import load
    from granitedock.toml_file import FileError

    try:
        return load(path)
    except FileError as fault:
        raise click.ClickException(str(fault)) from None


def configuration_file(path: str | None):
    """The operators' file of the configuration service, read and checked, or None without one."""
    if path is None:
        return None
    from granitedock.configuration.settings import load_gateway
    from granitedock.toml_file import FileError

    try:
        return load_gateway(path)
    except FileError as fault:
        raise click.ClickException(str(fault)) from None
