"""A connection to the counter: its states, transition table and record."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from granitedock.policy.types import CounterCall
from granitedock.service.transitions import Ignored, pairs
from granitedock.state_table import StateEnum

if TYPE_CHECKING:
    from granitedock.service.ports import CounterLinkPort


class CounterConnectionState(StateEnum):
    """The state of a connection to the counter."""

    CONNECTING = "connecting"
    OPEN = "open"
    RETIRED = "retired"  # Replaced by another connection; late totals still count.
    CLOSED = "closed"


class CounterConnectionEvent(StateEnum):
    """An event of a connection to the counter."""

    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    ADDRESS_CHANGED = "address changed"
    TIMED_OUT = "timed out"  # Calls wait, and no reply has arrived for too long.
    MALFORMED = "malformed"
    DRAINED = "drained"  # No call waits.
    LINGER_OVER = "linger over"  # Retired for too long, or there are too many retired connections.


_S = CounterConnectionState
_E = CounterConnectionEvent

COUNTER_CONNECTION = {
    (_S.CONNECTING, _E.CONNECTED): (_S.OPEN, "flush"),
    (_S.CONNECTING, _E.DISCONNECTED): (_S.CLOSED, "connection_failed"),
    (_S.CONNECTING, _E.ADDRESS_CHANGED): (_S.CLOSED, "reconnect_to_new_address"),
    (_S.OPEN, _E.TIMED_OUT): (_S.RETIRED, "replace"),
    (_S.OPEN, _E.ADDRESS_CHANGED): (_S.RETIRED, "replace"),
    (_S.OPEN, _E.DISCONNECTED): (_S.CLOSED, "reset"),
    (_S.OPEN, _E.MALFORMED): (_S.CLOSED, "abort_malformed"),
    (_S.RETIRED, _E.MALFORMED): (_S.CLOSED, "abort_malformed"),
    (_S.RETIRED, _E.DRAINED): (_S.CLOSED, "close_drained"),
    (_S.RETIRED, _E.LINGER_OVER): (_S.CLOSED, "abort_lingering"),
    (_S.RETIRED, _E.DISCONNECTED): (_S.CLOSED, "reset"),
    (_S.CLOSED, _E.CONNECTED): (_S.CLOSED, "abort"),
}

IGNORED: Ignored = {
    "the calls of a closed connection already have their outcomes": pairs(
        [_S.CLOSED], set(_E) - {_E.CONNECTED}
    ),
    "a connection is established once": pairs([_S.OPEN, _S.RETIRED], [_E.CONNECTED]),
    "no reply is expected before a connection is established": pairs(
        [_S.CONNECTING], [_E.TIMED_OUT, _E.MALFORMED, _E.DRAINED, _E.LINGER_OVER]
    ),
    "an active connection stays open with or without calls": pairs([_S.OPEN], [_E.DRAINED, _E.LINGER_OVER]),
    "a retired connection is already replaced": pairs([_S.RETIRED], [_E.TIMED_OUT, _E.ADDRESS_CHANGED]),
}


@dataclass(eq=False, slots=True)
class CounterConnection:
    """A connection to the counter, with the calls that wait for replies on it.

    None in `waiting` stands for a PING. Times are Unix ms.
    """

    number: int
    state: CounterConnectionState = CounterConnectionState.CONNECTING
    link: CounterLinkPort | None = None
    waiting: deque[CounterCall | None] = field(default_factory=deque)
    last_reply_at: float = 0.0  # Time of the last reply, or of the connect until then.
    waiting_since: float = 0.0  # When the first call after the connection was last drained was made.
    retired_at: float = 0.0
