"""Errors of the membership protocol."""

from __future__ import annotations

from enum import StrEnum

from granitedock.errors import GranitedockError


class Malformation(StrEnum):
    """The faults of a datagram; the values are the texts of the errors and of the log."""

    TOO_LONG = "too long"
    WRONG_VERSION = "not a message of this version"
    OTHER_CLUSTER = "another cluster's"
    UNKNOWN_KIND = "unknown kind"
    MISPLACED_PAYLOAD = "rows where none belong, or none where they do"
    WRONG_FIELDS = "not a message's fields"
    SENDER_NOT_ALIVE = "a sender that is not alive"
    NUMBER_OUT_OF_RANGE = "not a number in range"
    NOT_A_MEMBER = "not a member"
    NO_NAME = "no name"
    NO_ADDRESS = "no address"
    NO_SLOT = "no seat"
    NOT_AN_UPDATE = "not a piece of news"


class MembershipError(GranitedockError):
    """The base class of this package's errors."""


class MalformedMessageError(MembershipError, ValueError):
    """A datagram that is not a message of this cluster; the text is the reason."""


class PayloadKindError(MembershipError, ValueError):
    """A payload kind that is already in use, or that is sent without being registered."""
