"""Terms of the standing test, final edition, over loopback: retries, full endpoint lists, single bytes.

They guard against a retry that promises its host more time than the client has left, against attempts to
hosts that a full list no longer contains, and against parsers that need a message in one read.
"""

import json
import re

import pytest
from loopback import VALUE, WATCH_RESPONSE_HEAD, chunk

from granitedock.service.lifecycle import LifecycleState

REMAINING_TIME_FIELD = re.compile(rb",d=(\d+)")


def first_host(gate):
    """Return the connection of the attempt in flight, and the number of its host."""
    for number in range(len(gate.hosts)):
        if (peer := gate.accept_at_host(number)) is not None:
            return peer, number
    raise AssertionError("no attempt is in flight at any host")


@pytest.mark.parametrize("elapsed_ms", [100.0, 700.0])
def test_a_retry_states_at_most_the_remaining_time_of_the_client_to_its_host(live, elapsed_ms):
    gate = live(hosts=2)
    client = gate.client()
    client.send(gate.request(d=3000))
    host, number = first_host(gate)
    first_remaining_ms = int(REMAINING_TIME_FIELD.search(host.read())[1])
    assert first_remaining_ms <= 3000
    gate.now_ms += elapsed_ms
    host.close()
    gate.run_loop()
    retry = gate.accept_at_host(1 - number)
    retry_remaining_ms = int(REMAINING_TIME_FIELD.search(retry.read())[1])
    assert retry_remaining_ms <= 3000 - elapsed_ms
    assert retry_remaining_ms > 3000 - elapsed_ms - 150
    gate.answer_from_host(retry, client)


def test_a_full_list_removes_unlisted_hosts_even_if_they_still_answer(live):
    gate = live(hosts=2)
    full_list = gate.endpoint_list()
    full_list["instances"] = [entry for entry in full_list["instances"] if entry["instanceId"] == "h1"]
    gate.newest_watch().send(chunk(json.dumps(full_list).encode() + b"\n"))
    gate.run_loop()
    client = gate.client()
    for _ in range(6):
        client.send(gate.request())
        gate.run_loop()
        host, number = first_host(gate)
        assert number == 1
        host.read()
        gate.answer_from_host(host, client)
        host.close()
        gate.run_loop()
    assert gate.accept_at_host(0) is None


def send_byte_by_byte(gate, send, data):
    """Send one byte at a time, each in its own iteration of the event loop."""
    for position in range(len(data)):
        send(data[position : position + 1])
        gate.run_loop(1)
    gate.run_loop()


def test_a_request_succeeds_if_every_link_receives_single_bytes(live):
    gate = live(listed=False, known=False)
    watch = gate.newest_watch()
    send_byte_by_byte(
        gate, watch.send, WATCH_RESPONSE_HEAD + chunk(json.dumps(gate.endpoint_list()).encode() + b"\n")
    )
    assert gate.state_machine.state is LifecycleState.SERVING
    client, gate.counter_answers = gate.client(), False
    send_byte_by_byte(gate, client.send, gate.request())
    called_peers = [peer for peer in gate.counter_peers if b"TALLY" in peer.read()]
    assert len(called_peers) == 1
    send_byte_by_byte(gate, called_peers[0].send, b"$1\r\n1\r\n")
    host = gate.accept_at_host()
    assert b"API.READ" in host.read()
    send_byte_by_byte(gate, host.send, VALUE)
    assert client.read() == VALUE
    assert (
        not gate.state_machine.context.counts["malformed"]
        and not gate.state_machine.context.counts["watch_spoilt"]
    )
