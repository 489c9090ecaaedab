"""The token bucket with units that arrive later than they were taken."""

from random import Random

from fake_gateway import CAPPED, PLAN

from granitedock.policy.quota_account import QuotaAccount
from granitedock.policy.token_bucket import TokenBucket

RATE = 0.01  # Units per ms.
DEPTH = 10.0
STEP_MS = 10.0
RUN_MS = 60_000.0
ROUNDING = 1e-6


def arrivals_of(seed, longest_delivery_ms):
    """Return the times at which units arrive if one is asked for in each step."""
    random = Random(seed)
    bucket = TokenBucket(RATE, DEPTH, DEPTH, 0.0)
    in_delivery, arrived, now = [], [], 0.0
    while now < RUN_MS:
        now += STEP_MS
        for _ in [due for due in in_delivery if due <= now]:
            bucket.delivery_ended(1.0, now)
            arrived.append(now)
        in_delivery = [due for due in in_delivery if due > now]
        if random.random() < 0.5 and bucket.take(1.0, now):
            bucket.delivery_started(1.0)
            # Late ones arrive together, as on connections that come up at one moment.
            together = now - now % longest_delivery_ms + longest_delivery_ms
            in_delivery.append(together if random.random() < 0.5 else now + STEP_MS)
    return arrived


def test_units_that_arrive_late_stay_within_depth_and_rate_in_any_interval():
    """Guards against a bucket that refills the room of units that have not arrived."""
    for seed in range(10):
        times = arrivals_of(seed, longest_delivery_ms=900.0)
        for first, began in enumerate(times):
            for last in range(first, len(times)):
                assert last - first + 1 <= DEPTH + RATE * (times[last] - began) + ROUNDING


def test_units_that_arrive_late_leave_the_rate_as_it_is():
    """Guards against room that is kept for units that have arrived."""
    for seed in range(10):
        assert len(arrivals_of(seed, longest_delivery_ms=400.0)) >= 0.95 * RATE * RUN_MS


def test_an_account_under_a_ceiling_is_replaced_only_if_a_new_one_would_admit_no_more():
    """Guards against a ceiling that is passed because a flood of names evicts the account that used it up."""
    started, now = 0.0, 100000.0
    account = QuotaAccount(CAPPED, 1, now, 0, started)
    assert account.is_like_new(now, started)
    assert account.ceiling.take(10.0, now) and not account.is_like_new(now, started)
    assert QuotaAccount(PLAN, 1, now, 0, started).is_like_new(now, started)
