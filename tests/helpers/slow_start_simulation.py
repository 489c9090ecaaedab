"""How many requests many gateways together send to hosts that have just started: simulated, each gateway with
the program's own decisions, its own clock, its own moment of hearing the list, and restarts. Times in ms."""

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

COLD = SlowStart(0.18, 12000.0, 2.0, 1000.0)
OPEN = Plan("open", 0, 0, 0, 1, 0, 0, 0, 0, 0)  # no quota: the counter has no part in it
SAFE = RequestClass("safe", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 1200, 3000, 1, 0, False)
UNSAFE = RequestClass("unsafe", Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0, 1200, 3000, 1, 0, False)
CAPACITY = 0.02  # requests in a ms that a warm host can do
FELL, BACK, END = 6000.0, 9000.0, 16000.0


class EffectHandler:
    """A gateway's door: its sends go to the world, its other effects nowhere."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.make()

    def make(self):
        """A process, new or restarted: nothing is left of what it knew but the list, as told."""
        world = self.world
        self.skew = world.random.uniform(-400.0, 400.0)
        identity = GatewayIdentity(world.random.getrandbits(32), self.number, world.gateways)
        permitted = PermittedFeatures(3, False, True, True, 2000)
        settings = GatewaySettings(identity, [SAFE, UNSAFE], permitted, world.cold, has_counter=False)
        self.gateway = Gateway(self, world.now + self.skew, settings)
        self.hosts = [Host() for _ in range(world.hosts)]
        self.numbers = {host: number for number, host in enumerate(self.hosts)}
        self.customer, self.waits = Customer(self.number), {}
        self.told(range(world.hosts))

    def told(self, hosts):
        """The list as it stands now, of these hosts."""
        world = self.world
        self.gateway.advance_clock(world.now + self.skew)
        sightings = [
            EndpointUpdate(self.hosts[n], 1.0, "m", "z", 0, world.started[n], world.status[n]) for n in hosts
        ]
        self.gateway.update_endpoints(sightings, False)

    def send_attempt(self, attempt, attempt_deadline):
        self.world.arrived(self, self.numbers[attempt.host], attempt)

    def reject(self, request, retry_after_ms):
        self.world.refused += 1

    def fail(self, request):
        self.world.refused += 1

    def cancel(self, attempt):
        self.world.at(self.world.now, self.ended, self.gateway, attempt, Outcome.CANCELLED)

    def start_timer(self, after_ms, why):
        if hasattr(why, "host"):
            self.world.at(self.world.now + after_ms, self.woke, self.gateway, why)

    def woke(self, gateway, why):
        if gateway is self.gateway:
            gateway.advance_clock(self.world.now + self.skew)
            gateway.timer_fired(why)

    def log_decision(self, line):
        pass

    def ended(self, gateway, attempt, outcome):
        if gateway is self.gateway and attempt.outcome is None:
            gateway.advance_clock(self.world.now + self.skew)
            gateway.attempt_finished(
                attempt, outcome, gateway.now - attempt.sent_at, outcome is Outcome.DONE, 0, 0
            )

    def take(self, request_class):
        self.gateway.advance_clock(self.world.now + self.skew)
        now = self.gateway.now
        self.gateway.handle_request(
            Request(request_class, OPEN, self.customer, now, now + request_class.deadline_ms, 1.0, 1)
        )


class World:
    """`share` of the hosts falls at once and is back, cold, 3 s later, while all gateways restart, one after
    another. `load` is a part of what all hosts can do warm; `uneven` spreads it over the gateways."""

    def __init__(self, seed, gateways, hosts, load, share, cold=COLD, uneven=1.0):
        self.random, self.now, self.queue, self.made = Random(seed), 100000.0, [], 0
        self.zero, self.gateways, self.hosts, self.cold = self.now, gateways, hosts, cold
        self.started, self.status = [0.0] * hosts, [EndpointStatus.READY] * hosts
        self.free_at, self.up = [self.now] * hosts, [True] * hosts
        self.came = [[] for _ in range(hosts)]
        self.refused = self.offered = 0
        self.falling = range(round(share * hosts))
        self.doors = [EffectHandler(self, number) for number in range(gateways)]
        weights = [self.random.lognormvariate(0.0, uneven) for _ in range(gateways)]
        reach, rate = list(accumulate(weights)), load * hosts * CAPACITY
        t = self.now
        while t < self.zero + END:
            t += self.random.expovariate(rate)
            door = self.doors[bisect_left(reach, self.random.random() * reach[-1])]
            self.at(t, self.offer, door)
        self.at(self.zero + FELL, self.fall)
        self.at(self.zero + BACK, self.back)
        for number, door in enumerate(self.doors):  # a release in the middle of it
            self.at(self.zero + BACK + 4000.0 * (number + 1) / gateways, door.make)

    def at(self, when, act, *what):
        self.made += 1
        heappush(self.queue, (when, self.made, act, what))

    def run(self):
        while self.queue and self.queue[0][0] < self.zero + END:
            self.now, _, act, what = heappop(self.queue)
            act(*what)
        return self

    def offer(self, door):
        self.offered += 1
        door.take(UNSAFE if self.random.random() < 0.2 else SAFE)

    def fall(self):
        for host in self.falling:
            self.up[host], self.status[host] = False, EndpointStatus.GONE
        for door in self.doors:
            self.at(self.now + self.random.uniform(200.0, 1500.0), door.told, self.falling)

    def back(self):
        for host in self.falling:
            self.up[host], self.status[host], self.started[host] = True, EndpointStatus.READY, self.now
            self.free_at[host] = self.now
        for door in self.doors:
            self.at(self.now + self.random.uniform(0.0, 800.0), door.told, self.falling)

    def warmth(self, host, when):
        if not self.started[host]:
            return 1.0
        age = (when - self.started[host]) / self.cold.warm_up_ms
        return min(1.0, self.cold.initial_capacity_share + (1.0 - self.cold.initial_capacity_share) * age)

    def arrived(self, door, host, attempt):
        gateway = door.gateway
        if not self.up[host]:
            self.at(self.now + 1.0, door.ended, gateway, attempt, Outcome.CONNECTION_FAILED)
            return
        if self.started[host]:
            self.came[host].append(self.now)
        took = self.random.expovariate(CAPACITY * self.warmth(host, self.now))
        self.free_at[host] = max(self.free_at[host], self.now) + took
        if self.free_at[host] > self.now + 1500.0:
            self.free_at[host] -= took
            self.at(self.now + 2.0, door.ended, gateway, attempt, Outcome.OVERLOADED)
        else:
            self.at(self.free_at[host] + 60.0, door.ended, gateway, attempt, Outcome.DONE)

    def worst(self):
        """What the worst window of a cold host got, in parts of its bound, N + 2 x root of N + 2; N is what
        the settings allow, from the capacity at the window's beginning."""
        worst, tip = 0.0, self.cold.overload_interval_ms
        for host in self.falling:
            came = self.came[host]
            for first, at in enumerate(came):
                allowed = self.cold.overload_factor * self.warmth(host, at) * CAPACITY * tip
                count = bisect_left(came, at + tip) - first
                worst = max(worst, count / (allowed + 2.0 * allowed**0.5 + 2.0))
        return worst

    def used(self):
        """What the cold hosts got, in parts of what they could do in all from their start to the end."""
        could = sum(self.warmth(0, BACK + self.zero + ms) for ms in range(int(END - BACK))) * CAPACITY
        return sum(map(len, self.came)) / (could * len(self.falling))
