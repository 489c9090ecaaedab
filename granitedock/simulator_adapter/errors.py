"""Errors of the simulator's adapter."""

from granitedock.errors import GranitedockError


class MalformedBatchError(GranitedockError):
    """Input that is not what the page of the simulator's wire describes."""
