"""Stored files that an earlier version of the program wrote, read and written by the current one.

tests/data/README.md describes the files. Guards against a changed storage format, which would make the
program reject or misread the data of a running deployment. One helper at the top wraps each reader and
writer, and the tests compare plain values, so that a renamed module changes these helpers only. Files are
copied before they are opened.
"""

import json
import shutil
from dataclasses import astuple
from pathlib import Path

import pytest

DATA = Path(__file__).parents[1] / "data"
MAX_THOUSANDTHS = 2**53 - 1  # The largest number of thousandths of a unit that a row may contain.


# The program's readers and writers.


def read_quota_snapshot(name, data):
    """Return the rows of a quota snapshot of the gateway `name`, as tuples."""
    from granitedock.quota_sharing.snapshot import unpack

    return [astuple(row) for row in unpack(name, data)]


def write_quota_snapshot(name, rows):
    from granitedock.quota_sharing.snapshot import pack
    from granitedock.quota_sharing.uncounted_usage import UsageRow

    return pack(name, [UsageRow(*row) for row in rows])


def quota_snapshot_error():
    from granitedock.quota_sharing.snapshot import SnapshotError

    return SnapshotError


def open_control(path, cluster):
    """Open the store at `path` as a control process (writer); `close_control` closes it."""
    from granitedock.configuration.control_node import ControlNode
    from granitedock.configuration.document_store import DocumentStore

    return ControlNode(DocumentStore(path, cluster), True, lambda: 0.0, lambda followers: None)


def close_control(control):
    control.store.close()


def shown_document(control):
    """Return the whole document in the form that operators see."""
    return control.document_record()


def logged_changes(control):
    """Return the log of changes, each as the line that followers receive."""
    from granitedock.configuration.message_codec import encode

    return [json.loads(encode(change)) for change in control.store.changes()]


def snapshot_lines(control):
    return [json.loads(line) for line in control.snapshot_lines()]


def apply_change(control, record):
    from granitedock.configuration.change_codec import change_from_record

    return control.apply(change_from_record(record, "test"), "test")


def configuration_error():
    from granitedock.configuration.errors import ConfigurationError

    return ConfigurationError


def read_configuration_copy(path, cluster):
    """Return (entries as (section, record), version, digest) of a gateway's copy."""
    from granitedock.configuration.local_copy import LocalCopy

    entries, version, digest = LocalCopy(path, cluster, pytest.fail).read()
    return [(section.value, record) for section, record in entries], version, digest


def read_run(folder):
    """Return (name, length in s, faults, rows as tuples) of a stored laboratory run."""
    from granitedock.lab.run_storage import read

    run = read(folder)
    return run.name, run.length_s, run.faults, [astuple(row) for row in run.records]


def write_run(folder, name, length_s, faults, rows):
    from granitedock.lab.load.request_record import RequestRecord
    from granitedock.lab.run_storage import Run, save

    save(Run(name, length_s, faults, [RequestRecord(*row) for row in rows]), folder)


def read_capacity(path):
    from granitedock.lab.scale.results import read_results

    return read_results(path)


def capacity_figures(results):
    """Return [total, budget] of each role's figures at the operators' size, as their shortest decimals."""
    from granitedock.lab.scale.capacity import role_figures
    from granitedock.lab.scale.sizes import OperatorSize

    rows = role_figures(results, OperatorSize())
    return {
        role: [[repr(row.total), repr(row.budget)] for row in role_rows] for role, role_rows in rows.items()
    }


def replay_trace(path):
    """Return (printed lines, exit code or the reason why the replay stops) of `check-model --replay`."""
    from granitedock.model_checking import command
    from granitedock.model_checking.errors import TraceError

    lines = []
    try:
        return lines, str(command.replay(str(path), lines.append))
    except TraceError as error:
        return lines, str(error).removeprefix(f"{path}: ")


def explore_and_store_trace(world_record, path):
    """Explore the described world as `check-model --trace` does, and return the exit code."""
    from granitedock.model_checking import command

    return command.check(world_record, 20_000, 1, str(path), lambda line: None)


def exploration_figures(world_record):
    """Return the figures of an exploration of the described world, such as its states, moves and ends."""
    from granitedock.model_checking import explore, trace

    exploration = explore.explore(trace.make_world(world_record))
    names = ("states", "moves", "ends", "depth", "complete")
    return {name: getattr(exploration, name) for name in names} | {"broken": exploration.violations}


