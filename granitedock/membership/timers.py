"""The timers of the protocol, in the order in which those that expire at the same time fire."""

from __future__ import annotations

from enum import Enum

NEVER = float("inf")  # The expiry time of a stopped timer.
LONG_AGO = float("-inf")  # The last time of an event that has not occurred yet.


class Timer(Enum):
    """A timer of the protocol, named after what it starts."""

    PROBE = "probe"  # Probes the next member.
    PROBE_TIMEOUT = "probe timeout"  # The direct probe was not answered in time.
    CONNECTION_RETRY = "connection retry"  # Sends the second connection probes.
    GOSSIP = "gossip"  # Sends queued updates.
    SYNC = "sync"  # Sends a page of the member table.
    JOIN = "join"  # Contacts seeds and old addresses.
    REVIVE = "revive"  # Probes a member that is not live.
    MAINTENANCE = "maintenance"  # Removes members that ended long ago.

    # Valid because each member is a singleton. Enum's own hash costs a call in Python for each input.
    __hash__ = object.__hash__
