"""One short story for each failure met, against the fake host of tests/helpers/fake_gateway.py."""

from dataclasses import replace

from fake_gateway import BY_ZONE, CAPPED, FEW_OUT, ONE_SHOT, PLAN, READ, STAMPED, Story

from granitedock.policy.states import BreakerState, HostState
from granitedock.policy.types import Customer, EndpointStatus, Outcome


def test_a_task_inside_its_allowance_is_counted_once_and_forwarded():
    story = Story()
    request = story.admitted()
    assert [call.amount for call in story.calls] == [1]
    assert [attempt.request for attempt in story.attempts] == [request]


def test_over_the_allowance_is_deferred_at_once_and_repaid_only_once():
    story = Story()
    story.ask(units=2)
    story.counter(total=500)
    assert len(story.deferred) == 1 and story.deferred[0][1] > 0
    assert [call.amount for call in story.calls] == [2, -2]
    story.counter(total=498)
    story.pass_ms(200)
    assert len(story.calls) == 2


def test_a_debt_is_paid_while_the_counter_is_calm_and_rides_on_the_next_add_while_it_is_crowded():
    story, customer = Story(), Customer(5)
    story.ask(customer=customer, units=2)
    story.counter(total=500)
    assert [call.amount for call in story.calls] == [2, -2]
    story.ask(customer=Customer(6))
    story.counter(Outcome.OVERLOADED)
    story.pass_ms(3000)  # the spell of the first is not yet over
    other = Customer(7)
    story.ask(customer=other, units=2)
    story.counter(total=22.8)
    assert len(story.deferred) == 2 and other.account.refund_owed == 2
    story.pass_ms(600)
    story.ask(customer=other, units=1)
    assert story.calls[-1].amount == -1
    story.counter(Outcome.OVERLOADED)
    assert other.account.refund_owed == 2  # proved not added: owed as before


def test_a_crowded_counter_is_spared_calls_that_cannot_change_the_answer():
    story, customer = Story(), Customer(5)
    story.ask(customer=Customer(6))
    story.counter(Outcome.OVERLOADED)
    story.ask(customer=customer, units=2)
    story.counter(total=500)
    story.ask(customer=customer, units=3)
    assert len(story.calls) == 2 and len(story.deferred) == 2


def test_a_spell_may_not_pass_rate_and_burst_though_the_window_has_room():
    story, customer = Story(hosts=6), Customer(5)
    for total in range(5, 45, 5):
        story.ask(customer=customer, units=5)
        story.counter(total=min(total, 25))
    assert len(story.attempts) == 4  # a burst of twenty units
    assert story.deferred


def test_the_name_is_the_same_at_every_gateway_and_apart_for_each_window():
    one, other = Story(number=0), Story(number=1)
    one.ask(customer=Customer(42))
    other.ask(customer=Customer(42))
    assert one.calls[0].name == other.calls[0].name
    one.pass_ms(30000)
    one.ask(customer=Customer(42))
    assert one.calls[-1].name != one.calls[0].name
    assert 0 <= one.calls[-1].name < 2**63 and one.calls[0].ttl_ms <= 60000


def test_a_late_answer_keeps_a_forwarded_task_s_units_and_repays_a_deferred_one_s():
    story, customer = Story(), Customer(5)
    kept = story.ask(customer=customer, units=5)
    story.pass_ms(25)  # past the budget: the emergency bucket lets it in
    assert [attempt.request for attempt in story.attempts] == [kept]
    story.counter(total=5)
    assert len(story.calls) == 1
    refused = story.ask(customer=customer, units=8)
    story.pass_ms(40)  # the budget has grown with the time seen
    assert [request for request, _ in story.deferred] == [refused]
    story.counter(total=13)
    assert customer.account.refund_owed == 8


