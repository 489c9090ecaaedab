"""One gateway of a simulation: the real policy, with simulated hosts and counter calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitedock import platform_settings
from granitedock.lab.gateway_settings import gateway_settings
from granitedock.lab.simulators.membership_simulation import EPOCH_UNIX_MS, SimulatedNode
from granitedock.lab.simulators.offered_load import CompletedRequest, OfferedLoad
from granitedock.membership.messages import Message
from granitedock.outlier_detection.detector import OutlierDetector
from granitedock.outlier_detection.payload import HOST_PAYLOAD
from granitedock.outlier_detection.settings import OutlierDetectionSettings
from granitedock.policy.types import (
    Attempt,
    CounterCall,
    Customer,
    EndpointStatus,
    EndpointUpdate,
    Host,
    Outcome,
    Plan,
    Request,
)
from granitedock.quota_sharing.payload import QUOTA_PAYLOAD
from granitedock.quota_sharing.settings import QuotaSharingSettings
from granitedock.quota_sharing.sharing import QuotaSharing

if TYPE_CHECKING:
    from granitedock.lab.simulators.quota_simulation import QuotaSimulation

SERVICE_MS = 5.0  # service time of every answered attempt
COUNTER_LATENCY_MS = (1.0, 3.0)  # minimum and maximum, one way
DISCONNECT_DETECTION_MS = 1000.0  # calls over a cut connection are lost until it is detected
RECONNECT_MS = 250.0  # after the detection each call fails after this time
DEADLINE_MS = 800.0  # counted from the arrival of a request
MAX_OBSERVATIONS_PER_DATAGRAM = 10
ZONES = "ab"


def make_hosts(count: int) -> dict[str, Host]:
    """Return hosts in alternating zones, by name."""
    return {f"h{number}": Host(name=f"h{number}", zone=ZONES[number % 2]) for number in range(count)}


class SimulatedGateway:
    """The policy of one gateway, and its effect handler (`granitedock.policy.ports.EffectHandler`).

    It belongs to one run of its node's process; inputs that arrive after the end of that run are dropped.
    """

    def __init__(self, simulation: QuotaSimulation, node: SimulatedNode) -> None:
        self.simulation = simulation
        self.node = node
        self.local_member = node.member
        settings = gateway_settings(simulation.scenario, node.number)
        settings = settings | {"Balancers": len(simulation.nodes)}
        request_classes = platform_settings.request_classes(settings)
        self.request_class = request_classes[0]
        self.policy = platform_settings.gateway(
            self, simulation.unix_ms(), node.number, settings, request_classes
        )
        self.hosts = make_hosts(simulation.host_count)
        endpoints = [
            EndpointUpdate(host, 1.0, "m", host.zone, 0, 0.0, EndpointStatus.READY)
            for host in self.hosts.values()
        ]
        self.policy.update_endpoints(endpoints, True)
        self.customers: dict[int, Customer] = {}
        features = simulation.features
        self.detector = self.make_detector() if features.detect_outliers else None
        self.quota_sharing: QuotaSharing | None = None
        if features.share_quotas:
            self.quota_sharing = QuotaSharing(self.local_member, QuotaSharingSettings())
        self.policy.rate_limiter.quota_sharing = self.quota_sharing
        self.policy.rate_limiter.membership = self if features.use_membership else None

    def make_detector(self) -> OutlierDetector:
        """Attach an outlier detector to the policy, and return it."""
        member = self.local_member.membership.local
        self.live_names = [member.name]
        detector = OutlierDetector(
            member.name, member.started_at, OutlierDetectionSettings(), lambda: self.live_names
        )
        detector.update_hosts(self.hosts, self.simulation.unix_ms())
        self.policy.load_balancer.ejection.detector = detector
        return detector

    def is_running(self) -> bool:
        """Return whether this run of the process has not ended."""
        return self.node.local_member is self.local_member

    def is_paused(self) -> bool:
        """Return whether the process is paused now."""
        return self.simulation.now < self.node.paused_until

    def advance_clock(self) -> None:
        """Advance the policy's clock to the simulated time."""
        self.policy.advance_clock(self.simulation.unix_ms())

    # The policy's `MembershipPort`.

    def active_members(self, subset_start: int, subset_size: int) -> int:
        """Return the number of gateways of the subset that may be serving."""
        return self.local_member.active_members(self.simulation.now, subset_start, subset_size)

    # Requests and attempts.

    def plan_of(self, load: OfferedLoad) -> Plan:
        """Return the load's plan in the version that this gateway applies."""
        return load.plan

    def handle_request(self, load: OfferedLoad, units: float) -> None:
        """Handle a request of this customer."""
        customer = self.customers.setdefault(load.customer, Customer(load.customer))
        now = self.simulation.unix_ms()
        self.advance_clock()
        deadline = now + DEADLINE_MS
        request = Request(
            self.request_class, self.plan_of(load), customer, now, deadline, units, load.subset_size
        )
        request.subset_start = load.subset_start
        self.policy.handle_request(request)

    def send_attempt(self, attempt: Attempt, _attempt_deadline: float | None) -> None:
        """Schedule the end of an attempt: an answer, or the fault of the host or of the link to it."""
        simulation = self.simulation
        host = attempt.host.name
        outcome = simulation.host_faults.get(host, Outcome.DONE)
        if (self.node.number, host) in simulation.unreachable:
            outcome = Outcome.CONNECTION_FAILED
        simulation.attempts[host] += 1
        after_ms = SERVICE_MS
        if outcome is Outcome.TIMEOUT:
            after_ms = attempt.request.deadline - simulation.unix_ms()
        simulation.schedule(after_ms, self.attempt_finished, attempt, outcome)

    def attempt_finished(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt, unless it has ended already."""
        if not self.is_running() or attempt.outcome is not None:
            return
        simulation = self.simulation
        request = attempt.request
        is_done = outcome is Outcome.DONE
        if is_done:
            load = simulation.loads[request.customer.key]
            sent_at = request.received_at - EPOCH_UNIX_MS
            load.completed.append(CompletedRequest(sent_at, self.node.number, request.units))
        elif attempt.host.name in simulation.host_faults:
            simulation.failed_attempts[attempt.host.name] += 1
        self.advance_clock()
        elapsed_ms = simulation.unix_ms() - attempt.sent_at
        self.policy.attempt_finished(attempt, outcome, elapsed_ms, is_done, 0, 0)

    def reject(self, request: Request, _retry_after_ms: float | None) -> None:
        """Count a rejected request."""
        self.simulation.loads[request.customer.key].rejected += 1

    def fail(self, request: Request) -> None:
        """Count a failed request among the rejected ones."""
        self.simulation.loads[request.customer.key].rejected += 1

    def cancel(self, attempt: Attempt) -> None:
        """Schedule the cancellation of an attempt for the current time."""
        self.simulation.schedule(0.0, self.attempt_finished, attempt, Outcome.CANCELLED)

    def log_decision(self, line: str) -> None:
        """Ignore the line, as decisions are not logged in simulations."""

    def start_timer(self, after_ms: float, subject: object) -> None:
        """Start a timer of the policy."""
        self.simulation.schedule(after_ms, self.timer_fired, subject)

    def timer_fired(self, subject: CounterCall | Attempt) -> None:
        """Handle the expiry of a timer of the policy."""
        if self.is_running():
            self.advance_clock()
            self.policy.timer_fired(subject)

    # Calls to the counter.

    def call_counter(self, call: CounterCall) -> None:
        """Send an increment, which is lost over a cut connection, or fails once the cut is detected."""
        simulation = self.simulation
        simulation.counter.calls += 1
        disconnected_at = simulation.counter.disconnected_since.get(self.node.number)
        latency_ms = simulation.random.uniform(*COUNTER_LATENCY_MS)
        if disconnected_at is None:
            simulation.schedule(latency_ms, self.counter_call_arrived, call)
        elif simulation.now - disconnected_at > DISCONNECT_DETECTION_MS:
            simulation.schedule(
                RECONNECT_MS, self.counter_call_finished, call, Outcome.CONNECTION_FAILED, 0.0
            )

    def counter_call_arrived(self, call: CounterCall) -> None:
        """Apply a call at the counter; the answer is lost if the gateway is cut off by then."""
        simulation = self.simulation
        total = simulation.counter.increment(call.name, call.amount, call.ttl_ms, simulation.now)
        if self.node.number not in simulation.counter.disconnected_since:
            latency_ms = simulation.random.uniform(*COUNTER_LATENCY_MS)
            simulation.schedule(latency_ms, self.counter_call_finished, call, Outcome.DONE, total)

    def counter_call_finished(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Pass the counter's answer, or the failure of the call, to the policy."""
        if self.is_running():
            self.advance_clock()
            self.policy.counter_call_finished(call, outcome, total)

    # Payloads that gateways exchange.

    def start_broadcasts(self) -> None:
        """Start the rounds of the enabled services, each at a random time within its interval."""
        simulation = self.simulation
        if self.quota_sharing is not None:
            wait_ms = simulation.random.random() * self.quota_sharing.settings.broadcast_interval_ms
            simulation.schedule(wait_ms, self.share_quotas, self.quota_sharing)
        if self.detector is not None:
            wait_ms = simulation.random.random() * self.detector.settings.broadcast_interval_ms
            simulation.schedule(wait_ms, self.share_observations, self.detector)

    def receive(self, message: Message) -> None:
        """Pass the payload of a datagram to its service, if that is enabled."""
        if message.kind == QUOTA_PAYLOAD.kind and self.quota_sharing is not None:
            self.quota_sharing.receive(message.payload, self.simulation.unix_ms())
        if message.kind == HOST_PAYLOAD.kind and self.detector is not None:
            self.detector.receive(message.payload, self.simulation.unix_ms())

    def share_quotas(self, quota_sharing: QuotaSharing) -> None:
        """Run one round of quota sharing: send rows to other gateways and its calls to the counter."""
        if not self.is_running():
            return
        simulation = self.simulation
        simulation.schedule(quota_sharing.settings.broadcast_interval_ms, self.share_quotas, quota_sharing)
        if self.is_paused():
            return
        due = quota_sharing.run_maintenance(simulation.unix_ms(), simulation.now)
        local = self.local_member.membership.local
        for broadcast in due.broadcasts:
            message = Message(QUOTA_PAYLOAD.kind, local, payload=broadcast.rows)
            simulation.send(self.node, broadcast.address, message)
        for call in due.counter_calls:
            self.call_counter(call)

    def share_observations(self, detector: OutlierDetector) -> None:
        """Run one round of outlier detection: send observations to other gateways and update the verdicts."""
        if not self.is_running():
            return
        simulation = self.simulation
        membership = self.local_member.membership
        simulation.schedule(detector.settings.broadcast_interval_ms, self.share_observations, detector)
        if self.is_paused():
            return
        self.live_names = sorted([membership.local.name, *membership.live_others()])
        rows = tuple(detector.broadcasts_due(MAX_OBSERVATIONS_PER_DATAGRAM, simulation.unix_ms()))
        detector.update_verdicts(simulation.unix_ms())
        if not rows:
            return
        for address in membership.gossip_addresses():
            message = Message(HOST_PAYLOAD.kind, membership.local, payload=rows)
            simulation.send(self.node, address, message)
