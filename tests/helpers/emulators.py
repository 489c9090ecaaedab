"""The laboratory's emulators of hosts, counter and discovery as loopback processes, for their own tests."""

import json
import subprocess
import sys
from contextlib import contextmanager

STOP_TIMEOUT_S = 5

# A scenario's zone of one host, for tests that need no more.
ONE_HOST = 'length_s = 30\n[fleet]\n[[fleet.zones]]\nname = "east"\nhosts = 1\n'

# A scenario must have clients; the emulators' tests need no more than this.
CLIENTS = '[[clients]]\ncustomer = 1\nproduct = "read"\nplan = "p"\nrate = 1\n'


@contextmanager
def spawned(module, tmp_path, scenario, *arguments):
    """Run `python -m granitedock.lab.emulators.MODULE` on a scenario's text until the context ends.

    Gives the first line that it prints, decoded from JSON: where it can be reached.
    """
    path = tmp_path / "s.toml"
    path.write_text(scenario)
    process = subprocess.Popen(
        [sys.executable, "-m", f"granitedock.lab.emulators.{module}", str(path), *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield json.loads(process.stdout.readline())
    finally:
        process.terminate()
        process.wait(STOP_TIMEOUT_S)
