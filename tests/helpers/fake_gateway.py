"""Gateways for tests without sockets.

`GatewayHarness` is a gateway policy with fake hosts, customers and counter. `InMemoryGateway` is a whole
state machine with its protocols on fake transports. Times are in ms.
"""

import socket
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
PLAN = Plan("plan", 0.01, 20, 0, 1, 0, 0.5, 0, 0, 0)  # Ten units per second, bursts of twenty.
CAPPED = Plan("capped", 0.01, 20, 0, 1, 0, 0.5, 0.02, 40, 4)
FEW_IN_FLIGHT = Plan("few out", 0, 0, 4, 1, 0, 0.5, 0, 0, 0)


class GatewayHarness:
    """A gateway policy and its effect handler, which records all effects."""

    def __init__(
        self,
        hosts=3,
        number=0,
        gateways=2,
        copies=False,
        at=100000.0,
        request_classes=None,
        **endpoint_fields,
    ):
        self.attempts = []
        self.attempt_deadlines = []
        self.rejected = []  # (request, retry after in ms).
        self.failed = []
        self.cancelled = []
        self.calls = []
        self.timers = []  # (due time, reason).
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
        self.update_endpoints(EndpointStatus.READY, *self.hosts, **endpoint_fields)

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

    def send_request(
        self, request_class=READ, plan=PLAN, customer=None, units=1.0, subset_size=2, time_left_ms=None
    ):
        """Submit a new request with `time_left_ms` until its deadline, and return it."""
        now = self.gateway.now
        time_left_ms = request_class.deadline_ms if time_left_ms is None else time_left_ms
        request = Request(
            request_class, plan, customer or Customer(99), now, now + time_left_ms, units, subset_size
        )
        self.gateway.handle_request(request)
        return request

    def answer_call(self, outcome=Outcome.DONE, total=None, call=None):
        """Finish the latest call to the counter, or the given one."""
        call = call or self.calls[-1]
        self.gateway.counter_call_finished(call, outcome, call.amount if total is None else total)

    def admit(self, request_class=READ, **more):
        """Submit a new request that the counter admits, and return it."""
        request = self.send_request(request_class, **more)
        self.answer_call(total=1)
        return request

    def finish(self, outcome, duration_ms=50.0, attempt=None):
        """Finish the latest attempt, or the given one, after `duration_ms`."""
        attempt = attempt or self.attempts[-1]
        self.gateway.attempt_finished(attempt, outcome, duration_ms, outcome is Outcome.DONE, 0, 0)

    # State of the gateway.

    def capacity_share(self, host):
        return self.gateway.load_balancer.slow_start.capacity_share(host, self.gateway.now)

    def request_work(self, request_class):
        """Return the work of a request of one unit, as a multiple of the mean request."""
        return self.gateway.load_balancer.estimates.relative_work(self.gateway.now, request_class, 1)


