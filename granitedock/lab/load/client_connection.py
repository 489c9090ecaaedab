"""The load generator's connections to gateways, and how a client words its requests."""

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

READ_CLASSES = {one.name for one in REQUEST_CLASSES if one.idempotency == Idempotency.IDEMPOTENT}
KEYED_CLASSES = {one.name for one in REQUEST_CLASSES if one.idempotency == Idempotency.KEYED}
REJECTION = b"BUSY"  # how the error line of a rejected request begins


@dataclass(slots=True)
class PendingRequest:
    """A request on a connection, and whether it was sent on one before."""

    record: RequestRecord
    clients: Clients
    resent: bool = False


class Load(Protocol):
    """What a connection needs of the load generator."""

    connections: list[list[ClientConnection]]  # by gateway
    connecting: list[int]  # connections on their way, by gateway
    unexpected_answers: int
    running: bool

    def now_s(self) -> float:
        """Seconds since the load began."""

    def connect(self, gateway: int, resend: list[PendingRequest] | None = None) -> None:
        """Open a further connection to a gateway, on which these are sent first."""

    def reconnect_later(self, gateway: int) -> None:
        """Connect again after a short while, if there is no connection by then."""


class ClientConnection(RespConnection):
    """One connection to a gateway; answers come in the order of the requests."""

    def __init__(self, load: Load, gateway: int, resend: list[PendingRequest]) -> None:
        super().__init__()
        self.load = load
        self.gateway = gateway
        self.resend = resend
        self.pending: deque[PendingRequest] = deque()

    def connectionMade(self) -> None:
        """It is open: what another connection left unanswered goes first."""
        self.transport.setTcpNoDelay(True)
        self.load.connections[self.gateway].append(self)
        self.load.connecting[self.gateway] -= 1
        for pending in self.resend:
            self.send_request(pending)

    def send_request(self, pending: PendingRequest) -> None:
        """Send a request, with the time that is left to it."""
        self.pending.append(pending)
        record = pending.record
        left_ms = record.deadline_ms - (self.load.now_s() - record.sent_at_s) * 1000.0
        self.send(encode_request(record, pending.clients, left_ms))

    def value_received(self, value: Any, parts: list[bytes]) -> None:  # noqa: ARG002  the receiver's signature
        """Note the answer to the first request that waits. One to none breaks rule 1, and is not hidden."""
        if not self.pending:
            self.load.unexpected_answers += 1
            return
        record = self.pending.popleft().record
        record.latency_ms = (self.load.now_s() - record.sent_at_s) * 1000.0
        if type(value) is ErrorReply:
            rejected = value.text.startswith(REJECTION)
            record.outcome = RequestOutcome.REJECTED if rejected else RequestOutcome.FAILED
        else:
            record.outcome = RequestOutcome.DONE

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """What it had not answered is sent once more at once, on a new connection, as clients do: it may have
        crossed the gateway's closing of one at rest."""
        connections = self.load.connections[self.gateway]
        connections.remove(self)
        resend: list[PendingRequest] = []
        for pending in self.pending:
            if not self.load.running:
                continue  # the load ended it, after its deadline: it stays open
            record = pending.record
            if pending.resent or (self.load.now_s() - record.sent_at_s) * 1000.0 > record.deadline_ms:
                record.outcome = RequestOutcome.LOST
            else:
                resend.append(PendingRequest(record, pending.clients, resent=True))
        if resend:
            self.load.connect(self.gateway, resend)
        elif not connections:
            self.load.reconnect_later(self.gateway)


class GatewayConnector(ClientFactory):
    """Connects to a gateway."""

    noisy = False

    def __init__(self, load: Load, gateway: int, resend: list[PendingRequest]) -> None:
        self.load = load
        self.gateway = gateway
        self.resend = resend

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:  # noqa: ARG002  Twisted's signature
        """The gateway took the connection."""
        return ClientConnection(self.load, self.gateway, self.resend)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """The gateway cannot be reached: what was to be sent again is lost."""
        for pending in self.resend:
            pending.record.outcome = RequestOutcome.LOST
            pending.record.gateway_ended = True
        self.load.connecting[self.gateway] -= 1
        if not self.load.connections[self.gateway]:
            self.load.reconnect_later(self.gateway)


def encode_request(record: RequestRecord, clients: Clients, left_ms: float) -> bytes:
    """A request as a client words it; `left_ms` is the time that is left to its deadline."""
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
    word = b"API.READ" if clients.request_class in READ_CLASSES else b"API.WRITE"
    return encode_command(word, b"%016x" % clients.customer, b"%016x" % record.request_id, terms)
