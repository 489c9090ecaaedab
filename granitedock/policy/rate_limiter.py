"""Rate limiting by the shared counter, with a local fallback.

On the design's ordinary path each request adds its units to the customer's count of the current window with
one increment, and the total that the counter returns decides (`QuotaAccount.is_over_quota`). Where no total
arrives in time, or the breaker is open, the even share in the local fallback bucket decides. Later increments
refund the units of rejected requests.
"""

from __future__ import annotations

from itertools import islice

from granitedock.policy.circuit_breaker import CircuitBreaker
from granitedock.policy.late_retries import LateRetryDetector
from granitedock.policy.ports import EffectHandler, MembershipPort, QuotaSharingPort
from granitedock.policy.quota_account import (
    BURST_SLACK_UNITS,
    MAX_NAME_TTL_MS,
    NAME_TTL_WINDOWS,
    QuotaAccount,
)
from granitedock.policy.retry_rules import NEVER_RAN
from granitedock.policy.states import BreakerEvent, BreakerState, RequestEvent, RequestState
from granitedock.policy.types import CounterCall, Customer, Outcome, Request

# Longest wait for a call, as a share of the latency objective, unless `CALL_BUDGET_MS` is longer.
CALL_BUDGET_SHARE = 0.25
IDLE_TTL_WINDOWS = 2.0  # Windows without a request after which an account without a ceiling is evicted.
DEFAULT_MAX_ACCOUNTS = 20000
# Idle time after which an account may be evicted for another customer: longer than any call to the counter.
MIN_EVICTION_IDLE_MS = 3000.0
MAX_EVICTION_CANDIDATES = 8  # Accounts that are inspected for one new customer.
# Marks in `CounterCall.recorded_uncounted` a call whose units were proved not to be added.
PROVED_NOT_ADDED = -1.0


