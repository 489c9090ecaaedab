"""The endpoint list: the hosts as last received from discovery.

Owns the endpoints by name. The policy decides which of the listed processes run (`address_ownership`) and
which gets an attempt; the watch that receives the list is in `discovery_watch`.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any, Protocol
from weakref import WeakValueDictionary

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
        # By address, the last endpoint to be gone from there, while a request has attempts at it.
        self.last_gone: MutableMapping[str, Endpoint] = WeakValueDictionary()
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
        started = [self._new_endpoint(entry) for entry in change.running if entry.name not in self.by_name]
        running = [endpoint_update(self.by_name[entry.name], entry) for entry in change.running]
        removed = [self.by_name[entry.name] for entry in change.removed if entry.name in self.by_name]
        ended = [*replaced, *removed, *self._superseded(change.superseded)]
        self.policy.update_endpoints([*running, *map(EndpointUpdate.removal, ended)], listing.complete)
        self._link_successors(ended, started, change.superseded)
        for endpoint in [*replaced, *self.by_name.values()]:
            if endpoint.status is not EndpointStatus.READY:
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

    def _new_endpoint(self, entry: EndpointEntry) -> Endpoint:
        endpoint = self.by_name[entry.name] = new_endpoint(entry)
        return endpoint

    def _superseded(self, supersessions: list[Supersession]) -> list[Endpoint]:
        """Return the endpoints whose address belongs to a process started later.

        Prevents attempts at a process that has ended from reaching the one at its address, which may be
        another host, cold and not counted, and may not drop repeats of what the first one has run.
        """
        for ended, owner in supersessions:
            self.context.event_log.event("host superseded", host=ended.name, by=owner.name)
        names = (ended.name for ended, _ in supersessions)
        return [self.by_name[name] for name in names if name in self.by_name]

    def _link_successors(
        self, ended: list[Endpoint], started: list[Endpoint], supersessions: list[Supersession]
    ) -> None:
        """Link the endpoints that are gone to the processes that have taken their addresses since.

        Attempts at the one may have reached the other, which may have ended as well by now.
        """
        for endpoint in ended:
            if endpoint.successor is None and endpoint.address:
                self._follow(endpoint)
                self.last_gone[endpoint.address] = endpoint
        for _, owner in supersessions:
            if owner.name not in self.by_name:
                endpoint = new_endpoint(owner)  # It has ended, and was perhaps never used.
                if self._follow(endpoint):
                    self.last_gone[endpoint.address] = endpoint
        for endpoint in started:
            self._follow(endpoint)

    def _follow(self, endpoint: Endpoint) -> bool:
        """Make an endpoint the successor of the last one that is gone from its address, if that has none."""
        before = self.last_gone.get(endpoint.address)
        if before is None or before is endpoint or before.successor is not None:
            return False
        before.successor = endpoint
        return True

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
