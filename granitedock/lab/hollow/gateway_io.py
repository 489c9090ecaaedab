"""The event loop's side of a hollow gateway: timers, the watch on discovery, and counters for a log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from granitedock.service.callbacks import InputHandler
from granitedock.service.clock import MS_PER_S
from granitedock.service.connector import Connector
from granitedock.service.discovery_protocol import DiscoveryWatchProtocol
from granitedock.service.inputs import Input
from granitedock.service.limits import Limits
from granitedock.service.timers import Timer

if TYPE_CHECKING:
    from granitedock.service.discovery_watch import Watch


class EventCounts:
    """Counters of one hollow gateway, in place of its event log: log lines are counted and dropped."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, _event: str, /, **_figures: Any) -> None:
        """Count a log line."""
        self.counts["log_lines"] += 1


class CountingWatchProtocol(DiscoveryWatchProtocol):
    """A watch that counts the bytes received."""

    def __init__(
        self, handle_input: InputHandler, address: str, limits: Limits, counts: Counter[str]
    ) -> None:
        super().__init__(handle_input, address, limits)
        self.counts = counts

    def dataReceived(self, data: bytes) -> None:
        """Count the bytes of an endpoint list, and parse them."""
        self.counts["watch_bytes"] += len(data)
        super().dataReceived(data)


class HollowIO:
    """The timers and the watch of the `GatewayIO` that a state machine uses.

    It connects to no host and no counter and accepts no client, as no input requires them without clients.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        handle_input: InputHandler,
        limits: Limits,
        discovery: str,
        counts: Counter[str],
    ) -> None:
        """`clock` returns Unix ms; `discovery` is an address."""
        self.reactor = reactor
        self.clock = clock
        self.handle_input = handle_input
        self.limits = limits
        self.discovery = discovery
        self.counts = counts
        self.watch_connector = Connector(
            reactor, handle_input, self.make_watch, Input.WATCH_DISCONNECTED, limits.watch_connect_ms
        )

    def make_watch(self) -> CountingWatchProtocol:
        """Return the protocol of a new connection to discovery."""
        return CountingWatchProtocol(self.handle_input, self.discovery, self.limits, self.counts)

    def start_timer(self, timer: Timer) -> None:
        """Schedule the timer's input for its time; a timer cancelled by then has no effect."""
        wait_s = max(0.0, timer.due - self.clock()) / MS_PER_S
        self.reactor.callLater(wait_s, self.timer_expired, timer)

    def timer_expired(self, timer: Timer) -> None:
        """Pass the timer's input to the state machine, unless the timer was cancelled."""
        if timer.input is not None:
            self.handle_input(timer.input, *timer.arguments)

    def timer_count(self) -> int:
        """Return 0: timers are not counted here."""
        return 0

    def connect_watch(self, watch: Watch) -> None:
        """Connect to discovery."""
        self.watch_connector.connect(watch, self.discovery)
