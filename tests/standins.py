"""The laboratory's stand-ins as processes for the stories: started on loopback, ended by their id."""

import json
import subprocess
import sys
from contextlib import contextmanager

# A scenario must have clients; the stand-ins' stories need no more than this.
CLIENTS = '[[clients]]\ncustomer = 1\nproduct = "read"\nplan = "p"\nrate = 1\n'


@contextmanager
def spawned(module, tmp_path, scenario, *more):
    """`python -m granitedock.lab.MODULE` on a scenario's text; gives what it printed first, as JSON."""
    path = tmp_path / "s.toml"
    path.write_text(scenario)
    process = subprocess.Popen(
        [sys.executable, "-m", f"granitedock.lab.{module}", str(path), *more],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield json.loads(process.stdout.readline())
    finally:
        process.terminate()
        process.wait(5)
