"""The counter: adds amounts to named numbers that vanish after their life."""

from __future__ import annotations

import asyncio
import time

from stand_ins.resp import encode_bulk, read_value

MOST_LIFE_S = 60.0


class Counter:
    """A counter that answers at once."""

    def __init__(self) -> None:
        self.numbers: dict[bytes, tuple[float, float]] = {}  # The total and when it vanishes.
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, host, port)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection in their order."""
        self.writers.add(writer)
        try:
            while True:
                words = await read_value(reader)
                writer.write(self.answer(words))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, words: list[bytes]) -> bytes:
        """Return the answer to one command."""
        name = words[0].upper()
        if name == b"TALLY":
            now = time.time()
            total, ends = self.numbers.get(words[1], (0.0, 0.0))
            if ends <= now:
                total, ends = 0.0, now + min(MOST_LIFE_S, float(words[3]) / 1000)
            total += float(words[2])
            self.numbers[words[1]] = (total, ends)
            return encode_bulk(b"%.6f" % total)
        return {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}.get(name, b"-ERR\r\n")

    def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
