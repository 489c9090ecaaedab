"""Quotas by the counter: one increment a request, decided by the total, or by the local fallback without one.

The design's ordinary path: each request's units are added to the customer's count of the current window, and
the total decides (`QuotaAccount.is_over_quota`). Without a total in time, or with the breaker open, the even
share in the local fallback bucket decides. Refused units go back by later increments.
"""

from __future__ import annotations

from granitedock.policy.circuit_breaker import CircuitBreaker
from granitedock.policy.late_retries import LateRetryDetector
from granitedock.policy.ports import EffectHandler, MembershipPort, QuotaSharingPort
from granitedock.policy.quota_account import BURST_SLACK, MAX_NAME_TTL_MS, NAME_TTL_WINDOWS, QuotaAccount
from granitedock.policy.retry_rules import NEVER_RAN
from granitedock.policy.states import BreakerEvent, BreakerState, RequestEvent, RequestState
from granitedock.policy.types import CounterCall, Customer, Outcome, Request

CALL_BUDGET_SHARE = 0.25  # of the latency objective: no call is waited for longer
IDLE_WINDOWS = 2.0  # without a request, after which an account is dropped
PROVED_NOT_ADDED = -1.0  # in `CounterCall.recorded_uncounted`


class RateLimiter:
    """The customers' accounts and their calls to the counter. `now` (ms) is set by the gateway."""

    def __init__(
        self, effects: EffectHandler, now: float, has_counter: bool, breaker: CircuitBreaker
    ) -> None:
        self.effects = effects
        self.started_at = now
        self.now = now
        self.has_counter = has_counter
        self.breaker = breaker
        self.late_retries = LateRetryDetector()
        self.membership: MembershipPort | None = None  # a view of the other gateways
        self.quota_sharing: QuotaSharingPort | None = None  # uncounted units, where gateways tell each other
        self.open_account = QuotaAccount  # another function where plans change in service
        self.accounts: dict[Customer, None] = {}  # the longest not looked at first

    # Accounts.

    def account(self, request: Request) -> QuotaAccount:
        """The customer's account, made if need be. Guards against floods of customers seen once: one account
        is looked at for each request, and dropped after a rest: a new one is as good but for its ceiling."""
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
        idle: QuotaAccount = oldest.account
        kept_ms = MAX_NAME_TTL_MS if idle.ceiling else IDLE_WINDOWS * idle.window_ms
        if self.now - idle.last_used_at > kept_ms and not idle.in_flight:
            oldest.account = None
        else:
            self.accounts[oldest] = None
        return customer.account

    # The decision on a request.

    def check(self, request: Request) -> RequestEvent | None:
        """Decide on a request's quota, or call the counter: then None, and the call's end decides."""
        account: QuotaAccount = request.customer.account
        plan = request.plan
        if self.late_retries.is_late_retry(request) and not self.breaker.is_calm():
            return RequestEvent.LATE_RETRY
        if plan.max_in_flight and account.in_flight >= max(1, plan.max_in_flight // account.subset_size):
            return RequestEvent.OVER_QUOTA
        if plan.rate <= 0:
            return RequestEvent.WITHIN_QUOTA
        if account.local_bucket is None:
            usage = account.burst_usage_now(self.now) + request.units
            if usage > plan.burst + BURST_SLACK and not self.breaker.is_calm():
                # Guards a crowded counter: others only add, so a call cannot change the answer.
                return RequestEvent.OVER_QUOTA
        if not self.has_counter or not self.breaker.allows_call():
            return RequestEvent.NO_TOTAL
        self.increment(request, account)
        return None

    def increment(self, request: Request, account: QuotaAccount) -> None:
        """Add the request's units to the count, less what is owed, with what was not reported; and wait for
        the total."""
        if self.quota_sharing is not None:
            account.unreported += self.quota_sharing.carry_over(request.customer.key, account.window)
        amount = request.units - account.refund_owed + account.unreported
        carried = account.unreported
        account.refund_owed = account.unreported = 0.0
        call = request.counter_call = self.call(request.customer, amount)
        call.request = request
        call.carried = carried
        budget = self.breaker.call_budget_ms(CALL_BUDGET_SHARE * request.request_class.latency_objective_ms)
        self.effects.start_timer(max(0.0, min(budget, (request.deadline - self.now) / 2)), call)

    def call(self, customer: Customer, amount: float) -> CounterCall:
        """Send an increment of the customer's current count."""
        account: QuotaAccount = customer.account
        ttl_ms = min(MAX_NAME_TTL_MS, NAME_TTL_WINDOWS * account.window_ms)
        name = account.counter_name(customer)
        call = CounterCall(customer, name, account.window, amount, ttl_ms, self.now)
        self.effects.call_counter(call)
        return call

    def local_fallback(self, request: Request) -> RequestEvent:
        """Decide by the even share. Guards against shares of gateways that have ended, which nobody would
        take; without a view it is the whole subset's. Hurts by what a gateway takes that is back before its
        return is heard."""
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
        """Whether the counter admitted it, or has no part in its plan, or none at all now."""
        call = request.counter_call
        admitted = request.plan.rate <= 0 or (call is not None and call.applied and not call.timed_out)
        return admitted or self.breaker.state is BreakerState.OPEN

    def retry_after_ms(self, request: Request) -> float:
        """In how long the burst has room for the request, ms; 0 or less: now."""
        account: QuotaAccount = request.customer.account
        plan = request.plan
        return (account.burst_usage_now(self.now) + request.units - plan.burst) / plan.rate

    # The ends of calls.

    def call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> RequestEvent | None:
        """Take in how a call ended, and its total if it has one; what that decides, if its request waits."""
        account: QuotaAccount | None = call.customer.account
        request = call.request
        call.answered = True
        has_total = outcome is Outcome.DONE
        call.applied = has_total or outcome is Outcome.ERROR  # error: added, but no total came
        if self.quota_sharing is not None:
            self.quota_sharing.counter_call_finished(call, outcome, total or 0.0)
            if has_total and account is not None and account.is_stuck(call, total):
                has_total = False
            elif has_total and account is not None:
                total = self.total_with_uncounted(call, account, total, self.quota_sharing)
            self.reconcile(call, outcome, self.quota_sharing)
        if account is not None:
            self.update_account(account, call, outcome, total if has_total else None)
        if request is None:
            return None
        if call.applied and request.state is RequestState.FINISHED and not request.attempts:
            self.settle(call, -request.units)  # late, or the client left: it never went out; else they stay
        if call.timed_out:
            return None
        if outcome in NEVER_RAN or outcome is Outcome.TIMEOUT:
            self.breaker.reduce_calls()
        self.breaker.record(BreakerEvent.SUCCEEDED if has_total else BreakerEvent.FAILED)
        if not has_total:
            return RequestEvent.NO_TOTAL
        over = call.customer.account.is_over_quota(self.now)
        return RequestEvent.OVER_QUOTA if over else RequestEvent.WITHIN_QUOTA

    def update_account(
        self, account: QuotaAccount, call: CounterCall, outcome: Outcome, total: float | None
    ) -> None:
        """Take a call's end into the account; `total` is None where none came."""
        account.advance_window(self.now)
        if total is not None:
            self.breaker.call_times.add(self.now, self.now - call.sent_at, 1.0)
            account.apply_total(call, total, self.now, self.quota_sharing is not None)
        elif call.applied:
            account.current += call.amount * (call.window == account.window)
        elif outcome in NEVER_RAN and call.window == account.window:
            # Proved not added: what the call paid back is owed as before.
            units = call.request.units if call.request is not None else 0.0
            account.refund_owed += units + call.carried - call.amount

    def call_timed_out(self, call: CounterCall) -> bool:
        """The budget of a call is up; False where it has ended before."""
        if call.answered or call.timed_out:
            return False
        call.timed_out = True
        self.breaker.reduce_calls()
        self.breaker.record(BreakerEvent.FAILED)
        return True

    # Units that go back.

    def refund(self, request: Request) -> None:
        """The request goes nowhere: its units go back, once only. Those of a call without a total yet go back
        when it ends."""
        call = request.counter_call
        request.counter_call = None
        if call is not None and call.applied and not call.timed_out:
            self.settle(call, -request.units)

    def settle(self, call: CounterCall | None, units: float) -> None:
        """Units to add to the name that was counted under (negative: to take back): they go with its next
        increment, or by a call of their own while all is calm."""
        account: QuotaAccount | None = call.customer.account if call is not None else None
        if call is None or account is None or call.window != account.window or not units:
            return
        account.refund_owed -= units
        if self.breaker.is_calm():
            amount = -account.refund_owed
            account.refund_owed = 0.0
            self.call(call.customer, amount)

    # Uncounted units, where gateways tell each other.

    def total_with_uncounted(
        self, call: CounterCall, account: QuotaAccount, total: float, sharing: QuotaSharingPort
    ) -> float:
        """The counter's total with what others admitted beyond it, in the call's window and the last."""
        key = call.customer.key
        uncounted = sharing.uncounted_elsewhere(key, call.window, account.quota, self.now)
        before = sharing.uncounted_elsewhere(key, call.window - 1, account.quota, self.now)
        return account.corrected_total(call, total, uncounted, before)

    def record_uncounted(self, request: Request, account: QuotaAccount, sharing: QuotaSharingPort) -> None:
        """Units admitted that the counter does not know are reported to the others, and go with our next
        increment. Where a call's end is not known they stay reported, and are not added again: it may have
        been applied. Counting twice refuses some, where not counting would admit more than the quota."""
        call = request.counter_call
        sharing.record_uncounted(request.customer.key, account.window, account.quota, request.units)
        if call is None or call.recorded_uncounted < 0:  # never sent, or proved not added
            account.unreported += request.units
        else:
            call.recorded_uncounted = request.units

    def reconcile(self, call: CounterCall, outcome: Outcome, sharing: QuotaSharingPort) -> None:
        """The end of a call is known: what it carried, and what was admitted while it was out, is counted or
        goes with the next one."""
        account: QuotaAccount | None = call.customer.account
        units = call.carried + call.recorded_uncounted
        if call.applied and units:
            sharing.reconcile(call.customer.key, call.window, units)
        elif outcome in NEVER_RAN:
            if account is not None and call.window == account.window:
                account.unreported += units
            call.recorded_uncounted = PROVED_NOT_ADDED
