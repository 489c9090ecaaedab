"""The requests of clients: the few fields that decisions need, and all other bytes as they were received.

Source of the form: the platform's protocol page.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from granitedock.service.errors import RequestFormatError
from granitedock.service.limits import Limits
from granitedock.service.resp import encode_bulk_string, join_parts

READ_COMMAND = b"API.READ"
WRITE_COMMAND = b"API.WRITE"
REQUEST_COMMANDS = (READ_COMMAND, WRITE_COMMAND)
REQUEST_WORD_COUNTS = (4, 5)  # Command, customer, id, fields, and an optional body.
PARTS_BEFORE_FIELDS = 7  # The array header, and the length and text of each of three words.
PARTS_WITH_FIELDS = 9  # Also the length and text of the fields.
MAX_FIELDS = 128  # The platform defines eight; more are passed on unread.
HEX_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
CUSTOMER_NUMBERS = 2**33  # Customers are numbered from 0.
REQUEST_ID = re.compile(rb"[!-~]{1,64}").fullmatch
# Matches no sign, exponent or word, all of which `float` would accept.
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
INTEGER = re.compile(rb"[0-9]{1,9}").fullmatch

# Reasons, sent to the client in error replies.
WRONG_WORD_COUNT = "a task has four words or five"
INVALID_CUSTOMER = "no such customer"
INVALID_ID = "a task has an id"
TOO_MANY_FIELDS = "too many fields"
DUPLICATE_FIELD = "a name stands twice"
INVALID_NUMBER = "no such number"
INVALID_UNITS = "no such units"
INVALID_SUBSET = "no such set"


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A request as received from a client, with its bytes before and after its deadline field."""

    id: bytes
    request_class: str
    plan: str
    customer: int
    idempotent: bool  # True for API.READ, False for API.WRITE.
    keyed: bool  # The request carries an idempotency key.
    time_left_ms: float  # Time to the deadline when the client sent the request.
    units: float
    subset_size: int  # Number of gateways that share the customer's quota.
    subset_start: int  # Number of the first gateway of the subset.
    bytes_before: bytes  # The words before the fields.
    fields_before: bytes  # The fields up to the digits of the time left.
    fields_after: bytes  # The fields after the digits of the time left.
    bytes_after: bytes  # The words after the fields.

    def size(self) -> int:
        """Return the length of the stored parts, in bytes."""
        return (
            len(self.bytes_before) + len(self.fields_before) + len(self.fields_after) + len(self.bytes_after)
        )

    def encode(self, time_left_ms: float) -> bytes:
        """Return the command with a new time left, in whole ms and at least 1; other bytes are unchanged."""
        time_left = max(1, int(time_left_ms))
        fields = encode_bulk_string(b"%b%d%b" % (self.fields_before, time_left, self.fields_after))
        return self.bytes_before + fields + self.bytes_after


def parse_fields(text: bytes, limits: Limits) -> dict[bytes, bytes]:
    """Return the fields of a request by name, with the numbers checked.

    Raises ValueError for an invalid field and KeyError for a missing one.
    """
    if text.count(b",") >= MAX_FIELDS:
        raise ValueError(TOO_MANY_FIELDS)
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    fields: dict[bytes, bytes] = dict(pairs)  # A field without "=" raises ValueError.
    if len(fields) != len(pairs):
        raise ValueError(DUPLICATE_FIELD)
    time_left = fields[b"d"]
    units = fields[b"units"]
    size = fields[b"spread"]
    start = fields[b"first"]
    if not (DECIMAL(time_left) and DECIMAL(units) and INTEGER(size) and INTEGER(start)):
        raise ValueError(INVALID_NUMBER)
    if not 0.0 < float(units) <= limits.units:
        raise ValueError(INVALID_UNITS)
    if not (0 < int(size) <= limits.gateways and int(start) < limits.gateways):
        raise ValueError(INVALID_SUBSET)
    return fields


def parse_request(words: list[Any], parts: list[bytes], limits: Limits) -> ParsedRequest:
    """Return the request in the words of a command and the parts of its bytes. Raises RequestFormatError.

    Prevents decisions on values that are not numbers or lie outside the range in the settings: a request is
    accepted only in its exact form, and is never corrected.
    """
    if len(words) not in REQUEST_WORD_COUNTS or not all(type(word) is bytes for word in words):
        raise RequestFormatError(WRONG_WORD_COUNT)
    if not HEX_CUSTOMER(words[1]) or (customer := int(words[1], 16)) >= CUSTOMER_NUMBERS:
        raise RequestFormatError(INVALID_CUSTOMER)
    if not REQUEST_ID(words[2]):
        raise RequestFormatError(INVALID_ID)
    text: bytes = words[3]
    try:
        fields = parse_fields(text, limits)
        begin = 0 if text.startswith(b"d=") else text.index(b",d=") + 1
        end = text.find(b",", begin)
        return ParsedRequest(
            words[2],
            fields[b"c"].decode(),
            fields[b"t"].decode(),
            customer,
            words[0] == READ_COMMAND,
            bool(fields.get(b"k")),
            float(fields[b"d"]),
            float(fields[b"units"]),
            int(fields[b"spread"]),
            int(fields[b"first"]),
            join_parts(parts[:PARTS_BEFORE_FIELDS]),
            text[: begin + len(b"d=")],
            text[end:] if end >= 0 else b"",
            join_parts(parts[PARTS_WITH_FIELDS:]) if len(parts) > PARTS_WITH_FIELDS else b"",
        )
    except (ValueError, KeyError) as error:
        reason = f"task not readable: {error}"
        raise RequestFormatError(reason) from None
