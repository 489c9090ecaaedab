"""HTTP client of control processes for the command line (http.client)."""

from __future__ import annotations

from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import cast

import orjson

from granitedock.configuration import http_paths
from granitedock.configuration.document import Record
from granitedock.configuration.errors import ControlRequestError
from granitedock.configuration.http_records import AppliedChangeRecord, ControlStatusRecord, DocumentRecord


def request(address: str, method: str, path: str, body: bytes | None, timeout_s: float) -> Record:
    """Send a request and return the JSON object in its response.

    Raises ControlRequestError if there is no such response or its status is not 200.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = HTTPConnection(host.strip("[]"), int(port), timeout=timeout_s)
        connection.request(method, path, body)
        response = connection.getresponse()
        content = orjson.loads(response.read())
        connection.close()
    except (OSError, ValueError, HTTPException) as fault:
        problem = f"{address}: no answer: {type(fault).__name__}: {fault}"
        raise ControlRequestError(problem) from None
    if type(content) is not dict or response.status != HTTPStatus.OK:
        errors = content.get("errors") if type(content) is dict else None
        lines = [f"{address}: {error}" for error in errors or [f"status {response.status}"]]
        raise ControlRequestError("\n".join(lines))
    return content


def apply(address: str, change: bytes, timeout_s: float) -> AppliedChangeRecord:
    """Send a change in JSON text, and return the version that it made. Raises ControlRequestError."""
    return cast(AppliedChangeRecord, request(address, "POST", http_paths.CHANGES, change, timeout_s))


def document(address: str, timeout_s: float) -> DocumentRecord:
    """Return the whole document. Raises ControlRequestError."""
    return cast(DocumentRecord, request(address, "GET", http_paths.DOCUMENT, None, timeout_s))


def status(address: str, timeout_s: float) -> ControlStatusRecord:
    """Return the status of a control process. Raises ControlRequestError."""
    return cast(ControlStatusRecord, request(address, "GET", http_paths.STATUS, None, timeout_s))
