"""One short test for each failure met, against the surroundings in tests/helpers/fake_gateway.py."""

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
from granitedock.policy.types import Customer, EndpointStatus, Outcome


def test_a_request_within_quota_is_counted_once_and_sent():
    harness = GatewayHarness()
    request = harness.admit()
    assert [call.amount for call in harness.calls] == [1]
    assert [attempt.request for attempt in harness.attempts] == [request]


def test_a_request_over_quota_is_rejected_at_once_and_refunded_only_once():
    harness = GatewayHarness()
    harness.ask(units=2)
    harness.answer_call(total=500)
    assert len(harness.rejected) == 1 and harness.rejected[0][1] > 0
    assert [call.amount for call in harness.calls] == [2, -2]
    harness.answer_call(total=498)
    harness.pass_ms(200)
    assert len(harness.calls) == 2


def test_a_refund_is_sent_while_the_counter_is_calm_and_goes_with_the_next_increment_while_it_is_crowded():
    harness, customer = GatewayHarness(), Customer(5)
    harness.ask(customer=customer, units=2)
    harness.answer_call(total=500)
    assert [call.amount for call in harness.calls] == [2, -2]
    harness.ask(customer=Customer(6))
    harness.answer_call(Outcome.OVERLOADED)
    harness.pass_ms(3000)  # the burst usage of the first is not yet refilled
    other = Customer(7)
    harness.ask(customer=other, units=2)
    harness.answer_call(total=22.8)
    assert len(harness.rejected) == 2 and other.account.refund_owed == 2
    harness.pass_ms(600)
    harness.ask(customer=other, units=1)
    assert harness.calls[-1].amount == -1
    harness.answer_call(Outcome.OVERLOADED)
    assert other.account.refund_owed == 2  # proved not added: owed as before


def test_a_crowded_counter_is_spared_calls_that_cannot_change_the_answer():
    harness, customer = GatewayHarness(), Customer(5)
    harness.ask(customer=Customer(6))
    harness.answer_call(Outcome.OVERLOADED)
    harness.ask(customer=customer, units=2)
    harness.answer_call(total=500)
    harness.ask(customer=customer, units=3)
    assert len(harness.calls) == 2 and len(harness.rejected) == 2


def test_burst_usage_may_not_pass_the_burst_though_the_window_has_room():
    harness, customer = GatewayHarness(hosts=6), Customer(5)
    for total in range(5, 45, 5):
        harness.ask(customer=customer, units=5)
        harness.answer_call(total=min(total, 25))
    assert len(harness.attempts) == 4  # a burst of twenty units
    assert harness.rejected


def test_the_name_is_the_same_at_every_gateway_and_apart_for_each_window():
    one, other = GatewayHarness(number=0), GatewayHarness(number=1)
    one.ask(customer=Customer(42))
    other.ask(customer=Customer(42))
    assert one.calls[0].name == other.calls[0].name
    one.pass_ms(30000)
    one.ask(customer=Customer(42))
    assert one.calls[-1].name != one.calls[0].name
    assert 0 <= one.calls[-1].name < 2**63 and one.calls[0].ttl_ms <= 60000


def test_a_late_total_keeps_a_sent_requests_units_and_refunds_a_rejected_ones():
    harness, customer = GatewayHarness(), Customer(5)
    kept = harness.ask(customer=customer, units=5)
    harness.pass_ms(25)  # past the budget: the local fallback admits it
    assert [attempt.request for attempt in harness.attempts] == [kept]
    harness.answer_call(total=5)
    assert len(harness.calls) == 1
    refused = harness.ask(customer=customer, units=8)
    harness.pass_ms(40)  # the budget has grown with the time seen
    assert [request for request, _ in harness.rejected] == [refused]
    harness.answer_call(total=13)
    assert customer.account.refund_owed == 8


