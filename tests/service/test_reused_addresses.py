"""A new process at the address of an earlier one: no work for the one reaches the other.

The gateway's sockets are real; the endpoint list says which process has the address.
"""

import json

import pytest
from loopback import chunk


def send_entries(gateway, *entries, reset=False):
    """Send a list of these (name, start in ms, lifecycle), all at the address of the first host."""
    gateway.version += 1
    instances = [
        {
            "instanceId": name,
            "hostPort": gateway.hosts[0].address,
            "startedAtMs": started_at_ms,
            "lifecycle": lifecycle,
        }
        for name, started_at_ms, lifecycle in entries
    ]
    listing = {"generation": gateway.version, "reset": reset, "instances": instances}
    gateway.newest_watch().send(chunk(json.dumps(listing).encode() + b"\n"))
    gateway.run_loop()


def ready_hosts(gateway):
    return {host.name for host in gateway.state_machine.policy.load_balancer.ready}


@pytest.mark.parametrize("reset", [False, True])
def test_a_host_whose_address_belongs_to_a_later_process_gets_no_more_work(make_gateway, reset):
    """Guards against work for a host that is gone at the cold process that has its address now."""
    gateway = make_gateway()
    start = gateway.now_ms
    assert ready_hosts(gateway) == {"h0"}
    entries = [("new", start, "in_service")] + [("h0", 0, "in_service")] * reset
    send_entries(gateway, *entries, reset=reset)
    assert ready_hosts(gateway) == {"new"}
    assert ("host superseded", {"host": "h0", "by": "new"}) in gateway.log_events
    send_entries(gateway, ("h0", start + 5000, "in_service"))  # The first host restarts at its address.
    assert ready_hosts(gateway) == {"h0"}


@pytest.mark.parametrize("change", ["restart", "replacement"])
def test_an_attempt_whose_connection_comes_up_after_the_change_is_not_written(make_gateway, change):
    """Guards against a request that was meant for the process before and not counted for the new one."""
    gateway = make_gateway()
    gateway.delay_connects()
    client = gateway.client()
    client.send(gateway.request("once"))
    gateway.run_loop()
    name = "h0" if change == "restart" else "new"
    send_entries(gateway, (name, gateway.now_ms, "in_service"))
    gateway.release_connects()
    first = gateway.accept_at_host()
    assert first.read() == b"" and first.ended
    if gateway.delayed_connects:
        gateway.release_connects()
    second = gateway.accept_at_host()
    if second is None:  # The cold host has no room yet.
        assert client.read() == b"-BUSY\r\n"
    else:
        assert second.read().count(b"API.") == 1


def test_a_connection_to_the_process_before_is_not_reused_after_its_answer(make_gateway):
    """Guards against a second request on a connection that leads to a process that has been replaced."""
    gateway = make_gateway()
    client = gateway.client()
    client.send(gateway.request())
    host = gateway.accept_at_host()
    host.read()
    send_entries(gateway, ("h0", gateway.now_ms, "in_service"))
    gateway.answer_from_host(host, client)
    gateway.pass_ms(20)
    assert host.read() == b"" and host.ended
