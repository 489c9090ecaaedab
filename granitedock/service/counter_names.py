"""Names of the counters that the service's state machines keep, as `INFO` and Prometheus show them.

Operators' dashboards use these texts, so they stay as they are even where the code has other words.
"""

from __future__ import annotations

# Clients.
CLIENT_LINKS = "client_links"
CLIENT_LINKS_OVER = "client_links_over"
CLIENT_LINKS_SILENT = "client_links_silent"
CLIENT_LINKS_RESTED = "client_links_rested"
CLIENT_GONE = "client_gone"
SLOW_READERS = "slow_readers"
MALFORMED = "malformed"

# Requests.
TAKEN = "taken"
DONE = "done"
DEFERRED = "deferred"
ERRORED = "errored"
FORGOTTEN = "forgotten"

# Attempts and connections to hosts.
FORWARDS = "forwards"
FORWARD_PREFIX = "forward_"  # and the outcome's value
HOST_DIALS = "host_dials"
HOST_STALE = "host_stale"
OVERFULL = "overfull"
UNWANTED = "unwanted"
WITHDRAWN = "withdrawn"

# The counter.
CALLS = "calls"
CALL_PREFIX = "call_"  # and the outcome's value
CALL_SPOILT = "call_spoilt"
COUNTER_DIALS = "counter_dials"

# Discovery.
LISTS = "lists"
WATCHES = "watches"
WATCH_SPOILT = "watch_spoilt"

# Gauges, shown beside the counters.
TASKS_NOW = "tasks_now"
CLIENT_LINKS_NOW = "client_links_now"
HOST_LINKS_NOW = "host_links_now"
HELD_BYTES_NOW = "held_bytes_now"