def test_a_counter_that_is_only_slow_is_waited_for_and_one_that_crawls_is_not():
    story = Story(hosts=12)
    for took, late in (15, 0), (30, 0), (60, 0), (150, 0), (240, 0), (260, 10), (260, 10):
        for _ in range(10):
            request = story.ask(customer=Customer(len(story.calls)))
            story.pass_ms(took)
            story.counter()
            assert len(request.attempts) == 1
            story.ends(Outcome.DONE)
        timed_out = [call.timed_out for call in story.calls[-10:]]
        assert sum(timed_out) <= late + (took == 30) + 4 * (took in (60, 150, 240)), took
    assert all(call.timed_out for call in story.calls[-2:])


def test_failures_cut_the_part_of_the_tasks_that_is_counted_and_five_open_the_breaker():
    story = Story(hosts=12)
    for _ in range(20):
        story.ask(customer=Customer(5))
        if not story.calls[-1].answered:
            story.counter(Outcome.CONNECTION_FAILED)
    assert len(story.calls) == 5  # the rest were decided here, at last by the open breaker
    story.pass_ms(1500)
    story.ask(customer=Customer(7))
    story.ask(customer=Customer(8))
    assert len(story.calls) == 6  # one trial
    story.counter()
    for step in range(20):
        story.ask(customer=Customer(20 + step))
        if not story.calls[-1].answered:
            story.counter()
    assert 8 < len(story.calls) < 20  # successes let the part grow
    assert len(story.lines) == 3  # one line for each change of mode


def test_connections_to_the_counter_that_break_say_nothing_of_a_crowd():
    story = Story(hosts=12)
    for step in range(40):
        request = story.ask(customer=Customer(step))
        story.counter(Outcome.RESET if step % 2 else Outcome.DONE)
        assert len(request.attempts) == 1
        story.ends(Outcome.DONE)
    assert len(story.calls) == 40 and story.gateway.breaker.is_calm()


def test_the_emergency_bucket_gives_an_even_share():
    story, customer = Story(), Customer(5)
    for _ in range(30):
        story.ask(customer=customer, units=2, subset_size=4)
        story.counter(Outcome.OVERLOADED)
        if story.attempts and story.attempts[-1].outcome is None:
            story.ends(Outcome.DONE)
    assert 1 <= len(story.attempts) <= 3  # a quarter of twenty units at once


def test_shares_of_those_that_ended_are_taken_over_without_a_burst_and_ceilings_never():
    class Peers:
        def active_members(self, first, subset_size):
            return self.number

    def admits(story, customer, seconds, plan):
        before = len(story.attempts)
        for _ in range(seconds * 40):
            story.ask(customer=customer, plan=plan, subset_size=4)
            story.pass_ms(25)
            if story.attempts and story.attempts[-1].outcome is None:
                story.ends(Outcome.DONE)
        return len(story.attempts) - before

    story, customer, peers = Story(), Customer(5), Peers()
    story.gateway.rate_limiter.membership, peers.number = peers, 4
    assert 28 <= admits(story, customer, 10, PLAN) <= 32  # a quarter of ten a second, and of twenty at once
    peers.number = 2
    assert 48 <= admits(story, customer, 10, PLAN) <= 52  # half of the rate, and nothing at once
    peers.number = 4
    assert 23 <= admits(story, customer, 10, PLAN) <= 27
    peers.number, capped = 1, Customer(6)
    assert admits(story, capped, 20, CAPPED) <= (40 + 4 + 20 * 20) / 4 + 1  # its even share of the ceiling


def test_a_ceiling_holds_through_restarts_of_every_gateway_with_the_counter_silent():
    used = 0.0
    for _life in range(2):
        for number in range(2):
            story, customer = Story(number=number), Customer(5)
            for _ in range(20):
                story.ask(plan=CAPPED, customer=customer, units=1)
                story.pass_ms(25)
            used += len(story.attempts)
    assert used <= 40 + 4 + 2 * 20 * 25 * 0.02


