"""Errors of the membership protocol."""

from __future__ import annotations

from granitedock.errors import GranitedockError


class MembershipError(GranitedockError):
    """The base of the errors of this package."""


class MalformedMessageError(MembershipError, ValueError):
    """A datagram that is not a message of this cluster; the text says why."""
