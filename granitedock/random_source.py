"""Pseudo-random draws that depend only on the gateway's seed, so that a run can be replayed."""

from __future__ import annotations

import zlib


class RandomSource:
    """A sequence of draws, numbered from 1, for one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def below(self, limit: int) -> int:
        """Return the next draw as an integer from 0 up to, but not including, `limit`."""
        self.draws += 1
        return zlib.crc32(b"%d/%d" % (self.seed, self.draws)) % limit

    def fraction(self) -> float:
        """Return the next draw as a number from 0 up to, but not including, 1."""
        return self.below(2**32) / 2**32
