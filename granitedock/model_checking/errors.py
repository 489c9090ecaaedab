"""Errors of the model checker."""

from granitedock.errors import GranitedockError


class TraceError(GranitedockError, ValueError):
    """A file that contains no valid trace, or a trace that does not match the current program."""


class ImpossibleMoveError(GranitedockError, ValueError):
    """A move that is not possible in a world's current state."""
