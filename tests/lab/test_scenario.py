"""Scenario files.

The tests guard against an invalid scenario that is accepted, or whose error does not name the field and line.
"""

from pathlib import Path

from pytest import raises

from granitedock.lab.scenario import ScenarioError, load, parse

EXAMPLE = Path(__file__).parents[2] / "docs" / "examples" / "zone-slow.toml"


def test_the_example_scenario_loads():
    scenario = load(EXAMPLE)
    assert [zone.hosts for zone in scenario.fleet.zones] == [10, 10]
    assert [(fault.kind, fault.target) for fault in scenario.timeline] == [
        ("slow", "east"),
        ("kill", "counter"),
    ]


def error_text(text):
    with raises(ScenarioError) as error_info:
        parse(text, "s.toml")
    return str(error_info.value)


def test_the_error_for_an_invalid_value_names_its_path_and_line():
    text = EXAMPLE.read_text().replace("hosts = 10\nslots = 8\ncold_s", "hosts = 0\nslots = 8\ncold_s")
    line = text.splitlines().index("hosts = 0") + 1
    assert error_text(text).startswith(f"s.toml:{line}: fleet.zones.1.hosts: ")


def test_an_unknown_key_an_invalid_target_and_malformed_toml_are_each_rejected():
    assert "fleet.gatways: Extra inputs" in error_text(
        EXAMPLE.read_text().replace("gateways = 3", "gatways = 3")
    )
    assert ": timeline.1.target: 'kill' takes a zone, host, counter or gateway, not 'north'" in error_text(
        EXAMPLE.read_text().replace('target = "counter"', 'target = "north"')
    )
    assert error_text("[fleet\n").startswith("s.toml:1: not TOML")
    assert "east/10" in error_text(EXAMPLE.read_text().replace('target = "east"', 'target = "east/10"'))
