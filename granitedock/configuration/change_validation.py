"""What is wrong with a change as operators write it, by the field rules of the platform's file. No I/O.

Each fault is `FIELD: WHAT`. Unknown fields are faults here, other than in the platform's file, which may hold
more than a gateway reads.
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


def is_whole_number(value: Any) -> bool:
    """Whether the value is an integer from 0; True and False are none."""
    return type(value) is int and value >= 0


def unknown_field_faults(record: Record, known: set[str], prefix: str) -> list[str]:
    """A fault for each field that is not known; `prefix` stands before the field's name."""
    return [f"{prefix}{name}: no such field" for name in sorted(record.keys() - known)]


def upsert_faults(records: Any, section: Section, place: str) -> list[str]:
    """What is wrong with the records to upsert."""
    if type(records) is not list or not all(type(record) is dict for record in records):
        return [f"{place}: a list of objects is wanted"]
    rules = SECTION_RULES[section]
    known = {rule.name for rule in rules}
    found: list[str] = []
    for index, record in enumerate(records):
        prefix = f"{place}[{index}]."
        found += record_errors(record, rules, prefix)
        found += unknown_field_faults(record, known, prefix)
    return found


def removal_faults(names: Any, place: str) -> list[str]:
    """What is wrong with the names to remove."""
    if type(names) is not list or not all(type(name) is str and name for name in names):
        return [f"{place}: a list of names is wanted"]
    return []


def section_faults(edit: Any, section: Section) -> list[str]:
    """What is wrong with one section of a change."""
    place = section.value
    if type(edit) is not dict:
        return [f"{place}: an object is wanted"]
    upserts = edit.get("upsert", [])
    removals = edit.get("remove", [])
    found = unknown_field_faults(edit, EDIT_FIELDS, f"{place}.")
    found += upsert_faults(upserts, section, f"{place}.upsert")
    found += removal_faults(removals, f"{place}.remove")
    if not found:
        counts = Counter([*(record["Name"] for record in upserts), *removals])
        duplicates = sorted(name for name, count in counts.items() if count > 1)
        found += [f"{place}: {name!r} stands twice" for name in duplicates]
    return found


def change_faults(change: Any) -> list[str]:
    """What is wrong with a whole change; nothing where it is valid."""
    if type(change) is not dict:
        return ["(whole change): an object is wanted"]
    found = unknown_field_faults(change, CHANGE_FIELDS, "")
    if not is_whole_number(change.get("base")):
        found.append("base: a whole number from 0 is wanted: the version that the change was made on")
    sections = [section for section in Section if section.value in change]
    for section in sections:
        found += section_faults(change[section.value], section)
    if not found and not sum(len(part) for section in sections for part in change[section.value].values()):
        found.append("(whole change): nothing is put or removed")
    return found
