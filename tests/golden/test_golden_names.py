"""Names that operators use, compared with the recordings that tests/data/README.md describes.

These are counters, metrics, the command line and the keys of files. Guards against a rename in the program
that breaks an operator's dashboards, scripts or files. Counters are identified in the source by the form of
their increment, so that a renamed module or variable has no effect here and a renamed counter fails.
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
EXCLUDED_FOLDERS = ("lab", "model", "benchlink")  # Not part of a gateway or control process.


# Access to the program's objects.


def command_line():
    from granitedock.__main__ import main

    return main


def metrics_text(addresses, query):
    """Return what Prometheus reads; `query` returns the reply to INFO of the gateway at an address."""
    from granitedock.metrics import GatewayCollector, exposition_text

    return exposition_text(GatewayCollector(addresses, query))


def outcome_names():
    """Return the names of the outcomes of an attempt or a counter call, as they appear in counter names."""
    from granitedock.policy.types import Outcome

    return {outcome.value for outcome in Outcome}


def file_models():
    """Return the model of each operators' file by its name in deploy/, and that of a laboratory scenario."""
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
    """Load an operators' file of deploy/ with the program's loader."""
    from granitedock.configuration import settings
    from granitedock.membership import settings as fleet
    from granitedock.service import operator_settings as operators

    loaders = {
        "gateway.toml": operators.load,
        "fleet.toml": fleet.load,
        "configuration.toml": settings.load_gateway,
        "control.toml": settings.load_control,
    }
    return loaders[name](PROGRAM.parent / "deploy" / name)


# Counters.


def listed_names(name):
    return (DATA / name).read_text().split()


def syntax_trees():
    for path in sorted(PROGRAM.rglob("*.py")):
        if path.relative_to(PROGRAM).parts[0] not in EXCLUDED_FOLDERS:
            yield ast.parse(path.read_text())


def string_literals():
    """Return all string literals of the program."""
    nodes = (node for tree in syntax_trees() for node in ast.walk(tree))
    return {node.value for node in nodes if isinstance(node, ast.Constant) and isinstance(node.value, str)}


def subscript_names(node):
    """Return the names that a subscript may evaluate to; a concatenated name ends with *."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return subscript_names(node.body) | subscript_names(node.orelse)
    if isinstance(node, ast.BinOp):
        return {f"{name}*" for name in subscript_names(node.left)}
    return set()


def incremented_names():
    """Return the names of the program's counters: each `name` in an increment `mapping[name] += n`."""
    counted = set()
    for tree in syntax_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Subscript):
                counted |= subscript_names(node.target.slice)
    return counted


def is_composed_of(name, texts):
    """Return whether the name is one of the texts, or the concatenation of two of them."""
    return name in texts or any(
        name[:split] in texts and name[split:] in texts for split in range(1, len(name))
    )


def test_each_info_counter_occurs_in_the_source():
    texts = string_literals() | outcome_names()
    missing = [name for name in listed_names("info_counters.txt") if not is_composed_of(name, texts)]
    assert not missing


def test_each_counter_of_control_status_and_the_views_occurs_in_the_source():
    texts = string_literals()
    assert not [name for name in listed_names("other_counters.txt") if name not in texts]


def test_no_counter_has_a_name_that_is_not_listed():
    names = [*listed_names("info_counters.txt"), *listed_names("other_counters.txt")]
    unknown = set()
    for counter in incremented_names():
        prefix = counter.removesuffix("*")
        if counter not in names and not (
            counter != prefix and any(name.startswith(prefix) for name in names)
        ):
            unknown.add(counter)
    assert not unknown


def test_each_outcome_has_a_counter_of_forwards_and_of_calls():
    names = listed_names("info_counters.txt")
    for prefix in ("forward_", "call_"):
        assert {prefix + outcome for outcome in outcome_names()} <= set(names)


def test_counters_of_the_golden_story_are_listed():
    counters = json.loads((DATA / "golden_story.json").read_bytes())["counters"]
    assert set(counters) <= set(listed_names("info_counters.txt"))


# Metrics.


def test_the_metrics_of_all_counters_have_the_recorded_text():
    names = listed_names("info_counters.txt")
    reply = "".join(f"{name}:{number}\r\n" for number, name in enumerate(names)).encode()

    def query(address):
        if address == "away:1":
            raise click.ClickException("away")
        return reply

    assert metrics_text(("here:1", "away:1"), query) == (DATA / "prometheus.txt").read_text()


# The command line.


def parameter_record(parameter):
    """Return what a user may write for one option or argument."""
    value_type = parameter.type
    record = {
        "name": sorted([*parameter.opts, *parameter.secondary_opts]),
        "type": value_type.name,
        "required": parameter.required,
    }
    record |= {
        "kind": parameter.param_type_name,
        "multiple": parameter.multiple,
        "values": parameter.nargs,
    }
    record |= {"flag": bool(getattr(parameter, "is_flag", False)), "environment": parameter.envvar}
    default = parameter.to_info_dict()["default"]
    record["default"] = default if isinstance(default, str | int | float | bool | None) else str(default)
    if isinstance(value_type, click.IntRange):
        record["range"] = [value_type.min, value_type.max]
    return record


def parameters_by_command(command, name="granitedock"):
    """Return the parameters of a command and all its subcommands, by the full name of each command."""
    context = click.Context(command)
    records = {name: [parameter_record(parameter) for parameter in command.params]}
    if isinstance(command, click.Group):
        for subcommand in command.list_commands(context):
            records |= parameters_by_command(command.get_command(context, subcommand), f"{name} {subcommand}")
    return records


def test_the_command_line_has_the_recorded_commands_and_options():
    assert parameters_by_command(command_line()) == json.loads((DATA / "command_line.json").read_bytes())


def test_check_prints_the_recorded_output():
    """The platform file is checked with membership, quota sharing and the configuration service enabled."""
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


def resolve_references(schema, definitions):
    """Return a JSON schema with each reference replaced by its definition, and no titles or descriptions."""
    if isinstance(schema, list):
        return [resolve_references(entry, definitions) for entry in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        definition = definitions[schema["$ref"].rpartition("/")[2]]
        return resolve_references(
            {**definition, **{key: value for key, value in schema.items() if key != "$ref"}}, definitions
        )
    resolved = {}
    for key, value in schema.items():
        if key == "properties":
            resolved[key] = {name: resolve_references(field, definitions) for name, field in value.items()}
        elif key not in ("title", "description", "$defs"):
            resolved[key] = resolve_references(value, definitions)
    return resolved


def file_schema(model):
    """Return the keys, types, bounds and defaults of a file."""
    assert issubclass(model, BaseModel)
    schema = model.model_json_schema()
    return resolve_references(schema, schema.get("$defs", {}))


FILE_SCHEMAS = json.loads((DATA / "settings_files.json").read_bytes())


@pytest.mark.parametrize("name", FILE_SCHEMAS)
def test_an_operators_file_has_the_recorded_keys_bounds_and_defaults(name):
    assert json.loads(json.dumps(file_schema(file_models()[name]))) == FILE_SCHEMAS[name]


@pytest.mark.parametrize("name", [name for name in FILE_SCHEMAS if name.endswith(".toml")])
def test_the_deployed_file_loads(name):
    load_deployed(name)
