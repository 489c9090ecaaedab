"""Stops load generators that a failed test left running."""

from contextlib import contextmanager

from granitedock.lab.load.generator import LoadGenerator


@contextmanager
def load_stopped_at_exit():
    """Stop every load that was started inside and still runs at the exit.

    Guards against a test that fails before it stops its load: the load would go on sending to the same
    addresses, where the next test of this process starts its own gateways, and the malformed requests would
    fill those gateways' logs up to the bound of lines per second.
    """
    started = []
    start = LoadGenerator.start

    def record_start(load, *arguments, **named):
        started.append(load)
        return start(load, *arguments, **named)

    LoadGenerator.start = record_start
    try:
        yield
    finally:
        LoadGenerator.start = start
        for load in started:
            if load.running:
                load.stop()
