"""The rules that a world of gateways is held to, checked by what clients read and hosts received."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from granitedock.lab.load.rule_checks import CEILING_SLACK_S, GRACE_S, SLACK_S
from granitedock.model_checking import gateway_moves as words
from granitedock.model_checking.gateway_world_shape import (
    CEILING,
    CEILING_PLAN,
    DEADLINE_MS,
    IDEMPOTENCY_WINDOW_MS,
    START,
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
        """Rules 1, 2 and 3, before an attempt counts as sent to a host."""
        if request.answers:
            self.violations.append(f"rule 1: {name} was sent to h{host} after its answer")
        self._check_repeat(now, name, request)
        if draining_since is not None and now > draining_since + MS_PER_S * (GRACE_S + SLACK_S):
            self.violations.append(f"rule 3: {name} was sent to h{host}, which drains")

    def _check_repeat(self, now: float, name: str, request: ModelledRequest) -> None:
        """Rule 2, before another attempt of the request."""
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

    def after_attempt(self, requests: Iterable[ModelledRequest]) -> None:
        """Rule 5: the first attempts of the customer under a ceiling, over all gateways."""
        full = CEILING.burst + CEILING.slack + CEILING.rate * CEILING_SLACK_S
        level = full
        before = START
        under = [request for request in requests if request.plan == CEILING_PLAN and request.attempts]
        first_sent = sorted(
            min(attempt.sent_at for attempt in request.attempts.values()) for request in under
        )
        for at in first_sent:
            level = min(full, level + CEILING.rate * (at - before) / 1000.0) - 1.0
            before = at
            if level < 0:
                self.violations.append(f"rule 5: over the ceiling by {-level:.2f} units")

    def after_answer(self, now: float, name: str, request: ModelledRequest, kind: str) -> None:
        """Rules 1 and 2, once a client has read an answer."""
        if len(request.answers) > 1:
            self.violations.append(f"rule 1: {name} was answered {len(request.answers)} times")
        if now > request.sent_at + DEADLINE_MS + MS_PER_S * SLACK_S:
            self.violations.append(f"rule 1: {name} was answered late")
        ran = [attempt for attempt in request.attempts.values() if attempt.may_have_run()]
        if kind != words.REJECTED or not ran:
            return
        since = now - ran[0].sent_at
        if request.idempotency is Idempotency.NON_IDEMPOTENT or (
            request.idempotency is Idempotency.KEYED and since > IDEMPOTENCY_WINDOW_MS + MS_PER_S * SLACK_S
        ):
            self.violations.append(f"rule 2: {name} ({request.request_class}) may have run and was deferred")


def unanswered(requests: Mapping[str, ModelledRequest]) -> list[str]:
    """Rule 1, at an end: requests that came to a gateway that lives, and have no answer."""
    return [
        f"rule 1: {name} was never answered"
        for name, request in requests.items()
        if request.sent_at >= 0 and request.awaits_answer()
    ]
