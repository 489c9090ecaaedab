"""The base class of all errors that granitedock raises."""


class GranitedockError(Exception):
    """Base class of granitedock's own errors; the text states what is wrong and where."""
