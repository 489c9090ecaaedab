"""The store of a control process: corrupt files, and a process killed while it applies a change."""

import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest
from configuration_helpers import PLAN, change, control_node

from granitedock.configuration.document import Section
from granitedock.configuration.document_store import DocumentStore
from granitedock.configuration.errors import StoreError


def test_a_corrupt_store_is_not_served(tmp_path):
    """A record altered on disk no longer matches the digest; a zeroed page makes the file unreadable."""
    path = tmp_path / "w.db"
    control_node(path).store.close()
    with sqlite3.connect(path) as database:
        database.execute("UPDATE entries SET record = replace(record, '\"Refill\":11', '\"Refill\":12')")
    with pytest.raises(StoreError, match="w.db: torn: its entries make digest"):
        control_node(path)
    path.write_bytes(path.read_bytes()[:8192] + b"\0" * 4096)
    with pytest.raises(StoreError, match="w.db: "):
        control_node(path)


def test_an_error_names_a_store_of_another_cluster_or_one_that_cannot_be_written(tmp_path):
    """A change that cannot be stored must also leave the document in memory unchanged."""
    path = tmp_path / "w.db"
    writer = control_node(path)
    with pytest.raises(StoreError, match="w.db: the store of cluster 'lab', not 'other'"):
        DocumentStore(path, "other")
    with pytest.raises(StoreError, match="cannot be used as a store"):
        DocumentStore(tmp_path / "none" / "w.db", "lab")
    before = writer.document_record()
    writer.store.database.execute("PRAGMA query_only = ON")
    with pytest.raises(StoreError, match="w.db: cannot be written"):
        writer.apply(change(1, [PLAN]), "test")
    assert writer.document_record() == before


PROGRAM_KILLED_IN_APPLY = """
import os, signal, sys
sys.path[:0] = [{root!r}, {helpers!r}]
from pathlib import Path
from granitedock.configuration.document_store import DocumentStore
from configuration_helpers import PLAN, change, control_node
writer = control_node(Path({path!r}))
writer.apply(change(1, [PLAN]), "test")
DocumentStore.{step} = lambda *_: os.kill(os.getpid(), signal.SIGKILL)
writer.apply(change(2, [PLAN | {{"Name": "silver"}}], ["tenant-00001"]), "test")
"""


@pytest.mark.parametrize("step", ["upsert_entries", "log_change", "update_state"])
def test_a_control_process_killed_while_applying_restarts_with_the_whole_previous_version(tmp_path, step):
    """SIGKILL strikes at each step of the transaction; no part of the unfinished change may remain."""
    path, root = tmp_path / "w.db", Path(__file__).parents[2]
    code = PROGRAM_KILLED_IN_APPLY.format(
        root=str(root), helpers=str(root / "tests" / "helpers"), path=str(path), step=step
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert completed.returncode == -signal.SIGKILL, completed.stderr.decode()
    restarted = control_node(path)
    assert restarted.contents.version == 2
    assert "tenant-00001" in restarted.contents.values[Section.PLANS]
    assert [logged.version for logged in restarted.store.changes()] == [1, 2]
    assert restarted.apply(change(2, [PLAN | {"Name": "silver"}], ["tenant-00001"]), "test").version == 3
