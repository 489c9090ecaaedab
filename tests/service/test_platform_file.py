"""The file that the platform hands a gateway: what is wrong in it is named, at the start and on SIGHUP, and
the settings of the project's own deployments make what they say."""

import json
import subprocess
import sys
import tomllib
from copy import deepcopy
from pathlib import Path

import pytest
from fake_gateway import BORN
from loopback import VALUE, Live

from granitedock import platform_settings
from granitedock.platform_file import PlatformFileError, load, validation_errors
from granitedock.policy.types import Idempotency, IdempotencyScope
from granitedock.service.discovery_watch import WatchState
from granitedock.service.limits import Limits

SITES = sorted((Path(__file__).parents[2] / "deploy" / "sites").glob("*.toml"))
TOLD = {
    "name": "g0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "counter": "127.0.0.1:3",
    "seed": "07",
    "limits": {"sockets": 64},
    "settings": BORN,
}
GONE = object()


def with_field(path, value):
    """The file's object with this field changed, or left out."""
    told = at = deepcopy(TOLD)
    *keys, last = path
    for key in keys:
        at = at[key]
    if value is GONE:
        del at[last]
    else:
        at[last] = value
    return told


WRONG = [
    (["discovery"], GONE, "discovery: missing; an address, HOST:PORT is wanted"),
    (["listen"], "127.0.0.1:99999", "listen: an address, HOST:PORT is wanted, not '127.0.0.1:99999'"),
    (["counter"], 7, "counter: an address, HOST:PORT, or empty is wanted, not 7"),
    (["seed"], "xyz", "seed: 1 to 16 hex digits is wanted, not 'xyz'"),
    (["limits"], [], "limits: an object is wanted, not []"),
    (["limits", "sockets"], "64", "limits.sockets: a number above 0 is wanted, not '64'"),
    (["limits", "memory_mb"], 0, "limits.memory_mb: a number above 0 is wanted, not 0"),
    (["settings"], GONE, "settings: missing; an object is wanted"),
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
    (["settings", "Safety"], GONE, "settings.Safety: missing; an object is wanted"),
    (["settings", "Safety", "ColdMs"], "1", "settings.Safety.ColdMs: a number from 0 is wanted, not '1'"),
    (["settings", "Me"], 0.5, "settings.Me: a whole number from 0 is wanted, not 0.5"),
]


@pytest.mark.parametrize("path, value, told", WRONG, ids=[row[2].partition(":")[0] for row in WRONG])
def test_a_field_that_is_missing_or_of_another_type_is_named_with_the_file(tmp_path, path, value, told):
    file = tmp_path / "told.json"
    file.write_text(json.dumps(with_field(path, value)))
    with pytest.raises(PlatformFileError) as fault:
        load(file)
    assert str(fault.value).startswith(f"{file}: {told}")


def test_a_file_with_many_faults_tells_several_at_once_and_one_that_is_right_none(tmp_path):
    assert validation_errors(TOLD) == [] and validation_errors([]) == ["(whole file): an object is wanted"]
    file = tmp_path / "told.json"
    file.write_text(json.dumps({"name": "", "settings": {"Lanes": [{}, {}]}}))
    with pytest.raises(PlatformFileError, match="listen: missing.*; and [0-9]+ more$"):
        load(file)
    file.write_text("{")
    with pytest.raises(PlatformFileError, match="told.json: not JSON: "):
        load(file)
    with pytest.raises(PlatformFileError, match="none.json: cannot be read: No such file"):
        load(tmp_path / "none.json")


