"""Emulated hosts on loopback.

The tests guard against hosts that ignore the faults of the scenario: a silent host that replies, or a killed
host that still listens or does not restart.
"""

import socket
import time

from emulators import CLIENTS, spawned
from twisted.internet.protocol import Protocol

from granitedock.lab.emulators.process import close_abruptly, listen_on_loopback
from granitedock.lab.reactor import REACTOR, on_reactor
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


def test_a_killed_emulator_restarts_although_another_process_uses_its_port_meanwhile():
    """Guards against an emulator that cannot listen again, as its port was assigned to somebody else."""
    listening, port = on_reactor(listen_on_loopback, REACTOR, 0, Protocol)
    on_reactor(close_abruptly, listening, [])
    with socket.create_server(("127.0.0.1", port)):  # The kernel may assign it to any listener.
        restarted, same_port = on_reactor(listen_on_loopback, REACTOR, port, Protocol)
        on_reactor(restarted.stopListening)
    assert same_port == port


def ask(address, wait_s=1.0):
    """Send a request on a new connection and return the reply.

    Returns b"" if no reply arrives in time, and None if there is no listener or the connection is reset.
    """
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=wait_s) as connection:
            connection.sendall(encode_command(b"API.READ", b"a1", b"b2", b"c=read,t=p,d=1000"))
            try:
                return connection.recv(1024)
            except TimeoutError:
                return b""
            except ConnectionResetError:
                return None
    except ConnectionRefusedError:
        return None


def test_hosts_follow_the_faults_of_the_scenario(tmp_path):
    with spawned("hosts", tmp_path, SCENARIO) as announcement:
        addresses = announcement
        # The emulator starts its clock before it prints its output, so this time is not before that start.
        start_s = time.monotonic()
        assert ask(addresses["east/0"]) == VALUE
        assert ask(addresses["east/1"], wait_s=0.3) == b""
        time.sleep(max(0.0, 2.3 - (time.monotonic() - start_s)))
        assert ask(addresses["east/0"]) is None  # Killed, so that there is no listener.
        time.sleep(max(0.0, 4.5 - (time.monotonic() - start_s)))
        assert ask(addresses["east/0"]) == VALUE  # Restarted.
