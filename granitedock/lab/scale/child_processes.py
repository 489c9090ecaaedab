"""Start the processes of a measurement and exchange lines of JSON with them."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import IO, Any

import orjson

from granitedock.lab.scale.errors import ProcessError

MAX_ERROR_CHARACTERS = 500  # The end of the standard error output that a ProcessError quotes.
ENDPOINT_LIST_EMULATOR = "granitedock.lab.scale.endpoint_list_emulator"


def open_pipe(pipe: IO[bytes] | None) -> IO[bytes]:
    """Return the pipe. Raises ValueError if the process was started without it."""
    if pipe is None:
        raise ValueError(pipe)
    return pipe


def stop(process: subprocess.Popen[bytes]) -> None:
    """Kill the process, wait until it has ended and close its pipes."""
    process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout, process.stderr):
        if pipe is not None:
            pipe.close()


@dataclass(frozen=True, slots=True)
class EmulatorProcess:
    """The process of an emulator, and its announcement: one address, or addresses by name."""

    pid: int
    announcement: Any


@contextmanager
def emulator_process(module: str, *arguments: str) -> Iterator[EmulatorProcess]:
    """Run an emulator until the block ends. Raises ProcessError if it does not start."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    try:
        line = open_pipe(process.stdout).readline()
        if not line:
            errors = open_pipe(process.stderr).read()
            raise ProcessError.not_started(module, errors[-MAX_ERROR_CHARACTERS:].decode())
        yield EmulatorProcess(process.pid, orjson.loads(line))
    finally:
        stop(process)


class CommandProcess:
    """A process that reads commands from standard input and answers each with one line of JSON.

    The first line that it writes is its announcement. Reading an answer raises ProcessError if the process
    ends before it answers.
    """

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.announcement = self.read_answer()

    def read_answer(self) -> Any:
        """Read the next line and return it decoded."""
        line = open_pipe(self.process.stdout).readline()
        if not line:
            raise ProcessError.ended(self.process.wait())
        return orjson.loads(line)

    def send(self, command: dict[str, Any]) -> None:
        """Send a command without reading its answer."""
        pipe = open_pipe(self.process.stdin)
        pipe.write(orjson.dumps(command) + b"\n")
        pipe.flush()

    def query(self, command: dict[str, Any]) -> Any:
        """Send a command and return its answer."""
        self.send(command)
        return self.read_answer()

    def stop(self) -> None:
        """Kill the process."""
        stop(self.process)


@contextmanager
def command_process(module: str, *arguments: str) -> Iterator[CommandProcess]:
    """Run a CommandProcess until the block ends."""
    process = CommandProcess(module, *arguments)
    try:
        yield process
    finally:
        process.stop()
