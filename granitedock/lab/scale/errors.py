"""The errors of the scale measurements.

They are made by class methods and carry one text only, as they are pickled on the way from the measurement's
process."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from granitedock.errors import GranitedockError


class ScaleError(GranitedockError, RuntimeError):
    """A measurement or its page that could not be made; its text says which and why."""


class ResultsFileError(ScaleError):
    """A file of results that cannot be used."""

    @classmethod
    def unreadable(cls, path: Path, error: OSError) -> ResultsFileError:
        """The operating system does not give the file."""
        return cls(f"{path}: cannot be read: {error.strerror}")

    @classmethod
    def malformed(cls, path: Path, error: Exception) -> ResultsFileError:
        """The file holds something else."""
        return cls(f"{path}: no results of lab scale: {type(error).__name__}: {error}")


class PageError(ScaleError):
    """A page that cannot be filled."""

    @classmethod
    def unknown_sections(cls, file_name: str, sections: Iterable[str]) -> PageError:
        """The page has sections that no table is made for."""
        return cls(f"{file_name}: no such section of figures: {', '.join(sections)}")

    @classmethod
    def unwritable(cls, path: Path, error: OSError) -> PageError:
        """The operating system does not give the file."""
        return cls(f"{path}: {error.strerror}")


class UnknownKindError(ScaleError):
    """A kind of measurement that does not exist."""

    @classmethod
    def of(cls, kind: str, kinds: Iterable[str]) -> UnknownKindError:
        """Names the kinds that exist."""
        return cls(f"no such kind: {kind}; one of {', '.join(kinds)}")


class MachineLimitError(ScaleError):
    """Sizes that the machine has no room for."""

    @classmethod
    def descriptors(cls, needed: int, available: int) -> MachineLimitError:
        """More descriptors than a process may have."""
        return cls(f"sizes need {needed:,} descriptors, and a process may have {available:,}")

    @classmethod
    def memory(cls, needed_mb: float, total_mb: float) -> MachineLimitError:
        """More than half of the memory."""
        return cls(f"sizes need some {needed_mb:,.0f} MB, and half of the memory is {total_mb / 2:,.0f}")

    @classmethod
    def connections(cls, count: int, error: OSError) -> MachineLimitError:
        """More connections to the counter than could be opened."""
        return cls(f"{count} connections to the counter: {error}")


class ProcessError(ScaleError):
    """A process of a measurement that did not start, or ended early."""

    @classmethod
    def not_started(cls, name: str, output: str) -> ProcessError:
        """The process printed no address; `output` is the end of what it wrote besides."""
        return cls(f"{name} did not start: {output}")

    @classmethod
    def ended(cls, return_code: int) -> ProcessError:
        """The process ended before it answered."""
        return cls(f"a process ended early with code {return_code}")


class MeasurementTimeoutError(ScaleError):
    """A state that a measurement waited for and that did not come in time."""

    @classmethod
    def gateway(cls, address: str, within_s: float) -> MeasurementTimeoutError:
        """A gateway has taken no endpoint list in."""
        return cls(f"the gateway at {address} did not get ready in {within_s:g} s")

    @classmethod
    def hollow_gateways(cls, missing: int, count: int, within_s: float) -> MeasurementTimeoutError:
        """Some hollow gateways have not reached the state."""
        return cls(f"{missing} of {count} hollow gateways were not there in {within_s:g} s")

    @classmethod
    def control_version(cls, version: int, within_s: float) -> MeasurementTimeoutError:
        """Some control processes have an older version."""
        return cls(f"not all control processes had version {version} in {within_s:g} s")