def planted_faults():
    """Return the function that plants each fault, by the name of the fault's trace."""
    from planted_faults import PLANTED, treat_dead_as_ended

    return {
        "one_shot_again": PLANTED["one-shot again"][0],
        "two_copies": PLANTED["two copies"][0],
        "answers_twice": PLANTED["answers twice"][0],
        "ceiling": PLANTED["ceiling"][0],
        "views_silence": treat_dead_as_ended,
    }


# The content of the stored files.

# Gateway, start of its process in Unix ms, customer, window, length of the window in ms, and two amounts in
# thousandths of a unit: admitted, and of these added to the counter since.
QUOTA_ROWS = [
    ("g0", 1_700_000_000_000, 161, 28333333, 60000, 2500, 500),
    ("g0", 1_699_999_000_000, 2**33 - 1, 28333334, 60000, MAX_THOUSANDTHS, 0),
]
READ = {"Name": "read", "Repeat": "safe", "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 1}
ONCE = {"Name": "once", "Repeat": "unsafe", "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 2}
FREE = {"Name": "free", "Refill": 10, "MostAtOnce": 20, "WindowMs": 4000.0}
GOLD_FIRST = {"Name": "gold", "Refill": 50, "MostAtOnce": 100, "WindowMs": 4000.0}
GOLD = {"Name": "gold", "Refill": 60, "MostAtOnce": 100, "WindowMs": 4000.0}
SLOW = {"Name": "späte Tür", "Refill": 0.5, "MostAtOnce": 1, "WindowMs": 4000.0}
DIGESTS = {
    1: "fdb6e03d99593c7ad68eb94eedc7b7ff",
    2: "03222e55de3688ab6307bac13db9227c",
    3: "fc3fe0c5340a11e62eb6e16f7b9fdc80",
}
CHANGED_AT_MS = 1_700_000_000_250.0
RUN_FAULTS = [{"at_s": 2.0, "what": "slow", "target": "east", "off": "", "for_s": 3.0}]
RUN_ROWS = [
    (0.125, 0, 161, 1.0, 1000.0, "done", 12.5, 1, "read", False),
    (0.25, 1, 162, 2.0, 900.0, "deferred", 1.0, 2, "mark", False),
    (0.5, -1, 162, 1.0, 900.0, "lost", 40.0, 3, "once", True),
]
TRACES = json.loads((DATA / "trace_replays.json").read_bytes())
WALKS = json.loads((DATA / "walks.json").read_bytes())
EXPLORATIONS = json.loads((DATA / "explorations.json").read_bytes())


def copied(tmp_path, name):
    return Path(shutil.copy(DATA / name, tmp_path / name))


# Quota snapshot.


def test_a_stored_quota_snapshot_is_read_and_written_byte_for_byte():
    data = (DATA / "quota_snapshot.bin").read_bytes()
    assert read_quota_snapshot("g0", data) == QUOTA_ROWS
    assert write_quota_snapshot("g0", QUOTA_ROWS) == data


def test_a_quota_snapshot_that_is_corrupt_or_of_another_gateway_is_rejected():
    data = (DATA / "quota_snapshot.bin").read_bytes()
    error = quota_snapshot_error()
    with pytest.raises(error, match="of another gateway: g0"):
        read_quota_snapshot("g1", data)
    for corrupt in (data[:-1], b"\0" + data[1:], b""):
        with pytest.raises(error, match="torn: its checksum is another"):
            read_quota_snapshot("g0", corrupt)


# Control store.


def change_line(version, **sections):
    return {
        "type": "change",
        "version": version,
        "digest": DIGESTS[version],
        "at_ms": CHANGED_AT_MS,
    } | sections


def test_a_stored_control_document_is_served_with_its_log(tmp_path):
    control = open_control(copied(tmp_path, "control_store.db"), "golden")
    document = {"version": 3, "digest": DIGESTS[3], "classes": [READ], "plans": [GOLD, SLOW]}
    assert shown_document(control) == document
    assert logged_changes(control) == [
        change_line(1, classes={"upsert": [READ, ONCE]}, plans={"upsert": [FREE, GOLD_FIRST]}),
        change_line(2, plans={"upsert": [GOLD, SLOW], "remove": ["free"]}),
        change_line(3, classes={"remove": ["once"]}),
    ]
    first, page, last = snapshot_lines(control)
    assert first == {
        "type": "snapshot",
        "cluster": "golden",
        "version": 3,
        "digest": DIGESTS[3],
        "pages": 1,
    }
    entries = {"classes": {"upsert": [READ]}, "plans": {"upsert": [GOLD, SLOW]}}
    assert page == {"type": "page", "number": 0} | entries
    assert last == {"type": "end", "version": 3, "digest": DIGESTS[3]}
    close_control(control)


def test_a_stored_control_document_keeps_a_further_change_when_it_is_reopened(tmp_path):
    path = copied(tmp_path, "control_store.db")
    control = open_control(path, "golden")
    apply_change(control, {"base": 3, "plans": {"remove": ["späte Tür"]}, "classes": {"upsert": [ONCE]}})
    before = shown_document(control)
    close_control(control)
    control = open_control(path, "golden")
    assert shown_document(control) == before
    assert before["version"] == 4 and before["plans"] == [GOLD] and before["classes"] == [ONCE, READ]
    assert len(logged_changes(control)) == 4
    close_control(control)


def test_a_stored_control_document_of_another_cluster_is_rejected(tmp_path):
    with pytest.raises(configuration_error(), match="the store of cluster 'golden', not 'other'"):
        open_control(copied(tmp_path, "control_store.db"), "other")


# A gateway's copy.


def entry_name(entry):
    section, record = entry
    return section, record["Name"]


def test_a_stored_configuration_copy_of_a_gateway_is_read(tmp_path):
    path = copied(tmp_path, "configuration_copy.db")
    entries, version, digest = read_configuration_copy(path, "golden")
    expected = [("classes", READ), ("classes", ONCE), ("plans", GOLD), ("plans", SLOW)]
    assert sorted(entries, key=entry_name) == sorted(expected, key=entry_name)
    assert (version, f"{digest:032x}") == (2, DIGESTS[2])


# A laboratory run.


def test_a_stored_laboratory_run_is_read_and_written_byte_for_byte(tmp_path):
    assert read_run(DATA / "run") == ("golden day", 10.0, RUN_FAULTS, RUN_ROWS)
    write_run(tmp_path, "golden day", 10.0, RUN_FAULTS, RUN_ROWS)
    for name in ("run.json", "rows.jsonl"):
        assert (tmp_path / name).read_bytes() == (DATA / "run" / name).read_bytes()


# Capacity results.


def test_stored_capacity_results_are_read_and_written_byte_for_byte(tmp_path):
    results = read_capacity(DATA / "capacity.json")
    results.write(tmp_path / "capacity.json")
    assert (tmp_path / "capacity.json").read_bytes() == (DATA / "capacity.json").read_bytes()


def test_stored_capacity_results_give_the_recorded_figures_at_the_operators_size():
    figures = capacity_figures(read_capacity(DATA / "capacity.json"))
    assert figures == json.loads((DATA / "capacity_figures.json").read_bytes())


# Traces of the model.


@pytest.mark.parametrize("name", TRACES)
def test_a_stored_trace_replays_to_the_same_violation_under_its_planted_fault(name, monkeypatch):
    planted_faults()[name](monkeypatch)
    assert replay_trace(DATA / "traces" / f"{name}.json") == (TRACES[name]["planted"], "1")


@pytest.mark.parametrize("name", TRACES)
def test_a_stored_trace_replays_without_the_fault_to_the_recorded_end(name):
    replayed = replay_trace(DATA / "traces" / f"{name}.json")
    assert replayed == (TRACES[name]["sound"], TRACES[name]["sound_end"])


@pytest.mark.parametrize("name", TRACES)
def test_an_exploration_under_the_planted_fault_stores_the_same_trace(name, monkeypatch, tmp_path):
    stored = (DATA / "traces" / f"{name}.json").read_bytes()
    world_record = {key: value for key, value in json.loads(stored).items() if key in ("world", "shape")}
    planted_faults()[name](monkeypatch)
    assert explore_and_store_trace(world_record, tmp_path / "trace.json") == 1
    assert (tmp_path / "trace.json").read_bytes() == stored


@pytest.mark.parametrize("walk", WALKS, ids=lambda walk: walk["trace"]["world"])
def test_a_stored_walk_through_a_small_world_replays_to_the_same_states(walk, tmp_path):
    path = tmp_path / "walk.json"
    path.write_text(json.dumps(walk["trace"]))
    assert replay_trace(path) == (walk["said"], walk["end"])


@pytest.mark.parametrize("case", EXPLORATIONS, ids=lambda case: json.dumps(case["world"]["shape"]))
def test_a_small_world_has_the_recorded_states_moves_and_ends(case):
    assert exploration_figures(case["world"]) == case["found"]
