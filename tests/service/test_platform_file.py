"""The platform file: errors that name the field, at the start and on SIGHUP, and deployments read correctly.

Guards against a faulty file that takes effect or stops a running gateway, against errors that do not name the
file and the field, and against settings of the project's deployments that the gateway reads wrongly.
"""

import json
import subprocess
import sys
import tomllib
from copy import deepcopy
from pathlib import Path

import pytest
from fake_gateway import SETTINGS
from loopback import VALUE, LoopbackGateway

from granitedock import platform_settings
from granitedock.platform_file import PlatformFileError, load, validation_errors
from granitedock.policy.types import Idempotency, IdempotencyScope
from granitedock.service.discovery_watch import WatchState
from granitedock.service.limits import Limits

DEPLOYMENT_FILES = sorted((Path(__file__).parents[2] / "deploy" / "sites").glob("*.toml"))
PLATFORM_FILE = {
    "name": "g0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "counter": "127.0.0.1:3",
    "seed": "07",
    "limits": {"sockets": 64},
    "settings": SETTINGS,
}
ABSENT = object()


def with_field(path, value):
    """Return the contents of a valid file with this field changed, or removed."""
    contents = parent = deepcopy(PLATFORM_FILE)
    *keys, last = path
    for key in keys:
        parent = parent[key]
    if value is ABSENT:
        del parent[last]
    else:
        parent[last] = value
    return contents


INVALID_FIELDS = [
    (["discovery"], ABSENT, "discovery: missing; an address, HOST:PORT is wanted"),
    (["listen"], "127.0.0.1:99999", "listen: an address, HOST:PORT is wanted, not '127.0.0.1:99999'"),
    (["counter"], 7, "counter: an address, HOST:PORT, or empty is wanted, not 7"),
    (["seed"], "xyz", "seed: 1 to 16 hex digits is wanted, not 'xyz'"),
    (["limits"], [], "limits: an object is wanted, not []"),
    (["limits", "sockets"], "64", "limits.sockets: a number above 0 is wanted, not '64'"),
    (["limits", "memory_mb"], 0, "limits.memory_mb: a number above 0 is wanted, not 0"),
    (["settings"], ABSENT, "settings: missing; an object is wanted"),
    (["settings", "Lanes"], {}, "settings.Lanes: a list of objects is wanted, not {}"),
    (
        ["settings", "Lanes", 1, "GiveUpMs"],
        None,
        "settings.Lanes[1].GiveUpMs: missing; a number above 0 is wanted",
    ),
    (
        ["settings", "Lanes", 2, "Repeat"],
        "twice",
        "settings.Lanes[2].Repeat: one of safe, keyed, unsafe is wanted",
    ),
    (["settings", "Lanes", 0, "Name"], "once", "settings.Lanes[].Name: 'once' stands twice"),
    (
        ["settings", "Tariffs", 0, "Refill"],
        True,
        "settings.Tariffs[0].Refill: a number from 0 is wanted, not True",
    ),
    (
        ["settings", "Tariffs", 0, "MostAtOnce"],
        -1,
        "settings.Tariffs[0].MostAtOnce: a number from 0 is wanted",
    ),
    (["settings", "Allowed", "Cancel"], "yes", "settings.Allowed.Cancel: true or false is wanted, not 'yes'"),
    (["settings", "Safety"], ABSENT, "settings.Safety: missing; an object is wanted"),
    (["settings", "Safety", "ColdMs"], "1", "settings.Safety.ColdMs: a number from 0 is wanted, not '1'"),
    (["settings", "Me"], 0.5, "settings.Me: a whole number from 0 is wanted, not 0.5"),
]


@pytest.mark.parametrize(
    "path, value, expected_error", INVALID_FIELDS, ids=[row[2].partition(":")[0] for row in INVALID_FIELDS]
)
def test_the_error_for_a_missing_or_mistyped_field_names_the_file_and_the_field(
    tmp_path, path, value, expected_error
):
    file = tmp_path / "told.json"
    file.write_text(json.dumps(with_field(path, value)))
    with pytest.raises(PlatformFileError) as raised:
        load(file)
    assert str(raised.value).startswith(f"{file}: {expected_error}")


def test_a_file_with_many_errors_reports_several_at_once_and_a_valid_file_none(tmp_path):
    assert validation_errors(PLATFORM_FILE) == [] and validation_errors([]) == [
        "(whole file): an object is wanted"
    ]
    file = tmp_path / "told.json"
    file.write_text(json.dumps({"name": "", "settings": {"Lanes": [{}, {}]}}))
    with pytest.raises(PlatformFileError, match="listen: missing.*; and [0-9]+ more$"):
        load(file)
    file.write_text("{")
    with pytest.raises(PlatformFileError, match="told.json: not JSON: "):
        load(file)
    with pytest.raises(PlatformFileError, match="none.json: cannot be read: No such file"):
        load(tmp_path / "none.json")


