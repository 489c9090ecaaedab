"""The store of a control process: corrupt files, and a process killed in the middle of a change."""

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


def test_a_store_that_is_torn_is_not_served(tmp_path):
    path = tmp_path / "w.db"
    control_node(path).store.close()
    with sqlite3.connect(path) as database:
        database.execute("UPDATE entries SET record = replace(record, '\"Refill\":11', '\"Refill\":12')")
    with pytest.raises(StoreError, match="w.db: torn: its entries make digest"):
        control_node(path)
    path.write_bytes(path.read_bytes()[:8192] + b"\0" * 4096)
    with pytest.raises(StoreError, match="w.db: "):
        control_node(path)


def test_a_store_of_another_cluster_or_that_cannot_be_written_is_named(tmp_path):
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


KILLED = """
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
def test_control_killed_in_the_middle_of_an_apply_has_the_version_before_whole(tmp_path, step):
    path, root = tmp_path / "w.db", Path(__file__).parents[2]
    code = KILLED.format(root=str(root), helpers=str(root / "tests" / "helpers"), path=str(path), step=step)
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert ended.returncode == -signal.SIGKILL, ended.stderr.decode()
    again = control_node(path)
    assert again.contents.version == 2
    assert "tenant-00001" in again.contents.values[Section.PLANS]
    assert [one.version for one in again.store.changes()] == [1, 2]
    assert again.apply(change(2, [PLAN | {"Name": "silver"}], ["tenant-00001"]), "test").version == 3
