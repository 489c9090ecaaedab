"""A host: runs the requests that reach it and records each one."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from stand_ins.resp import encode_bulk, parse_fields, read_value


class HostLink:
    """One connection of a gateway to a host."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.waiting = 0  # Requests that have come and have no answer yet.
        self.come = 0  # Requests that have come at all.


class Host:
    """A host that serves each request `work_s` after its last byte; requests of a connection go in order."""

    def __init__(self, name: str, log: Any, work_s: float, seed: int = 1) -> None:
        self.name = name
        self.log = log
        self.work_s = work_s
        self.random = random.Random(seed)
        self.draining = False
        self.begun: list[tuple[float, str, str]] = []  # When, id and class of each request that has come.
        self.links: set[HostLink] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        link = HostLink(writer)
        self.links.add(link)
        try:
            while True:
                words = await read_value(reader)
                if words[0] not in (b"API.READ", b"API.WRITE"):
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR\r\n")
                    continue
                link.waiting += 1
                link.come += 1
                await self.handle(link, words)
                link.waiting -= 1
                await self.answered(link, words)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.links.discard(link)
            writer.close()

    async def handle(self, link: HostLink, words: list[bytes]) -> None:
        """Run one request and answer it."""
        name = words[2].decode()
        fields = parse_fields(words[3])
        self.begun.append((time.time(), name, fields["c"]))
        if self.draining:
            self.log(self.name, "turned away", name, fields["c"])
            link.writer.write(b"-BUSY\r\n")
            return
        await asyncio.sleep(self.work_s)
        self.log(self.name, "ran", name, fields["c"])
        link.writer.write(self.answer(name))

    async def answered(self, link: HostLink, words: list[bytes]) -> None:
        """Called after each answer; other kinds of hosts do more."""

    def value(self, name: str) -> bytes:
        """Return the value that this host makes for a request."""
        return f"value of {name} by {self.name}".encode()

    def answer(self, name: str) -> bytes:
        """Return the whole answer: the value, and null for the figures on use and the load report."""
        return b"*3\r\n" + encode_bulk(self.value(name)) + b"$-1\r\n$-1\r\n"

    def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for link in list(self.links):
            link.writer.transport.abort()
