"""Runs the laboratory's emulators of hosts, counter and discovery as processes, for their tests."""

import json
import subprocess
import sys
from contextlib import contextmanager

STOP_TIMEOUT_S = 5

# The fleet of a scenario with one zone of one host.
ONE_HOST = 'length_s = 30\n[fleet]\n[[fleet.zones]]\nname = "east"\nhosts = 1\n'

# The clients that a valid scenario must contain; the emulators do not use them.
CLIENTS = '[[clients]]\ncustomer = 1\nproduct = "read"\nplan = "p"\nrate = 1\n'


@contextmanager
def spawned(module, tmp_path, scenario, *arguments):
    """Run `python -m granitedock.lab.emulators.MODULE` on a scenario's text until the context ends.

    Yields the first line that the process prints, decoded from JSON: the emulator's address or addresses.
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
