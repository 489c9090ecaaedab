"""The decisions of one gateway: each request's way from its receipt to its one final answer.

How it is called: a carrier makes one `Gateway` (`platform_settings.gateway`), sets its clock with
`advance_clock` before each batch, and calls `update_endpoints`, `handle_request`, `attempt_finished`,
`response_started`, `client_disconnected`, `counter_call_finished` and `timer_fired`; what is decided goes out
through the `EffectHandler`. Interface: `granitedock/policy/types.py` and `ports.py`. What is kept of the
design and what changed: docs/design.md.
"""

from __future__ import annotations

from granitedock.policy.circuit_breaker import CircuitBreaker
from granitedock.policy.load_balancer import MAX_QUEUE_SHARE, MAX_QUEUE_SHARE_UNCOUNTED, LoadBalancer
from granitedock.policy.ports import EffectHandler
from granitedock.policy.quota_account import QuotaAccount
from granitedock.policy.rate_limiter import RateLimiter
from granitedock.policy.request_lifecycle import REQUEST
from granitedock.policy.retry_rules import Right, may_reject, possible_execution, retry_hosts, retry_right
from granitedock.policy.states import RequestEvent, RequestState
from granitedock.policy.types import (
    Attempt,
    CounterCall,
    EndpointUpdate,
    GatewaySettings,
    Host,
    Idempotency,
    Outcome,
    Request,
)
from granitedock.state_table import advance

SILENCE_CHECK_MEANS = (
    3.0  # mean answer times before an attempt at a silent host is cancelled, to be made again
)


