"""The attachment of a gateway to the configuration service, and its local copy."""

import subprocess
import sys
from collections import Counter

from configuration_helpers import PLAN, change

from granitedock.configuration.gateway_attachment import GatewayAttachment
from granitedock.configuration.local_copy import LocalCopy
from granitedock.configuration.message_codec import decode
from granitedock.configuration.messages import Page, SnapshotBegins
from granitedock.configuration.settings import GatewayFile
from granitedock.lab.scale.hosts import build_state_machine
from granitedock.lab.scale.platform import platform_file


def test_a_gateway_without_configuration_service_imports_none_of_its_modules():
    code = "import sys, granitedock.gateway_process\nprint([m for m in sys.modules if 'configuration' in m])"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "[]"


class GatewayStub:
    """Reactor and event log of an attachment; `callFromThread` calls the function immediately."""

    def __init__(self):
        self.counts, self.events = Counter(), []

    def event(self, event, **figures):
        self.events.append(event)

    def callFromThread(self, function, *arguments, **named):
        function(*arguments, **named)


def attached_gateway(tmp_path, copy):
    """An attachment with a local copy and without a connection to a control process."""
    settings = platform_file()
    gateway = GatewayStub()
    file = GatewayFile(enabled=True, cluster="lab", control=["127.0.0.1:1"], copy_file=str(copy))
    attachment = GatewayAttachment(file, "g1", build_state_machine(settings), gateway, lambda: 1e12, gateway)
    attachment.copy = LocalCopy(copy, "lab", attachment.copy_write_failed)
    return attachment, gateway


def apply_lines(attachment, lines):
    """Apply the lines of a snapshot, which may be incomplete."""
    for line in lines:
        message = decode(line)
        if isinstance(message, SnapshotBegins):
            attachment.document.begin_snapshot()
        elif isinstance(message, Page):
            attachment.document.add_page(message.edit)
        else:
            attachment.document.end_snapshot(message.version, message.digest)


def test_an_incomplete_snapshot_adds_no_records_to_the_copy_of_the_next(writer, tmp_path):
    attachment, gateway = attached_gateway(tmp_path, tmp_path / "g.copy")
    attachment.copy.start()
    apply_lines(attachment, writer.snapshot_lines()[:-1])
    writer.apply(change(1, [PLAN], ["tenant-00001"]), "test")
    apply_lines(attachment, writer.snapshot_lines())
    attachment.copy.stop()
    restarted, gateway = attached_gateway(tmp_path, tmp_path / "g.copy")
    restarted.read_copy(restarted.copy)
    assert gateway.events == ["configuration copy read"]
    assert restarted.document.version == 2
    restarted.copy.stop()


def test_a_failed_copy_write_is_logged_and_no_records_are_queued_for_it(writer, tmp_path):
    attachment, gateway = attached_gateway(tmp_path, tmp_path / "none" / "g.copy")
    thread = attachment.copy.thread
    attachment.copy.start()
    thread.join(5.0)
    assert gateway.events == ["configuration copy write failed"]
    apply_lines(attachment, writer.snapshot_lines())
    assert attachment.copy is None and attachment.snapshot_records == [] and attachment.document.version == 1
