"""Asking a control process from the command line (http.client)."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
from typing import Any

import orjson

from granitedock.configuration.document import ConfigurationError
from granitedock.configuration.server import CHANGES, DOCUMENT, STATUS


class ControlError(ConfigurationError):
    """A control process that does not answer, or refuses; its text names the address."""


def asked(address: str, method: str, path: str, body: bytes | None, within_s: float) -> dict[str, Any]:
    """What the control process answers. Raises ControlError."""
    host, _, port = address.rpartition(":")
    try:
        link = HTTPConnection(host.strip("[]"), int(port), timeout=within_s)
        link.request(method, path, body)
        answer = link.getresponse()
        said = orjson.loads(answer.read())
        link.close()
    except (OSError, ValueError, HTTPException) as fault:
        raise ControlError(f"{address}: no answer: {type(fault).__name__}: {fault}") from None
    if type(said) is not dict or answer.status != 200:
        errors = said.get("errors") if type(said) is dict else None
        raise ControlError("\n".join(f"{address}: {one}" for one in errors or [f"status {answer.status}"]))
    return said


def apply(address: str, change: bytes, within_s: float) -> dict[str, Any]:
    """Version and digest that the change made."""
    return asked(address, "POST", CHANGES, change, within_s)


def document(address: str, within_s: float) -> dict[str, Any]:
    return asked(address, "GET", DOCUMENT, None, within_s)


def status(address: str, within_s: float) -> dict[str, Any]:
    return asked(address, "GET", STATUS, None, within_s)
