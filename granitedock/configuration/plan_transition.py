"""A customer's quota account over a change of its plan. No I/O.

What is in force for a customer at a gateway is its account (`granitedock.policy`): the two-window count, the
burst usage, the local token buckets. A changed plan brings a new account that takes over what was used, so
that no change gives a fresh burst: with the same window the count goes on under the same names; with another
window the burst usage goes on, and a customer whose use this gateway does not know is taken to have used the
whole burst when the plan changed. A hard ceiling that is lowered holds from that moment, one that is raised
grows from that moment by the new rate. Times are Unix ms.
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
REMEMBERED_MS = MAX_NAME_TTL_MS  # so long a plan as it was before a change matters to accounts made since


class FormerPlan(NamedTuple):
    """A plan as it was, and when it ceased to be in force."""

    plan: Plan
    until: float


class PlanEnd(NamedTuple):
    """When the plan of this name changed."""

    at: float
    name: str


def carry_over(account: QuotaAccount, plan: Plan, now: float) -> QuotaAccount:
    """The account that continues `account` under another plan."""
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
    """The account that continues one of a customer that this gateway had none of.

    Guards against a fresh burst under the new names, of which this gateway can't know what was used under the
    old ones. Hurts a customer first seen here within the filling of the burst after such a change: it has its
    rate, and no burst yet.
    """
    new = carry_over(account, plan, at)
    if new.window_ms != account.window_ms:
        new.burst_usage = max(new.burst_usage, account.plan.burst)
    return new


class PlanHistory:
    """Plans as they were recently, for the accounts of customers first seen after a change."""

    def __init__(self) -> None:
        self.former: dict[str, deque[FormerPlan]] = {}
        self.ends: deque[PlanEnd] = deque()  # oldest first

    def changed(self, plan: Plan, now: float) -> None:
        """Remember that this plan has ceased to be in force."""
        self.former.setdefault(plan.name, deque()).append(FormerPlan(plan, now))
        self.ends.append(PlanEnd(now, plan.name))
        while self.ends and now - self.ends[0].at > REMEMBERED_MS:
            name = self.ends.popleft().name
            former_plans = self.former[name]
            former_plans.popleft()
            if not former_plans:
                del self.former[name]

    def open_account(
        self, plan: Plan, subset_size: int, now: float, subset_start: int, began: float
    ) -> QuotaAccount:
        """The account of a customer that this gateway has none of.

        Takes the place of `QuotaAccount` in the policy.
        """
        former_plans = [one for one in self.former.get(plan.name, ()) if now - one.until <= REMEMBERED_MS]
        if not former_plans:
            return QuotaAccount(plan, subset_size, now, subset_start, began)
        oldest = former_plans[0]
        account = QuotaAccount(oldest.plan, subset_size, oldest.until, subset_start, began)
        successors = [one.plan for one in former_plans[1:]] + [plan]
        for former, successor in zip(former_plans, successors, strict=True):
            account = carry_over_unseen(account, successor, former.until)
        account.last_used_at = now
        return account