def test_a_customer_seen_late_under_a_ceiling_finds_what_its_share_gained_since_the_process_began():
    # A deployment whose one plan has a ceiling refused half of what was within quota: each gateway met each
    # customer rarely, and each first request found a share that had only just begun to fill.
    for began_ms_ago, least, most in ((0, 1, 3), (1000, 11, 13), (20000, 20, 20)):
        story, customer = Story(gateways=2), Customer(5)
        story.pass_ms(began_ms_ago)
        for _ in range(30):
            story.ask(plan=CAPPED, customer=customer, units=1)
            story.counter(total=1)
            if story.attempts and story.attempts[-1].outcome is None:
                story.ends(Outcome.DONE)
        assert least <= len(story.attempts) <= most, began_ms_ago
    # The same as if the customer had been known, and not used, from the beginning; a restart begins anew.
    used = 0
    for _life in range(3):
        for number in range(2):
            story, customer = Story(number=number), Customer(5)
            story.pass_ms(2000)
            for _ in range(80):
                story.ask(plan=CAPPED, customer=customer, units=1)
                story.pass_ms(25)
            used += len(story.attempts)
    assert used <= 40 + 4 + 3 * 4000 * 0.02


def test_a_plan_that_limits_tasks_out_at_once():
    story, customer = Story(), Customer(5)
    for _ in range(4):
        story.ask(plan=FEW_OUT, customer=customer)
    assert len(story.attempts) == 2 and len(story.deferred) == 2
    story.ends(Outcome.DONE)
    story.ask(plan=FEW_OUT, customer=customer)
    assert len(story.attempts) == 3


def test_units_told_in_the_answer_are_settled():
    story = Story()
    story.admitted(units=2)
    story.gateway.attempt_finished(story.attempts[0], Outcome.DONE, 50, True, 5, 0)
    story.pass_ms(200)
    assert story.calls[-1].amount == 3


def test_effects_after_a_forward_that_never_ran():
    for request_class in (READ, STAMPED, BY_ZONE, ONE_SHOT):
        story = Story()
        story.admitted(request_class)
        story.ends(Outcome.CONNECTION_FAILED)
        assert len(story.attempts) == 2
        assert story.attempts[0].host is not story.attempts[1].host


def test_effects_after_a_forward_that_may_have_run():
    again = {READ: True, STAMPED: True, BY_ZONE: True, ONE_SHOT: False}
    for request_class, allowed in again.items():
        story = Story()
        story.admitted(request_class)
        story.ends(Outcome.RESET)
        assert (len(story.attempts) == 2) is allowed
        assert (story.errored != []) is not allowed
        assert not story.deferred


def test_a_stamped_task_stays_in_its_group_and_time():
    story = Story(hosts=2)
    story.roster(EndpointStatus.READY, *story.hosts, zones={story.hosts[0]: "a", story.hosts[1]: "b"})
    story.admitted(BY_ZONE)
    story.roster(EndpointStatus.GONE, story.attempts[0].host)
    story.ends(Outcome.RESET)
    assert len(story.attempts) == 1 and len(story.errored) == 1  # the group's repeats, and no deferral
    story = Story()
    story.admitted(STAMPED)
    story.pass_ms(3001)
    story.ends(Outcome.TIMEOUT, 3001)
    assert len(story.attempts) == 1 and len(story.errored) == 1


def test_the_time_out_at_the_cut_off_gets_the_final_answer_and_nothing_more():
    story = Story()
    request = story.admitted(left=900)
    story.gateway.advance_clock(story.gateway.now + 900)
    story.ends(Outcome.TIMEOUT, 900)
    assert [t for t, _ in story.deferred] == [request] and len(story.attempts) == 1
    story.gateway.client_disconnected(request)
    assert len(story.deferred) == 1 and not story.errored


def test_a_client_that_leaves_while_the_counter_is_asked_is_owed_nothing_and_repaid():
    story = Story()
    request = story.ask(units=3)
    story.gateway.client_disconnected(request)
    story.counter(total=3)
    story.pass_ms(200)
    assert not story.attempts and not story.deferred and story.calls[-1].amount == -3


def test_a_draining_or_gone_host_gets_nothing_and_no_host_left_is_answered():
    story = Story(hosts=2)
    story.roster(EndpointStatus.DRAINING, story.hosts[0])
    for _ in range(4):
        story.admitted(customer=Customer(5), units=1)
        story.ends(Outcome.DONE)
    assert all(attempt.host is story.hosts[1] for attempt in story.attempts)
    story.roster(EndpointStatus.GONE, story.hosts[1])
    story.admitted(customer=Customer(6))
    assert len(story.deferred) == 1


