"""Terms of the standing test, final edition, over loopback: further attempts, whole lists, pieces."""

import json
import re

import pytest
from loopback import VALUE, WATCHED, chunk

from granitedock.service.lifecycle import LifecycleState

TIME_LEFT = re.compile(rb",d=(\d+)")


def first_host(gate):
    """The connection of the attempt that is out, and the number of its host."""
    for number in range(len(gate.hosts)):
        if (peer := gate.at_host(number)) is not None:
            return peer, number
    raise AssertionError("no attempt is out")


@pytest.mark.parametrize("waited_ms", [100.0, 700.0])
def test_a_retry_tells_its_host_at_most_what_is_left_to_the_client(live, waited_ms):
    gate = live(hosts=2)
    client = gate.client()
    client.send(gate.request(d=3000))
    host, number = first_host(gate)
    told = int(TIME_LEFT.search(host.read())[1])
    assert told <= 3000
    gate.t += waited_ms
    host.close()
    gate.turn()
    again = gate.at_host(1 - number)
    left = int(TIME_LEFT.search(again.read())[1])
    assert left <= 3000 - waited_ms
    assert left > 3000 - waited_ms - 150
    gate.answered(again, client)


def test_a_whole_list_drops_what_it_does_not_name_also_where_that_still_answers(live):
    gate = live(hosts=2)
    kept = gate.listing()
    kept["instances"] = [entry for entry in kept["instances"] if entry["instanceId"] == "h1"]
    gate.watch().send(chunk(json.dumps(kept).encode() + b"\n"))
    gate.turn()
    client = gate.client()
    for _ in range(6):
        client.send(gate.request())
        gate.turn()
        host, number = first_host(gate)
        assert number == 1
        host.read()
        gate.answered(host, client)
        host.close()
        gate.turn()
    assert gate.at_host(0) is None


def in_pieces(gate, send, data):
    """One byte at a time, each in a turn of the loop of its own."""
    for at in range(len(data)):
        send(data[at : at + 1])
        gate.turn(1)
    gate.turn()


def test_bytes_that_come_one_by_one_on_every_link_make_the_same_request(live):
    gate = live(listed=False, known=False)
    watch = gate.watch()
    in_pieces(gate, watch.send, WATCHED + chunk(json.dumps(gate.listing()).encode() + b"\n"))
    assert gate.state_machine.state is LifecycleState.SERVING
    client, gate.counts = gate.client(), False
    in_pieces(gate, client.send, gate.request())
    asked = [peer for peer in gate.counter_peers if b"TALLY" in peer.read()]
    assert len(asked) == 1
    in_pieces(gate, asked[0].send, b"$1\r\n1\r\n")
    host = gate.at_host()
    assert b"API.READ" in host.read()
    in_pieces(gate, host.send, VALUE)
    assert client.read() == VALUE
    assert (
        not gate.state_machine.context.counts["malformed"]
        and not gate.state_machine.context.counts["watch_spoilt"]
    )
