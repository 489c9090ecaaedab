"""Tests of request decisions, one for each known failure.

They run against the fake hosts, customers and counter of tests/helpers/fake_gateway.py.
"""

from dataclasses import replace

from fake_gateway import (
    CAPPED,
    FEW_IN_FLIGHT,
    KEYED,
    KEYED_BY_ZONE,
    NON_IDEMPOTENT,
    PLAN,
    READ,
    GatewayHarness,
)

from granitedock.policy.states import BreakerState, HostState
from granitedock.policy.types import Customer, EndpointStatus, Host, Outcome


def test_a_request_within_quota_is_counted_once_and_sent():
    harness = GatewayHarness()
    request = harness.admit()
    assert [call.amount for call in harness.calls] == [1]
    assert [attempt.request for attempt in harness.attempts] == [request]


def test_a_request_over_quota_is_rejected_at_once_and_refunded_only_once():
    harness = GatewayHarness()
    harness.send_request(units=2)
    harness.answer_call(total=500)
    assert len(harness.rejected) == 1 and harness.rejected[0][1] > 0
    assert [call.amount for call in harness.calls] == [2, -2]
    harness.answer_call(total=498)
    harness.pass_ms(200)
    assert len(harness.calls) == 2


def test_a_refund_is_a_call_of_its_own_only_while_the_counter_has_spare_capacity():
    """While the counter is overloaded, a refund goes with the next increment, and stays due if that fails."""
    harness, customer = GatewayHarness(), Customer(5)
    harness.send_request(customer=customer, units=2)
    harness.answer_call(total=500)
    assert [call.amount for call in harness.calls] == [2, -2]
    harness.send_request(customer=Customer(6))
    harness.answer_call(Outcome.OVERLOADED)
    harness.pass_ms(3000)  # The burst usage of the first customer is not refilled yet.
    other = Customer(7)
    harness.send_request(customer=other, units=2)
    harness.answer_call(total=22.8)
    assert len(harness.rejected) == 2 and other.account.refund_due == 2
    harness.pass_ms(600)
    harness.send_request(customer=other, units=1)
    assert harness.calls[-1].amount == -1
    harness.answer_call(Outcome.OVERLOADED)
    assert other.account.refund_due == 2  # The increment is proved not added, so the refund is still due.


def test_an_overloaded_counter_gets_no_calls_that_cannot_change_the_decision():
    """Calls for customers whose burst is used up add load to the counter and end in a rejection anyway."""
    harness, customer = GatewayHarness(), Customer(5)
    harness.send_request(customer=Customer(6))
    harness.answer_call(Outcome.OVERLOADED)
    harness.send_request(customer=customer, units=2)
    harness.answer_call(total=500)
    harness.send_request(customer=customer, units=3)
    assert len(harness.calls) == 2 and len(harness.rejected) == 2


def test_burst_usage_is_limited_by_the_burst_even_if_the_window_has_room():
    harness, customer = GatewayHarness(hosts=6), Customer(5)
    for total in range(5, 45, 5):
        harness.send_request(customer=customer, units=5)
        harness.answer_call(total=min(total, 25))
    assert len(harness.attempts) == 4  # The burst is 20 units.
    assert harness.rejected


def test_counter_names_are_equal_at_every_gateway_and_differ_between_windows():
    """Otherwise the usage of the gateways is not added up, or a window includes the one before it."""
    first, second = GatewayHarness(number=0), GatewayHarness(number=1)
    first.send_request(customer=Customer(42))
    second.send_request(customer=Customer(42))
    assert first.calls[0].name == second.calls[0].name
    first.pass_ms(30000)
    first.send_request(customer=Customer(42))
    assert first.calls[-1].name != first.calls[0].name
    assert 0 <= first.calls[-1].name < 2**63 and first.calls[0].ttl_ms <= 60000


def test_a_late_total_keeps_the_units_of_a_sent_request_and_refunds_a_rejected_one():
    harness, customer = GatewayHarness(), Customer(5)
    admitted = harness.send_request(customer=customer, units=5)
    harness.pass_ms(25)  # The call exceeds its budget, and the local fallback admits the request.
    assert [attempt.request for attempt in harness.attempts] == [admitted]
    harness.answer_call(total=5)
    assert len(harness.calls) == 1
    over_quota = harness.send_request(customer=customer, units=8)
    harness.pass_ms(40)  # The budget has grown with the measured call time.
    assert [request for request, _ in harness.rejected] == [over_quota]
    harness.answer_call(total=13)
    assert customer.account.refund_due == 8


