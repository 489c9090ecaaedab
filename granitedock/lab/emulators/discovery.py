"""An emulator of discovery on loopback: the HTTP watch that the gateway follows, and its faults.

A watch is `GET /api/targets?watch=1&after=V`; the answer is 200 with chunked lines, one JSON list a line
(`{"generation", "reset", "instances": [{"instanceId", "hostPort", "lifecycle"}]}`) whenever the list changes,
and an empty line each second between. A host's lifecycle follows its faults: `drain` makes it `terminating`,
`kill` `terminated` for its time. Faults on the target `discovery`: `down` (refused for `for_s`), `partition`
(open and silent), `late_lists` (each list written `factor` seconds late), `wrong_lists` (addresses that lead
nowhere). HTTP is read and written by h11.

Run as `python -m granitedock.lab.emulators.discovery SCENARIO HOSTS`, where HOSTS is a file that holds the
JSON line that `granitedock.lab.emulators.hosts` printed: it prints its own address as one JSON line and
serves until SIGTERM.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import h11
import orjson
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from granitedock.lab.emulators.process import LOOPBACK, listen_on_loopback, run_until_sigterm, vanish
from granitedock.lab.fault_targets import FaultKind, TargetKind
from granitedock.lab.load.observations import WrittenList
from granitedock.lab.reactor import REACTOR
from granitedock.lab.scenario import Fault, Scenario, load

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.posixbase import PosixReactorBase
    from twisted.internet.tcp import Server

CHECK_EVERY_S = 0.1
HEARTBEAT_CHECKS = 10  # an empty line in one of so many checks
NOWHERE = "127.0.0.1:1"
IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"  # lifecycles on the wire


class ListSource(Protocol):
    """What a watch needs of the discovery that it belongs to."""

    watches: set[WatchConnection]
    last_list: bytes  # the list as it stands, without a line end; empty before the first

    def record_written(self, line: bytes) -> None:
        """A list is written to a new watch."""


def zone_of(host: str) -> str:
    """The zone in a host's name ("zone/n")."""
    return host.partition("/")[0]