def test_a_counter_that_is_only_slow_is_waited_for_and_one_that_crawls_is_not():
    harness = GatewayHarness(hosts=12)
    for took, late in (15, 0), (30, 0), (60, 0), (150, 0), (240, 0), (260, 10), (260, 10):
        for _ in range(10):
            request = harness.ask(customer=Customer(len(harness.calls)))
            harness.pass_ms(took)
            harness.answer_call()
            assert len(request.attempts) == 1
            harness.finish(Outcome.DONE)
        timed_out = [call.timed_out for call in harness.calls[-10:]]
        assert sum(timed_out) <= late + (took == 30) + 4 * (took in (60, 150, 240)), took
    assert all(call.timed_out for call in harness.calls[-2:])


def test_failures_cut_the_share_of_requests_that_is_counted_and_five_open_the_breaker():
    harness = GatewayHarness(hosts=12)
    for _ in range(20):
        harness.ask(customer=Customer(5))
        if not harness.calls[-1].answered:
            harness.answer_call(Outcome.CONNECTION_FAILED)
    assert len(harness.calls) == 5  # the rest were decided here, at last by the open breaker
    harness.pass_ms(1500)
    harness.ask(customer=Customer(7))
    harness.ask(customer=Customer(8))
    assert len(harness.calls) == 6  # one trial
    harness.answer_call()
    for step in range(20):
        harness.ask(customer=Customer(20 + step))
        if not harness.calls[-1].answered:
            harness.answer_call()
    assert 8 < len(harness.calls) < 20  # successes let the share grow
    assert len(harness.log_lines) == 3  # one line for each change of state


def test_connections_to_the_counter_that_break_say_nothing_of_a_crowd():
    harness = GatewayHarness(hosts=12)
    for step in range(40):
        request = harness.ask(customer=Customer(step))
        harness.answer_call(Outcome.RESET if step % 2 else Outcome.DONE)
        assert len(request.attempts) == 1
        harness.finish(Outcome.DONE)
    assert len(harness.calls) == 40 and harness.gateway.breaker.is_calm()


def test_the_local_fallback_bucket_gives_an_even_share():
    harness, customer = GatewayHarness(), Customer(5)
    for _ in range(30):
        harness.ask(customer=customer, units=2, subset_size=4)
        harness.answer_call(Outcome.OVERLOADED)
        if harness.attempts and harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
    assert 1 <= len(harness.attempts) <= 3  # a quarter of twenty units at once


def test_shares_of_those_that_ended_are_taken_over_without_a_burst_and_ceilings_never():
    class Membership:
        def active_members(self, subset_start, subset_size):
            return self.number

    def admits(harness, customer, seconds, plan):
        before = len(harness.attempts)
        for _ in range(seconds * 40):
            harness.ask(customer=customer, plan=plan, subset_size=4)
            harness.pass_ms(25)
            if harness.attempts and harness.attempts[-1].outcome is None:
                harness.finish(Outcome.DONE)
        return len(harness.attempts) - before

    harness, customer, peers = GatewayHarness(), Customer(5), Membership()
    harness.gateway.rate_limiter.membership, peers.number = peers, 4
    assert 28 <= admits(harness, customer, 10, PLAN) <= 32  # a quarter of ten a second, and of twenty at once
    peers.number = 2
    assert 48 <= admits(harness, customer, 10, PLAN) <= 52  # half of the rate, and nothing at once
    peers.number = 4
    assert 23 <= admits(harness, customer, 10, PLAN) <= 27
    peers.number, capped = 1, Customer(6)
    assert admits(harness, capped, 20, CAPPED) <= (40 + 4 + 20 * 20) / 4 + 1  # its even share of the ceiling


def test_a_ceiling_holds_through_restarts_of_every_gateway_with_the_counter_silent():
    used = 0.0
    for _life in range(2):
        for number in range(2):
            harness, customer = GatewayHarness(number=number), Customer(5)
            for _ in range(20):
                harness.ask(plan=CAPPED, customer=customer, units=1)
                harness.pass_ms(25)
            used += len(harness.attempts)
    assert used <= 40 + 4 + 2 * 20 * 25 * 0.02


