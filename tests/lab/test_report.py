"""Reports of runs: figures that can be checked by hand, and folders that hold no run."""

from pytest import approx, raises

from granitedock.lab.load.request_record import RequestRecord
from granitedock.lab.report import latencies, plot, report_lines
from granitedock.lab.run_storage import Run, RunError, keep, read

FAULT = {"at_s": 2.0, "what": "slow", "target": "east", "off": "", "for_s": 3.0}


def records():
    done = [RequestRecord(n / 100, 0, 161, 1.0, 1000.0, "done", float(n)) for n in range(1, 1001)]
    return done + [RequestRecord(5.0, 1, 162, 1.0, 1000.0, "deferred", 1.0)] * 250


def test_a_run_is_kept_read_reported_and_drawn_beside_another(tmp_path):
    keep(Run("day", 10.0, [FAULT], records()), tmp_path)
    run = read(tmp_path)
    assert run.records == records() and run.faults == [FAULT]
    histogram = latencies(run.records)
    assert histogram.get_total_count() == 1000
    for part in (50.0, 99.0, 99.9):
        assert histogram.get_value_at_percentile(part) / 1000 == approx(10 * part, rel=0.002)
    said = report_lines(run)
    assert "slow east for 3 s" in said[1] and "done 0.800  deferred 0.200" in said[2]
    assert "p50 500" in said[3] and "customer 162" in said[4] and "done" not in said[4]
    plot([run, run], tmp_path / "two.png")
    assert (tmp_path / "two.png").read_bytes()[:4] == b"\x89PNG"


def test_a_folder_that_holds_no_run_is_named_with_the_line_at_fault(tmp_path):
    with raises(RunError, match="no run"):
        read(tmp_path)
    keep(Run("day", 10.0, [], records()[:2]), tmp_path)
    with open(tmp_path / "rows.jsonl", "ab") as file:
        file.write(b"{\n")
    with raises(RunError, match=r"rows.jsonl:3: JSONDecodeError"):
        read(tmp_path)
