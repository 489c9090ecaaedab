"""One customer's quota at this gateway: the two-window count, the burst usage, and the even-share buckets.

The count is the source's sliding window: current + previous x remaining / window. The burst usage follows
from the same totals what was used since the customer was last at rest, beyond what the rate has refilled, and
may not pass the burst. Without totals the local fallback bucket, the source's emergency limiter, holds
an even share of rate and burst.
"""

from __future__ import annotations

from granitedock.policy.token_bucket import TokenBucket
from granitedock.policy.types import CounterCall, Customer, Plan, SharedQuota

WINDOW_BURST_FILLS = 2.0  # times that the rate fills the burst in a window
MIN_WINDOW_MS = 1000.0
MAX_NAME_TTL_MS = 60000.0  # the counter's longest life of a name
NAME_TTL_WINDOWS = 3.0  # windows for which a name lasts
BURST_SLACK = 0.5  # units past the burst, for delays
STUCK_AFTER_TOTALS = 4  # totals in a row that an increment of ours did not change say nothing
LOST_BURST_SHARE = 4  # a total that falls by more than the burst divided by this has lost units


class QuotaAccount:
    """Units and ms throughout. `subset_size` gateways, from number `subset_start`, serve the customer."""

    def __init__(
        self,
        plan: Plan,
        subset_size: int,
        now: float,
        subset_start: int = 0,
        process_started_at: float = 1e18,
    ) -> None:
        self.plan = plan
        self.subset_size = max(1, subset_size)
        self.active_members = self.subset_size  # by which the local bucket is divided
        longest = MAX_NAME_TTL_MS / NAME_TTL_WINDOWS
        fill_ms = plan.burst / plan.rate if plan.rate > 0 else longest
        self.window_ms = plan.window_ms or min(longest, max(MIN_WINDOW_MS, WINDOW_BURST_FILLS * fill_ms))
        self.allowance = plan.rate * self.window_ms + plan.burst
        self.window = -1
        self.current = 0.0  # the last total of this window's name
        self.previous = 0.0  # of the one before
        self.quota = SharedQuota(plan, subset_start, self.subset_size, self.window_ms)
        # Of this window, where gateways share their uncounted units:
        self.unreported = 0.0  # ours that go with the next increment
        self.own_additions = 0.0
        self.last_total = 0.0  # as the counter gave it
        self.lost = 0.0  # what the counter has lost
        self.unchanged_totals = 0
        self.uncounted = 0.0  # other gateways' units that the counter does not know
        self.uncounted_before = 0.0  # the same of the window before
        self.burst_usage = 0.0  # units used beyond what the rate has refilled, as of `burst_usage_at`
        self.burst_usage_at = now
        self.refund_owed = 0.0  # units owed back to the current name
        self.in_flight = 0
        self.last_used_at = now
        self.local_bucket: TokenBucket | None = None  # while the counter gives no totals
        self.ceiling = self.new_ceiling(now, process_started_at)

    def new_ceiling(self, now: float, process_started_at: float) -> TokenBucket | None:
        """The even share of a hard ceiling. It fills from the start of the process, from as low as the slack
        allows: that may be a restart. An account dropped before has rested for longer."""
        plan = self.plan
        if plan.ceiling_rate <= 0:
            return None
        size = self.subset_size
        level = plan.ceiling_slack / 2 / size
        since = min(now, max(process_started_at, now - MAX_NAME_TTL_MS / 2))
        return TokenBucket(plan.ceiling_rate / size, plan.ceiling_burst / size, level, since)

    def advance_window(self, now: float) -> None:
        """Come to the window of now; the previous count is the last total of that name."""
        window = int(now // self.window_ms)
        if window != self.window:
            follows = window == self.window + 1
            self.previous = max(0.0, self.current - self.refund_owed) if follows else 0.0
            self.uncounted_before = self.uncounted if follows else 0.0
            self.window = window
            self.current = self.refund_owed = 0.0
            self.unreported = self.own_additions = self.last_total = self.lost = self.uncounted = 0.0

    def is_over_quota(self, now: float) -> bool:
        """The design's two-window estimate, and against a second burst in any window the burst usage."""
        estimate = self.current + self.previous * (1.0 - now % self.window_ms / self.window_ms)
        return estimate > self.allowance or self.burst_usage > self.plan.burst + BURST_SLACK

    def corrected_total(
        self, call: CounterCall, total: float, uncounted: float, uncounted_before: float
    ) -> float:
        """The total with units that the counter does not know: `uncounted` by others in the call's window,
        `uncounted_before` in the one before. Guards against a counter that comes back empty or with old
        totals: where one falls by more than others would take back meanwhile, or below what we alone added,
        what it lost stays counted until the window ends."""
        if call.window == self.window:
            lost = self.last_total + call.amount - total
            self.own_additions += call.amount
            dropped = lost > max(BURST_SLACK, self.plan.burst / LOST_BURST_SHARE)
            if dropped or total + self.lost < self.own_additions - BURST_SLACK:
                self.lost += max(0.0, lost)
            self.last_total = total
            self.uncounted = uncounted
            total += self.lost
            self.burst_usage += max(0.0, uncounted_before - self.uncounted_before)
            self.uncounted_before = max(self.uncounted_before, uncounted_before)
        return total + uncounted

    def is_stuck(self, call: CounterCall, total: float) -> bool:
        """Guards against a counter whose totals stand still: one that is the same to the last digit after
        several increments of ours says nothing, and is taken as no answer."""
        if call.window == self.window and call.amount > 0:
            self.unchanged_totals = self.unchanged_totals + 1 if total == self.last_total else 0
        return self.unchanged_totals >= STUCK_AFTER_TOTALS

    def apply_total(self, call: CounterCall, total: float, now: float, shared: bool = False) -> None:
        """Take in a total. What others added since the last one is taken as spread over that time. `shared`:
        gateways tell each other of uncounted units."""
        if call.window == self.window:
            others = total - self.current - call.amount
            used = self.burst_usage_now(now)
            if shared and self.local_bucket is not None:
                # Guards good traffic against units counted twice: what the local bucket says of the others is
                # reported and added by them too. The larger of both, as nobody reports windows that are over.
                counted = self.burst_usage - self.plan.rate * (now - self.burst_usage_at)
                used = max(used - others, counted + call.carried)
            own = 0.0 if call.timed_out else call.amount - call.carried  # those are in the local bucket
            self.burst_usage = max(0.0, max(0.0, used + others) + own)
            self.current = total
            self.burst_usage_at = now
            self.local_bucket = None
        elif call.window == self.window - 1:
            self.previous = total

    def burst_usage_now(self, now: float) -> float:
        """The burst usage, below 0 after a rest. Guards against a fresh burst whenever the counter fails or
        comes back: the local bucket starts as full as the usage leaves it, and gives it back."""
        if self.local_bucket is not None:
            used = self.local_bucket.depth - self.local_bucket.available(now)
            return min(used * self.active_members, max(self.plan.burst, used))
        return self.burst_usage - self.plan.rate * (now - self.burst_usage_at)

    def admit_locally(self, units: float, now: float, active_members: int) -> bool:
        """The local fallback: take from an even share of rate and burst, among `active_members`."""
        rate = self.plan.rate / active_members
        depth = self.plan.burst / active_members
        if self.local_bucket is None:
            level = (self.plan.burst - max(0.0, self.burst_usage_now(now))) / active_members
            self.local_bucket = TokenBucket(rate, depth, level, now)
        elif active_members != self.active_members:
            self.local_bucket.resize(rate, depth, now)
        self.active_members = active_members
        return self.local_bucket.take(units, now)

    def counter_name(self, customer: Customer) -> int:
        """The same at every gateway and after a restart, and another in each window."""
        return (customer.key * 0x9E3779B97F4A7C15 + self.window * 0xBF58476D1CE4E5B9) % 2**63