def test_calls_to_a_slow_counter_are_waited_for_up_to_the_limit_of_the_call_budget():
    """The call budget grows with the measured call time, up to a limit.

    Without growth every call to a slow counter times out; without the limit requests wait too long for it.
    """
    harness = GatewayHarness(hosts=12)
    for call_ms, max_late in (15, 0), (30, 0), (60, 0), (150, 0), (240, 0), (260, 10), (260, 10):
        for _ in range(10):
            request = harness.send_request(customer=Customer(len(harness.calls)))
            harness.pass_ms(call_ms)
            harness.answer_call()
            assert len(request.attempts) == 1
            harness.finish(Outcome.DONE)
        timed_out = [call.timed_out for call in harness.calls[-10:]]
        assert sum(timed_out) <= max_late + (call_ms == 30) + 4 * (call_ms in (60, 150, 240)), call_ms
    assert all(call.timed_out for call in harness.calls[-2:])


def test_failures_reduce_the_counted_share_and_five_in_a_row_open_the_breaker():
    harness = GatewayHarness(hosts=12)
    for _ in range(20):
        harness.send_request(customer=Customer(5))
        if not harness.calls[-1].answered:
            harness.answer_call(Outcome.CONNECTION_FAILED)
    assert len(harness.calls) == 5  # The local fallback decides the rest, at last with the breaker open.
    harness.pass_ms(1500)
    harness.send_request(customer=Customer(7))
    harness.send_request(customer=Customer(8))
    assert len(harness.calls) == 6  # The half-open breaker allows one trial.
    harness.answer_call()
    for step in range(20):
        harness.send_request(customer=Customer(20 + step))
        if not harness.calls[-1].answered:
            harness.answer_call()
    assert 8 < len(harness.calls) < 20  # Successes increase the counted share.
    assert len(harness.log_lines) == 3  # One line for each change of state.


def test_broken_connections_to_the_counter_do_not_count_as_overload():
    """Resets come from the network; if they reduced the counted share, fewer requests would be counted."""
    harness = GatewayHarness(hosts=12)
    for step in range(40):
        request = harness.send_request(customer=Customer(step))
        harness.answer_call(Outcome.RESET if step % 2 else Outcome.DONE)
        assert len(request.attempts) == 1
        harness.finish(Outcome.DONE)
    assert len(harness.calls) == 40 and harness.gateway.breaker.has_spare_capacity()


def test_the_local_fallback_admits_an_even_share_of_the_burst():
    harness, customer = GatewayHarness(), Customer(5)
    for _ in range(30):
        harness.send_request(customer=customer, units=2, subset_size=4)
        harness.answer_call(Outcome.OVERLOADED)
        if harness.attempts and harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
    assert 1 <= len(harness.attempts) <= 3  # A quarter of the burst of 20 units.


def test_shares_of_ended_gateways_are_taken_over_without_a_burst_and_ceilings_never():
    """A burst at each takeover would admit more than the quota.

    A ceiling is hard, so its shares stay divided among all gateways of the subset.
    """

    class Membership:
        def active_members(self, subset_start, subset_size):
            return self.active_gateways

    def admits(harness, customer, seconds, plan):
        before = len(harness.attempts)
        for _ in range(seconds * 40):
            harness.send_request(customer=customer, plan=plan, subset_size=4)
            harness.pass_ms(25)
            if harness.attempts and harness.attempts[-1].outcome is None:
                harness.finish(Outcome.DONE)
        return len(harness.attempts) - before

    harness, customer, peers = GatewayHarness(), Customer(5), Membership()
    harness.gateway.rate_limiter.membership, peers.active_gateways = peers, 4
    assert 28 <= admits(harness, customer, 10, PLAN) <= 32  # A quarter of 10/s and of the burst of 20.
    peers.active_gateways = 2
    assert 48 <= admits(harness, customer, 10, PLAN) <= 52  # Half of the rate, and no burst.
    peers.active_gateways = 4
    assert 23 <= admits(harness, customer, 10, PLAN) <= 27
    peers.active_gateways, capped = 1, Customer(6)
    assert admits(harness, capped, 20, CAPPED) <= (40 + 4 + 20 * 20) / 4 + 1  # Its even share of the ceiling.


