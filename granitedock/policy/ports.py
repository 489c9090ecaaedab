"""The ports of the policy: what a gateway's decisions ask of their surroundings.

`EffectHandler` carries the decisions out; the others are optional sources of what other gateways know, which
may lower what this gateway sends and never raise it.
"""

from __future__ import annotations

from typing import Protocol

from granitedock.policy.types import Attempt, CounterCall, Host, Outcome, Request, SharedQuota


class MembershipPort(Protocol):
    """A view of the other gateways."""

    def active_members(self, subset_start: int, subset_size: int) -> int:
        """By how many an even share is divided in the subset of `subset_size` gateways from `subset_start`:
        all of them, less those proved to have ended; from 1 to `subset_size`."""
        ...


class QuotaSharingPort(Protocol):
    """Units that gateways admitted without the counter, where they tell each other. Windows are the
    customer's, by number; units of one window stay in it."""

    def record_uncounted(self, customer: int, window: int, quota: SharedQuota, units: float) -> None:
        """Of this gateway's own, admitted while the counter does not know of them."""
        ...

    def carry_over(self, customer: int, window: int) -> float:
        """What this gateway admitted uncounted before it started again, given once."""
        ...

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """Of those, so many are added to the counter now."""
        ...

    def uncounted_elsewhere(self, customer: int, window: int, quota: SharedQuota, now: float) -> float:
        """Units that others admitted, or may have, beyond the counter's total; 0 or more."""
        ...

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """A call ended; one that was this port's own says which gateways reach the counter."""
        ...


class OutlierDetectionPort(Protocol):
    """What gateways tell each other of hosts. It only ever takes requests away from a host."""

    def attempt_started(self, host: Host) -> None:
        """An attempt goes to this host."""
        ...

    def attempt_finished(
        self, host: Host, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None:
        """An attempt there ended."""
        ...

    def is_ejected(self, host: Host, risky: bool, now: float) -> bool:
        """Whether others' observations keep it from a request; `risky` is one that may not be sent again."""
        ...

    def may_probe(self, host: Host, now: float) -> bool:
        """Whether this gateway is among those that try an ejected host."""
        ...


class EffectHandler(Protocol):
    """Carries a gateway's decisions out."""

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None:
        """Send the request to the attempt's host; end it at this moment, if any, before its own deadline."""
        ...

    def reject(self, request: Request, retry_after_ms: float | None) -> None:
        """Answer that it was not done and may be tried again, after this time if any."""
        ...

    def fail(self, request: Request) -> None:
        """Answer with an error: it may have run."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """End the attempt; `attempt_finished` follows."""
        ...

    def call_counter(self, call: CounterCall) -> None:
        """Send the increment; `counter_call_finished` follows."""
        ...

    def start_timer(self, after_ms: float, why: object) -> None:
        """Call `timer_fired(why)` after this time."""
        ...

    def log_decision(self, line: str) -> None:
        """Log a change of state in words."""
        ...
