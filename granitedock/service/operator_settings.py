"""The operators' own file: settings of a gateway beyond the platform file (docs/configuration.md).

TOML, checked by pydantic; without a file the program's defaults hold. Limits are taken at the start, the
log's bound also on SIGHUP. A file with an error changes nothing, and says where: FILE:LINE: PATH: WHAT. It
holds no setting of a decision: those come from the platform.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from pydantic import Field

from granitedock.service.limits import REDIAL_MS, WATCH_MOST_MS, Limits
from granitedock.toml_file import FieldErrors, StrictModel, read_text
from granitedock.toml_file import parse as parse_toml

Milliseconds = Annotated[float, Field(ge=1, le=600_000)]


class LogSettings(StrictModel):
    """The event log's bound."""

    lines_a_second: Annotated[int, Field(ge=1, le=10_000)] = 50  # beyond it they are counted and dropped


class ConnectionSettings(StrictModel):
    """Times of connections, in ms, and the listener's queue; what is left out stands as in the program. The
    bounds of each are its neighbours': a client's half command is waited for no longer than an idle one."""

    backlog: Annotated[int, Field(ge=1, le=65_535)] | None = None
    connect_ms: Milliseconds | None = None
    host_idle_ms: Milliseconds | None = None
    half_ms: Milliseconds | None = None
    rest_ms: Annotated[float, Field(ge=2000, le=600_000)] | None = None  # no sooner: the platform's page
    counter_silence_ms: Milliseconds | None = None
    watch_silence_ms: Annotated[float, Field(ge=2500, le=600_000)] | None = None  # a line comes every 2 s
    redial_ms: Annotated[float, Field(ge=10, le=60_000)] | None = None
    watch_most_ms: Milliseconds | None = None


class OperatorSettings(StrictModel):
    """All that the file may hold."""

    log: LogSettings = LogSettings()
    limits: ConnectionSettings = ConnectionSettings()

    def apply_to(self, limits: Limits) -> Limits:
        """The limits with what the file says of them."""
        stated = self.limits.model_dump(exclude_none=True)
        return replace(limits, log_lines=self.log.lines_a_second, **stated)


def contradictions(settings: OperatorSettings) -> FieldErrors:
    """Fields that each are right and contradict one another: where in the file, and what is wrong."""
    redial_ms = settings.limits.redial_ms or REDIAL_MS
    watch_most_ms = settings.limits.watch_most_ms or WATCH_MOST_MS
    if watch_most_ms < redial_ms:
        return [(("limits", "watch_most_ms"), f"less than redial_ms, {redial_ms:g}")]
    return []


def load(path: str | Path) -> OperatorSettings:
    """Read and check the file. Raises toml_file.TomlFileError."""
    return parse_toml(read_text(path), str(path), OperatorSettings, contradictions)
