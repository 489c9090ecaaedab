"""The payload of membership messages that carries observations of hosts, one array of thirteen a row.

The `number` of such a message is the version of the sender's endpoint list.
"""

from __future__ import annotations

from dataclasses import astuple
from typing import Any

from granitedock.membership.codec import MAX_NAME_LENGTH, MAX_TIME, bounded_int
from granitedock.membership.errors import Malformation, MalformedMessageError
from granitedock.membership.messages import PayloadType
from granitedock.outlier_detection.observations import HostObservation

KIND = 8  # the number of these messages in datagrams
ITEMS = 13
MAX_FIGURE = 2**20  # each number is below its bound
MAX_AGE_MS = 2**53
NOT_A_ROW = "not a row on a host"
NOT_AN_AGE = "not an age"


def encode_row(row: HostObservation) -> list[Any]:
    """A row as an array."""
    return list(astuple(row))


def decode_row(row: Any) -> HostObservation:
    """The row of an array. Raises MalformedMessageError."""
    if type(row) is not list or len(row) != ITEMS:
        raise MalformedMessageError(NOT_A_ROW)
    name, started_at, number, host, host_started_at, *figures, draining = row
    failures, failed_ms, answered_ms, *later_figures = figures
    for text in (name, host):
        if type(text) is not str or not 0 < len(text) <= MAX_NAME_LENGTH:
            raise MalformedMessageError(Malformation.NO_NAME)
    if type(draining) is not bool:
        raise MalformedMessageError(NOT_A_ROW)
    for age in (failed_ms, answered_ms):
        if type(age) is not int or not -1 <= age < MAX_AGE_MS:
            raise MalformedMessageError(NOT_AN_AGE)
    timeouts, overloads, pace_percent, in_flight = (
        bounded_int(figure, MAX_FIGURE) for figure in later_figures
    )
    return HostObservation(
        name,
        bounded_int(started_at, MAX_TIME),
        bounded_int(number, MAX_TIME),
        host,
        bounded_int(host_started_at, MAX_TIME),
        bounded_int(failures, MAX_FIGURE),
        failed_ms,
        answered_ms,
        timeouts,
        overloads,
        pace_percent,
        in_flight,
        draining,
    )


HOST_PAYLOAD = PayloadType(KIND, encode_row, decode_row)