def test_a_ceiling_holds_if_every_gateway_restarts_while_the_counter_does_not_answer():
    """A ceiling that is full after each start would admit its burst again with each restart."""
    used = 0.0
    for _restart in range(2):
        for number in range(2):
            harness, customer = GatewayHarness(number=number), Customer(5)
            for _ in range(20):
                harness.send_request(plan=CAPPED, customer=customer, units=1)
                harness.pass_ms(25)
            used += len(harness.attempts)
    assert used <= 40 + 4 + 2 * 20 * 25 * 0.02


def test_the_ceiling_share_of_a_new_customer_fills_from_the_start_of_the_process():
    # Otherwise a deployment whose one plan has a ceiling rejects half of the requests within quota: each
    # gateway rarely serves each customer, and at each first request the share has only just begun to fill.
    for process_age_ms, min_attempts, max_attempts in ((0, 1, 3), (1000, 11, 13), (20000, 20, 20)):
        harness, customer = GatewayHarness(gateways=2), Customer(5)
        harness.pass_ms(process_age_ms)
        for _ in range(30):
            harness.send_request(plan=CAPPED, customer=customer, units=1)
            harness.answer_call(total=1)
            if harness.attempts and harness.attempts[-1].outcome is None:
                harness.finish(Outcome.DONE)
        assert min_attempts <= len(harness.attempts) <= max_attempts, process_age_ms
    # The share is as full as if the customer were known but idle from the start; a restart begins again.
    used = 0
    for _restart in range(3):
        for number in range(2):
            harness, customer = GatewayHarness(number=number), Customer(5)
            harness.pass_ms(2000)
            for _ in range(80):
                harness.send_request(plan=CAPPED, customer=customer, units=1)
                harness.pass_ms(25)
            used += len(harness.attempts)
    assert used <= 40 + 4 + 3 * 4000 * 0.02


def test_a_plan_limits_requests_in_flight():
    harness, customer = GatewayHarness(), Customer(5)
    for _ in range(4):
        harness.send_request(plan=FEW_IN_FLIGHT, customer=customer)
    assert len(harness.attempts) == 2 and len(harness.rejected) == 2
    harness.finish(Outcome.DONE)
    harness.send_request(plan=FEW_IN_FLIGHT, customer=customer)
    assert len(harness.attempts) == 3


def test_usage_is_adjusted_to_the_units_stated_in_the_answer():
    harness = GatewayHarness()
    harness.admit(units=2)
    harness.gateway.attempt_finished(harness.attempts[0], Outcome.DONE, 50, True, 5, 0)
    harness.pass_ms(200)
    assert harness.calls[-1].amount == 3


def test_a_retry_follows_an_attempt_that_never_ran():
    for request_class in (READ, KEYED, KEYED_BY_ZONE, NON_IDEMPOTENT):
        harness = GatewayHarness()
        harness.admit(request_class)
        harness.finish(Outcome.CONNECTION_FAILED)
        assert len(harness.attempts) == 2
        assert harness.attempts[0].host is not harness.attempts[1].host


def test_after_an_attempt_that_may_have_run_only_repeatable_requests_are_retried():
    """A retry of a non-idempotent request could run it twice."""
    retry_allowed = {READ: True, KEYED: True, KEYED_BY_ZONE: True, NON_IDEMPOTENT: False}
    for request_class, allowed in retry_allowed.items():
        harness = GatewayHarness()
        harness.admit(request_class)
        harness.finish(Outcome.RESET)
        assert (len(harness.attempts) == 2) is allowed
        assert (harness.failed != []) is not allowed
        assert not harness.rejected


