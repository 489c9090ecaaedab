"""Rate limiting and load balancing of many gateways against a simulated counter and simulated hosts.

Each gateway runs the real policy, with membership, quota sharing and outlier detection if they are
enabled. The hosts, the counter with its latency, and the clients, which send each customer's requests to the
gateways of its subset, are simulated. This makes it possible to measure the usage that is admitted beyond a
quota for hundreds of gateways and thousands of customers, under any partition between gateways and from the
counter.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random

from granitedock.lab.scenario import parse
from granitedock.lab.simulators.membership_simulation import (
    EPOCH_UNIX_MS,
    MembershipSimulation,
    SimulatedNode,
)
from granitedock.lab.simulators.minimal_scenario import MINIMAL_SCENARIO
from granitedock.lab.simulators.offered_load import OfferedLoad
from granitedock.lab.simulators.simulated_counter import SimulatedCounter
from granitedock.lab.simulators.simulated_gateway import SimulatedGateway
from granitedock.lab.simulators.simulated_network import NetworkConditions
from granitedock.membership.messages import Message, PayloadTypes
from granitedock.membership.timing import Timing
from granitedock.outlier_detection.payload import HOST_PAYLOAD
from granitedock.policy.types import Outcome
from granitedock.quota_sharing.payload import QUOTA_PAYLOAD


@dataclass(frozen=True, slots=True)
class GatewayFeatures:
    """The features that are enabled at every gateway.

    With `share_quotas` gateways send each other their uncounted usage and keep reserves. With
    `use_membership` quotas are divided evenly among the members that may be serving. With `detect_outliers`
    gateways send each other their observations of hosts.
    """

    share_quotas: bool = True
    use_membership: bool = True
    detect_outliers: bool = False


class QuotaSimulation(MembershipSimulation):
    """Simulates `count` gateways that serve the offered loads.

    `host_faults` maps each failing host to the outcome of its attempts; TIMEOUT is a host that never answers.
    `unreachable` contains pairs of a gateway's number and a host that the gateway cannot connect to.
    """

    payload_types: PayloadTypes = {payload.kind: payload for payload in (QUOTA_PAYLOAD, HOST_PAYLOAD)}

    def __init__(
        self,
        count: int,
        loads: list[OfferedLoad],
        seed: int = 1,
        features: GatewayFeatures | None = None,
        network: NetworkConditions | None = None,
        host_count: int = 4,
    ) -> None:
        self.features = features or GatewayFeatures()
        self.host_count = host_count
        self.host_faults: dict[str, Outcome] = {}
        self.unreachable: set[tuple[int, str]] = set()
        self.attempts: Counter[str] = Counter()  # by host
        self.failed_attempts: Counter[str] = Counter()  # by host, counted only at hosts with a fault
        self.scenario = parse(MINIMAL_SCENARIO)
        self.loads = {load.customer: load for load in loads}
        self.gateways: dict[int, SimulatedGateway] = {}
        self.counter = SimulatedCounter()
        super().__init__(count, seed, Timing(), network, already_joined=True)
        self.arrivals = Random(seed)
        for load in loads:
            self.offer_next(load)

    def unix_ms(self) -> float:
        """Return the simulated time as Unix ms."""
        return EPOCH_UNIX_MS + self.now

    def make_gateway(self, node: SimulatedNode) -> SimulatedGateway:
        """Return the gateway of a process that has just started."""
        return SimulatedGateway(self, node)

    def start(self, number: int, seeds: tuple[str, ...] | None = None) -> None:
        """Start a gateway's process and its services."""
        super().start(number, seeds)
        gateway = self.gateways[number] = self.make_gateway(self.nodes[number])
        gateway.start_broadcasts()

    def receive(self, node: SimulatedNode, message: Message) -> None:
        """Deliver a datagram to a running process: to its membership, then to the service that it is for."""
        super().receive(node, message)
        self.gateways[node.number].receive(message)

    def disconnect_counter(self, *numbers: int) -> None:
        """Cut these gateways off from the counter."""
        for number in numbers:
            self.counter.disconnected_since.setdefault(number, self.now)

    def heal(self) -> None:
        """Unblock all links, including those to the counter."""
        super().heal()
        self.counter.disconnected_since.clear()

    def offer_next(self, load: OfferedLoad) -> None:
        """Send a request of the load to a random serving gateway of its subset, and schedule the next."""
        self.schedule(self.arrivals.expovariate(load.rate) * 1000.0, self.offer_next, load)
        count = len(self.nodes)
        subset = [(load.subset_start + offset) % count for offset in range(load.subset_size)]
        serving = [number for number in subset if self.is_serving(self.nodes[number])]
        if serving:
            self.gateways[self.arrivals.choice(serving)].handle_request(load, 1.0)

    def is_serving(self, node: SimulatedNode) -> bool:
        """Return whether the process runs and is not paused."""
        return node.local_member is not None and self.now >= node.paused_until
