"""A new process at the address of an earlier one: no work for the one reaches the other.

The gateway's sockets are real; the endpoint list says which process has the address.
"""

import pytest
from endpoint_lists import Entry, endpoint_list, ready_hosts, send_entries
from fake_gateway import SETTINGS
from loopback import START_MS

CELL_LANES = [lane | {"WindowMs": 2000, "DedupScope": "cell"} for lane in SETTINGS["Lanes"]]
KEY = b",k=00000000000000b1"
ERR = b"-ERR failed\r\n"


OLD = Entry("h0")
NEW = Entry("new", START_MS)


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


@pytest.mark.parametrize("reverse", [False, True])
@pytest.mark.parametrize("news", ["whole list after a change", "whole list after an end", "change"])
def test_a_list_that_still_names_an_ended_host_does_not_make_it_new_again(make_gateway, news, reverse):
    """Guards against keyed requests that run in two cells, at one process under two names (review/8)."""
    gateway = make_gateway()
    if news == "whole list after an end":
        send_entries(gateway, OLD._replace(lifecycle="terminated"))
    send_entries(gateway, NEW)
    both = [NEW, OLD] if reverse else [OLD, NEW]
    for _ in range(2):
        send_entries(gateway, *both, reset=news != "change")
        assert ready_hosts(gateway) == {"new"}
        assert gateway.state_machine.endpoints.by_name.keys() == {"new"}
    send_entries(gateway, OLD._replace(lifecycle="terminated"))
    assert ready_hosts(gateway) == {"new"}


@pytest.mark.parametrize("reverse", [False, True])
@pytest.mark.parametrize("restored", [False, True], ids=["first list", "list of the platform file"])
def test_at_the_start_the_later_process_at_an_address_is_used(make_gateway, restored, reverse):
    """Guards against a start that uses an ended host, because of the order in which a list names both."""
    both = [NEW, OLD] if reverse else [OLD, NEW]
    if restored:
        gateway = make_gateway(known=lambda gateway: endpoint_list(gateway, *both, reset=True), listed=False)
        gateway.pass_ms(gateway.limits.ready_ms + 20)
    else:
        gateway = make_gateway(known=False, listed=False)
        send_entries(gateway, *both, reset=True)
    assert ready_hosts(gateway) == {"new"}


@pytest.mark.parametrize("listed_as_gone", [False, True])
def test_an_ended_host_stays_ended_after_its_successor_has_ended(make_gateway, listed_as_gone):
    """Guards against attempts at a host that discovery names although two processes have followed it."""
    gateway = make_gateway()
    send_entries(gateway, OLD, NEW, reset=True)
    if listed_as_gone:
        send_entries(gateway, NEW._replace(lifecycle="terminated"))
    send_entries(gateway, OLD, reset=True)
    assert ready_hosts(gateway) == set()
    send_entries(gateway, Entry("third", START_MS + 5))
    assert ready_hosts(gateway) == {"third"}
    send_entries(gateway, Entry("h0", START_MS + 9), reset=True)  # The first host has restarted.
    assert ready_hosts(gateway) == {"h0"}


def test_an_older_entry_does_not_make_a_cold_host_warm(make_gateway):
    """Guards against a cold host that is overloaded, as a list still names its process before the restart."""
    gateway = make_gateway()
    send_entries(gateway, ("h0", gateway.now_ms, "in_service"))
    send_entries(gateway, OLD, reset=True)
    endpoint = gateway.state_machine.endpoints.by_name["h0"]
    load_balancer = gateway.state_machine.policy.load_balancer
    assert load_balancer.slow_start.capacity_share(endpoint, gateway.now_ms) < 0.5


def test_replaced_hosts_leave_no_memory(make_gateway):
    """Guards against memory that grows with each process at an address, ended or still named."""
    gateway = make_gateway()
    for number in range(1, 100):
        send_entries(gateway, Entry(f"host-{number}", number))
    endpoints = gateway.state_machine.endpoints
    assert ready_hosts(gateway) == set(endpoints.by_name) == {"host-99"}
    send_entries(gateway, Entry("host-99", 99), reset=True)
    assert endpoints.ownership.listed.keys() == {"host-99"} and len(endpoints.ownership.last_ended) == 1
    assert len(gateway.state_machine.policy.load_balancer.tracked_hosts) == 1


