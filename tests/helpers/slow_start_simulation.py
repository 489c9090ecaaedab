"""How many requests many gateways together send to hosts that have just started.

Simulated: each gateway has the program's own decisions, its own clock, its own moment of hearing of
endpoints, and restarts. Times in ms.
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
OPEN = Plan("open", 0, 0, 0, 1, 0, 0, 0, 0, 0)  # no quota: the counter has no part in it
SAFE = RequestClass("safe", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 1200, 3000, 1, 0, False)
UNSAFE = RequestClass("unsafe", Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0, 1200, 3000, 1, 0, False)
CAPACITY = 0.02  # requests in a ms that a warm host can do
FELL, BACK, END = 6000.0, 9000.0, 16000.0


class SimulatedGateway:
    """A gateway and its effect handler: attempts go to the world, its other effects nowhere."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.start()

    def start(self):
        """A process, new or restarted: nothing is left of what it knew but the endpoint list."""
        world = self.world
        self.skew = world.random.uniform(-400.0, 400.0)
        identity = GatewayIdentity(world.random.getrandbits(32), self.number, world.gateways)
        permitted = PermittedFeatures(3, False, True, True, 2000)
        settings = GatewaySettings(identity, [SAFE, UNSAFE], permitted, world.slow_start, has_counter=False)
        self.gateway = Gateway(self, world.now + self.skew, settings)
        self.hosts = [Host() for _ in range(world.hosts)]
        self.numbers = {host: number for number, host in enumerate(self.hosts)}
        self.customer, self.waits = Customer(self.number), {}
        self.update_endpoints(range(world.hosts))

    def update_endpoints(self, hosts):
        """The endpoint list as it stands now, of these hosts."""
        world = self.world
        self.gateway.advance_clock(world.now + self.skew)
        updates = [
            EndpointUpdate(self.hosts[n], 1.0, "m", "z", 0, world.started[n], world.status[n]) for n in hosts
        ]
        self.gateway.update_endpoints(updates, False)

    def send_attempt(self, attempt, attempt_deadline):
        """The attempt arrives at its host."""
        self.world.arrived(self, self.numbers[attempt.host], attempt)

    def reject(self, request, retry_after_ms):
        """Count a refusal."""
        self.world.refused += 1

    def fail(self, request):
        """Count a refusal."""
        self.world.refused += 1

    def cancel(self, attempt):
        """End the attempt at once."""
        self.world.at(self.world.now, self.attempt_finished, self.gateway, attempt, Outcome.CANCELLED)

    def start_timer(self, after_ms, why):
        """Only looks at attempts in flight matter here."""
        if hasattr(why, "host"):
            self.world.at(self.world.now + after_ms, self.timer_fired, self.gateway, why)

    def timer_fired(self, gateway, why):
        """A timer of this process, or of one before."""
        if gateway is self.gateway:
            gateway.advance_clock(self.world.now + self.skew)
            gateway.timer_fired(why)

    def log_decision(self, line):
        """Nobody reads it here."""

    def attempt_finished(self, gateway, attempt, outcome):
        """An attempt of this process ends, or of one before."""
        if gateway is self.gateway and attempt.outcome is None:
            gateway.advance_clock(self.world.now + self.skew)
            gateway.attempt_finished(
                attempt, outcome, gateway.now - attempt.sent_at, outcome is Outcome.DONE, 0, 0
            )

    def handle_request(self, request_class):
        """A client asks."""
        self.gateway.advance_clock(self.world.now + self.skew)
        now = self.gateway.now
        self.gateway.handle_request(
            Request(request_class, OPEN, self.customer, now, now + request_class.deadline_ms, 1.0, 1)
        )


