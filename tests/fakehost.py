"""The one helper of the stories: a fake host, customers and a counter that answer as told."""

from granitedock.policy.decisions import Gateway
from granitedock.policy.interface import (
    Cold,
    Customer,
    Ending,
    Group,
    Host,
    Kind,
    Leave,
    Plan,
    Product,
    Seat,
    Sighting,
    Status,
    Task,
)

READ = Product("read", Kind.HARMLESS, Group.ALL, 0, 1000, 4000, 1, 0, False)
STAMPED = Product("stamped", Kind.STAMPED, Group.ALL, 3000, 2000, 5000, 1, 0, False)
BY_ZONE = Product("by zone", Kind.STAMPED, Group.ZONE, 3000, 2000, 5000, 1, 0, False)
ONE_SHOT = Product("one-shot", Kind.ONE_SHOT, Group.ALL, 0, 2000, 8000, 1, 0, False)
PLAN = Plan("plan", 0.01, 20, 0, 1, 0, 0.5, 0, 0, 0)  # ten units a second, twenty at once
CAPPED = Plan("capped", 0.01, 20, 0, 1, 0, 0.5, 0.02, 40, 4)
FEW_OUT = Plan("few out", 0, 0, 4, 1, 0, 0.5, 0, 0, 0)


class Story:
    """A gateway, the door it acts on, and what came out of it."""

    def __init__(self, hosts=3, number=0, gateways=2, copies=False, at=100000.0, **cold):
        self.forwards, self.deferred, self.errored, self.calls = [], [], [], []
        self.wakes, self.withdrawn, self.lines, self.stops = [], [], [], []
        self.hosts = [Host() for _ in range(hosts)]
        leave = Leave(3, copies, True, True, 2000)
        coldness = Cold(0.2, 10000, 2, 1000)
        products = [READ, STAMPED, BY_ZONE, ONE_SHOT]
        self.gateway = Gateway(self, at, Seat(7, number, gateways), products, leave, coldness, True)
        self.roster(Status.READY, *self.hosts, **cold)

    # The door.
    def forward(self, forward, stop_at):
        self.forwards.append(forward)
        self.stops.append(stop_at)

    def defer(self, task, come_back_ms):
        self.deferred.append((task, come_back_ms))

    def error(self, task):
        self.errored.append(task)

    def withdraw(self, forward):
        self.withdrawn.append(forward)

    def count(self, call):
        self.calls.append(call)

    def wake(self, after_ms, why):
        self.wakes.append((self.gateway.now + after_ms, why))

    def log(self, line):
        self.lines.append(line)

    # What the world does.
    def roster(self, status, *hosts, started_at=0.0, zones=None, size=1.0):
        sightings = [
            Sighting(host, size, "m", (zones or {}).get(host, "z"), 0, started_at, status) for host in hosts
        ]
        self.gateway.roster(sightings, False)

    def pass_ms(self, ms):
        """Let time pass, with the wakes that fall due on the way."""
        end = self.gateway.now + ms
        while due := sorted((w for w in self.wakes if w[0] <= end), key=lambda w: w[0]):
            self.wakes.remove(due[0])
            self.gateway.at(due[0][0])
            self.gateway.woke(due[0][1])
        self.gateway.at(end)

    def ask(self, product=READ, plan=PLAN, customer=None, units=1.0, spread=2, left=None):
        now = self.gateway.now
        left = product.cutoff_ms if left is None else left
        task = Task(product, plan, customer or Customer(99), now, now + left, units, spread)
        self.gateway.take(task)
        return task

    def counter(self, ending=Ending.DONE, total=None, call=None):
        """The counter answers the latest call, or the one given."""
        call = call or self.calls[-1]
        self.gateway.counted(call, ending, call.amount if total is None else total)

    def admitted(self, product=READ, **more):
        task = self.ask(product, **more)
        self.counter(total=1)
        return task

    def ends(self, ending, took=50.0, forward=None):
        forward = forward or self.forwards[-1]
        self.gateway.ended(forward, ending, took, ending is Ending.DONE, 0, 0)
