"""Serve the commands that a measurement's process reads from standard input, one JSON object per line."""

from __future__ import annotations

import sys
from collections.abc import Callable
from threading import Thread
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase


def serve_commands(
    reactor: PosixReactorBase, handle_command: Callable[[dict[str, Any]], dict[str, Any]]
) -> None:
    """Handle each command on the reactor and answer it with one line of JSON on standard output.

    The reactor stops at the end of the input.
    """

    def answer(line: bytes) -> None:
        sys.stdout.buffer.write(orjson.dumps(handle_command(orjson.loads(line))) + b"\n")
        sys.stdout.buffer.flush()

    def read_commands() -> None:
        for line in sys.stdin.buffer:
            reactor.callFromThread(answer, line)
        reactor.callFromThread(reactor.stop)

    Thread(target=read_commands, daemon=True).start()
