"""Examples of small functions of the service: the result of each for given arguments.

Guards against parsers that accept input which they must reject, and against a changed wire format.
"""


def test_parse_request_reads_the_fields_and_keeps_the_bytes_around_the_deadline():
    from granitedock.service.parsed_request import Limits, parse_request
    from granitedock.service.resp import encode_command

    text = b"c=r,t=p,d=480,units=2,spread=3,first=1"
    words = [b"API.READ", b"00000000000000a1", b"9b1f03aa5c7e2d41", text]
    limits = Limits.from_platform_file({"settings": {"Balancers": 4, "Lanes": []}})
    request = parse_request(words, encode_command(*words).split(b"\r\n")[:-1], limits)
    assert (
        request.request_class,
        request.customer,
        request.time_left_ms,
        request.subset_size,
        request.fields_before,
        request.fields_after,
    ) == (
        "r",
        161,
        480.0,
        3,
        b"c=r,t=p,d=",
        b",units=2,spread=3,first=1",
    )


def test_format_amount_writes_at_most_six_decimals_without_trailing_zeros():
    from granitedock.service.counter_protocol import format_amount

    assert (format_amount(2.0), format_amount(-2.5), format_amount(1e-09), format_amount(0.1 + 0.2)) == (
        b"2",
        b"-2.5",
        b"0",
        b"0.3",
    )


def test_parse_endpoint_list_reads_an_entry_and_fills_in_the_defaults():
    from granitedock.service.discovery_protocol import EndpointEntry, EndpointStatus, parse_endpoint_list

    instance = {"instanceId": "s-1", "hostPort": "127.0.0.1:1", "lifecycle": "terminating"}
    update = parse_endpoint_list({"generation": 4, "reset": True, "instances": [instance]})
    assert update.entries[0] == EndpointEntry(
        "s-1", "127.0.0.1:1", 1.0, "", "", 0, 0.0, EndpointStatus.DRAINING
    )


def test_parse_usage_ignores_figures_that_are_unreadable_or_too_large():
    from granitedock.service.host_protocol import parse_usage

    assert (
        parse_usage(b"used=86,cost=3", 4.0),
        parse_usage(None, 4.0),
        parse_usage(86, 4.0),
        parse_usage(b"?", 4.0),
    ) == (
        (3.0, 86),
        (0.0, 0),
        (0.0, 86),
        (0.0, 0),
    )
    assert [
        parse_usage(b"used=%b,cost=%b" % (figure, figure), 4.0)
        for figure in (b"nan", b"inf", b"1_0", b"-1", b"9")
    ] == [
        (0.0, 0),
        (0.0, 0),
        (0.0, 0),
        (0.0, 0),
        (0.0, 9),
    ]


def test_encode_bulk_string():
    from granitedock.service.resp import encode_bulk_string

    assert encode_bulk_string(b"ab") == b"$2\r\nab\r\n"


def test_encode_command():
    from granitedock.service.resp import encode_command

    assert encode_command(b"PING") == b"*1\r\n$4\r\nPING\r\n"


def test_parse_length_rejects_anything_but_plain_digits():
    from granitedock.service.resp import parse_length

    assert (
        parse_length(b"16"),
        parse_length(b"0"),
        parse_length(b"016"),
        parse_length(b"+1"),
        parse_length(b""),
    ) == (16, 0, -1, -1, -1)


def test_join_parts_restores_the_line_ends():
    from granitedock.service.resp import join_parts

    assert join_parts([b"$2", b"ab"]) == b"$2\r\nab\r\n"
