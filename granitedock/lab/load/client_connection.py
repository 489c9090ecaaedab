"""The load generator's connections to gateways, and the encoding of client requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from granitedock.lab.gateway_settings import REQUEST_CLASSES
from granitedock.lab.load.observations import RequestOutcome
from granitedock.lab.load.request_record import RequestRecord
from granitedock.lab.resp_connection import RespConnection
from granitedock.lab.scenario import Clients
from granitedock.policy.types import Idempotency
from granitedock.service.resp import ErrorReply, encode_command

READ_CLASSES = {entry.name for entry in REQUEST_CLASSES if entry.idempotency == Idempotency.IDEMPOTENT}
KEYED_CLASSES = {entry.name for entry in REQUEST_CLASSES if entry.idempotency == Idempotency.KEYED}
REJECTION_PREFIX = b"BUSY"  # first word of the error line of a rejected request


@dataclass(slots=True)
class PendingRequest:
    """A request that waits on a connection; `resent` is set if it was sent on an earlier connection."""

    record: RequestRecord
    clients: Clients
    resent: bool = False


class Load(Protocol):
    """The part of the load generator that a connection uses."""

    connections: list[list[ClientConnection]]  # by gateway
    connecting: list[int]  # connections being opened, by gateway
    unexpected_answers: int
    running: bool

    def now_s(self) -> float:
        """Return the seconds since the start of the load."""

    def connect(self, gateway: int, resend: list[PendingRequest] | None = None) -> None:
        """Open a further connection to a gateway, and send the requests in `resend` on it first."""

    def was_killed(self, gateway: int, since_s: float) -> bool:
        """Return whether a killed process of this gateway had not ended at `since_s` (monotonic clock)."""

    def reconnect_later(self, gateway: int) -> None:
        """Connect again after a short delay, unless there is a connection by then."""


class ClientConnection(RespConnection):
    """One connection to a gateway, on which answers arrive in the order of the requests.

    `began_s` is when the generator began to connect, on the monotonic clock.
    """

    def __init__(self, load: Load, gateway: int, resend: list[PendingRequest], began_s: float) -> None:
        super().__init__()
        self.load = load
        self.gateway = gateway
        self.resend = resend
        self.began_s = began_s
        self.pending: deque[PendingRequest] = deque()

    def connectionMade(self) -> None:
        """Register the connection, and send the requests that another connection left unanswered."""
        self.transport.setTcpNoDelay(True)
        self.load.connections[self.gateway].append(self)
        self.load.connecting[self.gateway] -= 1
        for pending in self.resend:
            self.send_request(pending)

    def send_request(self, pending: PendingRequest) -> None:
        """Send a request with the time that remains until its deadline."""
        self.pending.append(pending)
        record = pending.record
        left_ms = record.deadline_ms - (self.load.now_s() - record.sent_at_s) * 1000.0
        self.send(encode_request(record, pending.clients, left_ms))

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Record the answer to the oldest pending request.

        An answer without a pending request violates rule 1, so it is counted rather than ignored.
        """
        if not self.pending:
            self.load.unexpected_answers += 1
            return
        record = self.pending.popleft().record
        record.latency_ms = (self.load.now_s() - record.sent_at_s) * 1000.0
        if type(value) is ErrorReply:
            rejected = value.text.startswith(REJECTION_PREFIX)
            record.outcome = RequestOutcome.REJECTED if rejected else RequestOutcome.FAILED
        else:
            record.outcome = RequestOutcome.DONE

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Send the unanswered requests again at once, one time each, on a new connection.

        Clients do the same, as a request may have been in flight while the gateway closed an idle connection.
        The kernel of a killed process may close its listening socket last: until then it accepts the new
        connection and resets it, as it would have refused it a moment later.
        """
        connections = self.load.connections[self.gateway]
        connections.remove(self)
        resend: list[PendingRequest] = []
        for pending in self.pending:
            if not self.load.running:
                continue  # the load closed the connection after the deadline, so the outcome stays OPEN
            record = pending.record
            if pending.resent or (self.load.now_s() - record.sent_at_s) * 1000.0 > record.deadline_ms:
                record.outcome = RequestOutcome.LOST
                record.gateway_ended = pending.resent and self.load.was_killed(self.gateway, self.began_s)
            else:
                resend.append(PendingRequest(record, pending.clients, resent=True))
        if resend:
            self.load.connect(self.gateway, resend)
        elif not connections:
            self.load.reconnect_later(self.gateway)


class GatewayConnector(ClientFactory):
    """Opens a connection to a gateway."""

    noisy = False

    def __init__(self, load: Load, gateway: int, resend: list[PendingRequest], began_s: float) -> None:
        self.load = load
        self.gateway = gateway
        self.resend = resend
        self.began_s = began_s

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:  # noqa: ARG002  Twisted's signature
        """Return the protocol of a connection that the gateway accepted."""
        return ClientConnection(self.load, self.gateway, self.resend, self.began_s)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """Mark the requests to be sent again as lost, as the gateway cannot be reached."""
        for pending in self.resend:
            pending.record.outcome = RequestOutcome.LOST
            pending.record.gateway_ended = True
        self.load.connecting[self.gateway] -= 1
        if not self.load.connections[self.gateway]:
            self.load.reconnect_later(self.gateway)


def encode_request(record: RequestRecord, clients: Clients, left_ms: float) -> bytes:
    """Return a request as a client encodes it; `left_ms` is the time until its deadline."""
    keyed = clients.request_class in KEYED_CLASSES
    terms = b"c=%b,t=%b,d=%d,units=%g,spread=%d,first=%d%b" % (
        clients.request_class.encode(),
        clients.plan.encode(),
        max(1.0, left_ms),
        clients.units,
        clients.subset_size,
        clients.subset_start,
        b",k=%016x" % record.request_id if keyed else b"",
    )
    command = b"API.READ" if clients.request_class in READ_CLASSES else b"API.WRITE"
    return encode_command(command, b"%016x" % clients.customer, b"%016x" % record.request_id, terms)
