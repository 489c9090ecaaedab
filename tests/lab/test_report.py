"""Reports and storage of laboratory runs.

The tests guard against wrong percentiles or shares in a report, which known latencies reveal, and against an
error for an invalid folder that does not name the file and line.
"""

from pytest import approx, raises

from granitedock.lab.load.request_record import RequestRecord
from granitedock.lab.report import latencies, plot, report_lines
from granitedock.lab.run_storage import Run, RunError, read, save

FAULT = {"at_s": 2.0, "what": "slow", "target": "east", "off": "", "for_s": 3.0}


def records():
    done = [RequestRecord(n / 100, 0, 161, 1.0, 1000.0, "done", float(n)) for n in range(1, 1001)]
    return done + [RequestRecord(5.0, 1, 162, 1.0, 1000.0, "deferred", 1.0)] * 250


def test_a_saved_run_is_read_reported_and_plotted_beside_another(tmp_path):
    save(Run("day", 10.0, [FAULT], records()), tmp_path)
    run = read(tmp_path)
    assert run.records == records() and run.faults == [FAULT]
    histogram = latencies(run.records)
    assert histogram.get_total_count() == 1000
    for percentile in (50.0, 99.0, 99.9):
        assert histogram.get_value_at_percentile(percentile) / 1000 == approx(10 * percentile, rel=0.002)
    lines = report_lines(run)
    assert "slow east for 3 s" in lines[1] and "done 0.800  deferred 0.200" in lines[2]
    assert "p50 500" in lines[3] and "customer 162" in lines[4] and "done" not in lines[4]
    plot([run, run], tmp_path / "two.png")
    assert (tmp_path / "two.png").read_bytes()[:4] == b"\x89PNG"


def test_the_error_for_an_invalid_run_names_the_folder_and_the_line(tmp_path):
    with raises(RunError, match="no run"):
        read(tmp_path)
    save(Run("day", 10.0, [], records()[:2]), tmp_path)
    with open(tmp_path / "rows.jsonl", "ab") as file:
        file.write(b"{\n")
    with raises(RunError, match=r"rows.jsonl:3: JSONDecodeError"):
        read(tmp_path)
