"""HTTP connections to a control process, without sockets."""

import pytest

from granitedock.configuration.control_connection import ControlConnection
from granitedock.configuration.control_server import ControlServer


class FarEnd:
    """A transport that notes what becomes of it."""

    def __init__(self):
        self.written, self.aborted = b"", False

    def write(self, data):
        self.written += data

    def abortConnection(self):
        self.aborted = True

    registerProducer = setTcpNoDelay = unregisterProducer = loseConnection = lambda self, *_: None


def test_a_connection_that_asks_for_nothing_whole_ends_and_a_watch_stays(writer):
    service = ControlServer(None, writer, lambda event, **figures: None)
    query = b"name=g1&role=gateway&cluster=lab&after=0&digest=%032x" % 0
    asked = b"POST /configuration/watch?%b HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n" % query
    links = []
    for said in (b"", b"GET /configuration/stat", asked):
        link = ControlConnection(service)
        link.makeConnection(FarEnd())
        if said:
            link.dataReceived(said)
        links.append(link)
    writer.clock.now += 30_001.0
    for link in links:
        link.heartbeat()
    assert [link.transport.aborted for link in links] == [True, True, False]
    assert links[2].transport.written.endswith(b"1\r\n\n\r\n") and writer.publisher.counts["idle"] == 2


UNNAMED = b"POST /configuration/watch?name=g HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"


UNKNOWN = b"GET /configuration/none HTTP/1.1\r\nHost: c\r\n\r\n"


@pytest.mark.parametrize(
    ("line", "status"),
    [(UNKNOWN, b"HTTP/1.1 404"), (UNNAMED, b"HTTP/1.1 400"), (b"not http at all\r\n\r\n", b"")],
)
def test_a_request_that_is_none_costs_its_own_connection_and_is_counted(writer, line, status):
    told = []
    service = ControlServer(None, writer, lambda event, **figures: told.append(event))
    link = ControlConnection(service)
    link.makeConnection(FarEnd())
    link.dataReceived(line)
    assert link.ended and link.transport.written.startswith(status)
    assert told == ["request refused"] and writer.publisher.counts["refused"] == 1
