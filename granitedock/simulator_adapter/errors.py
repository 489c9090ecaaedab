"""Errors of the simulator adapter."""

from granitedock.errors import GranitedockError


class MalformedBatchError(GranitedockError):
    """Input that does not conform to the documentation of the simulator's wire protocol."""
