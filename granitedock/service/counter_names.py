"""Names of the counters of the service's state machines, as reported by `INFO` and Prometheus.

Operators' dashboards use these names, so they are stable even where the code uses other terms.
"""

from __future__ import annotations

# Clients.
CLIENT_LINKS = "client_links"
CLIENT_LINKS_OVER = "client_links_over"
CLIENT_LINKS_SILENT = "client_links_silent"
CLIENT_LINKS_RESTED = "client_links_rested"
CLIENT_LINKS_RESET = "client_links_reset"  # Reset by their clients before they were accepted.
CLIENT_LINKS_UNANSWERED = "client_links_unanswered"  # Reset by the gateway with commands pending.
CLIENT_GONE = "client_gone"
SLOW_READERS = "slow_readers"
MALFORMED = "malformed"
INPUT_HELD = "input_held"  # Connections that were not read further, as too many commands were pending.
REPLIES_REPLACED = "replies_replaced"  # Long replies that became errors, as clients left others unread.
COMMANDS_SHED = "commands_shed"  # Rejected unread, as commands that arrive in parts take too much memory.

# Requests.
TAKEN = "taken"
DONE = "done"
DEFERRED = "deferred"
ERRORED = "errored"
CUSTOMERS_OVER = "customers_over"  # Requests rejected because too many customers have an account.
REPEATED_IDS = "repeated_ids"  # Requests that failed because one of their id may have run.
FORGOTTEN = "forgotten"

# Attempts and connections to hosts.
FORWARDS = "forwards"
FORWARD_PREFIX = "forward_"  # The value of the outcome follows.
HOST_DIALS = "host_dials"
HOST_STALE = "host_stale"
OVERFULL = "overfull"
UNDELIVERED = "undelivered"
UNWANTED = "unwanted"
WITHDRAWN = "withdrawn"

# The counter.
CALLS = "calls"
CALL_PREFIX = "call_"  # The value of the outcome follows.
CALL_SPOILT = "call_spoilt"
COUNTER_DIALS = "counter_dials"

# Discovery.
LISTS = "lists"
WATCHES = "watches"
WATCH_SPOILT = "watch_spoilt"

# The event loop.
SLOW_ITERATIONS = "loop_slow"

# Gauges, reported with the counters.
TASKS_NOW = "tasks_now"
CLIENT_LINKS_NOW = "client_links_now"
HOST_LINKS_NOW = "host_links_now"
HELD_BYTES_NOW = "held_bytes_now"
ACCOUNTS_NOW = "accounts_now"
TIMERS_NOW = "timers_now"
