"""Each name that leaves the process occurs in the code, letter for letter.

`outer_names.txt` lists one name per line: fields and values of messages to clients, hosts, the counter,
discovery and peers; stored columns, record keys and file names; keys of settings files, of the platform file
and of `deploy/balancer.toml`; sub-commands, options and environment variables; counters, metrics and log
events; events and commands of the simulator's adapter. Guards against a rename that changes what other
processes, stored files and operators' tools read.
"""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES_FILE = Path(__file__).parent / "outer_names.txt"


def missing_names(names, text):
    """Return the names that do not occur in the text as whole words."""
    return [
        name for name in names if not re.search(rf"(?<![A-Za-z0-9_]){re.escape(name)}(?![A-Za-z0-9_])", text)
    ]


def outer_names():
    return NAMES_FILE.read_text().splitlines()


def code_text():
    files = [*sorted((ROOT / "granitedock").rglob("*.py")), ROOT / "deploy" / "balancer.toml"]
    return "\n".join(path.read_text() for path in files)


def test_each_name_that_leaves_the_process_occurs_in_the_code():
    assert missing_names(outer_names(), code_text()) == []


def test_a_name_that_was_changed_is_reported():
    changed = code_text().replace("MostAtOnce", "Burst").replace("held_bytes_now", "held_bytes_total")
    assert missing_names(outer_names(), changed) == ["MostAtOnce", "held_bytes_now"]


def test_the_list_has_each_name_once_in_order():
    assert outer_names() == sorted(set(outer_names())) and "" not in outer_names()
