"""The file that the platform hands a gateway: what each field has to be.

Owns the form of that file, read at the start and on SIGHUP; a fault is told as FILE: FIELD: WHAT. It must
never fill in a value or decide by one. The check is a table of its own, not pydantic's: that is used for the
operators' files, which `run` does not read; to import it here would cost each process 7 MB and each start
0.1 s (measured).
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
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

# Field, what it has to be, and whether it has to be there; one that need not may also be null. `[]` stands
# for each entry of a list.
FIELDS = [
    ("name", TEXT, True),
    ("listen", ADDRESS, True),
    ("discovery", ADDRESS, True),
    ("counter", (lambda value: value == "" or address(value), "an address, HOST:PORT, or empty"), False),
    ("seed", SEED, True),
    ("limits", OBJECT, False),
    ("limits.memory_mb", ABOVE_0, False),
    ("limits.sockets", ABOVE_0, False),
    ("known", OBJECT, False),
    ("settings", OBJECT, True),
    ("settings.Me", WHOLE, False),
    ("settings.Balancers", WHOLE, False),
    ("settings.Lanes", LIST, True),
    ("settings.Lanes[].Name", TEXT, True),
    ("settings.Lanes[].Repeat", (one_of(*REPEATS), "one of " + ", ".join(REPEATS)), True),
    ("settings.Lanes[].DedupScope", (one_of(*GROUPS), "one of " + ", ".join(GROUPS)), False),
    ("settings.Lanes[].TargetMs", ABOVE_0, True),
    ("settings.Lanes[].GiveUpMs", ABOVE_0, True),
    *((f"settings.Lanes[].{name}", NUMBER, False) for name in ("WindowMs", "Worth", "LateWorth")),
    ("settings.Lanes[].Stream", FLAG, False),
    ("settings.Tariffs", LIST, True),
    ("settings.Tariffs[].Name", TEXT, True),
    *(
        (f"settings.Tariffs[].{name}", NUMBER, False)
        for name in ("Refill", "MostAtOnce", "Concurrency", "WorthFactor", "OverWorth", "ExcessCost")
        + ("CeilingRate", "CeilingBurst", "Tolerance")
    ),
    ("settings.Allowed", OBJECT, True),
    *(
        (f"settings.Allowed.{name}", NUMBER, False)
        for name in ("MaxAttempts", "MaxRetryAfterMs", "ConnIdleMs", "ConnectTimeoutMs", "MostHeld")
    ),
    *(
        (f"settings.Allowed.{name}", FLAG, False)
        for name in ("Cancel", "SecondCopies", "RetryAfter", "Probes", "MayTell")
    ),
    ("settings.Safety", OBJECT, True),
    *(
        (f"settings.Safety.{name}", NUMBER, False)
        for name in ("ColdFrom", "ColdMs", "OverloadFactor", "TipAfterMs")
    ),
    ("settings.Specifics", OBJECT, False),
    ("settings.Specifics.MaxUnits", NUMBER, False),
    ("settings.Specifics.Counter", FLAG, False),
    ("settings.Specifics.TruedUp", FLAG, False),
]


def found(record: Any, path: list[str], at: str) -> Iterator[tuple[str, Any]]:
    """The values under this path with their own paths: None where there is none, nothing below what is no
    object."""
    key, rest = path[0], path[1:]
    each, key = key.endswith("[]"), key.removesuffix("[]")
    at, value = (f"{at}.{key}" if at else key), record.get(key) if type(record) is dict else None
    if not rest:
        if type(record) is dict:
            yield at, value
    elif each:
        for number, entry in enumerate(value if type(value) is list else ()):
            yield from found(entry, rest, f"{at}[{number}]")
    else:
        yield from found(value, rest, at)


def faults(told: Any) -> list[str]:
    """What is wrong with the file's object, `FIELD: WHAT`; nothing where it can be served by."""
    if type(told) is not dict:
        return ["(whole file): an object is wanted"]
    wrong = []
    for field, (good, what), needed in FIELDS:
        for at, value in found(told, field.split("."), ""):
            if value is None and needed:
                wrong.append(f"{at}: missing; {what} is wanted")
            elif value is not None and not good(value):
                wrong.append(f"{at}: {what} is wanted, not {value!r:.60}")
    if not wrong:
        for field in ("Lanes", "Tariffs"):
            names = [entry["Name"] for entry in told["settings"][field]]
            twice = sorted({name for name in names if names.count(name) > 1})
            wrong += [f"settings.{field}[].Name: {name!r} stands twice" for name in twice]
    return wrong


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
