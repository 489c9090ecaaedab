"""An emulator of discovery on loopback: the HTTP watch that the gateway follows, and its faults.

A watch is `GET /api/targets?watch=1&after=V`. The response is 200 with a chunked body of lines: one JSON list
(`{"generation", "reset", "instances": [{"instanceId", "hostPort", "lifecycle"}]}`) whenever the list changes,
and an empty line each second in between. A host's lifecycle follows its faults: `drain` makes it
`terminating`, and `kill` makes it `terminated` for its duration. Faults with the target `discovery`:

- `down`: connections are refused for `for_s`.
- `partition`: the watches stay open and silent.
- `late_lists`: each list is written `factor` seconds late.
- `wrong_lists`: the lists contain an address at which no host listens.

h11 parses and formats HTTP.

`python -m granitedock.lab.emulators.discovery SCENARIO HOSTS`, where HOSTS is a file with the JSON line that
`granitedock.lab.emulators.hosts` printed, prints the emulator's address as one JSON line and serves until
SIGTERM.
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

from granitedock.lab.emulators.process import LOOPBACK, close_abruptly, listen_on_loopback, run_until_sigterm
from granitedock.lab.fault_targets import FaultKind, TargetKind
from granitedock.lab.load.observations import WrittenList
from granitedock.lab.reactor import REACTOR
from granitedock.lab.scenario import Fault, Scenario, load

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.posixbase import PosixReactorBase
    from twisted.internet.tcp import Server

CHECK_INTERVAL_S = 0.1
HEARTBEAT_CHECKS = 10  # one in this many checks writes an empty line
UNREACHABLE_ADDRESS = "127.0.0.1:1"
IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"  # lifecycles on the wire


class ListSource(Protocol):
    """The interface of the discovery emulator that a watch uses."""

    watches: set[WatchConnection]
    last_list: bytes  # the current list without its line end; empty before the first list

    def record_written(self, line: bytes) -> None:
        """Record a list that is written to a new watch."""


def zone_of(host: str) -> str:
    """Return the zone in a host's name ("zone/n")."""
    return host.partition("/")[0]