def test_a_customer_seen_late_under_a_ceiling_finds_what_its_share_gained_since_the_process_began():
    # A deployment whose one plan has a ceiling refused half of what was within quota: each gateway met each
    # customer rarely, and each first request found a share that had only just begun to fill.
    for began_ms_ago, least, most in ((0, 1, 3), (1000, 11, 13), (20000, 20, 20)):
        harness, customer = GatewayHarness(gateways=2), Customer(5)
        harness.pass_ms(began_ms_ago)
        for _ in range(30):
            harness.ask(plan=CAPPED, customer=customer, units=1)
            harness.answer_call(total=1)
            if harness.attempts and harness.attempts[-1].outcome is None:
                harness.finish(Outcome.DONE)
        assert least <= len(harness.attempts) <= most, began_ms_ago
    # The same as if the customer had been known, and not used, from the beginning; a restart begins anew.
    used = 0
    for _life in range(3):
        for number in range(2):
            harness, customer = GatewayHarness(number=number), Customer(5)
            harness.pass_ms(2000)
            for _ in range(80):
                harness.ask(plan=CAPPED, customer=customer, units=1)
                harness.pass_ms(25)
            used += len(harness.attempts)
    assert used <= 40 + 4 + 3 * 4000 * 0.02


def test_a_plan_that_limits_requests_in_flight():
    harness, customer = GatewayHarness(), Customer(5)
    for _ in range(4):
        harness.ask(plan=FEW_IN_FLIGHT, customer=customer)
    assert len(harness.attempts) == 2 and len(harness.rejected) == 2
    harness.finish(Outcome.DONE)
    harness.ask(plan=FEW_IN_FLIGHT, customer=customer)
    assert len(harness.attempts) == 3


def test_units_named_in_the_answer_are_settled():
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


def test_after_an_attempt_that_may_have_run_only_what_may_be_repeated_is_retried():
    again = {READ: True, KEYED: True, KEYED_BY_ZONE: True, NON_IDEMPOTENT: False}
    for request_class, allowed in again.items():
        harness = GatewayHarness()
        harness.admit(request_class)
        harness.finish(Outcome.RESET)
        assert (len(harness.attempts) == 2) is allowed
        assert (harness.failed != []) is not allowed
        assert not harness.rejected


def test_a_keyed_request_stays_in_its_idempotency_scope_and_window():
    harness = GatewayHarness(hosts=2)
    harness.update_endpoints(
        EndpointStatus.READY, *harness.hosts, zones={harness.hosts[0]: "a", harness.hosts[1]: "b"}
    )
    harness.admit(KEYED_BY_ZONE)
    harness.update_endpoints(EndpointStatus.GONE, harness.attempts[0].host)
    harness.finish(Outcome.RESET)
    assert (
        len(harness.attempts) == 1 and len(harness.failed) == 1
    )  # a repeat only in the scope, and no rejection
    harness = GatewayHarness()
    harness.admit(KEYED)
    harness.pass_ms(3001)
    harness.finish(Outcome.TIMEOUT, 3001)
    assert len(harness.attempts) == 1 and len(harness.failed) == 1


def test_the_time_out_at_the_deadline_gets_the_final_answer_and_nothing_more():
    harness = GatewayHarness()
    request = harness.admit(left=900)
    harness.gateway.advance_clock(harness.gateway.now + 900)
    harness.finish(Outcome.TIMEOUT, 900)
    assert [t for t, _ in harness.rejected] == [request] and len(harness.attempts) == 1
    harness.gateway.client_disconnected(request)
    assert len(harness.rejected) == 1 and not harness.failed