def test_a_keyed_request_is_retried_only_within_its_idempotency_scope_and_window():
    """Outside of them no host drops the repeat, and the request could run twice."""
    harness = GatewayHarness(hosts=2)
    harness.update_endpoints(
        EndpointStatus.READY, *harness.hosts, zones={harness.hosts[0]: "a", harness.hosts[1]: "b"}
    )
    harness.admit(KEYED_BY_ZONE)
    harness.update_endpoints(EndpointStatus.GONE, harness.attempts[0].host)
    harness.finish(Outcome.RESET)
    # A repeat is allowed only in the scope, and a rejection would invite the client to send one.
    assert len(harness.attempts) == 1 and len(harness.failed) == 1
    harness = GatewayHarness()
    harness.admit(KEYED)
    harness.pass_ms(3001)
    harness.finish(Outcome.TIMEOUT, 3001)
    assert len(harness.attempts) == 1 and len(harness.failed) == 1


def test_a_keyed_request_is_not_retried_after_any_attempt_that_may_have_reached_another_zone():
    """A process that took the address of an attempt's host, in another zone, would not drop the repeat."""
    for zone, attempts in (("z", 3), ("other", 2)):
        harness = GatewayHarness(hosts=4)
        harness.admit(KEYED_BY_ZONE)
        harness.finish(Outcome.RESET)
        assert len(harness.attempts) == 2
        harness.attempts[-1].host.successor = Host(zone="z", successor=Host(zone=zone))
        harness.finish(Outcome.RESET)
        assert len(harness.attempts) == attempts and bool(harness.failed) is (attempts == 2)


def test_a_timeout_at_the_deadline_gives_one_final_answer_and_no_retry():
    harness = GatewayHarness()
    request = harness.admit(time_left_ms=900)
    harness.gateway.advance_clock(harness.gateway.now + 900)
    harness.finish(Outcome.TIMEOUT, 900)
    assert [rejected for rejected, _ in harness.rejected] == [request] and len(harness.attempts) == 1
    harness.gateway.client_disconnected(request)
    assert len(harness.rejected) == 1 and not harness.failed


def test_a_client_that_disconnects_during_the_counter_call_gets_no_answer_but_a_refund():
    harness = GatewayHarness()
    request = harness.send_request(units=3)
    harness.gateway.client_disconnected(request)
    harness.answer_call(total=3)
    harness.pass_ms(200)
    assert not harness.attempts and not harness.rejected and harness.calls[-1].amount == -3


def test_draining_and_gone_hosts_get_no_requests_and_without_any_host_they_are_rejected():
    harness = GatewayHarness(hosts=2)
    harness.update_endpoints(EndpointStatus.DRAINING, harness.hosts[0])
    for _ in range(4):
        harness.admit(customer=Customer(5), units=1)
        harness.finish(Outcome.DONE)
    assert all(attempt.host is harness.hosts[1] for attempt in harness.attempts)
    harness.update_endpoints(EndpointStatus.GONE, harness.hosts[1])
    harness.admit(customer=Customer(6))
    assert len(harness.rejected) == 1


def test_a_warming_host_gets_its_capacity_share_and_a_fleet_of_warming_hosts_is_usable():
    """Prevents overload of hosts that have just started, and the rejection of most requests if all have.

    Warm hosts earn the credit by which warming hosts get requests. If every host warms up, a few requests are
    sent without credit, and their answers earn more.
    """
    harness = GatewayHarness()
    warming = harness.hosts[0]
    harness.update_endpoints(EndpointStatus.READY, warming, started_at=harness.gateway.now)
    for step in range(60):
        harness.admit(customer=Customer(step))
        harness.finish(Outcome.DONE)
        harness.pass_ms(25)
    to_warming = [attempt for attempt in harness.attempts if attempt.host is warming]
    assert 60 / 3 * 0.1 <= len(to_warming) <= 60 / 3 * 0.5
    gaps_ms = [b.sent_at - a.sent_at for a, b in zip(to_warming, to_warming[1:])]
    assert min(gaps_ms) >= 100  # Four requests apart, so that none queues behind another.
    harness = GatewayHarness(started_at=99999.0)
    for step in range(60):
        harness.admit(customer=Customer(step))
        if harness.attempts and harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
        harness.pass_ms(25)
    assert len(harness.attempts) >= 20  # A capacity share of 0.2 to 0.3, and the credit for answers.


