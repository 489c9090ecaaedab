"""The endpoint list: the hosts as last received from discovery.

Owns the endpoints by name and their addresses. The policy decides which of them gets an attempt; the watch
that receives the list is in `discovery_watch`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from granitedock.policy.types import EndpointStatus, EndpointUpdate, Host
from granitedock.service import counter_names
from granitedock.service.host_connection import Endpoint
from granitedock.service.lifecycle import LifecycleEvent

if TYPE_CHECKING:
    from granitedock.policy.gateway import Gateway
    from granitedock.service.context import Context
    from granitedock.service.delivery_bounds import DeliveryBounds
    from granitedock.service.discovery_protocol import EndpointListUpdate
    from granitedock.service.discovery_watch import DiscoveryWatch, Watch
    from granitedock.service.host_connections import HostConnections
    from granitedock.service.lifecycle import Lifecycle


class EndpointListener(Protocol):
    """A listener for endpoint updates: the outlier detector, if gateways share their observations."""

    # The values are typed as Any because the detector takes them as `Host`.
    def update_hosts(self, hosts: dict[str, Any], now: float) -> None:
        """Apply a changed list, given as the endpoints by name; `now` is Unix ms."""
        ...


class EndpointList:
    """The endpoints of one gateway."""

    hosts: HostConnections
    delivery_bounds: DeliveryBounds
    lifecycle: Lifecycle
    watch: DiscoveryWatch
    policy: Gateway

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_name: dict[str, Endpoint] = {}
        self.outlier_detector: EndpointListener | None = None

    def attach(
        self,
        hosts: HostConnections,
        delivery_bounds: DeliveryBounds,
        lifecycle: Lifecycle,
        watch: DiscoveryWatch,
        policy: Gateway,
    ) -> None:
        """Set the state machines that this one calls."""
        self.hosts = hosts
        self.delivery_bounds = delivery_bounds
        self.lifecycle = lifecycle
        self.watch = watch
        self.policy = policy

    def received(self, watch: Watch, listing: EndpointListUpdate | None) -> None:
        """Handle a line of a watch: an endpoint update, or None for a heartbeat."""
        if not self.watch.line_received(watch, None if listing is None else listing.version):
            return
        if listing is not None:
            self.update(listing)
        self.lifecycle.signal(LifecycleEvent.ENDPOINTS_RECEIVED)

    def update(self, listing: EndpointListUpdate) -> None:
        """Apply an endpoint update, either a complete list or a change of some endpoints."""
        self.context.counts[counter_names.LISTS] += 1
        updates = []
        claimed: dict[str, Endpoint] = {}  # By address, the endpoints of new processes.
        for entry in listing.entries:
            endpoint = self.by_name.get(entry.name)
            if endpoint is None:
                if entry.status is EndpointStatus.GONE:
                    continue
                endpoint = self.by_name[entry.name] = Endpoint(address=entry.address, name=entry.name)
            moved = entry.address and entry.address != endpoint.address
            is_new = endpoint.health is None
            if is_new or entry.started_at > endpoint.started_at or moved:
                endpoint.address = entry.address or endpoint.address
                endpoint.incarnation += 1
                claimed[endpoint.address] = endpoint
                self.hosts.close_idle(endpoint)  # Idle connections lead to a process that has ended.
            updates.append(
                EndpointUpdate(
                    endpoint,
                    entry.size,
                    entry.machine_type,
                    entry.zone,
                    entry.cell,
                    entry.started_at,
                    entry.status,
                )
            )
        updates += self._superseded(claimed, {update.host: update.started_at for update in updates})
        self.policy.update_endpoints(updates, listing.complete)
        for name, endpoint in list(self.by_name.items()):
            if endpoint.status is not EndpointStatus.READY:
                if endpoint.idle:
                    self.hosts.close_idle(endpoint)
                self.delivery_bounds.drain_started(endpoint)
            if endpoint.status is EndpointStatus.GONE and not endpoint.health.in_flight:
                del self.by_name[name]  # Bounds the memory, since new hosts have new names.
        if self.outlier_detector is not None:
            self.outlier_detector.update_hosts(self.by_name, self.context.now)

    def _superseded(
        self, claimed: dict[str, Endpoint], started_at: dict[Host, float]
    ) -> list[EndpointUpdate]:
        """Return updates that remove the endpoints whose address belongs to a process started later.

        Prevents attempts at a host that is gone from reaching the new process at its address, which is
        another host, cold and not counted. `started_at` has the starts that the current list states.
        """
        superseded = []
        for endpoint in self.by_name.values():
            owner = claimed.get(endpoint.address, endpoint)
            start = started_at.get(endpoint, endpoint.started_at)
            if owner is not endpoint and started_at[owner] > start:
                self.context.event_log.event("host superseded", host=endpoint.name, by=owner.name)
                superseded.append(
                    EndpointUpdate(
                        endpoint,
                        endpoint.size,
                        endpoint.machine_type,
                        endpoint.zone,
                        endpoint.cell,
                        start,
                        EndpointStatus.GONE,
                    )
                )
        return superseded
