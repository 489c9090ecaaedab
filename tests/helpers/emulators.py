"""The laboratory's emulators as processes for the tests: started on loopback, ended by their id."""

import json
import subprocess
import sys
from contextlib import contextmanager

# One zone of one host, for tests that need no more.
ONE_HOST = 'length_s = 30\n[fleet]\n[[fleet.zones]]\nname = "east"\nhosts = 1\n'

# A scenario must have clients; tests of emulators need no more than this.
CLIENTS = '[[clients]]\ncustomer = 1\nproduct = "read"\nplan = "p"\nrate = 1\n'


@contextmanager
def spawned(module, tmp_path, scenario, *more):
    """`python -m granitedock.lab.emulators.MODULE` on a scenario's text; gives its first line, as JSON."""
    path = tmp_path / "s.toml"
    path.write_text(scenario)
    process = subprocess.Popen(
        [sys.executable, "-m", f"granitedock.lab.emulators.{module}", str(path), *more],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield json.loads(process.stdout.readline())
    finally:
        process.terminate()
        process.wait(5)
