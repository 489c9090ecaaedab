"""A gateway's part in the configuration service that measures what it does."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from granitedock.configuration.document import Contents, PreparedEdit
from granitedock.configuration.gateway_applier import Entry
from granitedock.configuration.gateway_attachment import GatewayAttachment, GatewayEventLog
from granitedock.configuration.gateway_state import GatewayState
from granitedock.configuration.messages import VersionedChange
from granitedock.configuration.settings import GatewayFile
from granitedock.lab.hollow.version_times import record_version

US_PER_S = 1e6


class TimedAttachment(GatewayAttachment):
    """Keeps the moments at which each version was in force, and how long that held the event loop up.

    Counters, in us: `apply_us` of all changes, `replace_us` of the last snapshot.
    """

    def __init__(  # noqa: PLR0913 - the base's arguments, and where times are kept
        self,
        file: GatewayFile,
        name: str,
        state: GatewayState,
        reactor: Any,
        clock: Callable[[], float],
        event_log: GatewayEventLog,
        version_times: dict[str, float],
    ) -> None:
        super().__init__(file, name, state, reactor, clock, event_log)
        self.version_times = version_times

    def apply_change(self, change: VersionedChange, prepared: PreparedEdit[Entry]) -> None:
        """Put a change in force."""
        began = time.perf_counter()
        super().apply_change(change, prepared)
        self.event_log.counts["apply_us"] += round((time.perf_counter() - began) * US_PER_S)
        record_version(self.version_times, change.version)

    def apply_snapshot(self, before: Contents[Entry], after: Contents[Entry]) -> None:
        """Put a whole document in force."""
        began = time.perf_counter()
        super().apply_snapshot(before, after)
        self.event_log.counts["replace_us"] = round((time.perf_counter() - began) * US_PER_S)
        record_version(self.version_times, after.version)
