"""The discovery emulator on loopback: the list, a drain written to the watch, and an outage."""

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
    line = socket.create_connection((host, int(port)), timeout=1.0)
    line.sendall(b"GET /api/targets?watch=1&after=0 HTTP/1.1\r\nHost: d\r\n\r\n")
    return line


def heard(line, until):
    """The lifecycles written to the watch until `until` (monotonic seconds); None if it was cut."""
    data = b""
    while time.monotonic() < until:
        try:
            more = line.recv(65536)
        except TimeoutError:
            continue
        except ConnectionResetError:
            return None
        if not more:
            return None
        data += more
    return [json.loads(row)["instances"][0]["lifecycle"] for row in data.split(b"\n") if row.startswith(b"{")]


def test_discovery_writes_the_list_and_a_drain_and_goes_down_and_back(tmp_path):
    hosts = tmp_path / "hosts.json"
    hosts.write_text(json.dumps({"east/0": "127.0.0.1:5000"}))
    with spawned("discovery", tmp_path, SCENARIO, str(hosts)) as said:
        address = said
        began = time.monotonic()
        line = watch(address)
        assert heard(line, began + 1.6) == ["in_service", "terminating"]
        assert heard(line, began + 2.5) is None  # down: the watch is cut
        time.sleep(max(0.0, 3.4 - (time.monotonic() - began)))
        with watch(address) as again:
            assert heard(again, time.monotonic() + 0.5) == ["terminating"]  # back, with the list as it stands
