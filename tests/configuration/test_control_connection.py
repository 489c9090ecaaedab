"""HTTP connections to a control process, without sockets: idle connections and invalid requests."""

import pytest

from granitedock.configuration.control_connection import ControlConnection
from granitedock.configuration.control_server import ControlServer


class RecordingTransport:
    """Records the written bytes and whether the connection was aborted."""

    def __init__(self):
        self.written, self.aborted = b"", False

    def write(self, data):
        self.written += data

    def abortConnection(self):
        self.aborted = True

    registerProducer = setTcpNoDelay = unregisterProducer = loseConnection = lambda self, *_: None


def test_a_connection_without_a_complete_request_is_closed_when_idle_and_a_watch_is_not(writer):
    """Connections that never complete a request must not exhaust the process's file descriptors."""
    server = ControlServer(None, writer, lambda event, **figures: None)
    query = b"name=g1&role=gateway&cluster=lab&after=0&digest=%032x" % 0
    watch = b"POST /configuration/watch?%b HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n" % query
    connections = []
    for first_bytes in (b"", b"GET /configuration/stat", watch):
        connection = ControlConnection(server)
        connection.makeConnection(RecordingTransport())
        if first_bytes:
            connection.dataReceived(first_bytes)
        connections.append(connection)
    writer.clock.now += 30_001.0
    for connection in connections:
        connection.heartbeat()
    assert [connection.transport.aborted for connection in connections] == [True, True, False]
    assert connections[2].transport.written.endswith(b"1\r\n\n\r\n") and writer.publisher.counts["idle"] == 2


WATCH_WITHOUT_ROLE = b"POST /configuration/watch?name=g HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
UNKNOWN_PATH = b"GET /configuration/none HTTP/1.1\r\nHost: c\r\n\r\n"


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (UNKNOWN_PATH, b"HTTP/1.1 404"),
        (WATCH_WITHOUT_ROLE, b"HTTP/1.1 400"),
        (b"not http at all\r\n\r\n", b""),
    ],
)
def test_an_invalid_request_closes_only_its_own_connection_and_is_counted(writer, request_bytes, status):
    events = []
    server = ControlServer(None, writer, lambda event, **figures: events.append(event))
    connection = ControlConnection(server)
    connection.makeConnection(RecordingTransport())
    connection.dataReceived(request_bytes)
    assert connection.ended and connection.transport.written.startswith(status)
    assert events == ["request rejected"] and writer.publisher.counts["refused"] == 1
