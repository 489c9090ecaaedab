"""The discovery emulator on loopback.

The test guards against a watch that misses a changed lifecycle, survives an outage, or starts without the
current list after the outage.
"""

import json
import socket
import time

from emulators import CLIENTS, ONE_HOST, spawned

SCENARIO = (
    ONE_HOST
    + """
[[timeline]]
at_s = 1.0
what = "drain"
target = "east/0"
[[timeline]]
at_s = 2.0
what = "down"
target = "discovery"
for_s = 1.0
"""
    + CLIENTS
)


def watch(address):
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=1.0)
    connection.sendall(b"GET /api/targets?watch=1&after=0 HTTP/1.1\r\nHost: d\r\n\r\n")
    return connection


def received_lifecycles(connection, deadline_s):
    """Return the lifecycles written to the watch before `deadline_s` (monotonic); None if it is closed."""
    data = b""
    while time.monotonic() < deadline_s:
        try:
            chunk = connection.recv(65536)
        except TimeoutError:
            continue
        except ConnectionResetError:
            return None
        if not chunk:
            return None
        data += chunk
    return [json.loads(row)["instances"][0]["lifecycle"] for row in data.split(b"\n") if row.startswith(b"{")]


def test_a_watch_receives_the_list_and_a_drain_and_the_current_list_after_an_outage(tmp_path):
    hosts = tmp_path / "hosts.json"
    hosts.write_text(json.dumps({"east/0": "127.0.0.1:5000"}))
    with spawned("discovery", tmp_path, SCENARIO, str(hosts)) as announcement:
        address = announcement
        start_s = time.monotonic()
        connection = watch(address)
        assert received_lifecycles(connection, start_s + 1.6) == ["in_service", "terminating"]
        # Discovery is down, and the watch is closed.
        assert received_lifecycles(connection, start_s + 2.5) is None
        time.sleep(max(0.0, 3.4 - (time.monotonic() - start_s)))
        with watch(address) as second_watch:
            # Discovery is up again and writes the current list.
            assert received_lifecycles(second_watch, time.monotonic() + 0.5) == ["terminating"]