def test_a_cold_host_gets_its_part_of_what_the_warm_ones_prove_and_a_cold_fleet_is_usable():
    story = Story()
    cold = story.hosts[0]
    story.roster(EndpointStatus.READY, cold, started_at=story.gateway.now)
    for step in range(60):
        story.admitted(customer=Customer(step))
        story.ends(Outcome.DONE)
        story.pass_ms(25)
    to_cold = [attempt for attempt in story.attempts if attempt.host is cold]
    assert 60 / 3 * 0.1 <= len(to_cold) <= 60 / 3 * 0.5
    gaps = [b.sent_at - a.sent_at for a, b in zip(to_cold, to_cold[1:])]
    assert min(gaps) >= 100  # four tasks on the way of each, never one behind another
    story = Story(started_at=99999.0)
    for step in range(60):
        story.admitted(customer=Customer(step))
        if story.attempts and story.attempts[-1].outcome is None:
            story.ends(Outcome.DONE)
        story.pass_ms(25)
    assert len(story.attempts) >= 20  # of a part of 0.2 to 0.3, and what its answers prove beyond


def test_a_task_at_a_silent_host_is_withdrawn_and_sent_elsewhere_one_at_a_slow_host_is_not():
    story = Story(hosts=2)
    story.admitted(STAMPED)
    story.pass_ms(900)
    assert story.withdrawn == [story.attempts[0]]
    story.ends(Outcome.CANCELLED, 900)
    assert story.attempts[1].host is not story.attempts[0].host
    story = Story(hosts=1)
    story.admitted(STAMPED)
    story.pass_ms(100)
    story.admitted(customer=Customer(7))
    story.ends(Outcome.DONE, 20)
    story.pass_ms(800)
    assert not story.withdrawn


def test_failures_in_a_row_set_a_host_aside_but_never_the_whole_fleet():
    story = Story(hosts=3)
    bad = story.hosts[0]
    for step in range(40):
        story.admitted(customer=Customer(step))
        attempt = story.attempts[-1]
        story.ends(Outcome.ERROR if attempt.host is bad else Outcome.DONE)
        while story.attempts[-1].outcome is None:
            story.ends(Outcome.DONE)
    assert len([f for f in story.attempts if f.host is bad]) <= 4
    story = Story(hosts=3)
    for step in range(30):
        story.admitted(ONE_SHOT, customer=Customer(step))
        story.ends(Outcome.ERROR)
    assert len(story.attempts) == 30


def test_a_host_back_from_silence_counts_as_cold_from_its_trial():
    story = Story(hosts=1)
    host = story.hosts[0]
    for step in range(3):
        story.admitted(ONE_SHOT, customer=Customer(step))
        story.ends(Outcome.RESET, 300)
    assert host.health.state is HostState.EJECTED
    story.pass_ms(3100)
    story.admitted(customer=Customer(9))
    story.ends(Outcome.DONE, 20)
    assert host.health.state is HostState.HEALTHY and story.capacity_share(host) < 0.3
    story.pass_ms(10000)
    assert story.capacity_share(host) == 1.0


def test_a_queue_in_which_answers_come_too_late_is_not_joined():
    story = Story(hosts=1)
    for step in range(12):
        story.admitted(customer=Customer(step))
    assert 1 <= len(story.attempts) < 12 and story.deferred


def test_one_off_customers_do_not_fill_the_memory():
    story = Story()
    for step in range(200):
        story.admitted(customer=Customer(step))
        story.ends(Outcome.DONE)
        story.pass_ms(1000)
    assert len(story.gateway.rate_limiter.accounts) <= 70


def test_a_gateway_that_starts_again_takes_in_the_totals_of_the_others():
    story = Story(at=100000.0)
    story.ask(plan=PLAN, units=1)
    story.counter(total=500)
    assert not story.attempts and len(story.deferred) == 1