def test_a_client_that_leaves_while_the_counter_is_called_gets_no_answer_and_a_refund():
    harness = GatewayHarness()
    request = harness.ask(units=3)
    harness.gateway.client_disconnected(request)
    harness.answer_call(total=3)
    harness.pass_ms(200)
    assert not harness.attempts and not harness.rejected and harness.calls[-1].amount == -3


def test_a_draining_or_gone_host_gets_nothing_and_no_host_left_is_answered():
    harness = GatewayHarness(hosts=2)
    harness.update_endpoints(EndpointStatus.DRAINING, harness.hosts[0])
    for _ in range(4):
        harness.admit(customer=Customer(5), units=1)
        harness.finish(Outcome.DONE)
    assert all(attempt.host is harness.hosts[1] for attempt in harness.attempts)
    harness.update_endpoints(EndpointStatus.GONE, harness.hosts[1])
    harness.admit(customer=Customer(6))
    assert len(harness.rejected) == 1


def test_a_warming_host_gets_its_part_of_what_the_warm_ones_prove_and_a_warming_fleet_is_usable():
    harness = GatewayHarness()
    warming = harness.hosts[0]
    harness.update_endpoints(EndpointStatus.READY, warming, started_at=harness.gateway.now)
    for step in range(60):
        harness.admit(customer=Customer(step))
        harness.finish(Outcome.DONE)
        harness.pass_ms(25)
    to_warming = [attempt for attempt in harness.attempts if attempt.host is warming]
    assert 60 / 3 * 0.1 <= len(to_warming) <= 60 / 3 * 0.5
    gaps = [b.sent_at - a.sent_at for a, b in zip(to_warming, to_warming[1:])]
    assert min(gaps) >= 100  # four requests on the way of each, never one behind another
    harness = GatewayHarness(started_at=99999.0)
    for step in range(60):
        harness.admit(customer=Customer(step))
        if harness.attempts and harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
        harness.pass_ms(25)
    assert len(harness.attempts) >= 20  # of a part of 0.2 to 0.3, and what its answers prove beyond


def test_an_attempt_at_a_silent_host_is_cancelled_and_retried_one_at_a_slow_host_is_not():
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


def test_failures_in_a_row_eject_a_host_but_never_the_whole_fleet():
    harness = GatewayHarness(hosts=3)
    bad = harness.hosts[0]
    for step in range(40):
        harness.admit(customer=Customer(step))
        attempt = harness.attempts[-1]
        harness.finish(Outcome.ERROR if attempt.host is bad else Outcome.DONE)
        while harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
    assert len([f for f in harness.attempts if f.host is bad]) <= 4
    harness = GatewayHarness(hosts=3)
    for step in range(30):
        harness.admit(NON_IDEMPOTENT, customer=Customer(step))
        harness.finish(Outcome.ERROR)
    assert len(harness.attempts) == 30


def test_a_host_back_from_silence_counts_as_warming_up_from_its_probation():
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


def test_a_queue_in_which_answers_come_too_late_is_not_joined():
    harness = GatewayHarness(hosts=1)
    for step in range(12):
        harness.admit(customer=Customer(step))
    assert 1 <= len(harness.attempts) < 12 and harness.rejected


def test_one_off_customers_do_not_fill_the_memory():
    harness = GatewayHarness()
    for step in range(200):
        harness.admit(customer=Customer(step))
        harness.finish(Outcome.DONE)
        harness.pass_ms(1000)
    assert len(harness.gateway.rate_limiter.accounts) <= 70


def test_a_gateway_that_starts_again_takes_in_the_totals_of_the_others():
    harness = GatewayHarness(at=100000.0)
    harness.ask(plan=PLAN, units=1)
    harness.answer_call(total=500)
    assert not harness.attempts and len(harness.rejected) == 1


