"""The operators' membership file: TOML, validated by pydantic. For operators: docs/membership.md."""

from __future__ import annotations

import zlib
from pathlib import Path
from typing import Annotated, Any

import orjson
from pydantic import AfterValidator, Field

from granitedock.membership.codec import is_address
from granitedock.membership.timing import Timing
from granitedock.toml_file import FieldErrors, StrictModel, read_text
from granitedock.toml_file import parse as parse_toml


def validate_address(text: str) -> str:
    """Return the address unchanged; raises ValueError if it is malformed, as pydantic expects."""
    if not is_address(text):
        reason = f"not an address such as 10.0.0.4:7946: {text!r}"
        raise ValueError(reason)
    return text


Address = Annotated[str, AfterValidator(validate_address)]
Ms = Annotated[float, Field(ge=10, le=3_600_000)]
DEFAULT_TIMING = Timing()


class TimingTable(StrictModel):
    """The table `[timing]`: times in ms, with the names and defaults of `timing.Timing`."""

    period_ms: Ms = DEFAULT_TIMING.period_ms
    timeout_ms: Ms = DEFAULT_TIMING.timeout_ms
    suspect_ms: Ms = DEFAULT_TIMING.suspect_ms
    suspect_most_ms: Ms = DEFAULT_TIMING.suspect_most_ms
    gossip_ms: Ms = DEFAULT_TIMING.gossip_ms
    sync_ms: Ms = DEFAULT_TIMING.sync_ms
    revive_ms: Ms = DEFAULT_TIMING.revive_ms
    seeds_ms: Ms = DEFAULT_TIMING.seeds_ms
    seeds_most_ms: Ms = DEFAULT_TIMING.seeds_most_ms
    forget_ms: Ms = DEFAULT_TIMING.forget_ms
    gap_ms: Ms = DEFAULT_TIMING.gap_ms
    settle_ms: Ms = DEFAULT_TIMING.settle_ms
    lease_ms: Ms = DEFAULT_TIMING.lease_ms


class SharedTable(StrictModel):
    """The table `[shared]`: units admitted uncounted are sent to other gateways (docs/quota-sharing.md)."""

    enabled: bool = False
    reserve_ms: Ms = 600_000.0
    most_rows: Annotated[int, Field(ge=100, le=1_000_000)] = 20_000
    snapshot: str | None = None  # A file that preserves units admitted uncounted over a restart.


class HostsTable(StrictModel):
    """The table `[hosts]`: observations of hosts are sent to other gateways (docs/outlier-detection.md)."""

    enabled: bool = False
    fresh_ms: Ms = 6000.0
    most_out: Annotated[float, Field(ge=0, le=0.5)] = 0.25


class MembershipFile(StrictModel):
    """The whole file, which operators know as fleet.toml."""

    enabled: bool
    cluster: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")] = "granitedock"
    listen: Address
    advertise: Address | None = None  # At which other members reach this one; `listen` if absent.
    seeds: Annotated[list[Address], Field(max_length=16)] = []
    timing: TimingTable = TimingTable()
    shared: SharedTable = SharedTable()
    hosts: HostsTable = HostsTable()

    def protocol_timing(self) -> Timing:
        """Return the protocol's parameters, with the defaults of those that the file omits."""
        return Timing(**self.timing.model_dump())


def cross_field_errors(file: MembershipFile) -> FieldErrors:
    """Return the errors of values that are valid on their own and not in combination.

    Each error is the path of its key and the reason.
    """
    timing = file.timing
    errors: FieldErrors = []

    def require_order(lower_key: str, upper_key: str) -> None:
        if getattr(timing, lower_key) > getattr(timing, upper_key):
            errors.append(
                (("timing", lower_key), f"must not be more than {upper_key} ({getattr(timing, upper_key):g})")
            )

    require_order("timeout_ms", "period_ms")
    require_order("suspect_ms", "suspect_most_ms")
    require_order("suspect_most_ms", "forget_ms")
    require_order("gap_ms", "suspect_ms")
    if file.listen.startswith("0.0.0.0:") and file.advertise is None:
        errors.append((("advertise",), "must be named where listen is every address"))
    return errors


def load(path: str | Path) -> MembershipFile:
    """Read and validate the operators' file; raises toml_file.TomlFileError."""
    return parse(read_text(path), str(path))


def parse(text: str, name: str = "<fleet>") -> MembershipFile:
    """Parse the text of such a file; `name` appears in errors. Raises toml_file.TomlFileError."""
    return parse_toml(text, name, MembershipFile, cross_field_errors)


def membership_permitted(settings: dict[str, Any]) -> bool:
    """Return whether the deployment's settings permit messages between gateways."""
    return bool((settings.get("Specifics") or {}).get("MailPerS"))


def settings_checksum(settings: dict[str, Any]) -> int:
    """Return a checksum that is equal for gateways whose settings differ only in their own number."""
    common = {key: value for key, value in settings.items() if key != "Me"}
    return zlib.crc32(orjson.dumps(common, option=orjson.OPT_SORT_KEYS))
