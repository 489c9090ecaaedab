"""The decisions of one gateway: the path of each request from its receipt to its single final answer.

A carrier makes one `Gateway` (`platform_settings.gateway`), sets its clock with `advance_clock` before each
batch, and calls `update_endpoints`, `handle_request`, `attempt_finished`, `response_started`,
`client_disconnected`, `counter_call_finished` and `timer_fired`, and `delivery_delayed` and `delivery_ended`
where requests take time to reach their hosts. The `EffectHandler` carries the decisions out. The interface is
in `granitedock/policy/types.py` and `ports.py`. docs/design.md describes which parts of the design are kept
and which have changed.
"""

from __future__ import annotations

from granitedock.policy.circuit_breaker import CircuitBreaker
from granitedock.policy.load_balancer import MAX_QUEUE_SHARE, MAX_QUEUE_SHARE_UNCOUNTED, LoadBalancer
from granitedock.policy.ports import EffectHandler
from granitedock.policy.quota_account import QuotaAccount
from granitedock.policy.rate_limiter import RateLimiter
from granitedock.policy.request_lifecycle import REQUEST
from granitedock.policy.retry_rules import (
    RepeatCondition,
    first_possible_execution,
    may_invite_repeat,
    retry_condition,
    retry_hosts,
)
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

# Mean answer times after which an attempt at a silent host is cancelled, so that the request can be retried.
SILENCE_CHECK_MULTIPLE = 3.0


