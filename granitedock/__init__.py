"""granitedock: a gateway that holds customers to their quotas before a shared back end."""

import time

__version__ = "0.1.0"

# When this process began, in Unix milliseconds: what a client sent us while we were still starting may have
# waited for us since then, and its time ran all the while.
BEGAN_MS = time.time() * 1000.0