def test_a_host_gets_requests_by_its_registered_size_with_the_same_work_in_any_fleet():
    harness = GatewayHarness(hosts=300)
    harness.update_endpoints(EndpointStatus.READY, *harness.hosts[:100], size=4.0)
    for step in range(300):
        harness.admit(customer=Customer(step))
        harness.finish(Outcome.DONE)
        harness.pass_ms(20)
    large = sum(attempt.host in harness.hosts[:100] for attempt in harness.attempts)
    assert 160 < large < 240  # two thirds of the sizes
    assert harness.gateway.load_balancer.random.draws <= 3 * 300


def test_a_host_that_refuses_one_plan_keeps_the_others_requests_and_a_non_idempotent_one_goes_on():
    harness = GatewayHarness(hosts=2)
    request = harness.admit(NON_IDEMPOTENT, customer=Customer(1))
    refusing = harness.attempts[-1].host
    harness.finish(Outcome.OVERLOADED)
    assert harness.attempts[-1].request is request and harness.attempts[-1].host is not refusing
    harness.finish(Outcome.DONE)
    for step in range(20):
        harness.admit(customer=Customer(10 + step))
        assert harness.attempts[-1].host is not refusing
        harness.finish(Outcome.DONE)
        harness.admit(customer=Customer(40 + step), plan=CAPPED)
        if harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE)
    assert refusing.health.state is HostState.HEALTHY
    assert refusing in [f.host for f in harness.attempts if f.request.plan is CAPPED]
    harness.pass_ms(3001)
    for step in range(20):
        harness.admit(customer=Customer(70 + step))
        harness.finish(Outcome.DONE)
    assert refusing in [attempt.host for attempt in harness.attempts[-20:]]


def test_attempts_end_at_the_objective_where_that_brings_no_new_try_and_none_begins_after_it():
    harness = GatewayHarness()
    harness.admit(READ)
    harness.admit(KEYED, customer=Customer(5))
    harness.admit(NON_IDEMPOTENT, customer=Customer(6))
    late = harness.gateway.now + 2000
    assert harness.attempt_deadlines == [None, late, late]
    harness.finish(Outcome.TIMEOUT, 2000)
    assert len(harness.failed) == 1
    for step in range(1500):  # whatever the chance draws
        harness.ask(customer=Customer(step), left=0.0)
        harness.answer_call(total=1)
    assert len(harness.attempts) == 3 and len(harness.rejected) == 1500


def test_late_retries_past_their_objective_are_not_counted_while_the_counter_is_crowded():
    harness = GatewayHarness(hosts=6)
    for step in range(4):
        harness.admit(customer=Customer(step), left=3000)
    harness.admit(customer=Customer(8), left=1900)  # calm: counted like any other
    assert len(harness.calls) == 5
    harness.ask(customer=Customer(9), left=3000)
    harness.answer_call(Outcome.OVERLOADED)
    harness.ask(customer=Customer(10), left=1900)
    assert len(harness.calls) == 6 and len(harness.rejected) == 1
    harness.ask(customer=Customer(11), left=3000)
    assert len(harness.calls) == 7


def test_a_share_smaller_than_a_request_admits_one_and_owes_it():
    harness, customer = GatewayHarness(hosts=9), Customer(5)
    harness.ask(customer=customer, units=3, subset_size=100)
    harness.answer_call(total=8)  # something of the burst is used
    for _ in range(3):
        harness.ask(customer=customer, units=3, subset_size=100)
        if not harness.calls[-1].answered:
            harness.answer_call(Outcome.OVERLOADED)
    assert len(harness.attempts) == 2 and len(harness.rejected) == 2
    assert customer.account.burst_usage_now(harness.gateway.now) <= PLAN.burst


def test_many_gateways_hold_overload_back_though_each_has_few_attempts():
    harness = GatewayHarness(hosts=40, gateways=100)
    for step in range(60):
        harness.admit(customer=Customer(step))
        if harness.attempts and harness.attempts[-1].outcome is None:
            harness.finish(Outcome.DONE, 2500)
        harness.pass_ms(300)
    assert 10 < len(harness.rejected) < 55  # some go on, to find when it is over


