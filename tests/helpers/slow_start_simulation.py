"""Simulates how many requests a number of gateways together send to hosts that have just started.

Each simulated gateway runs the production `Gateway`, has its own clock, receives endpoint updates at its own
time, and restarts. Times are in ms.
"""

from bisect import bisect_left
from heapq import heappop, heappush
from itertools import accumulate
from random import Random

from granitedock.policy.gateway import Gateway
from granitedock.policy.types import (
    Customer,
    EndpointStatus,
    EndpointUpdate,
    GatewayIdentity,
    GatewaySettings,
    Host,
    Idempotency,
    IdempotencyScope,
    Outcome,
    PermittedFeatures,
    Plan,
    Request,
    RequestClass,
    SlowStart,
)

SLOW_START = SlowStart(0.18, 12000.0, 2.0, 1000.0)
UNLIMITED_PLAN = Plan("open", 0, 0, 0, 1, 0, 0, 0, 0, 0)  # Has no quota, so the counter is not called.
IDEMPOTENT_CLASS = RequestClass(
    "safe", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 1200, 3000, 1, 0, False
)
NON_IDEMPOTENT_CLASS = RequestClass(
    "unsafe", Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0, 1200, 3000, 1, 0, False
)
CAPACITY_PER_MS = 0.02  # Requests per ms that a warm host can serve.
FAILURE_MS, RECOVERY_MS, END_MS = 6000.0, 9000.0, 16000.0  # From the start of the simulation.


class SimulatedGateway:
    """A gateway and its effect handler: passes attempts to the simulation and counts rejections."""

    def __init__(self, simulation, number):
        self.simulation, self.number = simulation, number
        self.start()

    def start(self):
        """Start or restart the process; only the endpoint list survives a restart."""
        simulation = self.simulation
        self.clock_skew_ms = simulation.random.uniform(-400.0, 400.0)
        identity = GatewayIdentity(simulation.random.getrandbits(32), self.number, simulation.gateway_count)
        permitted = PermittedFeatures(3, False, True, True, 2000)
        settings = GatewaySettings(
            identity,
            [IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS],
            permitted,
            simulation.slow_start,
            has_counter=False,
        )
        self.policy = Gateway(self, simulation.now + self.clock_skew_ms, settings)
        self.hosts = [Host() for _ in range(simulation.host_count)]
        self.host_numbers = {host: number for number, host in enumerate(self.hosts)}
        self.customer, self.waits = Customer(self.number), {}
        self.update_endpoints(range(simulation.host_count))

    def update_endpoints(self, host_numbers):
        """Pass the current endpoint list entries of these hosts to the gateway."""
        simulation = self.simulation
        self.policy.advance_clock(simulation.now + self.clock_skew_ms)
        updates = [
            EndpointUpdate(self.hosts[n], 1.0, "m", "z", 0, simulation.started_at[n], simulation.status[n])
            for n in host_numbers
        ]
        self.policy.update_endpoints(updates, False)

    def send_attempt(self, attempt, attempt_deadline):
        """Deliver the attempt to its host."""
        self.simulation.attempt_arrived(self, self.host_numbers[attempt.host], attempt)

    def reject(self, request, retry_after_ms):
        """Count a rejection."""
        self.simulation.rejected += 1

    def fail(self, request):
        """Count an error answer as a rejection."""
        self.simulation.rejected += 1

    def cancel(self, attempt):
        """End the attempt without delay."""
        self.simulation.schedule(
            self.simulation.now, self.attempt_finished, self.policy, attempt, Outcome.CANCELLED
        )

    def start_timer(self, after_ms, why):
        """Schedule only timers of attempts in flight; the simulation needs no others."""
        if hasattr(why, "host"):
            self.simulation.schedule(self.simulation.now + after_ms, self.timer_fired, self.policy, why)

    def timer_fired(self, policy, why):
        """Fire a timer unless it belongs to a process before a restart."""
        if policy is self.policy:
            policy.advance_clock(self.simulation.now + self.clock_skew_ms)
            policy.timer_fired(why)

    def log_decision(self, line):
        """Discard the line."""

    def attempt_finished(self, policy, attempt, outcome):
        """End an attempt unless it belongs to a process before a restart."""
        if policy is self.policy and attempt.outcome is None:
            policy.advance_clock(self.simulation.now + self.clock_skew_ms)
            policy.attempt_finished(
                attempt, outcome, policy.now - attempt.sent_at, outcome is Outcome.DONE, 0, 0
            )

    def handle_request(self, request_class):
        """Handle a client's new request."""
        self.policy.advance_clock(self.simulation.now + self.clock_skew_ms)
        now = self.policy.now
        self.policy.handle_request(
            Request(
                request_class, UNLIMITED_PLAN, self.customer, now, now + request_class.deadline_ms, 1.0, 1
            )
        )


