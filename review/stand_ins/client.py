"""A client with one connection: sends one request after another and records the answers."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from stand_ins.resp import encode_command, read_value

MOST_BUFFERED_BYTES = 128 * 1024
LATE_S = 0.5  # Up to so long after its time an answer only earns nothing.


class Client:
    """Sends requests of one customer to one gateway."""

    def __init__(self, address: str, log: Any, seed: int, spread: int = 1, plan: str = "team") -> None:
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.log = log
        self.random = random.Random(seed)
        self.customer = b"%016x" % (1000 + seed)
        self.spread = spread
        self.plan = plan
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection, if there is none."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=MOST_BUFFERED_BYTES)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    def command(self, name: str, kind: str, safe: bool, deadline_ms: int, key: bool = False) -> bytes:
        """Return a request as a command; with `key` it carries an idempotency key."""
        key_field = f"k={self.random.getrandbits(64):016x}," if key else ""
        fields = f"c={kind},t={self.plan},d={deadline_ms},{key_field}units=1,spread={self.spread},first=0"
        return encode_command(
            b"API.READ" if safe else b"API.WRITE", self.customer, name.encode(), fields.encode()
        )

    async def ask(
        self, kind: str, deadline_ms: int, safe: bool = True, key: bool = False
    ) -> tuple[str, object]:
        """Send one request; returns its id and the answer, or the reason why there is none."""
        name = "%016x" % self.random.getrandbits(64)
        command = self.command(name, kind, safe, deadline_ms, key)
        for last in (False, True):
            try:
                await self.connect()
                self.log("sent", name, kind)
                self.writer.write(command)
                async with asyncio.timeout(deadline_ms / 1000 + LATE_S):
                    answer = await read_value(self.reader)
                self.log("answered", name, answer)
                return name, answer
            except (asyncio.IncompleteReadError, ConnectionError):
                self.close()
                if last:
                    return name, "closed"
            except TimeoutError:
                self.close()
                return name, "silent"
        return name, "closed"