class Gateway:
    """One API gateway. All points in time are Unix ms."""

    def __init__(self, effects: EffectHandler, now: float, settings: GatewaySettings) -> None:
        self.effects = effects
        self.now = now
        self.permitted = settings.permitted
        self.load_balancer = LoadBalancer(now, settings, effects.log_decision)
        self.breaker = CircuitBreaker(self.load_balancer.latency_objective_ms, effects.log_decision)
        self.rate_limiter = RateLimiter(effects, now, settings.has_counter, self.breaker)

    # Inputs.

    def advance_clock(self, now: float) -> None:
        """Set the current time of the gateway and of its parts."""
        self.now = self.breaker.now = self.rate_limiter.now = now
        self.load_balancer.advance_clock(now)

    def update_endpoints(self, updates: list[EndpointUpdate], complete: bool) -> None:
        """Apply updates of the endpoint list; a complete list removes the hosts that it does not name."""
        self.load_balancer.update_endpoints(updates, complete)

    def handle_request(self, request: Request) -> None:
        """Start the lifecycle of a new request."""
        self.rate_limiter.account_for(request).advance_window(self.now)
        advance(REQUEST, request, RequestEvent.RECEIVED, self)

    def reject_unsent(self, request: Request) -> None:
        """Reject a new request without checking its quota, as one that was never sent."""
        self.rate_limiter.account_for(request).advance_window(self.now)
        request.state = RequestState.FINISHED
        self.reject_or_fail(request)

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Apply the end of a counter call; `total` is valid only if the outcome is DONE."""
        event = self.rate_limiter.counter_call_finished(call, outcome, total)
        if event is not None and call.request is not None:
            advance(REQUEST, call.request, event, self)

    def attempt_finished(
        self, attempt: Attempt, outcome: Outcome, took_ms: float, final: bool, units: float, _used: int
    ) -> None:
        """Apply the end of an attempt.

        `final` means that the answer of the attempt is the answer of the request. `units`, if above 0, is
        the actual cost of the request; if the outcome is DONE, the counted usage is adjusted to it.
        """
        request = attempt.request
        attempt.outcome = outcome
        self.delivery_ended(attempt)
        request.in_flight -= 1
        request.customer.account.in_flight -= 1
        self.load_balancer.attempt_finished(attempt, outcome, took_ms)
        if outcome is Outcome.DONE and units > 0:
            self.rate_limiter.adjust_usage(request.counter_call, units - request.units)
        advance(REQUEST, request, RequestEvent.ANSWERED if final else RequestEvent.LOST, self)

    def delivery_delayed(self, attempt: Attempt) -> None:
        """Keep the room of the request's units in its ceiling, as they arrive later than they were taken.

        Prevents units that were taken over some time from arriving at hosts at once, together with as many
        that the ceiling has granted since. A retry keeps the room too: no earlier attempt may have arrived.
        """
        request = attempt.request
        ceiling = request.customer.account.ceiling
        if ceiling is not None and attempt.ceiling_in_delivery is None:
            ceiling.delivery_started(request.units)
            attempt.ceiling_in_delivery = ceiling

    def delivery_ended(self, attempt: Attempt) -> None:
        """Let the ceiling refill, as the attempt's request has arrived or never will."""
        if attempt.ceiling_in_delivery is not None:
            attempt.ceiling_in_delivery.delivery_ended(attempt.request.units, self.now)
            attempt.ceiling_in_delivery = None

    def response_started(self, attempt: Attempt) -> None:
        """Record that the first bytes of a streamed answer were sent to the client.

        From then on neither a retry nor another answer may follow.
        """
        advance(REQUEST, attempt.request, RequestEvent.RESPONSE_STARTED, self)

    def client_disconnected(self, request: Request) -> None:
        """Finish a request whose client no longer waits for the answer."""
        advance(REQUEST, request, RequestEvent.CLIENT_GONE, self)

    def timer_fired(self, subject: CounterCall | Attempt) -> None:
        """Handle the end of a counter call's time budget, or the silence check of an attempt."""
        if isinstance(subject, Attempt):
            if subject.outcome is None:
                advance(REQUEST, subject.request, RequestEvent.OVERDUE, self)
        elif self.rate_limiter.counter_call_timed_out(subject):
            advance(REQUEST, subject.request, RequestEvent.NO_TOTAL, self)

    # Effects named in the `REQUEST` table.

    def check_quota(self, request: Request) -> RequestEvent | None:
        """Check the quota, and call the counter if the check needs its total."""
        return self.rate_limiter.check_quota(request)

    def apply_local_fallback(self, request: Request) -> RequestEvent:
        """Decide on the quota without the counter."""
        return self.rate_limiter.local_fallback(request)

    def refund(self, request: Request) -> None:
        """Refund the units of a request whose client left before it was sent."""
        self.rate_limiter.refund(request)

    def send_over_quota(self, request: Request) -> RequestEvent:
        """Refund a request over quota, and send it only if its plan gains more by that than it costs."""
        self.rate_limiter.refund(request)
        if request.plan.over_quota_weight > request.plan.over_quota_cost:
            return self.send(request)
        return RequestEvent.NO_HOST

    def send(self, request: Request) -> RequestEvent:
        """Send the next attempt if a host has capacity for it; the first also needs room in the ceiling."""
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
        self.schedule_silence_check(attempt)
        return RequestEvent.SENT

    def cancel_if_silent(self, request: Request) -> None:
        """Cancel the latest attempt if its host has answered nothing since the attempt was sent.

        The attempt continues if no retry could follow it. Prevents requests from waiting for hosts that
        hang, vanish or lose answers. A host that has answered since then is only slow: its attempt continues,
        and the check is scheduled again.
        """
        attempt = request.attempts[-1]
        retry_budget = self.load_balancer.retry_budget
        if attempt.host.health.answered_at > attempt.sent_at:
            self.schedule_silence_check(attempt)
        elif len(request.attempts) < self.permitted.max_attempts and retry_budget.allows_retry(self.now):
            self.effects.cancel(attempt)

    def reject_or_fail(self, request: Request) -> None:
        """Give the single final answer at once.

        The answer is a rejection if a repeat by the client does no harm, and an error otherwise. The units
        of a request that was never sent are refunded.
        """
        if not request.attempts:
            self.rate_limiter.refund(request)
        if may_invite_repeat(request, self.now):
            retry_after_ms = self.retry_after_ms(request) if self.permitted.retry_after else None
            self.effects.reject(request, retry_after_ms)
        else:
            self.effects.fail(request)

    # Helpers of the effects.

    def allowed_hosts(self, request: Request) -> list[Host]:
        """Return the ready hosts to which the next attempt may be sent."""
        hosts = self.load_balancer.ready
        execution = first_possible_execution(request)
        if request.in_flight or not hosts:
            return []
        if execution is not None and not self.load_balancer.retry_budget.allows_retry(self.now):
            return []
        if len(request.attempts) >= self.permitted.max_attempts:
            return []
        return hosts if execution is None else retry_hosts(request, execution, hosts, self.now)

    def new_attempt(self, request: Request, host: Host) -> Attempt:
        """Create the next attempt.

        If a keyed request may have run, the retry must reach its host within the idempotency window, and the
        time to connect and to write counts towards that window.
        """
        attempt = Attempt(request, host, self.now, len(host.health.in_flight))
        execution = first_possible_execution(request)
        if execution is not None and retry_condition(request) is RepeatCondition.IN_SCOPE:
            attempt.deliver_before = execution.sent_at + request.request_class.idempotency_window_ms
        return attempt

    def attempt_deadline(self, request: Request) -> float | None:
        """Return when the latency objective ends the attempt, in Unix ms, or None if it does not.

        The deadline of the request applies as well, if it is earlier. Prevents hosts from working on answers
        that are already too late. None for an idempotent request, as its client would only send it again, and
        for a request class in which a late answer has value.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or request_class.late_priority_weight:
            return None
        return request.received_at + request_class.latency_objective_ms

    def schedule_silence_check(self, attempt: Attempt) -> None:
        """Schedule a silence check if a retry after it is permitted and could be answered in time."""
        request = attempt.request
        if retry_condition(request) is RepeatCondition.NEVER or not self.permitted.cancel:
            return
        estimates = self.load_balancer.estimates
        mean_ms = estimates.mean_answer_ms(self.now) * estimates.request_work(request, self.now)
        answer_by = self.now + (SILENCE_CHECK_MULTIPLE + 1.0) * mean_ms
        if answer_by < request.received_at + request.request_class.latency_objective_ms:
            self.effects.start_timer(SILENCE_CHECK_MULTIPLE * mean_ms, attempt)

    def retry_after_ms(self, request: Request) -> float:
        """Return the time in ms after which a repeat may succeed, at most the permitted maximum.

        It is the longest of the mean answer time and the waits until the burst and, for a request that was
        never sent, the ceiling have room.
        """
        account: QuotaAccount = request.customer.account
        waits_ms = [self.load_balancer.estimates.mean_answer_ms(self.now)]
        if request.plan.rate > 0:
            waits_ms.append(self.rate_limiter.retry_after_ms(request))
        if account.ceiling is not None and not request.attempts:
            waits_ms.append((request.units - account.ceiling.available(self.now)) / account.ceiling.rate)
        return min(max(waits_ms), self.permitted.max_retry_after_ms)
