"""The payload of membership messages that carries observations of hosts; each is an array of thirteen items.

The `number` of such a message is the version of the sender's endpoint list.
"""

from __future__ import annotations

from dataclasses import astuple
from typing import Any

from granitedock.membership.codec import MAX_NAME_LENGTH, MAX_TIME, bounded_int
from granitedock.membership.errors import Malformation, MalformedMessageError
from granitedock.membership.messages import PayloadType
from granitedock.outlier_detection.observations import HostObservation

MESSAGE_KIND = 8  # The kind number of these messages in datagrams.
ROW_ITEMS = 13
# Each number in a row is below its limit.
MAX_NUMBER = 2**20
MAX_AGE_MS = 2**53
NOT_A_ROW = "not a row on a host"
NOT_AN_AGE = "not an age"


def encode_row(row: HostObservation) -> list[Any]:
    """Return the row as an array."""
    return list(astuple(row))


def decode_row(row: Any) -> HostObservation:
    """Return the row of an array. Raises MalformedMessageError if the array is not a valid row."""
    if type(row) is not list or len(row) != ROW_ITEMS:
        raise MalformedMessageError(NOT_A_ROW)
    name, started_at, sequence, host, host_started_at, *numbers, draining = row
    failures, failure_age_ms, answer_age_ms, *later_numbers = numbers
    for text in (name, host):
        if type(text) is not str or not 0 < len(text) <= MAX_NAME_LENGTH:
            raise MalformedMessageError(Malformation.NO_NAME)
    if type(draining) is not bool:
        raise MalformedMessageError(NOT_A_ROW)
    for age in (failure_age_ms, answer_age_ms):
        if type(age) is not int or not -1 <= age < MAX_AGE_MS:
            raise MalformedMessageError(NOT_AN_AGE)
    timeouts, overloads, latency_percent, in_flight = (
        bounded_int(number, MAX_NUMBER) for number in later_numbers
    )
    return HostObservation(
        name,
        bounded_int(started_at, MAX_TIME),
        bounded_int(sequence, MAX_TIME),
        host,
        bounded_int(host_started_at, MAX_TIME),
        bounded_int(failures, MAX_NUMBER),
        failure_age_ms,
        answer_age_ms,
        timeouts,
        overloads,
        latency_percent,
        in_flight,
        draining,
    )


HOST_PAYLOAD = PayloadType(MESSAGE_KIND, encode_row, decode_row)