def test_a_process_with_an_invalid_file_does_not_start_and_the_check_command_reports_the_same(tmp_path):
    file = tmp_path / "told.json"
    for contents, expected_error in (
        (
            with_field(["settings", "Lanes", 0, "TargetMs"], "1s"),
            "settings.Lanes[0].TargetMs: a number above 0",
        ),
        (PLATFORM_FILE | {"known": {"instances": [{}]}}, "known: no list of hosts: KeyError: 'instanceId'"),
    ):
        file.write_text(json.dumps(contents))
        command = [sys.executable, "-m", "granitedock", "serve", "--told", str(file)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert (
            result.returncode == 1 and f"granitedock: cannot start: {file}: {expected_error}" in result.stderr
        )
    file.write_text(json.dumps(with_field(["settings", "Lanes", 0, "TargetMs"], "1s")))
    command = [sys.executable, "-m", "granitedock", "check", "--told", str(file)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 1 and f"{file}: settings.Lanes[0].TargetMs: " in result.stderr


def test_a_file_that_is_rejected_on_sighup_changes_nothing(tmp_path):
    gateway = LoopbackGateway(tmp_path)
    try:
        client, original = gateway.client(), (tmp_path / "told.json").read_text()
        moved = json.loads(original) | {
            "discovery": gateway.hosts[0].address,
            "counter": gateway.hosts[0].address,
        }
        for text in (
            original[:40],
            json.dumps(moved | {"counter": 5}),
            json.dumps(moved | {"settings": {}}),
            "[]",
        ):
            (tmp_path / "told.json").write_text(text)
            gateway.service.reload()
            gateway.run_loop()
        reasons = [
            figures["why"] for event, figures in gateway.log_events if event == "platform file rejected"
        ]
        assert (
            len(reasons) == 4
            and "counter: an address" in reasons[1]
            and gateway.log.counts["files_refused"] == 4
        )
        assert gateway.hosts[0].accept() is None and gateway.state_machine.watch.state is WatchState.OPEN
        client.send(gateway.request())
        host = gateway.accept_at_host()
        assert host.read()
        host.send(VALUE)
        gateway.run_loop()
        assert client.read() == VALUE
        (tmp_path / "told.json").write_text(json.dumps(moved))
        gateway.service.reload()  # A valid file takes effect.
        gateway.run_loop()
        assert gateway.hosts[0].accept() is not None
    finally:
        gateway.close()


# The deployments of the project.


def midpoint(value):
    return sum(value) / 2 if isinstance(value, list) else value


def settings_of(deployment):
    """Return the settings object of a deployment file, as the platform's page defines it.

    A range is replaced by its midpoint. The object is small, and enough to check how the gateway reads it.
    """
    lanes = [
        {
            "Name": class_entry["name"],
            "Repeat": class_entry["effect"],
            "DedupScope": class_entry.get("group", "all"),
            "WindowMs": class_entry.get("window_ms", 5000),
            "TargetMs": class_entry["aim_ms"],
            "GiveUpMs": class_entry["deadline_ms"],
            "Worth": class_entry["worth"],
            "LateWorth": class_entry["late_worth"],
            "Stream": False,
        }
        for class_entry in deployment["class"]
    ]
    tariffs = [
        {
            "Name": tenant["name"],
            "Refill": midpoint(plan["rate"]),
            "MostAtOnce": midpoint(plan["rate"]) * midpoint(plan["burst_s"]),
            "WorthFactor": plan["price"],
            "OverWorth": plan["over_worth"],
            "ExcessCost": plan["over_cost"],
            "CeilingRate": midpoint(plan["rate"]) * midpoint(plan.get("ceiling", 0)),
            "CeilingBurst": midpoint(plan["rate"])
            * midpoint(plan["burst_s"])
            * midpoint(plan.get("ceiling", 0)),
            "Tolerance": deployment["fam"]["slack"]
            * midpoint(plan["rate"])
            * midpoint(plan["burst_s"])
            * midpoint(plan.get("ceiling", 0)),
        }
        for tenant, plan in zip(deployment["tenant"], deployment["fam"]["plan"], strict=True)
    ]
    allow, rules, host_kinds = deployment["allow"], deployment["rules"], deployment["tier"][0]["kind"]
    return {
        "Me": 0,
        "Balancers": max(deployment["scale"]["balancers"]),
        "Zones": deployment["net"]["zones"],
        "Lanes": lanes,
        "Tariffs": tariffs,
        "Allowed": {
            "Cancel": allow["cancel"],
            "SecondCopies": allow["second_copies"],
            "RetryAfter": allow["retry_after"],
            "MaxAttempts": allow["max_attempts"],
            "MaxRetryAfterMs": deployment["clients"]["max_retry_after_ms"],
            "ConnIdleMs": deployment["tier"][0]["conn"]["idle_s"] * 1000,
            "ConnectTimeoutMs": deployment["tier"][0]["conn"]["connect_timeout_ms"],
            "Probes": allow["probes"],
            "MayTell": allow["peers"],
        },
        "Safety": {
            "ColdFrom": min(min(host_kind["cold_from"]) for host_kind in host_kinds),
            "ColdMs": max(max(host_kind["cold_s"]) for host_kind in host_kinds) * 1000,
            "OverloadFactor": rules["fall_multiple"],
            "TipAfterMs": rules["fall_ms"],
            "DrainGraceMs": rules["drain_grace_ms"],
        },
        "Specifics": {"Counter": deployment["fam"]["counter"], "MaxUnits": deployment["fam"]["most_units"]},
    }


@pytest.mark.parametrize("path", DEPLOYMENT_FILES, ids=lambda path: path.stem)
def test_each_deployment_of_the_project_is_read_correctly_and_served(tmp_path, path):
    deployment = tomllib.loads(path.read_text())
    contents = PLATFORM_FILE | {"settings": settings_of(deployment)}
    assert validation_errors(contents) == []
    request_classes = platform_settings.request_classes(contents["settings"])
    assert [
        (request_class.name, request_class.latency_objective_ms, request_class.deadline_ms)
        for request_class in request_classes
    ] == [
        (class_entry["name"], class_entry["aim_ms"], class_entry["deadline_ms"])
        for class_entry in deployment["class"]
    ]
    assert {request_class.idempotency for request_class in request_classes} == set(Idempotency)
    keyed = next(
        request_class for request_class in request_classes if request_class.idempotency is Idempotency.KEYED
    )
    assert keyed.idempotency_window_ms <= 1500 and keyed.idempotency_scope in (
        IdempotencyScope.ALL,
        IdempotencyScope.ZONE,
    )
    assert [plan.name for plan in platform_settings.plans(contents["settings"])] == [
        tenant["name"] for tenant in deployment["tenant"]
    ]
    limits, longest_ms = (
        Limits.from_platform_file(contents),
        max(class_entry["deadline_ms"] for class_entry in deployment["class"]),
    )
    assert limits.open_ms < limits.leave_ms < limits.leave_most_ms < min(3000, longest_ms) + 700
    # The gateway serves a request of each class by the names of this deployment alone.
    gateway = LoopbackGateway(
        tmp_path, **{key: contents["settings"][key] for key in ("Lanes", "Tariffs", "Allowed", "Specifics")}
    )
    try:
        client = gateway.client()
        for number, request_class in enumerate(request_classes):
            command, key = (
                ("READ", "") if request_class.idempotency is Idempotency.IDEMPOTENT else ("WRITE", ",k=5c")
            )
            text = (
                f"c={request_class.name},t={deployment['tenant'][-1]['name']},d={request_class.deadline_ms:g}"
            )
            text += (
                f",units=1,spread=1,first=0{key if request_class.idempotency is Idempotency.KEYED else ''}"
            )
            arguments = [f"API.{command}", f"{161 + number:016x}", f"{77 + number:016x}", text]
            client.send(
                b"*4\r\n"
                + b"".join(b"$%d\r\n%b\r\n" % (len(argument), argument.encode()) for argument in arguments)
            )
            host = gateway.accept_at_host()
            assert request_class.name.encode() in host.read()
            host.send(VALUE)
            gateway.run_loop()
            host.close()
            gateway.run_loop()
            assert client.read() == VALUE
    finally:
        gateway.close()


def test_both_deployments_of_the_project_differ_in_names_and_lie_beside_links_to_the_operators_files():
    assert len(DEPLOYMENT_FILES) == 2
    first, second = (tomllib.loads(path.read_text()) for path in DEPLOYMENT_FILES)
    for table in ("class", "tenant"):
        assert not {entry["name"] for entry in first[table]} & {entry["name"] for entry in second[table]}
    for link in ("real.json", "wire.json"):
        assert (DEPLOYMENT_FILES[0].parent / link).is_symlink()
