"""One gateway: started by the line `run` of the deploy file, as a process of its own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_S = 10.0


def free_address(host: str = "127.0.0.1") -> str:
    """Return a free address on loopback."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Gateway:
    """A gateway with its platform file in a temporary folder."""

    def __init__(self, folder: Path, contents: dict[str, Any]) -> None:
        self.folder = folder / contents["name"]
        self.folder.mkdir(exist_ok=True)
        self.file = self.folder / "config.json"
        self.contents = contents
        self.address: str = contents["listen"]
        self.write_file()

    def write_file(self) -> None:
        """Write the platform file."""
        written = self.file.with_suffix(".new")
        written.write_text(json.dumps(self.contents))
        written.replace(self.file)

    def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.folder),
            "LB_NAME": self.contents["name"],
            "LB_LISTEN": self.address,
            "LB_DISCOVERY": self.contents["discovery"],
            "LB_CONFIG": str(self.file),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait for PONG; raises TimeoutError or RuntimeError."""
        host, port = self.address.rsplit(":", 1)
        async with asyncio.timeout(READY_S):
            while True:
                if self.process.poll() is not None:
                    raise RuntimeError("the gateway has ended: " + (self.folder / "log").read_text()[-2000:])
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    line = await reader.readline()
                    writer.close()
                    if line == b"+PONG\r\n":
                        return
                except ConnectionError:
                    pass
                await asyncio.sleep(0.02)

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines of its log."""
        return (self.folder / "log").read_text().splitlines()
