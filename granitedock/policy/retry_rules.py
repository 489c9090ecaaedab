"""What a request that may have run is still allowed: another attempt, or a rejection that invites a repeat.

Only what the request class permits: idempotent requests are repeated freely, keyed ones only at hosts that
drop the repeat and in time, others never. A request that provably never ran is allowed both.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from granitedock.policy.types import Attempt, Host, Idempotency, IdempotencyScope, Outcome, Request

NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.CONNECTION_FAILED, Outcome.ABANDONED})


class Right(Enum):
    """When a repeat is allowed."""

    ALWAYS = "always"
    IN_SCOPE = "in its window, at a host of its idempotency scope"
    IF_SCOPE_IS_ALL = "in its window, where every host drops repeats"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class RepeatRights:
    """What a request that may have run is allowed."""

    retry: Right
    rejection: Right


REPEAT_RIGHTS = {
    Idempotency.IDEMPOTENT: RepeatRights(retry=Right.ALWAYS, rejection=Right.ALWAYS),
    Idempotency.KEYED: RepeatRights(retry=Right.IN_SCOPE, rejection=Right.IF_SCOPE_IS_ALL),
    Idempotency.NON_IDEMPOTENT: RepeatRights(retry=Right.NEVER, rejection=Right.NEVER),
}


def possible_execution(request: Request) -> Attempt | None:
    """The first attempt that may have run."""
    for attempt in request.attempts:
        if attempt.outcome not in NEVER_RAN:
            return attempt
    return None


def retry_right(request: Request) -> Right:
    """When another attempt is allowed, if one may have run."""
    return REPEAT_RIGHTS[request.request_class.idempotency].retry


def within_window(request: Request, execution: Attempt, now: float) -> bool:
    """Whether hosts still know the request's idempotency key from that attempt."""
    return now - execution.sent_at < request.request_class.idempotency_window_ms


def retry_hosts(request: Request, execution: Attempt, hosts: list[Host], now: float) -> list[Host]:
    """Those of the hosts that may get the request again, as `execution` may have run."""
    right = retry_right(request)
    if right is Right.ALWAYS:
        return hosts
    if right is Right.NEVER or not within_window(request, execution, now):
        return []
    scope = request.request_class.idempotency_scope
    if scope is IdempotencyScope.ZONE:
        return [host for host in hosts if host.zone == execution.host.zone]
    if scope is IdempotencyScope.CELL:
        return [host for host in hosts if host.cell == execution.host.cell]
    return hosts


def may_reject(request: Request, now: float) -> bool:
    """Whether its client may be asked to try again; else the answer is an error."""
    execution = possible_execution(request)
    if execution is None:
        return True
    right = REPEAT_RIGHTS[request.request_class.idempotency].rejection
    if right is Right.IF_SCOPE_IS_ALL:
        everywhere = request.request_class.idempotency_scope is IdempotencyScope.ALL
        return everywhere and within_window(request, execution, now)
    return right is Right.ALWAYS
