"""A control process without sockets: versions, digests, and the import of a platform's file."""

import pytest
from configuration_helpers import PLAN, change, control_node

from granitedock.configuration.change_codec import change_from_record
from granitedock.configuration.control_process import ControlProcess
from granitedock.configuration.document import Section
from granitedock.configuration.errors import ChangeRejectedError, NotWriterError, VersionConflictError
from granitedock.configuration.settings import ControlFile
from granitedock.lab.scale.platform import platform_settings


def test_a_change_makes_exactly_one_version_and_a_refused_one_none(tmp_path):
    writer = control_node(tmp_path / "w.db")
    made = writer.apply(change(1, [PLAN], ["tenant-00001"]), "test")
    assert (made.version, writer.contents.version) == (2, 2)
    before = writer.document_record()
    for wrong, fault in (
        (change(1, [PLAN]), VersionConflictError),
        (change(3, [PLAN]), VersionConflictError),
        (change(2, [PLAN], ["tenant-00001"]), ChangeRejectedError),
        (
            change_from_record({"base": 2, "classes": {"remove": ["read", "mark", "once"]}}, "test"),
            ChangeRejectedError,
        ),
    ):
        with pytest.raises(fault):
            writer.apply(wrong, "test")
        assert writer.document_record() == before == control_node(tmp_path / "w.db").document_record()
    with pytest.raises(NotWriterError):
        control_node(tmp_path / "r.db", writes=False).apply(change(0, [PLAN]), "test")


def test_the_digest_is_the_same_whatever_the_order_and_the_way(tmp_path):
    one, other = control_node(tmp_path / "a.db"), control_node(tmp_path / "b.db")
    one.apply(change(1, [PLAN | {"Name": "a"}, PLAN | {"Name": "b"}]), "test")
    other.apply(change(1, [PLAN | {"Name": "b"}]), "test")
    other.apply(change(2, [PLAN | {"Name": "c"}, PLAN | {"Name": "a"}]), "test")
    assert one.contents.digest != other.contents.digest
    other.apply(change(3, (), ["c"]), "test")
    assert one.contents.digest == other.contents.digest


def test_a_start_by_the_same_command_leaves_the_import_alone_where_there_is_a_version(tmp_path):
    file = ControlFile(name="c", listen="127.0.0.1:0", store=str(tmp_path / "c.db"), cluster="lab")
    first = ControlProcess(file)
    first.import_settings(platform_settings(2), "platform.json")
    first.node.apply(change(1, [PLAN]), "test")
    first.node.store.close()
    again = ControlProcess(file)
    again.import_settings(platform_settings(9), "platform.json")
    assert again.node.contents.version == 2
    assert "tenant-00008" not in again.node.contents.values[Section.PLANS]
