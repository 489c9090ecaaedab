"""A test cluster of real gateway processes on loopback, and the faults that are injected into it.

The cluster starts each gateway as a separate `granitedock serve` process, with emulated hosts, counter and
discovery, and proxies on all links between them. A test or a scenario's timeline kills (SIGKILL), pauses
(SIGSTOP), resumes (SIGCONT), stops (SIGTERM) and restarts gateways, and cuts or impairs links. The cluster
ends only the processes that it started, by their ids, also when a test fails. The emulators run on one
Twisted reactor in a thread of this process. Everything public in this module, apart from
`GatewayCluster.build`, may be called from any thread except the reactor's.
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
from granitedock.lab.cluster.queries import REPLY_TIMEOUT_S, GatewayQueries
from granitedock.lab.cluster.surroundings import Surroundings
from granitedock.lab.emulators.counter import CounterEmulator, ExpiringCounts
from granitedock.lab.emulators.discovery import DiscoveryEmulator
from granitedock.lab.emulators.hosts import HostEmulator
from granitedock.lab.fault_targets import Direction, FaultKind, gateway_numbers
from granitedock.lab.faults.link_faults import CUT, NO_FAULT, LinkFault
from granitedock.lab.faults.tcp_proxy import TcpProxy
from granitedock.lab.reactor import on_reactor
from granitedock.lab.scenario import Fault, Scenario

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
LOG_TAIL_CHARACTERS = 2000  # characters from the end of a gateway's log that an error includes


class GatewayCluster:
    """The gateways, emulators and proxies of a scenario, as a context manager that starts and ends them.

    Methods identify a gateway by its number.
    """

    def __init__(self, scenario: Scenario, directory: Path, membership: dict[str, Any] | None = None) -> None:
        """Claim a loopback network. Raises NoNetworkError.

        `membership` holds keys of the operators' membership file, which extend or replace those that the
        cluster fills in. It applies only if the scenario enables membership.
        """
        self.scenario = scenario
        self.directory = Path(directory)
        self.count = scenario.fleet.gateways
        self.network = LoopbackNetwork()
        self.surroundings = Surroundings(scenario, self.network)
        self.queries = GatewayQueries(self.network)
        self.gateways: list[GatewayProcess] = []
        self.membership_overrides = membership or {}
        self.began_s = time.monotonic()

    # Start and end.

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
        """Start the surroundings and write the membership files; call this in the reactor's thread."""
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
                        self.scenario, self.network, gateway, self.directory, self.membership_overrides
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
        """Restart the timeline of the emulators at the current time."""
        on_reactor(self.surroundings.restart_timeline)

    # Components.

    def gateway_host(self, gateway: int) -> str:
        """Return the address at which a gateway listens."""
        return self.network.gateway_host(gateway)

    def proxy_host(self, gateway: int) -> str:
        """Return the address of the proxy through which the other gateways reach a gateway."""
        return self.network.proxy_host(gateway)

    @property
    def hosts(self) -> list[HostEmulator]:
        """The emulated hosts."""
        return self.surroundings.hosts

    @property
    def counter(self) -> CounterEmulator:
        """The emulated counter that the gateways' platform files name."""
        return self.surroundings.counter

    @property
    def discoveries(self) -> list[DiscoveryEmulator]:
        """The emulated discoveries, one for each gateway in the order of their numbers."""
        return self.surroundings.discoveries

    @property
    def tcp_proxies(self) -> list[TcpProxy]:
        """The proxies of the TCP links from gateways to the counter, discovery and hosts."""
        return self.surroundings.tcp_proxies

    def host(self, name: str) -> HostEmulator:
        """Return the emulated host of this name ("zone/n")."""
        return self.surroundings.host(name)

    # Faults of hosts and the counter.

    def add_host_fault(
        self, name: str, kind: str, for_s: float = 0.0, rate: float = 1.0, factor: float = 1.0
    ) -> None:
        """Begin a fault of one host now; `kind` is a word of the scenario file. Raises ValueError."""
        on_reactor(self.surroundings.add_host_fault, name, FaultKind(kind), for_s, rate, factor)

    def clear_host_faults(self, name: str) -> None:
        """Remove all faults of a host."""
        on_reactor(self.surroundings.clear_host_faults, name)

    def restart_counter(self, counts: ExpiringCounts) -> None:
        """Emulate a crash and immediate restart of the counter, which then has these counts."""
        on_reactor(self.counter.restart, counts)

    def move_counter(self) -> None:
        """Start a new counter at another address, write it to the platform files and send SIGHUP."""
        addresses = on_reactor(self.surroundings.move_counter)
        for gateway, address in zip(self.gateways, addresses, strict=True):
            gateway.platform["counter"] = address
            gateway.write_platform_file()
            gateway.signal(signal.SIGHUP)

    # Faults of gateways.

    def start(self, *gateways: int) -> None:
        """Start gateways that are not running."""
        for gateway in gateways:
            on_reactor(self.surroundings.datagram_proxy.open, gateway_name(gateway))
            self.gateways[gateway].start()

    def end(self, gateways: Iterable[int], signal_number: int) -> list[int | None]:
        """End gateways by a signal that is sent to all before waiting for any; returns the exit codes."""
        gateways = list(gateways)
        for gateway in gateways:
            self.gateways[gateway].signal(signal_number)
        exit_codes = []
        for gateway in gateways:
            exit_codes.append(self.gateways[gateway].end(signal_number))
            on_reactor(self.surroundings.datagram_proxy.close, gateway_name(gateway))
        return exit_codes

    def kill(self, *gateways: int) -> None:
        """End gateways by SIGKILL."""
        self.end(gateways, signal.SIGKILL)

    def stop(self, *gateways: int) -> list[int | None]:
        """End gateways by SIGTERM, as a planned stop does; returns the exit codes."""
        return self.end(gateways, signal.SIGTERM)

    def restart(self, *gateways: int) -> None:
        """Kill gateways and start them again immediately."""
        self.kill(*gateways)
        self.start(*gateways)

    def pause(self, *gateways: int) -> None:
        """Pause gateways by SIGSTOP."""
        for gateway in gateways:
            self.gateways[gateway].pause()

    def resume(self, *gateways: int) -> None:
        """Resume paused gateways by SIGCONT."""
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
        """Set the fault of the links between `gateways` and `other_side`.

        `other_side` is the numbers of gateways, or the name of a party. `direction` is as seen from
        `gateways`, and a word of the scenario file.
        """
        links = links_between(gateways, other_side, Direction(direction))
        on_reactor(self.surroundings.link_faults.set, fault, links)

    def cut(
        self, gateways: Iterable[int], other_side: Iterable[int] | str, direction: str = Direction.BOTH
    ) -> None:
        """Cut these links; the arguments are those of `set_link_fault`."""
        self.set_link_fault(CUT, gateways, other_side, direction)

    def heal(self) -> None:
        """Remove the faults of all links."""
        on_reactor(self.surroundings.link_faults.heal)

    # Faults of a timeline.

    def begin_fault(self, fault: Fault) -> None:
        """Begin a fault of the timeline whose target is gateways; `end_fault` ends it."""
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
        """End a fault of the timeline whose target is gateways."""
        gateways = gateway_numbers(fault.target, self.count)
        if fault.kind in (FaultKind.KILL, FaultKind.STOP):
            self.start(*gateways)
        elif fault.kind == FaultKind.PAUSE:
            self.resume(*gateways)
        elif fault.kind in (FaultKind.CUT, FaultKind.IMPAIR):
            self.set_link_fault(NO_FAULT, gateways, self.other_side(fault), fault.direction)

    def other_side(self, fault: Fault) -> list[int] | str:
        """Return the other side of a link fault: the numbers of gateways, or the name of a party."""
        if not fault.other_side:
            return list(range(self.count))
        return gateway_numbers(fault.other_side, self.count) or fault.other_side

    # Queries.

    def ask(self, gateway: int, *words: bytes, within_s: float = REPLY_TIMEOUT_S) -> bytes:
        """Send one command and return the first line, or the bulk string, of the reply.

        Raises GatewayUnreachableError.
        """
        return self.queries.ask(gateway, *words, within_s=within_s)

    def view(self, gateway: int) -> dict[str, Any]:
        """Return a gateway's view of the membership (`granitedock fleet --json`)."""
        return self.queries.view(gateway)

    def host_verdicts(self, gateway: int) -> dict[str, Any]:
        """Return a gateway's verdicts on the hosts (`granitedock hosts --json`)."""
        return self.queries.host_verdicts(gateway)

    def member_states(self, gateway: int) -> dict[int, str]:
        """Return the state of each other gateway in the view of this one, by number."""
        return self.queries.member_states(gateway)

    def wait_for_agreement(self, gateways: Iterable[int], within_s: float) -> float:
        """Wait until each of these gateways sees exactly this set of gateways as live.

        Returns the seconds until the views agree. Raises DisagreementError after `within_s`.
        """
        live = set(gateways)
        start_s = time.monotonic()
        while True:
            views = {gateway: self.live_members_or_error(gateway) for gateway in live}
            if all(view == live for view in views.values()):
                return time.monotonic() - start_s
            if time.monotonic() - start_s > within_s:
                raise DisagreementError(within_s, live, views)
            time.sleep(POLL_INTERVAL_S)

    def live_members_or_error(self, gateway: int) -> set[int] | str:
        """Return the gateways that this one sees as live, or the error text if the query fails."""
        try:
            return self.queries.live_members(gateway)
        except ClusterError as error:
            return str(error)

    def wait_until_ready(self, *gateways: int, within_s: float = READY_TIMEOUT_S) -> None:
        """Wait until these gateways, or all if none is given, answer PING. Raises GatewayUnreachableError."""
        deadline_s = time.monotonic() + within_s
        for gateway in gateways or range(self.count):
            while not self.answers_ping(gateway, deadline_s):
                time.sleep(POLL_INTERVAL_S)

    def answers_ping(self, gateway: int, deadline_s: float) -> bool:
        """Return whether a gateway answers PING.

        Raises GatewayUnreachableError if it does not answer and either its process has ended or the monotonic
        clock is past `deadline_s`.
        """
        process = self.gateways[gateway]
        try:
            return self.ask(gateway, b"PING") == b"+PONG"
        except GatewayUnreachableError as error:
            if time.monotonic() > deadline_s or not process.is_running():
                log = process.log().read_text()[-LOG_TAIL_CHARACTERS:]
                raise GatewayUnreachableError(error.gateway, error.cause, log) from None
            return False
