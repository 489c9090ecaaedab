"""The endpoint lists of discovery in a stream of lines, however the stream is cut.

Guards against lists that are lost, doubled or accepted too early, and against parsing whose work grows faster
than the list: it runs in the event loop of the gateway. Times are processor times.
"""

import json
import random

import orjson
import pytest
from processor_time import MAX_HOLD_S, READ_BYTES, HoldTimer, frozen_heap

from granitedock.service.discovery_protocol import DiscoveryWatchProtocol
from granitedock.service.input_scheduler import InputScheduler
from granitedock.service.inputs import Input
from granitedock.service.json_lines import JsonLineReader, nesting_change
from granitedock.service.limits import Limits

MAX_HOSTS = 3200  # The most that the platform's pages name.
INDENTS = {"one line": None, "lines without indent": 0, "two spaces": 2, "tab": "\t"}


def endpoint_list(hosts):
    entries = [
        {
            "instanceId": f"s-{n:08x}",
            "hostPort": f"10.1.0.{n}:6379",
            "zone": 'a"]}\\',
            "lifecycle": "in_service",
        }
        for n in range(hosts)
    ]
    return {"generation": 41, "reset": True, "instances": entries}


def pieces(data, piece_bytes):
    return [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]


def read_all(data_pieces, max_bytes=1 << 22):
    """Return what a reader yields, and the reason for which it rejects the data, or ""."""
    reader, documents = JsonLineReader(max_bytes), []
    try:
        for piece in data_pieces:
            documents += reader.read(piece)
    except ValueError as error:
        return documents, str(error)
    return documents, "partial" if reader.has_partial_document() else ""


@pytest.mark.parametrize("indent", INDENTS.values(), ids=INDENTS)
def test_lists_and_heartbeats_are_read_alike_in_any_form_and_however_they_are_cut(indent):
    lists = [endpoint_list(3), endpoint_list(0), endpoint_list(40)]
    text = b"\n \n".join(json.dumps(one, indent=indent).encode() for one in lists) + b"\n\n"
    expected = ([lists[0], None, lists[1], None, lists[2], None], "")
    rng = random.Random(7)
    cuts = sorted(rng.randrange(len(text)) for _ in range(30))
    in_pieces = [text[start:end] for start, end in zip([0, *cuts], [*cuts, len(text)])]
    assert read_all([text]) == read_all(pieces(text, 1)) == read_all(in_pieces) == expected


def cut_off_list(indent):
    """Return the first half of a list, to the end of a value, and a line end."""
    whole = json.dumps(endpoint_list(900), indent=indent).encode()
    return whole[: len(whole) // 2].rsplit(b",", 1)[0] + b"\n"


def test_what_follows_a_list_that_was_cut_off_is_rejected_at_once():
    """Guards against a watch that takes lists of other generations for the rest of an incomplete one."""
    for indent in (None, 2, "\t"):
        documents, reason = read_all([cut_off_list(indent), json.dumps(endpoint_list(1)).encode() + b"\n"])
        assert documents == [] and reason not in ("", "partial"), indent


def test_what_follows_a_cut_off_list_without_indent_is_never_taken_for_its_rest():
    """The reader may notice it late; the silence of the watch, in which no list arrives, ends the watch."""
    later_lists = [json.dumps(endpoint_list(1), indent=indent).encode() + b"\n" for indent in (None, 0, 2)]
    documents, reason = read_all([cut_off_list(0), *later_lists])
    assert documents == [] and reason


@pytest.mark.parametrize(
    "text", [b"no list\n", b"null\n", b'{"a":1}}\n', b"]\n", b'{"a":\n}\n', b'{"a":"\n"}\n']
)
def test_a_line_that_is_no_document_is_rejected(text):
    documents, reason = read_all([text])
    assert documents == [] and reason not in ("", "partial")


def test_a_document_longer_than_the_limit_is_rejected_in_one_line_and_in_many():
    for indent in (None, 0, 2):
        text = json.dumps(endpoint_list(30), indent=indent).encode()
        assert read_all(pieces(text, 100), len(text) // 2)[1].endswith("longer than the limit `document`")


def test_nesting_change_counts_no_brackets_in_strings():
    lines = [b'{"a": [', b'"}]", "\\"}", {', b"}]}", b'"an open string }}', b'"\\', b""]
    assert [nesting_change(line) for line in lines] == [2, 1, -3, 0, 0, 0]


class StubTransport:
    connected = True

    def write(self, data):
        pass

    abortConnection = pauseProducing = resumeProducing = lambda self: None


class StubPolls:
    earliest_arrival_ms = last_poll_ended_ms = 0.0


class StubWatch:
    version = 0


def longest_read_s(body, chunk_bytes):
    """Pass a chunked response to a watch; return the processor time of the longest turn, and the inputs.

    A turn handles a read, or input that waits.
    """
    inputs = []
    limits = Limits.from_platform_file({"settings": {"Lanes": []}})
    scheduler = InputScheduler(StubPolls())
    watch = DiscoveryWatchProtocol(lambda kind, *_: inputs.append(kind), "127.0.0.1:1", limits, scheduler)
    watch.record, watch.transport = StubWatch(), StubTransport()
    watch.connectionMade()
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces(body, chunk_bytes)]
    timer = HoldTimer()
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    with frozen_heap():
        for data in pieces(head + b"".join(chunks), READ_BYTES):
            timer.measure(watch.dataReceived, data)
            while scheduler.seconds_until_turn() is not None:
                timer.measure(scheduler.run_turn)
    return timer.longest_s, inputs


@pytest.mark.parametrize("chunk_bytes", [1, 100, 1 << 20])
@pytest.mark.parametrize("indent", INDENTS.values(), ids=INDENTS)
def test_no_read_of_the_largest_list_holds_the_event_loop(indent, chunk_bytes):
    """Guards against work on the whole incomplete list for each line, or on the whole line for each chunk.

    A read of a list of 3,200 hosts in lines without indent took 1.5 s.
    """
    hosts = MAX_HOSTS if chunk_bytes > 1 else MAX_HOSTS // 8
    body = json.dumps(endpoint_list(hosts), indent=indent).encode() + b"\n"
    longest_s, inputs = longest_read_s(body, chunk_bytes)
    assert inputs[-1] == Input.ENDPOINTS_RECEIVED and Input.WATCH_MALFORMED not in inputs
    assert longest_s < MAX_HOLD_S


def test_a_line_of_escaped_quotes_does_not_hold_the_event_loop():
    """Guards against a search that starts again at each quote of a string that does not end."""
    longest_s, inputs = longest_read_s(b'{"a":\n "' + 30000 * b'\\"' + b"\n", 1 << 20)
    assert inputs[-1] == Input.WATCH_LIST_STARTED and longest_s < MAX_HOLD_S


def test_the_lists_are_what_the_json_library_reads():
    body = json.dumps(endpoint_list(5), indent=0).encode()
    assert read_all([body + b"\n"])[0] == [orjson.loads(body)]
