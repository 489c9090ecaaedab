"""A plan that changes in service: what a customer gets, and its quota accounts. Simulated; times in ms."""

import pytest
from fake_gateway import GatewayHarness

from granitedock.configuration.plan_transition import PlanHistory, carry_over
from granitedock.configuration.quota_windows import window_of, with_window
from granitedock.lab.simulators.offered_load import OfferedLoad
from granitedock.lab.simulators.plan_change_simulation import (
    PlanChange,
    PlanChangeSimulation,
    worst_usage_share,
)
from granitedock.policy.quota_account import QuotaAccount
from granitedock.policy.token_bucket import TokenBucket
from granitedock.policy.types import Customer, Outcome, Plan

FROM_MS, HEARD_MS, AFTER_MS = 15_000.0, 5_000.0, 12_000.0


def plan(rate, burst, window_ms=0.0, ceiling=(0.0, 0.0, 0.0)):
    """Units a second, and at once."""
    ceiling_rate, ceiling_burst, slack = ceiling
    return Plan("p", rate / 1000, burst, 0, 1, 0, 0.5, ceiling_rate / 1000, ceiling_burst, slack, window_ms)


CHANGES = {
    "raised in the same window": (plan(20, 40), plan(30, 40, 4000.0)),
    "lowered in the same window": (plan(30, 60), plan(20, 60, 4000.0)),
    "raised to another window": (plan(10, 20), plan(40, 240)),
    "lowered to another window": (plan(40, 240), plan(10, 20)),
}


def over_the_change(gateways, before, after, forget=False):
    """The most that a customer who asks for far more got, as a part of the bound; without a change where
    `after` is `before`."""
    offer = OfferedLoad(1, before, 150, gateways)
    change = PlanChange(after, FROM_MS, FROM_MS + HEARD_MS)
    fleet = PlanChangeSimulation(gateways, [offer], [change] if after is not before else [], seed=1)
    if forget:
        for gateway in fleet.gateways.values():
            gateway.apply_plan = lambda new, gateway=gateway: fresh_accounts(gateway, new)
    end = FROM_MS + HEARD_MS + AFTER_MS
    fleet.run(end)
    return worst_usage_share(offer, change, window_of(before) == window_of(after), end)


def fresh_accounts(gateway, new):
    """As if nothing was carried over."""
    gateway.admission.plans[new.name] = new
    for customer in gateway.policy.rate_limiter.accounts:
        customer.account = QuotaAccount(new, customer.account.subset_size, gateway.simulation.unix_ms())


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("gateways", [4, 20, 200])
def test_a_customer_gets_no_more_over_a_change_than_its_bound_and_the_fleets_own_overshoot(gateways, name):
    before, after = CHANGES[name]
    without = over_the_change(gateways, before, before)
    assert over_the_change(gateways, before, after) <= without + 0.01


@pytest.mark.parametrize("name", ["raised in the same window", "lowered in the same window"])
def test_without_what_was_used_a_change_gives_a_fresh_burst(name):
    """That the story above can fail."""
    before, after = CHANGES[name]
    assert over_the_change(4, before, after, forget=True) > over_the_change(4, before, before) + 0.03


def used_up(before, now=100_000.0):
    """An account whose customer has taken its whole burst."""
    account = QuotaAccount(before, 2, now)
    account.advance_window(now)
    account.burst_usage, account.burst_usage_at, account.in_flight = before.burst, now, 3
    return account


def test_the_count_goes_on_under_the_same_names_where_the_window_is_kept():
    before, after = plan(20, 40), plan(30, 40, 4000.0)
    account = used_up(before)
    account.current, account.previous, account.refund_due = 33.0, 21.0, 2.0
    made = carry_over(account, after, 100_000.0)
    assert (made.window_ms, made.window, made.current, made.previous, made.refund_due) == (
        4000.0,
        account.window,
        33.0,
        21.0,
        2.0,
    )
    assert (made.in_flight, made.plan) == (3, after)


def test_changes_to_and_fro_give_no_burst():
    account = used_up(plan(20, 40))
    for after in (plan(20, 400), plan(1, 2), plan(20, 400), plan(20, 40)):
        account = carry_over(account, after, 100_000.0)
    assert account.burst_usage_now(100_000.0) == 40.0


