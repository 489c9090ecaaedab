"""The errors of the scale measurements.

Class methods build the texts. Each error has one text as its only argument, because it is pickled when it
passes from the measurement's process to the process that started it.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from granitedock.errors import GranitedockError


class ScaleError(GranitedockError, RuntimeError):
    """A measurement failed or its page could not be written; the text names which one and the reason."""


class ResultsFileError(ScaleError):
    """A results file cannot be used."""

    @classmethod
    def unreadable(cls, path: Path, error: OSError) -> ResultsFileError:
        """Return the error for a results file that the operating system cannot read."""
        return cls(f"{path}: cannot read the results file: {error.strerror}")

    @classmethod
    def malformed(cls, path: Path, error: Exception) -> ResultsFileError:
        """Return the error for a file whose content is not a run's results."""
        return cls(f"{path}: no results of lab scale: {type(error).__name__}: {error}")


class PageError(ScaleError):
    """A page cannot be filled."""

    @classmethod
    def unknown_sections(cls, file_name: str, sections: Iterable[str]) -> PageError:
        """Return the error for a page that has sections without a table."""
        return cls(f"{file_name}: no such section of figures: {', '.join(sections)}")

    @classmethod
    def unwritable(cls, path: Path, error: OSError) -> PageError:
        """Return the error for a page that the operating system cannot read or write."""
        return cls(f"{path}: cannot read or write the page: {error.strerror}")


class UnknownKindError(ScaleError):
    """A kind of measurement does not exist."""

    @classmethod
    def of(cls, kind: str, kinds: Iterable[str]) -> UnknownKindError:
        """Return the error that lists the existing kinds."""
        return cls(f"no such kind of measurement: {kind}; expected one of {', '.join(kinds)}")


class MachineLimitError(ScaleError):
    """The sizes exceed a limit of the machine."""

    @classmethod
    def descriptors(cls, needed: int, available: int) -> MachineLimitError:
        """Return the error for sizes that need more file descriptors than a process may open."""
        return cls(f"sizes need {needed:,} descriptors, more than the {available:,} that a process may open")

    @classmethod
    def memory(cls, needed_mb: float, total_mb: float) -> MachineLimitError:
        """Return the error for sizes that need more than half of the machine's memory."""
        return cls(
            f"sizes need about {needed_mb:,.0f} MB, more than half of the memory, {total_mb / 2:,.0f} MB"
        )

    @classmethod
    def connections(cls, count: int, error: OSError) -> MachineLimitError:
        """Return the error for connections to the counter that could not be opened."""
        return cls(f"cannot open {count} connections to the counter: {error}")


class ProcessError(ScaleError):
    """A process of a measurement did not start or ended early."""

    @classmethod
    def not_started(cls, name: str, output: str) -> ProcessError:
        """Return the error for a process that printed no address; `output` is the end of its error output."""
        return cls(f"{name} did not start: {output}")

    @classmethod
    def ended(cls, return_code: int) -> ProcessError:
        """Return the error for a process that ended before it answered."""
        return cls(f"a measurement's process ended before its answer, with exit code {return_code}")


class MeasurementTimeoutError(ScaleError):
    """A measurement waited for a state that was not reached in time."""

    @classmethod
    def gateway(cls, address: str, timeout_s: float) -> MeasurementTimeoutError:
        """Return the error for a gateway that has not applied an endpoint list."""
        return cls(f"gateway at {address} was not ready within {timeout_s:g} s")

    @classmethod
    def hollow_gateways(cls, missing: int, count: int, timeout_s: float) -> MeasurementTimeoutError:
        """Return the error for hollow gateways that have not reached the state."""
        return cls(f"{missing} of {count} hollow gateways did not reach the state within {timeout_s:g} s")

    @classmethod
    def control_version(cls, version: int, timeout_s: float) -> MeasurementTimeoutError:
        """Return the error for control processes that still have an older version."""
        return cls(f"not all control processes reached version {version} within {timeout_s:g} s")