class World:
    """`share` of the hosts falls at once and is back, warming up, 3 s later, while all gateways restart, one
    after another. `load` is a part of what all hosts can do when warm; `uneven` spreads it over them."""

    def __init__(self, seed, gateways, hosts, load, share, slow_start=SLOW_START, uneven=1.0):
        self.random, self.now, self.queue, self.made = Random(seed), 100000.0, [], 0
        self.zero, self.gateways, self.hosts, self.slow_start = self.now, gateways, hosts, slow_start
        self.started, self.status = [0.0] * hosts, [EndpointStatus.READY] * hosts
        self.free_at, self.up = [self.now] * hosts, [True] * hosts
        self.came = [[] for _ in range(hosts)]
        self.refused = self.offered = 0
        self.falling = range(round(share * hosts))
        self.members = [SimulatedGateway(self, number) for number in range(gateways)]
        weights = [self.random.lognormvariate(0.0, uneven) for _ in range(gateways)]
        reach, rate = list(accumulate(weights)), load * hosts * CAPACITY
        t = self.now
        while t < self.zero + END:
            t += self.random.expovariate(rate)
            member = self.members[bisect_left(reach, self.random.random() * reach[-1])]
            self.at(t, self.offer, member)
        self.at(self.zero + FELL, self.fall)
        self.at(self.zero + BACK, self.back)
        for number, member in enumerate(self.members):  # a release in the middle of it
            self.at(self.zero + BACK + 4000.0 * (number + 1) / gateways, member.start)

    def at(self, when, act, *what):
        """Plan an event."""
        self.made += 1
        heappush(self.queue, (when, self.made, act, what))

    def run(self):
        """Play all events until the end."""
        while self.queue and self.queue[0][0] < self.zero + END:
            self.now, _, act, what = heappop(self.queue)
            act(*what)
        return self

    def offer(self, member):
        """A request comes to this gateway."""
        self.offered += 1
        member.handle_request(UNSAFE if self.random.random() < 0.2 else SAFE)

    def fall(self):
        """The hosts fall; gateways hear of it one by one."""
        for host in self.falling:
            self.up[host], self.status[host] = False, EndpointStatus.GONE
        for member in self.members:
            self.at(self.now + self.random.uniform(200.0, 1500.0), member.update_endpoints, self.falling)

    def back(self):
        """The hosts are back; gateways hear of it one by one."""
        for host in self.falling:
            self.up[host], self.status[host], self.started[host] = True, EndpointStatus.READY, self.now
            self.free_at[host] = self.now
        for member in self.members:
            self.at(self.now + self.random.uniform(0.0, 800.0), member.update_endpoints, self.falling)

    def capacity_share(self, host, when):
        """The part of its capacity that a host has by its age."""
        if not self.started[host]:
            return 1.0
        age = (when - self.started[host]) / self.slow_start.warm_up_ms
        return min(
            1.0, self.slow_start.initial_capacity_share + (1.0 - self.slow_start.initial_capacity_share) * age
        )

    def arrived(self, member, host, attempt):
        """A host takes an attempt, refuses it, or is down."""
        gateway = member.gateway
        if not self.up[host]:
            self.at(self.now + 1.0, member.attempt_finished, gateway, attempt, Outcome.CONNECTION_FAILED)
            return
        if self.started[host]:
            self.came[host].append(self.now)
        took = self.random.expovariate(CAPACITY * self.capacity_share(host, self.now))
        self.free_at[host] = max(self.free_at[host], self.now) + took
        if self.free_at[host] > self.now + 1500.0:
            self.free_at[host] -= took
            self.at(self.now + 2.0, member.attempt_finished, gateway, attempt, Outcome.OVERLOADED)
        else:
            self.at(self.free_at[host] + 60.0, member.attempt_finished, gateway, attempt, Outcome.DONE)

    def worst(self):
        """What the worst window of a warming host got, in parts of its bound, N + 2 x root of N + 2; N is
        what the settings allow, from the capacity at the window's beginning."""
        worst, tip = 0.0, self.slow_start.overload_interval_ms
        for host in self.falling:
            came = self.came[host]
            for first, at in enumerate(came):
                allowed = self.slow_start.overload_factor * self.capacity_share(host, at) * CAPACITY * tip
                count = bisect_left(came, at + tip) - first
                worst = max(worst, count / (allowed + 2.0 * allowed**0.5 + 2.0))
        return worst

    def used(self):
        """What the warming hosts got, in parts of what they could do in all from their start to the end."""
        could = sum(self.capacity_share(0, BACK + self.zero + ms) for ms in range(int(END - BACK))) * CAPACITY
        return sum(map(len, self.came)) / (could * len(self.falling))
