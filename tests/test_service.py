"""Stories of the gateway on sockets: real links on lines that lead nowhere, one for each failure met."""

from fakehost import Wired
from pytest import raises

from granitedock.service.counter import PING

NOTHING_NEW = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def counted(wired, lines, total=b"1"):
    """The counter answers the call that stands on one of its lines."""
    line = next(line for line in lines if b"TALLY" in line.written)
    line.took()
    line.link.dataReceived(b"$%d\r\n%b\r\n" % (len(total), total))


def begun(**more):
    """A gateway whose counter is up, with a client's connection."""
    wired = Wired(**more)
    lines = wired.counter_up()
    wired.watch.link.dataReceived(NOTHING_NEW)
    return wired, lines, wired.client()


def forwarded(wired, lines, client, **more):
    """A task is asked, counted and written to a host."""
    wired.ask(client, **more)
    counted(wired, lines)
    return wired.comes_up()


def test_a_task_goes_on_as_it_came_but_for_the_time_and_its_value_comes_back_as_the_host_made_it():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client, product="once", more=b",k=5c0f6e1a2b3d4c59", body=(b"\r\n*1",))
    words = host.took()
    assert b"$9\r\nAPI.WRITE\r\n$16\r\n00000000000000a1\r\n$16\r\n0123456789abcdef\r\n" in words
    assert b"c=once,t=p,d=1000,units=1,spread=1,first=0,k=5c0f6e1a2b3d4c59\r\n$4\r\n\r\n*1\r\n" in words
    for byte in VALUE:
        host.link.dataReceived(bytes([byte]))
    assert client.took() == VALUE
    wired.ask(client)
    counted(wired, lines)
    assert b"API.READ" in host.took() and not wired.dials  # the connection serves again


def test_a_line_of_the_decisions_reaches_the_diary():
    wired, lines, client = begun(hosts=1)
    host = None
    for _ in range(3):
        wired.ask(client, product="once")
        counted(wired, lines)
        host = host or wired.comes_up()
        host.link.dataReceived(b"-ERR failed\r\n")
    assert client.took() == 3 * b"-ERR failed\r\n"  # it may have run, so trying again is not offered
    assert ("decision", {"line": "host trusted to aside: 3 failures, 0 out"}) in wired.lines


def test_a_fault_in_a_decision_leaves_no_task_without_an_answer():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)

    def breaks(*_):
        raise TypeError("met in the review")

    wired.reducer.gateway.fleet.ended = breaks
    with raises(TypeError):
        host.link.dataReceived(b"-ERR failed\r\n")
    wired.pass_ms(3000)
    assert client.took() == b"-ERR failed\r\n"


def test_a_wake_that_is_over_wakes_nobody():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)
    host.link.dataReceived(VALUE)
    assert {wake.name for wake in wired.wakes} <= {None, "sweep", "mode"}


def test_a_stop_answers_all_that_was_taken_then_leaves():
    wired, lines, client = begun()
    idle = wired.client()
    host = forwarded(wired, lines, client)
    wired.tell("mode", "ending")
    wired.pass_ms(400)
    late = wired.client()  # new connections still come
    assert not idle.closed and late.link.record.state == "up"
    wired.pass_ms(200)
    assert wired.shut_at and idle.closed == late.closed == "closed" and not client.closed
    host.link.dataReceived(VALUE)
    assert client.took() == VALUE and client.closed == "closed" and wired.left is None
    for line in idle, late, client:
        line.link.connectionLost()
    assert wired.left


def test_a_stop_errs_what_it_cannot_wait_for():
    wired, lines, client = begun()
    forwarded(wired, lines, client, product="once", d=60000)
    wired.tell("mode", "ending")
    wired.pass_ms(3600)
    assert client.took() == b"-ERR failed\r\n" and wired.left


def test_ping_waits_until_the_gateway_can_serve():
    wired = Wired()
    wired.counter_up()
    client = wired.client()
    client.link.dataReceived(PING)
    assert client.took() == b""
    wired.watch.link.dataReceived(NOTHING_NEW)
    assert client.took() == b"+PONG\r\n"
    silent = Wired()
    client = silent.client()
    client.link.dataReceived(PING)
    silent.pass_ms(1000)  # discovery is down: the list as last had serves
    assert client.took() == b"+PONG\r\n"


def test_answers_leave_in_the_order_of_the_commands():
    wired, lines, client = begun()
    wired.ask(client)
    client.link.dataReceived(PING + PING)
    assert client.took() == b""
    counted(wired, lines)
    wired.comes_up().link.dataReceived(VALUE)
    assert client.took() == VALUE + 2 * b"+PONG\r\n"


def test_what_is_malformed_is_answered_once_and_closed():
    for data in (
        b"GET / HTTP/1.1\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*999\r\n",
        b"$-1\r\n",
        b"*+1\r\n",
    ):
        wired, _, client = begun()
        client.link.dataReceived(data)
        client.link.dataReceived(data)
        assert client.took().startswith(b"-ERR ") and client.closed == "closed", data
    wired, _, client = begun()
    wired.ask(client, product="unheard")
    assert client.took().startswith(b"-ERR ") and client.closed
    wired, _, client = begun()
    client.link.dataReceived(b"x" * 2000)
    assert client.took().startswith(b"-ERR ") and client.closed
    wired, _, client = begun()
    client.link.dataReceived(PING[:6])
    wired.pass_ms(11000)
    assert client.took().startswith(b"-ERR ") and client.closed
