"""The frame of a case: a temporary folder, the record, and an end of all that was started."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.gateway import Gateway
from stand_ins.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MOST_S = 110.0


class Case:
    """What a case has started, and its record."""

    def __init__(self, file: str, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.record = Record(Path(file).resolve().parent)
        self.log = self.record.add
        self.gateways: list[Gateway] = []
        self.servers: list[object] = []  # Each has a method `close`.


def main(file: str, play: Callable[[Case], Awaitable[str]]) -> None:
    """Play the case and exit: `play` returns "" if the rule held, or how it was broken."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(file, Path(folder))
        case.log("with the disruption" if case.trouble else "without the disruption")
        status = COULD_NOT_RUN
        try:
            broken = asyncio.run(bounded(case, play))
            status = BROKEN if broken else HELD
            case.log("the rule was broken: " + broken if broken else "the rule held")
        except BaseException:  # noqa: BLE001 - Whatever happened, all processes end.
            case.log("could not run:", traceback.format_exc())
        finally:
            for gateway in case.gateways:
                gateway.kill()
                for line in gateway.log_lines()[:200]:
                    case.log("log of", gateway.contents["name"], line)
            case.record.write()
    verdict = [line for line in case.record.lines if "the rule" in line or "could not run" in line]
    print(verdict[-1] if verdict else "no verdict")
    sys.exit(status)


async def bounded(case: Case, play: Callable[[Case], Awaitable[str]]) -> str:
    """Play the case within the time that a script may take."""
    try:
        async with asyncio.timeout(MOST_S):
            return await play(case)
    finally:
        for server in case.servers:
            server.close()
