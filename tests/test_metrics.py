"""The parser of a gateway's reply to INFO.

Prevents a line of another form, or one without a number, from failing the scrape or appearing as a counter.
"""


def test_parse_counters_skips_lines_without_a_name_and_a_number():
    from granitedock.metrics import parse_counters

    assert parse_counters(b"done:7\r\ntasks_now:2\r\nbad line\r\nhalf:\r\n") == {"done": 7, "tasks_now": 2}
