"""The error that a command ends with; click prints its text and exits with 1."""

from __future__ import annotations

import click

from granitedock.errors import GranitedockError


class CommandError(GranitedockError, click.ClickException):
    """A command that failed at `source`: a file, an address or an option. Its text is SOURCE: REASON."""

    def __init__(self, source: str, reason: object) -> None:
        click.ClickException.__init__(self, f"{source}: {reason}")
