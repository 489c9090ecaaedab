"""Examples of small functions of the laboratory: what each gives for what."""


def test_lab_life_condition():
    from granitedock.lab.life import Fault, condition

    slow = Fault(at_s=20, what="slow", target="east", for_s=15, factor=6)
    assert [condition([slow], 0, ms).slower for ms in (19999, 20000, 35000)] == [1.0, 6.0, 1.0]


def test_lab_life_service_ms():
    from granitedock.lab.life import Random, Service, service_ms

    assert service_ms(Service(kind="fixed", mean_ms=12), Random(1)) == 12.0


def test_lab_load_frozen_s():
    from granitedock.lab.load import frozen_s

    assert frozen_s([[2.0, 5.0], [9.0, float("inf")]], 4.0, 10.0) == 2.0


def test_lab_rules_held():
    from granitedock.lab.rules import held

    assert held(
        [(1.0, frozenset()), (2.0, frozenset({"a"})), (3.0, frozenset({"a"})), (9.0, frozenset())]
    ) == {"a": [(2.0, 9.0)]}


def test_lab_rules_can():
    from granitedock.lab.rules import Start

    start = Start("east/0", 10.0, 100.0)
    assert (round(start.can(10.0, 11.0)), round(start.can(11.0, 12.0)), round(start.can(10.5, 11.5))) == (
        60,
        100,
        90,
    )


def test_lab_scenario_numbers():
    from granitedock.lab.scenario import numbers

    assert (
        numbers("gateway/0-2,5", 6),
        numbers("gateway/6", 6),
        numbers("gateway/", 6),
        numbers("east", 6),
    ) == ([0, 1, 2, 5], [], [], [])


def test_lab_scenario_target_kinds():
    from granitedock.lab.scenario import target_kinds

    assert (sorted(target_kinds("east/3", {"east": 4})), sorted(target_kinds("east/4", {"east": 4}))) == (
        ["host"],
        [],
    )


def test_lab_wires_arrivals():
    from granitedock.lab.wires import FINE, Fate, Random, arrivals

    assert (arrivals(Fate(cut=True), b"abc", Random(1)), arrivals(FINE, b"abc", Random(1))) == (
        [],
        [(0.0, b"abc")],
    )
    assert arrivals(Fate(twice=1, late_ms=5, short=1), b"abcd", Random(1)) == [(5.0, b"ab"), (5.0, b"ab")]
