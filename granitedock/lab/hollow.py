"""Hollow gateways: the real state machines over real loopback sockets, with no clients, many to a process.

Each has the state machine with its watch on discovery, the view of the fleet where addresses are given, and
follows the configuration where control addresses are given. What a client, a host or the counter would bring
is left out, so hundreds of gateways fit one machine and what control costs them can be measured.

Run as `python -m granitedock.lab.hollow`: the first line on standard input is a `HollowOrder` as JSON; it
answers with one line once all have started, then takes `{"status": true}` and answers with a `HollowStatus`
as JSON."""

from __future__ import annotations

import gc
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any

from twisted.internet import reactor as default_reactor

from granitedock.lab.emulators.process import run_until_sigterm
from granitedock.lab.scale.command_server import serve_commands as commanded
from granitedock.lab.scale.platform import platform_file
from granitedock.service.connector import Connector
from granitedock.service.discovery_protocol import DiscoveryWatchProtocol
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits

SPREAD_S = 0.5  # the gateways of one process start within so long
MEMBERSHIP_PORT = 7946
VERSIONS_KEPT = 512


@dataclass(frozen=True, slots=True)
class HollowOrder:
    """What one process of hollow gateways is to run: gateways `first` to `first + count - 1` of `gateways`.
    `discovery` is an address; without `fleet_net` there is no view; `control` are control addresses."""

    first: int
    count: int
    gateways: int
    discovery: str
    fleet_net: int = 0
    control: list[str] = field(default_factory=list)
    cluster: str = "lab"


@dataclass(slots=True)
class GatewayState:
    """One hollow gateway: the version of its list and of its configuration, when it started and had each
    version (steady seconds, the same clock in all processes of a machine), members held live, bytes and
    counters."""

    name: str
    started_at: float = 0.0
    list_version: int = 0
    list_at: dict[str, float] = field(default_factory=dict)
    version: int = 0
    digest: str = ""
    version_at: dict[str, float] = field(default_factory=dict)
    live: int = 0
    counts: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class HollowStatus:
    """One process of hollow gateways; processor time in s, resident memory in MiB."""

    cpu_s: float
    memory_mb: float
    gateways: list[GatewayState]