def test_a_process_with_a_wrong_file_does_not_start_and_the_check_says_the_same(tmp_path):
    file = tmp_path / "told.json"
    for told, what in (
        (
            with_field(["settings", "Lanes", 0, "TargetMs"], "1s"),
            "settings.Lanes[0].TargetMs: a number above 0",
        ),
        (TOLD | {"known": {"instances": [{}]}}, "known: no list of hosts: KeyError: 'instanceId'"),
    ):
        file.write_text(json.dumps(told))
        command = [sys.executable, "-m", "granitedock", "serve", "--told", str(file)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert done.returncode == 1 and f"granitedock: cannot start: {file}: {what}" in done.stderr
    file.write_text(json.dumps(with_field(["settings", "Lanes", 0, "TargetMs"], "1s")))
    command = [sys.executable, "-m", "granitedock", "check", "--told", str(file)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 1 and f"{file}: settings.Lanes[0].TargetMs: " in done.stderr


def test_a_file_that_is_refused_on_sighup_changes_nothing(tmp_path):
    gate = Live(tmp_path)
    try:
        client, before = gate.client(), (tmp_path / "told.json").read_text()
        elsewhere = json.loads(before) | {
            "discovery": gate.hosts[0].address,
            "counter": gate.hosts[0].address,
        }
        for text in (
            before[:40],
            json.dumps(elsewhere | {"counter": 5}),
            json.dumps(elsewhere | {"settings": {}}),
            "[]",
        ):
            (tmp_path / "told.json").write_text(text)
            gate.service.reload()
            gate.turn()
        refused = [figures["why"] for event, figures in gate.events if event == "platform file rejected"]
        assert (
            len(refused) == 4
            and "counter: an address" in refused[1]
            and gate.log.counts["files_refused"] == 4
        )
        assert gate.hosts[0].take() is None and gate.state_machine.watch.state is WatchState.OPEN
        client.send(gate.request())
        host = gate.at_host()
        assert host.read()
        host.send(VALUE)
        gate.turn()
        assert client.read() == VALUE
        (tmp_path / "told.json").write_text(json.dumps(elsewhere))
        gate.service.reload()  # and one that is right does
        gate.turn()
        assert gate.hosts[0].take() is not None
    finally:
        gate.close()


# The project's own deployments.


def middle(value):
    return sum(value) / 2 if isinstance(value, list) else value


def settings_of(site):
    """The settings object that a deployment's file leads to, as the platform's page words it: of a range its
    middle. Small, and enough to see that the program reads what the file says."""
    lanes = [
        {
            "Name": it["name"],
            "Repeat": it["effect"],
            "DedupScope": it.get("group", "all"),
            "WindowMs": it.get("window_ms", 5000),
            "TargetMs": it["aim_ms"],
            "GiveUpMs": it["deadline_ms"],
            "Worth": it["worth"],
            "LateWorth": it["late_worth"],
            "Stream": False,
        }
        for it in site["class"]
    ]
    tariffs = [
        {
            "Name": tenant["name"],
            "Refill": middle(plan["rate"]),
            "MostAtOnce": middle(plan["rate"]) * middle(plan["burst_s"]),
            "WorthFactor": plan["price"],
            "OverWorth": plan["over_worth"],
            "ExcessCost": plan["over_cost"],
            "CeilingRate": middle(plan["rate"]) * middle(plan.get("ceiling", 0)),
            "CeilingBurst": middle(plan["rate"]) * middle(plan["burst_s"]) * middle(plan.get("ceiling", 0)),
            "Tolerance": site["fam"]["slack"]
            * middle(plan["rate"])
            * middle(plan["burst_s"])
            * middle(plan.get("ceiling", 0)),
        }
        for tenant, plan in zip(site["tenant"], site["fam"]["plan"], strict=True)
    ]
    allow, rules, kinds = site["allow"], site["rules"], site["tier"][0]["kind"]
    return {
        "Me": 0,
        "Balancers": max(site["scale"]["balancers"]),
        "Zones": site["net"]["zones"],
        "Lanes": lanes,
        "Tariffs": tariffs,
        "Allowed": {
            "Cancel": allow["cancel"],
            "SecondCopies": allow["second_copies"],
            "RetryAfter": allow["retry_after"],
            "MaxAttempts": allow["max_attempts"],
            "MaxRetryAfterMs": site["clients"]["max_retry_after_ms"],
            "ConnIdleMs": site["tier"][0]["conn"]["idle_s"] * 1000,
            "ConnectTimeoutMs": site["tier"][0]["conn"]["connect_timeout_ms"],
            "Probes": allow["probes"],
            "MayTell": allow["peers"],
        },
        "Safety": {
            "ColdFrom": min(min(kind["cold_from"]) for kind in kinds),
            "ColdMs": max(max(kind["cold_s"]) for kind in kinds) * 1000,
            "OverloadFactor": rules["fall_multiple"],
            "TipAfterMs": rules["fall_ms"],
            "DrainGraceMs": rules["drain_grace_ms"],
        },
        "Specifics": {"Counter": site["fam"]["counter"], "MaxUnits": site["fam"]["most_units"]},
    }


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_deployment_of_our_own_is_read_as_it_says_and_served(tmp_path, path):
    site = tomllib.loads(path.read_text())
    told = TOLD | {"settings": settings_of(site)}
    assert validation_errors(told) == []
    request_classes = platform_settings.request_classes(told["settings"])
    assert [(it.name, it.latency_objective_ms, it.deadline_ms) for it in request_classes] == [
        (it["name"], it["aim_ms"], it["deadline_ms"]) for it in site["class"]
    ]
    assert {it.idempotency for it in request_classes} == set(Idempotency)
    keyed = next(it for it in request_classes if it.idempotency is Idempotency.KEYED)
    assert keyed.idempotency_window_ms <= 1500 and keyed.idempotency_scope in (
        IdempotencyScope.ALL,
        IdempotencyScope.ZONE,
    )
    assert [plan.name for plan in platform_settings.plans(told["settings"])] == [
        it["name"] for it in site["tenant"]
    ]
    limits, longest = Limits.from_platform_file(told), max(it["deadline_ms"] for it in site["class"])
    assert limits.open_ms < limits.leave_ms < limits.leave_most_ms < min(3000, longest) + 700
    # A request of each class is served by the program, under the names of this deployment alone.
    gate = Live(
        tmp_path, **{key: told["settings"][key] for key in ("Lanes", "Tariffs", "Allowed", "Specifics")}
    )
    try:
        client = gate.client()
        for number, request_class in enumerate(request_classes):
            word, key = (
                ("READ", "") if request_class.idempotency is Idempotency.IDEMPOTENT else ("WRITE", ",k=5c")
            )
            text = f"c={request_class.name},t={site['tenant'][-1]['name']},d={request_class.deadline_ms:g}"
            text += (
                f",units=1,spread=1,first=0{key if request_class.idempotency is Idempotency.KEYED else ''}"
            )
            words = [f"API.{word}", f"{161 + number:016x}", f"{77 + number:016x}", text]
            client.send(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(it), it.encode()) for it in words))
            host = gate.at_host()
            assert request_class.name.encode() in host.read()
            host.send(VALUE)
            gate.turn()
            host.close()
            gate.turn()
            assert client.read() == VALUE
    finally:
        gate.close()


def test_two_deployments_of_our_own_stand_beside_links_to_the_operators_words():
    assert len(SITES) == 2
    first, second = (tomllib.loads(path.read_text()) for path in SITES)
    for what in ("class", "tenant"):
        assert not {it["name"] for it in first[what]} & {it["name"] for it in second[what]}
    for link in ("real.json", "wire.json"):
        assert (SITES[0].parent / link).is_symlink()