def test_an_attempt_at_a_silent_host_is_cancelled_and_retried_but_not_one_at_a_slow_host():
    harness = GatewayHarness(hosts=2)
    harness.admit(KEYED)
    harness.pass_ms(900)
    assert harness.cancelled == [harness.attempts[0]]
    harness.finish(Outcome.CANCELLED, 900)
    assert harness.attempts[1].host is not harness.attempts[0].host
    harness = GatewayHarness(hosts=1)
    harness.admit(KEYED)
    harness.pass_ms(100)
    harness.admit(customer=Customer(7))
    harness.finish(Outcome.DONE, 20)
    harness.pass_ms(800)
    assert not harness.cancelled


def test_failures_in_a_row_eject_a_host_but_never_all_hosts():
    """If all hosts fail the cause is shared, and ejecting them would reject every request."""
    harness = GatewayHarness(hosts=3)
    bad = harness.hosts[0]
    for step in range(40):
        harness.admit(customer=Customer(step))
        attempt = harness.attempts[-1]
        harness.finish(Outcome.ERROR if attempt.host is bad else Outcome.DONE)
        while harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
    assert len([attempt for attempt in harness.attempts if attempt.host is bad]) <= 4
    harness = GatewayHarness(hosts=3)
    for step in range(30):
        harness.admit(NON_IDEMPOTENT, customer=Customer(step))
        harness.finish(Outcome.ERROR)
    assert len(harness.attempts) == 30


def test_a_host_that_answers_again_after_its_ejection_counts_as_warming_up():
    """The host may have restarted unnoticed, and its full share would overload it."""
    harness = GatewayHarness(hosts=1)
    host = harness.hosts[0]
    for step in range(3):
        harness.admit(NON_IDEMPOTENT, customer=Customer(step))
        harness.finish(Outcome.RESET, 300)
    assert host.health.state is HostState.EJECTED
    harness.pass_ms(3100)
    harness.admit(customer=Customer(9))
    harness.finish(Outcome.DONE, 20)
    assert host.health.state is HostState.HEALTHY and harness.capacity_share(host) < 0.3
    harness.pass_ms(10000)
    assert harness.capacity_share(host) == 1.0


def test_requests_are_rejected_if_the_queue_of_every_host_is_too_long_for_an_answer_in_time():
    harness = GatewayHarness(hosts=1)
    for step in range(12):
        harness.admit(customer=Customer(step))
    assert 1 <= len(harness.attempts) < 12 and harness.rejected


def test_accounts_of_customers_with_a_single_request_are_dropped():
    """A flood of such customers would otherwise fill the memory."""
    harness = GatewayHarness()
    for step in range(200):
        harness.admit(customer=Customer(step))
        harness.finish(Outcome.DONE)
        harness.pass_ms(1000)
    assert len(harness.gateway.rate_limiter.accounts) <= 70


def test_a_restarted_gateway_uses_totals_that_include_other_gateways():
    harness = GatewayHarness(at=100000.0)
    harness.send_request(plan=PLAN, units=1)
    harness.answer_call(total=500)
    assert not harness.attempts and len(harness.rejected) == 1


def test_requests_are_spread_by_registered_size_with_few_draws_for_each_request():
    """The work to choose a host must not grow with the number of hosts."""
    harness = GatewayHarness(hosts=300)
    harness.update_endpoints(EndpointStatus.READY, *harness.hosts[:100], size=4.0)
    for step in range(300):
        harness.admit(customer=Customer(step))
        harness.finish(Outcome.DONE)
        harness.pass_ms(20)
    large = sum(attempt.host in harness.hosts[:100] for attempt in harness.attempts)
    assert 160 < large < 240  # The large hosts have two thirds of the total size.
    assert harness.gateway.load_balancer.random.draws <= 3 * 300


