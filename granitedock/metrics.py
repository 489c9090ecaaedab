"""A Prometheus exporter for the counters of running gateways, in a separate process.

Each scrape queries the gateways with the command INFO, to which a gateway replies with all its counters. The
gateway process does not import this module or the Prometheus client, so its start-up time does not grow. A
gateway that does not answer is reported as down; the metrics of the others are exported as usual.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator

from click import ClickException
from prometheus_client import CollectorRegistry, generate_latest, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

GAUGE_SUFFIX = "_now"  # Marks a figure that is exported as a gauge; all others are counters.
DEFAULT_HOST = "127.0.0.1"
SHUTDOWN_POLL_S = 0.5
is_metric_name = re.compile(r"[a-z][a-z0-9_]*").fullmatch


def parse_counters(reply: bytes) -> dict[str, int]:
    """Parse a reply to INFO into counters by name; lines of another form are skipped."""
    counters = {}
    for line in reply.decode("utf-8", "replace").splitlines():
        name, _, number = line.partition(":")
        if is_metric_name(name) and number.isdigit():
            counters[name] = int(number)
    return counters


class GatewayCollector(Collector):
    """A Prometheus collector that queries all gateways at each scrape."""

    def __init__(self, addresses: tuple[str, ...], query: Callable[[str], bytes]) -> None:
        """Create a collector; `query` returns the INFO reply of the gateway at an address.

        `query` raises ClickException for a gateway that does not answer.
        """
        self.addresses = addresses
        self.query = query

    def collect(self) -> Iterator[Metric]:
        """Yield `granitedock_up`, then a metric family for each counter, labelled by gateway."""
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
    """Create an empty metric family for the counter of this name."""
    family_class = GaugeMetricFamily if name.endswith(GAUGE_SUFFIX) else CounterMetricFamily
    return family_class(f"granitedock_{name}", f"The gateway's own figure '{name}'.", labels=["gateway"])


def registry_of(collector: GatewayCollector) -> CollectorRegistry:
    """Create a registry for this collector alone; registration does not query the gateways."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return registry


def exposition_text(collector: GatewayCollector) -> str:
    """Return one scrape in Prometheus's text exposition format."""
    return generate_latest(registry_of(collector)).decode()


def serve(collector: GatewayCollector, listen: str, echo: Callable[[str], None]) -> None:
    """Serve scrapes over HTTP until a KeyboardInterrupt.

    Raises OSError or ValueError if the process can't listen at `listen`, HOST:PORT.
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