class DiscoveryEmulator:
    """The emulated discovery: the current list under the faults, and the watches."""

    def __init__(
        self, scenario: Scenario, hosts: dict[str, str], reactor: PosixReactorBase = REACTOR
    ) -> None:
        """`hosts` maps the hosts' names ("zone/n") to their addresses."""
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
        # The lists written, with times on the monotonic clock. A list that is written while the gateway is
        # not reachable (`is_reachable`) has not arrived and is left out.
        self.written_lists: list[WrittenList] = []
        self.is_reachable: Callable[[], bool] = lambda: True

    def restart_timeline(self) -> None:
        """Restart the timeline at the current time."""
        self.began_s = time.monotonic()
        self.began_unix_s = time.time()

    def now_s(self) -> float:
        """Return the time since the timeline started, in seconds."""
        return time.monotonic() - self.began_s

    def active_fault(self, kind: FaultKind, target: str) -> Fault | None:
        """Return the first fault of the timeline of this kind and target that is active now."""
        now_s = self.now_s()
        for fault in self.timeline:
            if fault.kind == kind and fault.target == target and fault.is_active(now_s):
                return fault
        return None

    def discovery_fault(self, kind: FaultKind) -> Fault | None:
        """Return the fault with the target `discovery`, of this kind, that is active now."""
        return self.active_fault(kind, TargetKind.DISCOVERY)

    def lifecycle(self, name: str) -> str:
        """Return a host's current lifecycle."""
        for target in (name, zone_of(name)):
            if self.active_fault(FaultKind.KILL, target):
                return TERMINATED
            if self.active_fault(FaultKind.DRAIN, target):
                return TERMINATING
        return IN_SERVICE

    def started_ms(self, name: str) -> float:
        """Return the start time of a host in Unix ms: the end of its last kill, or 0 without a kill."""
        now_s = self.now_s()
        last_kill_end_s = 0.0
        for fault in self.timeline:
            end_s = fault.at_s + fault.for_s
            is_kill = fault.kind == FaultKind.KILL and fault.target in (name, zone_of(name))
            if is_kill and fault.for_s and end_s <= now_s:
                last_kill_end_s = max(last_kill_end_s, end_s)
        return round((self.began_unix_s + last_kill_end_s) * 1000.0) if last_kill_end_s else 0

    def endpoint_list(self) -> bytes:
        """Return the current list as a line of JSON without its line end."""
        wrong = self.discovery_fault(FaultKind.WRONG_LISTS) is not None
        instances = [
            {
                "instanceId": name,
                "hostPort": UNREACHABLE_ADDRESS if wrong else address,
                "lifecycle": self.lifecycle(name),
                "zone": zone_of(name),
                "startedAtMs": self.started_ms(name),
            }
            for name, address in sorted(self.hosts.items())
        ]
        return orjson.dumps({"generation": self.generation, "reset": True, "instances": instances})

    def listen(self) -> str:
        """Listen for watches; returns the address, which stays the same after a `down` fault."""
        self.port, self.port_number = listen_on_loopback(
            self.reactor, self.port_number, lambda: WatchConnection(self)
        )
        return f"{LOOPBACK}:{self.port_number}"

    def publish(self) -> None:
        """Write the list to each watch if it has changed, else an empty line each second.

        Each call schedules the next one in CHECK_INTERVAL_S.
        """
        if self.stopped:
            return
        self.apply_down()
        current = self.endpoint_list()
        if current != self.last_list:
            self.generation += 1
            self.last_list = self.endpoint_list()
            late = self.discovery_fault(FaultKind.LATE_LISTS)
            self.reactor.callLater(late.factor if late else 0.0, self.write_to_all, self.last_list + b"\n")
        elif int(self.now_s() * HEARTBEAT_CHECKS) % HEARTBEAT_CHECKS == 0:
            self.write_to_all(b"\n")
        self.reactor.callLater(CHECK_INTERVAL_S, self.publish)

    def apply_down(self) -> None:
        """Close the listener and the watches during a `down` fault, and listen again afterwards."""
        down = self.discovery_fault(FaultKind.DOWN) is not None
        if down and self.port is not None:
            close_abruptly(self.port, self.watches)
            self.port = None
        elif not down and self.port is None:
            self.listen()

    def stop(self) -> Deferred[None] | None:
        """Stop permanently; returns a Deferred that fires when the listener is closed, or None."""
        self.stopped = True
        return close_abruptly(self.port, self.watches) if self.port is not None else None

    def write_to_all(self, line: bytes) -> None:
        """Write a line to each watch; during a partition the watches stay open and silent."""
        if self.discovery_fault(FaultKind.PARTITION):
            return
        if line.strip() and self.watches:
            self.record_written(line)
        for watch in list(self.watches):
            watch.write(line)

    def record_written(self, line: bytes) -> None:
        """Record a list that is written, if the gateway is reachable."""
        if self.is_reachable():
            entries = orjson.loads(line)["instances"]
            names = frozenset(entry["instanceId"] for entry in entries if entry["lifecycle"] != IN_SERVICE)
            self.written_lists.append(WrittenList(time.monotonic(), names))


class WatchConnection(TwistedProtocol):
    """A gateway's watch of the list."""

    transport: Server

    def __init__(self, source: ListSource) -> None:
        self.source = source
        self.http = h11.Connection(h11.SERVER)
        self.open = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Unregister the watch."""
        self.source.watches.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse HTTP; a protocol error resets the connection."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request) and not self.open:
                    self.start()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def start(self) -> None:
        """Send the response head, and the list if there is one."""
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
        """Write an h11 event."""
        self.transport.write(self.http.send(event))


def main(argv: list[str]) -> int:
    """Run the emulator as a process; the arguments are the scenario file and the file of host addresses."""
    discovery = DiscoveryEmulator(load(argv[1]), orjson.loads(Path(argv[2]).read_bytes()))
    address = discovery.listen()
    discovery.publish()
    return run_until_sigterm(address)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
