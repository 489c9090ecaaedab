"""The wire formats, checked in both directions against the recordings in tests/data/README.md.

Prevents a change of a codec from altering a format that other processes, of this version or another, already
use. Recorded bytes decode to the recorded values, and encoding these values gives the recorded bytes. Each
decoder or encoder of the program is called through one helper at the top, which takes and returns plain
values.
"""

import json
from dataclasses import astuple
from pathlib import Path
from types import SimpleNamespace

import pytest

DATA = Path(__file__).parents[1] / "data"
CLUSTER = "golden"
START = SimpleNamespace(version=7)  # The version from which the discovery watch continues.


# Datagrams between gateways.


def member_fields(member):
    return [*astuple(member)[:4], int(member.state), member.slot, member.settings_checksum]


def member_from(fields):
    from granitedock.membership.member import Member, MemberState

    name, address, started_at, refutations, state, slot, settings_checksum = fields
    return Member(name, address, started_at, refutations, MemberState(state), slot, settings_checksum)


def datagram_fields(data):
    """Decode a datagram to plain values; raises `datagram_error`, a ValueError."""
    from granitedock.membership.codec import decode
    from granitedock.membership_services import PAYLOAD_TYPES
    from granitedock.outlier_detection.payload import HOST_PAYLOAD
    from granitedock.quota_sharing.payload import QUOTA_PAYLOAD

    message = decode(CLUSTER, data, PAYLOAD_TYPES)
    rows = {message.kind: [list(astuple(row)) for row in message.payload]}
    return {
        "kind": int(message.kind),
        "sender": member_fields(message.sender),
        "number": message.number,
        "word": message.word,
        "news": [
            {
                "member": member_fields(item.member),
                "suspected_by": item.suspected_by,
                "ended_ms_ago": item.ended_ms_ago,
            }
            for item in message.updates
        ],
        "quota_rows": rows.get(QUOTA_PAYLOAD.kind, []),
        "host_rows": rows.get(HOST_PAYLOAD.kind, []),
    }


def datagram_from(fields):
    from granitedock.membership.codec import encode
    from granitedock.membership.member import MemberUpdate
    from granitedock.membership.messages import Message
    from granitedock.membership_services import PAYLOAD_TYPES
    from granitedock.outlier_detection.observations import HostObservation
    from granitedock.quota_sharing.uncounted_usage import UsageRow

    updates = tuple(
        MemberUpdate(member_from(item["member"]), item["suspected_by"], item["ended_ms_ago"])
        for item in fields["news"]
    )
    message = Message(
        fields["kind"],
        member_from(fields["sender"]),
        fields["number"],
        fields["word"],
        updates,
        (
            *(UsageRow(*row) for row in fields["quota_rows"]),
            *(HostObservation(*row) for row in fields["host_rows"]),
        ),
    )
    return encode(CLUSTER, message, PAYLOAD_TYPES)


def datagram_error():
    from granitedock.membership.errors import MalformedMessageError

    return MalformedMessageError


def datagram_kinds():
    from granitedock.membership.messages import MessageKind
    from granitedock.membership_services import PAYLOAD_TYPES

    return {int(kind) for kind in MessageKind} | set(PAYLOAD_TYPES)


# Lines of the configuration service.


def line_kinds():
    """Return each message type by the kind that its line carries."""
    from granitedock.configuration.message_codec import KINDS

    return KINDS


def line_fields(line):
    """Decode a line to its kind and its fields by name, an edit by section; raises `line_error`."""
    from granitedock.configuration.message_codec import NAMES, decode

    message = decode(line)
    fields = {"kind": NAMES[type(message)]}
    for name in message.__slots__:
        value = getattr(message, name)
        fields[name] = edit_fields(value) if name == "edit" else value
    return fields


def edit_fields(edit):
    return {
        "upserts": {section.value: list(records) for section, records in edit.upserts.items()},
        "removals": {section.value: list(names) for section, names in edit.removals.items()},
    }


def edit_from(fields):
    from granitedock.configuration.document import Edit, Section

    return Edit(
        {Section(name): tuple(records) for name, records in fields["upserts"].items()},
        {Section(name): tuple(names) for name, names in fields["removals"].items()},
    )


def line_from(fields):
    from granitedock.configuration.message_codec import encode

    values = {name: value for name, value in fields.items() if name != "kind"}
    if "edit" in values:
        values["edit"] = edit_from(values["edit"])
    return encode(line_kinds()[fields["kind"]](**values))