def test_a_host_that_refuses_one_plan_still_gets_other_plans_and_the_refused_request_is_retried():
    """The refused request never ran, so even a non-idempotent one is sent to another host."""
    harness = GatewayHarness(hosts=2)
    request = harness.admit(NON_IDEMPOTENT, customer=Customer(1))
    refusing_host = harness.attempts[-1].host
    harness.finish(Outcome.OVERLOADED)
    assert harness.attempts[-1].request is request and harness.attempts[-1].host is not refusing_host
    harness.finish(Outcome.DONE)
    for step in range(20):
        harness.admit(customer=Customer(10 + step))
        assert harness.attempts[-1].host is not refusing_host
        harness.finish(Outcome.DONE)
        harness.admit(customer=Customer(40 + step), plan=CAPPED)
        if harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
    assert refusing_host.health.state is HostState.HEALTHY
    assert refusing_host in [attempt.host for attempt in harness.attempts if attempt.request.plan is CAPPED]
    harness.pass_ms(3001)
    for step in range(20):
        harness.admit(customer=Customer(70 + step))
        harness.finish(Outcome.DONE)
    assert refusing_host in [attempt.host for attempt in harness.attempts[-20:]]


def test_attempts_end_at_the_latency_objective_unless_idempotent_and_none_starts_after_it():
    """Otherwise hosts work on answers that are already too late.

    An attempt of an idempotent request continues, as its client would only send the request again.
    """
    harness = GatewayHarness()
    harness.admit(READ)
    harness.admit(KEYED, customer=Customer(5))
    harness.admit(NON_IDEMPOTENT, customer=Customer(6))
    objective_at = harness.gateway.now + 2000
    assert harness.attempt_deadlines == [None, objective_at, objective_at]
    harness.finish(Outcome.TIMEOUT, 2000)
    assert len(harness.failed) == 1
    for step in range(1500):  # Holds for any random draw.
        harness.send_request(customer=Customer(step), time_left_ms=0.0)
        harness.answer_call(total=1)
    assert len(harness.attempts) == 3 and len(harness.rejected) == 1500


def test_late_retries_past_their_objective_are_not_counted_while_the_counter_is_overloaded():
    harness = GatewayHarness(hosts=6)
    for step in range(4):
        harness.admit(customer=Customer(step), time_left_ms=3000)
    # The counter has spare capacity: counted like any other.
    harness.admit(customer=Customer(8), time_left_ms=1900)
    assert len(harness.calls) == 5
    harness.send_request(customer=Customer(9), time_left_ms=3000)
    harness.answer_call(Outcome.OVERLOADED)
    harness.send_request(customer=Customer(10), time_left_ms=1900)
    assert len(harness.calls) == 6 and len(harness.rejected) == 1
    harness.send_request(customer=Customer(11), time_left_ms=3000)
    assert len(harness.calls) == 7


def test_a_local_share_smaller_than_a_request_admits_one_and_goes_into_debt():
    """A share that must hold a whole request first would never admit one."""
    harness, customer = GatewayHarness(hosts=9), Customer(5)
    harness.send_request(customer=customer, units=3, subset_size=100)
    harness.answer_call(total=8)  # A part of the burst is used.
    for _ in range(3):
        harness.send_request(customer=customer, units=3, subset_size=100)
        if not harness.calls[-1].answered:
            harness.answer_call(Outcome.OVERLOADED)
    assert len(harness.attempts) == 2 and len(harness.rejected) == 2
    assert customer.account.burst_usage_now(harness.gateway.now) <= PLAN.burst


def test_many_gateways_limit_overload_though_each_has_few_attempts():
    """A gateway with few attempts in flight does not see the queues that the others cause."""
    harness = GatewayHarness(hosts=40, gateways=100)
    for step in range(60):
        harness.admit(customer=Customer(step))
        if harness.attempts and harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE, 2500)
        harness.pass_ms(300)
    assert 10 < len(harness.rejected) < 55  # Some are still sent, which shows when the overload ends.


def test_many_gateways_together_warm_up_many_hosts_without_overloading_any():
    """Each gateway counts only its own requests, while their sum could overload a warming host."""
    sent, warm_rate = {}, 0
    for number in range(8):
        harness = GatewayHarness(hosts=12, number=number, gateways=8)
        for index, host in enumerate(harness.hosts[:8]):
            harness.update_endpoints(EndpointStatus.READY, host, started_at=99000.0 + index)
        for step in range(80):
            harness.admit(customer=Customer(step))
            harness.finish(Outcome.DONE)
            harness.pass_ms(50)
        for attempt in harness.attempts:
            if attempt.host in harness.hosts[:8]:
                sent.setdefault(harness.hosts.index(attempt.host), []).append(attempt.sent_at)
            else:
                warm_rate += 1 / 4 / 4  # Requests per second at each of the four warm hosts.
    assert len(sent) == 8
    for sent_times in sent.values():
        for start in sent_times:
            capacity = 2 * (0.2 + 0.8 * (start - 99000.0) / 10000) * warm_rate
            assert sum(start <= at < start + 1000 for at in sent_times) <= capacity + 2 * capacity**0.5 + 2


