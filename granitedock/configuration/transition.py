"""A customer's book over a change of its plan. No I/O.

What is in force for a customer at a gateway is its book (`policy/quota_account.py`): the two-window count,
the spell, the local buckets. A changed plan brings a new book that takes over what was used, so that no
change gives a fresh burst: with the same window the count goes on under the same names; with another window
the spell goes on, and a customer whose use this gateway does not know is taken to have used the whole burst
when the plan changed. A hard ceiling that is lowered holds from that moment, one that is raised grows from
that moment by the new rate."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitedock.policy.quota_account import MAX_NAME_TTL_MS, QuotaAccount
from granitedock.policy.types import Plan

COUNTED = (
    "window",
    "current",
    "previous",
    "refund_owed",
    "unreported",
    "own_additions",
    "last_total",
    "lost",
    "unchanged_totals",
)
HEARD = ("uncounted", "uncounted_before")
REMEMBERED_MS = MAX_NAME_TTL_MS  # so long a plan as it was before a change matters to books made since


@dataclass(frozen=True, slots=True)
class Former:
    """A plan as it was, and when it ceased to be in force (Unix ms)."""

    plan: Plan
    until: float


def carried(account: QuotaAccount, plan: Plan, now: float) -> QuotaAccount:
    """The book that goes on from `book` under another plan."""
    made = QuotaAccount(plan, account.subset_size, now, account.quota.subset_start, now)
    made.in_flight, made.last_used_at = account.in_flight, account.last_used_at
    made.burst_usage, made.burst_usage_at = max(0.0, account.burst_usage_now(now)), now
    if made.window_ms == account.window_ms:
        for name in COUNTED + HEARD:
            setattr(made, name, getattr(account, name))
    if account.local_bucket is not None:
        made.local_bucket, made.active_members = account.local_bucket, account.active_members
        made.local_bucket.resize(plan.rate / account.active_members, plan.burst / account.active_members, now)
    if made.ceiling is not None and account.ceiling is not None:
        made.ceiling = account.ceiling
        made.ceiling.resize(plan.ceiling_rate / made.subset_size, plan.ceiling_burst / made.subset_size, now)
    return made


class Transitions:
    """Plans as they were of late, for the books of customers first seen after a change."""

    def __init__(self) -> None:
        self.former: dict[str, deque[Former]] = {}
        self.order: deque[tuple[float, str]] = deque()  # when which plan changed, oldest first

    def changed(self, plan: Plan, now: float) -> None:
        """This plan has ceased to be in force."""
        self.former.setdefault(plan.name, deque()).append(Former(plan, now))
        self.order.append((now, plan.name))
        while self.order and now - self.order[0][0] > REMEMBERED_MS:
            name = self.order.popleft()[1]
            formers = self.former[name]
            formers.popleft()
            if not formers:
                del self.former[name]

    def open_account(
        self, plan: Plan, subset_size: int, now: float, first: int, began: float
    ) -> QuotaAccount:
        """The book of a customer that this gateway has none of; takes the place of `QuotaAccount` in the
        decisions."""
        formers = [one for one in self.former.get(plan.name, ()) if now - one.until <= REMEMBERED_MS]
        if not formers:
            return QuotaAccount(plan, subset_size, now, first, began)
        oldest = formers[0]
        account = QuotaAccount(oldest.plan, subset_size, oldest.until, first, began)
        followers = [one.plan for one in formers[1:]] + [plan]
        for former, then in zip(formers, followers, strict=True):
            account = self.followed(account, then, former.until)
        account.last_used_at = now
        return account

    @staticmethod
    def followed(account: QuotaAccount, plan: Plan, at: float) -> QuotaAccount:
        """Guards against a fresh burst under the new names, of which this gateway can't know what was used
        under the old ones. Hurts a customer first seen here within the filling of the burst after such a
        change: it has its rate, and no burst yet."""
        made = carried(account, plan, at)
        if made.window_ms != account.window_ms:
            made.burst_usage = max(made.burst_usage, account.plan.burst)
        return made
