"""Examples of small functions of the lab: each test shows the results for typical arguments."""


def test_lab_host_faults_host_condition():
    from granitedock.lab.faults.host_faults import Fault, host_condition

    slow = Fault(at_s=20, what="slow", target="east", for_s=15, factor=6)
    assert [host_condition([slow], 0, ms).slowdown for ms in (19999, 20000, 35000)] == [1.0, 6.0, 1.0]


def test_lab_host_faults_draw_service_ms():
    from granitedock.lab.faults.host_faults import Random, Service, draw_service_ms

    assert draw_service_ms(Service(kind="fixed", mean_ms=12), Random(1)) == 12.0


def test_lab_load_paused_seconds():
    from granitedock.lab.load.generator import Interval
    from granitedock.lab.load.verification import paused_seconds

    assert paused_seconds([Interval(2.0, 5.0), Interval(9.0, float("inf"))], 4.0, 10.0) == 2.0


def test_lab_rule_checks_unavailable_spans():
    from granitedock.lab.load.rule_checks import WrittenList, unavailable_spans

    lists = [(1.0, frozenset()), (2.0, frozenset({"a"})), (3.0, frozenset({"a"})), (9.0, frozenset())]
    assert unavailable_spans(WrittenList(*change) for change in lists) == {"a": [(2.0, 9.0)]}


def test_lab_observations_capacity():
    from granitedock.lab.load.observations import HostStart

    start = HostStart("east/0", 10.0, 100.0)
    assert (
        round(start.capacity(10.0, 11.0)),
        round(start.capacity(11.0, 12.0)),
        round(start.capacity(10.5, 11.5)),
    ) == (
        60,
        100,
        90,
    )


def test_lab_fault_targets_gateway_numbers():
    from granitedock.lab.fault_targets import gateway_numbers

    assert (
        gateway_numbers("gateway/0-2,5", 6),
        gateway_numbers("gateway/6", 6),
        gateway_numbers("gateway/", 6),
        gateway_numbers("east", 6),
    ) == ([0, 1, 2, 5], [], [], [])


def test_lab_fault_targets_target_kinds():
    from granitedock.lab.fault_targets import target_kinds

    assert (sorted(target_kinds("east/3", {"east": 4})), sorted(target_kinds("east/4", {"east": 4}))) == (
        ["host"],
        [],
    )


def test_lab_link_faults_deliveries():
    from granitedock.lab.faults.link_faults import CUT, NO_FAULT, LinkFault, Random, deliveries

    assert (deliveries(CUT, b"abc", Random(1)), deliveries(NO_FAULT, b"abc", Random(1))) == (
        [],
        [(0.0, b"abc")],
    )
    halved = LinkFault(duplicated=1, delay_ms=5, truncated=1)
    assert deliveries(halved, b"abcd", Random(1)) == [(5.0, b"ab"), (5.0, b"ab")]