class RateLimiter:
    """Holds the customers' accounts and makes their calls to the counter.

    The gateway sets `now` (ms).
    """

    def __init__(
        self, effects: EffectHandler, now: float, has_counter: bool, breaker: CircuitBreaker
    ) -> None:
        self.effects = effects
        self.started_at = now
        self.now = now
        self.has_counter = has_counter
        self.breaker = breaker
        self.late_retries = LateRetryDetector()
        self.membership: MembershipPort | None = None  # View of the other gateways.
        self.quota_sharing: QuotaSharingPort | None = None  # Exchanges uncounted units between gateways.
        self.open_account = QuotaAccount  # Replaced by another function if plans can change at run time.
        self.accounts: dict[Customer, None] = {}  # Ordered by last use or inspection, the oldest first.
        self.max_accounts = DEFAULT_MAX_ACCOUNTS  # The service sets it by the memory.

    # Accounts.

    def account_for(self, request: Request) -> QuotaAccount:
        """Return the customer's account, and create it if the customer has none.

        Prevents a flood of customers seen only once from accumulating accounts: each request inspects one
        account and evicts it if it was idle for its TTL and has no attempt in flight. A new account is
        equivalent except for its ceiling, so an account with a ceiling has a longer TTL.
        """
        customer = request.customer
        if customer.account is None:
            customer.account = self.open_account(
                request.plan, request.subset_size, self.now, request.subset_start, self.started_at
            )
        self.accounts.pop(customer, None)
        self.accounts[customer] = None
        customer.account.last_used_at = self.now
        oldest = next(iter(self.accounts))
        del self.accounts[oldest]
        oldest_account: QuotaAccount = oldest.account
        ttl_ms = MAX_NAME_TTL_MS if oldest_account.ceiling else IDLE_TTL_WINDOWS * oldest_account.window_ms
        if self.now - oldest_account.last_used_at > ttl_ms and not oldest_account.in_flight:
            oldest.account = None
        else:
            self.accounts[oldest] = None
        return customer.account

    def has_room_for(self, customer: Customer) -> bool:
        """Return whether the customer has an account or may get one, and make room for it.

        Prevents a flood under ever new names from taking memory without end. An account that has not been
        used for a moment is replaced, unless a new one would admit more under its ceiling; the counter still
        has its count.
        """
        if customer.account is not None or len(self.accounts) < self.max_accounts:
            return True
        for candidate in list(islice(self.accounts, MAX_EVICTION_CANDIDATES)):
            account: QuotaAccount = candidate.account
            is_idle = not account.in_flight and self.now - account.last_used_at > MIN_EVICTION_IDLE_MS
            if is_idle and account.is_like_new(self.now, self.started_at):
                del self.accounts[candidate]
                candidate.account = None
                return True
        return False

    # The decision on a request.

    def check_quota(self, request: Request) -> RequestEvent | None:
        """Decide on the request's quota, or call the counter.

        Returns None if the counter is called; the end of the call then decides.
        """
        account: QuotaAccount = request.customer.account
        plan = request.plan
        if self.late_retries.is_late_retry(request) and not self.breaker.has_spare_capacity():
            return RequestEvent.LATE_RETRY
        if plan.max_in_flight and account.in_flight >= max(1, plan.max_in_flight // account.subset_size):
            return RequestEvent.OVER_QUOTA
        if plan.rate <= 0:
            return RequestEvent.WITHIN_QUOTA
        if account.local_bucket is None:
            usage = account.burst_usage_now(self.now) + request.units
            if usage > plan.burst + BURST_SLACK_UNITS and not self.breaker.has_spare_capacity():
                # Spares an overloaded counter: other gateways only add, so a call cannot change the answer.
                return RequestEvent.OVER_QUOTA
        if not self.has_counter or not self.breaker.allows_call():
            return RequestEvent.NO_TOTAL
        self.count_request(request, account)
        return None

    def count_request(self, request: Request, account: QuotaAccount) -> None:
        """Add the request's units to the count and start the wait for the total.

        The increment is reduced by the pending refund and includes the units not yet reported.
        """
        if self.quota_sharing is not None:
            account.unreported += self.quota_sharing.carry_over(request.customer.key, account.window)
        amount = request.units - account.refund_due + account.unreported
        carried = account.unreported
        account.refund_due = account.unreported = 0.0
        call = request.counter_call = self.send_increment(request.customer, amount)
        call.request = request
        call.carried = carried
        budget = self.breaker.call_budget_ms(CALL_BUDGET_SHARE * request.request_class.latency_objective_ms)
        self.effects.start_timer(max(0.0, min(budget, (request.deadline - self.now) / 2)), call)

    def send_increment(self, customer: Customer, amount: float) -> CounterCall:
        """Send an increment of the customer's current count."""
        account: QuotaAccount = customer.account
        ttl_ms = min(MAX_NAME_TTL_MS, NAME_TTL_WINDOWS * account.window_ms)
        name = account.counter_name(customer)
        call = CounterCall(customer, name, account.window, amount, ttl_ms, self.now)
        self.effects.call_counter(call)
        return call

    def local_fallback(self, request: Request) -> RequestEvent:
        """Decide by this gateway's even share of the quota.

        The quota is divided among the active members, or among the whole subset if there is no membership
        view. Prevents the shares of stopped gateways from going unused; the cost is what a restarted gateway
        admits before the others detect its return.
        """
        account: QuotaAccount = request.customer.account
        active_members = account.subset_size
        if self.membership is not None:
            active_members = self.membership.active_members(request.subset_start, account.subset_size)
        if not account.admit_locally(request.units, self.now, active_members):
            return RequestEvent.OVER_QUOTA
        call = request.counter_call
        if self.quota_sharing is not None and (call is None or not call.applied):
            self.record_uncounted(request, account, self.quota_sharing)
        return RequestEvent.WITHIN_QUOTA

    def is_counted(self, request: Request) -> bool:
        """Return whether the counter added the request's units in time or has no part in the decision.

        The counter has no part in a plan without a rate, nor in any plan while the breaker is open.
        """
        call = request.counter_call
        admitted = request.plan.rate <= 0 or (call is not None and call.applied and not call.timed_out)
        return admitted or self.breaker.state is BreakerState.OPEN

    def retry_after_ms(self, request: Request) -> float:
        """Return the time in ms until the burst has room for the request; 0 or less means now."""
        account: QuotaAccount = request.customer.account
        plan = request.plan
        return (account.burst_usage_now(self.now) + request.units - plan.burst) / plan.rate

    # The ends of calls.

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> RequestEvent | None:
        """Apply the outcome of a call, and its total if it has one.

        Returns the event that decides the request, or None if no request waits for the call.
        """
        account: QuotaAccount | None = call.customer.account
        request = call.request
        call.answered = True
        has_total = outcome is Outcome.DONE
        call.applied = has_total or outcome is Outcome.ERROR  # An error means: added, without a total.
        if self.quota_sharing is not None:
            self.quota_sharing.counter_call_finished(call, outcome, total or 0.0)
            if has_total and account is not None and account.total_is_frozen(call, total):
                has_total = False
            elif has_total and account is not None:
                total = self.total_with_uncounted(call, account, total, self.quota_sharing)
            self.reconcile(call, outcome, self.quota_sharing)
        if account is not None:
            self.update_account(account, call, outcome, total if has_total else None)
        if request is None:
            return None
        if call.applied and request.state is RequestState.FINISHED and not request.attempts:
            # The total is late, or the client left, and the request was never sent. The units of a request
            # that was sent stay counted.
            self.adjust_usage(call, -request.units)
        if call.timed_out:
            return None
        if outcome in NEVER_RAN or outcome is Outcome.TIMEOUT:
            self.breaker.reduce_counted_share()
        self.breaker.record(BreakerEvent.SUCCEEDED if has_total else BreakerEvent.FAILED)
        if not has_total:
            return RequestEvent.NO_TOTAL
        over = call.customer.account.is_over_quota(self.now)
        return RequestEvent.OVER_QUOTA if over else RequestEvent.WITHIN_QUOTA

    def update_account(
        self, account: QuotaAccount, call: CounterCall, outcome: Outcome, total: float | None
    ) -> None:
        """Apply the outcome of a call to the account; `total` is None if none came or totals are frozen."""
        account.advance_window(self.now)
        if total is not None:
            self.breaker.call_times.add(self.now, self.now - call.sent_at, 1.0)
            account.apply_total(call, total, self.now, self.quota_sharing is not None)
        elif call.applied:
            account.current += call.amount * (call.window == account.window)
        elif outcome in NEVER_RAN and call.window == account.window:
            # The increment was not added, so the refund that it carried is pending again.
            units = call.request.units if call.request is not None else 0.0
            account.refund_due += units + call.carried - call.amount

    def counter_call_timed_out(self, call: CounterCall) -> bool:
        """Record that the budget of a call has elapsed.

        Returns False if the call had already ended or timed out.
        """
        if call.answered or call.timed_out:
            return False
        call.timed_out = True
        self.breaker.reduce_counted_share()
        self.breaker.record(BreakerEvent.FAILED)
        return True

    # Refunds and adjustments.

    def refund(self, request: Request) -> None:
        """Refund the units of a request that is over quota or is not sent, once only.

        If the call has not ended yet and the request is never sent, they are refunded when the call ends.
        """
        call = request.counter_call
        request.counter_call = None
        if call is not None and call.applied and not call.timed_out:
            self.adjust_usage(call, -request.units)

    def adjust_usage(self, call: CounterCall | None, units: float) -> None:
        """Add units to the counter name that the call used; negative units are a refund.

        The next increment of that name includes them, or a separate call sends them at once while the counter
        has spare capacity. Units of a window that is no longer the current one are ignored.
        """
        account: QuotaAccount | None = call.customer.account if call is not None else None
        if call is None or account is None or call.window != account.window or not units:
            return
        account.refund_due -= units
        if self.breaker.has_spare_capacity():
            amount = -account.refund_due
            account.refund_due = 0.0
            self.send_increment(call.customer, amount)

    # Uncounted units, if gateways exchange them.

    def total_with_uncounted(
        self, call: CounterCall, account: QuotaAccount, total: float, sharing: QuotaSharingPort
    ) -> float:
        """Return the counter's total corrected by the units that others admitted beyond it.

        Those of the call's window are added to the total; those of the window before raise the burst usage.
        """
        key = call.customer.key
        uncounted = sharing.uncounted_elsewhere(key, call.window, account.quota, self.now)
        uncounted_before = sharing.uncounted_elsewhere(key, call.window - 1, account.quota, self.now)
        return account.corrected_total(call, total, uncounted, uncounted_before)

    def record_uncounted(self, request: Request, account: QuotaAccount, sharing: QuotaSharingPort) -> None:
        """Report admitted units that the counter does not know to the other gateways.

        The next increment of this gateway includes them. Where the outcome of a call is unknown they stay
        reported and are not added again, as the call may have been applied. Counting units twice rejects some
        requests, whereas not counting them would admit more than the quota.
        """
        call = request.counter_call
        sharing.record_uncounted(request.customer.key, account.window, account.quota, request.units)
        if call is None or call.recorded_uncounted < 0:  # Never sent, or proved not added.
            account.unreported += request.units
        else:
            call.recorded_uncounted = request.units

    def reconcile(self, call: CounterCall, outcome: Outcome, sharing: QuotaSharingPort) -> None:
        """Reconcile the uncounted units of a call that has ended.

        The units are those that it carried and those admitted while it was pending. If the call was applied,
        they are counted now; if it never ran, the next increment includes them. Where it may have been
        applied, they stay reported.
        """
        account: QuotaAccount | None = call.customer.account
        units = call.carried + call.recorded_uncounted
        if call.applied and units:
            sharing.reconcile(call.customer.key, call.window, units)
        elif outcome in NEVER_RAN:
            if account is not None and call.window == account.window:
                account.unreported += units
            call.recorded_uncounted = PROVED_NOT_ADDED
