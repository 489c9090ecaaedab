"""The protocol of a watch on discovery: JSON lines in a streamed HTTP/1.1 response.

Owns the bytes of one watch and parses each line to an endpoint list. It never stores the list, nor reopens a
watch by itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

import h11
from twisted.internet import protocol
from twisted.python.failure import Failure

from granitedock.policy.types import EndpointEntry, EndpointStatus
from granitedock.service.callbacks import InputHandler
from granitedock.service.input_scheduler import InputScheduler
from granitedock.service.inputs import Input
from granitedock.service.json_lines import JsonLineReader
from granitedock.service.limits import Limits
from granitedock.service.socket_queue import has_unread_input

HTTP_OK = 200
STEP_BYTES = 2048  # Of a list, handled in one step.
STATUSES = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}
# Errors that an invalid endpoint list raises while it is parsed.
FORMAT_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class EndpointListUpdate(NamedTuple):
    """A full endpoint list, or a change to it."""

    version: int
    complete: bool  # Whether this is a full snapshot: hosts that it does not list are gone.
    entries: list[EndpointEntry]


class WatchRecord(Protocol):
    """The part of the state machine's record of a watch that the protocol reads."""

    version: int  # The version of the current list; discovery sends what is newer.


def parse_endpoint_list(document: dict[str, Any]) -> EndpointListUpdate:
    """Parse an endpoint list from discovery's JSON. Raises one of FORMAT_ERRORS if it is invalid."""
    entries = []
    for instance in document.get("instances") or ():
        size = instance.get("weight")
        entries.append(
            EndpointEntry(
                instance["instanceId"],
                instance.get("hostPort") or "",
                1.0 if size is None else float(size),
                instance.get("machineType") or "",
                instance.get("zone") or "",
                int(instance.get("cell") or 0),
                float(instance.get("startedAtMs") or 0.0),
                STATUSES[instance["lifecycle"]],
            )
        )
    return EndpointListUpdate(int(document["generation"]), bool(document.get("reset")), entries)


class DiscoveryWatchProtocol(protocol.Protocol):
    """One watch, until its connection closes."""

    is_preferred = True
    transport: Any
    record: Any = None  # A `WatchRecord`, set before the connection is established.

    def __init__(
        self,
        handle_input: InputHandler,
        address: str,
        limits: Limits,
        scheduler: InputScheduler | None = None,
    ) -> None:
        """Create the protocol; `address` is the address of discovery, for the Host header.

        With a scheduler, input that takes longer than a slice of time is handled in further slices.
        """
        self.handle_input = handle_input
        self.address = address
        self.scheduler = scheduler
        self.http = h11.Connection(h11.CLIENT)
        self.reader = JsonLineReader(limits.document)
        self.steps: Iterator[None] | None = (
            None  # Handles the input received so far; None once it is handled.
        )
        self.is_malformed = False
        self.response_ended = False

    def connectionMade(self) -> None:
        """Request all changes that are newer than the current list."""
        request = h11.Request(
            method="GET",
            target=f"/api/targets?watch=1&after={self.record.version}",
            headers=[("Host", self.address), ("Accept", "application/json")],
        )
        request_head = self.http.send(request)
        request_end = self.http.send(h11.EndOfMessage())
        self.transport.write((request_head or b"") + (request_end or b""))
        self.handle_input(Input.WATCH_CONNECTED, self.record, self)

    def connectionLost(self, _reason: Failure | None = None) -> None:
        """Report the closed connection."""
        self.handle_input(Input.WATCH_DISCONNECTED, self.record)

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes, and abort the watch if they are invalid or the response has ended.

        Prevents the use of an invalid list, of an invalid response and of one that never ends: the current
        list remains in use, the watch is reopened, and the reason is logged. A reset does not end a list: no
        entry of a truncated list is used.
        """
        if self.is_malformed:
            return
        self.http.receive_data(data)
        if self.steps is not None:
            return  # The scheduler continues, also with these bytes.
        self.steps = self.read_events()
        self.run_steps(None if self.scheduler is None else self.scheduler.read_deadline(self))

    def run_steps(self, deadline: float | None) -> None:
        """Handle input until `deadline` on the scheduler's clock, one step at least; wait if more is left."""
        try:
            for _ in self.steps or ():
                if self.scheduler is not None and deadline is not None and self.scheduler.clock() >= deadline:
                    self.transport.pauseProducing()
                    self.scheduler.add_new(self)
                    return
        except (h11.RemoteProtocolError, *FORMAT_ERRORS) as error:
            self.is_malformed = True
            self.handle_input(Input.WATCH_MALFORMED, self.record, f"{type(error).__name__}: {error}")
            self.abort()
            return
        self.steps = None
        if self.response_ended:
            self.abort()
        elif self.reader.has_partial_document():
            self.handle_input(Input.WATCH_LIST_STARTED, self.record)

    def continue_parsing(self, deadline: float) -> None:
        """Handle input that waits, until `deadline`. Called by the scheduler."""
        if self.transport.connected and not self.is_malformed:
            self.transport.resumeProducing()
            self.run_steps(deadline)

    def discard_input(self) -> None:
        """Reset the connection, as handling failed with an error. Called by the scheduler."""
        self.is_malformed = True
        self.abort()

    def read_events(self) -> Iterator[None]:
        """Handle the HTTP events of the bytes received so far; yields after each step.

        Raises h11.RemoteProtocolError or one of FORMAT_ERRORS if the input is invalid.
        """
        while (event := self.http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                reason = f"status {event.status_code}"
                raise ValueError(reason)
            if isinstance(event, h11.Data):
                yield from self.read_lists(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                self.response_ended = True
                return
            yield

    def read_lists(self, data: bytes) -> Iterator[None]:
        """Report each list that `data` completes, and each empty line, which is a heartbeat.

        Yields after each piece and each list; a single list is parsed and applied in one step. Raises one of
        FORMAT_ERRORS if a list is invalid or too long.
        """
        for start in range(0, len(data), STEP_BYTES):
            for document in self.reader.read(data[start : start + STEP_BYTES]):
                update = None if document is None else parse_endpoint_list(document)
                self.handle_input(Input.ENDPOINTS_RECEIVED, self.record, update)
                yield
            yield

    # Effects of the state machine.

    def has_unread_bytes(self) -> bool:
        """Return whether discovery has sent bytes that are not read yet, or has closed the connection."""
        return has_unread_input(self.transport)

    def abort(self) -> None:
        """Reset the connection immediately."""
        self.transport.abortConnection()
