"""Open-loop load on gateways: requests come at drawn times, however slow the answers are.

As the platform's front does, each request goes to one gateway of its customer's subset, drawn from those that
it has a connection to; a gateway that ends is noticed by its connection and left out until it is back. A busy
connection gets company, up to a few for each gateway. Every request leaves one record. Nothing here decides
for the gateways; the answers are read by the service's own framing.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from granitedock.errors import GranitedockError
from granitedock.lab.load.client_connection import ClientConnection, GatewayConnector, PendingRequest
from granitedock.lab.load.observations import RequestOutcome
from granitedock.lab.load.request_record import NO_GATEWAY, RequestRecord
from granitedock.lab.reactor import REACTOR, on_reactor
from granitedock.lab.scenario import Clients, Scenario

RECONNECT_S = 0.1
CONNECT_TIMEOUT_S = 2
BUSY_AT = 16  # requests that wait on a connection before another is opened
MAX_CONNECTIONS = 8  # to one gateway
POLL_S = 0.02
GRACE_S = 0.05  # beyond the last deadline


@dataclass(slots=True)
class Pause:
    """From when to when a gateway was stopped by SIGSTOP, on the steady clock."""

    began_s: float
    ended_s: float


class LoadTimeoutError(GranitedockError, TimeoutError):
    """Gateways that run took no connection."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(f"not all of {', '.join(addresses)} took a connection")


class LoadGenerator:
    """The scenario's clients against gateways at these addresses, from `start` to `stop`.

    `start`, `stop` and `run` are called from any thread but the reactor's; all else runs in the reactor's.
    """

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[str],
        count_running: Callable[[], int] | None = None,
        pauses_of: Callable[[int], list[Pause]] = lambda _: [],
    ) -> None:
        """`count_running` gives how many gateways run now (default: all), `pauses_of` when one was paused."""
        self.scenario = scenario
        self.addresses = addresses
        self.pauses_of = pauses_of
        self.count_running = count_running or (lambda: len(addresses))
        self.began_s = time.monotonic()
        self.running = False
        self.records: list[RequestRecord] = []
        self.connections: list[list[ClientConnection]] = [[] for _ in addresses]
        self.connecting = [0] * len(addresses)
        self.unexpected_answers = 0

    def now_s(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self.began_s

    def start(self, within_s: float = 20.0) -> None:
        """Connect to all gateways that run, then let the requests come. Raises LoadTimeoutError."""
        on_reactor(self.connect_to_all)
        ends = time.monotonic() + within_s
        while on_reactor(self.count_connected) < self.count_running():
            if time.monotonic() > ends:
                raise LoadTimeoutError(self.addresses)
            time.sleep(POLL_S)
        on_reactor(self.begin)

    def stop(self) -> list[RequestRecord]:
        """Send no more; wait for what is open as long as its own deadline, and return every record."""
        on_reactor(self.end)
        waiting = [record for record in self.records if record.outcome == RequestOutcome.OPEN]
        longest_s = max((record.deadline_ms for record in waiting), default=0.0) / 1000.0
        ends = time.monotonic() + longest_s + GRACE_S
        while time.monotonic() < ends and self.has_open_requests():
            time.sleep(POLL_S)
        on_reactor(self.close)
        return self.records

    def run(self, seconds: float) -> list[RequestRecord]:
        """Start, let it last so long, and stop; returns every record."""
        self.start()
        time.sleep(seconds)
        return self.stop()

    def has_open_requests(self) -> bool:
        """Whether a request waits for its answer."""
        return any(record.outcome == RequestOutcome.OPEN for record in self.records)

    def count_connected(self) -> int:
        """The gateways to which there is a connection."""
        return sum(map(bool, self.connections))

    def connect_to_all(self) -> None:
        """Open a connection to each gateway."""
        self.running = True
        for gateway in range(len(self.addresses)):
            self.connect(gateway)

    def begin(self) -> None:
        """The load's clock begins, and the requests come."""
        self.began_s = time.monotonic()
        for number, clients in enumerate(self.scenario.clients):
            random = Random(f"{self.scenario.seed}:{number}")
            self.send_due(clients, random, self.now_s())

    def end(self) -> None:
        """No more requests."""
        self.running = False

    def close(self) -> None:
        """Reset all connections."""
        for connection in [one for connections in self.connections for one in connections]:
            connection.transport.abortConnection()

    def call_later(self, after_s: float, function: Callable[[], object]) -> None:
        """Call a function then, unless the load has ended meanwhile."""

        def call() -> None:
            if self.running:
                function()

        if self.running:
            REACTOR.callLater(max(0.0, after_s), call)

    def connect(self, gateway: int, resend: list[PendingRequest] | None = None) -> None:
        """Open a further connection to a gateway, on which these are sent first."""
        self.connecting[gateway] += 1
        host, _, port = self.addresses[gateway].rpartition(":")
        connector = GatewayConnector(self, gateway, resend or [])
        REACTOR.connectTCP(host, int(port), connector, timeout=CONNECT_TIMEOUT_S)

    def reconnect_later(self, gateway: int) -> None:
        """Connect again after a short while, if there is no connection by then."""

        def reconnect() -> None:
            if not self.connections[gateway] and not self.connecting[gateway]:
                self.connect(gateway)

        self.call_later(RECONNECT_S, reconnect)

    def connection_to(self, gateway: int) -> ClientConnection:
        """The connection on which the fewest wait; where that is many, one more is opened beside it."""
        connections = self.connections[gateway]
        least = min(connections, key=lambda connection: len(connection.pending))
        if len(least.pending) >= BUSY_AT and len(connections) + self.connecting[gateway] < MAX_CONNECTIONS:
            self.connect(gateway)
        return least

    def send_due(self, clients: Clients, random: Random, due_s: float) -> None:
        """Send what is due now, and draw the next time: in advance, so that a loop that runs late sends what
        it owes at once instead of less."""
        bursts = clients.shape == "bursts"
        for _ in range(clients.burst_size if bursts else 1):
            self.send_request(clients, random)
        next_s = due_s + (clients.burst_every_s if bursts else random.expovariate(clients.rate))
        self.call_later(next_s - self.now_s(), lambda: self.send_due(clients, random, next_s))

    def send_request(self, clients: Clients, random: Random) -> None:
        """Send one request to a gateway of the customer's subset that is up."""
        count = len(self.addresses)
        subset = [(clients.subset_start + n) % count for n in range(clients.subset_size)]
        up = [gateway for gateway in subset if self.connections[gateway]]
        gateway = random.choice(up) if up else NO_GATEWAY
        record = RequestRecord(self.now_s(), gateway, clients.customer, clients.units, clients.deadline_ms)
        record.request_id = len(self.records) + 1
        record.request_class = clients.request_class
        self.records.append(record)
        if not up:
            record.outcome = RequestOutcome.LOST
            record.gateway_ended = True
            return
        self.connection_to(gateway).send_request(PendingRequest(record, clients))
