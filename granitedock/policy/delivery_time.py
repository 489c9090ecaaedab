"""How a long request's time is divided between its delivery to a host and the host's work.

A host counts the time that it is told from the last byte of the request, which a host that reads slowly gets
long after the first. What is told is part of the first bytes and cannot be corrected later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from granitedock.policy.types import Request

# A request of at most so many bytes leaves in one segment and arrives as a whole.
SHORT_REQUEST_BYTES = 1400
# Of the time that the client has left, the share that a host is told for a long request.
WORK_SHARE = 0.5


def told_time_ms(request: Request, attempt_deadline: float, now: float) -> float:
    """Return the time in ms to tell a host with a long request, at most that until the attempt's deadline.

    A host that has the last byte by `deliver_before` is told no more than its client has left.
    """
    return min(attempt_deadline - now, WORK_SHARE * (request.deadline - now))


def deliver_before(request: Request, told_ms: float) -> float:
    """Return the latest time, in Unix ms, at which a host that was told `told_ms` may get the last byte."""
    return request.deadline - told_ms
