"""The storage of a laboratory run in a folder: `run.json`, and `rows.jsonl` with one line for each request.

The names of stored fields are fixed. Only this module translates between them and the names of attributes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import orjson

from granitedock.errors import GranitedockError
from granitedock.lab.load.observations import RequestOutcome
from granitedock.lab.load.request_record import RequestRecord

RUN_FILE, RECORDS_FILE = "run.json", "rows.jsonl"
# Stored names of the record's fields whose stored name differs from the attribute.
STORED_NAMES = {
    "sent_at_s": "sent_s",
    "deadline_ms": "left_ms",
    "outcome": "kind",
    "latency_ms": "took_ms",
    "request_id": "task",
    "request_class": "product",
    "gateway_ended": "ended",
}
FIELD_NAMES = {stored: name for name, stored in STORED_NAMES.items()}
RECORD_FIELDS = [field.name for field in fields(RequestRecord)]


class RunError(GranitedockError, ValueError):
    """A folder without a valid run; the text names the file and the invalid line."""


@dataclass(frozen=True, slots=True)
class Run:
    """A run: the scenario's name, length and faults in the words of its file, and the request records."""

    name: str
    length_s: float
    faults: list[dict[str, Any]]
    records: list[RequestRecord]


def save(run: Run, folder: Path) -> None:
    """Write a run to a folder."""
    head = {"name": run.name, "length_s": run.length_s, "faults": run.faults}
    (folder / RUN_FILE).write_bytes(orjson.dumps(head, option=orjson.OPT_INDENT_2))
    (folder / RECORDS_FILE).write_bytes(encode_records(run.records))


def read(folder: str | Path) -> Run:
    """Read a run that `save` wrote. Raises RunError."""
    folder = Path(folder)
    line = 0
    try:
        head = orjson.loads((folder / RUN_FILE).read_bytes())
        records = []
        for encoded_record in (folder / RECORDS_FILE).read_bytes().splitlines():
            line += 1
            records.append(decode_record(encoded_record))
        return Run(head["name"], float(head["length_s"]), head["faults"], records)
    except OSError as error:
        problem = f"{folder}: no run: {error}"
        raise RunError(problem) from None
    except (ValueError, KeyError, TypeError) as error:
        place = f"{folder}/{RECORDS_FILE}:{line}" if line else f"{folder}/{RUN_FILE}"
        problem = f"{place}: {type(error).__name__}: {error}"
        raise RunError(problem) from None


def encode_records(records: Iterable[RequestRecord]) -> bytes:
    """Encode records as lines of JSON."""
    stored_names = [(name, STORED_NAMES.get(name, name)) for name in RECORD_FIELDS]
    return b"".join(
        orjson.dumps({stored: getattr(record, name) for name, stored in stored_names}) + b"\n"
        for record in records
    )


def decode_record(line: bytes) -> RequestRecord:
    """Decode the record of a line. Raises ValueError, KeyError or TypeError."""
    stored = orjson.loads(line)
    values = {FIELD_NAMES.get(name, name): value for name, value in stored.items()}
    if "outcome" in values:
        values["outcome"] = RequestOutcome(values["outcome"])
    return RequestRecord(**values)