def test_a_host_gets_tasks_by_its_registered_size_with_the_same_work_in_any_fleet():
    story = Story(hosts=300)
    story.roster(EndpointStatus.READY, *story.hosts[:100], size=4.0)
    for step in range(300):
        story.admitted(customer=Customer(step))
        story.ends(Outcome.DONE)
        story.pass_ms(20)
    large = sum(attempt.host in story.hosts[:100] for attempt in story.attempts)
    assert 160 < large < 240  # two thirds of the sizes
    assert story.gateway.load_balancer.random.draws <= 3 * 300


def test_a_host_that_refuses_one_plan_keeps_the_others_tasks_and_a_one_shot_goes_on():
    story = Story(hosts=2)
    request = story.admitted(ONE_SHOT, customer=Customer(1))
    refusing = story.attempts[-1].host
    story.ends(Outcome.OVERLOADED)
    assert story.attempts[-1].request is request and story.attempts[-1].host is not refusing
    story.ends(Outcome.DONE)
    for step in range(20):
        story.admitted(customer=Customer(10 + step))
        assert story.attempts[-1].host is not refusing
        story.ends(Outcome.DONE)
        story.admitted(customer=Customer(40 + step), plan=CAPPED)
        if story.attempts[-1].outcome is None:
            story.ends(Outcome.DONE)
    assert refusing.health.state is HostState.HEALTHY
    assert refusing in [f.host for f in story.attempts if f.request.plan is CAPPED]
    story.pass_ms(3001)
    for step in range(20):
        story.admitted(customer=Customer(70 + step))
        story.ends(Outcome.DONE)
    assert refusing in [attempt.host for attempt in story.attempts[-20:]]


def test_what_is_too_late_stops_where_that_brings_no_new_try_and_nothing_is_begun_past_its_time():
    story = Story()
    story.admitted(READ)
    story.admitted(STAMPED, customer=Customer(5))
    story.admitted(ONE_SHOT, customer=Customer(6))
    late = story.gateway.now + 2000
    assert story.stops == [None, late, late]
    story.ends(Outcome.TIMEOUT, 2000)
    assert len(story.errored) == 1
    for step in range(1500):  # whatever the chance draws
        story.ask(customer=Customer(step), left=0.0)
        story.counter(total=1)
    assert len(story.attempts) == 3 and len(story.deferred) == 1500


def test_later_tries_past_their_quoted_time_are_not_counted_while_the_counter_is_crowded():
    story = Story(hosts=6)
    for step in range(4):
        story.admitted(customer=Customer(step), left=3000)
    story.admitted(customer=Customer(8), left=1900)  # calm: counted like any other
    assert len(story.calls) == 5
    story.ask(customer=Customer(9), left=3000)
    story.counter(Outcome.OVERLOADED)
    story.ask(customer=Customer(10), left=1900)
    assert len(story.calls) == 6 and len(story.deferred) == 1
    story.ask(customer=Customer(11), left=3000)
    assert len(story.calls) == 7


def test_a_share_smaller_than_a_task_lets_one_in_and_owes_it():
    story, customer = Story(hosts=9), Customer(5)
    story.ask(customer=customer, units=3, subset_size=100)
    story.counter(total=8)  # something of the burst is used
    for _ in range(3):
        story.ask(customer=customer, units=3, subset_size=100)
        if not story.calls[-1].answered:
            story.counter(Outcome.OVERLOADED)
    assert len(story.attempts) == 2 and len(story.deferred) == 2
    assert customer.account.burst_usage_now(story.gateway.now) <= PLAN.burst


def test_many_gateways_hold_overload_back_though_each_has_few_forwards():
    story = Story(hosts=40, gateways=100)
    for step in range(60):
        story.admitted(customer=Customer(step))
        if story.attempts and story.attempts[-1].outcome is None:
            story.ends(Outcome.DONE, 2500)
        story.pass_ms(300)
    assert 10 < len(story.deferred) < 55  # some go on, to find when it is over


