"""The payload of membership messages that carries uncounted usage; each row is an array of seven items."""

from __future__ import annotations

from typing import Any

from granitedock.membership.codec import MAX_NAME_LENGTH, MAX_TIME, bounded_int
from granitedock.membership.errors import MalformedMessageError
from granitedock.membership.messages import PayloadType
from granitedock.quota_sharing.uncounted_usage import UsageRow

MESSAGE_KIND = 7  # The kind number of these messages in datagrams.
ROW_ITEMS = 7
# Each number in a row is below its limit.
MAX_CUSTOMER = 2**33
MAX_WINDOW_MS = 2**20
MAX_MILLIUNITS = 2**53
NOT_A_ROW = "not a row"


def encode_row(row: UsageRow) -> list[Any]:
    """Return the row as an array."""
    return [
        row.gateway,
        row.started_at,
        row.customer,
        row.window,
        row.window_ms,
        row.admitted,
        row.reconciled,
    ]


def decode_row(row: Any) -> UsageRow:
    """Return the row of an array. Raises MalformedMessageError if the array is not a valid row."""
    if (
        type(row) is not list
        or len(row) != ROW_ITEMS
        or type(row[0]) is not str
        or not 0 < len(row[0]) <= MAX_NAME_LENGTH
    ):
        raise MalformedMessageError(NOT_A_ROW)
    name, started_at, customer, window, window_ms, admitted, reconciled = row
    return UsageRow(
        name,
        bounded_int(started_at, MAX_TIME),
        bounded_int(customer, MAX_CUSTOMER),
        bounded_int(window, MAX_TIME),
        bounded_int(window_ms, MAX_WINDOW_MS) or 1,
        bounded_int(admitted, MAX_MILLIUNITS),
        bounded_int(reconciled, MAX_MILLIUNITS),
    )


QUOTA_PAYLOAD = PayloadType(MESSAGE_KIND, encode_row, decode_row)
