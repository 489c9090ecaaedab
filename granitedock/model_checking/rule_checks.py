"""The rules of a world of gateways, checked against what clients read and what hosts received."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from granitedock.lab.load.rule_checks import CEILING_SLACK_S, GRACE_S, SLACK_S
from granitedock.model_checking import gateway_moves as move_names
from granitedock.model_checking.gateway_world_shape import (
    CEILING,
    CEILING_PLAN,
    DEADLINE_MS,
    IDEMPOTENCY_WINDOW_MS,
    START_MS,
)
from granitedock.model_checking.modelled_request import ModelledRequest
from granitedock.policy.types import Idempotency

MS_PER_S = 1000


class RuleChecks:
    """The violations so far, a line each. Times are Unix ms."""

    def __init__(self) -> None:
        self.violations: list[str] = []

    def before_attempt(
        self, now: float, name: str, request: ModelledRequest, host: int, draining_since: float | None
    ) -> None:
        """Check rules 1, 2 and 3 before an attempt is recorded as sent to a host.

        `draining_since` is the time at which the gateway was notified that the host drains, if it was.
        """
        if request.answers:
            self.violations.append(f"rule 1: {name} was sent to h{host} after its answer")
        self._check_repeat(now, name, request)
        if draining_since is not None and now > draining_since + MS_PER_S * (GRACE_S + SLACK_S):
            self.violations.append(f"rule 3: {name} was sent to h{host}, which drains")

    def _check_repeat(self, now: float, name: str, request: ModelledRequest) -> None:
        """Check rule 2 before another attempt of the request."""
        for attempt in request.attempts.values():
            if attempt.ended_at is None:
                self.violations.append(f"rule 2: {name} is out at h{attempt.host} already")
            if not attempt.may_have_run() or request.idempotency is Idempotency.IDEMPOTENT:
                continue
            if (
                request.idempotency is Idempotency.NON_IDEMPOTENT
                or now > attempt.sent_at + IDEMPOTENCY_WINDOW_MS + MS_PER_S * SLACK_S
            ):
                self.violations.append(
                    f"rule 2: {name} ({request.request_class}) may have run at h{attempt.host}"
                )

    def before_attempt_at_replaced(self, name: str, host: int) -> None:
        """Record an attempt at a host by a gateway that has been told of its successor at the address."""
        self.violations.append(f"rule 2: {name} was sent to h{host}, whose address has a later process")

    def before_attempt_in_cell(self, name: str, request: ModelledRequest, cell: int) -> None:
        """Check rule 2 before an attempt that a process of this cell receives, where cells drop repeats."""
        if request.idempotency is not Idempotency.KEYED:
            return
        for attempt in request.attempts.values():
            if attempt.may_have_run() and attempt.cell != cell:
                self.violations.append(f"rule 2: {name} may have run in cell {attempt.cell}, not {cell}")

    def after_attempt(self, requests: Iterable[ModelledRequest]) -> None:
        """Check rule 5 for the first attempts of the customer under a ceiling, over all gateways."""
        capacity = CEILING.burst + CEILING.slack + CEILING.rate * CEILING_SLACK_S
        level = capacity
        last_sent_at = START_MS
        limited = [request for request in requests if request.plan == CEILING_PLAN and request.attempts]
        first_sent = sorted(
            min(attempt.sent_at for attempt in request.attempts.values()) for request in limited
        )
        for sent_at in first_sent:
            level = min(capacity, level + CEILING.rate * (sent_at - last_sent_at) / 1000.0) - 1.0
            last_sent_at = sent_at
            if level < 0:
                self.violations.append(f"rule 5: over the ceiling by {-level:.2f} units")

    def after_answer(self, now: float, name: str, request: ModelledRequest, kind: str) -> None:
        """Check rules 1 and 2 after a client has read an answer."""
        if len(request.answers) > 1:
            self.violations.append(f"rule 1: {name} was answered {len(request.answers)} times")
        if now > request.sent_at + DEADLINE_MS + MS_PER_S * SLACK_S:
            self.violations.append(f"rule 1: {name} was answered late")
        possible_runs = [attempt for attempt in request.attempts.values() if attempt.may_have_run()]
        if kind != move_names.REJECTED or not possible_runs:
            return
        elapsed_ms = now - possible_runs[0].sent_at
        if request.idempotency is Idempotency.NON_IDEMPOTENT or (
            request.idempotency is Idempotency.KEYED
            and elapsed_ms > IDEMPOTENCY_WINDOW_MS + MS_PER_S * SLACK_S
        ):
            self.violations.append(f"rule 2: {name} ({request.request_class}) may have run and was deferred")


def unanswered_requests(requests: Mapping[str, ModelledRequest]) -> list[str]:
    """Return rule 1's violations in an end state: unanswered requests at gateways that were not killed."""
    return [
        f"rule 1: {name} was never answered"
        for name, request in requests.items()
        if request.sent_at >= 0 and request.awaits_answer()
    ]
