"""One customer's quota at this gateway: the two-window count, the burst usage, and the even-share buckets.

The count is the source's sliding window counter: current + previous x remaining / window. The burst usage is
derived from the same totals: it is what the customer has used since it was last idle, beyond what the rate
has refilled, and may not exceed the burst. Without totals the local fallback bucket, the source's emergency
limiter, holds an even share of rate and burst.
"""

from __future__ import annotations

from granitedock.policy.token_bucket import TokenBucket
from granitedock.policy.types import CounterCall, Customer, Plan, SharedQuota

WINDOW_BURST_FILLS = 2.0  # Times that the rate refills the burst within a window.
MIN_WINDOW_MS = 1000.0
MAX_NAME_TTL_MS = 60000.0  # The counter's longest TTL of a name.
NAME_TTL_WINDOWS = 3.0  # TTL of a name, in windows.
BURST_SLACK_UNITS = 0.5  # Tolerance beyond the burst, for delays.
# Consecutive totals, unchanged by this gateway's increments, after which totals carry no information.
FROZEN_AFTER_TOTALS = 4
LOST_BURST_DIVISOR = 4  # A total that falls by more than the burst divided by this has lost units.


class QuotaAccount:
    """Holds one customer's quota state at this gateway, in units and ms.

    The `subset_size` gateways from number `subset_start` serve the customer. `process_started_at` is when
    this process started; a ceiling fills from then, or from `now` if the start is later, as it is by default.
    """

    __slots__ = (
        "active_members",
        "added_by_this_gateway",
        "allowance",
        "burst_usage",
        "burst_usage_at",
        "ceiling",
        "current",
        "in_flight",
        "last_total",
        "last_used_at",
        "local_bucket",
        "lost",
        "plan",
        "previous",
        "quota",
        "refund_due",
        "subset_size",
        "unchanged_totals",
        "uncounted",
        "uncounted_before",
        "unreported",
        "window",
        "window_ms",
    )

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
        self.active_members = self.subset_size  # The local bucket is divided by this number.
        longest_ms = MAX_NAME_TTL_MS / NAME_TTL_WINDOWS
        fill_ms = plan.burst / plan.rate if plan.rate > 0 else longest_ms
        self.window_ms = plan.window_ms or min(longest_ms, max(MIN_WINDOW_MS, WINDOW_BURST_FILLS * fill_ms))
        self.allowance = plan.rate * self.window_ms + plan.burst
        self.window = -1
        self.current = 0.0  # Last total of this window's name.
        self.previous = 0.0  # Last total of the previous window's name.
        self.quota = SharedQuota(plan, subset_start, self.subset_size, self.window_ms)
        # The next fields, up to `uncounted_before`, are used if gateways share uncounted units. They are
        # of the current window, unless noted otherwise.
        self.unreported = 0.0  # Units of this gateway that the next increment includes.
        self.added_by_this_gateway = 0.0
        self.last_total = 0.0  # Total as the counter returned it.
        self.lost = 0.0  # Units that the counter has lost.
        self.unchanged_totals = 0  # Consecutive totals that did not change; not reset with the window.
        self.uncounted = 0.0  # Units of other gateways that the counter does not know.
        self.uncounted_before = 0.0  # Such units of the window before.
        self.burst_usage = 0.0  # Units used beyond what the rate has refilled, as of `burst_usage_at`.
        self.burst_usage_at = now
        self.refund_due = 0.0  # Units to refund to the current name.
        self.in_flight = 0
        self.last_used_at = now
        self.local_bucket: TokenBucket | None = None  # Set while the counter returns no totals.
        self.ceiling = self.new_ceiling(now, process_started_at)

    def new_ceiling(self, now: float, process_started_at: float) -> TokenBucket | None:
        """Return the bucket for the even share of a hard ceiling, or None without a ceiling.

        The bucket fills from the start of the process, from as low a level as the slack allows, as that start
        may be a restart. At most half of `MAX_NAME_TTL_MS` is credited; an account evicted earlier has been
        idle for longer than that.
        """
        plan = self.plan
        if plan.ceiling_rate <= 0:
            return None
        size = self.subset_size
        level = plan.ceiling_slack / 2 / size
        fills_from = min(now, max(process_started_at, now - MAX_NAME_TTL_MS / 2))
        return TokenBucket(plan.ceiling_rate / size, plan.ceiling_burst / size, level, fills_from)

    def is_like_new(self, now: float, process_started_at: float) -> bool:
        """Return whether a new account would admit no more under the ceiling than this one."""
        new_ceiling = self.new_ceiling(now, process_started_at)
        if self.ceiling is None or new_ceiling is None:
            return True
        return self.ceiling.available(now) >= new_ceiling.available(now)

    def advance_window(self, now: float) -> None:
        """Start the window of `now` if it is not the current one.

        The previous count is the last total of the previous window's name, less the pending refund, or 0
        if windows were skipped.
        """
        window = int(now // self.window_ms)
        if window != self.window:
            is_next_window = window == self.window + 1
            self.previous = max(0.0, self.current - self.refund_due) if is_next_window else 0.0
            self.uncounted_before = self.uncounted if is_next_window else 0.0
            self.window = window
            self.current = self.refund_due = 0.0
            self.unreported = self.added_by_this_gateway = self.last_total = self.lost = self.uncounted = 0.0

    def is_over_quota(self, now: float) -> bool:
        """Return whether the two-window estimate or the burst usage exceeds its limit.

        The estimate is the design's; the burst usage prevents a second burst in any window.
        """
        estimate = self.current + self.previous * (1.0 - now % self.window_ms / self.window_ms)
        return estimate > self.allowance or self.burst_usage > self.plan.burst + BURST_SLACK_UNITS

    def corrected_total(
        self, call: CounterCall, total: float, uncounted: float, uncounted_before: float
    ) -> float:
        """Return the total including units that the counter does not know.

        Other gateways admitted `uncounted` of them in the call's window and `uncounted_before` in the window
        before; the latter only raise the burst usage. Prevents excess admissions after a counter restarts
        empty or with old totals: if a total falls by more than the others would refund meanwhile, or below
        what this gateway alone added, the lost units stay counted until the window ends.
        """
        if call.window == self.window:
            shortfall = self.last_total + call.amount - total
            self.added_by_this_gateway += call.amount
            has_dropped = shortfall > max(BURST_SLACK_UNITS, self.plan.burst / LOST_BURST_DIVISOR)
            if has_dropped or total + self.lost < self.added_by_this_gateway - BURST_SLACK_UNITS:
                self.lost += max(0.0, shortfall)
            self.last_total = total
            self.uncounted = uncounted
            total += self.lost
            self.burst_usage += max(0.0, uncounted_before - self.uncounted_before)
            self.uncounted_before = max(self.uncounted_before, uncounted_before)
        return total + uncounted

    def total_is_frozen(self, call: CounterCall, total: float) -> bool:
        """Return whether the total counts as no answer because the counter's totals are frozen.

        Prevents decisions by a counter whose totals do not change: a total that is the same to the last digit
        after several increments of this gateway carries no information.
        """
        if call.window == self.window and call.amount > 0:
            self.unchanged_totals = self.unchanged_totals + 1 if total == self.last_total else 0
        return self.unchanged_totals >= FROZEN_AFTER_TOTALS

    def apply_total(self, call: CounterCall, total: float, now: float, shared: bool = False) -> None:
        """Apply a total to the count and the burst usage.

        Units that others added since the last total are treated as spread over that time. A total of the
        window before only replaces the previous count. `shared` is set if gateways exchange uncounted
        units.
        """
        if call.window == self.window:
            added_by_others = total - self.current - call.amount
            usage = self.burst_usage_now(now)
            if shared and self.local_bucket is not None:
                # Prevents rejections of traffic within quota due to units counted twice: the units of others
                # that the local bucket estimates are also reported and added by them. The larger value
                # applies, as no gateway reports windows that have ended.
                counted_usage = self.burst_usage - self.plan.rate * (now - self.burst_usage_at)
                usage = max(usage - added_by_others, counted_usage + call.carried)
            # The local bucket already covers units that are carried, and those of a call that timed out.
            added_by_call = 0.0 if call.timed_out else call.amount - call.carried
            self.burst_usage = max(0.0, max(0.0, usage + added_by_others) + added_by_call)
            self.current = total
            self.burst_usage_at = now
            self.local_bucket = None
        elif call.window == self.window - 1:
            self.previous = total

    def burst_usage_now(self, now: float) -> float:
        """Return the burst usage as of `now`, below 0 after an idle period.

        Prevents a fresh burst whenever the counter fails or recovers: the local bucket starts with the level
        that the usage leaves, and the usage continues from the bucket's level.
        """
        if self.local_bucket is not None:
            usage = self.local_bucket.depth - self.local_bucket.available(now)
            return min(usage * self.active_members, max(self.plan.burst, usage))
        return self.burst_usage - self.plan.rate * (now - self.burst_usage_at)

    def admit_locally(self, units: float, now: float, active_members: int) -> bool:
        """Take the units from the local fallback bucket.

        The bucket holds an even share of rate and burst among `active_members`. Returns whether it covers the
        units.
        """
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
        """Return the counter name of the customer's current window.

        It is the same at every gateway and after a restart, and differs between windows.
        """
        return (customer.key * 0x9E3779B97F4A7C15 + self.window * 0xBF58476D1CE4E5B9) % 2**63