# The platform's settings, as its file contains them.
SETTINGS = {
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


SOCKET_WITHOUT_OUTPUT = socket.socket()


class FakeTransport:
    """A transport that records the bytes written to it and how it is closed.

    With `write_blocked`, a producer can write only once and a closed write side is never reported.
    """

    def __init__(self, protocol, write_blocked=False):
        self.protocol, self.write_blocked, self.written, self.closed, self.disconnecting = (
            protocol,
            write_blocked,
            b"",
            "",
            False,
        )
        protocol.transport, self.connected, self.unread = self, True, b""
        self.dataBuffer, self.offset, self._tempDataLen = b"", 0, 0

    def write(self, data):
        self.written += data
        self.written_at = self.protocol.handle_input.__self__.now

    def registerProducer(self, producer, streaming):
        if not streaming:
            producer.resumeProducing()
            if not self.write_blocked:
                producer.resumeProducing()

    def loseWriteConnection(self):
        self.closed = self.closed or "closed"
        if not self.write_blocked:
            self.protocol.writeConnectionLost()

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
        """Return the first unread byte without consuming it."""
        if not self.unread:
            raise BlockingIOError
        return self.unread[:1]

    def fileno(self):
        """Return the descriptor of a socket that has nothing to send: the peer receives all bytes at once."""
        return SOCKET_WITHOUT_OUTPUT.fileno()

    def shutdown(self, _how):
        raise OSError

    def setsockopt(self, *_option):
        pass

    def getsockopt(self, *_option):
        """Return the state of an open connection."""
        return b"\1"

    def take_written(self):
        """Return the bytes written since the last call."""
        data, self.written = self.written, b""
        return data


class InMemoryGateway:
    """A state machine with protocols on fake transports; it is also their I/O, reactor and event log.

    `pending_connects` lists the connection attempts that the test has not completed yet, in order, as
    (protocol factory, record of the connection, input that reports its end).
    """

    def __init__(self, hosts=2, memory_mb=192, sockets=64):
        self.now, self.timers, self.pending_connects, self.log_events, self.counts = (
            100000.0,
            [],
            [],
            [],
            Counter(),
        )
        self.exited_at = self.listener_closed_at = self.accepting = None
        self.next_id = 0x0123456789ABCDEF
        self.earliest_arrival = None  # Earliest arrival time of the next input, as the event loop reports it.
        self.limits = Limits.from_platform_file(
            {"limits": {"memory_mb": memory_mb, "sockets": sockets}, "settings": SETTINGS}
        )
        self.state_machine = GatewayStateMachine(
            GatewayParameters(self.now, self.limits, SETTINGS, 7, self.endpoint_list(1, hosts), self, self)
        )
        self.handle_input(Input.START)

    @staticmethod
    def endpoint_list(version, hosts, lifecycle="in_service", whole=True, **more):
        entries = [
            {"instanceId": f"h{n}", "hostPort": f"127.0.0.1:{n}", "lifecycle": lifecycle, **more}
            for n in range(hosts)
        ]
        return parse_endpoint_list({"generation": version, "reset": whole, "instances": entries})

    def handle_input(self, *arguments):
        for act, *act_arguments in self.state_machine.handle(
            self.now, *arguments, earliest_arrival=self.earliest_arrival
        ):
            act(*act_arguments)

    def event(self, event, **figures):
        self.log_events.append((event, figures))

    def start_timer(self, timer):
        self.timers.append(timer)

    def timer_count(self):
        return len(self.timers)

    def connect_host(self, connection, address):
        self.pending_connects.append((HostProtocol, connection, Input.HOST_DISCONNECTED))

    def connect_counter(self, connection):
        self.pending_connects.append((CounterProtocol, connection, Input.COUNTER_DISCONNECTED))

    def connect_watch(self, watch):
        def make_protocol(handle_input, limits):
            return DiscoveryWatchProtocol(handle_input, "d:1", limits)

        self.pending_connects.append((make_protocol, watch, Input.WATCH_DISCONNECTED))

    def accept_connections(self, on):
        self.accepting = on

    def stop_listening(self):
        self.listener_closed_at = self.now

    def stop_process(self):
        self.exited_at = self.now

    def connect_succeeds(self, index=-1, write_blocked=False):
        """Complete a pending connection attempt, and return its fake transport."""
        make_protocol, record, _ = self.pending_connects.pop(index)
        protocol = make_protocol(self.handle_input, self.limits)
        protocol.record = record
        transport = FakeTransport(protocol, write_blocked)
        protocol.connectionMade()
        return transport

    def connect_fails(self, index=-1):
        """Fail a pending connection attempt."""
        _, record, disconnected = self.pending_connects.pop(index)
        self.handle_input(disconnected, record)

    def open_initial_connections(self):
        """Establish the watch and all counter connections of the start; return the counter's transports."""
        self.watch = self.connect_succeeds(0)  # The gateway opens the watch first.
        return [self.connect_succeeds(0) for _ in range(self.limits.counter_links)]

    def client(self):
        """Connect a client, and return the transport of its connection."""
        protocol = ClientProtocol(self.handle_input, self.limits)
        transport = FakeTransport(protocol)
        protocol.connectionMade()
        return transport

    def send_request(self, client, request_class="read", d=3000, more=b"", body=(), customer=0xA1):
        """Deliver a request on the client's connection, with `d` ms left and a new id."""
        text = b"c=%b,t=p,d=%d,units=1,spread=1,first=0%b" % (request_class.encode(), d, more)
        name = b"API.READ" if request_class == "read" else b"API.WRITE"
        client.protocol.dataReceived(
            encode_command(name, b"%016x" % customer, b"%016x" % self.next_id, text, *body)
        )
        self.next_id += 1

    def pass_ms(self, ms):
        """Advance the clock by `ms`, and fire the timers that expire meanwhile."""
        end = self.now + ms
        while due := sorted(
            (timer for timer in self.timers if timer.due <= end and timer.input), key=lambda timer: timer.due
        ):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0].due)
            self.handle_input(due[0].input, *due[0].arguments)
        self.now = end
