"""The names of the moves in a world of gateways, as trace files contain them.

A move is (DUE, an event's key..., its outcome), (DELAY, an event's key...), (PASS_TIME,), (KILL, gateway),
(STOP, gateway), (DRAIN, host) or (REPLACE, host). An event's key is its kind, the number of its gateway, and
what distinguishes it from that gateway's other events. The key is the same on every path to a state.
"""

from __future__ import annotations

EventKey = tuple[str | int, ...]

# Moves.
DUE = "due"
DELAY = "late"
PASS_TIME = "time"
KILL = "kill"
STOP = "stop"
DRAIN = "drain"
REPLACE = "replace"

# Kinds of events, each with the rest of its key.
REQUEST = "ask"  # A client sends a request: the request's name.
HOST_CONNECT = "dial"  # A connection to a host opens or fails: the request's name, the attempt's number.
RESPONSE = "answer"  # A host responds: the request's name, the attempt's number.
COUNTER_CONNECT = "wire"  # A connection to the counter opens or fails: its number.
COUNTER_REPLY = "total"  # The counter replies: the call's number at its gateway.
ENDPOINT_UPDATE = "list"  # Discovery lists a host as draining: the host's number.
REPLACEMENT_UPDATE = "successor"  # Discovery lists the process at a replaced host's address: the form.

# The forms in which a gateway is told of the process at a replaced host's address.
AS_CHANGE = "change"  # A change that names the new process alone.
OLD_FIRST = "old first"  # A complete list that names the replaced host, and the new process behind it.
NEW_FIRST = "new first"  # A complete list with the new process in front.
NEWS = (AS_CHANGE, OLD_FIRST, NEW_FIRST)

# Outcomes of events.
RECEIVED = "asked"
CONNECTED = "up"
REFUSED = "refused"
CLOSED_EARLY = "half"  # The connection is established, and closes before the request is written in full.
VALUE = "value"
ERROR = "error"
OVERLOADED = "busy"
RESET = "reset"
TOTAL = "total"
REPLY_LOST = "lost"  # The counter adds the units, and the connection closes without a total.
NOTIFIED = "told"

# The outcomes of each kind of event: the usual outcome first, then those that cost a fault.
OUTCOMES: dict[str, tuple[str, ...]] = {
    REQUEST: (RECEIVED,),
    HOST_CONNECT: (CONNECTED, REFUSED, CLOSED_EARLY),
    RESPONSE: (VALUE, ERROR, OVERLOADED, RESET),
    COUNTER_REPLY: (TOTAL, OVERLOADED, REPLY_LOST),
    COUNTER_CONNECT: (CONNECTED, REFUSED),
    ENDPOINT_UPDATE: (NOTIFIED,),
    REPLACEMENT_UPDATE: (NOTIFIED,),
}

# States of an attempt without an outcome from its host; replays print them.
IN_FLIGHT = "out"
CANCELLED = "withdrawn"

# Kinds of answers to a client; replays print them.
DONE = "done"
REJECTED = "deferred"
FAILED = "errored"


def usual_outcome(event: EventKey) -> str:
    """Return the outcome that costs no fault."""
    return outcomes_of(event)[0]


def outcomes_of(event: EventKey) -> tuple[str, ...]:
    """Return all possible outcomes of an event, the usual outcome first."""
    return OUTCOMES[str(event[0])]
