"""The ports of the policy: what a gateway's decisions ask of their surroundings.

`EffectHandler` carries the decisions out; the others are optional sources of news from other gateways, which
may lower what this gateway sends and never raise it.
"""

from __future__ import annotations

from typing import Protocol

from granitedock.policy.types import Attempt, CounterCall, Host, Outcome, Request, SharedQuota


class MembershipPort(Protocol):
    """What the decisions may ask of a view of the other gateways, where there is one."""

    def active_members(self, subset_start: int, subset_size: int) -> int:
        """By how many an even share is divided in the subset of `subset_size` gateways from `subset_start`:
        all of them, less those proved to have ended; from 1 to `subset_size`."""
        ...


class QuotaSharingPort(Protocol):
    """What the decisions tell and ask of units that gateways let in without the counter, where those are
    shared. Windows are the customer's, by number; units of one window stay in it."""

    def record_uncounted(self, customer: int, window: int, quota: SharedQuota, units: float) -> None:
        """This gateway let them in, and the counter does not know of them."""
        ...

    def carry_over(self, customer: int, window: int) -> float:
        """What this gateway let in uncounted before it started again, given once."""
        ...

    def reconcile(self, customer: int, window: int, units: float) -> None:
        """Of those, so many are added to the counter now."""
        ...

    def uncounted_elsewhere(self, customer: int, window: int, quota: SharedQuota, now: float) -> float:
        """Units that others let in, or may have, beyond the counter's total; 0 or more."""
        ...

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """A call came back; one that was its own says who shows at the counter."""
        ...


class OutlierDetectionPort(Protocol):
    """What the decisions tell and ask of hosts where gateways tell each other what they know of them. It only
    ever takes work away from a host."""

    def attempt_started(self, host: Host) -> None: ...

    def attempt_finished(
        self, host: Host, outcome: Outcome, took_ms: float, latency_objective_ms: float, now: float
    ) -> None: ...

    def is_ejected(self, host: Host, risky: bool, now: float) -> bool:
        """Whether others' evidence keeps it from a task; `risky` is one that could not be sent again."""
        ...

    def may_probe(self, host: Host, now: float) -> bool:
        """Whether this gateway is among those who ask a host that was set aside."""
        ...


class EffectHandler(Protocol):
    """What a gateway can do to the world."""

    def send_attempt(self, attempt: Attempt, attempt_deadline: float | None) -> None: ...

    def reject(self, request: Request, retry_after_ms: float | None) -> None: ...

    def fail(self, request: Request) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...

    def call_counter(self, call: CounterCall) -> None: ...

    def start_timer(self, after_ms: float, why: object) -> None: ...

    def log_decision(self, line: str) -> None: ...
