"""Gateways for tests: one on fake hosts, customers and a counter, one with protocols on fake transports."""

from collections import Counter

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
from granitedock.service.client_protocol import ClientProtocol
from granitedock.service.counter_protocol import CounterProtocol
from granitedock.service.discovery_protocol import DiscoveryWatchProtocol, parse_endpoint_list
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.host_protocol import HostProtocol
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.resp import encode_command

READ = RequestClass("read", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 1000, 4000, 1, 0, False)
KEYED = RequestClass("stamped", Idempotency.KEYED, IdempotencyScope.ALL, 3000, 2000, 5000, 1, 0, False)
KEYED_BY_ZONE = RequestClass(
    "by zone", Idempotency.KEYED, IdempotencyScope.ZONE, 3000, 2000, 5000, 1, 0, False
)
NON_IDEMPOTENT = RequestClass(
    "one-shot", Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0, 2000, 8000, 1, 0, False
)
PLAN = Plan("plan", 0.01, 20, 0, 1, 0, 0.5, 0, 0, 0)  # ten units a second, bursts of twenty
CAPPED = Plan("capped", 0.01, 20, 0, 1, 0, 0.5, 0.02, 40, 4)
FEW_IN_FLIGHT = Plan("few out", 0, 0, 4, 1, 0, 0.5, 0, 0, 0)


class GatewayHarness:
    """A gateway policy with an effect handler that records all effects. Times are in ms."""

    def __init__(
        self, hosts=3, number=0, gateways=2, copies=False, at=100000.0, request_classes=None, **listed
    ):
        self.attempts = []
        self.attempt_deadlines = []
        self.rejected = []  # (request, retry after in ms)
        self.failed = []
        self.cancelled = []
        self.calls = []
        self.timers = []  # (due time, reason)
        self.log_lines = []
        self.hosts = [Host() for _ in range(hosts)]
        settings = GatewaySettings(
            identity=GatewayIdentity(7 + number, number, gateways),
            request_classes=request_classes or [READ, KEYED, KEYED_BY_ZONE, NON_IDEMPOTENT],
            permitted=PermittedFeatures(3, copies, True, True, 2000),
            slow_start=SlowStart(0.2, 10000, 2, 1000),
            has_counter=True,
        )
        self.gateway = Gateway(self, at, settings)
        self.update_endpoints(EndpointStatus.READY, *self.hosts, **listed)

    # The effect handler.

    def send_attempt(self, attempt, attempt_deadline):
        self.attempts.append(attempt)
        self.attempt_deadlines.append(attempt_deadline)

    def reject(self, request, retry_after_ms):
        self.rejected.append((request, retry_after_ms))

    def fail(self, request):
        self.failed.append(request)

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def call_counter(self, call):
        self.calls.append(call)

    def start_timer(self, after_ms, why):
        self.timers.append((self.gateway.now + after_ms, why))

    def log_decision(self, line):
        self.log_lines.append(line)

    # Input from the environment.

    def update_endpoints(self, status, *hosts, started_at=0.0, zones=None, size=1.0):
        updates = [
            EndpointUpdate(host, size, "m", (zones or {}).get(host, "z"), 0, started_at, status)
            for host in hosts
        ]
        self.gateway.update_endpoints(updates, False)

    def pass_ms(self, ms):
        """Advance the clock by `ms`, and fire the timers that expire meanwhile."""
        end = self.gateway.now + ms
        while due := sorted((timer for timer in self.timers if timer[0] <= end), key=lambda timer: timer[0]):
            self.timers.remove(due[0])
            self.gateway.advance_clock(due[0][0])
            self.gateway.timer_fired(due[0][1])
        self.gateway.advance_clock(end)

    def ask(self, request_class=READ, plan=PLAN, customer=None, units=1.0, subset_size=2, left=None):
        """Submit a new request with `left` ms until its deadline, and return it."""
        now = self.gateway.now
        left = request_class.deadline_ms if left is None else left
        request = Request(request_class, plan, customer or Customer(99), now, now + left, units, subset_size)
        self.gateway.handle_request(request)
        return request

    def answer_call(self, outcome=Outcome.DONE, total=None, call=None):
        """Finish the latest call to the counter, or the given one."""
        call = call or self.calls[-1]
        self.gateway.counter_call_finished(call, outcome, call.amount if total is None else total)

    def admit(self, request_class=READ, **more):
        """Submit a new request that the counter admits, and return it."""
        request = self.ask(request_class, **more)
        self.answer_call(total=1)
        return request

    def finish(self, outcome, took=50.0, attempt=None):
        """Finish the latest attempt, or the given one."""
        attempt = attempt or self.attempts[-1]
        self.gateway.attempt_finished(attempt, outcome, took, outcome is Outcome.DONE, 0, 0)

    # State of the gateway.

    def capacity_share(self, host):
        return self.gateway.load_balancer.slow_start.capacity_share(host, self.gateway.now)

    def request_work(self, request_class):
        """Return the work of a request of one unit, as a multiple of the mean request."""
        return self.gateway.load_balancer.estimates.relative_work(self.gateway.now, request_class, 1)


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
    """A fake transport, which records what is written to it and how it is closed."""

    def __init__(self, link, stuck=False):
        self.link, self.stuck, self.written, self.closed, self.disconnecting = link, stuck, b"", "", False
        link.transport, self.connected, self.unread = self, True, b""

    def write(self, data):
        self.written += data
        self.written_at = self.link.handle_input.__self__.now

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
        """Return the first unread byte without reading it."""
        if not self.unread:
            raise BlockingIOError
        return self.unread[:1]

    def shutdown(self, _how):
        raise OSError

    def took(self):
        """Return what was written since the last call."""
        data, self.written = self.written, b""
        return data


