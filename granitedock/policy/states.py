"""States and events of the policy's state machines; the tables stand beside what they rule."""

from __future__ import annotations

from granitedock.state_table import StateEnum


class RequestState(StateEnum):
    """Where a request stands. A finished one has its answer, or a client that is gone."""

    NEW = "new"
    CHECKING_QUOTA = "checking quota"
    CHOOSING_HOST = "choosing host"
    IN_FLIGHT = "in flight"
    RESPONDING = "responding"
    FINISHED = "finished"


class RequestEvent(StateEnum):
    """What happens to a request."""

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
    """The value is the word in the log."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class BreakerEvent(StateEnum):
    """What happens to the breaker."""

    FAILED = "failed"
    TRIPPED = "tripped"
    SUCCEEDED = "succeeded"
    QUARANTINE_OVER = "quarantine over"


class HostState(StateEnum):
    """The value is the word that operators are shown (`HOSTS`)."""

    HEALTHY = "trusted"
    EJECTED = "aside"
    PROBATION = "on trial"


class HostEvent(StateEnum):
    """What happens to a host."""

    FAILED = "failed"
    TRIPPED = "tripped"
    ANSWERED = "answered"
    INCONCLUSIVE = "inconclusive"
    EJECTION_OVER = "ejection over"
