"""The errors of the service."""

from granitedock.errors import GranitedockError


class ServiceError(GranitedockError):
    """Base class of the errors of the service."""


class RequestFormatError(ServiceError):
    """A request command of an invalid form; the text of the error is sent to the client."""
