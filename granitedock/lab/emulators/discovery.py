"""A stand-in for discovery on loopback: the HTTP watch that `service/discovery.py` follows, and its faults.

A watch is `GET /api/targets?watch=1&after=V`; the answer is 200 with chunked lines, one JSON list a line
(`{"generation", "reset", "instances": [{"instanceId", "hostPort", "lifecycle"}]}`) whenever the list changes,
and an empty line each second between. A host's lifecycle follows its faults: `drain` makes it `terminating`,
`kill` `terminated` for its time. Faults on the target `discovery`: `down` (refused for `for_s`), `partition`
(open and silent), `late_lists` (each list written `factor` seconds late), `wrong_lists` (addresses that lead
nowhere). HTTP is read and written by h11.

Run as `python -m granitedock.lab.emulators.discovery SCENARIO HOSTS`, where HOSTS is a file that holds the
JSON line that `granitedock.lab.emulators.hosts` printed: it prints its own address as one JSON line and serves
until SIGTERM."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import h11
import orjson
from twisted.internet import reactor as default_reactor
from twisted.internet.protocol import Protocol

from granitedock.lab.emulators.process import listen, serve, vanish
from granitedock.lab.scenario import Scenario, load


class Discovery:
    """The list, as the scenario's faults make it at each moment, and the watches that follow it."""

    def __init__(self, scenario: Scenario, hosts: dict[str, str], reactor: Any = default_reactor) -> None:
        self.reactor, self.hosts = reactor, hosts
        self.zero()
        self.timeline = list(scenario.timeline)
        self.watches: set[Watch] = set()
        self.port: Any = None
        self.port_number = 0
        self.generation, self.last = 0, b""
        self.over = False
        # What was written, and when on the steady clock: the hosts that drain or are gone. What is held up on
        # the way, as `reaches` says, is not told yet.
        self.told: list[tuple[float, frozenset[str]]] = []
        self.reaches: Callable[[], bool] = lambda: True

    def zero(self) -> None:
        """The timeline begins now."""
        self.began, self.unix = time.monotonic(), time.time()

    def now_s(self) -> float:
        return time.monotonic() - self.began

    def holding(self, what: str, target: str) -> Any:
        now = self.now_s()
        for fault in self.timeline:
            if (
                fault.what == what
                and fault.target == target
                and fault.at_s <= now < fault.at_s + (fault.for_s or 1e9)
            ):
                return fault
        return None

    def lifecycle(self, name: str) -> str:
        zone = name.split("/")[0]
        for target in (name, zone):
            if self.holding("kill", target):
                return "terminated"
            if self.holding("drain", target):
                return "terminating"
        return "in_service"

    def started_ms(self, name: str) -> float:
        """When its process began, in Unix ms: 0 for long ago, else the end of its last kill."""
        now, ends = self.now_s(), 0.0
        for fault in self.timeline:
            over = fault.at_s + fault.for_s
            if (
                fault.what == "kill"
                and fault.target in (name, name.split("/")[0])
                and fault.for_s
                and over <= now
            ):
                ends = max(ends, over)
        return round((self.unix + ends) * 1000.0) if ends else 0

    def document(self) -> bytes:
        wrong = self.holding("wrong_lists", "discovery") is not None
        instances = [
            {
                "instanceId": name,
                "hostPort": "127.0.0.1:1" if wrong else address,
                "lifecycle": self.lifecycle(name),
                "zone": name.split("/")[0],
                "startedAtMs": self.started_ms(name),
            }
            for name, address in sorted(self.hosts.items())
        ]
        return orjson.dumps({"generation": self.generation, "reset": True, "instances": instances})

    def listen(self) -> str:
        self.port, self.port_number = listen(self.reactor, self.port_number, lambda: Watch(self))
        return f"127.0.0.1:{self.port_number}"

    def tick(self) -> None:
        """Every 100 ms: the list anew, to each watch if it changed, and an empty line each second."""
        if self.over:
            return
        down = self.holding("down", "discovery") is not None
        if down and self.port is not None:
            vanish(self.port, self.watches)
            self.port = None
        elif not down and self.port is None:
            self.listen()
        body = self.document()
        if body != self.last:
            self.generation += 1
            self.last = body = self.document()
            late = self.holding("late_lists", "discovery")
            self.reactor.callLater(late.factor if late else 0.0, self.tell, body + b"\n")
        elif int(self.now_s() * 10) % 10 == 0:
            self.tell(b"\n")
        self.reactor.callLater(0.1, self.tick)

    def end(self) -> Any:
        self.over = True
        return vanish(self.port, self.watches) if self.port is not None else None

    def tell(self, line: bytes) -> None:
        if self.holding("partition", "discovery"):
            return  # open and silent
        if line.strip() and self.watches:
            self.wrote(line)
        for watch in list(self.watches):
            watch.write(line)

    def wrote(self, line: bytes) -> None:
        if self.reaches():
            entries = orjson.loads(line)["instances"]
            names = frozenset(e["instanceId"] for e in entries if e["lifecycle"] != "in_service")
            self.told.append((time.monotonic(), names))


class Watch(Protocol):
    def __init__(self, discovery: Discovery) -> None:
        self.discovery, self.http, self.open = discovery, h11.Connection(h11.SERVER), False

    def connectionLost(self, reason: Any = None) -> None:
        self.discovery.watches.discard(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request) and not self.open:
                    self.open = True
                    head = h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
                    self.transport.write(self.http.send(head))
                    self.discovery.watches.add(self)
                    if self.discovery.last:
                        self.discovery.wrote(self.discovery.last)
                        self.write(self.discovery.last + b"\n")
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def write(self, line: bytes) -> None:
        self.transport.write(self.http.send(h11.Data(data=line)))


def main(argv: list[str]) -> int:
    discovery = Discovery(load(argv[1]), orjson.loads(Path(argv[2]).read_bytes()))
    address = discovery.listen()
    discovery.tick()
    return serve(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
