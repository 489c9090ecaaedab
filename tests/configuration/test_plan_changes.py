"""A plan that changes in service: a customer's usage and quota accounts, simulated. Times are in ms."""

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

CHANGE_AT_MS, ROLLOUT_MS, AFTER_MS = 15_000.0, 5_000.0, 12_000.0


def plan(rate, burst, window_ms=0.0, ceiling=(0.0, 0.0, 0.0)):
    """A plan with `rate` in units per second and `burst` in units."""
    ceiling_rate, ceiling_burst, slack = ceiling
    return Plan("p", rate / 1000, burst, 0, 1, 0, 0.5, ceiling_rate / 1000, ceiling_burst, slack, window_ms)


CHANGES = {
    "raised in the same window": (plan(20, 40), plan(30, 40, 4000.0)),
    "lowered in the same window": (plan(30, 60), plan(20, 60, 4000.0)),
    "raised to another window": (plan(10, 20), plan(40, 240)),
    "lowered to another window": (plan(40, 240), plan(10, 20)),
}


def peak_usage_share(gateways, before, after, discard_usage=False):
    """Return the peak usage of a customer with excess demand, as a share of the bound on its usage.

    The plan does not change if `after` is `before`.
    """
    load = OfferedLoad(1, before, 150, gateways)
    change = PlanChange(after, CHANGE_AT_MS, CHANGE_AT_MS + ROLLOUT_MS)
    fleet = PlanChangeSimulation(gateways, [load], [change] if after is not before else [], seed=1)
    if discard_usage:
        for gateway in fleet.gateways.values():
            gateway.apply_plan = lambda new, gateway=gateway: apply_plan_with_fresh_accounts(gateway, new)
    end = CHANGE_AT_MS + ROLLOUT_MS + AFTER_MS
    fleet.run(end)
    return worst_usage_share(load, change, window_of(before) == window_of(after), end)


def apply_plan_with_fresh_accounts(gateway, new):
    """Apply the plan without carrying any usage over."""
    gateway.admission.plans[new.name] = new
    for customer in gateway.policy.rate_limiter.accounts:
        customer.account = QuotaAccount(new, customer.account.subset_size, gateway.simulation.unix_ms())


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("gateways", [4, 20, 200])
def test_usage_across_a_change_exceeds_the_bound_by_no_more_than_without_a_change(gateways, name):
    before, after = CHANGES[name]
    unchanged_peak = peak_usage_share(gateways, before, before)
    assert peak_usage_share(gateways, before, after) <= unchanged_peak + 0.01


@pytest.mark.parametrize("name", ["raised in the same window", "lowered in the same window"])
def test_a_change_that_discards_usage_grants_a_fresh_burst(name):
    """Shows that the preceding test can fail: without usage carried over, peak usage exceeds its limit."""
    before, after = CHANGES[name]
    assert peak_usage_share(4, before, after, discard_usage=True) > peak_usage_share(4, before, before) + 0.03


def exhausted_account(before, now=100_000.0):
    """Return an account whose customer has used its whole burst."""
    account = QuotaAccount(before, 2, now)
    account.advance_window(now)
    account.burst_usage, account.burst_usage_at, account.in_flight = before.burst, now, 3
    return account


def test_the_count_continues_under_the_same_names_if_the_window_length_is_unchanged():
    before, after = plan(20, 40), plan(30, 40, 4000.0)
    account = exhausted_account(before)
    account.current, account.previous, account.refund_due = 33.0, 21.0, 2.0
    carried_over = carry_over(account, after, 100_000.0)
    assert (
        carried_over.window_ms,
        carried_over.window,
        carried_over.current,
        carried_over.previous,
        carried_over.refund_due,
    ) == (
        4000.0,
        account.window,
        33.0,
        21.0,
        2.0,
    )
    assert (carried_over.in_flight, carried_over.plan) == (3, after)


def test_repeated_changes_grant_no_burst():
    account = exhausted_account(plan(20, 40))
    for after in (plan(20, 400), plan(1, 2), plan(20, 400), plan(20, 40)):
        account = carry_over(account, after, 100_000.0)
    assert account.burst_usage_now(100_000.0) == 40.0


