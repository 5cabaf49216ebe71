"""Offered work of each engine pool, as two moving averages.

Entries report how many prompt and output tokens callers have asked of each
pool since they started. Offered work and not served work is measured: an
overloaded phase serves less than is wanted and would hide its own need.

The fast average follows a swing of the mix; the slow one is where the mix is
expected to return to. A forecast fades from the first to the second.
"""

from collections import defaultdict
from collections.abc import Iterable
from math import exp
from typing import Final, NamedTuple

from trestle_links.watch_messages import (
    DECODE_FIGURE,
    PREFILL_FIGURE,
    NodeReport,
)

_FAST_SHARE: Final = 0.1


class Load(NamedTuple):
    """Tokens per second of prompts to read and of answers to decode."""

    prefill: float
    decode: float


class PoolDemand:
    """The averages of one pool; times are monotonic seconds."""

    def __init__(self, horizon_seconds: float) -> None:
        """Start without load; the horizon sets the speeds."""
        self.horizon_seconds = horizon_seconds
        self.fast = Load(0, 0)
        self.slow = Load(0, 0)
        self.observed_seconds = 0.0

    def observe(self, load: Load, seconds: float) -> None:
        """Take in the load of the last seconds."""
        self.observed_seconds += seconds
        fast_seconds = self.horizon_seconds * _FAST_SHARE
        # Young averages weigh what they have seen equally.
        slow_seconds = min(self.horizon_seconds, self.observed_seconds)
        self.fast = _moved(self.fast, load, seconds / fast_seconds)
        self.slow = _moved(self.slow, load, seconds / slow_seconds)

    def forecast(self, ahead_seconds: float) -> Load:
        """Return the expected load so many seconds from now."""
        fade = exp(-ahead_seconds / self.horizon_seconds)
        return Load(
            self.slow.prefill + (self.fast.prefill - self.slow.prefill) * fade,
            self.slow.decode + (self.fast.decode - self.slow.decode) * fade,
        )


class TokenCounters:
    """Turns the growing counters of the entries into loads by pool."""

    def __init__(self) -> None:
        """Know no counter yet."""
        self.seen: dict[tuple[str, str], float] = {}

    def take(self, reports: Iterable[NodeReport]) -> dict[str, Load]:
        """Return the tokens by pool that came since the last call."""
        prefill: defaultdict[str, float] = defaultdict(float)
        decode: defaultdict[str, float] = defaultdict(float)
        for report in reports:
            for name, value in report.figures.items():
                grown = self._grown(report.host, name, value)
                if name.startswith(PREFILL_FIGURE):
                    prefill[name.removeprefix(PREFILL_FIGURE)] += grown
                elif name.startswith(DECODE_FIGURE):
                    decode[name.removeprefix(DECODE_FIGURE)] += grown
        return {
            pool: Load(prefill[pool], decode[pool])
            for pool in (*prefill, *decode)
        }

    def _grown(self, host: str, name: str, value: float) -> float:
        before = self.seen.get((host, name))
        self.seen[host, name] = value
        # A lower value is a restarted entry, whose first figure is a base.
        if before is None or value < before:
            return 0
        return value - before


def _moved(average: Load, sample: Load, weight: float) -> Load:
    share = min(1.0, weight)
    return Load(
        average.prefill + (sample.prefill - average.prefill) * share,
        average.decode + (sample.decode - average.decode) * share,
    )
