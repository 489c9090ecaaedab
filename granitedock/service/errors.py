"""The errors of the service."""

from granitedock.errors import GranitedockError


class ServiceError(GranitedockError):
    """The base of the service's errors."""


class RequestFormatError(ServiceError):
    """A command that names itself a request and does not hold what a request needs; its text goes to the
    client."""
