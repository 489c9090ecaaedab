"""A process of hollow gateways, run as `python -m granitedock.lab.hollow`.

The process prints `"ready"` as its first line. The first line on standard input is a `HollowOrder` as JSON,
and each further line is `{"status": true}`. The process answers each of them with a `HollowStatus` as JSON,
the order as soon as it has scheduled the start of the gateways.
"""

from __future__ import annotations

import gc
import sys
import time
from dataclasses import asdict
from typing import Any

from granitedock.lab.emulators.process import run_until_sigterm
from granitedock.lab.hollow.gateway import HollowGateway
from granitedock.lab.hollow.messages import HollowOrder, HollowStatus
from granitedock.lab.reactor import REACTOR
from granitedock.lab.scale.command_server import serve_commands

START_SPREAD_S = 0.5  # the starts of one process's gateways are spread over this time
STATUS_COMMAND = "status"


class HollowProcess:
    """The hollow gateways of one process."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.gateways: list[HollowGateway] = []

    def handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out an order, if the command is one, and return the status as JSON fields."""
        if STATUS_COMMAND not in command:
            self.start(HollowOrder(**command))
        return asdict(self.status())

    def start(self, order: HollowOrder) -> None:
        """Start all gateways of the order, spread evenly over `START_SPREAD_S`."""
        for index in range(order.count):
            gateway = HollowGateway(self.reactor, order, order.first + index)
            self.gateways.append(gateway)
            self.reactor.callLater(START_SPREAD_S * index / order.count, gateway.start)

    def status(self) -> HollowStatus:
        """Return the current state of all gateways."""
        from granitedock.lab.scale.probe import memory_mb

        states = [gateway.status() for gateway in self.gateways]
        return HollowStatus(time.process_time(), memory_mb(), states)


def main() -> int:
    """Run until SIGTERM or the end of standard input."""
    gc.disable()  # a collection would traverse all gateways of this process; a real process has only one
    serve_commands(REACTOR, HollowProcess(REACTOR).handle_command)
    return run_until_sigterm("ready")


if __name__ == "__main__":
    sys.exit(main())
