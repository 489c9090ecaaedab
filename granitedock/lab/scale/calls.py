"""Measure the cost of calls to the counter: the rate that one core of the emulator serves, and bytes."""

from __future__ import annotations

import selectors
import socket
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from itertools import cycle, islice
from pathlib import Path

from granitedock.lab.scale.child_processes import emulator_process
from granitedock.lab.scale.errors import MachineLimitError
from granitedock.lab.scale.gateway_process import COUNTER_EMULATOR
from granitedock.lab.scale.load_scenarios import emulator_scenario_text
from granitedock.lab.scale.probe import process_cpu_s
from granitedock.service.counter_protocol import encode_call

COUNT_TTL_MS = 12_000.0
CALLS_IN_FLIGHT = 4  # Calls of each connection that await an answer.
COUNTER_NAMES = 21_000
NAME_STRIDE = 17
LONGEST_COUNTER_NAME = 2**62
CONNECT_TIMEOUT_S = 10.0
RECEIVE_BYTES = 65_536
TYPICAL_ANSWER = b"$6\r\n123456\r\n"


@dataclass(frozen=True, slots=True)
class CallCost:
    """The cost of counter calls over `connections` connections.

    `calls_a_second` is the rate at which the emulator answered and `counter_cpu_us` its processor time per
    call (us). `call_bytes` and `answer_bytes` are the bytes of a call with the longest name and of a typical
    answer, without network headers.
    """

    connections: int
    calls_a_second: float
    counter_cpu_us: float
    call_bytes: int
    answer_bytes: int


def open_connections(address: str, count: int) -> list[socket.socket]:
    """Open `count` connections to the counter. Raises MachineLimitError if one cannot be opened."""
    host, _, port = address.rpartition(":")
    try:
        return [socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S) for _ in range(count)]
    except OSError as error:
        raise MachineLimitError.connections(count, error) from None


def next_calls(calls: Iterator[bytes], count: int) -> bytes:
    """Return the next `count` calls, concatenated."""
    return b"".join(islice(calls, count))


def exchange_calls(connections: list[socket.socket], seconds: float) -> int:
    """Keep `CALLS_IN_FLIGHT` calls open on each connection for `seconds` and return the number of answers."""
    calls = cycle([encode_call(NAME_STRIDE * number, 1.0, COUNT_TTL_MS) for number in range(COUNTER_NAMES)])
    answered = 0
    with selectors.DefaultSelector() as selector:
        for connection in connections:
            connection.sendall(next_calls(calls, CALLS_IN_FLIGHT))
            selector.register(connection, selectors.EVENT_READ, data=connection)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for key, _ in selector.select(0.1):
                answers = key.data.recv(RECEIVE_BYTES).count(b"$")
                answered += answers
                key.data.sendall(next_calls(calls, answers))
    return answered


def measure(connections: int, seconds: float) -> CallCost:
    """Measure one counter emulator, called as fast as it answers."""
    with tempfile.TemporaryDirectory() as folder:
        scenario_path = Path(folder) / "scenario.toml"
        scenario_path.write_text(emulator_scenario_text(1))
        with emulator_process(COUNTER_EMULATOR, str(scenario_path)) as counter, ExitStack() as opened:
            sockets = open_connections(counter.announcement, connections)
            for connection in sockets:
                opened.enter_context(connection)
            started_at = time.monotonic()
            cpu_before = process_cpu_s(counter.pid)
            answered = exchange_calls(sockets, seconds)
            elapsed_s = time.monotonic() - started_at
            cpu_s = process_cpu_s(counter.pid) - cpu_before
    return CallCost(
        connections=connections,
        calls_a_second=answered / elapsed_s,
        counter_cpu_us=1e6 * cpu_s / max(1, answered),
        call_bytes=len(encode_call(LONGEST_COUNTER_NAME, 1.0, COUNT_TTL_MS)),
        answer_bytes=len(TYPICAL_ANSWER),
    )
