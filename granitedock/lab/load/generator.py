"""Open-loop load on gateways: requests are sent at scheduled times, however slow the answers are.

As the platform's front does, each request goes to one gateway of its customer's subset, drawn at random from
those with an open connection. A gateway whose connections have ended is left out until it accepts one again.
If a connection is busy, a further one to the same gateway is opened, up to a limit. Each request has exactly
one record. The generator takes no decision for the gateways, and parses answers with the service's framing.
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
BUSY_PENDING_REQUESTS = 16  # a further connection is opened once this many requests wait on each
MAX_CONNECTIONS_PER_GATEWAY = 8
POLL_S = 0.02
STOP_GRACE_S = 0.05  # wait beyond the last deadline


@dataclass(slots=True)
class Interval:
    """An interval on the monotonic clock; `ended_s` is infinite while it lasts."""

    began_s: float
    ended_s: float


class LoadTimeoutError(GranitedockError, TimeoutError):
    """Running gateways did not accept a connection in time."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(f"not every gateway of {', '.join(addresses)} accepted a connection in time")


class LoadGenerator:
    """Runs the scenario's clients against gateways at these addresses, from `start` to `stop`.

    `start`, `stop` and `run` are called from any thread except the reactor's; all other methods run in the
    reactor's thread.
    """

    def __init__(
        self,
        scenario: Scenario,
        addresses: list[str],
        count_running: Callable[[], int] | None = None,
        pauses_of: Callable[[int], list[Interval]] = lambda _: [],
        kills_of: Callable[[int], list[Interval]] = lambda _: [],
    ) -> None:
        """`count_running` returns how many gateways run now; all by default.

        `pauses_of` returns when a gateway was stopped by SIGSTOP, and `kills_of` the intervals from each
        SIGKILL of a gateway to the end of its process.
        """
        self.scenario = scenario
        self.addresses = addresses
        self.pauses_of = pauses_of
        self.kills_of = kills_of
        self.count_running = count_running or (lambda: len(addresses))
        self.began_s = time.monotonic()
        self.running = False
        self.records: list[RequestRecord] = []
        self.connections: list[list[ClientConnection]] = [[] for _ in addresses]
        self.connecting = [0] * len(addresses)
        self.unexpected_answers = 0

    def now_s(self) -> float:
        """Return the seconds since the start of the load."""
        return time.monotonic() - self.began_s

    def start(self, within_s: float = 20.0) -> None:
        """Connect to all running gateways, then start the requests.

        Raises LoadTimeoutError if a running gateway has accepted no connection within `within_s`.
        """
        on_reactor(self.connect_to_all)
        deadline_s = time.monotonic() + within_s
        while on_reactor(self.count_connected) < self.count_running():
            if time.monotonic() > deadline_s:
                raise LoadTimeoutError(self.addresses)
            time.sleep(POLL_S)
        on_reactor(self.begin)

    def stop(self) -> list[RequestRecord]:
        """Stop sending, and return all records.

        Open requests are awaited until the longest of their deadlines has passed.
        """
        on_reactor(self.end)
        open_requests = [record for record in self.records if record.outcome == RequestOutcome.OPEN]
        longest_s = max((record.deadline_ms for record in open_requests), default=0.0) / 1000.0
        deadline_s = time.monotonic() + longest_s + STOP_GRACE_S
        while time.monotonic() < deadline_s and self.has_open_requests():
            time.sleep(POLL_S)
        on_reactor(self.close)
        return self.records

    def run(self, seconds: float) -> list[RequestRecord]:
        """Start the load, stop it after `seconds`, and return all records."""
        self.start()
        time.sleep(seconds)
        return self.stop()

    def has_open_requests(self) -> bool:
        """Return whether a request waits for its answer."""
        return any(record.outcome == RequestOutcome.OPEN for record in self.records)

    def count_connected(self) -> int:
        """Return the number of gateways with an open connection."""
        return sum(map(bool, self.connections))

    def connect_to_all(self) -> None:
        """Open a connection to each gateway."""
        self.running = True
        for gateway in range(len(self.addresses)):
            self.connect(gateway)

    def begin(self) -> None:
        """Start the load's clock and the requests of all clients."""
        self.began_s = time.monotonic()
        for number, clients in enumerate(self.scenario.clients):
            random = Random(f"{self.scenario.seed}:{number}")
            self.send_due(clients, random, self.now_s())

    def end(self) -> None:
        """Stop sending requests."""
        self.running = False

    def close(self) -> None:
        """Reset all connections."""
        for connection in [connection for connections in self.connections for connection in connections]:
            connection.transport.abortConnection()

    def call_later(self, after_s: float, function: Callable[[], object]) -> None:
        """Call a function after `after_s`, unless the load has ended by then."""

        def call() -> None:
            if self.running:
                function()

        if self.running:
            REACTOR.callLater(max(0.0, after_s), call)

    def connect(self, gateway: int, resend: list[PendingRequest] | None = None) -> None:
        """Open a further connection to a gateway, and send the requests in `resend` on it first."""
        self.connecting[gateway] += 1
        host, _, port = self.addresses[gateway].rpartition(":")
        connector = GatewayConnector(self, gateway, resend or [], time.monotonic())
        REACTOR.connectTCP(host, int(port), connector, timeout=CONNECT_TIMEOUT_S)

    def was_killed(self, gateway: int, since_s: float) -> bool:
        """Return whether a killed process of this gateway had not ended at `since_s` (monotonic clock)."""
        return any(kill.ended_s >= since_s for kill in self.kills_of(gateway))

    def reconnect_later(self, gateway: int) -> None:
        """Connect again after a short delay, unless there is a connection by then."""

        def reconnect() -> None:
            if not self.connections[gateway] and not self.connecting[gateway]:
                self.connect(gateway)

        self.call_later(RECONNECT_S, reconnect)

    def connection_to(self, gateway: int) -> ClientConnection:
        """Return the connection with the fewest pending requests, and open a further one if it is busy."""
        connections = self.connections[gateway]
        least_pending = min(connections, key=lambda connection: len(connection.pending))
        if (
            len(least_pending.pending) >= BUSY_PENDING_REQUESTS
            and len(connections) + self.connecting[gateway] < MAX_CONNECTIONS_PER_GATEWAY
        ):
            self.connect(gateway)
        return least_pending

    def send_due(self, clients: Clients, random: Random, due_s: float) -> None:
        """Send the requests scheduled for `due_s`, and schedule the next.

        The next time counts from `due_s` and not from now, so that a late event loop catches up at once
        instead of sending fewer requests.
        """
        bursts = clients.shape == "bursts"
        for _ in range(clients.burst_size if bursts else 1):
            self.send_request(clients, random)
        next_s = due_s + (clients.burst_every_s if bursts else random.expovariate(clients.rate))
        self.call_later(next_s - self.now_s(), lambda: self.send_due(clients, random, next_s))

    def send_request(self, clients: Clients, random: Random) -> None:
        """Send one request to a random gateway of the customer's subset that is up.

        The request is lost if none is.
        """
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
