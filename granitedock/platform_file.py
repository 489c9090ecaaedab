"""The file that the platform hands a gateway: its form, and how it is read.

Read at the start and on SIGHUP; an error is reported as FILE: FIELD: WHAT. It must never fill in a value or
decide by one.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from granitedock.errors import GranitedockError
from granitedock.field_rules import (
    ADDRESS,
    FLAG,
    LIST,
    NUMBER,
    OBJECT,
    OPTIONAL_ADDRESS,
    POSITIVE,
    SEED,
    TEXT,
    WHOLE,
    list_errors,
    one_of,
    optional,
    record_errors,
    required,
)

MAX_REPORTED_ERRORS = 8


class PlatformFileError(GranitedockError, ValueError):
    """A file that can't be served by; its text names the file and each field that is wrong."""


CLASS_RULES = [
    *required(TEXT, "Name"),
    *required(one_of("safe", "keyed", "unsafe"), "Repeat"),
    *optional(one_of("all", "zone", "cell"), "DedupScope"),
    *required(POSITIVE, "TargetMs", "GiveUpMs"),
    *optional(NUMBER, "WindowMs", "Worth", "LateWorth"),
    *optional(FLAG, "Stream"),
]
PLAN_RULES = [
    *required(TEXT, "Name"),
    *optional(NUMBER, "Refill", "MostAtOnce", "Concurrency", "WorthFactor", "OverWorth", "ExcessCost"),
    *optional(NUMBER, "CeilingRate", "CeilingBurst", "Tolerance"),
]
FILE_RULES = [
    *required(TEXT, "name"),
    *required(ADDRESS, "listen", "discovery"),
    *optional(OPTIONAL_ADDRESS, "counter"),
    *required(SEED, "seed"),
    *optional(OBJECT, "limits", "known"),
    *required(OBJECT, "settings"),
]
LIMIT_RULES = optional(POSITIVE, "memory_mb", "sockets")
SETTING_RULES = [
    *optional(WHOLE, "Me", "Balancers"),
    *required(LIST, "Lanes", "Tariffs"),
    *required(OBJECT, "Allowed", "Safety"),
    *optional(OBJECT, "Specifics"),
]
ALLOWED_RULES = [
    *optional(NUMBER, "MaxAttempts", "MaxRetryAfterMs", "ConnIdleMs", "ConnectTimeoutMs", "MostHeld"),
    *optional(FLAG, "Cancel", "SecondCopies", "RetryAfter", "Probes", "MayTell"),
]
SAFETY_RULES = optional(NUMBER, "ColdFrom", "ColdMs", "OverloadFactor", "TipAfterMs")
SPECIFIC_RULES = [*optional(NUMBER, "MaxUnits"), *optional(FLAG, "Counter", "TruedUp")]


def validation_errors(document: Any) -> list[str]:
    """What is wrong with the file's object, `FIELD: WHAT`; nothing where it can be served by."""
    if type(document) is not dict:
        return ["(whole file): an object is wanted"]
    settings = document.get("settings")
    sections = settings if type(settings) is dict else {}
    return [
        *record_errors(document, FILE_RULES, ""),
        *record_errors(document.get("limits"), LIMIT_RULES, "limits."),
        *record_errors(settings, SETTING_RULES, "settings."),
        *list_errors(sections.get("Lanes"), CLASS_RULES, "settings.Lanes"),
        *list_errors(sections.get("Tariffs"), PLAN_RULES, "settings.Tariffs"),
        *record_errors(sections.get("Allowed"), ALLOWED_RULES, "settings.Allowed."),
        *record_errors(sections.get("Safety"), SAFETY_RULES, "settings.Safety."),
        *record_errors(sections.get("Specifics"), SPECIFIC_RULES, "settings.Specifics."),
    ]


def load(path: str | Path) -> dict[str, Any]:
    """Read and check the file; its object as decoded. Raises PlatformFileError."""
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise PlatformFileError(message) from None
    except orjson.JSONDecodeError as error:
        message = f"{path}: not JSON: {error}"
        raise PlatformFileError(message) from None
    if errors := validation_errors(document):
        raise PlatformFileError(report(path, errors))
    return document


def report(path: str | Path, errors: list[str]) -> str:
    """The errors in a line, each with the file's name; the first few, and how many more there are."""
    text = "; ".join(f"{path}: {error}" for error in errors[:MAX_REPORTED_ERRORS])
    if len(errors) > MAX_REPORTED_ERRORS:
        text += f"; and {len(errors) - MAX_REPORTED_ERRORS} more"
    return text
