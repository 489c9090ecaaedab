"""Pseudo-random draws that follow from the gateway's seed alone, so that a run can be played again."""

from __future__ import annotations

import zlib


class RandomSource:
    """Draws numbered from 1 under a seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def below(self, limit: int) -> int:
        """The next draw, a whole number from 0 to below the limit."""
        self.draws += 1
        return zlib.crc32(b"%d/%d" % (self.seed, self.draws)) % limit

    def fraction(self) -> float:
        """The next draw, from 0 to below 1."""
        return self.below(2**32) / 2**32
