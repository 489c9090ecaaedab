"""The ports of the policy: the interfaces through which a gateway's decisions use their environment.

`EffectHandler` carries the decisions out. The other ports are optional sources of what other gateways know;
they may lower what this gateway sends and never raise it.
"""

from __future__ import annotations

from typing import Protocol

from granitedock.policy.types import Attempt, CounterCall, Host, Outcome, Request, SharedQuota


class MembershipPort(Protocol):
    """A membership view of the other gateways."""

    def active_members(self, subset_start: int, subset_size: int) -> int:
        """Return the number of gateways of a subset among which its quota is divided evenly.

        The subset has `subset_size` gateways from number `subset_start`. All of them count, except those that
        are proved to have ended. The result is from 1 to `subset_size`.
        """
        ...


class QuotaSharingPort(Protocol):
    """Units that gateways admitted without the counter, if the gateways share them.

    Windows are the numbered windows of the customer; units admitted in one window stay in it.
    """

    def record_uncounted(self, customer: int, window: int, quota: SharedQuota, units: float) -> None:
        """Record units that this gateway admitted and that the counter does not include yet."""
        ...

    def carry_over(self, customer: int, window: int) -> float:
        """Return, once, the units that this gateway admitted uncounted before its restart."""
        ...

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """Mark that many of the uncounted units of this gateway as added to the counter."""
        ...

    def uncounted_elsewhere(self, customer: int, window: int, quota: SharedQuota, now: float) -> float:
        """Return the units, 0 or more, that other gateways admitted beyond the counter's total.

        Units that they may have admitted are included.
        """
        ...

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Apply the end of a counter call; one that this port made shows which gateways reach the counter."""
        ...


class OutlierDetectionPort(Protocol):
    """Observations of hosts that the gateways share; they only ever reduce the requests sent to a host."""

    def attempt_started(self, host: Host) -> None:
        """Record the start of an attempt at this host."""
        ...

    def attempt_finished(
        self, host: Host, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """Record the end of an attempt at this host."""
        ...

    def is_ejected(self, host: Host, non_idempotent: bool, now: float) -> bool:
        """Return whether observations of other gateways exclude the host for a request.

        `non_idempotent` is true for a request that must not be sent again after it may have run.
        """
        ...

    def may_probe(self, host: Host, now: float) -> bool:
        """Return whether this gateway is among those that probe an ejected host."""
        ...


class EffectHandler(Protocol):
    """Carries out the decisions of a gateway."""

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        """Send the request to the host of the attempt.

        The attempt ends at `attempt_deadline` (Unix ms), if given, or at the deadline of the request,
        whichever is earlier.
        """
        ...

    def reject(self, request: Request, retry_after_ms: float | None) -> None:
        """Answer with a rejection: the client may repeat the request, after `retry_after_ms` if given.

        The request may have run if its repeat does no harm.
        """
        ...

    def fail(self, request: Request) -> None:
        """Answer with an error, as the request may have run and its repeat could do harm."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt; `attempt_finished` follows."""
        ...

    def call_counter(self, call: CounterCall) -> None:
        """Send the increment to the counter; `counter_call_finished` follows."""
        ...

    def start_timer(self, after_ms: float, subject: object) -> None:
        """Call `timer_fired(subject)` after `after_ms`."""
        ...

    def log_decision(self, line: str) -> None:
        """Log a change of state as a line of text."""
        ...
