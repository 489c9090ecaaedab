"""An endpoint update that discovery has arrives within 6 s, or within 4 s of a SIGHUP.

Guards against watches that fail one after the other, by silence, an incomplete list, a refusal or a connect
timeout, and whose timeouts and backoffs add up to a longer delay.
"""

from itertools import permutations
from random import Random

import pytest
from fake_gateway import SETTINGS, InMemoryGateway

from granitedock.service.discovery_watch import update_bound_ms
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleState
from granitedock.service.limits import Limits

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
INCOMPLETE_LIST = b'{"generation": 7, "reset": true, "instances": [\n'
COMPLETE_LIST = (
    INCOMPLETE_LIST + b' {"instanceId": "new", "hostPort": "127.0.0.1:9", "lifecycle": "in_service"}]}\n'
)


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


class Discovery:
    """Answers each connection attempt of the watch by the next of its `behaviours`, and then with a list."""

    def __init__(self, gateway, behaviours):
        self.gateway, self.behaviours, self.transports, self.calls, self.reached = (
            gateway,
            list(behaviours),
            [],
            [],
            0.0,
        )

    def pass_ms(self, ms):
        gateway, end = self.gateway, self.gateway.now + ms
        while gateway.now < end:
            gateway.pass_ms(10)
            for index in [
                index
                for index, pending in enumerate(gateway.pending_connects)
                if pending[2] is Input.WATCH_DISCONNECTED
            ][::-1]:
                self.answer_connect(index)
            for at, call in [row for row in self.calls if row[0] <= gateway.now]:
                self.calls.remove((at, call))
                call()
            for transport in self.transports:
                if transport.closed == "aborted":
                    transport.closed = "reported"
                    transport.protocol.connectionLost()

    def answer_connect(self, index):
        behaviour = self.behaviours.pop(0) if self.behaviours else "complete list"
        if behaviour == "refused":
            self.gateway.connect_fails(index)
            return
        if behaviour == "connect timeout":  # The connector reports the failure after its timeout.
            pending = self.gateway.pending_connects.pop(index)
            fails_at = self.gateway.now + self.gateway.limits.watch_connect_ms
            self.calls.append(
                (fails_at, lambda: self.gateway.handle_input(Input.WATCH_DISCONNECTED, pending[1]))
            )
            return
        transport = self.gateway.connect_succeeds(index)
        self.transports.append(transport)
        responses = {
            "unavailable": UNAVAILABLE,
            "head only": RESPONSE_HEAD,
            "incomplete list": RESPONSE_HEAD + chunk(INCOMPLETE_LIST),
            "complete list": RESPONSE_HEAD + chunk(COMPLETE_LIST),
        }
        if behaviour in responses:
            transport.protocol.dataReceived(responses[behaviour])
        if behaviour == "incomplete list":  # Further bytes of the list arrive every 50 ms without an end.
            for ms in range(50, 4000, 50):
                self.calls.append((self.gateway.now + ms, lambda: self.send_space(transport)))

    def send_space(self, transport):
        if not transport.closed:
            transport.protocol.dataReceived(chunk(b" "))

    def ms_until_list(self, since):
        while "new" not in self.gateway.state_machine.endpoints.by_name:
            assert self.gateway.now - since < 9000, "the list never arrived"
            self.pass_ms(10)
        return self.gateway.now - since


FAILURES = ["silent", "head only", "incomplete list", "refused", "connect timeout", "unavailable"]


@pytest.mark.parametrize("behaviours", list(permutations(FAILURES, 2)), ids=" then ".join)
def test_an_update_arrives_within_six_seconds_after_a_silent_watch_and_two_failed_watches(behaviours):
    for seed in range(3):
        gateway = InMemoryGateway()
        gateway.open_initial_connections()
        discovery = Discovery(gateway, behaviours)
        discovery.transports.append(gateway.watch)
        gateway.watch.protocol.dataReceived(RESPONSE_HEAD + chunk(b"\n"))
        discovery.pass_ms(Random(seed).randrange(0, 1000, 10))
        gateway.watch.protocol.dataReceived(chunk(b"\n"))
        # From here on discovery has an update and this watch is silent.
        assert discovery.ms_until_list(gateway.now) <= 6000.0


@pytest.mark.parametrize("first", FAILURES)
def test_an_update_arrives_within_six_seconds_after_the_longest_backoff_and_a_failed_watch(first):
    for seed in range(3):
        gateway = InMemoryGateway()
        gateway.open_initial_connections()
        discovery = Discovery(gateway, ["refused"] * 99)
        discovery.transports.append(gateway.watch)
        gateway.watch.protocol.connectionLost()
        discovery.pass_ms(15000 + Random(seed).randrange(0, 1500, 10))
        discovery.behaviours = [first]  # From now on discovery is reachable.
        assert discovery.ms_until_list(gateway.now) <= 6000.0


@pytest.mark.parametrize("behaviours", list(permutations(FAILURES, 2)), ids=" then ".join)
def test_an_update_arrives_within_four_seconds_of_a_new_discovery_address(behaviours):
    gateway = InMemoryGateway()
    gateway.open_initial_connections()
    discovery = Discovery(gateway, behaviours)
    discovery.transports.append(gateway.watch)
    gateway.watch.protocol.dataReceived(RESPONSE_HEAD + chunk(b"\n"))
    discovery.pass_ms(300)
    changed_at = gateway.now
    gateway.handle_input(Input.ADDRESSES_CHANGED, False, True)
    assert discovery.ms_until_list(changed_at) <= 4000.0


@pytest.mark.parametrize(
    "behaviours", [["refused"] * 2, ["silent"], ["incomplete list"], ["connect timeout", "silent"]]
)
def test_a_start_without_a_list_receives_one_within_six_seconds(behaviours):
    gateway = InMemoryGateway(hosts=0)
    discovery = Discovery(gateway, behaviours)
    assert discovery.ms_until_list(gateway.now) <= 6000.0


@pytest.mark.parametrize("connect_ms", [None, 100, 250, 1000, 5000])
def test_the_bound_by_the_limits_is_at_most_six_seconds_with_any_connect_timeout_of_hosts(connect_ms):
    settings = SETTINGS | {"Allowed": SETTINGS["Allowed"] | {"ConnectTimeoutMs": connect_ms}}
    assert update_bound_ms(Limits.from_platform_file({"settings": settings})) <= 6000.0


@pytest.mark.parametrize("has_initial_list", [True, False])
@pytest.mark.parametrize(
    "behaviour", ["silent", "head only", "incomplete list", "refused", "connect timeout", "unavailable"]
)
def test_a_start_ends_within_ten_seconds_whatever_discovery_does_with_or_without_a_list(
    behaviour, has_initial_list
):
    gateway = InMemoryGateway(hosts=2 if has_initial_list else 0)
    client = gateway.client()
    client.protocol.dataReceived(b"*1\r\n$4\r\nPING\r\n")
    discovery = Discovery(gateway, [behaviour] * 99)
    while not client.written:
        assert gateway.now - 100000.0 < 10000.0
        discovery.pass_ms(50)
    assert client.take_written() == b"+PONG\r\n" and gateway.state_machine.state is LifecycleState.SERVING
    assert gateway.now - 100000.0 <= (1100.0 if has_initial_list else gateway.limits.ready_most_ms + 100.0)
