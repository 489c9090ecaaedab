"""Errors of the configuration service; the text of each names the object and the fault."""

from __future__ import annotations

from http import HTTPStatus
from pathlib import Path

from granitedock.errors import GranitedockError
from granitedock.platform_file import MAX_REPORTED_ERRORS


class ConfigurationError(GranitedockError, ValueError):
    """An unusable part of the configuration; the text names the object and the fault."""


class DigestMismatchError(ConfigurationError):
    """Entries whose computed digest differs from the digest stated with them."""


class MalformedLineError(ConfigurationError):
    """A line that is no message of the protocol, or a message that is not allowed in the current state."""


class ChangeRejectedError(ConfigurationError):
    """An invalid change; `faults` has a line `SOURCE: FIELD: REASON` for each fault."""

    def __init__(self, source: str, faults: list[str]) -> None:
        self.faults = [f"{source}: {fault}" for fault in faults[:MAX_REPORTED_ERRORS]]
        if len(faults) > MAX_REPORTED_ERRORS:
            self.faults.append(f"{source}: and {len(faults) - MAX_REPORTED_ERRORS} more")
        super().__init__("\n".join(self.faults))


class VersionConflictError(ChangeRejectedError):
    """A change whose base is not the current version, for example because another was applied first."""

    def __init__(self, source: str, base: int, version: int) -> None:
        super().__init__(source, [f"base: the present version is {version}, not {base}"])


class NotWriterError(ConfigurationError):
    """A change sent to a replica."""

    def __init__(self, source: str) -> None:
        super().__init__(
            f"{source}: this control process is a replica and rejects changes; send the change to the writer"
        )


class StoreError(ConfigurationError):
    """An unusable store; the text names the file and the fault."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")


class ControlRequestError(ConfigurationError):
    """A control process that does not answer or answers with an error; the text names its address."""


class HttpError(GranitedockError):
    """An HTTP error response to a request: its status, and a text for each fault."""

    def __init__(self, status: HTTPStatus, errors: list[str]) -> None:
        super().__init__(status, errors)
        self.status = status
        self.errors = errors
