"""Example of the parser of counters."""


def test_metrics_figures():
    from granitedock.metrics import parse_counters

    assert parse_counters(b"done:7\r\ntasks_now:2\r\nbad line\r\nhalf:\r\n") == {"done": 7, "tasks_now": 2}
