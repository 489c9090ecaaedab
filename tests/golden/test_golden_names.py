"""Names that operators use, as the text of tests/data/README.md has them.

They are counters, metrics, the command line and the keys of files. Counters are looked for in the program's
text by the form of their increment, so that a rename of a module or a variable changes nothing here, and a
rename of a counter is found.
"""

import ast
import json
from pathlib import Path

import click
import pytest
from click.testing import CliRunner
from pydantic import BaseModel

DATA = Path(__file__).parents[1] / "data"
PROGRAM = Path(__file__).parents[2] / "granitedock"
APART = ("lab", "model", "benchlink")  # no part of a gateway or control process


# The program's own objects.


def command_line():
    from granitedock.__main__ import main

    return main


def metrics_text(addresses, ask):
    """What Prometheus reads of the gateways at these addresses; `ask` gives the reply of each to INFO."""
    from granitedock.metrics import GatewayCollector, exposition_text

    return exposition_text(GatewayCollector(addresses, ask))


def call_endings():
    """How a forward or a call ends, as the counters' names say it."""
    from granitedock.policy.types import Outcome

    return {ending.value for ending in Outcome}


def file_models():
    """The form of each operators' file, by its name in deploy/ (the laboratory's: a scenario)."""
    from granitedock.configuration.settings import ControlFile, GatewayFile
    from granitedock.lab.scenario import Scenario
    from granitedock.membership.settings import MembershipFile
    from granitedock.service.operator_settings import OperatorSettings

    return {
        "gateway.toml": OperatorSettings,
        "fleet.toml": MembershipFile,
        "configuration.toml": GatewayFile,
        "control.toml": ControlFile,
        "scenario": Scenario,
    }


def load_deployed(name):
    """Read an operators' file of deploy/ by the program's reader."""
    from granitedock.configuration import settings
    from granitedock.membership import settings as fleet
    from granitedock.service import operator_settings as operators

    readers = {
        "gateway.toml": operators.load,
        "fleet.toml": fleet.load,
        "configuration.toml": settings.load_gateway,
        "control.toml": settings.load_control,
    }
    return readers[name](PROGRAM.parent / "deploy" / name)


# Counters.


def listed(name):
    return (DATA / name).read_text().split()


def trees():
    for path in sorted(PROGRAM.rglob("*.py")):
        if path.relative_to(PROGRAM).parts[0] not in APART:
            yield ast.parse(path.read_text())


def literals():
    """All text literals of the program."""
    nodes = (node for tree in trees() for node in ast.walk(tree))
    return {node.value for node in nodes if isinstance(node, ast.Constant) and isinstance(node.value, str)}


def keys(node):
    """The names that a subscript may stand for; a name that is put together ends with *."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return keys(node.body) | keys(node.orelse)
    if isinstance(node, ast.BinOp):
        return {f"{name}*" for name in keys(node.left)}
    return set()


def incremented():
    """The names under which the program counts: a number is added to something[name]."""
    found = set()
    for tree in trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Subscript):
                found |= keys(node.target.slice)
    return found


def made_of(name, texts):
    """Whether a text of the program is this name, or two of them together are."""
    return name in texts or any(name[:at] in texts and name[at:] in texts for at in range(1, len(name)))


def test_each_counter_of_info_stands_in_the_programs_text():
    texts = literals() | call_endings()
    missing = [name for name in listed("info_counters.txt") if not made_of(name, texts)]
    assert not missing


def test_each_counter_that_control_and_the_views_show_stands_in_the_programs_text():
    texts = literals()
    assert not [name for name in listed("other_counters.txt") if name not in texts]


def test_nothing_is_counted_under_a_name_that_is_not_listed():
    names = [*listed("info_counters.txt"), *listed("other_counters.txt")]
    unknown = set()
    for key in incremented():
        prefix = key.removesuffix("*")
        if key not in names and not (key != prefix and any(name.startswith(prefix) for name in names)):
            unknown.add(key)
    assert not unknown


def test_endings_make_the_counters_of_forwards_and_calls():
    names = listed("info_counters.txt")
    for prefix in ("forward_", "call_"):
        assert {prefix + ending for ending in call_endings()} <= set(names)


def test_the_recorded_storys_counters_are_listed():
    counters = json.loads((DATA / "golden_story.json").read_bytes())["counters"]
    assert set(counters) <= set(listed("info_counters.txt"))


# Metrics.


def test_the_metrics_of_all_counters_are_worded_as_recorded():
    names = listed("info_counters.txt")
    reply = "".join(f"{name}:{number}\r\n" for number, name in enumerate(names)).encode()

    def ask(address):
        if address == "away:1":
            raise click.ClickException("away")
        return reply

    assert metrics_text(("here:1", "away:1"), ask) == (DATA / "prometheus.txt").read_text()


# The command line.


def parameter(one):
    """What a user may write for one option or argument."""
    kind = one.type
    found = {"name": sorted([*one.opts, *one.secondary_opts]), "type": kind.name, "required": one.required}
    found |= {"kind": one.param_type_name, "multiple": one.multiple, "values": one.nargs}
    found |= {"flag": bool(getattr(one, "is_flag", False)), "environment": one.envvar}
    default = one.to_info_dict()["default"]
    found["default"] = default if isinstance(default, str | int | float | bool | None) else str(default)
    if isinstance(kind, click.IntRange):
        found["range"] = [kind.min, kind.max]
    return found


def commands(command, name="granitedock"):
    """Each command under its whole name, with its parameters."""
    context = click.Context(command)
    found = {name: [parameter(one) for one in command.params]}
    if isinstance(command, click.Group):
        for part in command.list_commands(context):
            found |= commands(command.get_command(context, part), f"{name} {part}")
    return found


def test_the_command_line_has_the_recorded_commands_and_options():
    assert commands(command_line()) == json.loads((DATA / "command_line.json").read_bytes())


def test_check_prints_the_recorded_words():
    """Of a platform file with membership, quota sharing and the configuration service turned on."""
    arguments = [
        "check",
        "--told",
        str(DATA / "platform_file.json"),
        "--fleet",
        str(DATA / "fleet_enabled.toml"),
    ]
    arguments += ["--configuration", str(PROGRAM.parent / "deploy" / "configuration.toml")]
    result = CliRunner().invoke(command_line(), arguments)
    assert (result.exit_code, result.output) == (0, (DATA / "check_output.json").read_text())


# Operators' files.


def resolved(schema, parts):
    """A JSON schema with its parts in place, without the names of classes and the texts for readers."""
    if isinstance(schema, list):
        return [resolved(one, parts) for one in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        part = parts[schema["$ref"].rpartition("/")[2]]
        return resolved({**part, **{key: value for key, value in schema.items() if key != "$ref"}}, parts)
    found = {}
    for key, value in schema.items():
        if key == "properties":
            found[key] = {name: resolved(one, parts) for name, one in value.items()}
        elif key not in ("title", "description", "$defs"):
            found[key] = resolved(value, parts)
    return found


def file_form(model):
    """Keys, types, bounds and defaults that a file may hold."""
    assert issubclass(model, BaseModel)
    schema = model.model_json_schema()
    return resolved(schema, schema.get("$defs", {}))


FORMS = json.loads((DATA / "settings_files.json").read_bytes())


@pytest.mark.parametrize("name", FORMS)
def test_an_operators_file_has_the_recorded_keys_bounds_and_defaults(name):
    assert json.loads(json.dumps(file_form(file_models()[name]))) == FORMS[name]


@pytest.mark.parametrize("name", [name for name in FORMS if name.endswith(".toml")])
def test_the_deployed_file_is_read(name):
    load_deployed(name)
