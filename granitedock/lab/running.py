"""How a stand-in of the laboratory runs as a process: it says where it is, then serves until SIGTERM."""

from __future__ import annotations

import signal
import sys
from typing import Any

import orjson
from twisted.internet import reactor


def serve(said: Any) -> int:
    """Print `said` as one JSON line on standard output (addresses, for whoever started us), then run the
    reactor until SIGTERM; exits with 0."""
    sys.stdout.write(orjson.dumps(said).decode() + "\n")
    sys.stdout.flush()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)
    return 0
