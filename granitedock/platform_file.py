"""The file that the platform hands a gateway: what each field has to be.

Owns the form of that file, read at the start and on SIGHUP; a fault is told as FILE: FIELD: WHAT. It must
never fill in a value or decide by one. The check is a table of its own, not pydantic's: that is used for the
operators' files, which `run` does not read; to import it here would cost each process 7 MB and each start
0.1 s (measured).
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from pathlib import Path
from typing import Any

import orjson

MOST_FAULTS = 8  # told at once
HEX = re.compile(r"[0-9a-fA-F]{1,16}").fullmatch


class ToldError(ValueError):
    """A file that can't be served by; its text names the file and each field at fault."""


def number(value: Any) -> bool:
    return type(value) in (int, float) and isfinite(value) and value >= 0


def above_0(value: Any) -> bool:
    return number(value) and value > 0


def whole(value: Any) -> bool:
    return number(value) and value == int(value)


def text(value: Any) -> bool:
    return type(value) is str and value != ""


def address(value: Any) -> bool:
    if type(value) is not str:
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65536


def one_of(*values: str) -> Callable[[Any], bool]:
    return lambda value: value in values


OBJECT = (lambda value: type(value) is dict, "an object")
LIST = (lambda value: type(value) is list and all(type(it) is dict for it in value), "a list of objects")
FLAG = (lambda value: type(value) is bool, "true or false")
NUMBER, ABOVE_0, WHOLE = (
    (number, "a number from 0"),
    (above_0, "a number above 0"),
    (whole, "a whole number from 0"),
)
TEXT, ADDRESS = (text, "a text"), (address, "an address, HOST:PORT")
SEED = (lambda value: type(value) is str and HEX(value) is not None, "1 to 16 hex digits")
REPEATS, GROUPS = ("safe", "keyed", "unsafe"), ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class FieldRule:
    """What one field has to be; one that is not needed may also be null."""

    name: str
    good: Callable[[Any], bool]
    wanted: str
    needed: bool


def rule(name: str, form: tuple[Callable[[Any], bool], str], needed: bool) -> FieldRule:
    return FieldRule(name, *form, needed)


def optional(form: tuple[Callable[[Any], bool], str], *names: str) -> list[FieldRule]:
    return [rule(name, form, False) for name in names]


CLASS_RULES = [
    rule("Name", TEXT, True),
    rule("Repeat", (one_of(*REPEATS), "one of " + ", ".join(REPEATS)), True),
    rule("DedupScope", (one_of(*GROUPS), "one of " + ", ".join(GROUPS)), False),
    rule("TargetMs", ABOVE_0, True),
    rule("GiveUpMs", ABOVE_0, True),
    *optional(NUMBER, "WindowMs", "Worth", "LateWorth"),
    rule("Stream", FLAG, False),
]
PLAN_RULES = [
    rule("Name", TEXT, True),
    *optional(NUMBER, "Refill", "MostAtOnce", "Concurrency", "WorthFactor", "OverWorth", "ExcessCost"),
    *optional(NUMBER, "CeilingRate", "CeilingBurst", "Tolerance"),
]
FILE_RULES = [
    rule("name", TEXT, True),
    rule("listen", ADDRESS, True),
    rule("discovery", ADDRESS, True),
    rule("counter", (lambda value: value == "" or address(value), "an address, HOST:PORT, or empty"), False),
    rule("seed", SEED, True),
    rule("limits", OBJECT, False),
    rule("known", OBJECT, False),
    rule("settings", OBJECT, True),
]
LIMIT_RULES = optional(ABOVE_0, "memory_mb", "sockets")
SETTING_RULES = [
    *optional(WHOLE, "Me", "Balancers"),
    rule("Lanes", LIST, True),
    rule("Tariffs", LIST, True),
    rule("Allowed", OBJECT, True),
    rule("Safety", OBJECT, True),
    rule("Specifics", OBJECT, False),
]
ALLOWED_RULES = [
    *optional(NUMBER, "MaxAttempts", "MaxRetryAfterMs", "ConnIdleMs", "ConnectTimeoutMs", "MostHeld"),
    *optional(FLAG, "Cancel", "SecondCopies", "RetryAfter", "Probes", "MayTell"),
]
SAFETY_RULES = optional(NUMBER, "ColdFrom", "ColdMs", "OverloadFactor", "TipAfterMs")
SPECIFIC_RULES = [*optional(NUMBER, "MaxUnits"), *optional(FLAG, "Counter", "TruedUp")]


def record_faults(record: Any, rules: list[FieldRule], at: str) -> list[str]:
    """What is wrong with one object's fields, `FIELD: WHAT`; `at` stands before each field's name. Nothing
    is looked at in what is no object."""
    if type(record) is not dict:
        return []
    wrong = []
    for field in rules:
        value = record.get(field.name)
        if value is None:
            if field.needed:
                wrong.append(f"{at}{field.name}: missing; {field.wanted} is wanted")
        elif not field.good(value):
            wrong.append(f"{at}{field.name}: {field.wanted} is wanted, not {value!r:.60}")
    return wrong


def list_faults(records: Any, rules: list[FieldRule], at: str) -> list[str]:
    """The same for each entry of a list, and names that stand twice, in one pass each."""
    if not LIST[0](records):
        return []
    wrong = []
    for number, record in enumerate(records):
        wrong += record_faults(record, rules, f"{at}[{number}].")
    if not wrong:
        counts = Counter(record["Name"] for record in records)
        twice = sorted(name for name, count in counts.items() if count > 1)
        wrong += [f"{at}[].Name: {name!r} stands twice" for name in twice]
    return wrong


def faults(told: Any) -> list[str]:
    """What is wrong with the file's object, `FIELD: WHAT`; nothing where it can be served by."""
    if type(told) is not dict:
        return ["(whole file): an object is wanted"]
    settings = told.get("settings")
    parts = settings if type(settings) is dict else {}
    return [
        *record_faults(told, FILE_RULES, ""),
        *record_faults(told.get("limits"), LIMIT_RULES, "limits."),
        *record_faults(settings, SETTING_RULES, "settings."),
        *list_faults(parts.get("Lanes"), CLASS_RULES, "settings.Lanes"),
        *list_faults(parts.get("Tariffs"), PLAN_RULES, "settings.Tariffs"),
        *record_faults(parts.get("Allowed"), ALLOWED_RULES, "settings.Allowed."),
        *record_faults(parts.get("Safety"), SAFETY_RULES, "settings.Safety."),
        *record_faults(parts.get("Specifics"), SPECIFIC_RULES, "settings.Specifics."),
    ]


def load(path: str | Path) -> dict[str, Any]:
    """The file's object. Raises ToldError, which names the file and what is wrong with it."""
    try:
        told = orjson.loads(Path(path).read_bytes())
    except OSError as fault:
        raise ToldError(f"{path}: cannot be read: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise ToldError(f"{path}: not JSON: {fault}") from None
    if wrong := faults(told):
        more = f"; and {len(wrong) - MOST_FAULTS} more" if len(wrong) > MOST_FAULTS else ""
        raise ToldError("; ".join(f"{path}: {fault}" for fault in wrong[:MOST_FAULTS]) + more)
    return told
