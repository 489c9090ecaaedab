"""A real gateway process of a test cluster, with its platform file and its logs."""

from __future__ import annotations

import resource
import signal
import subprocess
import sys
import time
from math import inf
from pathlib import Path
from typing import Any

import orjson

from granitedock.lab.load.generator import Interval

STOP_TIMEOUT_S = 10.0
# Starts a gateway without `rich`, which only packages for development install, and which structlog imports if
# it is there: 3.5 MiB of memory.
AS_DEPLOYED = "import sys; sys.modules['rich'] = None; from granitedock.__main__ import main; main()"


def gateway_name(number: int) -> str:
    """Return a gateway's name in scenarios and link faults."""
    return f"gateway/{number}"


class GatewayProcess:
    """A gateway: its platform file, and the process that was last started with it."""

    def __init__(self, number: int, directory: Path, platform: dict[str, Any], options: list[str]) -> None:
        """`platform` is the platform file without its seed; `options` are additional options of `serve`."""
        self.name = gateway_name(number)
        self.number = number
        self.directory = directory
        self.platform = platform
        self.options = options
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.paused = False
        self.pauses: list[Interval] = []
        self.kills: list[Interval] = []  # From SIGKILL to the end of the process.

    def is_running(self) -> bool:
        """Return whether the process has started and not ended; a paused process counts as running."""
        return self.process is not None and self.process.poll() is None

    def log(self, start: int | None = None) -> Path:
        """Return the path of the log of a start, numbered from 1; the default is the last start."""
        return self.directory / f"g{self.number}.{self.starts if start is None else start}.log"

    def platform_path(self) -> Path:
        """Return the path of the platform file."""
        return self.directory / f"g{self.number}.json"

    def write_platform_file(self) -> None:
        """Write the platform file, with a different seed for each start."""
        seed = {"seed": f"{self.number:08x}{self.starts:08x}"}
        self.platform_path().write_bytes(orjson.dumps(self.platform | seed))

    def start(self) -> None:
        """Start the process, which must not be running."""
        assert not self.is_running()
        self.starts += 1
        self.write_platform_file()
        command = [sys.executable, "-c", AS_DEPLOYED, "serve", "--told", str(self.platform_path())]
        with open(self.log(), "wb") as log:
            self.process = subprocess.Popen(
                [*command, *self.options], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        sockets = self.platform["limits"]["sockets"]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        self.paused = False

    def signal(self, number: int) -> None:
        """Send a signal, if the process is running."""
        if self.process is not None and self.is_running():
            if number == signal.SIGKILL:
                self.kills.append(Interval(time.monotonic(), inf))
            self.process.send_signal(number)

    def pause(self) -> None:
        """Pause the process by SIGSTOP."""
        self.paused = True
        self.pauses.append(Interval(time.monotonic(), inf))
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the paused process by SIGCONT."""
        self.signal(signal.SIGCONT)
        self.paused = False
        self.pauses[-1].ended_s = time.monotonic()

    def end(self, number: int, within_s: float = STOP_TIMEOUT_S) -> int | None:
        """Send the signal, wait until the process has ended and return its exit code.

        A process that does not end within `within_s` is killed. Returns None if no process was ever started.
        """
        if self.process is None:
            return None
        if self.paused and number != signal.SIGKILL:
            self.signal(signal.SIGCONT)
        self.signal(number)
        try:
            exit_code = self.process.wait(within_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            exit_code = self.process.wait()
        ended_s = time.monotonic()
        for kill in self.kills:
            kill.ended_s = min(kill.ended_s, ended_s)
        return exit_code

    def events(self) -> list[dict[str, Any]]:
        """Return the events of the logs of all starts, each with the number of its `start`.

        A line that is not JSON is left out, such as one that is still being written.
        """
        events = []
        for start in range(1, self.starts + 1):
            for line in self.log(start).read_bytes().splitlines():
                try:
                    events.append(orjson.loads(line) | {"start": start})
                except orjson.JSONDecodeError:
                    continue
        return events
