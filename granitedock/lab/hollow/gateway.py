"""One hollow gateway: the real state machine, membership and configuration, without clients."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, cast

from granitedock.lab.hollow.gateway_io import EventCounts, HollowIO
from granitedock.lab.hollow.messages import GatewayState, HollowOrder
from granitedock.lab.hollow.version_times import record_version
from granitedock.lab.scale.platform import platform_file

# Imported here and not where it is used: an import while the first watch connects blocks the event loop for
# longer than the connect timeout.
from granitedock.membership.settings import MembershipFile
from granitedock.membership_services import MembershipServices
from granitedock.service.clock import MS_PER_S
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits

if TYPE_CHECKING:
    from granitedock.lab.hollow.timed_attachment import TimedAttachment
    from granitedock.service.ports import GatewayIO

MEMBERSHIP_PORT = 7946
ADDRESSES_PER_SUBNET = 250


def unix_ms() -> float:
    """Return the current time as Unix ms."""
    return time.time() * MS_PER_S


def membership_address(net: int, number: int) -> str:
    """Return the membership address of gateway `number` on the loopback net 127.`net`."""
    subnet = number // ADDRESSES_PER_SUBNET + 1
    host = number % ADDRESSES_PER_SUBNET + 1
    return f"127.{net}.{subnet}.{host}:{MEMBERSHIP_PORT}"


def gateway_contents(order: HollowOrder, number: int, name: str) -> dict[str, Any]:
    """Return the platform file of one hollow gateway, which has no counter."""
    contents = platform_file(name=name, discovery=order.discovery)
    settings = contents["settings"]
    settings["Specifics"]["Counter"] = False
    settings["Balancers"] = order.gateways
    settings["Me"] = number
    return contents


class HollowGateway:
    """One gateway without clients."""

    def __init__(self, reactor: Any, order: HollowOrder, number: int) -> None:
        self.reactor = reactor
        self.order = order
        self.number = number
        self.state = GatewayState(f"gateway-{number:04d}")
        self.event_log = EventCounts()
        contents = gateway_contents(order, number, self.state.name)
        limits = Limits.from_platform_file(contents)
        self.settings: dict[str, Any] = contents["settings"]
        hollow_io = HollowIO(
            reactor, unix_ms, self.handle_input, limits, order.discovery, self.event_log.counts
        )
        io = cast("GatewayIO", hollow_io)  # it lacks only the methods for clients, hosts and the counter
        self.state_machine = GatewayStateMachine(
            GatewayParameters(unix_ms(), limits, self.settings, number, None, io, self.event_log)
        )
        self.membership: MembershipServices | None = None
        self.configuration: TimedAttachment | None = None

    def handle_input(self, input_kind: Input, *arguments: Any) -> None:
        """Pass one input to the state machine, and carry out its effects."""
        lists_before = self.event_log.counts["lists"]
        for action, *values in self.state_machine.handle(unix_ms(), input_kind, *arguments):
            action(*values)
        if self.event_log.counts["lists"] != lists_before:
            self.state.list_version = self.state_machine.watch.version
            record_version(self.state.list_at, self.state.list_version)

    def start(self) -> None:
        """Start the state machine, then membership and the configuration if the order asks for them."""
        self.state.started_at = time.monotonic()
        self.handle_input(Input.START)
        if self.order.membership_net:
            self.membership = self.make_membership()
            self.membership.start()
        if self.order.control:
            self.configuration = self.make_configuration()
            self.configuration.start()

    def make_configuration(self) -> TimedAttachment:
        """Return the gateway's attachment to the configuration service."""
        from granitedock.configuration.settings import GatewayFile
        from granitedock.lab.hollow.timed_attachment import TimedAttachment

        file = GatewayFile(enabled=True, cluster=self.order.cluster, control=self.order.control)
        return TimedAttachment(
            file,
            self.state.name,
            self.state_machine,
            self.reactor,
            unix_ms,
            self.event_log,
            self.state.version_at,
        )

    def make_membership(self) -> MembershipServices:
        """Return the gateway's membership at its own address; the first gateway is the seed."""
        net = self.order.membership_net
        file = MembershipFile(
            enabled=True,
            cluster=self.order.cluster,
            listen=membership_address(net, self.number),
            seeds=[membership_address(net, 0)],
        )
        started_at = int(unix_ms())
        return MembershipServices(
            file, self.state.name, self.settings, started_at, self.reactor, self.event_log
        )

    def status(self) -> GatewayState:
        """Return the current state of the gateway."""
        self.state.counts = dict(self.event_log.counts)
        if self.membership is not None:
            self.state.live = len(self.membership.transport.live_names)
        if self.configuration is not None:
            document = self.configuration.document
            self.state.version = document.version
            self.state.digest = f"{document.digest:032x}"
            self.state.counts |= self.configuration.follower.counts
        return self.state
