"""The inputs of a gateway's state machine: all that may happen to it, named once.

Protocols, timers and signals hand these to `GatewayStateMachine.handle`, each with the arguments of its
handler (`granitedock.service.dispatcher`).
"""

from __future__ import annotations

from enum import Enum


class Input(Enum):
    """What happened. The value is how the event log names it."""

    START = "start"
    LIFECYCLE = "lifecycle"  # a signal to the process, or one of its own deadlines
    MAINTENANCE = "maintenance"  # the periodic work
    ADDRESSES_CHANGED = "addresses changed"  # the platform file names another counter or discovery
    POLICY_TIMER_FIRED = "policy timer fired"

    CLIENT_CONNECTED = "client connected"
    CLIENT_DISCONNECTED = "client disconnected"
    CLIENT_SILENT = "client silent"  # looked at for room: it has sent nothing, and nothing lies unread
    CLIENT_IDLE = "client idle"  # idle for too long, and nothing lies unread
    CLIENT_SHUTDOWN = "client shutdown"  # the process shuts, and nothing lies unread
    CLIENT_LIMIT_CHECK = "client limit check"
    CLIENT_WRITE_CLOSED = "client write closed"
    CLIENT_WRITE_PAUSED = "client write paused"
    CLIENT_WRITE_RESUMED = "client write resumed"
    CLIENT_MALFORMED = "client malformed"
    COMMAND_RECEIVED = "command received"
    REQUEST_RECEIVED = "request received"
    REQUEST_WATCHDOG = "request watchdog"

    HOST_CONNECTED = "host connected"
    HOST_DISCONNECTED = "host disconnected"
    HOST_REQUEST_WRITTEN = "host request written"
    HOST_RESPONSE_STARTED = "host response started"
    HOST_RESPONSE_STALLED = "host response stalled"
    HOST_RESPONSE = "host response"
    HOST_MALFORMED = "host malformed"
    HOST_STALE = "host stale"
    ATTEMPT_DEADLINE = "attempt deadline"

    COUNTER_CONNECTED = "counter connected"
    COUNTER_DISCONNECTED = "counter disconnected"
    COUNTER_REPLY_STARTED = "counter reply started"
    COUNTER_REPLY_STALLED = "counter reply stalled"
    COUNTER_REPLY = "counter reply"
    COUNTER_MALFORMED = "counter malformed"
    COUNTER_RECONNECT = "counter reconnect"
    COUNTER_CALLS = "counter calls"  # that no request asked for

    WATCH_CONNECTED = "watch connected"
    WATCH_DISCONNECTED = "watch disconnected"
    WATCH_LIST_STARTED = "watch list started"
    WATCH_MALFORMED = "watch malformed"
    WATCH_RECONNECT = "watch reconnect"
    ENDPOINTS_RECEIVED = "endpoints received"
    NEWER_ENDPOINTS_ELSEWHERE = "newer endpoints elsewhere"

    __hash__ = object.__hash__  # Enum's own hashes the name, in Python, at each dispatch
