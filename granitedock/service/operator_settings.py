"""The operators' own file: settings of a gateway beyond what the platform hands it (docs/configuration.md).

TOML, checked by pydantic; without a file all stands as the program has it. Limits are taken at the start, the
log's share also on SIGHUP. A file that is not right changes nothing, and says where: FILE:LINE: PATH: WHAT.
Owns the form of that file, and must never hold a setting of a decision: those come from the platform.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from pydantic import Field

from granitedock.service.limits import Limits
from granitedock.toml_file import StrictModel, read_text
from granitedock.toml_file import parse as parse_toml

Ms = Annotated[float, Field(ge=1, le=600_000)]


class LogLines(StrictModel):
    lines_a_second: Annotated[int, Field(ge=1, le=10_000)] = 50  # beyond it they are counted and dropped


class Peers(StrictModel):
    """Times of connections, in ms, and the listener's queue; what is left out stands as in the program. The
    bounds of each are its neighbours': a client's half command is waited for no longer than a rested one."""

    backlog: Annotated[int, Field(ge=1, le=65_535)] | None = None
    connect_ms: Ms | None = None
    host_idle_ms: Ms | None = None
    half_ms: Ms | None = None
    rest_ms: Annotated[float, Field(ge=2000, le=600_000)] | None = None  # no sooner: the platform's page
    counter_silence_ms: Ms | None = None
    watch_silence_ms: Annotated[float, Field(ge=2500, le=600_000)] | None = None  # a line comes every 2 s
    redial_ms: Annotated[float, Field(ge=10, le=60_000)] | None = None
    watch_most_ms: Ms | None = None


class Operators(StrictModel):
    log: LogLines = LogLines()
    limits: Peers = Peers()

    def over(self, limits: Limits) -> Limits:
        """The limits with what the file says of them."""
        told = self.limits.model_dump(exclude_none=True)
        return replace(limits, log_lines=self.log.lines_a_second, **told)


def crossed(file: Operators) -> list[tuple[tuple, str]]:
    redial, most = file.limits.redial_ms or 100.0, file.limits.watch_most_ms or 1500.0
    if most < redial:
        return [(("limits", "watch_most_ms"), f"less than redial_ms, {redial:g}")]
    return []


def load(path: str | Path) -> Operators:
    """Read and check the file. Raises TomlFileError."""
    return parse_toml(read_text(path), str(path), Operators, crossed)
