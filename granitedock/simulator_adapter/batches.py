"""The loop over the simulator's pipe, which reads batches of events and writes replies with commands.

The only state that sessions share is the numbered endpoint lists of the wire, which belong to the process.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import BinaryIO

from granitedock.simulator_adapter.codec import (
    ABORT_INSTANCE,
    ENDPOINT_LIST,
    ENDPOINT_LIST_CHANGED,
    ENDPOINT_LIST_FAILED,
    HELLO,
    STOP,
    Command,
    EndpointRecord,
    Event,
    decode_batch,
    encode_replies,
    lookup,
)
from granitedock.simulator_adapter.errors import MalformedBatchError
from granitedock.simulator_adapter.session import Session

SESSION_EVENTS: dict[str, Callable[..., None]] = {
    "Req": Session.on_request,
    "Completed": Session.on_attempt_finished,
    "Reckoned": Session.on_counter_call_finished,
    "Fired": Session.on_timer_fired,
    "Started": Session.on_response_started,
    "Aborted": Session.on_client_disconnected,
    "Checked": Session.on_health_check,
    "Message": Session.on_peer_message,
}


class BatchProcessor:
    """Processes batches for all instances of one process, whose sessions it keeps by instance name."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.endpoint_lists: dict[int, list[EndpointRecord]] = {}

    def process(self, line: bytes) -> bytes:
        """Process a batch and return the reply; both are a line of JSON.

        An instance with an invalid event is aborted, and the others continue. Raises MalformedBatchError if
        the line is not a batch.
        """
        batch = decode_batch(line)
        replies = []
        for group in batch.groups:
            try:
                commands = self.process_events(batch.now, group.instance, group.events)
            except (MalformedBatchError, ValueError, KeyError, TypeError, IndexError) as error:
                reason = f"{group.instance}: {error_kind(error)}: {error}"
                print(f"granitedock: {reason}", file=sys.stderr)
                commands = [[ABORT_INSTANCE, reason]]
            if commands:
                replies.append((group.instance, commands))
        return encode_replies(replies)

    def process_events(self, now: float, instance: str, events: list[Event]) -> list[Command]:
        """Process an instance's events in order and return its session's commands since the last batch."""
        session = self.sessions.get(instance)
        if session is not None:
            session.advance_clock(now)
        for event in events:
            name = event[0]
            handler = SESSION_EVENTS.get(name)
            if handler is not None:
                if session is None:
                    raise before_hello_error(name)
                handler(session, *event[1:])
            elif name == ENDPOINT_LIST:
                self.endpoint_lists[event[1]] = event[2]
            elif name == ENDPOINT_LIST_CHANGED:
                if session is None:
                    raise before_hello_error(name)
                session.on_endpoint_list(event[2], self.endpoint_records(event))
            elif name == STOP:
                self.sessions.pop(
                    instance, None
                )  # The pending commands are dropped: the instance's requests are void.
                session = None
            elif name == HELLO:
                session = self.sessions[instance] = Session(now, event[1], event[2])
            else:
                message = f"unknown event: {name!r}"
                raise MalformedBatchError(message)
        return session.take_commands() if session is not None else []

    def endpoint_records(self, event: Event) -> list[EndpointRecord]:
        """Return the records of the endpoint list in an event; a list that could not be fetched has none."""
        return (
            [] if event[2] == ENDPOINT_LIST_FAILED else lookup(self.endpoint_lists, event[1], "endpoint list")
        )


def before_hello_error(name: str) -> MalformedBatchError:
    """Return the error for an event of an instance that has not sent Hello."""
    return MalformedBatchError(f"event {name} before Hello")


def error_kind(error: Exception) -> str:
    """Return the kind of error for the reason of an abort; malformed input has its name on the wire."""
    return "Malformed" if isinstance(error, MalformedBatchError) else type(error).__name__


def run(source: BinaryIO | None = None, sink: BinaryIO | None = None) -> int:
    """Reply to batches and return the exit code: 0 at the end of the input, 1 after a malformed batch."""
    source = source or sys.stdin.buffer
    sink = sink or sys.stdout.buffer
    processor = BatchProcessor()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = processor.process(line)
        except MalformedBatchError as error:
            print(f"granitedock: {error}", file=sys.stderr)
            return 1
        sink.write(reply)
        sink.flush()
    return 0
