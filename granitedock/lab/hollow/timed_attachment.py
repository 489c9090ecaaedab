"""A gateway's attachment to the configuration service that measures its own work."""

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
    """Records when each version came into force, and for how long applying it blocked the event loop.

    Its counters, in us, are `apply_us` for all changes together and `replace_us` for the last snapshot.
    """

    def __init__(  # noqa: PLR0913 - the arguments of the base class, and `version_times`
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
        """Apply a change, and measure the time."""
        started_s = time.perf_counter()
        super().apply_change(change, prepared)
        self.event_log.counts["apply_us"] += round((time.perf_counter() - started_s) * US_PER_S)
        record_version(self.version_times, change.version)

    def apply_snapshot(self, before: Contents[Entry], after: Contents[Entry]) -> None:
        """Apply a whole document, and measure the time."""
        started_s = time.perf_counter()
        super().apply_snapshot(before, after)
        self.event_log.counts["replace_us"] = round((time.perf_counter() - started_s) * US_PER_S)
        record_version(self.version_times, after.version)
