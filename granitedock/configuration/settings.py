"""Settings files of the configuration service: TOML, validated by pydantic.

`GatewayFile` configures a gateway as a follower (`granitedock serve --configuration FILE`), `ControlFile` a
control process (`granitedock control --config FILE`). Operators' reference: docs/configuration-service.md.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field

from granitedock.toml_file import FieldErrors, StrictModel, read_text
from granitedock.toml_file import parse as parse_toml

MAX_PORT = 65535


def check_listen_address(text: str) -> str:
    """Check a HOST:PORT address to listen at; port 0 selects any free port. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        problem = f"not an address, HOST:PORT: {text!r}"
        raise ValueError(problem)
    return text


def check_address(text: str) -> str:
    """Check a HOST:PORT address to connect to. Raises ValueError."""
    if check_listen_address(text).endswith(":0"):
        problem = f"port 0 cannot be connected to: {text!r}"
        raise ValueError(problem)
    return text


Address = Annotated[str, AfterValidator(check_address)]
ListenAddress = Annotated[str, AfterValidator(check_listen_address)]
Cluster = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")]


class GatewayFile(StrictModel):
    """The control processes that a gateway follows, and the file of its local copy (None: no copy)."""

    enabled: bool
    cluster: Cluster = "granitedock"
    control: Annotated[list[Address], Field(min_length=1, max_length=16)]
    copy_file: str | None = None


class ControlFile(StrictModel):
    """One control process.

    `follow` lists the writer or other replicas for a replica to follow, and is empty for the writer.
    """

    cluster: Cluster = "granitedock"
    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
    listen: ListenAddress
    store: str
    follow: Annotated[list[Address], Field(max_length=16)] = []


def check_follow(file: ControlFile) -> FieldErrors:
    """Return the errors of a control process that would follow itself."""
    if file.listen in file.follow:
        return [(("follow",), f"this process's own address, {file.listen}")]
    return []


def load_gateway(path: str | Path) -> GatewayFile:
    """Read and validate a gateway's file. Raises toml_file.TomlFileError."""
    return parse_toml(read_text(path), str(path), GatewayFile)


def load_control(path: str | Path) -> ControlFile:
    """Read and validate a control process's file. Raises toml_file.TomlFileError."""
    return parse_toml(read_text(path), str(path), ControlFile, check_follow)
