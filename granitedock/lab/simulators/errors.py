"""Errors of the simulators."""

from __future__ import annotations

from granitedock.errors import GranitedockError


class SimulationError(GranitedockError):
    """A simulation was asked for what its state does not allow."""


class NotRunningError(SimulationError):
    """A gateway was used while its process does not run."""

    def __init__(self, number: int) -> None:
        super().__init__(f"gateway {number} does not run")
