"""The payload of membership messages that carries units admitted uncounted, one array of seven a row."""

from __future__ import annotations

from typing import Any

from granitedock.membership.codec import MAX_NAME_LENGTH, MAX_TIME, bounded_int
from granitedock.membership.errors import MalformedMessageError
from granitedock.membership.messages import PayloadType
from granitedock.quota_sharing.uncounted_usage import UsageRow

KIND = 7  # the number of these messages in datagrams
ITEMS = 7
MAX_CUSTOMER = 2**33  # each number is below its bound
MAX_WINDOW_MS = 2**20
MAX_AMOUNT = 2**53  # thousandths of a unit
NOT_A_ROW = "not a row"


def encode_row(row: UsageRow) -> list[Any]:
    """A row as an array."""
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
    """The row of an array. Raises MalformedMessageError."""
    if (
        type(row) is not list
        or len(row) != ITEMS
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
        bounded_int(admitted, MAX_AMOUNT),
        bounded_int(reconciled, MAX_AMOUNT),
    )


QUOTA_PAYLOAD = PayloadType(KIND, encode_row, decode_row)