def test_the_emergency_bucket_keeps_what_it_holds_and_gains_nothing_by_a_change():
    account = used_up(plan(20, 40))
    account.admit_locally(1.0, 100_500.0, 2)
    held = account.local_bucket.available(100_500.0)
    made = carry_over(account, plan(20, 400), 100_500.0)
    assert made.local_bucket.available(100_500.0) == held
    assert made.local_bucket.rate == 0.01


def test_a_ceiling_that_is_lowered_holds_at_once_and_one_that_is_raised_grows_by_the_new_rate():
    before = plan(20, 40, ceiling=(20.0, 40.0, 8.0))
    account = QuotaAccount(before, 2, 100_000.0)
    account.ceiling = TokenBucket(0.01, 20.0, 20.0, 100_000.0)  # full, of two gateways
    low = carry_over(account, plan(20, 40, ceiling=(2.0, 4.0, 1.0)), 100_000.0)
    assert (low.ceiling.available(100_000.0), low.ceiling.rate) == (2.0, 0.001)
    high = carry_over(low, plan(20, 40, ceiling=(200.0, 400.0, 8.0)), 100_000.0)
    assert high.ceiling.available(100_000.0) == 2.0
    assert high.ceiling.available(100_010.0) == 3.0  # ten milliseconds of a half of 200 a second


def test_a_customer_first_seen_after_a_raise_has_a_ceiling_grown_by_the_old_rate_until_then():
    history = PlanHistory()
    before, after = plan(20, 40, ceiling=(2.0, 40.0, 8.0)), plan(20, 40, ceiling=(200.0, 4000.0, 8.0))
    history.add_former_plan(before, 120_000.0)
    account = history.open_account(after, 2, 120_000.0, 0, 110_000.0)
    assert (
        account.ceiling.available(120_000.0) == 2.0 + 10.0
    )  # half of the slack's share, ten seconds at 1 a second
    fresh = QuotaAccount(after, 2, 120_000.0, 0, 110_000.0)
    assert fresh.ceiling.available(120_000.0) > 500.0  # what it would be without


def test_a_customer_first_seen_after_a_change_of_window_has_its_rate_and_no_burst():
    history = PlanHistory()
    history.add_former_plan(plan(10, 20), 100_000.0)
    account = history.open_account(plan(40, 240), 2, 100_250.0, 0, 0.0)
    assert (
        account.burst_usage_now(100_250.0) == 20.0 - 10.0
    )  # of what could have been used, paid at the new rate
    assert history.open_account(plan(40, 240), 2, 161_000.0, 0, 0.0).burst_usage_now(161_000.0) == 0.0


def test_what_was_in_force_is_forgotten_in_time():
    history = PlanHistory()
    for n in range(100):
        history.add_former_plan(plan(10, 20), 1000.0 * n)
    assert len(history.former["p"]) <= 61


def test_a_window_is_kept_while_it_holds_one_to_four_fillings_of_the_burst():
    first = with_window({"Name": "p", "Refill": 10, "MostAtOnce": 20}, None)
    assert first["WindowMs"] == 4000.0
    raised = with_window({"Name": "p", "Refill": 19, "MostAtOnce": 20}, first)
    assert raised["WindowMs"] == 4000.0
    assert with_window({"Name": "p", "Refill": 5, "MostAtOnce": 20}, raised)["WindowMs"] == 4000.0
    assert with_window({"Name": "p", "Refill": 4, "MostAtOnce": 20}, raised)["WindowMs"] == 10_000.0
    assert with_window({"Name": "p", "Refill": 100, "MostAtOnce": 20}, raised)["WindowMs"] == 1000.0


def test_a_request_in_hand_ends_on_the_new_account():
    """Its call to the counter and its attempt were begun under the old one."""
    harness, customer = GatewayHarness(), Customer(99)
    harness.ask(customer=customer, plan=plan(10, 20))
    customer.account = carry_over(customer.account, plan(10, 400), harness.gateway.now)
    harness.answer_call(total=1)
    assert len(harness.attempts) == 1 and customer.account.in_flight == 1
    harness.finish(Outcome.DONE)
    assert customer.account.in_flight == 0
    assert not harness.failed and not harness.rejected
