"""What discovery has is told within 6 s, 4 s after SIGHUP, whatever the watch meets on the way."""

from itertools import permutations
from random import Random

import pytest
from fake_gateway import BORN, Wired

from granitedock.service.discovery_watch import update_bound_ms
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleState
from granitedock.service.limits import Limits

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SHED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HALF = b'{"generation": 7, "reset": true, "instances": [\n'
NEWS = HALF + b' {"instanceId": "new", "hostPort": "127.0.0.1:9", "lifecycle": "in_service"}]}\n'


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


class Discovery:
    """Meets each dial of the watch by the next of its `ways`, and speaks once they are used up."""

    def __init__(self, wired, ways):
        self.wired, self.ways, self.open, self.due, self.reached = wired, list(ways), [], [], 0.0

    def pass_ms(self, ms):
        wired, end = self.wired, self.wired.now + ms
        while wired.now < end:
            wired.pass_ms(10)
            for n in [n for n, dial in enumerate(wired.dials) if dial[2] is Input.WATCH_DISCONNECTED][::-1]:
                self.meet(n)
            for at, act in [row for row in self.due if row[0] <= wired.now]:
                self.due.remove((at, act))
                act()
            for line in self.open:
                if line.closed == "aborted":
                    line.closed = "told"
                    line.link.connectionLost()

    def meet(self, n):
        way = self.ways.pop(0) if self.ways else "speaks"
        if way == "refused":
            self.wired.fails(n)
            return
        if way == "never up":  # its time as the dialler has it
            dial = self.wired.dials.pop(n)
            late = self.wired.now + self.wired.limits.watch_connect_ms
            self.due.append((late, lambda: self.wired.handle_input(Input.WATCH_DISCONNECTED, dial[1])))
            return
        line = self.wired.comes_up(n)
        self.open.append(line)
        said = {"shed": SHED, "head only": HEAD, "half": HEAD + chunk(HALF), "speaks": HEAD + chunk(NEWS)}
        if way in said:
            line.link.dataReceived(said[way])
        if way == "half":  # its first bytes come late, and go on for ever
            for ms in range(50, 4000, 50):
                self.due.append((self.wired.now + ms, lambda: self.trickle(line)))

    def trickle(self, line):
        if not line.closed:
            line.link.dataReceived(chunk(b" "))

    def told_after(self, began):
        while "new" not in self.wired.state_machine.endpoints.by_name:
            assert self.wired.now - began < 9000, "never told"
            self.pass_ms(10)
        return self.wired.now - began


BAD = ["silent", "head only", "half", "refused", "never up", "shed"]


@pytest.mark.parametrize("ways", list(permutations(BAD, 2)), ids=" then ".join)
def test_an_endpoint_update_comes_in_time_after_a_silence_and_two_watches_that_fail(ways):
    for seed in range(3):
        wired = Wired()
        wired.counter_up()
        discovery = Discovery(wired, ways)
        discovery.open.append(wired.watch)
        wired.watch.link.dataReceived(HEAD + chunk(b"\n"))
        discovery.pass_ms(Random(seed).randrange(0, 1000, 10))
        wired.watch.link.dataReceived(chunk(b"\n"))  # and from here on it is silent, with news at once
        assert discovery.told_after(wired.now) <= 6000.0


@pytest.mark.parametrize("first", BAD)
def test_an_endpoint_update_comes_in_time_after_long_refusals_and_a_watch_that_fails(first):
    for seed in range(3):
        wired = Wired()
        wired.counter_up()
        discovery = Discovery(wired, ["refused"] * 99)
        discovery.open.append(wired.watch)
        wired.watch.link.connectionLost()
        discovery.pass_ms(15000 + Random(seed).randrange(0, 1500, 10))
        discovery.ways = [first]  # reached from now on
        assert discovery.told_after(wired.now) <= 6000.0


@pytest.mark.parametrize("ways", list(permutations(BAD, 2)), ids=" then ".join)
def test_an_endpoint_update_comes_within_four_seconds_of_a_file_that_moves_discovery(ways):
    wired = Wired()
    wired.counter_up()
    discovery = Discovery(wired, ways)
    discovery.open.append(wired.watch)
    wired.watch.link.dataReceived(HEAD + chunk(b"\n"))
    discovery.pass_ms(300)
    began = wired.now
    wired.handle_input(Input.ADDRESSES_CHANGED, False, True)
    assert discovery.told_after(began) <= 4000.0


@pytest.mark.parametrize("ways", [["refused"] * 2, ["silent"], ["half"], ["never up", "silent"]])
def test_a_start_gets_its_endpoints_in_time_too(ways):
    wired = Wired(hosts=0)
    discovery = Discovery(wired, ways)
    assert discovery.told_after(wired.now) <= 6000.0


@pytest.mark.parametrize("connect_ms", [None, 100, 250, 1000, 5000])
def test_the_bound_holds_by_the_limits_themselves_whatever_the_settings_say_of_hosts(connect_ms):
    born = BORN | {"Allowed": BORN["Allowed"] | {"ConnectTimeoutMs": connect_ms}}
    assert update_bound_ms(Limits.from_platform_file({"settings": born})) <= 6000.0


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("way", ["silent", "head only", "half", "refused", "never up", "shed"])
def test_a_start_is_over_in_ten_seconds_whatever_discovery_does_and_with_no_known_hosts(way, known):
    wired = Wired(hosts=2 if known else 0)
    front = wired.client()
    front.link.dataReceived(b"*1\r\n$4\r\nPING\r\n")
    discovery = Discovery(wired, [way] * 99)
    while not front.written:
        assert wired.now - 100000.0 < 10000.0
        discovery.pass_ms(50)
    assert front.took() == b"+PONG\r\n" and wired.state_machine.state is LifecycleState.SERVING
    assert wired.now - 100000.0 <= (1100.0 if known else wired.limits.ready_most_ms + 100.0)
