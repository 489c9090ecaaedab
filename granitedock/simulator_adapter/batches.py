"""Batches of events in, replies with commands out: the loop over the simulator's pipe.

Sessions share nothing but the numbered endpoint lists of the wire, which belong to the process.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import BinaryIO

from granitedock.simulator_adapter.codec import (
    GIVE_UP,
    HELLO,
    LIST,
    LIST_CHANGED,
    LIST_FAILED,
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
    """All instances of one process, by name."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.endpoint_lists: dict[int, list[EndpointRecord]] = {}

    def process(self, line: bytes) -> bytes:
        """The reply to a batch, both a line of JSON. Raises MalformedBatchError.

        An instance whose events make no sense gives up; the others go on.
        """
        batch = decode_batch(line)
        replies = []
        for group in batch.groups:
            try:
                commands = self.process_events(batch.now, group.instance, group.events)
            except (MalformedBatchError, ValueError, KeyError, TypeError, IndexError) as error:
                reason = f"{group.instance}: {error_kind(error)}: {error}"
                print(f"granitedock: {reason}", file=sys.stderr)
                commands = [[GIVE_UP, reason]]
            if commands:
                replies.append((group.instance, commands))
        return encode_replies(replies)

    def process_events(self, now: float, instance: str, events: list[Event]) -> list[Command]:
        """Take an instance's events in order; the commands of its session since the last batch."""
        session = self.sessions.get(instance)
        if session is not None:
            session.advance_clock(now)
        for event in events:
            name = event[0]
            handler = SESSION_EVENTS.get(name)
            if handler is not None:
                if session is None:
                    raise before_hello(name)
                handler(session, *event[1:])
            elif name == LIST:
                self.endpoint_lists[event[1]] = event[2]
            elif name == LIST_CHANGED:
                if session is None:
                    raise before_hello(name)
                session.on_endpoint_list(event[2], self.records(event))
            elif name == STOP:
                self.sessions.pop(instance, None)  # with its pending commands: its requests are void
                session = None
            elif name == HELLO:
                session = self.sessions[instance] = Session(now, event[1], event[2])
            else:
                message = f"unknown event: {name!r}"
                raise MalformedBatchError(message)
        return session.take_commands() if session is not None else []

    def records(self, event: Event) -> list[EndpointRecord]:
        """The records of the list that an event names; a list that could not be fetched has none."""
        return [] if event[2] == LIST_FAILED else lookup(self.endpoint_lists, event[1], "list")


def before_hello(name: str) -> MalformedBatchError:
    """The error of an event for an instance that was not introduced."""
    return MalformedBatchError(f"{name} before Hello")


def error_kind(error: Exception) -> str:
    """The kind of error in the reason for giving up; malformed input keeps the name it has on the wire."""
    return "Malformed" if isinstance(error, MalformedBatchError) else type(error).__name__


def run(source: BinaryIO | None = None, sink: BinaryIO | None = None) -> int:
    """Answer batches until the input ends; the exit code: 0 at its end, 1 at one that is malformed."""
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
