"""The errors of the configuration service. The text of each names where and what."""

from __future__ import annotations

from http import HTTPStatus
from pathlib import Path

from granitedock.errors import GranitedockError
from granitedock.platform_file import MAX_REPORTED_ERRORS


class ConfigurationError(GranitedockError, ValueError):
    """Something of the configuration that cannot be used; its text names where and what."""


class DigestMismatchError(ConfigurationError):
    """Entries that lead to another digest than the one stated with them."""


class MalformedLineError(ConfigurationError):
    """A line that is no message of the protocol, or a message that may not come at this point."""


class ChangeRejectedError(ConfigurationError):
    """A change that is not valid; `faults` has a line for each fault, SOURCE: FIELD: WHAT."""

    def __init__(self, source: str, faults: list[str]) -> None:
        self.faults = [f"{source}: {fault}" for fault in faults[:MAX_REPORTED_ERRORS]]
        if len(faults) > MAX_REPORTED_ERRORS:
            self.faults.append(f"{source}: and {len(faults) - MAX_REPORTED_ERRORS} more")
        super().__init__("\n".join(self.faults))


class VersionConflictError(ChangeRejectedError):
    """A change based on another version than the present one: another change was made first."""

    def __init__(self, source: str, base: int, version: int) -> None:
        super().__init__(source, [f"base: the present version is {version}, not {base}"])


class NotWriterError(ConfigurationError):
    """A change that was sent to a replica."""

    def __init__(self, source: str) -> None:
        super().__init__(f"{source}: this control process is a replica, and takes no change")


class StoreError(ConfigurationError):
    """A store that cannot be used; its text names the file and why."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")


class ControlRequestError(ConfigurationError):
    """A control process that does not answer, or answers with an error; its text names the address."""


class HttpError(GranitedockError):
    """A request that is answered by an HTTP error: its status, and a text for each fault."""

    def __init__(self, status: HTTPStatus, errors: list[str]) -> None:
        super().__init__(status, errors)
        self.status = status
        self.errors = errors
