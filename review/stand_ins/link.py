"""A network path of some length: a proxy that passes on all bytes in order, each after the same delay."""

from __future__ import annotations

import asyncio


class Path:
    """Leads to one server."""

    def __init__(self, target: str, delay_s: float) -> None:
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.delay_s = delay_s
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass on one connection in both directions; the end of one is the end of the other."""
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except ConnectionError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))
        self.writers -= pair

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry the bytes of one direction."""
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self.delay_s, writer.write, data)
        except ConnectionError:
            pass
        loop.call_later(self.delay_s, writer.close)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
