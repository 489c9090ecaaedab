"""The kinds of input to a gateway's state machine.

Protocols, timers and signals pass inputs to `GatewayStateMachine.handle`, each with the arguments of its
handler (`granitedock.service.dispatcher`).
"""

from __future__ import annotations

from granitedock.state_table import StateEnum


class Input(StateEnum):
    """The kind of an input. The event log shows the value."""

    START = "start"
    LIFECYCLE = "lifecycle"  # A signal to the process or one of its deadlines.
    MAINTENANCE = "maintenance"  # Time for the periodic maintenance.
    ADDRESSES_CHANGED = "addresses changed"  # The platform file has another counter or discovery address.
    POLICY_TIMER_FIRED = "policy timer fired"

    CLIENT_RESET_IN_BACKLOG = "client reset in backlog"  # Before its connection was accepted.
    CLIENT_CONNECTED = "client connected"
    CLIENT_DISCONNECTED = "client disconnected"
    CLIENT_SILENT = "client silent"  # A candidate for eviction has sent no request and has no unread bytes.
    CLIENT_IDLE = "client idle"  # The idle timeout has passed and there are no unread bytes.
    CLIENT_SHUTDOWN = "client shutdown"  # The process shuts down and there are no unread bytes.
    CLIENT_LIMIT_CHECK = "client limit check"
    CLIENT_WRITE_CLOSED = "client write closed"
    CLIENT_WRITE_PAUSED = "client write paused"
    CLIENT_WRITE_RESUMED = "client write resumed"
    CLIENT_MALFORMED = "client malformed"
    COMMAND_RECEIVED = "command received"
    COMMAND_SHED = "command shed"  # Its contents were dropped for want of memory.
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
    DRAIN_GRACE_OVER = "drain grace over"  # Requests in flight to a draining host must have reached it.

    COUNTER_CONNECTED = "counter connected"
    COUNTER_DISCONNECTED = "counter disconnected"
    COUNTER_REPLY_STARTED = "counter reply started"
    COUNTER_REPLY_STALLED = "counter reply stalled"
    COUNTER_REPLY = "counter reply"
    COUNTER_MALFORMED = "counter malformed"
    COUNTER_RECONNECT = "counter reconnect"
    COUNTER_CALLS = "counter calls"  # Calls without a request, for presence at the counter.

    WATCH_CONNECTED = "watch connected"
    WATCH_DISCONNECTED = "watch disconnected"
    WATCH_LIST_STARTED = "watch list started"
    WATCH_MALFORMED = "watch malformed"
    WATCH_RECONNECT = "watch reconnect"
    ENDPOINTS_RECEIVED = "endpoints received"
    NEWER_ENDPOINTS_ELSEWHERE = "newer endpoints elsewhere"