class Diary:
    """Counters of one hollow gateway; its log lines are dropped, faults are counted."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, event: str, **figures: Any) -> None:
        self.counts["log_lines"] += 1


class CountedWatch(DiscoveryWatchProtocol):
    """A watch that counts the bytes that come."""

    counts: Counter[str]

    def dataReceived(self, data: bytes) -> None:
        self.counts["watch_bytes"] += len(data)
        super().dataReceived(data)


class HollowDoors:
    """What a hollow gateway's state machine may ask for: timers and the watch. It has no host, client or
    counter."""

    def __init__(self, gateway: HollowGateway, address: str) -> None:
        self.gateway, self.address = gateway, address
        limits = gateway.limits
        self.watch = Connector(
            gateway.reactor, gateway.tell, self.link, Input.WATCH_DISCONNECTED, limits.watch_connect_ms
        )

    def link(self) -> CountedWatch:
        link = CountedWatch(self.gateway.tell, self.address, self.gateway.limits)
        link.counts = self.gateway.diary.counts
        return link

    def start_timer(self, timer: Any) -> None:
        wait_s = max(0.0, timer.due - self.gateway.clock()) / 1000.0
        self.gateway.reactor.callLater(wait_s, self.fire, timer)

    def fire(self, timer: Any) -> None:
        if timer.input is not None:
            self.gateway.tell(timer.input, *timer.arguments)

    def connect_watch(self, watch: Any) -> None:
        self.watch.connect(watch, self.address)


class HollowGateway:
    """One gateway without clients."""

    def __init__(self, reactor: Any, order: HollowOrder, number: int) -> None:
        self.reactor, self.order, self.number = reactor, order, number
        self.name = f"gateway-{number:04d}"
        self.diary = Diary()
        told = platform_file(name=self.name, discovery=order.discovery)
        told["settings"]["Specifics"]["Counter"] = False
        told["settings"]["Balancers"], told["settings"]["Me"] = order.gateways, number
        self.settings = told["settings"]
        self.limits = Limits.from_platform_file(told)
        self.doors = HollowDoors(self, order.discovery)
        io: Any = self.doors  # it lacks what no client, host or counter will ask for
        self.state_machine = GatewayStateMachine(
            GatewayParameters(self.clock(), self.limits, told["settings"], number, None, io, self.diary)
        )
        self.state = GatewayState(self.name)
        self.fleet: Any = None
        self.configuration: Any = None

    @staticmethod
    def clock() -> float:
        return time.time() * 1000.0

    def tell(self, happened: Input, *what: Any) -> None:
        """One input of the state machine, and its effects."""
        lists = self.diary.counts["lists"]
        for act, *arguments in self.state_machine.handle(self.clock(), happened, *what):
            act(*arguments)
        if self.diary.counts["lists"] != lists:
            self.state.list_version = self.state_machine.watch.version
            self.noted(self.state.list_at, self.state.list_version)

    @staticmethod
    def noted(when: dict[str, float], version: int) -> None:
        """The first moment at which this version was there; old versions are forgotten."""
        when.setdefault(str(version), time.monotonic())
        if len(when) > VERSIONS_KEPT:
            del when[next(iter(when))]

    def start(self) -> None:
        self.state.started_at = time.monotonic()
        self.tell(Input.START)
        if self.order.fleet_net:
            self.fleet = self.view()
            self.fleet.start()
        if self.order.control:
            self.configuration = self.followed()
            self.configuration.start()

    def followed(self) -> Any:
        """This gateway's part in the configuration service, with the moments at which it had each version."""
        from granitedock.configuration.gateway_attachment import GatewayAttachment
        from granitedock.configuration.settings import GatewayFile

        noted, versions = self.noted, self.state.version_at

        class NotedLink(GatewayAttachment):
            def apply_change(self, change: Any, prepared: Any) -> None:
                began = time.perf_counter()
                super().apply_change(change, prepared)
                self.event_log.counts["apply_us"] += round((time.perf_counter() - began) * 1e6)
                noted(versions, change.version)

            def apply_snapshot(self, before: Any, after: Any) -> None:
                began = time.perf_counter()
                super().apply_snapshot(before, after)
                self.event_log.counts["replace_us"] = round((time.perf_counter() - began) * 1e6)
                noted(versions, after.version)

        order = self.order
        file = GatewayFile(enabled=True, cluster=order.cluster, control=order.control)
        return NotedLink(file, self.name, self.state_machine, self.reactor, self.clock, self.diary)

    def view(self) -> Any:
        """This gateway's part in the view, at an address of loopback of its own."""
        from granitedock.membership.settings import FleetFile
        from granitedock.membership_services import MembershipServices

        order = self.order
        listen, seed = fleet_address(order.fleet_net, self.number), fleet_address(order.fleet_net, 0)
        file = FleetFile(enabled=True, cluster=order.cluster, listen=listen, seeds=[seed])
        born_ms = int(self.clock())
        return MembershipServices(file, self.name, self.settings, born_ms, self.reactor, self.diary)

    def status(self) -> GatewayState:
        self.state.counts = dict(self.diary.counts)
        if self.fleet is not None:
            self.state.live = len(self.fleet.transport.live_names)
        if self.configuration is not None:
            document = self.configuration.document
            self.state.version, self.state.digest = document.version, f"{document.digest:032x}"
            self.state.counts |= self.configuration.follower.counts
        return self.state


def fleet_address(net: int, number: int) -> str:
    """The view's address of gateway `number`, on the loopback net 127.`net`."""
    return f"127.{net}.{number // 250 + 1}.{number % 250 + 1}:{MEMBERSHIP_PORT}"


class Hollow:
    """The hollow gateways of one process."""

    def __init__(self, reactor: Any = default_reactor) -> None:
        self.reactor = reactor
        self.gateways: list[HollowGateway] = []

    def command(self, told: dict[str, Any]) -> dict[str, Any]:
        if "status" not in told:
            self.start(HollowOrder(**told))
        return asdict(self.status())

    def start(self, order: HollowOrder) -> None:
        """All of the order's gateways, spread over `SPREAD_S`."""
        for n in range(order.count):
            gateway = HollowGateway(self.reactor, order, order.first + n)
            self.gateways.append(gateway)
            self.reactor.callLater(SPREAD_S * n / order.count, gateway.start)

    def status(self) -> HollowStatus:
        from granitedock.lab.scale.probe import memory_mb

        states = [gateway.status() for gateway in self.gateways]
        return HollowStatus(time.process_time(), memory_mb(), states)


def main() -> int:
    gc.disable()  # a collection would look through all the gateways of this process; a real one has one
    commanded(default_reactor, Hollow().command)
    return run_until_sigterm("ready")


if __name__ == "__main__":
    sys.exit(main())
