"""The one helper of the stories: a fake host, customers and a counter that answer as told."""

from collections import Counter

from granitedock.policy.decisions import Gateway
from granitedock.policy.types import (
    Customer,
    EndpointStatus,
    EndpointUpdate,
    GatewayIdentity,
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
from granitedock.service.client_protocol import ClientProtocol
from granitedock.service.counter_protocol import CounterProtocol
from granitedock.service.discovery_protocol import DiscoveryWatchProtocol, parse_endpoint_list
from granitedock.service.host_protocol import HostProtocol
from granitedock.service.limits import Limits
from granitedock.service.reducer import Reducer
from granitedock.service.resp import encode_command

READ = RequestClass("read", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 1000, 4000, 1, 0, False)
STAMPED = RequestClass("stamped", Idempotency.KEYED, IdempotencyScope.ALL, 3000, 2000, 5000, 1, 0, False)
BY_ZONE = RequestClass("by zone", Idempotency.KEYED, IdempotencyScope.ZONE, 3000, 2000, 5000, 1, 0, False)
ONE_SHOT = RequestClass(
    "one-shot", Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0, 2000, 8000, 1, 0, False
)
PLAN = Plan("plan", 0.01, 20, 0, 1, 0, 0.5, 0, 0, 0)  # ten units a second, twenty at once
CAPPED = Plan("capped", 0.01, 20, 0, 1, 0, 0.5, 0.02, 40, 4)
FEW_OUT = Plan("few out", 0, 0, 4, 1, 0, 0.5, 0, 0, 0)


class Story:
    """A gateway, the door it acts on, and what came out of it."""

    def __init__(
        self, hosts=3, number=0, gateways=2, copies=False, at=100000.0, request_classes=None, **cold
    ):
        self.attempts, self.deferred, self.errored, self.calls = [], [], [], []
        self.wakes, self.withdrawn, self.lines, self.stops = [], [], [], []
        self.hosts = [Host() for _ in range(hosts)]
        leave = PermittedFeatures(3, copies, True, True, 2000)
        coldness = SlowStart(0.2, 10000, 2, 1000)
        request_classes = request_classes or [READ, STAMPED, BY_ZONE, ONE_SHOT]
        self.gateway = Gateway(
            self, at, GatewayIdentity(7 + number, number, gateways), request_classes, leave, coldness, True
        )
        self.roster(EndpointStatus.READY, *self.hosts, **cold)

    # The door.
    def send_attempt(self, attempt, attempt_deadline):
        self.attempts.append(attempt)
        self.stops.append(attempt_deadline)

    def reject(self, request, retry_after_ms):
        self.deferred.append((request, retry_after_ms))

    def fail(self, request):
        self.errored.append(request)

    def cancel(self, attempt):
        self.withdrawn.append(attempt)

    def call_counter(self, call):
        self.calls.append(call)

    def start_timer(self, after_ms, why):
        self.wakes.append((self.gateway.now + after_ms, why))

    def log_decision(self, line):
        self.lines.append(line)

    # What the world does.
    def roster(self, status, *hosts, started_at=0.0, zones=None, size=1.0):
        sightings = [
            EndpointUpdate(host, size, "m", (zones or {}).get(host, "z"), 0, started_at, status)
            for host in hosts
        ]
        self.gateway.update_endpoints(sightings, False)

    def pass_ms(self, ms):
        """Let time pass, with the wakes that fall due on the way."""
        end = self.gateway.now + ms
        while due := sorted((w for w in self.wakes if w[0] <= end), key=lambda w: w[0]):
            self.wakes.remove(due[0])
            self.gateway.advance_clock(due[0][0])
            self.gateway.timer_fired(due[0][1])
        self.gateway.advance_clock(end)

    def ask(self, request_class=READ, plan=PLAN, customer=None, units=1.0, subset_size=2, left=None):
        now = self.gateway.now
        left = request_class.deadline_ms if left is None else left
        request = Request(request_class, plan, customer or Customer(99), now, now + left, units, subset_size)
        self.gateway.handle_request(request)
        return request

    def counter(self, outcome=Outcome.DONE, total=None, call=None):
        """The counter answers the latest call, or the one given."""
        call = call or self.calls[-1]
        self.gateway.counter_call_finished(call, outcome, call.amount if total is None else total)

    def admitted(self, request_class=READ, **more):
        request = self.ask(request_class, **more)
        self.counter(total=1)
        return request

    def ends(self, outcome, took=50.0, attempt=None):
        attempt = attempt or self.attempts[-1]
        self.gateway.attempt_finished(attempt, outcome, took, outcome is Outcome.DONE, 0, 0)


BORN = {
    "Me": 0,
    "Balancers": 1,
    "Lanes": [
        {"Name": "read", "Repeat": "safe", "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 1},
        {"Name": "mark", "Repeat": "keyed", "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 1},
        {"Name": "once", "Repeat": "unsafe", "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 1},
    ],
    "Tariffs": [{"Name": "p", "Refill": 10, "MostAtOnce": 20}],
    "Allowed": {"MaxAttempts": 3, "Cancel": True, "ConnIdleMs": 10000, "MostHeld": 100},
    "Safety": {"ColdFrom": 0.2, "ColdMs": 1000, "OverloadFactor": 2, "TipAfterMs": 1000},
    "Specifics": {"Counter": True, "MaxUnits": 4},
}


class Line:
    """A transport: what was written to it, and whether it has ended."""

    def __init__(self, link, stuck=False):
        self.link, self.stuck, self.written, self.closed, self.disconnecting = link, stuck, b"", "", False
        link.transport, self.connected, self.unread = self, True, b""

    def write(self, data):
        self.written += data
        self.written_at = self.link.tell.__self__.now

    def registerProducer(self, producer, streaming):
        if not streaming:
            producer.resumeProducing()
            if not self.stuck:
                producer.resumeProducing()

    def loseWriteConnection(self):
        self.closed = self.closed or "closed"
        if not self.stuck:
            self.link.writeConnectionLost()

    def loseConnection(self):
        self.closed = self.closed or "ended"

    def abortConnection(self):
        self.closed = self.closed or "aborted"

    def setTcpNoDelay(self, _on):
        pass

    doWrite = unregisterProducer = pauseProducing = resumeProducing = lambda self: None

    def getHandle(self):
        return self

    def recv(self, _size, _flags):
        """A look at what lies unread."""
        if not self.unread:
            raise BlockingIOError
        return self.unread[:1]

    def shutdown(self, _how):
        raise OSError

    def took(self):
        """What was written since the last look."""
        data, self.written = self.written, b""
        return data


class Wired:
    """A reducer with real links on lines that lead nowhere; it is its own doors, reactor and diary."""

    def __init__(self, hosts=2, memory_mb=192, sockets=64):
        self.now, self.wakes, self.dials, self.lines, self.counts = 100000.0, [], [], [], Counter()
        self.left = self.shut_at = self.takes_in = None
        self.next_id = 0x0123456789ABCDEF
        self.since = None  # the earliest moment at which what is told may have come, as the loop says
        self.limits = Limits.from_platform_file(
            {"limits": {"memory_mb": memory_mb, "sockets": sockets}, "settings": BORN}
        )
        self.reducer = Reducer(self.now, self.limits, BORN, 7, self.listing(1, hosts), self, self)
        self.tell("start")

    @staticmethod
    def listing(version, hosts, lifecycle="in_service", whole=True, **more):
        entries = [
            {"instanceId": f"h{n}", "hostPort": f"127.0.0.1:{n}", "lifecycle": lifecycle, **more}
            for n in range(hosts)
        ]
        return parse_endpoint_list({"generation": version, "reset": whole, "instances": entries})

    def tell(self, *happened):
        for act, *what in self.reducer.reduce(self.now, *happened, since=self.since):
            act(*what)

    def event(self, event, **figures):
        self.lines.append((event, figures))

    def wake(self, wake):
        self.wakes.append(wake)

    def dial_host(self, lane, address):
        self.dials.append((HostProtocol, lane, "host down"))

    def dial_counter(self, wire):
        self.dials.append((CounterProtocol, wire, "counter down"))

    def dial_watch(self, watch):
        self.dials.append((lambda *a: DiscoveryWatchProtocol(a[0], "d:1", a[1]), watch, "watch down"))

    def take_in(self, on):
        self.takes_in = on

    def shut(self):
        self.shut_at = self.now

    def leave(self):
        self.left = self.now

    def comes_up(self, at=-1, stuck=False):
        """A dial succeeds."""
        make, record, _ = self.dials.pop(at)
        link = make(self.tell, self.limits)
        link.record = record
        line = Line(link, stuck)
        link.connectionMade()
        return line

    def fails(self, at=-1):
        _, record, down = self.dials.pop(at)
        self.tell(down, record)

    def counter_up(self):
        """All connections to the counter, made at the start."""
        self.watch = self.comes_up(0)  # dialled first
        return [self.comes_up(0) for _ in range(self.limits.counter_links)]

    def client(self):
        link = ClientProtocol(self.tell, self.limits)
        line = Line(link)
        link.connectionMade()
        return line

    def ask(self, line, request_class="read", d=3000, more=b"", body=(), customer=0xA1):
        text = b"c=%b,t=p,d=%d,units=1,spread=1,first=0%b" % (request_class.encode(), d, more)
        name = b"API.READ" if request_class == "read" else b"API.WRITE"
        line.link.dataReceived(
            encode_command(name, b"%016x" % customer, b"%016x" % self.next_id, text, *body)
        )
        self.next_id += 1

    def pass_ms(self, ms):
        end = self.now + ms
        while due := sorted((w for w in self.wakes if w.due <= end and w.name), key=lambda w: w.due):
            self.wakes.remove(due[0])
            self.now = max(self.now, due[0].due)
            self.tell(due[0].name, *due[0].what)
        self.now = end
