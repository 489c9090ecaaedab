"""One connection to a host: its states, its transition table and its record; and the endpoint it leads to."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from granitedock.policy.types import Attempt, Host
from granitedock.service.transitions import Ignored, pairs

if TYPE_CHECKING:
    from granitedock.service.ports import HostLinkPort
    from granitedock.service.timers import Timer


class HostConnectionState(Enum):
    """The state of a connection to a host."""

    CONNECTING = "connecting"
    WRITING = "writing"  # an attempt's request is not written whole
    WAITING = "waiting"  # it is, and its response has not come
    IDLE = "idle"
    CLOSED = "closed"

    __hash__ = object.__hash__  # Enum's own hashes the name, in Python, at each transition


class HostConnectionEvent(Enum):
    """What happens to a connection to a host."""

    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    DEADLINE = "deadline"  # of the attempt
    NO_CAPACITY = "no capacity"  # of ours for one more connection
    CANCELLED = "cancelled"  # the attempt, by the policy
    WRITTEN = "written"
    STALE = "stale"  # something came since its last response, before the next request was written
    RESPONSE = "response"
    EXCESS_DATA = "excess data"  # a response, and more behind it
    RESPONSE_STARTED = "response started"
    MALFORMED = "malformed"
    ABANDONED = "abandoned"  # the attempt was not wanted any more as it was to be written
    ASSIGNED = "assigned"  # an attempt takes a kept connection
    EXPIRED = "expired"  # idle for too long, or not trusted any more

    __hash__ = object.__hash__


_S = HostConnectionState
_E = HostConnectionEvent

HOST_CONNECTION = {
    (_S.CONNECTING, _E.CONNECTED): (_S.WRITING, "write_request"),
    (_S.CONNECTING, _E.DISCONNECTED): (_S.CLOSED, "connection_failed"),
    (_S.CONNECTING, _E.DEADLINE): (_S.CLOSED, "abandon"),
    (_S.CONNECTING, _E.NO_CAPACITY): (_S.CLOSED, "abandon"),
    (_S.CONNECTING, _E.CANCELLED): (_S.CLOSED, "connection_failed"),
    (_S.WRITING, _E.WRITTEN): (_S.WAITING, None),
    (_S.WRITING, _E.STALE): (_S.CLOSED, "connect_anew"),  # nothing of the request was written
    (_S.WRITING, _E.RESPONSE): (_S.CLOSED, "abort"),  # before all of the request, so it never ran
    (_S.WRITING, _E.EXCESS_DATA): (_S.CLOSED, "abort"),
    (_S.WRITING, _E.MALFORMED): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.DISCONNECTED): (_S.CLOSED, "connection_failed"),
    (_S.WRITING, _E.DEADLINE): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.CANCELLED): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.ABANDONED): (_S.CLOSED, "abort_abandoned"),  # not a byte of it was written
    (_S.WAITING, _E.RESPONSE): (_S.IDLE, "keep"),
    (_S.WAITING, _E.EXCESS_DATA): (_S.CLOSED, "abort"),
    (_S.WAITING, _E.MALFORMED): (_S.CLOSED, "abort_as_reset"),
    (_S.WAITING, _E.DISCONNECTED): (_S.CLOSED, "reset"),
    (_S.WAITING, _E.DEADLINE): (_S.CLOSED, "time_out"),
    (_S.WAITING, _E.CANCELLED): (_S.CLOSED, "cancel_waiting"),
    (_S.IDLE, _E.ASSIGNED): (_S.WRITING, "write_request"),
    (_S.IDLE, _E.RESPONSE): (_S.CLOSED, "drop_idle"),  # nothing was asked of it
    (_S.IDLE, _E.EXCESS_DATA): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.RESPONSE_STARTED): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.MALFORMED): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.EXPIRED): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.DISCONNECTED): (_S.CLOSED, "remove_idle"),
    (_S.CLOSED, _E.CONNECTED): (_S.CLOSED, "abort"),
}

IGNORED: Ignored = {
    "a closed connection has given its attempt's outcome": pairs([_S.CLOSED], set(_E) - {_E.CONNECTED}),
    "a connection comes up once": pairs([_S.WRITING, _S.WAITING, _S.IDLE], [_E.CONNECTED]),
    "nothing comes of a connection, or is written to it, before it is up": pairs(
        [_S.CONNECTING],
        [_E.WRITTEN, _E.STALE, _E.RESPONSE, _E.EXCESS_DATA, _E.RESPONSE_STARTED, _E.MALFORMED],
    ),
    "only a connection that comes up is asked whether its attempt is still wanted": pairs(
        [_S.CONNECTING, _S.WAITING, _S.IDLE], [_E.ABANDONED]
    ),
    "a response that has begun has its own timer": pairs([_S.WRITING, _S.WAITING], [_E.RESPONSE_STARTED]),
    "capacity is looked for before a connection is made": pairs(
        [_S.WRITING, _S.WAITING, _S.IDLE], [_E.NO_CAPACITY]
    ),
    "its request is written whole": pairs([_S.WAITING, _S.IDLE], [_E.WRITTEN, _E.STALE]),
    "only idle connections are assigned or expire": pairs(
        [_S.CONNECTING, _S.WRITING, _S.WAITING], [_E.ASSIGNED, _E.EXPIRED]
    ),
    "an idle connection has no attempt": pairs([_S.IDLE], [_E.DEADLINE, _E.CANCELLED]),
}


@dataclass(eq=False, slots=True)
class Endpoint(Host):
    """A host with its address and the connections that are idle there, the longest idle first."""

    address: str = ""  # written by the endpoint list
    idle: list[HostConnection] = field(default_factory=list)  # written by the pool


@dataclass(eq=False, slots=True)
class HostConnection:
    """A connection to a host. Times are Unix ms."""

    endpoint: Endpoint
    state: HostConnectionState
    attempt: Attempt | None
    attempt_deadline: float
    link: HostLinkPort | None = None
    idle_since: float = 0.0  # written by the pool
    deadline_timer: Timer | None = None
    reused: bool = False  # it has carried an attempt before
