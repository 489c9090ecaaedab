"""Terms of the standing test, final edition, over loopback: retries, full endpoint lists, single bytes.

The tests guard against a retry that states to its host more time than the client has left, against attempts
to hosts that a full list no longer contains, and against parsers that need a message in one read.
"""

import json
import re

import pytest
from loopback import VALUE, WATCH_RESPONSE_HEAD, chunk

from granitedock.service.lifecycle import LifecycleState

REMAINING_TIME_FIELD = re.compile(rb",d=(\d+)")


def first_host(gateway):
    """Return the connection of the attempt in flight, and the number of its host."""
    for number in range(len(gateway.hosts)):
        if (peer := gateway.accept_at_host(number)) is not None:
            return peer, number
    raise AssertionError("no attempt is in flight at any host")


@pytest.mark.parametrize("elapsed_ms", [100.0, 700.0])
def test_a_retry_states_at_most_the_remaining_time_of_the_client_to_its_host(make_gateway, elapsed_ms):
    gateway = make_gateway(hosts=2)
    client = gateway.client()
    client.send(gateway.request(d=3000))
    host, number = first_host(gateway)
    first_remaining_ms = int(REMAINING_TIME_FIELD.search(host.read())[1])
    assert first_remaining_ms <= 3000
    gateway.now_ms += elapsed_ms
    host.close()
    gateway.run_loop()
    retry = gateway.accept_at_host(1 - number)
    retry_remaining_ms = int(REMAINING_TIME_FIELD.search(retry.read())[1])
    assert retry_remaining_ms <= 3000 - elapsed_ms
    assert retry_remaining_ms > 3000 - elapsed_ms - 150
    gateway.answer_from_host(retry, client)


def test_a_full_list_removes_unlisted_hosts_even_if_they_still_answer(make_gateway):
    gateway = make_gateway(hosts=2)
    full_list = gateway.endpoint_list()
    full_list["instances"] = [entry for entry in full_list["instances"] if entry["instanceId"] == "h1"]
    gateway.newest_watch().send(chunk(json.dumps(full_list).encode() + b"\n"))
    gateway.run_loop()
    client = gateway.client()
    for _ in range(6):
        client.send(gateway.request())
        gateway.run_loop()
        host, number = first_host(gateway)
        assert number == 1
        host.read()
        gateway.answer_from_host(host, client)
        host.close()
        gateway.run_loop()
    assert gateway.accept_at_host(0) is None


def send_byte_by_byte(gateway, send, data):
    """Send one byte at a time, each in its own iteration of the event loop."""
    for position in range(len(data)):
        send(data[position : position + 1])
        gateway.run_loop(1)
    gateway.run_loop()


def test_a_request_succeeds_if_every_link_receives_single_bytes(make_gateway):
    gateway = make_gateway(listed=False, known=False)
    watch = gateway.newest_watch()
    send_byte_by_byte(
        gateway, watch.send, WATCH_RESPONSE_HEAD + chunk(json.dumps(gateway.endpoint_list()).encode() + b"\n")
    )
    assert gateway.state_machine.state is LifecycleState.SERVING
    client, gateway.counter_answers = gateway.client(), False
    send_byte_by_byte(gateway, client.send, gateway.request())
    called_peers = [peer for peer in gateway.counter_peers if b"TALLY" in peer.read()]
    assert len(called_peers) == 1
    send_byte_by_byte(gateway, called_peers[0].send, b"$1\r\n1\r\n")
    host = gateway.accept_at_host()
    assert b"API.READ" in host.read()
    send_byte_by_byte(gateway, host.send, VALUE)
    assert client.read() == VALUE
    assert (
        not gateway.state_machine.context.counts["malformed"]
        and not gateway.state_machine.context.counts["watch_spoilt"]
    )
