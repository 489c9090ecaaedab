"""Endpoint lists that name several processes at one address, for a gateway on loopback sockets."""

import json
from typing import NamedTuple

from loopback import WATCH_RESPONSE_HEAD, chunk


class Entry(NamedTuple):
    """One entry of an endpoint list; `host` is the number of the host whose address it has."""

    name: str
    started_at_ms: float = 0
    lifecycle: str = "in_service"
    cell: int = 0
    host: int = 0


def endpoint_list(gateway, *entries, reset):
    gateway.version += 1
    instances = [
        {
            "instanceId": entry.name,
            "hostPort": gateway.hosts[entry.host].address,
            "startedAtMs": entry.started_at_ms,
            "lifecycle": entry.lifecycle,
            "cell": entry.cell,
        }
        for entry in (Entry(*fields) for fields in entries)
    ]
    return {"generation": gateway.version, "reset": reset, "instances": instances}


def send_entries(gateway, *entries, reset=False):
    """Send a list of these entries, by default at the address of the first host."""
    watch = gateway.newest_watch()
    head = b"" if getattr(watch, "head_sent", False) else WATCH_RESPONSE_HEAD
    watch.head_sent = True
    watch.send(head + chunk(json.dumps(endpoint_list(gateway, *entries, reset=reset)).encode() + b"\n"))
    gateway.run_loop()


def ready_hosts(gateway):
    return {host.name for host in gateway.state_machine.policy.load_balancer.ready}
