"""Rules for the fields of JSON objects: what each has to be, and how an error is worded, FIELD: WHAT.

A table of its own and not pydantic's, as a gateway that serves reads its file by these rules: to import
pydantic there would cost each process 7 MB and each start 0.1 s (measured). It must never fill in a value.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

HIGHEST_PORT = 65_535
SHOWN_CHARACTERS = 60  # of a value that is not accepted

Predicate = Callable[[Any], bool]
is_hex = re.compile(r"[0-9a-fA-F]{1,16}").fullmatch


@dataclass(frozen=True, slots=True)
class FieldType:
    """A kind of value, and what an error says is wanted."""

    accepts: Predicate
    expected: str


@dataclass(frozen=True, slots=True)
class FieldRule:
    """What one field has to be; one that is not required may also be null."""

    name: str
    accepts: Predicate
    expected: str
    required: bool


def is_number(value: Any) -> bool:
    """Whether it is a finite number from 0, and no bool."""
    return type(value) in (int, float) and isfinite(value) and value >= 0


def is_positive(value: Any) -> bool:
    """Whether it is a finite number above 0, and no bool."""
    return is_number(value) and value > 0


def is_whole(value: Any) -> bool:
    """Whether it is a number from 0 without a fraction; 2.0 is."""
    return is_number(value) and value == int(value)


def is_text(value: Any) -> bool:
    """Whether it is a string that is not empty."""
    return type(value) is str and value != ""


def is_address(value: Any) -> bool:
    """Whether it is a string HOST:PORT."""
    if type(value) is not str:
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) <= HIGHEST_PORT


def is_object(value: Any) -> bool:
    """Whether it is a JSON object."""
    return type(value) is dict


def is_list_of_objects(value: Any) -> bool:
    """Whether it is a list of JSON objects."""
    return type(value) is list and all(type(entry) is dict for entry in value)


OBJECT = FieldType(is_object, "an object")
LIST = FieldType(is_list_of_objects, "a list of objects")
FLAG = FieldType(lambda value: type(value) is bool, "true or false")
NUMBER = FieldType(is_number, "a number from 0")
POSITIVE = FieldType(is_positive, "a number above 0")
WHOLE = FieldType(is_whole, "a whole number from 0")
TEXT = FieldType(is_text, "a text")
ADDRESS = FieldType(is_address, "an address, HOST:PORT")
OPTIONAL_ADDRESS = FieldType(
    lambda value: value == "" or is_address(value), "an address, HOST:PORT, or empty"
)
SEED = FieldType(lambda value: type(value) is str and is_hex(value) is not None, "1 to 16 hex digits")


def one_of(*values: str) -> FieldType:
    """Any of these strings."""
    return FieldType(lambda value: value in values, "one of " + ", ".join(values))


def required(field_type: FieldType, *names: str) -> list[FieldRule]:
    """Rules for fields of one type that must stand."""
    return [FieldRule(name, field_type.accepts, field_type.expected, True) for name in names]


def optional(field_type: FieldType, *names: str) -> list[FieldRule]:
    """Rules for fields of one type that may be left out or null."""
    return [FieldRule(name, field_type.accepts, field_type.expected, False) for name in names]


def record_errors(record: Any, rules: list[FieldRule], prefix: str) -> list[str]:
    """What is wrong with one object's fields, `FIELD: WHAT`; `prefix` stands before each field's name.

    What is no object has no errors here: the rule of the field that holds it reports it.
    """
    if type(record) is not dict:
        return []
    errors = []
    for rule in rules:
        value = record.get(rule.name)
        if value is None:
            if rule.required:
                errors.append(f"{prefix}{rule.name}: missing; {rule.expected} is wanted")
        elif not rule.accepts(value):
            errors.append(
                f"{prefix}{rule.name}: {rule.expected} is wanted, not {value!r:.{SHOWN_CHARACTERS}}"
            )
    return errors


def list_errors(records: Any, rules: list[FieldRule], prefix: str) -> list[str]:
    """The same for each entry of a list, then names that stand twice; one pass over the list for each."""
    if not is_list_of_objects(records):
        return []
    errors = []
    for number, record in enumerate(records):
        errors += record_errors(record, rules, f"{prefix}[{number}].")
    return errors or duplicate_name_errors(records, prefix)


def duplicate_name_errors(records: list[dict[str, Any]], prefix: str) -> list[str]:
    """An error for each value of "Name" that more than one entry has."""
    counts = Counter(record["Name"] for record in records)
    duplicates = sorted(name for name, count in counts.items() if count > 1)
    return [f"{prefix}[].Name: {name!r} stands twice" for name in duplicates]
