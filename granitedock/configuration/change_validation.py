"""Validates changes as operators write them, with the field rules of the platform file. No I/O.

Each fault has the form `FIELD: REASON`. Unknown fields are faults here, but not in the platform file, which
may have fields that a gateway does not read.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from granitedock.configuration.document import Record, Section
from granitedock.field_rules import FieldRule, record_errors
from granitedock.platform_file import CLASS_RULES, PLAN_RULES

SECTION_RULES: dict[Section, list[FieldRule]] = {Section.CLASSES: CLASS_RULES, Section.PLANS: PLAN_RULES}
CHANGE_FIELDS = {"base", *(section.value for section in Section)}
EDIT_FIELDS = {"upsert", "remove"}


def is_non_negative_integer(value: Any) -> bool:
    """Return whether the value is an integer of at least 0; a bool is not an integer here."""
    return type(value) is int and value >= 0


def unknown_field_faults(record: Record, known: set[str], prefix: str) -> list[str]:
    """Return a fault for each unknown field; `prefix` precedes the field's name."""
    return [f"{prefix}{name}: no such field" for name in sorted(record.keys() - known)]


def upsert_faults(records: Any, section: Section, field_path: str) -> list[str]:
    """Return the faults in the records to upsert."""
    if type(records) is not list or not all(type(record) is dict for record in records):
        return [f"{field_path}: expected a list of objects"]
    rules = SECTION_RULES[section]
    known = {rule.name for rule in rules}
    faults: list[str] = []
    for index, record in enumerate(records):
        prefix = f"{field_path}[{index}]."
        faults += record_errors(record, rules, prefix)
        faults += unknown_field_faults(record, known, prefix)
    return faults


def removal_faults(names: Any, field_path: str) -> list[str]:
    """Return the faults in the names to remove."""
    if type(names) is not list or not all(type(name) is str and name for name in names):
        return [f"{field_path}: expected a list of non-empty names"]
    return []


def section_faults(edit: Any, section: Section) -> list[str]:
    """Return the faults in one section of a change."""
    field_path = section.value
    if type(edit) is not dict:
        return [f"{field_path}: expected an object"]
    upserts = edit.get("upsert", [])
    removals = edit.get("remove", [])
    faults = unknown_field_faults(edit, EDIT_FIELDS, f"{field_path}.")
    faults += upsert_faults(upserts, section, f"{field_path}.upsert")
    faults += removal_faults(removals, f"{field_path}.remove")
    if not faults:
        counts = Counter([*(record["Name"] for record in upserts), *removals])
        duplicates = sorted(name for name, count in counts.items() if count > 1)
        faults += [f"{field_path}: {name!r} is listed more than once" for name in duplicates]
    return faults


def change_faults(change: Any) -> list[str]:
    """Return the faults in a whole change; the list is empty if the change is valid."""
    if type(change) is not dict:
        return ["(whole change): expected an object"]
    faults = unknown_field_faults(change, CHANGE_FIELDS, "")
    if not is_non_negative_integer(change.get("base")):
        faults.append("base: expected a non-negative integer (the version the change is based on)")
    sections = [section for section in Section if section.value in change]
    for section in sections:
        faults += section_faults(change[section.value], section)
    if not faults and not sum(len(part) for section in sections for part in change[section.value].values()):
        faults.append("(whole change): expected at least one record to upsert or name to remove")
    return faults
