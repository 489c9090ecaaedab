"""How a stand-in of the laboratory runs as a process: it says where it is, then serves until SIGTERM."""

from __future__ import annotations

import signal
import sys
from typing import Any

import orjson
from twisted.internet import reactor
from twisted.internet.protocol import Factory


def serve(said: Any) -> int:
    """Print `said` as one JSON line on standard output (addresses, for whoever started us), then run the
    reactor until SIGTERM; exits with 0."""
    sys.stdout.write(orjson.dumps(said).decode() + "\n")
    sys.stdout.flush()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)
    return 0


def listen(on: Any, port: int, make: Any) -> tuple[Any, int]:
    """Listen on 127.0.0.1:`port` (0: any free one) with a protocol made by `make()`; the listening port and
    its number."""
    listening = on.listenTCP(port, Factory.forProtocol(make), interface="127.0.0.1")
    return listening, listening.getHost().port


def vanish(listening: Any, links: Any) -> Any:
    """Gone as a dead process is: the listener closed and every connection cut at once (RST). What comes back
    is done once the listener is."""
    gone = listening.stopListening()
    for link in list(links):
        link.transport.abortConnection()
    return gone
