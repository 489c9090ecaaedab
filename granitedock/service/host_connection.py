"""A connection to a host: its states, transition table and record, and the endpoint it leads to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from granitedock.policy.types import Attempt, Host
from granitedock.service.transitions import Ignored, pairs
from granitedock.state_table import StateEnum

if TYPE_CHECKING:
    from granitedock.policy.types import EndpointEntry
    from granitedock.service.ports import HostLinkPort
    from granitedock.service.timers import Timer


class HostConnectionState(StateEnum):
    """The state of a connection to a host."""

    CONNECTING = "connecting"
    WRITING = "writing"  # The request of an attempt is not written completely.
    WAITING = "waiting"  # The request is written, and its response has not arrived.
    IDLE = "idle"
    CLOSED = "closed"


class HostConnectionEvent(StateEnum):
    """An event of a connection to a host."""

    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    DEADLINE = "deadline"  # The deadline of the attempt passes.
    NO_CAPACITY = "no capacity"  # This gateway may open no further connection to a host.
    CANCELLED = "cancelled"  # The policy cancels the attempt.
    WRITTEN = "written"
    STALE = "stale"  # Bytes have arrived since the last response, before the next request was written.
    RESPONSE = "response"
    EXCESS_DATA = "excess data"  # A response arrives with further bytes behind it.
    RESPONSE_STARTED = "response started"
    MALFORMED = "malformed"
    ABANDONED = "abandoned"  # The attempt is no longer needed when its request would be written.
    OVERDUE = "overdue"  # Not delivered by the attempt's `deliver_before`, or in the host's drain grace.
    NOT_NEEDED = "not needed"  # The attempt is not delivered when its request needs no answer any more.
    ASSIGNED = "assigned"  # An attempt reuses an idle connection.
    EXPIRED = "expired"  # The connection was idle for too long, makes room for another, or is not trusted.


_S = HostConnectionState
_E = HostConnectionEvent

HOST_CONNECTION = {
    (_S.CONNECTING, _E.CONNECTED): (_S.WRITING, "write_request"),
    (_S.CONNECTING, _E.DISCONNECTED): (_S.CLOSED, "connection_failed"),
    (_S.CONNECTING, _E.DEADLINE): (_S.CLOSED, "abandon"),
    (_S.CONNECTING, _E.NO_CAPACITY): (_S.CLOSED, "abandon"),
    (_S.CONNECTING, _E.CANCELLED): (_S.CLOSED, "connection_failed"),
    (_S.WRITING, _E.WRITTEN): (_S.WAITING, None),
    (_S.WRITING, _E.STALE): (_S.CLOSED, "reconnect"),  # No byte of the request was written.
    (_S.WRITING, _E.RESPONSE): (_S.CLOSED, "abort"),  # The request is incomplete, so it never ran.
    (_S.WRITING, _E.EXCESS_DATA): (_S.CLOSED, "abort"),
    (_S.WRITING, _E.MALFORMED): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.DISCONNECTED): (_S.CLOSED, "connection_failed"),
    (_S.WRITING, _E.DEADLINE): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.CANCELLED): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.OVERDUE): (_S.CLOSED, "abort_unwritten"),
    (_S.WRITING, _E.NOT_NEEDED): (_S.CLOSED, "abort_not_needed"),
    (_S.WRITING, _E.ABANDONED): (_S.CLOSED, "abort_abandoned"),  # No byte of the request was written.
    (_S.WAITING, _E.RESPONSE): (_S.IDLE, "return_to_pool"),
    (_S.WAITING, _E.EXCESS_DATA): (_S.CLOSED, "abort"),
    (_S.WAITING, _E.MALFORMED): (_S.CLOSED, "abort_as_reset"),
    (_S.WAITING, _E.DISCONNECTED): (_S.CLOSED, "reset"),
    (_S.WAITING, _E.DEADLINE): (_S.CLOSED, "time_out"),
    (_S.WAITING, _E.OVERDUE): (_S.CLOSED, "time_out"),
    (_S.WAITING, _E.NOT_NEEDED): (_S.CLOSED, "abort_not_needed"),
    (_S.WAITING, _E.CANCELLED): (_S.CLOSED, "cancel_waiting"),
    (_S.IDLE, _E.ASSIGNED): (_S.WRITING, "write_request"),
    (_S.IDLE, _E.RESPONSE): (_S.CLOSED, "drop_idle"),  # No request is in flight on it.
    (_S.IDLE, _E.EXCESS_DATA): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.RESPONSE_STARTED): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.MALFORMED): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.EXPIRED): (_S.CLOSED, "drop_idle"),
    (_S.IDLE, _E.DISCONNECTED): (_S.CLOSED, "remove_idle"),
    (_S.CLOSED, _E.CONNECTED): (_S.CLOSED, "abort"),
}

IGNORED: Ignored = {
    "the attempt of a closed connection already has its outcome": pairs(
        [_S.CLOSED], set(_E) - {_E.CONNECTED}
    ),
    "a connection is established once": pairs([_S.WRITING, _S.WAITING, _S.IDLE], [_E.CONNECTED]),
    "no byte is read or written before a connection is established": pairs(
        [_S.CONNECTING],
        [
            _E.WRITTEN,
            _E.STALE,
            _E.RESPONSE,
            _E.EXCESS_DATA,
            _E.RESPONSE_STARTED,
            _E.MALFORMED,
            _E.OVERDUE,
            _E.NOT_NEEDED,
        ],
    ),
    "an attempt is abandoned only when its request is about to be written": pairs(
        [_S.CONNECTING, _S.WAITING, _S.IDLE], [_E.ABANDONED]
    ),
    "a response that has started has its own timer": pairs([_S.WRITING, _S.WAITING], [_E.RESPONSE_STARTED]),
    "capacity is checked before a connection is opened": pairs(
        [_S.WRITING, _S.WAITING, _S.IDLE], [_E.NO_CAPACITY]
    ),
    "the request is already written completely": pairs([_S.WAITING, _S.IDLE], [_E.WRITTEN, _E.STALE]),
    "only idle connections are assigned or expire": pairs(
        [_S.CONNECTING, _S.WRITING, _S.WAITING], [_E.ASSIGNED, _E.EXPIRED]
    ),
    "an idle connection has no attempt": pairs(
        [_S.IDLE], [_E.DEADLINE, _E.CANCELLED, _E.OVERDUE, _E.NOT_NEEDED]
    ),
}


@dataclass(eq=False, slots=True, weakref_slot=True)
class Endpoint(Host):
    """One process of a host, at one address, with its idle connections, longest idle first.

    After a restart, or at another address, the host is another endpoint: connections lead to one process.
    """

    address: str = ""
    idle: list[HostConnection] = field(default_factory=list)  # Written by the pool.

    def is_process(self, entry: EndpointEntry) -> bool:
        """Return whether an entry of the endpoint list describes the process that this endpoint is."""
        return self.address == entry.address and self.started_at == entry.started_at


@dataclass(eq=False, slots=True)
class HostConnection:
    """A connection to a host. Times are Unix ms."""

    endpoint: Endpoint
    state: HostConnectionState
    attempt: Attempt | None
    attempt_deadline: float
    link: HostLinkPort | None = None
    idle_since: float = 0.0  # Written by the pool.
    deadline_timer: Timer | None = None
    reused: bool = False  # The connection has carried an earlier attempt.