def test_many_gateways_bring_many_warming_hosts_up_and_all_together_keep_to_what_each_bears():
    sent, warm = {}, 0
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
                warm += 1 / 4 / 4  # requests in a second, at each of the four warm hosts
    assert len(sent) == 8
    for came in sent.values():
        for first in came:
            bears = 2 * (0.2 + 0.8 * (first - 99000.0) / 10000) * warm
            assert sum(first <= at < first + 1000 for at in came) <= bears + 2 * bears**0.5 + 2


def test_lost_answers_while_the_counter_is_down_and_hosts_leave_in_a_wave():
    harness = GatewayHarness(hosts=6)
    for step in range(30):
        request = harness.ask(KEYED, customer=Customer(step), subset_size=1)
        if not harness.calls[-1].answered:
            harness.answer_call(Outcome.CONNECTION_FAILED)
        if step == 10:
            harness.update_endpoints(EndpointStatus.DRAINING, *harness.hosts[:2])
            told, seen = harness.gateway.now, len(harness.attempts)
        if step % 3:
            harness.finish(Outcome.DONE)
        harness.pass_ms(40)
    harness.pass_ms(3000)
    for attempt in harness.cancelled:
        if attempt.outcome is None:
            harness.finish(Outcome.CANCELLED, 900, attempt)
    assert request.attempts and harness.cancelled and told
    assert all(attempt.host not in harness.hosts[:2] for attempt in harness.attempts[seen:])
    answered = [request for request, _ in harness.rejected] + harness.failed
    assert len(answered) == len(set(map(id, answered)))


def test_an_ageing_host_gets_less_and_comes_back_warming_up():
    harness, ageing = GatewayHarness(hosts=4), None
    for step in range(120):
        harness.admit(customer=Customer(step))
        if step == 60:
            used = [attempt.host for attempt in harness.attempts]
            ageing = max(harness.hosts, key=used.count)
        slower = 20 * (step - 60) if harness.attempts[-1].host is ageing else 0
        harness.finish(Outcome.DONE, 100 + slower)
        harness.pass_ms(25)
    late = [attempt.host for attempt in harness.attempts[80:]]
    assert late.count(ageing) / 40 < 0.5 * used.count(ageing) / 60
    harness.update_endpoints(EndpointStatus.READY, ageing, started_at=harness.gateway.now)
    assert ageing.health.service_time.sums(harness.gateway.now) == (0, 0)
    assert harness.capacity_share(ageing) < 0.3


def test_a_mix_turned_to_a_heavy_request_class_does_not_pass_for_slow_hosts():
    harness = GatewayHarness(hosts=6)
    for step in range(200):
        heavy = step > 60
        harness.admit(KEYED if heavy else READ, customer=Customer(step))
        harness.finish(Outcome.DONE, 500 if heavy else 100)
        harness.pass_ms(50)
    assert len(harness.attempts) > 190
    light = harness.request_work(READ)
    assert harness.request_work(KEYED) > 2 * light


def test_waits_are_in_latency_objectives_so_that_a_deployment_in_more_haste_tries_again_sooner():
    for request_class, wait in (READ, 1500), (replace(READ, latency_objective_ms=200), 300):
        harness = GatewayHarness(hosts=12, request_classes=(request_class,))
        harness.pass_ms(0)
        for step in range(20):
            harness.ask(request_class, customer=Customer(step))
            if not harness.calls[-1].answered:
                harness.answer_call(Outcome.CONNECTION_FAILED)
        assert len(harness.calls) == 5 and harness.gateway.breaker.state is BreakerState.OPEN
        harness.pass_ms(wait - 10)
        harness.ask(request_class)
        assert len(harness.calls) == 5  # not yet
        harness.pass_ms(10)
        harness.ask(request_class)
        assert len(harness.calls) == 6
