"""The timers of the protocol, in the order in which those due at one moment fire."""

from __future__ import annotations

from enum import Enum

NEVER = float("inf")  # when a stopped timer is due
LONG_AGO = float("-inf")  # when something last happened that has not happened yet


class Timer(Enum):
    """What is to be done when it fires."""

    PROBE = "probe"  # probe the next member
    PROBE_TIMEOUT = "probe timeout"  # the direct probe was not answered in time
    CONNECTION_RETRY = "connection retry"  # the second connection probes
    GOSSIP = "gossip"
    SYNC = "sync"  # send a page of the member table
    JOIN = "join"  # try seeds and old addresses
    REVIVE = "revive"  # probe a member that is not live
    MAINTENANCE = "maintenance"  # remove members that ended long ago

    __hash__ = object.__hash__  # members are single; Enum's own hash is a call in Python for each input