class Gateway:
    """One API gateway. Moments are Unix ms."""

    def __init__(self, effects: EffectHandler, now: float, settings: GatewaySettings) -> None:
        self.effects = effects
        self.now = now
        self.permitted = settings.permitted
        self.load_balancer = LoadBalancer(now, settings, effects.log_decision)
        self.breaker = CircuitBreaker(self.load_balancer.latency_objective_ms, effects.log_decision)
        self.rate_limiter = RateLimiter(effects, now, settings.has_counter, self.breaker)

    # Inputs.

    def advance_clock(self, now: float) -> None:
        """Come to this moment."""
        self.now = self.breaker.now = self.rate_limiter.now = now
        self.load_balancer.advance_clock(now)

    def update_endpoints(self, updates: list[EndpointUpdate], complete: bool) -> None:
        """Take in updates of the endpoint list; a complete one removes hosts that it does not name."""
        self.load_balancer.update_endpoints(updates, complete)

    def handle_request(self, request: Request) -> None:
        """A new request."""
        self.rate_limiter.account_for(request).advance_window(self.now)
        advance(REQUEST, request, RequestEvent.RECEIVED, self)

    def refuse(self, request: Request) -> None:
        """A new request that is given up undecided, as one never sent."""
        self.rate_limiter.account_for(request).advance_window(self.now)
        request.state = RequestState.FINISHED
        self.give_up(request)

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """A counter call ended; `total` counts where the outcome is DONE."""
        event = self.rate_limiter.counter_call_finished(call, outcome, total)
        if event is not None and call.request is not None:
            advance(REQUEST, call.request, event, self)

    def attempt_finished(
        self, attempt: Attempt, outcome: Outcome, took_ms: float, final: bool, units: float, _used: int
    ) -> None:
        """An attempt ended. `final`: its answer is the request's; `units`, if any, are what it truly cost."""
        request = attempt.request
        attempt.outcome = outcome
        request.in_flight -= 1
        request.customer.account.in_flight -= 1
        self.load_balancer.attempt_finished(attempt, outcome, took_ms)
        if outcome is Outcome.DONE and units > 0:
            self.rate_limiter.adjust_usage(request.counter_call, units - request.units)
        advance(REQUEST, request, RequestEvent.ANSWERED if final else RequestEvent.LOST, self)

    def response_started(self, attempt: Attempt) -> None:
        """The first bytes of a streamed answer went to the client: nothing else may follow."""
        advance(REQUEST, attempt.request, RequestEvent.RESPONSE_STARTED, self)

    def client_disconnected(self, request: Request) -> None:
        """Nobody waits for the answer any more."""
        advance(REQUEST, request, RequestEvent.CLIENT_GONE, self)

    def timer_fired(self, why: CounterCall | Attempt) -> None:
        """The budget of a call is up, or an attempt has been in flight for long."""
        if isinstance(why, Attempt):
            if why.outcome is None:
                advance(REQUEST, why.request, RequestEvent.OVERDUE, self)
        elif self.rate_limiter.counter_call_timed_out(why):
            advance(REQUEST, why.request, RequestEvent.NO_TOTAL, self)

    # Effects of the table.

    def check_quota(self, request: Request) -> RequestEvent | None:
        """Ask the counter, if need be."""
        return self.rate_limiter.check_quota(request)

    def local_fallback(self, request: Request) -> RequestEvent:
        """Decide without the counter."""
        return self.rate_limiter.local_fallback(request)

    def refund(self, request: Request) -> None:
        """The client left before the request was sent."""
        self.rate_limiter.refund(request)

    def send_over_quota(self, request: Request) -> RequestEvent:
        """Beyond the quota a request is sent only where its plan earns more by that than it costs."""
        self.rate_limiter.refund(request)
        if request.plan.over_quota_weight > request.plan.over_quota_cost:
            return self.send(request)
        return RequestEvent.NO_HOST

    def send(self, request: Request) -> RequestEvent:
        """Make the next attempt, where a host is expected to answer in time."""
        account: QuotaAccount = request.customer.account
        load_balancer = self.load_balancer
        counted = self.rate_limiter.is_counted(request)
        share = MAX_QUEUE_SHARE if counted else MAX_QUEUE_SHARE_UNCOUNTED
        max_queue_ms = load_balancer.max_queue_ms(request, share)
        host = load_balancer.choose_host(request, self.allowed_hosts(request), max_queue_ms)
        if host is None or load_balancer.is_overloaded(host, request, max_queue_ms):
            return RequestEvent.NO_HOST
        first = not request.attempts
        if first and account.ceiling is not None and not account.ceiling.take(request.units, self.now):
            return RequestEvent.NO_HOST
        attempt = self.new_attempt(request, host)
        request.attempts.append(attempt)
        request.in_flight += 1
        account.in_flight += 1
        load_balancer.attempt_started(attempt)
        self.effects.send_attempt(attempt, self.attempt_deadline(request))
        self.check_silence_later(attempt)
        return RequestEvent.SENT

    def cancel_if_silent(self, request: Request) -> None:
        """Guards against hosts that hang, vanish or lose answers: none since. Others are only slow."""
        attempt = request.attempts[-1]
        retry_budget = self.load_balancer.retry_budget
        if attempt.host.health.answered_at > attempt.sent_at:
            self.check_silence_later(attempt)
        elif len(request.attempts) < self.permitted.max_attempts and retry_budget.allows_retry(self.now):
            self.effects.cancel(attempt)

    def give_up(self, request: Request) -> None:
        """The one final answer, at once: a rejection where trying again does no harm, else an error."""
        if not request.attempts:
            self.rate_limiter.refund(request)
        if may_reject(request, self.now):
            retry_after_ms = self.retry_after_ms(request) if self.permitted.retry_after else None
            self.effects.reject(request, retry_after_ms)
        else:
            self.effects.fail(request)

    # Parts of them.

    def allowed_hosts(self, request: Request) -> list[Host]:
        """The ready hosts that may get the request."""
        hosts = self.load_balancer.ready
        execution = possible_execution(request)
        if request.in_flight or not hosts:
            return []
        if execution is not None and not self.load_balancer.retry_budget.allows_retry(self.now):
            return []
        if len(request.attempts) >= self.permitted.max_attempts:
            return []
        return hosts if execution is None else retry_hosts(request, execution, hosts, self.now)

    def new_attempt(self, request: Request, host: Host) -> Attempt:
        """The next attempt; that of a keyed request which may have run begins in its window, dial and all."""
        attempt = Attempt(request, host, self.now, len(host.health.in_flight))
        execution = possible_execution(request)
        if execution is not None and retry_right(request) is Right.IN_SCOPE:
            attempt.send_before = execution.sent_at + request.request_class.idempotency_window_ms
        return attempt

    def attempt_deadline(self, request: Request) -> float | None:
        """When the attempt ends, if before the request's deadline. Guards against hosts busy with what is
        too late; an idempotent request's client would only ask again."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or request_class.late_priority_weight:
            return None
        return request.received_at + request_class.latency_objective_ms

    def check_silence_later(self, attempt: Attempt) -> None:
        """Look at the attempt again, where another could follow it and still be in time."""
        request = attempt.request
        if retry_right(request) is Right.NEVER or not self.permitted.cancel:
            return
        estimates = self.load_balancer.estimates
        mean = estimates.mean_answer_ms(self.now) * estimates.request_work(request, self.now)
        answer_by = self.now + (SILENCE_CHECK_MEANS + 1.0) * mean
        if answer_by < request.received_at + request.request_class.latency_objective_ms:
            self.effects.start_timer(SILENCE_CHECK_MEANS * mean, attempt)

    def retry_after_ms(self, request: Request) -> float:
        """When trying again may succeed: a host has answered, the quota has room, the ceiling has room."""
        account: QuotaAccount = request.customer.account
        waits = [self.load_balancer.estimates.mean_answer_ms(self.now)]
        if request.plan.rate > 0:
            waits.append(self.rate_limiter.retry_after_ms(request))
        if account.ceiling is not None and not request.attempts:
            waits.append((request.units - account.ceiling.available(self.now)) / account.ceiling.rate)
        return min(max(waits), self.permitted.max_retry_after_ms)
