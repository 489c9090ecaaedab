"""A discovery stand-in at fleet size: thousands of hosts, hundreds of watches, whole lists and changes.

The wire is that of `lab/emulators/discovery.py`. A new watch gets the whole list; later changes go out as
lists that name only what changed (`"reset": false`). A silent stand-in leaves its watches open and writes
nothing.

Run as `python -m granitedock.lab.scale.roster HOSTS`: prints its address as one JSON line, takes one JSON
command a line on standard input (`{"change": N}`, `{"silent": true}`) and answers each with one JSON line:
the list's generation, watches open and processor seconds used."""

from __future__ import annotations

import sys
import time
from threading import Thread
from typing import Any

import orjson
from twisted.internet import reactor as default_reactor

from granitedock.lab.emulators.discovery import WatchConnection
from granitedock.lab.emulators.process import listen_on_loopback, run_until_sigterm
from granitedock.lab.scale.platform import full_list_record, host_record

HEARTBEAT_S = 1.0


class Roster:
    """The list of hosts and the watches that follow it."""

    def __init__(self, hosts: int, reactor: Any = default_reactor) -> None:
        self.reactor, self.hosts = reactor, hosts
        self.generation, self.silent = 1, False
        self.draining: set[int] = set()
        self.watches: set[WatchConnection] = set()
        self.last_list = orjson.dumps(full_list_record(hosts))
        self.port: Any = None

    def listen(self) -> str:
        self.port, number = listen_on_loopback(self.reactor, 0, lambda: WatchConnection(self))
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)
        return f"127.0.0.1:{number}"

    def record_written(self, line: bytes) -> None:
        """A whole list goes to a new watch."""

    def heartbeat(self) -> None:
        self.write(b"\n")
        self.reactor.callLater(HEARTBEAT_S, self.heartbeat)

    def write(self, line: bytes) -> None:
        for watch in () if self.silent else list(self.watches):
            watch.write(line)

    def change(self, count: int) -> None:
        """So many hosts begin to drain, or end it; one list with just these goes to each watch."""
        self.generation += 1
        numbers = [(self.generation * 131 + n) % self.hosts for n in range(count)]
        self.draining.symmetric_difference_update(numbers)
        changed = [host_record(number, self.lifecycle(number)) for number in numbers]
        whole = [host_record(number, self.lifecycle(number)) for number in range(self.hosts)]
        self.last_list = orjson.dumps({"generation": self.generation, "reset": True, "instances": whole})
        told = {"generation": self.generation, "reset": False, "instances": changed}
        self.write(orjson.dumps(told) + b"\n")

    def lifecycle(self, number: int) -> str:
        return "terminating" if number in self.draining else "in_service"

    def command(self, order: dict[str, Any]) -> dict[str, Any]:
        """Carry one command out; how the stand-in stands then."""
        if "change" in order:
            self.change(order["change"])
        if "silent" in order:
            self.silent = order["silent"]
        return {"generation": self.generation, "watches": len(self.watches), "cpu_s": time.process_time()}


def commanded(reactor: Any, carry_out: Any) -> None:
    """Commands from standard input, one JSON object a line, carried out on the reactor; each is answered by
    one line of JSON. The reactor ends with the input."""

    def answer(line: bytes) -> None:
        sys.stdout.buffer.write(orjson.dumps(carry_out(orjson.loads(line))) + b"\n")
        sys.stdout.buffer.flush()

    def read() -> None:
        for line in sys.stdin.buffer:
            reactor.callFromThread(answer, line)
        reactor.callFromThread(reactor.stop)

    Thread(target=read, daemon=True).start()


def main(argv: list[str]) -> int:
    roster = Roster(int(argv[1]))
    address = roster.listen()
    commanded(default_reactor, roster.command)
    return run_until_sigterm(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
