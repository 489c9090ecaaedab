"""The limits of one gateway process: every size, count and time that bounds it.

They are set once at the start, from the platform file and the operators' settings, and do not change while
the gateway runs. They take no part in a decision about a request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

KIB = 1024
MIB = 1024 * KIB
PROCESS_BYTES = 26 * MIB  # Memory of the process itself, with its connections and records.
MIN_READ_BYTES, MAX_READ_BYTES = 2 * KIB, 16 * KIB
MIN_WRITE_BUFFER_BYTES, MAX_WRITE_BUFFER_BYTES = 4 * KIB, 64 * KIB
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
SPARE_SOCKETS = 20  # For standard streams, the reactor, the listener and the watch, with some in reserve.
MAX_COUNTER_LINKS = 4
DEFAULT_MAX_REQUESTS_IN_FLIGHT = 20000
BYTES_PER_REQUEST = 32 * KIB  # The memory divided by this bounds the requests in flight.
BYTES_PER_ACCOUNT = KIB  # With its customer and its place in the tables.
DEFAULT_MAX_UNITS = 1e9
DEFAULT_CONNECT_MS = 250.0
DEFAULT_HOST_IDLE_MS = 15000.0
DEFAULT_DRAIN_GRACE_MS = 500.0
HOLD_UP_MS = 150.0  # The process may be held up for this long between two looks at its clock.
DEFAULT_MIN_BACKOFF_MS = 100.0
DEFAULT_MAX_BACKOFF_MS = 1500.0
DEFAULT_DEADLINE_MS = 3000.0  # Applies without request classes; a shutdown waits no longer for a request.
ANSWER_MARGIN_MS = 480.0  # In a shutdown, from the longest deadline of a request until all have a reply.
EXIT_MARGIN_MS = 590.0  # In a shutdown, from the longest deadline of a request until the process exits.


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """The limits, in bytes, in counts, or, if the name ends with `_ms`, in milliseconds."""

    # Sizes, in bytes.
    value: int = 64 * KIB  # One bulk string.
    whole: int = 68 * KIB  # One command, response or reply with all its elements.
    line: int = KIB  # One line of the framing.
    document: int = 4 * MIB  # One endpoint list with all its lines.
    held: int  # All requests in flight and all buffered replies.
    unread: int = 256 * KIB  # Replies that one client leaves unread.
    all_unread: int  # Replies that all clients together leave unread.
    write_buffer: int  # Unsent replies of one client from which on it counts as not reading.
    partial: int  # All commands that are received in part.
    read: int  # One read from a client.
    # Counts.
    items: int = 64  # Elements of one array.
    depth: int = 4  # Levels of nested arrays.
    requests: int  # Requests in flight.
    accounts: int  # Quota accounts of customers.
    queue: int = 64  # Commands of one client connection that wait for replies.
    client_links: int  # From this many client connections on, idle ones are evicted.
    client_most: int  # From this many client connections on, no more are accepted.
    client_over: int  # Client connections accepted beyond this number are aborted at once.
    host_links: int  # Connections to hosts, open or connecting.
    counter_links: int  # Counter connections in use at once.
    counter_old: int  # Replaced counter connections that are kept open for late totals.
    backlog: int = 512  # Connections that the kernel queues for the listener.
    # Connections accepted per iteration of the event loop, so that data on open ones is read in between.
    accepts: int = 8
    log_lines: int = 50  # Lines of the event log per second.
    gateways: int  # Gateways of the deployment, numbered from 0.
    units: float  # Units of one request.
    true_units: float  # Actual units that a host may state in a response; 0 if they are not settled.
    # Times, in milliseconds.
    connect_ms: float  # Timeout of a connect to a host or the counter.
    host_idle_ms: float  # Idle time after which a host connection is closed, before the host closes it.
    # After a reset of a reused host connection, non-idempotent requests get new connections for this long.
    wary_ms: float = 5000.0
    # A host connection is not reused sooner after a response, as more data may follow.
    settle_ms: float = 5.0
    # After a host has started to drain or is gone, time for requests in flight to reach it.
    drain_delivery_ms: float
    answer_ms: float = 250.0  # Timeout of an incomplete response, from its latest bytes.
    answer_most_ms: float = 2000.0  # Timeout of an incomplete response, from its first bytes.
    total_ms: float = 50.0  # Timeout of an incomplete counter reply, which is a single short value.
    counter_ping_ms: float = 3000.0  # Idle time after which a counter connection is pinged.
    counter_silence_ms: float = 1000.0  # Silence after which a counter connection with waiting calls is dead.
    counter_linger_ms: float = 10000.0  # A replaced counter connection is kept this long for late totals.
    watch_silence_ms: float = 2500.0  # An open watch without a line for this long is dead.
    watch_first_ms: float = 800.0  # A connected watch without its first line for this long is dead.
    # For this long from the first bytes of a first list, further bytes of it restart `watch_first_ms`.
    watch_list_ms: float = 500.0
    watch_connect_ms: float  # Timeout of a connect to discovery.
    redial_ms: float = DEFAULT_MIN_BACKOFF_MS  # Initial backoff of a watch.
    watch_most_ms: float = DEFAULT_MAX_BACKOFF_MS  # Longest backoff of a watch that is refused repeatedly.
    watch_refusals: int = 3  # Refusals in a row during the start after which an initial list is used.
    # Timeout of an incomplete command, from its latest bytes, and idle time after which a client connection
    # that has sent no request is closed.
    half_ms: float = 1500.0
    half_most_ms: float = 5000.0  # Timeout of an incomplete command, from its first detection.
    spoilt_ms: float = 1500.0  # Longest wait for the requests before a malformed command.
    fresh_ms: float = 100.0  # Idle time after which a client connection without a request may be evicted.
    # Idle time since the latest reply after which a client connection that has sent a request is closed.
    rest_ms: float = 2000.0
    close_ms: float = 300.0  # Time for a client to close its side after the gateway has closed its own.
    flush_ms: float = 5000.0  # Time for a client to read the replies on a connection that is closing.
    margin_ms: float = 8.0  # The deadline of a request is this long before the client's timeout.
    ready_ms: float = 1000.0  # Longest wait for a first list at the start if there is an initial list.
    ready_most_ms: float = 5000.0  # Longest wait without an initial list, from the start of the process.
    open_ms: float = 500.0  # New connections are accepted for this long after SIGTERM.
    leave_ms: float  # After SIGTERM, the time by which all requests have a reply.
    leave_most_ms: float  # After SIGTERM, the time by which the process exits, even with unread replies.
    sweep_ms: float = 100.0  # Period of the maintenance.

    @classmethod
    def from_platform_file(cls, contents: dict[str, Any]) -> Limits:
        """Return the limits by the checked contents of a platform file.

        The file states limits of the process itself and limits of the whole deployment.
        """
        process_limits = contents.get("limits") or {}
        settings = contents["settings"]
        memory_bytes = float(process_limits.get("memory_mb") or DEFAULT_MEMORY_MB) * MIB
        sockets = int(process_limits.get("sockets") or DEFAULT_SOCKETS)
        counter_links = min(MAX_COUNTER_LINKS, max(1, sockets // 32))
        links = max(8, sockets - 2 * counter_links - SPARE_SOCKETS)
        allowed = settings.get("Allowed") or {}
        specifics = settings.get("Specifics") or {}
        units = float(specifics.get("MaxUnits") or DEFAULT_MAX_UNITS)
        connect_ms = float(allowed.get("ConnectTimeoutMs") or DEFAULT_CONNECT_MS)
        max_requests = int(allowed.get("MostHeld") or DEFAULT_MAX_REQUESTS_IN_FLIGHT)
        longest_ms = max((float(lane["GiveUpMs"]) for lane in settings["Lanes"]), default=DEFAULT_DEADLINE_MS)
        shutdown_ms = min(longest_ms, DEFAULT_DEADLINE_MS)
        safety = settings.get("Safety") or {}
        drain_grace_ms = float(safety.get("DrainGraceMs", DEFAULT_DRAIN_GRACE_MS))
        free_bytes = max(memory_bytes / 8, memory_bytes - PROCESS_BYTES)
        max_clients = int(links * 0.5)
        return cls(
            held=int(free_bytes / 4),
            accounts=int(free_bytes / 8 / BYTES_PER_ACCOUNT),
            all_unread=int(free_bytes / 4),
            write_buffer=int(
                min(MAX_WRITE_BUFFER_BYTES, max(MIN_WRITE_BUFFER_BYTES, free_bytes / 8 / max_clients))
            ),
            partial=int(free_bytes / 8),
            read=int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, free_bytes / 8 / max_clients))),
            requests=min(max_requests, int(memory_bytes / BYTES_PER_REQUEST)),
            client_links=int(links * 0.45),
            client_most=max_clients,
            client_over=int(links * 0.6),
            host_links=int(links * 0.4),
            counter_links=counter_links,
            counter_old=counter_links,
            gateways=max(1, int(settings.get("Balancers") or 1)),
            units=units,
            true_units=units if specifics.get("TruedUp") else 0.0,
            connect_ms=connect_ms,
            host_idle_ms=float(allowed.get("ConnIdleMs") or DEFAULT_HOST_IDLE_MS) / 2,
            drain_delivery_ms=max(drain_grace_ms / 2, drain_grace_ms - HOLD_UP_MS),
            watch_connect_ms=min(DEFAULT_CONNECT_MS, connect_ms),
            leave_ms=shutdown_ms + ANSWER_MARGIN_MS,
            leave_most_ms=shutdown_ms + EXIT_MARGIN_MS,
        )
