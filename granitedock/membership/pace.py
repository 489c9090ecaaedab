"""The figures of the view: times in ms, counts, and which of Lifeguard's parts act."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    period_ms: float = 400.0  # one member is asked in each
    timeout_ms: float = 150.0  # then others are asked to ask it
    helpers: int = 3
    suspect_ms: float = 2000.0  # the shortest suspicion, once so many others share it:
    suspect_most_ms: float = 4500.0  # and the longest, while nobody does
    confirmations: int = 3
    gossip_ms: float = 200.0  # while there is news, so often,
    fanout: int = 3  # to so many
    sync_ms: float = 1000.0  # a page of the view goes to one other, in turn, so often
    revive_ms: float = 2000.0  # one of those that are over is asked again, so often on the mean
    seeds_ms: float = 500.0  # the first wait for a seed that does not answer; each doubles it, up to
    seeds_most_ms: float = 30000.0
    forget_ms: float = 60000.0  # those that are over are forgotten after this
    gap_ms: float = 400.0  # later than this, and it was us who slept
    knock_ms: float = 100.0  # a refusal is looked for so long after a knock, and a second one made
    settle_ms: float = 2000.0  # an end must have stood so long before a share is taken over
    lease_ms: float = 2000.0  # and been proved by a refusal no longer ago than this
    careful: bool = True  # Lifeguard's parts: slower when unwell, suspicions that others shorten, told first


MOST_SLOW = 8  # periods and time-outs stretch up to this many times more