def line_error():
    from granitedock.configuration.errors import MalformedLineError

    return MalformedLineError


def split_lines(pieces, max_bytes):
    """Split a body that arrives in pieces into its lines; raises `line_error`."""
    from granitedock.configuration.line_framing import LineBuffer

    buffer = LineBuffer(max_bytes)
    return [line.decode() for piece in pieces for line in buffer.lines(piece)]


def heartbeat_line():
    from granitedock.configuration.message_codec import HEARTBEAT

    return HEARTBEAT


# RESP.


def limits():
    from fake_gateway import SETTINGS

    from granitedock.service.limits import Limits

    settings = SETTINGS | {"Specifics": SETTINGS["Specifics"] | {"TruedUp": True}}
    return Limits.from_platform_file({"limits": {}, "settings": settings})


def resp_values(pieces):
    """Decode a stream that arrives in pieces to [values, why it is malformed or ""].

    An error is ["error", its text], bytes are ["bulk", text].
    """
    from granitedock.service.resp_receiver import RespReceiver

    receiver = RespReceiver(64, 128, 256, 8, 3)
    values, faults = [], []
    receiver.value_received = lambda value, parts: values.append(plain_value(value))
    receiver.malformed = faults.append
    receiver.makeConnection(transport())
    for piece in pieces:
        receiver.dataReceived(piece)
    return [values, "; ".join(faults)]


def plain_value(value):
    from granitedock.service.resp import ErrorReply

    if isinstance(value, bytes):
        return ["bulk", value.decode("latin-1")]
    if isinstance(value, ErrorReply):
        return ["error", value.text.decode("latin-1")]
    if isinstance(value, list):
        return ["array", [plain_value(item) for item in value]]
    return ["text" if isinstance(value, str) else "plain", value]


def resp_command(words):
    from granitedock.service.resp import encode_command

    return encode_command(*words)


def client_command(data, forward_ms):
    """Decode a client's commands and encode their requests for the host, or return why one is malformed."""
    from granitedock.service.client_protocol import ClientProtocol
    from granitedock.service.inputs import Input

    recorded = {Input.COMMAND_RECEIVED: "command", Input.CLIENT_MALFORMED: "malformed"}
    inputs = []
    protocol = ClientProtocol(lambda *input_fields: inputs.append(input_fields), limits())
    protocol.makeConnection(transport())
    protocol.dataReceived(data)
    decoded = []
    for event, _, *arguments in inputs:
        if event is Input.REQUEST_RECEIVED:
            decoded.append(["request", *request_fields(arguments[0], forward_ms)])
        elif event in recorded:
            text = arguments[0].decode("latin-1") if isinstance(arguments[0], bytes) else arguments[0]
            decoded.append([recorded[event], text])
    return decoded


def request_fields(request, forward_ms):
    return [
        request.id.decode(),
        request.request_class,
        request.plan,
        request.customer,
        request.idempotent,
        request.keyed,
        request.time_left_ms,
        request.units,
        request.subset_size,
        request.subset_start,
        request.encode(forward_ms).decode("latin-1"),
    ]


def host_answer(data):
    """Decode the bytes of a host's answer.

    Returns [outcome, whether the connection may be reused, bytes for the client, true units, the customer's
    usage], or ["malformed", why], or [] for an incomplete answer.
    """
    from granitedock.service.host_protocol import HostProtocol
    from granitedock.service.inputs import Input

    inputs = []
    protocol = HostProtocol(lambda *input_fields: inputs.append(input_fields), limits())
    protocol.makeConnection(transport())
    protocol.dataReceived(data)
    for event, _, *arguments in inputs:
        if event is Input.HOST_RESPONSE:
            reusable, outcome, answer, units, used = arguments
            return [outcome.value, reusable, answer.decode("latin-1"), units, used]
        if event is Input.HOST_MALFORMED:
            return ["malformed", arguments[0]]
    return []


def counter_call(name, amount, life_ms):
    from granitedock.service.counter_protocol import encode_call

    return encode_call(name, amount, life_ms)


def counter_ping():
    from granitedock.service.counter_protocol import PING

    return PING


