"""The base of all errors that granitedock raises."""


class GranitedockError(Exception):
    """An error of granitedock's own; its text says what was wrong and where."""
