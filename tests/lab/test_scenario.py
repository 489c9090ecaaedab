"""Scenario files: what is good loads, and what is not says where, by field and line."""

from pathlib import Path

from pytest import raises

from granitedock.lab.scenario import ScenarioError, load, parse

EXAMPLE = Path(__file__).parents[2] / "docs" / "examples" / "zone-slow.toml"


def test_the_example_loads_as_written():
    scenario = load(EXAMPLE)
    assert [zone.hosts for zone in scenario.fleet.zones] == [10, 10]
    assert [(fault.kind, fault.target) for fault in scenario.timeline] == [
        ("slow", "east"),
        ("kill", "counter"),
    ]


def fault_of(text):
    with raises(ScenarioError) as caught:
        parse(text, "s.toml")
    return str(caught.value)


def test_a_bad_value_is_named_by_its_path_and_line():
    text = EXAMPLE.read_text().replace("hosts = 10\nslots = 8\ncold_s", "hosts = 0\nslots = 8\ncold_s")
    line = text.splitlines().index("hosts = 0") + 1
    assert fault_of(text).startswith(f"s.toml:{line}: fleet.zones.1.hosts: ")


def test_an_unknown_key_a_bad_target_and_broken_toml_are_each_refused():
    assert "fleet.gatways: Extra inputs" in fault_of(
        EXAMPLE.read_text().replace("gateways = 3", "gatways = 3")
    )
    assert ": timeline.1.target: 'kill' takes a zone, host, counter or gateway, not 'north'" in fault_of(
        EXAMPLE.read_text().replace('target = "counter"', 'target = "north"')
    )
    assert fault_of("[fleet\n").startswith("s.toml:1: not TOML")
    assert "east/10" in fault_of(EXAMPLE.read_text().replace('target = "east"', 'target = "east/10"'))
