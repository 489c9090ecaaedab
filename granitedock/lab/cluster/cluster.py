"""A test cluster: real gateway processes on this machine's loopback, and the faults that are put on it.

The cluster starts `granitedock serve` as processes of their own, with emulated hosts, counter and discovery,
and proxies on all links between them. A test or a scenario's timeline kills (SIGKILL), pauses (SIGSTOP),
resumes (SIGCONT), stops (SIGTERM) and restarts gateways, and cuts or disturbs links. It ends only processes
it started, by their ids, also when a test fails. The emulators run on one Twisted reactor in a thread of this
process; everything public here may be called from any other thread.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from granitedock.lab.cluster.errors import ClusterError, DisagreementError, GatewayUnreachableError
from granitedock.lab.cluster.gateway_files import membership_file, platform_record
from granitedock.lab.cluster.gateway_process import GatewayProcess, gateway_name
from granitedock.lab.cluster.links import link_fault, links_between
from granitedock.lab.cluster.network import MEMBERSHIP_PORT, LoopbackNetwork
from granitedock.lab.cluster.queries import ANSWER_WITHIN_S, GatewayQueries
from granitedock.lab.cluster.surroundings import Surroundings
from granitedock.lab.emulators.counter import CounterEmulator, ExpiringCounts
from granitedock.lab.emulators.discovery import DiscoveryEmulator
from granitedock.lab.emulators.hosts import HostEmulator
from granitedock.lab.fault_targets import Direction, FaultKind, gateway_numbers
from granitedock.lab.faults.link_faults import CUT, NO_FAULT, LinkFault
from granitedock.lab.faults.tcp_proxy import TcpProxy
from granitedock.lab.reactor import on_reactor
from granitedock.lab.scenario import Fault, Scenario

READY_WITHIN_S = 20.0
POLL_S = 0.05
LOG_END = 2000  # characters of a gateway's log that an error shows


class GatewayCluster:
    """A scenario's gateways with what surrounds them; a context manager that starts and ends all of it.

    Gateways are named by their numbers.
    """

    def __init__(self, scenario: Scenario, directory: Path, membership: dict[str, Any] | None = None) -> None:
        """`membership` are lines of the operators' membership file beyond those that the cluster fills in
        (addresses and seeds), used where the scenario turns membership on. Raises NoNetworkError."""
        self.scenario = scenario
        self.directory = Path(directory)
        self.count = scenario.fleet.gateways
        self.network = LoopbackNetwork()
        self.surroundings = Surroundings(scenario, self.network)
        self.queries = GatewayQueries(self.network)
        self.gateways: list[GatewayProcess] = []
        self.membership_lines = membership or {}
        self.began_s = time.monotonic()

    # Beginning and end.

    def __enter__(self) -> GatewayCluster:
        try:
            on_reactor(self.build)
            for gateway in self.gateways:
                gateway.start()
            self.began_s = time.monotonic()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            gateway.end(signal.SIGKILL)
        on_reactor(self.surroundings.stop)
        self.network.release()

    def build(self) -> None:
        """Start the surroundings and write the gateways' files; in the reactor's thread."""
        surroundings = self.surroundings
        surroundings.start()
        for gateway in range(self.count):
            discovery_address, counter_address = surroundings.connect_gateway(gateway)
            record = platform_record(self.scenario, self.network, gateway, discovery_address, counter_address)
            surroundings.discoveries[gateway].publish()
            options: list[str] = []
            if self.scenario.fleet.membership:
                path = self.directory / f"g{gateway}.fleet.toml"
                path.write_text(
                    membership_file(
                        self.scenario, self.network, gateway, self.directory, self.membership_lines
                    )
                )
                options = ["--fleet", str(path)]
            self.gateways.append(GatewayProcess(gateway, self.directory, record, options))
            surroundings.datagram_proxy.add(
                gateway_name(gateway),
                (self.gateway_host(gateway), MEMBERSHIP_PORT),
                (self.proxy_host(gateway), MEMBERSHIP_PORT),
            )

    def restart_timeline(self) -> None:
        """The timeline of the emulators begins now."""
        on_reactor(self.surroundings.restart_timeline)

    # Parts.

    def gateway_host(self, gateway: int) -> str:
        """The address at which a gateway listens."""
        return self.network.gateway_host(gateway)

    def proxy_host(self, gateway: int) -> str:
        """The address at which the others know a gateway."""
        return self.network.proxy_host(gateway)

    @property
    def hosts(self) -> list[HostEmulator]:
        """The emulated hosts."""
        return self.surroundings.hosts

    @property
    def counter(self) -> CounterEmulator:
        """The emulated counter that the gateways' files name."""
        return self.surroundings.counter

    @property
    def discoveries(self) -> list[DiscoveryEmulator]:
        """The emulated discovery of each gateway."""
        return self.surroundings.discoveries

    @property
    def tcp_proxies(self) -> list[TcpProxy]:
        """The links from gateways to their parties."""
        return self.surroundings.tcp_proxies

    def host(self, name: str) -> HostEmulator:
        """An emulated host by its name ("zone/n")."""
        return self.surroundings.host(name)

    # Faults of the surroundings.

    def add_host_fault(
        self, name: str, kind: str, for_s: float = 0.0, rate: float = 1.0, factor: float = 1.0
    ) -> None:
        """A fault of one host from now on; `kind` is a word of the scenario file. Raises ValueError."""
        on_reactor(self.surroundings.add_host_fault, name, FaultKind(kind), for_s, rate, factor)

    def clear_host_faults(self, name: str) -> None:
        """No more faults of this host."""
        on_reactor(self.surroundings.clear_host_faults, name)

    def restart_counter(self, counts: ExpiringCounts) -> None:
        """The counter's process is gone and back at once, with these counts."""
        on_reactor(self.counter.restart, counts)

    def move_counter(self) -> None:
        """A fresh counter takes over at another address: the gateways' files name it, and they get SIGHUP."""
        addresses = on_reactor(self.surroundings.move_counter)
        for gateway, address in zip(self.gateways, addresses, strict=True):
            gateway.platform["counter"] = address
            gateway.write_platform_file()
            gateway.signal(signal.SIGHUP)

    # Faults of gateways.

    def start(self, *gateways: int) -> None:
        """Start gateways that do not run."""
        for gateway in gateways:
            on_reactor(self.surroundings.datagram_proxy.open, gateway_name(gateway))
            self.gateways[gateway].start()

    def end(self, gateways: Iterable[int], signal_number: int) -> list[int | None]:
        """End gateways by a signal, all at once; the exit codes."""
        gateways = list(gateways)
        for gateway in gateways:
            self.gateways[gateway].signal(signal_number)
        codes = []
        for gateway in gateways:
            codes.append(self.gateways[gateway].end(signal_number))
            on_reactor(self.surroundings.datagram_proxy.close, gateway_name(gateway))
        return codes

    def kill(self, *gateways: int) -> None:
        """End gateways by SIGKILL."""
        self.end(gateways, signal.SIGKILL)

    def stop(self, *gateways: int) -> list[int | None]:
        """End gateways by SIGTERM, as a planned stop; the exit codes."""
        return self.end(gateways, signal.SIGTERM)

    def restart(self, *gateways: int) -> None:
        """Kill gateways and start them at once."""
        self.kill(*gateways)
        self.start(*gateways)

    def pause(self, *gateways: int) -> None:
        """Stop gateways by SIGSTOP."""
        for gateway in gateways:
            self.gateways[gateway].pause()

    def resume(self, *gateways: int) -> None:
        """Let paused gateways go on."""
        for gateway in gateways:
            self.gateways[gateway].resume()

    # Faults of links.

    def set_link_fault(
        self,
        fault: LinkFault,
        gateways: Iterable[int],
        other_side: Iterable[int] | str,
        direction: str = Direction.BOTH,
    ) -> None:
        """The fault, from now on, of the links between `gateways` and the other side: gateways, or a party's
        name. `direction` is as seen from `gateways`, a word of the scenario file."""
        links = links_between(gateways, other_side, Direction(direction))
        on_reactor(self.surroundings.link_faults.set, fault, links)

    def cut(
        self, gateways: Iterable[int], other_side: Iterable[int] | str, direction: str = Direction.BOTH
    ) -> None:
        """Let nothing through on these links from now on; as for `set_link_fault`."""
        self.set_link_fault(CUT, gateways, other_side, direction)

    def heal(self) -> None:
        """No link has a fault any more."""
        on_reactor(self.surroundings.link_faults.heal)

    # Faults of a timeline.

    def begin_fault(self, fault: Fault) -> None:
        """Begin a fault of the timeline that is put on gateways; `end_fault` ends it."""
        gateways = gateway_numbers(fault.target, self.count)
        if fault.kind == FaultKind.KILL:
            self.kill(*gateways)
        elif fault.kind == FaultKind.STOP:
            self.stop(*gateways)
        elif fault.kind == FaultKind.PAUSE:
            self.pause(*gateways)
        elif fault.kind == FaultKind.RESTART:
            self.restart(*gateways)
        else:
            self.set_link_fault(link_fault(fault), gateways, self.other_side(fault), fault.direction)

    def end_fault(self, fault: Fault) -> None:
        """End a fault of the timeline that is put on gateways."""
        gateways = gateway_numbers(fault.target, self.count)
        if fault.kind in (FaultKind.KILL, FaultKind.STOP):
            self.start(*gateways)
        elif fault.kind == FaultKind.PAUSE:
            self.resume(*gateways)
        elif fault.kind in (FaultKind.CUT, FaultKind.IMPAIR):
            self.set_link_fault(NO_FAULT, gateways, self.other_side(fault), fault.direction)

    def other_side(self, fault: Fault) -> list[int] | str:
        """The other side of a link fault: gateways, or a party's name."""
        if not fault.other_side:
            return list(range(self.count))
        return gateway_numbers(fault.other_side, self.count) or fault.other_side

    # Questions.

    def ask(self, gateway: int, *words: bytes, within_s: float = ANSWER_WITHIN_S) -> bytes:
        """One command; returns the first line or the bulk string of the answer. Raises
        GatewayUnreachableError."""
        return self.queries.ask(gateway, *words, within_s=within_s)

    def view(self, gateway: int) -> dict[str, Any]:
        """What a gateway holds of the others (`granitedock fleet --json`)."""
        return self.queries.view(gateway)

    def host_verdicts(self, gateway: int) -> dict[str, Any]:
        """What a gateway knows of the hosts (`granitedock hosts --json`)."""
        return self.queries.host_verdicts(gateway)

    def member_states(self, gateway: int) -> dict[int, str]:
        """The state of each other gateway in the view of this one, by number."""
        return self.queries.member_states(gateway)

    def wait_for_agreement(self, gateways: Iterable[int], within_s: float) -> float:
        """Wait until each of these gateways holds exactly these live; the seconds it took. Raises
        DisagreementError."""
        live = set(gateways)
        began = time.monotonic()
        while True:
            views = {gateway: self.live_members_or_error(gateway) for gateway in live}
            if all(view == live for view in views.values()):
                return time.monotonic() - began
            if time.monotonic() - began > within_s:
                raise DisagreementError(within_s, live, views)
            time.sleep(POLL_S)

    def live_members_or_error(self, gateway: int) -> set[int] | str:
        """The gateways that this one holds live, or why it cannot be asked."""
        try:
            return self.queries.live_members(gateway)
        except ClusterError as error:
            return str(error)

    def wait_until_ready(self, *gateways: int, within_s: float = READY_WITHIN_S) -> None:
        """Wait until these gateways (all, if none is named) answer PING. Raises GatewayUnreachableError."""
        ends = time.monotonic() + within_s
        for gateway in gateways or range(self.count):
            while not self.answers_ping(gateway, ends):
                time.sleep(POLL_S)

    def answers_ping(self, gateway: int, until: float) -> bool:
        """Whether a gateway answers PING. Raises GatewayUnreachableError where it does not and has ended, or
        the steady clock is past `until`."""
        process = self.gateways[gateway]
        try:
            return self.ask(gateway, b"PING") == b"+PONG"
        except GatewayUnreachableError as error:
            if time.monotonic() > until or not process.is_running():
                log = process.log().read_text()[-LOG_END:]
                raise GatewayUnreachableError(error.gateway, error.cause, log) from None
            return False