class Wired:
    """A state machine with real protocols on fake transports, and itself its I/O, reactor and event log."""

    def __init__(self, hosts=2, memory_mb=192, sockets=64):
        self.now, self.timers, self.dials, self.lines, self.counts = 100000.0, [], [], [], Counter()
        self.left = self.shut_at = self.takes_in = None
        self.next_id = 0x0123456789ABCDEF
        self.since = None  # earliest arrival of the next input, as the event loop reports it
        self.limits = Limits.from_platform_file(
            {"limits": {"memory_mb": memory_mb, "sockets": sockets}, "settings": BORN}
        )
        self.state_machine = GatewayStateMachine(
            GatewayParameters(self.now, self.limits, BORN, 7, self.listing(1, hosts), self, self)
        )
        self.handle_input(Input.START)

    @staticmethod
    def listing(version, hosts, lifecycle="in_service", whole=True, **more):
        entries = [
            {"instanceId": f"h{n}", "hostPort": f"127.0.0.1:{n}", "lifecycle": lifecycle, **more}
            for n in range(hosts)
        ]
        return parse_endpoint_list({"generation": version, "reset": whole, "instances": entries})

    def handle_input(self, *happened):
        for act, *what in self.state_machine.handle(self.now, *happened, earliest_arrival=self.since):
            act(*what)

    def event(self, event, **figures):
        self.lines.append((event, figures))

    def start_timer(self, timer):
        self.timers.append(timer)

    def connect_host(self, connection, address):
        self.dials.append((HostProtocol, connection, Input.HOST_DISCONNECTED))

    def connect_counter(self, connection):
        self.dials.append((CounterProtocol, connection, Input.COUNTER_DISCONNECTED))

    def connect_watch(self, watch):
        def make(handle_input, limits):
            return DiscoveryWatchProtocol(handle_input, "d:1", limits)

        self.dials.append((make, watch, Input.WATCH_DISCONNECTED))

    def accept_connections(self, on):
        self.takes_in = on

    def stop_listening(self):
        self.shut_at = self.now

    def stop_process(self):
        self.left = self.now

    def comes_up(self, at=-1, stuck=False):
        """Complete a connection attempt, and return its fake transport."""
        make, record, _ = self.dials.pop(at)
        link = make(self.handle_input, self.limits)
        link.record = record
        line = Line(link, stuck)
        link.connectionMade()
        return line

    def fails(self, at=-1):
        _, record, down = self.dials.pop(at)
        self.handle_input(down, record)

    def counter_up(self):
        """Complete the watch on discovery and all connections to the counter, opened at the start."""
        self.watch = self.comes_up(0)  # opened first
        return [self.comes_up(0) for _ in range(self.limits.counter_links)]

    def client(self):
        link = ClientProtocol(self.handle_input, self.limits)
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
        while due := sorted((w for w in self.timers if w.due <= end and w.input), key=lambda w: w.due):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0].due)
            self.handle_input(due[0].input, *due[0].arguments)
        self.now = end