def counter_answers(data):
    """Decode the counter's bytes to [kind, total] for each answer, and ["malformed", why] at the end."""
    from granitedock.service.counter_protocol import CounterProtocol
    from granitedock.service.inputs import Input

    inputs = []
    protocol = CounterProtocol(lambda *input_fields: inputs.append(input_fields), limits())
    protocol.makeConnection(transport())
    protocol.dataReceived(data)
    answers = [
        [arguments[0].value, arguments[1]] for event, _, *arguments in inputs if event is Input.COUNTER_REPLY
    ]
    return answers + [
        ["malformed", arguments[0]] for event, _, *arguments in inputs if event is Input.COUNTER_MALFORMED
    ]


# HTTP.


def transport():
    """Create a transport that keeps the written bytes and has no bytes to read."""
    from twisted.internet.testing import StringTransport

    class Transport(StringTransport):
        connected = True
        recv = None

        def setTcpNoDelay(self, on):
            pass

        def doWrite(self):
            pass

        def getHandle(self):
            def recv(size, flags):
                raise BlockingIOError

            return SimpleNamespace(recv=recv, setsockopt=lambda *_option: None)

    return Transport()


def discovery_watch(pieces):
    """Return the request of a watch, and what it decodes from an answer that arrives in pieces.

    The watch decodes an empty line to None, a list to [version, complete, entries], and input that ends it to
    the reason, a text.
    """
    from granitedock.service.discovery_protocol import DiscoveryWatchProtocol
    from granitedock.service.inputs import Input

    inputs = []
    protocol = DiscoveryWatchProtocol(
        lambda *input_fields: inputs.append(input_fields), "127.0.0.1:99", limits()
    )
    protocol.record = START
    protocol.makeConnection(transport())
    request = protocol.transport.value().decode()
    for piece in pieces:
        protocol.dataReceived(piece)
    decoded = []
    for event, _, *arguments in inputs:
        if event is Input.ENDPOINTS_RECEIVED:
            decoded.append(arguments[0] and listing_fields(arguments[0]))
        elif event is Input.WATCH_MALFORMED:
            decoded.append(arguments[0])
    return request, decoded


def listing_fields(listing):
    from granitedock.service.discovery_protocol import STATUSES

    status_names = {status: name for name, status in STATUSES.items()}
    entries = [[*entry[:-1], status_names[entry.status]] for entry in listing.entries]
    return [listing.version, listing.complete, entries]


def follower_watch_request():
    """Return the bytes with which a gateway opens its watch on the configuration and reports a version."""
    from granitedock.configuration.follower_connection import WatchProtocol
    from granitedock.configuration.messages import InForce

    document = SimpleNamespace(version=3, digest=255)
    follower = SimpleNamespace(
        name="g0 a", cluster=CLUSTER, document=document, connected=lambda connection, network, now: None
    )
    carrier = SimpleNamespace(
        follower=follower, role="gateway", now=lambda: 0.0, counts={"configuration_bytes_out": 0}
    )
    protocol = WatchProtocol(carrier, SimpleNamespace(address="127.0.0.1:98"))
    protocol.makeConnection(transport())
    protocol.send(InForce(3, 255))
    return protocol.transport.value().decode()


def control_answers(tmp_path, requests):
    """Return the answer of a control process, over the stored document, to each of the requests."""
    from test_stored_data import close_control, copied, open_control

    from granitedock.configuration.control_connection import ControlConnection
    from granitedock.configuration.control_server import ControlServer

    path = copied(tmp_path, "control_store.db")
    control = open_control(path, CLUSTER)
    reactor = SimpleNamespace(callLater=lambda delay, action: None)
    service = ControlServer(reactor, control, lambda event, **fields: None)
    answers = []
    for request in requests:
        protocol = ControlConnection(service)
        protocol.makeConnection(transport())
        protocol.dataReceived(request.encode())
        answers.append(protocol.transport.value().decode())
    close_control(control)
    return answers


# The tests.


def recorded(name):
    return json.loads((DATA / name).read_bytes())


DATAGRAMS = recorded("membership_datagrams.json")
LINES = recorded("configuration_lines.json")
TEXTS = recorded("protocol_texts.json")


@pytest.mark.parametrize("case", DATAGRAMS["messages"], ids=lambda case: case["name"])
def test_a_recorded_datagram_is_decoded_and_encoded(case):
    assert datagram_fields(bytes.fromhex(case["hex"])) == case["fields"]
    assert datagram_from(case["fields"]).hex() == case["hex"]


