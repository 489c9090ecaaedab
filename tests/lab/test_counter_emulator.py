"""The counter emulator on loopback.

The test guards against wrong totals, replies that are sent during a partition or lost after it, and totals
that survive a kill.
"""

import socket
import time

from emulators import CLIENTS, ONE_HOST, spawned

from granitedock.service.counter_protocol import encode_call

SCENARIO = (
    ONE_HOST
    + """
[[timeline]]
at_s = 1.0
what = "partition"
target = "counter"
for_s = 1.0
[[timeline]]
at_s = 3.0
what = "kill"
target = "counter"
for_s = 1.0
"""
    + CLIENTS
)


def call(connection, data, wait_s=0.5):
    connection.settimeout(wait_s)
    connection.sendall(data)
    try:
        return connection.recv(1024)
    except TimeoutError:
        return b""


def test_the_counter_delays_replies_during_a_partition_and_loses_its_totals_when_killed(tmp_path):
    with spawned("counter", tmp_path, SCENARIO) as address:
        host, _, port = address.rpartition(":")
        # The emulator starts its clock before it prints its output, so this time is not before that start.
        start_s = time.monotonic()
        with socket.create_connection((host, int(port))) as connection:
            assert call(connection, encode_call(7, 2.0, 10_000)) == b"$1\r\n2\r\n"
            assert call(connection, encode_call(7, 1.5, 10_000)) == b"$3\r\n3.5\r\n"
            time.sleep(max(0.0, 1.3 - (time.monotonic() - start_s)))
            # The partition delays the reply.
            assert call(connection, encode_call(7, 1.0, 10_000), wait_s=0.3) == b""
            time.sleep(max(0.0, 2.2 - (time.monotonic() - start_s)))
            assert call(connection, b"", wait_s=0.5) == b"$3\r\n4.5\r\n"  # Sent after the partition.
        time.sleep(max(0.0, 4.4 - (time.monotonic() - start_s)))
        with socket.create_connection((host, int(port))) as connection:
            # The counter has restarted without totals.
            assert call(connection, encode_call(7, 1.0, 10_000)) == b"$1\r\n1\r\n"
