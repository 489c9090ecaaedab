"""Errors of the model checker."""

from granitedock.errors import GranitedockError


class TraceError(GranitedockError, ValueError):
    """A file that holds no trace, or one that does not fit the program as it is now."""


class ImpossibleMoveError(GranitedockError, ValueError):
    """A move that a world does not allow in its present state."""
