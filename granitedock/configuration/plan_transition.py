"""Carries a customer's quota account over to a changed plan. No I/O.

A gateway enforces a customer's quota through its account (`granitedock.policy`): the sliding window counter,
the burst usage and the local token buckets. A changed plan gets a new account that inherits the usage, so
that no change grants a fresh burst. If the window length is unchanged, the count continues under the same
counter names. If it changes, the burst usage continues, and a customer whose usage is unknown at this gateway
is assumed to have used the whole burst when the plan changed. A lowered hard ceiling applies immediately; a
raised one refills at the new rate from the change on. Times are in Unix ms.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from granitedock.policy.quota_account import MAX_NAME_TTL_MS, QuotaAccount
from granitedock.policy.types import Plan

COUNT_ATTRIBUTES = (
    "window",
    "current",
    "previous",
    "refund_due",
    "unreported",
    "added_by_this_gateway",
    "last_total",
    "lost",
    "unchanged_totals",
)
GOSSIP_ATTRIBUTES = ("uncounted", "uncounted_before")
# A former plan affects accounts that are opened up to this long after the change.
FORMER_PLAN_TTL_MS = MAX_NAME_TTL_MS


class FormerPlan(NamedTuple):
    """A former plan, and the time until which it was in force."""

    plan: Plan
    until: float


class PlanEnd(NamedTuple):
    """The time at which a plan of this name was changed or removed."""

    at: float
    name: str


def carry_over(account: QuotaAccount, plan: Plan, now: float) -> QuotaAccount:
    """Return a new account under another plan that inherits the usage and state of `account`."""
    new = QuotaAccount(plan, account.subset_size, now, account.quota.subset_start, now)
    new.in_flight = account.in_flight
    new.last_used_at = account.last_used_at
    new.burst_usage = max(0.0, account.burst_usage_now(now))
    new.burst_usage_at = now
    if new.window_ms == account.window_ms:
        for name in COUNT_ATTRIBUTES + GOSSIP_ATTRIBUTES:
            setattr(new, name, getattr(account, name))
    if account.local_bucket is not None:
        new.local_bucket = account.local_bucket
        new.active_members = account.active_members
        new.local_bucket.resize(plan.rate / account.active_members, plan.burst / account.active_members, now)
    if new.ceiling is not None and account.ceiling is not None:
        new.ceiling = account.ceiling
        new.ceiling.resize(plan.ceiling_rate / new.subset_size, plan.ceiling_burst / new.subset_size, now)
    return new


def carry_over_unseen(account: QuotaAccount, plan: Plan, at: float) -> QuotaAccount:
    """Carry over the account of a customer whose account here is opened only after the plan changed.

    `account` is opened under the former plan, and `at` is the time of the change, in Unix ms. If the window
    length changes, at least the whole burst of the former plan counts as used at that time.

    Prevents a fresh burst under new counter names when this gateway cannot know the usage under the old ones.
    The cost is that a customer that is first seen here before the burst has refilled after such a change gets
    its rate but no burst yet.
    """
    new = carry_over(account, plan, at)
    if new.window_ms != account.window_ms:
        new.burst_usage = max(new.burst_usage, account.plan.burst)
    return new


class PlanHistory:
    """Recent former plans, for the accounts of customers that are first seen after a change."""

    def __init__(self) -> None:
        self.former: dict[str, deque[FormerPlan]] = {}
        self.ends: deque[PlanEnd] = deque()  # Oldest first.

    def add_former_plan(self, plan: Plan, now: float) -> None:
        """Add a plan that is no longer in force, and evict former plans that have expired."""
        self.former.setdefault(plan.name, deque()).append(FormerPlan(plan, now))
        self.ends.append(PlanEnd(now, plan.name))
        while self.ends and now - self.ends[0].at > FORMER_PLAN_TTL_MS:
            name = self.ends.popleft().name
            former_plans = self.former[name]
            former_plans.popleft()
            if not former_plans:
                del self.former[name]

    def open_account(
        self, plan: Plan, subset_size: int, now: float, subset_start: int, process_started_at: float
    ) -> QuotaAccount:
        """Open the account of a customer that has none at this gateway, and return it.

        The policy calls it in place of `QuotaAccount`.
        """
        former_plans = [
            former for former in self.former.get(plan.name, ()) if now - former.until <= FORMER_PLAN_TTL_MS
        ]
        if not former_plans:
            return QuotaAccount(plan, subset_size, now, subset_start, process_started_at)
        oldest = former_plans[0]
        account = QuotaAccount(oldest.plan, subset_size, oldest.until, subset_start, process_started_at)
        successors = [former.plan for former in former_plans[1:]] + [plan]
        for former, successor in zip(former_plans, successors, strict=True):
            account = carry_over_unseen(account, successor, former.until)
        account.last_used_at = now
        return account
