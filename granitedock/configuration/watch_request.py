"""The query of a follower's request for a watch on a control process."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, urlencode

from granitedock.configuration.document import digest_text
from granitedock.configuration.errors import HttpError


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A follower (`role` is gateway or replica), its cluster, and the version that it has in force."""

    name: str
    role: str
    cluster: str
    version: int
    digest: int

    def query(self) -> str:
        """Return the query of the request."""
        return urlencode(
            {
                "name": self.name,
                "role": self.role,
                "cluster": self.cluster,
                "after": self.version,
                "digest": digest_text(self.digest),
            }
        )


def single_value(fields: dict[str, list[str]], name: str) -> str:
    """Return the single value of a field of the query. Raises HttpError."""
    values = fields.get(name, [])
    if len(values) != 1:
        raise HttpError(
            HTTPStatus.BAD_REQUEST, [f"{name}: expected exactly one value in the request's query"]
        )
    return values[0]


def parse_watch_request(query: str, local_cluster: str) -> WatchRequest:
    """Return the request in a query to a control process of `local_cluster`. Raises HttpError."""
    fields = parse_qs(query, keep_blank_values=True)
    name = single_value(fields, "name")
    role = single_value(fields, "role")
    cluster = single_value(fields, "cluster")
    version_digits = single_value(fields, "after")
    digest_digits = single_value(fields, "digest")
    if cluster != local_cluster:
        raise HttpError(HTTPStatus.CONFLICT, [f"cluster: this is {local_cluster!r}, not {cluster!r}"])
    try:
        version = int(version_digits)
        digest = int(digest_digits, 16)
    except ValueError:
        raise HttpError(
            HTTPStatus.BAD_REQUEST, ["after, digest: a whole number and hex digits are wanted"]
        ) from None
    return WatchRequest(name, role, cluster, version, digest)
