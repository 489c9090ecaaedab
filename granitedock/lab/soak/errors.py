"""Errors of the soak."""

from __future__ import annotations


class ArgumentError(ValueError):
    """An argument of the command is wrong."""

    def __init__(self, name: str, value: str, expected: str) -> None:
        super().__init__(f"{name}: {value!r} is not {expected}")