def test_a_change_leaves_the_tokens_of_the_local_bucket_unchanged():
    account = exhausted_account(plan(20, 40))
    account.admit_locally(1.0, 100_500.0, 2)
    available = account.local_bucket.available(100_500.0)
    carried_over = carry_over(account, plan(20, 400), 100_500.0)
    assert carried_over.local_bucket.available(100_500.0) == available
    assert carried_over.local_bucket.rate == 0.01


def test_a_lowered_ceiling_applies_immediately_and_a_raised_one_refills_at_the_new_rate():
    before = plan(20, 40, ceiling=(20.0, 40.0, 8.0))
    account = QuotaAccount(before, 2, 100_000.0)
    account.ceiling = TokenBucket(0.01, 20.0, 20.0, 100_000.0)  # Full; the share of one of two gateways.
    low = carry_over(account, plan(20, 40, ceiling=(2.0, 4.0, 1.0)), 100_000.0)
    assert (low.ceiling.available(100_000.0), low.ceiling.rate) == (2.0, 0.001)
    high = carry_over(low, plan(20, 40, ceiling=(200.0, 400.0, 8.0)), 100_000.0)
    assert high.ceiling.available(100_000.0) == 2.0
    assert high.ceiling.available(100_010.0) == 3.0  # Refilled for 10 ms at half of 200 units per second.


def test_a_customer_first_seen_after_a_raise_has_a_ceiling_refilled_at_the_old_rate_until_then():
    history = PlanHistory()
    before, after = plan(20, 40, ceiling=(2.0, 40.0, 8.0)), plan(20, 40, ceiling=(200.0, 4000.0, 8.0))
    history.add_former_plan(before, 120_000.0)
    account = history.open_account(after, 2, 120_000.0, 0, 110_000.0)
    # Half of the share of the slack, and 10 s at 1 unit per second.
    assert account.ceiling.available(120_000.0) == 2.0 + 10.0
    fresh = QuotaAccount(after, 2, 120_000.0, 0, 110_000.0)
    assert fresh.ceiling.available(120_000.0) > 500.0  # The level without the plan history.


def test_a_customer_first_seen_after_a_change_of_window_length_has_its_rate_and_no_burst():
    history = PlanHistory()
    history.add_former_plan(plan(10, 20), 100_000.0)
    account = history.open_account(plan(40, 240), 2, 100_250.0, 0, 0.0)
    # Maximum usage under the old plan, less the refill at the new rate.
    assert account.burst_usage_now(100_250.0) == 20.0 - 10.0
    assert history.open_account(plan(40, 240), 2, 161_000.0, 0, 0.0).burst_usage_now(161_000.0) == 0.0


def test_former_plans_are_evicted_after_their_ttl():
    history = PlanHistory()
    for n in range(100):
        history.add_former_plan(plan(10, 20), 1000.0 * n)
    assert len(history.former["p"]) <= 61


def test_a_window_length_is_kept_while_it_is_one_to_four_refills_of_the_burst():
    first = with_window({"Name": "p", "Refill": 10, "MostAtOnce": 20}, None)
    assert first["WindowMs"] == 4000.0
    raised = with_window({"Name": "p", "Refill": 19, "MostAtOnce": 20}, first)
    assert raised["WindowMs"] == 4000.0
    assert with_window({"Name": "p", "Refill": 5, "MostAtOnce": 20}, raised)["WindowMs"] == 4000.0
    assert with_window({"Name": "p", "Refill": 4, "MostAtOnce": 20}, raised)["WindowMs"] == 10_000.0
    assert with_window({"Name": "p", "Refill": 100, "MostAtOnce": 20}, raised)["WindowMs"] == 1000.0


def test_a_request_in_flight_is_completed_on_the_new_account():
    """Its counter call and its attempt were started under the old account."""
    harness, customer = GatewayHarness(), Customer(99)
    harness.send_request(customer=customer, plan=plan(10, 20))
    customer.account = carry_over(customer.account, plan(10, 400), harness.gateway.now)
    harness.answer_call(total=1)
    assert len(harness.attempts) == 1 and customer.account.in_flight == 1
    harness.finish(Outcome.DONE)
    assert customer.account.in_flight == 0
    assert not harness.failed and not harness.rejected