class DiscoveryEmulator:
    """The emulated discovery: the list as the faults make it at each moment, and the watches."""

    def __init__(
        self, scenario: Scenario, hosts: dict[str, str], reactor: PosixReactorBase = REACTOR
    ) -> None:
        """`hosts` are the hosts' addresses by name ("zone/n")."""
        self.reactor = reactor
        self.hosts = hosts
        self.restart_timeline()
        self.timeline = list(scenario.timeline)
        self.watches: set[WatchConnection] = set()
        self.port: IListeningPort | None = None
        self.port_number = 0
        self.generation = 0
        self.last_list = b""
        self.stopped = False
        # What was written, times on the steady clock. What is held up on the way, as `is_reachable` says, has
        # not reached the gateway and is left out.
        self.written_lists: list[WrittenList] = []
        self.is_reachable: Callable[[], bool] = lambda: True

    def restart_timeline(self) -> None:
        """The timeline begins now."""
        self.began_s = time.monotonic()
        self.began_unix_s = time.time()

    def now_s(self) -> float:
        """Seconds since the timeline began."""
        return time.monotonic() - self.began_s

    def active_fault(self, kind: FaultKind, target: str) -> Fault | None:
        """The first fault of the timeline of this kind and target that holds now."""
        now_s = self.now_s()
        for fault in self.timeline:
            if fault.kind == kind and fault.target == target and fault.is_active(now_s):
                return fault
        return None

    def own_fault(self, kind: FaultKind) -> Fault | None:
        """The fault of discovery itself, of this kind, that holds now."""
        return self.active_fault(kind, TargetKind.DISCOVERY)

    def lifecycle(self, name: str) -> str:
        """A host's lifecycle now."""
        for target in (name, zone_of(name)):
            if self.active_fault(FaultKind.KILL, target):
                return TERMINATED
            if self.active_fault(FaultKind.DRAIN, target):
                return TERMINATING
        return IN_SERVICE

    def started_ms(self, name: str) -> float:
        """When a host's process began, in Unix ms: 0 for long ago, else the end of its last kill."""
        now_s = self.now_s()
        last_end_s = 0.0
        for fault in self.timeline:
            end_s = fault.at_s + fault.for_s
            hit = fault.kind == FaultKind.KILL and fault.target in (name, zone_of(name))
            if hit and fault.for_s and end_s <= now_s:
                last_end_s = max(last_end_s, end_s)
        return round((self.began_unix_s + last_end_s) * 1000.0) if last_end_s else 0

    def endpoint_list(self) -> bytes:
        """The list as it is now, one line of JSON without its end."""
        wrong = self.own_fault(FaultKind.WRONG_LISTS) is not None
        instances = [
            {
                "instanceId": name,
                "hostPort": NOWHERE if wrong else address,
                "lifecycle": self.lifecycle(name),
                "zone": zone_of(name),
                "startedAtMs": self.started_ms(name),
            }
            for name, address in sorted(self.hosts.items())
        ]
        return orjson.dumps({"generation": self.generation, "reset": True, "instances": instances})

    def listen(self) -> str:
        """Take watches; returns the address, which stays the same over `down` faults."""
        self.port, self.port_number = listen_on_loopback(
            self.reactor, self.port_number, lambda: WatchConnection(self)
        )
        return f"{LOOPBACK}:{self.port_number}"

    def publish(self) -> None:
        """Write the list to each watch if it changed, else an empty line each second; every 100 ms from the
        first call on."""
        if self.stopped:
            return
        self.apply_down()
        current = self.endpoint_list()
        if current != self.last_list:
            self.generation += 1
            self.last_list = self.endpoint_list()
            late = self.own_fault(FaultKind.LATE_LISTS)
            self.reactor.callLater(late.factor if late else 0.0, self.write_to_all, self.last_list + b"\n")
        elif int(self.now_s() * HEARTBEAT_CHECKS) % HEARTBEAT_CHECKS == 0:
            self.write_to_all(b"\n")
        self.reactor.callLater(CHECK_EVERY_S, self.publish)

    def apply_down(self) -> None:
        """Be gone while a `down` fault holds."""
        down = self.own_fault(FaultKind.DOWN) is not None
        if down and self.port is not None:
            vanish(self.port, self.watches)
            self.port = None
        elif not down and self.port is None:
            self.listen()

    def stop(self) -> Deferred[None] | None:
        """End it for good; what it returns fires when the listener is closed."""
        self.stopped = True
        return vanish(self.port, self.watches) if self.port is not None else None

    def write_to_all(self, line: bytes) -> None:
        """Write a line to each watch; in a partition they stay open and silent."""
        if self.own_fault(FaultKind.PARTITION):
            return
        if line.strip() and self.watches:
            self.record_written(line)
        for watch in list(self.watches):
            watch.write(line)

    def record_written(self, line: bytes) -> None:
        """Note a list that is written, if it reaches the gateway."""
        if self.is_reachable():
            entries = orjson.loads(line)["instances"]
            names = frozenset(e["instanceId"] for e in entries if e["lifecycle"] != IN_SERVICE)
            self.written_lists.append(WrittenList(time.monotonic(), names))


class WatchConnection(TwistedProtocol):
    """One gateway's watch of the list."""

    transport: Server

    def __init__(self, source: ListSource) -> None:
        self.source = source
        self.http = h11.Connection(h11.SERVER)
        self.open = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """It has ended."""
        self.source.watches.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Read HTTP; what is none is reset."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request) and not self.open:
                    self.start()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def start(self) -> None:
        """Answer the request, and write the list if there is one."""
        self.open = True
        head = h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
        self.write_event(head)
        self.source.watches.add(self)
        if self.source.last_list:
            self.source.record_written(self.source.last_list)
            self.write(self.source.last_list + b"\n")

    def write(self, line: bytes) -> None:
        """Write a line as one chunk."""
        self.write_event(h11.Data(data=line))

    def write_event(self, event: Any) -> None:
        """Write an event of h11."""
        self.transport.write(self.http.send(event))


def main(argv: list[str]) -> int:
    """Serve as a process; the arguments are the scenario file and the file of hosts' addresses."""
    discovery = DiscoveryEmulator(load(argv[1]), orjson.loads(Path(argv[2]).read_bytes()))
    address = discovery.listen()
    discovery.publish()
    return run_until_sigterm(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
