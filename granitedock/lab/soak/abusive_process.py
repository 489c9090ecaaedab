"""A process of abusive clients, so that they take no processor time from the clients that are measured.

`python -m granitedock.lab.soak.abusive_process HOST:PORT ABUSE CONNECTIONS SECONDS NUMBER SEED` sends one
kind of abuse on that many connections for that long, and prints one JSON object: what it sent and received,
and for each request whose client closed its connection the time of the close, in seconds of the monotonic
clock. Connections that the gateway ends are opened again.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field

import orjson

from granitedock.lab.soak.abuse import Abuse, AbuseSource, Manner, Piece, manner_of
from granitedock.service.socket_queue import NO_LINGER

READ_BYTES = 1 << 16
POLL_S = 0.01
RECONNECT_S = 0.02
ARGUMENTS = 6


@dataclass
class AbuseReport:
    """What the clients of one process did and received."""

    abuse: str
    connections: int = 0  # opened in all
    refused: int = 0  # connects that failed
    ended: int = 0  # connections that the gateway ended
    sent_bytes: int = 0
    received_bytes: int = 0
    closed_at_s: dict[str, float] = field(default_factory=dict)  # by request id, in hexadecimal


class AbusiveConnection:
    """One connection: the pieces that are left to send, and the unsent rest of the current one.

    `request_ids` are those of its requests that are sent, or being sent, if its client will close it.
    """

    def __init__(self, sock: socket.socket, pieces: Iterator[Piece]) -> None:
        self.sock = sock
        self.pieces = pieces
        self.request_ids: list[int] = []
        self.unsent = memoryview(b"")
        self.next_piece_at = 0.0
        self.finished = False  # All pieces are sent.

    def send(self, manner: Manner, now: float) -> int:
        """Send what the socket takes, one piece at most; returns the bytes sent. Raises OSError."""
        if not self.unsent and now >= self.next_piece_at:
            piece = next(self.pieces, None)
            self.finished = piece is None
            self.unsent = memoryview(piece.data if piece else b"")
            if piece is not None and manner.closes:
                self.request_ids += piece.request_ids
            self.next_piece_at = now + manner.interval_s
        if not self.unsent:
            return 0
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            return 0
        self.unsent = self.unsent[sent:]
        return sent


class AbusiveClients:
    """The clients of one process."""

    def __init__(self, address: str, abuse: Abuse, connections: int, number: int, seed: str) -> None:
        """`number` distinguishes the process from others of the run; the seed fixes what is sent."""
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.abuse = abuse
        self.manner = manner_of(abuse)
        self.wanted = connections
        self.source = AbuseSource(number, seed)
        self.selector = selectors.DefaultSelector()
        self.open: dict[socket.socket, AbusiveConnection] = {}
        self.report = AbuseReport(abuse.value)
        self.reconnect_at = 0.0

    def run(self, seconds: float) -> AbuseReport:
        """Run the clients for this long, then reset all connections and return the report."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            self.connect_missing(now)
            self.exchange(now)
        for sock in list(self.open):
            self.close(sock)
        return self.report

    def connect_missing(self, now: float) -> None:
        """Open connections up to the wanted number, not sooner than `RECONNECT_S` after a failure."""
        while len(self.open) < self.wanted and now >= self.reconnect_at:
            sock = socket.socket()
            sock.settimeout(1.0)
            try:
                sock.connect(self.address)
            except OSError:
                sock.close()
                self.report.refused += 1
                self.reconnect_at = now + RECONNECT_S
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.report.connections += 1
            self.open[sock] = AbusiveConnection(sock, self.source.pieces(self.abuse))
            if self.manner.reads:
                self.selector.register(sock, selectors.EVENT_READ)

    def exchange(self, now: float) -> None:
        """Let each connection send, and read what has arrived."""
        sent = 0
        for sock, connection in list(self.open.items()):
            try:
                sent += connection.send(self.manner, now)
            except OSError:
                self.end(sock)
                continue
            if connection.finished and self.manner.closes:
                self.depart(sock, connection.request_ids)
        self.report.sent_bytes += sent
        if not self.selector.get_map():
            time.sleep(0.0 if sent else POLL_S)
            return
        for key, _ in self.selector.select(0.0 if sent else POLL_S):
            self.read(key.fileobj)  # type: ignore[arg-type]  # Only sockets are registered.

    def read(self, sock: socket.socket) -> None:
        """Read and drop replies."""
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.report.received_bytes += len(data)
        if not data:
            self.end(sock)

    def depart(self, sock: socket.socket, request_ids: list[int]) -> None:
        """Close or reset a connection whose requests are sent, and record the time for each of them."""
        if self.manner.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.close(sock)
        closed_at_s = time.monotonic()
        for request_id in request_ids:
            self.report.closed_at_s[f"{request_id:x}"] = closed_at_s

    def end(self, sock: socket.socket) -> None:
        """Forget a connection that the gateway ended."""
        self.report.ended += 1
        self.close(sock)

    def close(self, sock: socket.socket) -> None:
        """Close a connection."""
        del self.open[sock]
        if self.manner.reads:
            self.selector.unregister(sock)
        sock.close()


def main(arguments: list[str]) -> int:
    """Run the process; the arguments are those of the module's description."""
    if len(arguments) != ARGUMENTS:
        print(__doc__, file=sys.stderr)
        return 2
    address, abuse, connections, seconds, number, seed = arguments
    clients = AbusiveClients(address, Abuse(abuse), int(connections), int(number), seed)
    report = clients.run(float(seconds))
    sys.stdout.buffer.write(orjson.dumps(asdict(report)) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
