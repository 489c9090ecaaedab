"""Processes that a measurement starts, and how it speaks with them by lines of JSON."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import IO, Any

import orjson

from granitedock.lab.scale.errors import ProcessError

ERROR_CHARACTERS = 500  # of a process's errors, shown where it did not start
ENDPOINT_LIST_EMULATOR = "granitedock.lab.scale.endpoint_list_emulator"


def open_pipe(pipe: IO[bytes] | None) -> IO[bytes]:
    """A pipe that the process was started with. Raises ValueError where it was started without."""
    if pipe is None:
        raise ValueError(pipe)
    return pipe


def stop(process: subprocess.Popen[bytes]) -> None:
    """Kill the process, wait for its end and close its pipes."""
    process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout, process.stderr):
        if pipe is not None:
            pipe.close()


@dataclass(frozen=True, slots=True)
class EmulatorProcess:
    """An emulator's process, and what it announced: its address, or its addresses by name."""

    pid: int
    announcement: Any


@contextmanager
def emulator_process(module: str, *arguments: str) -> Iterator[EmulatorProcess]:
    """Run an emulator until the block ends. Raises ProcessError."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    try:
        line = open_pipe(process.stdout).readline()
        if not line:
            errors = open_pipe(process.stderr).read()
            raise ProcessError.not_started(module, errors[-ERROR_CHARACTERS:].decode())
        yield EmulatorProcess(process.pid, orjson.loads(line))
    finally:
        stop(process)


class CommandProcess:
    """A process that takes commands on standard input and answers each with one line of JSON; the first line
    is its announcement. Raises ProcessError where it ends before an answer."""

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.announcement = self.read_answer()

    def read_answer(self) -> Any:
        """The next line, decoded."""
        line = open_pipe(self.process.stdout).readline()
        if not line:
            raise ProcessError.ended(self.process.wait())
        return orjson.loads(line)

    def send(self, command: dict[str, Any]) -> None:
        """Send a command; its answer is read later."""
        pipe = open_pipe(self.process.stdin)
        pipe.write(orjson.dumps(command) + b"\n")
        pipe.flush()

    def query(self, command: dict[str, Any]) -> Any:
        """Send a command and read its answer."""
        self.send(command)
        return self.read_answer()

    def stop(self) -> None:
        """Kill the process."""
        stop(self.process)


@contextmanager
def command_process(module: str, *arguments: str) -> Iterator[CommandProcess]:
    """Run a process that takes commands, until the block ends."""
    process = CommandProcess(module, *arguments)
    try:
        yield process
    finally:
        process.stop()
