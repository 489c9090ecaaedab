"""The counter emulator on loopback: totals over their lives, answers held in a partition, a kill forgets."""

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


def call(line, data, wait_s=0.5):
    line.settimeout(wait_s)
    line.sendall(data)
    try:
        return line.recv(1024)
    except TimeoutError:
        return b""


def test_the_counter_counts_holds_answers_in_a_partition_and_forgets_when_killed(tmp_path):
    with spawned("counter", tmp_path, SCENARIO) as said:
        host, _, port = said.rpartition(":")
        began = time.monotonic()  # its clock began a little before it spoke: ours is no sooner
        with socket.create_connection((host, int(port))) as line:
            assert call(line, encode_call(7, 2.0, 10_000)) == b"$1\r\n2\r\n"
            assert call(line, encode_call(7, 1.5, 10_000)) == b"$3\r\n3.5\r\n"
            time.sleep(max(0.0, 1.3 - (time.monotonic() - began)))
            assert call(line, encode_call(7, 1.0, 10_000), wait_s=0.3) == b""  # held in the partition
            time.sleep(max(0.0, 2.2 - (time.monotonic() - began)))
            assert call(line, b"", wait_s=0.5) == b"$3\r\n4.5\r\n"  # and written once it is over
        time.sleep(max(0.0, 4.4 - (time.monotonic() - began)))
        with socket.create_connection((host, int(port))) as line:
            assert call(line, encode_call(7, 1.0, 10_000)) == b"$1\r\n1\r\n"  # back, and empty
