"""The error with which a command fails; click prints its text and exits with 1."""

from __future__ import annotations

import click

from granitedock.errors import GranitedockError


class CommandError(GranitedockError, click.ClickException):
    """A failed command; `source` is the file, address or option at fault, and the text `SOURCE: REASON`."""

    def __init__(self, source: str, reason: object) -> None:
        click.ClickException.__init__(self, f"{source}: {reason}")
