"""Simulates many gateways before one counter, and checks that the fleet as a whole keeps to the quotas.

Each gateway runs the program's own decisions. The admissions beyond the quotas are counted by an exact bucket
per customer, and compared with those of a reference policy that sees the exact bucket with a delay. Times are
in ms.
"""

from collections import deque
from heapq import heappop, heappush
from random import Random

import pytest
from fake_gateway import READ

from granitedock.policy.gateway import Gateway
from granitedock.policy.types import (
    Customer,
    EndpointStatus,
    EndpointUpdate,
    GatewayIdentity,
    GatewaySettings,
    Host,
    Outcome,
    PermittedFeatures,
    Plan,
    Request,
    SlowStart,
)

PLAN = Plan("plan", 0.004, 16, 0, 1, 0, 0.5, 0, 0, 0)
END_MS, OBSERVATION_DELAY_MS = 20000.0, 50.0  # The delay is that of the reference policy.


class ExactBucket:
    """The exact state of a customer's quota."""

    def __init__(self):
        self.level, self.updated_at, self.over_quota = PLAN.burst, 0.0, 0.0
        self.history = deque([(0.0, PLAN.burst)])  # (time of an admission, level after it)

    def take(self, now):
        """Take the unit of a sent request; it is over quota if the bucket holds less than one unit."""
        self.level, self.updated_at = min(PLAN.burst, self.level + PLAN.rate * (now - self.updated_at)), now
        if self.level >= 1.0:
            self.level -= 1.0
        else:
            self.over_quota += 1.0
        self.history.append((now, self.level))

    def level_at(self, time_ms):
        """Return the level at `time_ms`, which must not decrease between calls."""
        while len(self.history) > 1 and self.history[1][0] <= time_ms:
            self.history.popleft()
        updated_at, level = self.history[0]
        return min(PLAN.burst, level + PLAN.rate * max(0.0, time_ms - updated_at))


class Fleet:
    """The simulated gateways and their customers, with the clock and the event queue."""

    def __init__(self, seed, gateways, customers, load):
        self.random, self.now, self.queue, self.event_count = Random(seed), 0.0, [], 0
        self.totals, self.buckets, self.offered = {}, [ExactBucket() for _ in range(customers)], 0
        self.members = [Member(self, number, gateways, customers) for number in range(gateways)]
        self.reference_buckets = [ExactBucket() for _ in range(customers)]  # Under the reference policy.
        self.reference_sent = 0
        load_factors = [load * (8.0 if n % 10 == 0 else 0.5) for n in range(customers)]
        for customer, factor in enumerate(load_factors):
            t = 0.0
            while (t := t + self.random.expovariate(PLAN.rate * factor)) < END_MS:
                self.schedule(t, self.offer_request, customer)

    def schedule(self, time_ms, action, *arguments):
        self.event_count += 1
        heappush(self.queue, (time_ms, self.event_count, action, arguments))

    def run(self):
        while self.queue and self.queue[0][0] < END_MS:
            self.now, _, action, arguments = heappop(self.queue)
            action(*arguments)
        return self

    def offer_request(self, customer):
        self.offered += 1
        if self.reference_buckets[customer].level_at(self.now - OBSERVATION_DELAY_MS) >= 1.0:
            self.reference_sent += 1
            self.reference_buckets[customer].take(self.now)
        self.random.choice(self.members).handle_request(customer)


class Member:
    """A gateway and its effect handler; answers of counter and hosts are scheduled in the fleet's queue."""

    def __init__(self, fleet, number, gateways, customers):
        self.fleet, self.gateways, self.sent = fleet, gateways, []
        identity = GatewayIdentity(fleet.random.getrandbits(32), number, gateways)
        self.gateway = Gateway(
            self,
            0.0,
            GatewaySettings(
                identity,
                [READ],
                PermittedFeatures(3, False, True, True, 2000),
                SlowStart(1, 0, 2, 1000),
                has_counter=True,
            ),
        )
        hosts = [EndpointUpdate(Host(), 1.0, "m", "z", 0, 0.0, EndpointStatus.READY) for _ in range(20)]
        self.gateway.update_endpoints(hosts, True)
        self.customers = [Customer(n) for n in range(customers)]

    def handle_request(self, customer):
        now = self.fleet.now
        self.gateway.advance_clock(now)
        request = Request(
            READ, PLAN, self.customers[customer], now, now + READ.deadline_ms, 1.0, self.gateways
        )
        self.gateway.handle_request(request)

    def call_counter(self, call):
        fleet = self.fleet
        fleet.schedule(fleet.now + fleet.random.uniform(0.5, 3.0), self.apply_call, call)

    def apply_call(self, call):
        fleet = self.fleet
        total = fleet.totals[call.name] = fleet.totals.get(call.name, 0.0) + call.amount
        fleet.schedule(fleet.now + fleet.random.uniform(0.5, 3.0), self.counter_call_finished, call, total)

    def counter_call_finished(self, call, total):
        self.gateway.advance_clock(self.fleet.now)
        self.gateway.counter_call_finished(call, Outcome.DONE, total)

    def send_attempt(self, attempt, attempt_deadline):
        fleet = self.fleet
        if len(attempt.request.attempts) == 1:
            self.sent.append(attempt)
            fleet.buckets[attempt.request.customer.key].take(fleet.now)
        fleet.schedule(fleet.now + fleet.random.expovariate(1 / 40), self.attempt_finished, attempt)

    def attempt_finished(self, attempt):
        if attempt.outcome is None:
            self.gateway.advance_clock(self.fleet.now)
            self.gateway.attempt_finished(attempt, Outcome.DONE, self.fleet.now - attempt.sent_at, True, 0, 0)

    def start_timer(self, after_ms, why):
        self.fleet.schedule(self.fleet.now + after_ms, self.timer_fired, why)

    def timer_fired(self, why):
        self.gateway.advance_clock(self.fleet.now)
        self.gateway.timer_fired(why)

    def cancel(self, attempt):
        self.fleet.schedule(self.fleet.now, self.attempt_finished, attempt)

    def reject(self, request, retry_after_ms):
        pass

    fail = log_decision = lambda self, *arguments: None


@pytest.mark.parametrize("gateways", [1, 4, 20, 30, 200])
def test_without_faults_the_over_quota_share_is_at_most_a_tenth_above_that_of_the_reference_policy(
    gateways,
):
    """Guards against a fleet that admits far more than the quotas allow, or sends too little.

    A gateway learns of the units that other gateways count only from the totals of its own increments, so
    that it decides on an old state.
    """
    for seed in range(3):
        fleet = Fleet(seed, gateways, customers=60, load=0.5).run()
        over_quota_share = sum(bucket.over_quota for bucket in fleet.buckets) / fleet.offered
        reference_share = sum(bucket.over_quota for bucket in fleet.reference_buckets) / fleet.offered
        assert over_quota_share <= reference_share + 0.1, (seed, over_quota_share, reference_share)
        # A low share must not come from sending too little.
        sent = sum(len(member.sent) for member in fleet.members)
        assert sent > 0.7 * fleet.reference_sent > fleet.offered / 4, (seed, sent, fleet.reference_sent)
