"""Discovery: the agent on a gateway's machine, which serves the list of hosts and watches over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from typing import Any

HEARTBEAT_S = 2.0


def entry(name: str, address: str, lifecycle: str = "in_service", **others: Any) -> dict[str, Any]:
    """Return one host of a list."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "a",
        "machineType": "m2",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
        **others,
    }


class Discovery:
    """An agent that answers each call `answer_after_s` after the call; what follows on a watch comes at once."""

    def __init__(self, generation: int, hosts: list[dict[str, Any]], log: Any) -> None:
        self.generation = generation
        self.hosts = {host["instanceId"]: host for host in hosts}
        self.changed_at = {name: generation for name in self.hosts}
        self.answer_after_s = 0.0
        self.whole_first = False  # Whether the first answer of a watch is the whole list.
        self.log = log
        self.watches: set[asyncio.StreamWriter] = set()
        self.open_writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def change(self, *entries: dict[str, Any]) -> None:
        """Apply changes, and tell them on all open watches."""
        self.generation += 1
        for changed in entries:
            self.hosts[changed["instanceId"]] = changed
            self.changed_at[changed["instanceId"]] = self.generation
        line = self.line(False, list(entries))
        for writer in list(self.watches):
            writer.write(chunk(line))

    def line(self, complete: bool, entries: list[dict[str, Any]]) -> bytes:
        """Return one list as a line of JSON."""
        document = {"generation": self.generation, "reset": complete, "instances": entries}
        return json.dumps(document).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call; a watch stays open until its connection ends."""
        self.open_writers.add(writer)
        beats = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.log("discovery call", target)
            if self.answer_after_s:
                await asyncio.wait_for(self.gone(reader), self.answer_after_s)
                self.log("discovery call given up by the gateway", target)
                return
        except asyncio.TimeoutError:
            pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.open_writers.discard(writer)
            writer.close()
            return
        try:
            self.log("discovery answers", target)
            after = int(target.split("after=", 1)[1].split("&")[0]) if "after=" in target else -1
            changed = [host for name, host in self.hosts.items() if self.changed_at[name] > after]
            if "watch=1" not in target:
                body = self.line(True, list(self.hosts.values()))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            first = self.line(True, list(self.hosts.values())) if self.whole_first else self.line(False, changed)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk(first)
            )
            self.log("discovery's first answer:", first.decode().strip())
            self.watches.add(writer)
            beats = asyncio.ensure_future(self.beat(writer))
            await self.gone(reader)
        except ConnectionError:
            pass
        finally:
            if beats is not None:
                beats.cancel()
            self.watches.discard(writer)
            self.open_writers.discard(writer)
            writer.close()

    async def gone(self, reader: asyncio.StreamReader) -> None:
        """Return once the gateway has ended the connection."""
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            pass

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        """Send an empty line every 2 s."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(chunk(b"\n"))

    def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)
