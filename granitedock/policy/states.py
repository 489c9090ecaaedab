"""States and events of the policy's state machines; each table is defined in the module that uses it."""

from __future__ import annotations

from granitedock.state_table import StateEnum


class RequestState(StateEnum):
    """The state of a request. A finished request has its answer, or its client has disconnected."""

    NEW = "new"
    CHECKING_QUOTA = "checking quota"
    CHOOSING_HOST = "choosing host"
    IN_FLIGHT = "in flight"
    RESPONDING = "responding"
    FINISHED = "finished"


class RequestEvent(StateEnum):
    """An event in the lifecycle of a request."""

    RECEIVED = "received"
    WITHIN_QUOTA = "within quota"
    OVER_QUOTA = "over quota"
    LATE_RETRY = "late retry"
    NO_TOTAL = "no total"
    SENT = "sent"
    NO_HOST = "no host"
    ANSWERED = "answered"
    LOST = "lost"
    OVERDUE = "overdue"
    RESPONSE_STARTED = "response started"
    CLIENT_GONE = "client gone"


class BreakerState(StateEnum):
    """The state of the circuit breaker; the value is written to the log."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class BreakerEvent(StateEnum):
    """An event of the circuit breaker."""

    FAILED = "failed"
    TRIPPED = "tripped"
    SUCCEEDED = "succeeded"
    QUARANTINE_OVER = "quarantine over"


class HostState(StateEnum):
    """The state of a host; the value is the word that operators see in `HOSTS`."""

    HEALTHY = "trusted"
    EJECTED = "aside"
    PROBATION = "on trial"


class HostEvent(StateEnum):
    """An event that changes the state of a host."""

    FAILED = "failed"
    TRIPPED = "tripped"
    ANSWERED = "answered"
    INCONCLUSIVE = "inconclusive"
    EJECTION_OVER = "ejection over"
