"""One connection to the counter: its states, its transition table and its record."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from granitedock.policy.types import CounterCall
from granitedock.service.transitions import Ignored, pairs

if TYPE_CHECKING:
    from granitedock.service.ports import CounterLinkPort


class CounterConnectionState(Enum):
    """The state of a connection to the counter."""

    CONNECTING = "connecting"
    OPEN = "open"
    RETIRED = "retired"  # another took its place; late totals still count
    CLOSED = "closed"

    __hash__ = object.__hash__  # Enum's own hashes the name, in Python, at each transition


class CounterConnectionEvent(Enum):
    """What happens to a connection to the counter."""

    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    ADDRESS_CHANGED = "address changed"
    TIMED_OUT = "timed out"  # calls wait, and no reply has come for too long
    MALFORMED = "malformed"
    DRAINED = "drained"  # no call waits any more
    LINGER_OVER = "linger over"  # retired for too long, or one of too many

    __hash__ = object.__hash__


_S = CounterConnectionState
_E = CounterConnectionEvent

COUNTER_CONNECTION = {
    (_S.CONNECTING, _E.CONNECTED): (_S.OPEN, "flush"),
    (_S.CONNECTING, _E.DISCONNECTED): (_S.CLOSED, "connection_failed"),
    (_S.CONNECTING, _E.ADDRESS_CHANGED): (_S.CLOSED, "connect_there"),
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
    "a closed connection has given its calls' outcomes": pairs([_S.CLOSED], set(_E) - {_E.CONNECTED}),
    "a connection comes up once": pairs([_S.OPEN, _S.RETIRED], [_E.CONNECTED]),
    "no reply is due before it is up": pairs(
        [_S.CONNECTING], [_E.TIMED_OUT, _E.MALFORMED, _E.DRAINED, _E.LINGER_OVER]
    ),
    "one in use stays, with or without calls": pairs([_S.OPEN], [_E.DRAINED, _E.LINGER_OVER]),
    "another has its place already": pairs([_S.RETIRED], [_E.TIMED_OUT, _E.ADDRESS_CHANGED]),
}


@dataclass(eq=False, slots=True)
class CounterConnection:
    """A connection to the counter, and the calls on it that wait for replies; None stands for a PING.

    Times are Unix ms.
    """

    number: int
    state: CounterConnectionState = CounterConnectionState.CONNECTING
    link: CounterLinkPort | None = None
    waiting: deque[CounterCall | None] = field(default_factory=deque)
    last_reply_at: float = 0.0  # or when it came up
    waiting_since: float = 0.0  # when the first call since it was last drained was made
    retired_at: float = 0.0
