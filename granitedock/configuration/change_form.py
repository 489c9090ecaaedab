"""The form of a change as operators write it, checked by the field rules of the platform's file. No I/O.

    {"base": 7, "plans": {"upsert": [{"Name": "gold", "Refill": 50, ...}], "remove": ["old"]},
     "classes": {"upsert": [...], "remove": [...]}}

A fault refuses the whole change and is told as SOURCE: FIELD: WHAT. Fields that are not known are faults
here, other than in the platform's file, which may hold more than a gateway reads."""

from __future__ import annotations

from collections import Counter
from typing import Any

import orjson

from granitedock.configuration.document import Change, ConfigurationError, Edit, Record, Section
from granitedock.field_rules import FieldRule, record_errors
from granitedock.platform_file import CLASS_RULES, MAX_REPORTED_ERRORS, PLAN_RULES

RULES: dict[Section, list[FieldRule]] = {Section.CLASSES: CLASS_RULES, Section.PLANS: PLAN_RULES}
WINDOW = "WindowMs"  # of a plan: set by control, never by operators (`windows.py`)
MOST_CHANGE_BYTES = 16 * 1024 * 1024
KEYS = {"base", *(section.value for section in Section)}
EDIT_KEYS = {"upsert", "remove"}


class ChangeRefused(ConfigurationError):
    """A change that is not right; `faults` has a line for each fault, SOURCE: FIELD: WHAT."""

    def __init__(self, source: str, faults: list[str]) -> None:
        self.faults = [f"{source}: {fault}" for fault in faults[:MAX_REPORTED_ERRORS]]
        if len(faults) > MAX_REPORTED_ERRORS:
            self.faults.append(f"{source}: and {len(faults) - MAX_REPORTED_ERRORS} more")
        super().__init__("\n".join(self.faults))


class WrongBase(ChangeRefused):
    """A change on another version than the present one: somebody else was first."""

    def __init__(self, source: str, base: int, version: int) -> None:
        super().__init__(source, [f"base: the present version is {version}, not {base}"])


def whole_number(value: Any) -> bool:
    return type(value) is int and value >= 0


def unknown_fields(record: Record, known: set[str], at: str) -> list[str]:
    return [f"{at}{name}: no such field" for name in sorted(record.keys() - known)]


def upsert_faults(records: Any, section: Section, at: str) -> list[str]:
    """What is wrong with the entries to be put."""
    if type(records) is not list or not all(type(record) is dict for record in records):
        return [f"{at}: a list of objects is wanted"]
    rules = RULES[section]
    known = {rule.name for rule in rules}
    found = []
    for number, record in enumerate(records):
        place = f"{at}[{number}]."
        found += record_errors(record, rules, place) + unknown_fields(record, known, place)
    return found


def removal_faults(names: Any, at: str) -> list[str]:
    if type(names) is not list or not all(type(name) is str and name for name in names):
        return [f"{at}: a list of names is wanted"]
    return []


def section_faults(told: Any, section: Section) -> list[str]:
    """What is wrong with one section of a change."""
    at = section.value
    if type(told) is not dict:
        return [f"{at}: an object is wanted"]
    upserts, removals = told.get("upsert", []), told.get("remove", [])
    found = unknown_fields(told, EDIT_KEYS, f"{at}.")
    found += upsert_faults(upserts, section, f"{at}.upsert") + removal_faults(removals, f"{at}.remove")
    if not found:
        counts = Counter([*(record["Name"] for record in upserts), *removals])
        twice = sorted(name for name, count in counts.items() if count > 1)
        found += [f"{at}: {name!r} stands twice" for name in twice]
    return found


def change_faults(told: Any) -> list[str]:
    """What is wrong with a change, FIELD: WHAT."""
    if type(told) is not dict:
        return ["(whole change): an object is wanted"]
    found = unknown_fields(told, KEYS, "")
    if not whole_number(told.get("base")):
        found.append("base: a whole number from 0 is wanted: the version that the change was made on")
    sections = [section for section in Section if section.value in told]
    for section in sections:
        found += section_faults(told[section.value], section)
    if not found and not sum(len(part) for section in sections for part in told[section.value].values()):
        found.append("(whole change): nothing is put or removed")
    return found


def without_nulls(record: Record) -> Record:
    """A field that is null says as much as one that is left out."""
    return {name: value for name, value in record.items() if value is not None}


def edit_of(told: Record) -> Edit:
    """The edit that an object of the right form says."""
    upserts, removals = {}, {}
    for section in Section:
        part = told.get(section.value, {})
        if records := part.get("upsert"):
            upserts[section] = tuple(records)
        if names := part.get("remove"):
            removals[section] = tuple(names)
    return Edit(upserts, removals)


def change_of(told: Any, source: str) -> Change:
    """The change that an object says. Raises ChangeRefused; `source` names the file or address."""
    if faults := change_faults(told):
        raise ChangeRefused(source, faults)
    edit = edit_of(told)
    whole = {part: tuple(map(without_nulls, records)) for part, records in edit.upserts.items()}
    return Change(told["base"], Edit(whole, edit.removals))


def parsed(data: bytes, source: str) -> Change:
    """The change in JSON text. Raises ChangeRefused."""
    if len(data) > MOST_CHANGE_BYTES:
        raise ChangeRefused(source, [f"(whole change): more than {MOST_CHANGE_BYTES:,} bytes"])
    try:
        return change_of(orjson.loads(data), source)
    except orjson.JSONDecodeError as fault:
        raise ChangeRefused(source, [f"(whole change): not JSON: {fault}"]) from None


def edit_shown(edit: Edit) -> Record:
    """An edit in the form of a change, without its base."""
    shown: Record = {}
    for section in Section:
        part: Record = {}
        if records := edit.upserts.get(section):
            part["upsert"] = list(records)
        if names := edit.removals.get(section):
            part["remove"] = list(names)
        if part:
            shown[section.value] = part
    return shown


def whole_document(settings: Record) -> Edit:
    """The plans and classes of a platform's file (its `settings`) as one edit."""
    parts = {Section.PLANS: ("Tariffs", PLAN_RULES), Section.CLASSES: ("Lanes", CLASS_RULES)}
    upserts = {}
    for section, (key, rules) in parts.items():
        known = {rule.name for rule in rules}
        upserts[section] = tuple(
            {name: value for name, value in record.items() if name in known and value is not None}
            for record in settings[key]
        )
    return Edit(upserts)
