"""Run the control processes of a measurement: one writer and its replicas."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import orjson

from granitedock.configuration import control_client
from granitedock.configuration.http_records import ControlStatusRecord
from granitedock.lab.scale.child_processes import MAX_ERROR_CHARACTERS, open_pipe, stop
from granitedock.lab.scale.errors import MeasurementTimeoutError, ProcessError
from granitedock.lab.scale.platform import platform_file
from granitedock.lab.scale.probe import process_cpu_s

CLUSTER = "lab"
START_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class RunningControl:
    """One running control process and its address."""

    process: subprocess.Popen[bytes]
    address: str

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        return process_cpu_s(self.process.pid)

    def status(self) -> ControlStatusRecord:
        """Query the process for its status record."""
        return control_client.status(self.address, ANSWER_TIMEOUT_S)


def control_file_text(folder: Path, name: str, follow: list[str]) -> str:
    """Return the settings of a control process as TOML."""
    settings: dict[str, object] = {
        "name": name,
        "cluster": CLUSTER,
        "listen": "127.0.0.1:0",
        "store": str(folder / f"{name}.db"),
        "follow": follow,
    }
    return "\n".join(f"{key} = {orjson.dumps(value).decode()}" for key, value in settings.items())


def start_control(folder: Path, name: str, follow: list[str], platform: Path | None) -> RunningControl:
    """Start a control process and wait until it listens.

    `follow` are the addresses to replicate from, none for the writer. `platform` is a platform file to
    import, if any. Raises ProcessError if the process does not start.
    """
    file = folder / f"{name}.toml"
    file.write_text(control_file_text(folder, name, follow))
    command = [sys.executable, "-m", "granitedock", "control", "--config", str(file)]
    if platform is not None:
        command += ["--import", str(platform)]
    log_path = folder / f"{name}.log"
    with log_path.open("wb") as log:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
    address = open_pipe(process.stdout).readline().decode().strip()
    if not address:
        process.wait()
        errors = log_path.read_text()[-MAX_ERROR_CHARACTERS:]
        raise ProcessError.not_started("control " + name, errors)
    return RunningControl(process, address)


@contextmanager
def control_processes(plans: int, count: int) -> Iterator[list[RunningControl]]:
    """Run a writer with `plans` plans and `count - 1` replicas in sync with it, until the block ends."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        platform = folder / "platform.json"
        platform.write_bytes(orjson.dumps(platform_file(plans)))
        writer = start_control(folder, "writer", [], platform)
        running = [writer]
        try:
            for number in range(1, count):
                running.append(start_control(folder, f"replica-{number}", [writer.address], None))
            wait_for_version(running, writer.status()["version"])
            yield running
        finally:
            for control in running:
                stop(control.process)


def wait_for_version(running: list[RunningControl], version: int) -> None:
    """Wait until all control processes have at least this version.

    Raises MeasurementTimeoutError after `START_TIMEOUT_S` seconds.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while any(control.status()["version"] < version for control in running):
        if time.monotonic() > deadline:
            raise MeasurementTimeoutError.control_version(version, START_TIMEOUT_S)
        time.sleep(CHECK_INTERVAL_S)