def test_no_request_is_rejected_or_failed_twice_while_the_counter_is_down_and_hosts_drain():
    """Lost answers, a counter that is down and draining hosts at once must not cause a second answer."""
    harness = GatewayHarness(hosts=6)
    for step in range(30):
        request = harness.send_request(KEYED, customer=Customer(step), subset_size=1)
        if not harness.calls[-1].answered:
            harness.answer_call(Outcome.CONNECTION_FAILED)
        if step == 10:
            harness.update_endpoints(EndpointStatus.DRAINING, *harness.hosts[:2])
            drained_at, attempts_before = harness.gateway.now, len(harness.attempts)
        if step % 3:
            harness.finish(Outcome.DONE)
        harness.pass_ms(40)
    harness.pass_ms(3000)
    for attempt in harness.cancelled:
        if attempt.outcome is None:
            harness.finish(Outcome.CANCELLED, 900, attempt)
    assert request.attempts and harness.cancelled and drained_at
    assert all(attempt.host not in harness.hosts[:2] for attempt in harness.attempts[attempts_before:])
    answered = [request for request, _ in harness.rejected] + harness.failed
    assert len(answered) == len(set(map(id, answered)))


def test_a_host_that_slows_down_gets_fewer_requests_and_warms_up_after_its_restart():
    harness, slowing_host = GatewayHarness(hosts=4), None
    for step in range(120):
        harness.admit(customer=Customer(step))
        if step == 60:
            earlier_hosts = [attempt.host for attempt in harness.attempts]
            slowing_host = max(harness.hosts, key=earlier_hosts.count)
        extra_ms = 20 * (step - 60) if harness.attempts[-1].host is slowing_host else 0
        harness.finish(Outcome.DONE, 100 + extra_ms)
        harness.pass_ms(25)
    later_hosts = [attempt.host for attempt in harness.attempts[80:]]
    assert later_hosts.count(slowing_host) / 40 < 0.5 * earlier_hosts.count(slowing_host) / 60
    harness.update_endpoints(EndpointStatus.READY, slowing_host, started_at=harness.gateway.now)
    assert slowing_host.health.service_time.sums(harness.gateway.now) == (0, 0)
    assert harness.capacity_share(slowing_host) < 0.3


def test_a_shift_to_a_heavy_request_class_is_not_mistaken_for_slow_hosts():
    """If it were, most of the heavy requests would be rejected."""
    harness = GatewayHarness(hosts=6)
    for step in range(200):
        heavy = step > 60
        harness.admit(KEYED if heavy else READ, customer=Customer(step))
        harness.finish(Outcome.DONE, 500 if heavy else 100)
        harness.pass_ms(50)
    assert len(harness.attempts) > 190
    light = harness.request_work(READ)
    assert harness.request_work(KEYED) > 2 * light


def test_quarantine_is_proportional_to_the_latency_objective():
    """A deployment with shorter latency objectives must call the counter again sooner."""
    for request_class, wait_ms in (READ, 1500), (replace(READ, latency_objective_ms=200), 300):
        harness = GatewayHarness(hosts=12, request_classes=(request_class,))
        harness.pass_ms(0)
        for step in range(20):
            harness.send_request(request_class, customer=Customer(step))
            if not harness.calls[-1].answered:
                harness.answer_call(Outcome.CONNECTION_FAILED)
        assert len(harness.calls) == 5 and harness.gateway.breaker.state is BreakerState.OPEN
        harness.pass_ms(wait_ms - 10)
        harness.send_request(request_class)
        assert len(harness.calls) == 5  # The quarantine is not over yet.
        harness.pass_ms(10)
        harness.send_request(request_class)
        assert len(harness.calls) == 6
