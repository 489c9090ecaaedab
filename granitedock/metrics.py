"""The counters of running gateways as Prometheus reads them: asked for at each look, in a process of its own.

A gateway's own process keeps plain counters and answers them in one reply (INFO): nothing of this is imported
there, so that a start costs no more. One that does not answer is told as such, and the others stay.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator

from click import ClickException
from prometheus_client import CollectorRegistry, generate_latest, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

NOW = "_now"  # figures with this ending are of the moment, the others only grow
NAME = re.compile(r"[a-z][a-z0-9_]*").fullmatch


def figures(told: bytes) -> dict[str, int]:
    """The counters of a reply, by name; lines that are none are left out."""
    found = {}
    for line in told.decode("utf-8", "replace").splitlines():
        name, _, number = line.partition(":")
        if NAME(name) and number.isdigit():
            found[name] = int(number)
    return found


class Gateways:
    """A collector: asks every gateway when it is looked at."""

    def __init__(self, addresses: tuple[str, ...], ask: Callable[[str], bytes]) -> None:
        self.addresses, self.ask = addresses, ask

    def collect(self) -> Iterator[Metric]:
        up = GaugeMetricFamily("granitedock_up", "Whether the gateway answered.", labels=["gateway"])
        families: dict[str, Metric] = {}
        for address in self.addresses:
            try:
                told = figures(self.ask(address))
            except ClickException:
                up.add_metric([address], 0)
                continue
            up.add_metric([address], 1)
            for name, number in sorted(told.items()):
                family = families.get(name)
                if family is None:
                    kind = GaugeMetricFamily if name.endswith(NOW) else CounterMetricFamily
                    family = families[name] = kind(
                        f"granitedock_{name}", f"The gateway's own figure '{name}'.", labels=["gateway"]
                    )
                family.add_metric([address], number)
        yield up
        yield from families.values()


def registry(collector: Gateways) -> CollectorRegistry:
    made = CollectorRegistry(auto_describe=False)
    made.register(collector)
    return made


def text(collector: Gateways) -> str:
    return generate_latest(registry(collector)).decode()


def serve(collector: Gateways, listen: str, say: Callable[[str], None]) -> None:
    """Until interrupted. Raises OSError or ValueError for an address that cannot be listened at."""
    host, _, port = listen.rpartition(":")
    server, thread = start_http_server(int(port), host or "127.0.0.1", registry(collector))
    say(f"metrics at http://{host or '127.0.0.1'}:{server.server_port}/metrics")
    try:
        while thread.is_alive():
            time.sleep(0.5)
    except KeyboardInterrupt:
        server.shutdown()