def test_many_gateways_bring_many_cold_hosts_up_and_all_together_keep_to_what_each_bears():
    sent, warm = {}, 0
    for number in range(8):
        story = Story(hosts=12, number=number, gateways=8)
        for index, host in enumerate(story.hosts[:8]):
            story.roster(EndpointStatus.READY, host, started_at=99000.0 + index)
        for step in range(80):
            story.admitted(customer=Customer(step))
            story.ends(Outcome.DONE)
            story.pass_ms(50)
        for attempt in story.attempts:
            if attempt.host in story.hosts[:8]:
                sent.setdefault(story.hosts.index(attempt.host), []).append(attempt.sent_at)
            else:
                warm += 1 / 4 / 4  # tasks in a second, at each of the four warm hosts
    assert len(sent) == 8
    for came in sent.values():
        for first in came:
            bears = 2 * (0.2 + 0.8 * (first - 99000.0) / 10000) * warm
            assert sum(first <= at < first + 1000 for at in came) <= bears + 2 * bears**0.5 + 2


def test_lost_answers_while_the_counter_is_down_and_hosts_leave_in_a_wave():
    story = Story(hosts=6)
    for step in range(30):
        request = story.ask(STAMPED, customer=Customer(step), subset_size=1)
        if not story.calls[-1].answered:
            story.counter(Outcome.CONNECTION_FAILED)
        if step == 10:
            story.roster(EndpointStatus.DRAINING, *story.hosts[:2])
            told, seen = story.gateway.now, len(story.attempts)
        if step % 3:
            story.ends(Outcome.DONE)
        story.pass_ms(40)
    story.pass_ms(3000)
    for attempt in story.withdrawn:
        if attempt.outcome is None:
            story.ends(Outcome.CANCELLED, 900, attempt)
    assert request.attempts and story.withdrawn and told
    assert all(attempt.host not in story.hosts[:2] for attempt in story.attempts[seen:])
    answered = [request for request, _ in story.deferred] + story.errored
    assert len(answered) == len(set(map(id, answered)))


def test_an_ageing_host_gets_less_and_comes_back_as_a_cold_one():
    story, ageing = Story(hosts=4), None
    for step in range(120):
        story.admitted(customer=Customer(step))
        if step == 60:
            used = [attempt.host for attempt in story.attempts]
            ageing = max(story.hosts, key=used.count)
        slower = 20 * (step - 60) if story.attempts[-1].host is ageing else 0
        story.ends(Outcome.DONE, 100 + slower)
        story.pass_ms(25)
    late = [attempt.host for attempt in story.attempts[80:]]
    assert late.count(ageing) / 40 < 0.5 * used.count(ageing) / 60
    story.roster(EndpointStatus.READY, ageing, started_at=story.gateway.now)
    assert ageing.health.pace.sums(story.gateway.now) == (0, 0)
    assert story.capacity_share(ageing) < 0.3


def test_a_mix_turned_to_a_heavy_product_does_not_pass_for_slow_hosts():
    story = Story(hosts=6)
    for step in range(200):
        heavy = step > 60
        story.admitted(STAMPED if heavy else READ, customer=Customer(step))
        story.ends(Outcome.DONE, 500 if heavy else 100)
        story.pass_ms(50)
    assert len(story.attempts) > 190
    light = story.request_work(READ)
    assert story.request_work(STAMPED) > 2 * light


def test_waits_are_in_quoted_times_so_that_a_deployment_in_more_haste_tries_again_sooner():
    for request_class, wait in (READ, 1500), (replace(READ, latency_objective_ms=200), 300):
        story = Story(hosts=12, request_classes=(request_class,))
        story.pass_ms(0)
        for step in range(20):
            story.ask(request_class, customer=Customer(step))
            if not story.calls[-1].answered:
                story.counter(Outcome.CONNECTION_FAILED)
        assert len(story.calls) == 5 and story.gateway.breaker.state is BreakerState.OPEN
        story.pass_ms(wait - 10)
        story.ask(request_class)
        assert len(story.calls) == 5  # not yet
        story.pass_ms(10)
        story.ask(request_class)
        assert len(story.calls) == 6