IN_CELL_1 = NEW._replace(cell=1)
END_OF_OLD = OLD._replace(lifecycle="terminated")


@pytest.mark.parametrize(
    "news, repeated",
    [
        ([], True),
        ([[NEW]], True),
        ([[IN_CELL_1]], False),
        ([[Entry("h0", START_MS, cell=1)]], False),
        ([[END_OF_OLD], [IN_CELL_1]], False),
        ([[IN_CELL_1._replace(lifecycle="terminated")]], False),
        ([[IN_CELL_1], [Entry("third", START_MS + 5)]], False),
    ],
    ids=[
        "no later process",
        "in the same cell",
        "in another cell",
        "the host itself, in another cell",
        "in another cell, after the end of the first was told",
        "in another cell, and ended as well",
        "in another cell, and a third one",
    ],
)
def test_a_keyed_request_is_not_repeated_if_its_process_was_replaced_by_one_of_another_cell(
    make_gateway, news, repeated
):
    """Guards against a second run in another cell: the first attempt may have reached the later process.

    Another host is ready in each cell.
    """
    gateway = make_gateway(hosts=3, lanes=CELL_LANES, Safety=SETTINGS["Safety"] | {"ColdMs": 0})
    send_entries(gateway, OLD, reset=True)
    client = gateway.client()
    client.send(gateway.request("mark", more=KEY))
    host = gateway.accept_at_host()
    assert b"API." in host.read()
    send_entries(gateway, Entry("h1", cell=0, host=1), Entry("h2", cell=1, host=2))
    for entries in news:
        send_entries(gateway, *entries)
    host.close()  # The connection ends, without an answer.
    repeat = attempt_arrived(gateway, [0, 1])
    assert attempt_arrived(gateway, [2]) is None and bool(repeat) is repeated
    if repeated:
        gateway.answer_from_host(repeat, client)
    else:
        assert client.read() == ERR


def attempt_arrived(gateway, numbers):
    """Return the connection on which one of these hosts has received a request, or None."""
    peers = [peer for peer in map(gateway.accept_at_host, numbers) if peer and b"API." in peer.read()]
    assert len(peers) <= 1
    return peers[0] if peers else None


def test_a_keyed_request_is_not_repeated_after_the_replacement_of_a_host_of_an_earlier_attempt(make_gateway):
    """Guards against a later process that is left out, as its address has no attempt in flight by then."""
    gateway = make_gateway(hosts=3, lanes=CELL_LANES, Safety=SETTINGS["Safety"] | {"ColdMs": 0})
    send_entries(gateway, OLD, reset=True)
    client = gateway.client()
    client.send(gateway.request("mark", more=KEY))
    first = attempt_arrived(gateway, [0])
    send_entries(gateway, Entry("h1", host=1), Entry("h2", host=2), END_OF_OLD)
    first.close()
    second = attempt_arrived(gateway, [1, 2])
    send_entries(gateway)  # The endpoint of the first attempt is not needed any more.
    assert gateway.state_machine.endpoints.by_name.keys() == {"h1", "h2"}
    send_entries(gateway, IN_CELL_1)  # The first attempt may have reached it.
    second.close()
    assert attempt_arrived(gateway, [0, 1, 2]) is None and client.read() == ERR


def test_the_end_of_an_attempt_says_nothing_of_the_process_after_a_restart(make_gateway):
    """Guards against a healthy process that counts as failing for an attempt at the one before it."""
    gateway = make_gateway()
    client = gateway.client()
    client.send(gateway.request("once"))
    host = gateway.accept_at_host()
    assert b"API." in host.read()
    send_entries(gateway, Entry("h0", gateway.now_ms))
    host.close()
    gateway.run_loop()
    assert client.read() == ERR
    health = gateway.state_machine.endpoints.by_name["h0"].health
    assert health.failures == 0 and not health.in_flight
