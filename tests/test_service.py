"""Stories of the gateway on sockets: real links on lines that lead nowhere, one for each failure met."""

from fakehost import Wired
from pytest import raises

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
    for act, *what in wired.reducer.fault():
        act(*what)
    assert client.took() == b"-ERR failed\r\n"


def test_a_wake_that_is_over_wakes_nobody():
    wired, lines, client = begun()
    host = forwarded(wired, lines, client)
    host.link.dataReceived(VALUE)
    assert {wake.name for wake in wired.wakes} <= {None, "sweep", "mode"}
