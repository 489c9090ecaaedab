"""The words of the moves in a world of gateways, as trace files hold them.

A move is (DUE, an event's key..., its outcome), (DELAY, an event's key...), (PASS_TIME,), (KILL, gateway),
(STOP, gateway) or (DRAIN, host). An event's key is its kind, the number of the gateway that it comes to, and
what tells it from others there, which is the same by every way to a state.
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

# Kinds of events, with the rest of their keys.
REQUEST = "ask"  # a client's request comes: the request's name
HOST_CONNECT = "dial"  # a connection to a host comes up or not: the request's name, the attempt's number
RESPONSE = "answer"  # a host answers: the request's name, the attempt's number
COUNTER_CONNECT = "wire"  # a connection to the counter comes up or not: its number
COUNTER_REPLY = "total"  # the counter answers: the call's number at its gateway
ENDPOINT_UPDATE = "list"  # discovery says that a host drains: the host's number

# Outcomes of events.
RECEIVED = "asked"
CONNECTED = "up"
REFUSED = "refused"
CLOSED_EARLY = "half"  # it comes up, and ends before the request's last byte is written
VALUE = "value"
ERROR = "error"
OVERLOADED = "busy"
RESET = "reset"
TOTAL = "total"
REPLY_LOST = "lost"  # added, and the connection ends with no total
NOTIFIED = "told"

# By kind of event: the ordinary outcome first, then those that cost a fault.
OUTCOMES: dict[str, tuple[str, ...]] = {
    REQUEST: (RECEIVED,),
    HOST_CONNECT: (CONNECTED, REFUSED, CLOSED_EARLY),
    RESPONSE: (VALUE, ERROR, OVERLOADED, RESET),
    COUNTER_REPLY: (TOTAL, OVERLOADED, REPLY_LOST),
    COUNTER_CONNECT: (CONNECTED, REFUSED),
    ENDPOINT_UPDATE: (NOTIFIED,),
}

# How an attempt stands that has no outcome of its host; replays print these.
IN_FLIGHT = "out"
CANCELLED = "withdrawn"

# What a client was answered; replays print these.
DONE = "done"
REJECTED = "deferred"
FAILED = "errored"


def usual_outcome(event: EventKey) -> str:
    """The outcome that costs no fault."""
    return outcomes_of(event)[0]


def outcomes_of(event: EventKey) -> tuple[str, ...]:
    """All that may come of an event, the usual outcome first."""
    return OUTCOMES[str(event[0])]
