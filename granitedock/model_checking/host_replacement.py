"""The replacement of a host in a world of gateways: a new process of another cell starts at its address.

A host ends, and the new one has the number after the last host. Discovery tells the new process in each of
the forms of `gateway_moves.NEWS`, and goes on to list the old one.
"""

from __future__ import annotations

from granitedock.model_checking import gateway_moves as move_names
from granitedock.policy.types import EndpointEntry, EndpointStatus
from granitedock.service.discovery_protocol import EndpointListUpdate

CELLS = 2
LIST_VERSION = 2


class HostReplacement:
    """The state of the replacement, and which gateways have been told of it.

    `replaced` is the number of the replaced host, None before. The new process started at `started_at`
    (Unix ms).
    """

    def __init__(self, hosts: int) -> None:
        self.new_host = hosts
        self.replaced: int | None = None
        self.started_at = 0.0
        self.told_gateways: set[int] = set()

    def replace(self, host: int, now: float) -> None:
        """Let the new process start at the address of a host."""
        self.replaced = host
        self.started_at = now

    def receiving_cell(self, host: int) -> int:
        """Return the cell of the process that has the address of a host now."""
        return self._cell(self.new_host if host == self.replaced else host)

    def _cell(self, host: int) -> int:
        """Return the cell of a host; that of the new process is not the replaced host's."""
        if host == self.new_host and self.replaced is not None:
            return (self.replaced + 1) % CELLS
        return host % CELLS

    def entries(self, listed: list[EndpointEntry]) -> list[EndpointEntry]:
        """Return these entries of the hosts, with that of the new process in front if it has started."""
        with_cells = [entry._replace(cell=self._cell(host)) for host, entry in enumerate(listed)]
        if self.replaced is None:
            return with_cells
        new_entry = with_cells[self.replaced]._replace(
            name=f"h{self.new_host}",
            cell=self._cell(self.new_host),
            started_at=self.started_at,
            status=EndpointStatus.READY,
        )
        return [new_entry, *with_cells]

    def news(self, form: str, listed: list[EndpointEntry]) -> EndpointListUpdate:
        """Return the endpoint update that tells of the new process in one of the forms of `NEWS`."""
        entries = self.entries(listed)
        if form == move_names.AS_CHANGE:
            return EndpointListUpdate(LIST_VERSION, False, entries[:1])
        if form == move_names.OLD_FIRST:
            entries.reverse()
        return EndpointListUpdate(LIST_VERSION, True, entries)
