"""The operators' settings file: settings of a gateway beyond the platform file (docs/configuration.md).

The file is TOML and validated by pydantic; without a file the defaults of the program apply. Limits apply
from the start only, the limit of the event log also on SIGHUP. A file with an error changes nothing, and the
error has the form FILE:LINE: FIELD: REASON. The file has no settings that affect decisions: those come from
the platform.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from pydantic import Field

from granitedock.service.limits import DEFAULT_MAX_BACKOFF_MS, DEFAULT_MIN_BACKOFF_MS, Limits
from granitedock.toml_file import FieldErrors, StrictModel, read_text
from granitedock.toml_file import parse as parse_toml

Milliseconds = Annotated[float, Field(ge=1, le=600_000)]


class LogSettings(StrictModel):
    """The limit of the event log."""

    lines_a_second: Annotated[int, Field(ge=1, le=10_000)] = 50  # Lines beyond it are counted and dropped.


class ConnectionSettings(StrictModel):
    """Times of connections, in ms, and the backlog of the listener; an absent field keeps its default.

    The range of each field follows from related limits: the maximum of `half_ms`, for example, is that of
    `rest_ms`, as the wait for an incomplete command of a client should not exceed that for an idle client.
    The two values are not compared.
    """

    backlog: Annotated[int, Field(ge=1, le=65_535)] | None = None
    connect_ms: Milliseconds | None = None
    host_idle_ms: Milliseconds | None = None
    half_ms: Milliseconds | None = None
    # The platform's page sets the minimum of `rest_ms`.
    rest_ms: Annotated[float, Field(ge=2000, le=600_000)] | None = None
    counter_silence_ms: Milliseconds | None = None
    watch_silence_ms: Annotated[float, Field(ge=2500, le=600_000)] | None = None  # A line arrives every 2 s.
    redial_ms: Annotated[float, Field(ge=10, le=60_000)] | None = None
    watch_most_ms: Milliseconds | None = None


class OperatorSettings(StrictModel):
    """The sections of the file."""

    log: LogSettings = LogSettings()
    limits: ConnectionSettings = ConnectionSettings()

    def apply_to(self, limits: Limits) -> Limits:
        """Return the limits with those of the file applied."""
        overrides = self.limits.model_dump(exclude_none=True)
        return replace(limits, log_lines=self.log.lines_a_second, **overrides)


def contradictions(settings: OperatorSettings) -> FieldErrors:
    """Return the paths and errors of fields that are each valid but contradict one another."""
    redial_ms = settings.limits.redial_ms or DEFAULT_MIN_BACKOFF_MS
    watch_most_ms = settings.limits.watch_most_ms or DEFAULT_MAX_BACKOFF_MS
    if watch_most_ms < redial_ms:
        return [(("limits", "watch_most_ms"), f"less than redial_ms, {redial_ms:g}")]
    return []


def load(path: str | Path) -> OperatorSettings:
    """Read and check the file.

    Raises toml_file.TomlFileError.
    """
    return parse_toml(read_text(path), str(path), OperatorSettings, contradictions)
