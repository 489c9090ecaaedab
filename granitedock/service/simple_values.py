"""The fast path of RESP2 framing: values whose bytes have no line end inside, in one pass over the input."""

from __future__ import annotations

from typing import TypeAlias

from granitedock.service.resp import LINE_END, RespValue, parse_length

NULL_BULK_STRING = b"$-1"

# A complete value and the parts of its bytes, which line ends separate. A plain tuple, because one is made
# for each message that arrives.
ParsedValue: TypeAlias = "tuple[RespValue, list[bytes]]"


def parse_simple_values(data: bytes, max_items: int, max_value_bytes: int) -> tuple[list[ParsedValue], bytes]:
    """Parse the values at the start of the data, up to the first that is incomplete or not simple.

    Returns them and the bytes after them. Simple values are nulls, bulk strings without a line end inside,
    and arrays of these. A value that is malformed, or too long for the limits of an array or a bulk string,
    is not simple. The work is linear in the length of the data.
    """
    parts = data.split(LINE_END)
    end = len(parts) - 1  # No line end follows the last part.
    values: list[ParsedValue] = []
    start = 0  # Where the first value that is not parsed yet begins.
    while start < end:
        position = start
        array: list[RespValue] | None = None
        count = 1
        if parts[position][:1] == b"*":
            array = []
            count = parse_length(parts[position][1:])
            position += 1
            if not 0 < count <= max_items:
                break
        value: bytes | None = None
        for _ in range(count):
            if position >= end:
                return values, LINE_END.join(parts[start:])
            if parts[position] == NULL_BULK_STRING:
                value = None
                position += 1
            else:
                value = parts[position + 1]
                if parts[position] != b"$%d" % len(value) or len(value) > max_value_bytes:
                    return values, LINE_END.join(parts[start:])
                position += 2
            if array is not None:
                array.append(value)
        if position > end:
            break
        values.append((value if array is None else array, parts[start:position]))
        start = position
    return values, LINE_END.join(parts[start:])
