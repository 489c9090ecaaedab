"""The counters of running gateways as Prometheus metrics, queried at each scrape, in a process of its own.

A gateway's own process keeps plain counters and sends them in one reply (INFO): nothing of this module is
imported there, so that its start costs no more. A gateway that does not answer is reported as down; the
others' metrics stay.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator

from click import ClickException
from prometheus_client import CollectorRegistry, generate_latest, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

GAUGE_SUFFIX = "_now"  # figures with this ending are gauges, the others counters
DEFAULT_HOST = "127.0.0.1"
SHUTDOWN_POLL_S = 0.5
is_metric_name = re.compile(r"[a-z][a-z0-9_]*").fullmatch


def parse_counters(reply: bytes) -> dict[str, int]:
    """The counters in a reply to INFO, by name; lines of another form are skipped."""
    counters = {}
    for line in reply.decode("utf-8", "replace").splitlines():
        name, _, number = line.partition(":")
        if is_metric_name(name) and number.isdigit():
            counters[name] = int(number)
    return counters


class GatewayCollector(Collector):
    """A Prometheus collector that queries each gateway when it is scraped."""

    def __init__(self, addresses: tuple[str, ...], query: Callable[[str], bytes]) -> None:
        """`query` gives the reply to INFO of the gateway at an address, or raises ClickException."""
        self.addresses = addresses
        self.query = query

    def collect(self) -> Iterator[Metric]:
        """One metric family for each counter, labelled by gateway, after `granitedock_up`."""
        up = GaugeMetricFamily("granitedock_up", "Whether the gateway answered.", labels=["gateway"])
        families: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
        for address in self.addresses:
            try:
                counters = parse_counters(self.query(address))
            except ClickException:
                up.add_metric([address], 0)
                continue
            up.add_metric([address], 1)
            for name, number in sorted(counters.items()):
                if name not in families:
                    families[name] = metric_family(name)
                families[name].add_metric([address], number)
        yield up
        yield from families.values()


def metric_family(name: str) -> CounterMetricFamily | GaugeMetricFamily:
    """An empty metric family for the counter of this name."""
    family = GaugeMetricFamily if name.endswith(GAUGE_SUFFIX) else CounterMetricFamily
    return family(f"granitedock_{name}", f"The gateway's own figure '{name}'.", labels=["gateway"])


def registry_of(collector: GatewayCollector) -> CollectorRegistry:
    """A registry that holds this collector alone and doesn't query it on registration."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return registry


def exposition_text(collector: GatewayCollector) -> str:
    """One scrape in Prometheus's text exposition format."""
    return generate_latest(registry_of(collector)).decode()


def serve(collector: GatewayCollector, listen: str, echo: Callable[[str], None]) -> None:
    """Serve scrapes over HTTP until interrupted.

    Raises OSError or ValueError if `listen`, HOST:PORT, can't be listened at.
    """
    host, _, port = listen.rpartition(":")
    host = host or DEFAULT_HOST
    server, thread = start_http_server(int(port), host, registry_of(collector))
    echo(f"metrics at http://{host}:{server.server_port}/metrics")
    try:
        while thread.is_alive():
            time.sleep(SHUTDOWN_POLL_S)
    except KeyboardInterrupt:
        server.shutdown()
