"""A control node without sockets: versions, digests, and the import of a platform file."""

import pytest
from configuration_helpers import PLAN, change, control_node

from granitedock.configuration.change_codec import change_from_record
from granitedock.configuration.control_process import ControlProcess
from granitedock.configuration.document import Section
from granitedock.configuration.errors import ChangeRejectedError, NotWriterError, VersionConflictError
from granitedock.configuration.settings import ControlFile
from granitedock.lab.scale.platform import platform_settings


def test_an_applied_change_makes_exactly_one_version_and_a_rejected_one_makes_none(tmp_path):
    """A rejected change must leave both the document in memory and the stored one unchanged."""
    writer = control_node(tmp_path / "w.db")
    versioned_change = writer.apply(change(1, [PLAN], ["tenant-00001"]), "test")
    assert (versioned_change.version, writer.contents.version) == (2, 2)
    before = writer.document_record()
    for rejected_change, expected_error in (
        (change(1, [PLAN]), VersionConflictError),
        (change(3, [PLAN]), VersionConflictError),
        (change(2, [PLAN], ["tenant-00001"]), ChangeRejectedError),
        (
            change_from_record({"base": 2, "classes": {"remove": ["read", "mark", "once"]}}, "test"),
            ChangeRejectedError,
        ),
    ):
        with pytest.raises(expected_error):
            writer.apply(rejected_change, "test")
        assert writer.document_record() == before == control_node(tmp_path / "w.db").document_record()
    with pytest.raises(NotWriterError):
        control_node(tmp_path / "r.db", writes=False).apply(change(0, [PLAN]), "test")


def test_the_digest_depends_on_the_entries_and_not_on_the_order_of_their_changes(tmp_path):
    """Two stores that reach the same entries by different changes must agree on the digest."""
    first, second = control_node(tmp_path / "a.db"), control_node(tmp_path / "b.db")
    first.apply(change(1, [PLAN | {"Name": "a"}, PLAN | {"Name": "b"}]), "test")
    second.apply(change(1, [PLAN | {"Name": "b"}]), "test")
    second.apply(change(2, [PLAN | {"Name": "c"}, PLAN | {"Name": "a"}]), "test")
    assert first.contents.digest != second.contents.digest
    second.apply(change(3, (), ["c"]), "test")
    assert first.contents.digest == second.contents.digest


def test_a_restart_with_the_same_command_skips_the_import_if_the_store_has_a_version(tmp_path):
    """A second import would overwrite the changes that operators made since the first start."""
    file = ControlFile(name="c", listen="127.0.0.1:0", store=str(tmp_path / "c.db"), cluster="lab")
    first = ControlProcess(file)
    first.import_settings(platform_settings(2), "platform.json")
    first.node.apply(change(1, [PLAN]), "test")
    first.node.store.close()
    restarted = ControlProcess(file)
    restarted.import_settings(platform_settings(9), "platform.json")
    assert restarted.node.contents.version == 2
    assert "tenant-00008" not in restarted.node.contents.values[Section.PLANS]
