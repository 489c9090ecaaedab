"""HTTP connections to a control process, without sockets."""

import pytest

from granitedock.configuration.control_connection import ControlConnection
from granitedock.configuration.control_server import ControlServer


class RecordingTransport:
    """A transport that records what is written and whether it was aborted."""

    def __init__(self):
        self.written, self.aborted = b"", False

    def write(self, data):
        self.written += data

    def abortConnection(self):
        self.aborted = True

    registerProducer = setTcpNoDelay = unregisterProducer = loseConnection = lambda self, *_: None


def test_a_connection_that_asks_for_nothing_whole_ends_and_a_watch_stays(writer):
    server = ControlServer(None, writer, lambda event, **figures: None)
    query = b"name=g1&role=gateway&cluster=lab&after=0&digest=%032x" % 0
    watch = b"POST /configuration/watch?%b HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n" % query
    connections = []
    for sent in (b"", b"GET /configuration/stat", watch):
        connection = ControlConnection(server)
        connection.makeConnection(RecordingTransport())
        if sent:
            connection.dataReceived(sent)
        connections.append(connection)
    writer.clock.now += 30_001.0
    for connection in connections:
        connection.heartbeat()
    assert [connection.transport.aborted for connection in connections] == [True, True, False]
    assert connections[2].transport.written.endswith(b"1\r\n\n\r\n") and writer.publisher.counts["idle"] == 2


UNNAMED = b"POST /configuration/watch?name=g HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
UNKNOWN = b"GET /configuration/none HTTP/1.1\r\nHost: c\r\n\r\n"


@pytest.mark.parametrize(
    ("line", "status"),
    [(UNKNOWN, b"HTTP/1.1 404"), (UNNAMED, b"HTTP/1.1 400"), (b"not http at all\r\n\r\n", b"")],
)
def test_a_request_that_is_none_costs_its_own_connection_and_is_counted(writer, line, status):
    events = []
    server = ControlServer(None, writer, lambda event, **figures: events.append(event))
    connection = ControlConnection(server)
    connection.makeConnection(RecordingTransport())
    connection.dataReceived(line)
    assert connection.ended and connection.transport.written.startswith(status)
    assert events == ["request rejected"] and writer.publisher.counts["refused"] == 1
