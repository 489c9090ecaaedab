"""Emulated hosts on loopback: one answers, one is silent, one is killed and comes back, as scripted."""

import socket
import time

from emulators import CLIENTS, spawned

from granitedock.service.resp import encode_command

SCENARIO = (
    """
length_s = 30
[fleet]
[[fleet.zones]]
name = "east"
hosts = 2
service = { kind = "fixed", mean_ms = 5 }
[[timeline]]
at_s = 0
what = "silent"
target = "east/1"
[[timeline]]
at_s = 1.5
what = "kill"
target = "east/0"
for_s = 2
"""
    + CLIENTS
)
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def ask(address, wait_s=1.0):
    """One request on a new connection: the answer, b"" if none came in time, None if nobody listens."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=wait_s) as line:
            line.sendall(encode_command(b"API.READ", b"a1", b"b2", b"c=read,t=p,d=1000"))
            try:
                return line.recv(1024)
            except TimeoutError:
                return b""
            except ConnectionResetError:
                return None
    except ConnectionRefusedError:
        return None


def test_hosts_do_as_the_scenario_says(tmp_path):
    with spawned("hosts", tmp_path, SCENARIO) as said:
        addresses = said
        began = time.monotonic()  # its clock began a little before it spoke: ours is no sooner
        assert ask(addresses["east/0"]) == VALUE
        assert ask(addresses["east/1"], wait_s=0.3) == b""
        time.sleep(max(0.0, 2.3 - (time.monotonic() - began)))
        assert ask(addresses["east/0"]) is None  # killed: nobody listens
        time.sleep(max(0.0, 4.5 - (time.monotonic() - began)))
        assert ask(addresses["east/0"]) == VALUE  # back
