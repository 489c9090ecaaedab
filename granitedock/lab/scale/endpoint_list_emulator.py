"""Emulate discovery at fleet size: thousands of hosts, hundreds of watches, full lists and updates.

The protocol is that of `lab/emulators/discovery.py`. A new watch receives the full list; each later update is
a list of only the changed hosts (`"reset": false`). A silent emulator keeps its watches open and writes
nothing.

Run as `python -m granitedock.lab.scale.endpoint_list_emulator HOSTS`. The process prints its address as one
JSON line, reads one JSON command per line from standard input (`{"change": N}`, `{"silent": true}`) and
answers each with one JSON line: the list's generation, the number of open watches and the processor seconds
used.
"""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

import orjson

from granitedock.lab.emulators.discovery import WatchConnection
from granitedock.lab.emulators.process import LOOPBACK, listen_on_loopback, run_until_sigterm
from granitedock.lab.reactor import REACTOR
from granitedock.lab.scale.command_server import serve_commands
from granitedock.lab.scale.platform import IN_SERVICE, TERMINATING, full_list_record, host_record

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort
    from twisted.internet.posixbase import PosixReactorBase

HEARTBEAT_S = 1.0
# Distance between the first hosts of two updates, so that successive updates change different hosts.
UPDATE_STRIDE = 131


class EndpointListEmulator:
    """The endpoint list and the watches that follow it."""

    def __init__(self, hosts: int, reactor: PosixReactorBase = REACTOR) -> None:
        self.reactor = reactor
        self.hosts = hosts
        self.generation = 1
        self.silent = False
        self.draining: set[int] = set()
        self.watches: set[WatchConnection] = set()
        self.last_list: bytes = orjson.dumps(full_list_record(hosts))
        self.port: IListeningPort | None = None

    def listen(self) -> str:
        """Listen on a free loopback port and return the address."""
        self.port, number = listen_on_loopback(self.reactor, 0, lambda: WatchConnection(self))
        self.reactor.callLater(HEARTBEAT_S, self.write_heartbeat)
        return f"{LOOPBACK}:{number}"

    def record_written(self, line: bytes) -> None:
        """Ignore that a list was written to a new watch; this emulator keeps no record."""

    def write_heartbeat(self) -> None:
        """Write an empty line to each watch every `HEARTBEAT_S` seconds."""
        self.write_to_all(b"\n")
        self.reactor.callLater(HEARTBEAT_S, self.write_heartbeat)

    def write_to_all(self, line: bytes) -> None:
        """Write a line to each watch, unless the emulator is silent."""
        if self.silent:
            return
        for watch in list(self.watches):
            watch.write(line)

    def update_hosts(self, count: int) -> None:
        """Start draining `count` hosts, or put draining ones back in service, and update each watch."""
        self.generation += 1
        numbers = [(self.generation * UPDATE_STRIDE + n) % self.hosts for n in range(count)]
        self.draining.symmetric_difference_update(numbers)
        self.last_list = self.encode_list(True, range(self.hosts))
        self.write_to_all(self.encode_list(False, numbers) + b"\n")

    def encode_list(self, complete: bool, numbers: range | list[int]) -> bytes:
        """Encode the hosts with these numbers as a list of the current generation."""
        instances = [host_record(number, self.lifecycle(number)) for number in numbers]
        return orjson.dumps({"generation": self.generation, "reset": complete, "instances": instances})

    def lifecycle(self, number: int) -> str:
        """Return a host's lifecycle as it is sent."""
        return TERMINATING if number in self.draining else IN_SERVICE

    def handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute one command and return the emulator's state after it."""
        if "change" in command:
            self.update_hosts(command["change"])
        if "silent" in command:
            self.silent = command["silent"]
        return {"generation": self.generation, "watches": len(self.watches), "cpu_s": time.process_time()}


def main(argv: list[str]) -> int:
    """Run the emulator until SIGTERM or the end of its input."""
    emulator = EndpointListEmulator(int(argv[1]))
    address = emulator.listen()
    serve_commands(REACTOR, emulator.handle_command)
    return run_until_sigterm(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
