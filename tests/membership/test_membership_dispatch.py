"""Dispatch tables cover all timers and kinds, and membership does not depend on the attached services."""

import ast
from pathlib import Path

from pytest import mark, raises

import granitedock.membership
from granitedock.membership.codec import decode, encode
from granitedock.membership.errors import MalformedMessageError, PayloadKindError
from granitedock.membership.member import Member, MemberState
from granitedock.membership.membership import MESSAGE_HANDLERS, TIMER_HANDLERS
from granitedock.membership.messages import Message, MessageKind, PayloadType
from granitedock.membership.settings import MembershipFile
from granitedock.membership.timers import Timer
from granitedock.membership.udp_transport import UdpTransport

MODULES = sorted(Path(granitedock.membership.__file__).parent.glob("*.py"))
ALLOWED_PACKAGES = ("granitedock.membership", "granitedock.errors", "granitedock.toml_file")
NUMBERS = PayloadType(9, lambda row: [row], lambda row: row[0])


class Clock:
    def seconds(self):
        return 1.0


class Log:
    counts = {}


def test_each_timer_and_each_kind_except_gossip_has_a_handler():
    """A timer or kind without a handler would raise an error or be dropped without notice."""
    assert list(TIMER_HANDLERS) == list(Timer)
    assert {*MESSAGE_HANDLERS, MessageKind.GOSSIP} == set(MessageKind)


@mark.parametrize("module", MODULES, ids=lambda module: module.stem)
def test_no_module_imports_an_attached_service(module):
    """Such an import would make the protocol depend on the services that use it."""
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.ImportFrom):
            names = [node.module]
        else:
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        for name in names:
            assert not name.startswith("granitedock") or name.startswith(ALLOWED_PACKAGES), name


def test_payload_is_accepted_only_if_its_kind_is_registered():
    """Without a codec, the rows of an unknown kind would reach a handler unchecked."""
    message = Message(NUMBERS.kind, Member("a", "127.0.0.1:9", 5, 0, MemberState.ALIVE), payload=(3, 4))
    data = encode("c", message, {NUMBERS.kind: NUMBERS})
    assert decode("c", data, {NUMBERS.kind: NUMBERS}) == message
    with raises(MalformedMessageError, match="unknown kind"):
        decode("c", data)
    with raises(PayloadKindError, match="not registered"):
        encode("c", message)


def test_payload_kind_in_use_cannot_be_registered():
    """A second service, or one with a kind of the protocol, would receive datagrams of another."""
    transport = UdpTransport(MembershipFile(enabled=True, listen="127.0.0.1:9"), "a", {}, 5, Clock(), Log())
    transport.register_payload(NUMBERS)
    for used_type in (NUMBERS, PayloadType(MessageKind.PAGE, list, list)):
        with raises(PayloadKindError):
            transport.register_payload(used_type)
