"""Which of the processes that discovery lists still run: of those at one address, the one that started last.

Discovery tells the end of a process seconds late. Until then it may list the process beside the one that has
started at its address since, in a change or in a complete list and in any order, and go on to do so when the
later process has ended too. What runs follows from what is listed, not from how or in which order it was
told. No I/O and no clock; times are Unix ms.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from granitedock.policy.types import EndpointEntry, EndpointStatus

# Addresses without a listed process at which the last process to end is remembered.
MAX_UNLISTED_ADDRESSES = 1024
NEVER = float("-inf")


class Supersession(NamedTuple):
    """A process that is still listed, and the one that started later at its address."""

    ended: EndpointEntry
    owner: EndpointEntry


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """The processes that an update lists, or that are at an address that it affects."""

    running: list[EndpointEntry]
    superseded: list[Supersession]
    removed: list[EndpointEntry]  # Listed as gone, or no longer listed.


class AddressOwnership:
    """The listed processes, and the last one that has ended at each address.

    A process that started before another one at its address has ended. Processes without an address, and
    several at one address that started at the same time, count as running.
    """

    def __init__(self) -> None:
        self.listed: dict[str, EndpointEntry] = {}  # By name.
        self.names_at: dict[str, list[str]] = {}  # The names of the listed processes, by address.
        # By address, of the processes that have ended there the one that started last; oldest end first.
        self.last_ended: dict[str, EndpointEntry] = {}
        # By name, for processes that have moved to their address: the latest start there when they came.
        self.latest_start_at_move: dict[str, float] = {}

    # Updates.

    def update(self, entries: Iterable[EndpointEntry], complete: bool) -> OwnershipChange:
        """Apply an update of the endpoint list; a complete one removes what it does not list."""
        known_entries = [self._with_known_facts(entry) for entry in latest_by_name(entries)]
        removed = [entry for entry in known_entries if entry.status is EndpointStatus.GONE]
        named = {entry.name: entry for entry in known_entries if entry.status is not EndpointStatus.GONE}
        if complete:
            removed += [entry for name, entry in self.listed.items() if name not in named]
        moved = [entry for entry in named.values() if self._has_moved(entry)]
        latest_start_at_move = {entry.name: self._latest_start(entry.address) for entry in moved}
        changed_addresses: list[str] = []
        for entry in removed:
            changed_addresses += self._remove(entry)
        for entry in named.values():
            changed_addresses += self._list(entry)
        self.latest_start_at_move.update(latest_start_at_move)
        self._limit_memory()
        change = OwnershipChange([], [], removed)
        for entry in self._affected(named, changed_addresses):
            owner = self.superseded_by(entry)
            if owner is None:
                change.running.append(entry)
            else:
                change.superseded.append(Supersession(entry, owner))
        return change

    def _with_known_facts(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry with the known address if it states none.

        An entry with an earlier start than the known process of the same name and address describes a
        process that has ended, so that only its status applies.
        """
        known = self.listed.get(entry.name)
        if known is None or entry.address not in ("", known.address):
            return entry
        if entry.started_at < known.started_at:
            return known._replace(status=entry.status)
        return entry if entry.address else entry._replace(address=known.address)

    def _has_moved(self, entry: EndpointEntry) -> bool:
        """Return whether a process is listed at another address than before, without a restart.

        It did not start at that address, so the processes that were there before it say nothing of it.
        """
        known = self.listed.get(entry.name)
        return known is not None and known.address != entry.address and known.started_at == entry.started_at

    def _latest_start(self, address: str) -> float:
        """Return the latest known start at an address, of listed processes and of those that have ended."""
        starts = [self.listed[name].started_at for name in self.names_at.get(address, ())]
        if address in self.last_ended:
            starts.append(self.last_ended[address].started_at)
        return max(starts, default=NEVER)

    def _remove(self, entry: EndpointEntry) -> Collection[str]:
        """Remove a process that is gone, and return the addresses that this affects."""
        known = self.listed.pop(entry.name, None)
        self._remember_end(entry)
        if known is None:
            return (entry.address,)
        # One that has moved here came after those that had started here before.
        start = max(known.started_at, self.latest_start_at_move.pop(entry.name, NEVER))
        self._remember_end(known._replace(started_at=start))
        self._leave_address(known)
        return entry.address, known.address

    def _list(self, entry: EndpointEntry) -> Collection[str]:
        """List a process, and return the addresses that this affects."""
        known = self.listed.get(entry.name)
        self.listed[entry.name] = entry
        if known is not None and known.started_at != entry.started_at:
            self.latest_start_at_move.pop(entry.name, None)
        if known is not None and known.address == entry.address:
            return () if known.started_at == entry.started_at else (entry.address,)
        if entry.address:
            self.names_at.setdefault(entry.address, []).append(entry.name)
        if known is None:
            return (entry.address,)
        if known.started_at != entry.started_at:
            self._remember_end(known)
        self._leave_address(known)
        return entry.address, known.address

    def _leave_address(self, entry: EndpointEntry) -> None:
        names = self.names_at.get(entry.address)
        if names is not None:
            names.remove(entry.name)
            if not names:
                del self.names_at[entry.address]

    def _affected(
        self, named: dict[str, EndpointEntry], changed_addresses: Iterable[str]
    ) -> Iterator[EndpointEntry]:
        """Yield the named processes, and the other listed ones at these addresses, each once."""
        names = dict.fromkeys(named)
        for address in changed_addresses:
            for name in self.names_at.get(address, ()):
                names[name] = None
        return (self.listed[name] for name in names)

    # Ended processes.

    def superseded_by(self, entry: EndpointEntry) -> EndpointEntry | None:
        """Return the last process that started at the entry's address after it, or None if the entry runs."""
        names = self.names_at.get(entry.address, ())
        ended = self.last_ended.get(entry.address)
        if len(names) <= 1 and ended is None:
            return None
        later = [self.listed[name] for name in names if self.listed[name].started_at > entry.started_at]
        if ended is not None and ended.name != entry.name:
            counted_from = self.latest_start_at_move.get(entry.name, NEVER)
            if ended.started_at > max(entry.started_at, counted_from):
                later.append(ended)
        return max(later, key=lambda other: other.started_at, default=None)

    def _remember_end(self, entry: EndpointEntry) -> None:
        if not entry.address:
            return
        last = self.last_ended.pop(entry.address, entry)
        self.last_ended[entry.address] = entry if entry.started_at >= last.started_at else last

    def _limit_memory(self) -> None:
        """Forget the earliest ends at addresses without a listed process.

        Those at other addresses are kept for as long as a process is listed there, which bounds them too.
        """
        while len(self.last_ended) > MAX_UNLISTED_ADDRESSES + len(self.names_at):
            address = next(iter(self.last_ended))
            ended = self.last_ended.pop(address)
            if address in self.names_at:
                self.last_ended[address] = ended


def latest_by_name(entries: Iterable[EndpointEntry]) -> Collection[EndpointEntry]:
    """Return one entry for each name: that of the process that started last, and of several the last one."""
    latest: dict[str, EndpointEntry] = {}
    for entry in entries:
        other = latest.get(entry.name)
        if other is None or entry.started_at >= other.started_at:
            latest[entry.name] = entry
    return latest.values()