def test_a_datagram_of_every_kind_is_recorded():
    assert {case["fields"]["kind"] for case in DATAGRAMS["messages"]} == datagram_kinds()


@pytest.mark.parametrize("case", DATAGRAMS["malformed"], ids=lambda case: case["why"])
def test_a_malformed_datagram_is_rejected_with_the_recorded_reason(case):
    with pytest.raises(datagram_error()) as raised:
        datagram_fields(bytes.fromhex(case["hex"]))
    assert str(raised.value) == case["why"]


@pytest.mark.parametrize("case", LINES["messages"], ids=lambda case: case["name"])
def test_a_recorded_configuration_line_is_decoded_and_encoded(case):
    assert line_fields(case["line"].encode()) == case["fields"]
    assert line_from(case["fields"]).decode() == case["line"]


def test_a_configuration_line_of_every_kind_is_recorded():
    assert {case["fields"]["kind"] for case in LINES["messages"]} == set(line_kinds())
    assert heartbeat_line() == b"\n"


@pytest.mark.parametrize("case", LINES["malformed"], ids=lambda case: case["why"])
def test_a_malformed_configuration_line_is_rejected_with_the_recorded_reason(case):
    with pytest.raises(line_error()) as raised:
        line_fields(case["line"].encode())
    assert str(raised.value) == case["why"]


def test_a_body_is_split_into_the_same_lines_wherever_it_is_cut():
    body = "".join(case["line"] for case in LINES["messages"]) + "\n"
    expected = body.split("\n")[:-1]
    data = body.encode()
    for size in (1, 7, len(data)):
        assert split_lines([data[at : at + size] for at in range(0, len(data), size)], 4096) == expected
    with pytest.raises(line_error(), match="a line of more than 4 bytes"):
        split_lines([b"abc", b"de"], 4)


@pytest.mark.parametrize("case", TEXTS["resp"], ids=lambda case: repr(case["data"])[:40])
def test_a_resp_stream_decodes_to_the_recorded_values_whole_and_byte_by_byte(case):
    data = case["data"].encode("latin-1")
    assert resp_values([data]) == case["found"]
    assert resp_values([data[at : at + 1] for at in range(len(data))]) == case["found"]


def test_a_command_is_an_array_of_bulk_strings():
    assert resp_command([b"A", b"", b"b\r\n"]) == b"*3\r\n$1\r\nA\r\n$0\r\n\r\n$3\r\nb\r\n\r\n"


@pytest.mark.parametrize("case", TEXTS["client"], ids=lambda case: repr(case["data"])[-40:])
def test_a_client_command_is_decoded_and_encoded_for_its_host_as_recorded(case):
    assert client_command(case["data"].encode("latin-1"), case["forward_ms"]) == case["found"]


@pytest.mark.parametrize("case", TEXTS["host"], ids=lambda case: repr(case["data"])[:40])
def test_a_host_answer_is_decoded_as_recorded(case):
    assert host_answer(case["data"].encode("latin-1")) == case["found"]


@pytest.mark.parametrize("case", TEXTS["counter_calls"], ids=lambda case: case["data"][-20:])
def test_a_counter_call_is_encoded_as_recorded(case):
    assert counter_call(*case["values"]) == case["data"].encode()


def test_the_keep_alive_of_a_counter_connection_is_a_ping():
    assert counter_ping() == b"*1\r\n$4\r\nPING\r\n"


@pytest.mark.parametrize("case", TEXTS["counter_answers"], ids=lambda case: repr(case["data"])[:40])
def test_counter_answers_are_decoded_as_recorded(case):
    assert counter_answers(case["data"].encode("latin-1")) == case["found"]


@pytest.mark.parametrize("case", TEXTS["discovery"], ids=lambda case: case["name"])
def test_a_discovery_watch_is_requested_and_decoded_as_recorded(case):
    request, decoded = discovery_watch([piece.encode() for piece in case["pieces"]])
    assert request == TEXTS["discovery_request"]
    assert decoded == case["heard"]


def test_the_request_for_a_configuration_watch_is_encoded_as_recorded():
    assert follower_watch_request() == TEXTS["follower_request"]


def test_a_control_process_answers_requests_as_recorded(tmp_path):
    answers = control_answers(tmp_path, [case["request"] for case in TEXTS["control"]])
    assert answers == [case["answer"] for case in TEXTS["control"]]