class SlowStartSimulation:
    """Simulates a failure of many hosts at once and their slow start.

    `share` of the hosts fails at once and is back, warming up, 3 s later, while all gateways restart one
    after another. `load` is a share of the capacity of all hosts when warm; `load_sigma` is the sigma of the
    lognormal weights that spread it over the gateways.
    """

    def __init__(self, seed, gateway_count, host_count, load, share, slow_start=SLOW_START, load_sigma=1.0):
        self.random, self.now, self.queue, self.event_count = Random(seed), 100000.0, [], 0
        self.begin_ms, self.gateway_count, self.host_count, self.slow_start = (
            self.now,
            gateway_count,
            host_count,
            slow_start,
        )
        self.started_at, self.status = [0.0] * host_count, [EndpointStatus.READY] * host_count
        self.free_at, self.is_up = [self.now] * host_count, [True] * host_count
        self.arrivals = [[] for _ in range(host_count)]
        self.rejected = self.offered = 0
        self.failing_hosts = range(round(share * host_count))
        self.gateways = [SimulatedGateway(self, number) for number in range(gateway_count)]
        weights = [self.random.lognormvariate(0.0, load_sigma) for _ in range(gateway_count)]
        cumulative_weights, rate = list(accumulate(weights)), load * host_count * CAPACITY_PER_MS
        send_at = self.now
        while send_at < self.begin_ms + END_MS:
            send_at += self.random.expovariate(rate)
            gateway = self.gateways[
                bisect_left(cumulative_weights, self.random.random() * cumulative_weights[-1])
            ]
            self.schedule(send_at, self.send_request, gateway)
        self.schedule(self.begin_ms + FAILURE_MS, self.fail_hosts)
        self.schedule(self.begin_ms + RECOVERY_MS, self.restore_hosts)
        for number, gateway in enumerate(self.gateways):  # A rolling release during the warm-up.
            self.schedule(self.begin_ms + RECOVERY_MS + 4000.0 * (number + 1) / gateway_count, gateway.start)

    def schedule(self, when, action, *arguments):
        """Schedule an event; events of the same time run in the order of their scheduling."""
        self.event_count += 1
        heappush(self.queue, (when, self.event_count, action, arguments))

    def run(self):
        """Run all events until the end of the simulation."""
        while self.queue and self.queue[0][0] < self.begin_ms + END_MS:
            self.now, _, action, arguments = heappop(self.queue)
            action(*arguments)
        return self

    def send_request(self, gateway):
        """Send a client's request to this gateway."""
        self.offered += 1
        gateway.handle_request(NON_IDEMPOTENT_CLASS if self.random.random() < 0.2 else IDEMPOTENT_CLASS)

    def fail_hosts(self):
        """Stop the failing hosts; each gateway receives the update after its own delay."""
        for host in self.failing_hosts:
            self.is_up[host], self.status[host] = False, EndpointStatus.GONE
        for gateway in self.gateways:
            self.schedule(
                self.now + self.random.uniform(200.0, 1500.0), gateway.update_endpoints, self.failing_hosts
            )

    def restore_hosts(self):
        """Start the failed hosts again; each gateway receives the update after its own delay."""
        for host in self.failing_hosts:
            self.is_up[host], self.status[host], self.started_at[host] = True, EndpointStatus.READY, self.now
            self.free_at[host] = self.now
        for gateway in self.gateways:
            self.schedule(
                self.now + self.random.uniform(0.0, 800.0), gateway.update_endpoints, self.failing_hosts
            )

    def capacity_share(self, host, when):
        """Return the share of its capacity that a host has at its age."""
        if not self.started_at[host]:
            return 1.0
        age = (when - self.started_at[host]) / self.slow_start.warm_up_ms
        return min(
            1.0, self.slow_start.initial_capacity_share + (1.0 - self.slow_start.initial_capacity_share) * age
        )

    def attempt_arrived(self, gateway, host, attempt):
        """Queue an attempt at its host; an overloaded host rejects it, a stopped one cannot be reached."""
        policy = gateway.policy
        if not self.is_up[host]:
            self.schedule(
                self.now + 1.0, gateway.attempt_finished, policy, attempt, Outcome.CONNECTION_FAILED
            )
            return
        if self.started_at[host]:
            self.arrivals[host].append(self.now)
        service_ms = self.random.expovariate(CAPACITY_PER_MS * self.capacity_share(host, self.now))
        self.free_at[host] = max(self.free_at[host], self.now) + service_ms
        if self.free_at[host] > self.now + 1500.0:
            self.free_at[host] -= service_ms
            self.schedule(self.now + 2.0, gateway.attempt_finished, policy, attempt, Outcome.OVERLOADED)
        else:
            self.schedule(self.free_at[host] + 60.0, gateway.attempt_finished, policy, attempt, Outcome.DONE)

    def worst_overload(self):
        """Return the most attempts in an overload interval at a warming host, as a multiple of the bound.

        The bound is N + 2 x root of N + 2, where N is what the settings allow for the capacity at the start
        of the interval.
        """
        worst_overload, interval_ms = 0.0, self.slow_start.overload_interval_ms
        for host in self.failing_hosts:
            arrivals = self.arrivals[host]
            for first, start in enumerate(arrivals):
                allowed = (
                    self.slow_start.overload_factor
                    * self.capacity_share(host, start)
                    * CAPACITY_PER_MS
                    * interval_ms
                )
                count = bisect_left(arrivals, start + interval_ms) - first
                worst_overload = max(worst_overload, count / (allowed + 2.0 * allowed**0.5 + 2.0))
        return worst_overload

    def used_capacity_share(self):
        """Return the attempts at the restarted hosts as a share of their capacity from start to end."""
        capacity = (
            sum(
                self.capacity_share(0, RECOVERY_MS + self.begin_ms + ms)
                for ms in range(int(END_MS - RECOVERY_MS))
            )
            * CAPACITY_PER_MS
        )
        return sum(map(len, self.arrivals)) / (capacity * len(self.failing_hosts))
