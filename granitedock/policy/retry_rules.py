"""What is still allowed for a request that may have run: a retry, or a rejection that invites a repeat.

The request class decides: idempotent requests may be repeated at any time and host, keyed ones only within
the idempotency window and at hosts that drop the repeat, and non-idempotent ones never. A request that
provably never ran is allowed both.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from granitedock.policy.types import Attempt, Host, Idempotency, IdempotencyScope, Outcome, Request

# Outcomes that prove that the host did not run the request, or that the counter did not add the units.
NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.CONNECTION_FAILED, Outcome.ABANDONED})


class RepeatCondition(Enum):
    """The condition on which a request may be repeated."""

    ALWAYS = "always"
    IN_SCOPE = "within the idempotency window, at a host of the idempotency scope"
    IF_SCOPE_IS_ALL = "within the idempotency window, where every host drops repeats"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class RepeatRules:
    """The conditions for a retry, and for a rejection, of a request that may have run."""

    retry: RepeatCondition
    rejection: RepeatCondition


REPEAT_RULES = {
    Idempotency.IDEMPOTENT: RepeatRules(retry=RepeatCondition.ALWAYS, rejection=RepeatCondition.ALWAYS),
    Idempotency.KEYED: RepeatRules(retry=RepeatCondition.IN_SCOPE, rejection=RepeatCondition.IF_SCOPE_IS_ALL),
    Idempotency.NON_IDEMPOTENT: RepeatRules(retry=RepeatCondition.NEVER, rejection=RepeatCondition.NEVER),
}


def first_possible_execution(request: Request) -> Attempt | None:
    """Return the first attempt that may have run, or None if the request provably never ran."""
    for attempt in request.attempts:
        if attempt.outcome not in NEVER_RAN:
            return attempt
    return None


def possible_executors(request: Request) -> Iterator[Host]:
    """Yield each process that may have run the request.

    An attempt at a process that had ended, unknown to this gateway, may have reached its successor at the
    address, which may belong to another zone or cell.
    """
    for attempt in request.attempts:
        if attempt.outcome in NEVER_RAN:
            continue
        host: Host | None = attempt.host
        while host is not None:
            yield host
            host = host.successor


def retry_condition(request: Request) -> RepeatCondition:
    """Return the condition for a retry after an attempt that may have run."""
    return REPEAT_RULES[request.request_class.idempotency].retry


def within_idempotency_window(request: Request, execution: Attempt, now: float) -> bool:
    """Return whether hosts still remember the request's idempotency key from that attempt."""
    return now - execution.sent_at < request.request_class.idempotency_window_ms


def retry_hosts(request: Request, execution: Attempt, hosts: list[Host], now: float) -> list[Host]:
    """Return those of the hosts that may receive the request again after `execution`, which may have run.

    Within a zone or cell these are the hosts that drop the repeat wherever the request has run.
    """
    condition = retry_condition(request)
    if condition is RepeatCondition.ALWAYS:
        return hosts
    if condition is RepeatCondition.NEVER or not within_idempotency_window(request, execution, now):
        return []
    scope = request.request_class.idempotency_scope
    if scope is IdempotencyScope.ZONE:
        zones = {executor.zone for executor in possible_executors(request)}
        return [host for host in hosts if zones == {host.zone}]
    if scope is IdempotencyScope.CELL:
        cells = {executor.cell for executor in possible_executors(request)}
        return [host for host in hosts if cells == {host.cell}]
    return hosts


def may_invite_repeat(request: Request, now: float) -> bool:
    """Return whether a rejection may invite the client to repeat the request; else the answer is an error."""
    execution = first_possible_execution(request)
    if execution is None:
        return True
    condition = REPEAT_RULES[request.request_class.idempotency].rejection
    if condition is RepeatCondition.IF_SCOPE_IS_ALL:
        scope_is_all = request.request_class.idempotency_scope is IdempotencyScope.ALL
        return scope_is_all and within_idempotency_window(request, execution, now)
    return condition is RepeatCondition.ALWAYS
