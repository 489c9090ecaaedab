"""The errors of the service."""

from granitedock.errors import GranitedockError


class ServiceError(GranitedockError):
    """Base class of the errors of the service."""


class RequestFormatError(ServiceError):
    """A request command that lacks a required part; its text is sent to the client."""
