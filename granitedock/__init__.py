"""granitedock: a gateway that holds customers to their quotas before a shared back end."""

import time

__version__ = "0.1.0"

# Start time of this process, in Unix milliseconds. A request that a client sends while the process starts may
# have waited since this time, and its deadline runs meanwhile.
STARTED_AT_MS = time.time() * 1000.0
