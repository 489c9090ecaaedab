"""The endpoint list: the hosts as last received from discovery.

Owns the endpoints by name. The policy decides which of the listed processes run (`address_ownership`) and
which gets an attempt; the watch that receives the list is in `discovery_watch`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from granitedock.policy.address_ownership import AddressOwnership
from granitedock.policy.types import EndpointStatus, EndpointUpdate
from granitedock.service import counter_names
from granitedock.service.host_connection import Endpoint
from granitedock.service.lifecycle import LifecycleEvent

if TYPE_CHECKING:
    from granitedock.policy.address_ownership import Supersession
    from granitedock.policy.gateway import Gateway
    from granitedock.policy.types import EndpointEntry
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
        self.by_name: dict[str, Endpoint] = {}  # Those gone too, while attempts there are in flight.
        self.ownership = AddressOwnership()
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
        change = self.ownership.update(listing.entries, listing.complete)
        replaced = self._pop_replaced(change.running)
        running = [endpoint_update(self._endpoint_of(entry), entry) for entry in change.running]
        removed = [self.by_name[entry.name] for entry in change.removed if entry.name in self.by_name]
        ended = [*replaced, *removed, *self._superseded(change.superseded)]
        self.policy.update_endpoints([*running, *map(removal, ended)], listing.complete)
        known = [*replaced, *self.by_name.values()]
        not_ready = [endpoint for endpoint in known if endpoint.status is not EndpointStatus.READY]
        self._set_successors(not_ready)
        for endpoint in not_ready:
            self._stop_using(endpoint)
        if self.outlier_detector is not None:
            self.outlier_detector.update_hosts(self.by_name, self.context.now)

    def _pop_replaced(self, running: list[EndpointEntry]) -> list[Endpoint]:
        """Remove and return the endpoints of hosts that are another process now, or at another address.

        What is known of such an endpoint says nothing of the process that follows it. One that has had a
        successor, which has left its address, is not used again either.
        """
        known = ((entry, self.by_name.get(entry.name)) for entry in running)
        replaced = [
            endpoint
            for entry, endpoint in known
            if endpoint and (endpoint.successor or not endpoint.is_process(entry))
        ]
        for endpoint in replaced:
            del self.by_name[endpoint.name]
        return replaced

    def _endpoint_of(self, entry: EndpointEntry) -> Endpoint:
        """Return the endpoint of a process that runs."""
        endpoint = self.by_name.get(entry.name)
        if endpoint is None:
            endpoint = self.by_name[entry.name] = new_endpoint(entry)
        return endpoint

    def _superseded(self, supersessions: list[Supersession]) -> list[Endpoint]:
        """Return the endpoints whose address belongs to a process started later, which is their successor.

        Prevents attempts at a process that has ended from reaching the one at its address, which may be
        another host, cold and not counted, and may not drop repeats of what the first one has run.
        """
        superseded = []
        for ended, owner in supersessions:
            self.context.event_log.event("host superseded", host=ended.name, by=owner.name)
            endpoint = self.by_name.get(ended.name)
            if endpoint is not None:
                if owner.name not in self.by_name:
                    endpoint.successor = endpoint.successor or new_endpoint(owner)  # It has ended as well.
                superseded.append(endpoint)
        return superseded

    def _set_successors(self, not_ready: list[Endpoint]) -> None:
        """Set the successor of each endpoint that is gone, if another process has its address now.

        Attempts that are in flight at the endpoint may have reached that process, also if the end of the
        first one was told before it.
        """
        gone = [endpoint for endpoint in not_ready if endpoint.status is EndpointStatus.GONE]
        if not gone:
            return
        listed = [
            endpoint for endpoint in self.by_name.values() if endpoint.status is not EndpointStatus.GONE
        ]
        owners = {endpoint.address: endpoint for endpoint in listed if endpoint.address}
        for endpoint in gone:
            if endpoint.successor is None:
                endpoint.successor = owners.get(endpoint.address)

    def _stop_using(self, endpoint: Endpoint) -> None:
        """Close the idle connections of an endpoint that drains or is gone, and bound deliveries to it."""
        if endpoint.idle:
            self.hosts.close_idle(endpoint)
        self.delivery_bounds.drain_started(endpoint)
        is_over = endpoint.status is EndpointStatus.GONE and not endpoint.health.in_flight
        if is_over and self.by_name.get(endpoint.name) is endpoint:
            del self.by_name[endpoint.name]  # Bounds the memory, since new hosts have new names.


def new_endpoint(entry: EndpointEntry) -> Endpoint:
    """Return the endpoint of a process of which nothing is known but its entry."""
    return Endpoint(
        name=entry.name,
        address=entry.address,
        zone=entry.zone,
        cell=entry.cell,
        started_at=entry.started_at,
    )


def endpoint_update(endpoint: Endpoint, entry: EndpointEntry) -> EndpointUpdate:
    """Return the update that applies an entry to the endpoint of its process."""
    return EndpointUpdate(
        endpoint,
        entry.size,
        entry.machine_type,
        entry.zone,
        entry.cell,
        entry.started_at,
        entry.status,
    )


def removal(endpoint: Endpoint) -> EndpointUpdate:
    """Return the update that removes an endpoint."""
    return EndpointUpdate(
        endpoint,
        endpoint.size,
        endpoint.machine_type,
        endpoint.zone,
        endpoint.cell,
        endpoint.started_at,
        EndpointStatus.GONE,
    )
