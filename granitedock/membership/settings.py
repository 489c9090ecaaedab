"""The operators' file of the fleet view: TOML, checked by pydantic. For operators: docs/fleet.md."""

from __future__ import annotations

import zlib
from pathlib import Path
from typing import Annotated, Any

import orjson
from pydantic import AfterValidator, Field

from granitedock.membership.pace import Pace
from granitedock.membership.wire import is_address
from granitedock.toml_file import FieldErrors, StrictModel, read_text
from granitedock.toml_file import parse as parse_toml


def address(text: str) -> str:
    if not is_address(text):
        raise ValueError(f"not an address as 10.0.0.4:7946: {text!r}")
    return text


Address = Annotated[str, AfterValidator(address)]
Ms = Annotated[float, Field(ge=10, le=3_600_000)]
DEFAULT = Pace()


class Timing(StrictModel):
    """Times in ms, as `Pace` names them; those left out stand as there."""

    period_ms: Ms = DEFAULT.period_ms
    timeout_ms: Ms = DEFAULT.timeout_ms
    suspect_ms: Ms = DEFAULT.suspect_ms
    suspect_most_ms: Ms = DEFAULT.suspect_most_ms
    gossip_ms: Ms = DEFAULT.gossip_ms
    sync_ms: Ms = DEFAULT.sync_ms
    revive_ms: Ms = DEFAULT.revive_ms
    seeds_ms: Ms = DEFAULT.seeds_ms
    seeds_most_ms: Ms = DEFAULT.seeds_most_ms
    forget_ms: Ms = DEFAULT.forget_ms
    gap_ms: Ms = DEFAULT.gap_ms
    settle_ms: Ms = DEFAULT.settle_ms
    lease_ms: Ms = DEFAULT.lease_ms


class SharedFile(StrictModel):
    """Usage without the counter, gossiped among gateways (docs/quota-sharing.md)."""

    enabled: bool = False
    reserve_ms: Ms = 600_000.0
    most_rows: Annotated[int, Field(ge=100, le=1_000_000)] = 20_000
    snapshot: str | None = None  # a file that holds over a restart what was let in uncounted


class HostsFile(StrictModel):
    """Outlier detection by what gateways gossip of hosts (docs/outlier-detection.md)."""

    enabled: bool = False
    fresh_ms: Ms = 6000.0
    most_out: Annotated[float, Field(ge=0, le=0.5)] = 0.25


class FleetFile(StrictModel):
    enabled: bool
    cluster: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")] = "granitedock"
    listen: Address
    advertise: Address | None = None  # as the others reach it; without it, as `listen`
    seeds: Annotated[list[Address], Field(max_length=16)] = []
    timing: Timing = Timing()
    shared: SharedFile = SharedFile()
    hosts: HostsFile = HostsFile()

    def pace(self) -> Pace:
        return Pace(**self.timing.model_dump())


def crossed(told: FleetFile) -> FieldErrors:
    timing, found = told.timing, []

    def below(less: str, more: str) -> None:
        if getattr(timing, less) > getattr(timing, more):
            found.append((("timing", less), f"must not be more than {more} ({getattr(timing, more):g})"))

    below("timeout_ms", "period_ms")
    below("suspect_ms", "suspect_most_ms")
    below("suspect_most_ms", "forget_ms")
    below("gap_ms", "suspect_ms")
    if told.listen.startswith("0.0.0.0:") and told.advertise is None:
        found.append((("advertise",), "must be named where listen is every address"))
    return found


def load(path: str | Path) -> FleetFile:
    """Read and check the operators' file. Raises toml_file.TomlFileError."""
    return parse(read_text(path), str(path))


def parse(text: str, name: str = "<fleet>") -> FleetFile:
    return parse_toml(text, name, FleetFile, crossed)


def may_talk(born: dict[str, Any]) -> bool:
    """Whether the deployment's settings let gateways talk to each other."""
    return bool((born.get("Specifics") or {}).get("MailPerS"))


def settings_number(born: dict[str, Any]) -> int:
    """A number made of the settings, the same for all gateways that were told the same."""
    shared = {key: value for key, value in born.items() if key != "Me"}
    return zlib.crc32(orjson.dumps(shared, option=orjson.OPT_SORT_KEYS))
