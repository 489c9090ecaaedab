"""The input of a client that sends many values at once: random kinds, whole, cut, at once or in pieces.

Pure functions of a random source, so that a seed gives the same floods. The kinds of values are those of the
platform's page on bad clients; requests are left out, as the rule checks cover the load generator's.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitedock.service.resp import encode_command

LONG_ARRAY = b"*64\r\n" + 64 * b"$1\r\na\r\n"
# Values to which a gateway replies with one value each.
COMMANDS = {
    "ping": encode_command(b"PING"),
    "unknown command": encode_command(b"X", b"a"),
    "command with a line end": encode_command(b"X", b"\r\n"),
    "long command": encode_command(b"X", 1024 * b"a"),
}
# Values that are no command: a gateway replies with an error to the first and closes, or only closes.
MALFORMED_VALUES = {
    "simple string": b"+\r\n",
    "integer": b":1\r\n",
    "error": b"-E\r\n",
    "null": b"$-1\r\n",
    "null array": b"*-1\r\n",
    "empty array": b"*0\r\n",
    "bulk string": b"$1\r\na\r\n",
    "bulk string with a line end": b"$2\r\n\r\n\r\n",
    "nested array": b"*1\r\n*1\r\n$1\r\na\r\n",
    "array of arrays": b"*2\r\n" + 2 * LONG_ARRAY,
    "huge length": b"*1\r\n$99999999999\r\n",
    "negative length": b"*1\r\n$-7\r\n",
    "line": b"x\r\n",
}
# Ends of a flood within a value.
PARTIAL_VALUES = (b"", b"*", b"*4\r\n$8\r\nAPI.READ\r\n", b"*2\r\n$1\r\nX\r\n$9\r\nab", b"*1\r\n$4\r\nPING\r")
MAX_PIECES = 40


@dataclass(frozen=True, slots=True)
class FloodInput:
    """What one client sends, in pieces, and what it is owed.

    It is owed `replies` replies, and an error reply or a close if `malformed`.
    """

    kind: str  # for reports
    pieces: list[bytes]
    replies: int
    malformed: bool


def draw_flood(random: Random, max_values: int) -> FloodInput:
    """Draw a flood of at most `max_values` values of one kind, in rare cases after some commands."""
    count = random.randint(1, max_values)
    malformed = random.random() < 0.5
    name = random.choice(sorted(MALFORMED_VALUES if malformed else COMMANDS))
    if malformed:
        commands = random.choice((0, 0, 1, count))
        data = commands * COMMANDS["ping"] + count * MALFORMED_VALUES[name]
    else:
        commands = count
        data = count * COMMANDS[name] + random.choice(PARTIAL_VALUES)
    return FloodInput(name, cut(random, data), commands, malformed)


def cut(random: Random, data: bytes) -> list[bytes]:
    """Return the data whole, or in up to `MAX_PIECES` pieces of random lengths."""
    if random.random() < 0.5:
        return [data]
    cuts = sorted(random.randrange(len(data) + 1) for _ in range(random.randrange(MAX_PIECES)))
    pieces = [data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)])]
    return [piece for piece in pieces if piece]
