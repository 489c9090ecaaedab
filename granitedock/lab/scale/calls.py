"""What calls to the counter cost: how many one core of the stand-in bears, and the bytes of a call."""

from __future__ import annotations

import selectors
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from granitedock.lab.scale.errors import ScaleError
from granitedock.lab.scale.probe import process_cpu_s
from granitedock.lab.scale.requests import process, worded
from granitedock.service.counter_protocol import encode_call

LIFE_MS = 12_000.0
IN_FLIGHT = 4  # calls on a connection that wait for answers
NAMES = 21_000


@dataclass(frozen=True, slots=True)
class CallCost:
    """Calls a second that the stand-in answered on so many connections, its processor time a call, and the
    bytes of a call both ways, without headers of the network."""

    connections: int
    calls_a_second: float
    counter_cpu_us: float
    call_bytes: int
    answer_bytes: int


def connected(address: str, count: int) -> list[socket.socket]:
    """So many connections to the counter. Raises ScaleError where the machine has no room for them."""
    host, _, port = address.rpartition(":")
    try:
        return [socket.create_connection((host, int(port)), timeout=10.0) for _ in range(count)]
    except OSError as fault:
        raise ScaleError(f"{count} connections to the counter: {fault}") from None


def pumped(lines: list[socket.socket], seconds: float) -> int:
    """Keep `IN_FLIGHT` calls out on each connection for so long; the answers that came."""
    selector = selectors.DefaultSelector()
    calls = [encode_call(17 * number, 1.0, LIFE_MS) for number in range(NAMES)]
    sent = answered = 0
    for line in lines:
        line.sendall(b"".join(calls[(sent + n) % NAMES] for n in range(IN_FLIGHT)))
        sent += IN_FLIGHT
        selector.register(line, selectors.EVENT_READ)
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        for key, _ in selector.select(0.1):
            came = key.fileobj.recv(65536).count(b"$")
            answered += came
            key.fileobj.sendall(b"".join(calls[(sent + n) % NAMES] for n in range(came)))
            sent += came
    selector.close()
    return answered


def measure(connections: int, seconds: float) -> CallCost:
    """One counter stand-in, called as fast as it answers."""
    with tempfile.TemporaryDirectory() as folder:
        scene = Path(folder) / "scenario.toml"
        scene.write_text(worded(1))
        with process("granitedock.lab.emulators.counter", str(scene)) as (counter, address):
            lines = connected(address, connections)
            try:
                began, cpu = time.monotonic(), process_cpu_s(counter.pid)
                answered = pumped(lines, seconds)
                lasted, cpu = time.monotonic() - began, process_cpu_s(counter.pid) - cpu
            finally:
                for line in lines:
                    line.close()
    call = len(encode_call(2**62, 1.0, LIFE_MS))
    return CallCost(
        connections, answered / lasted, 1e6 * cpu / max(1, answered), call, len(b"$6\r\n123456\r\n")
    )
