"""Errors of the simulators."""

from __future__ import annotations

from granitedock.errors import GranitedockError


class SimulationError(GranitedockError):
    """An operation is not possible in the current state of the simulation."""


class NotRunningError(SimulationError):
    """A gateway was used while its process was not running."""

    def __init__(self, number: int) -> None:
        super().__init__(f"gateway {number}: expected a running process, got none")
